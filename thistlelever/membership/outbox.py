"""Builds outgoing messages, each with as many gossip updates as fit into its frame."""

from __future__ import annotations

from math import log2

from msgspec import structs

from thistlelever.membership.gossip import GossipQueue
from thistlelever.membership.local import LocalMember
from thistlelever.membership.member import Member
from thistlelever.membership.table import MemberTable
from thistlelever.membership.types import Address, Send
from thistlelever.wire.peers import MAX_BODY_SIZE, GossipUpdate, Message, MessageKind, State, encoded_size

# Each update is sent this many times the binary logarithm of the size of the tier.
RETRANSMIT_FACTOR = 3


class Outbox:
    """Collects and numbers the messages that one event produces."""

    def __init__(self, local: LocalMember, table: MemberTable, gossip: GossipQueue) -> None:
        """No messages yet."""
        self.local, self.table, self.gossip = local, table, gossip
        self.number = 0
        self.sends: list[Send] = []

    def begin_event(self) -> None:
        """Start a new list of messages; the previous event handed out its own."""
        self.sends = []

    def send(
        self, member: Member, kind: MessageKind, nonce: int, place: str = "", to: Address | None = None
    ) -> None:
        """Send to a member, at `to` if given, otherwise at its known address.

        If the member is suspected, dead or gone, that comes first, since only the member itself can refute
        it.
        """
        accused = member.state in (State.SUSPECTED, State.DEAD, State.LEFT)
        first = member.to_update() if accused else None
        self.send_to(to or member.address, kind, nonce, place, first)

    def send_to(
        self,
        address: Address,
        kind: MessageKind,
        nonce: int,
        place: str = "",
        first: GossipUpdate | None = None,
    ) -> None:
        """Send to an address, whichever member is there, with `first` before other updates."""
        self.number += 1
        if self.local.state is State.LEFT:
            first = first or self.local.to_update()
        bare = self.message(kind, nonce, place)
        updates = self.gossip.take(MAX_BODY_SIZE - encoded_size(bare), self.transmissions_per_update(), first)
        self.sends.append(Send(address, structs.replace(bare, updates=updates)))

    def send_records(
        self, address: Address, kind: MessageKind, nonce: int, place: str, records: tuple
    ) -> None:
        """Send a page of encoded member records instead of queued updates."""
        self.number += 1
        self.sends.append(Send(address, self.message(kind, nonce, place, records)))

    def message(self, kind: MessageKind, nonce: int, place: str = "", records: tuple = ()) -> Message:
        """A message from this front with the current sequence number."""
        name, _, life = self.local.identity
        digest = self.table.full_digest()
        return Message(kind, name, life, self.local.incarnation, self.number, nonce, digest, place, records)

    def announce(self, incarnation: int) -> None:
        """Queue this front's own update, at the given incarnation or a higher one."""
        self.local.incarnation = max(self.local.incarnation, incarnation)
        self.gossip.add(self.local.to_update())

    def transmissions_per_update(self) -> int:
        """How often each update is sent before it is dropped."""
        return RETRANSMIT_FACTOR * int(1 + log2(self.table.alive_count + 2))
