"""Messages to other fronts, each with as many updates behind it as its frame has room for."""

from __future__ import annotations

from math import log2

from msgspec import structs

from thistlelever.membership.gossip import GossipQueue
from thistlelever.membership.local import LocalMember
from thistlelever.membership.member import Member
from thistlelever.membership.table import MemberTable
from thistlelever.membership.types import Address, Send
from thistlelever.wire.peers import MAX_BODY_SIZE, GossipUpdate, Message, MessageKind, State, encoded_size

# How often an update is sent: so many times the logarithm of the tier's size.
RETRANSMIT_FACTOR = 3


class Outbox:
    """Collects what one event makes this front send, and numbers it."""

    def __init__(self, local: LocalMember, table: MemberTable, gossip: GossipQueue) -> None:
        """Nothing to send yet."""
        self.local, self.table, self.gossip = local, table, gossip
        self.number = 0
        self.sends: list[Send] = []

    def begin_event(self) -> None:
        """Another event: what the one before it sent was handed on."""
        self.sends = []

    def send(
        self, member: Member, kind: MessageKind, nonce: int, place: str = "", to: Address | None = None
    ) -> None:
        """To a member goes first what is held against it, which it alone can refute."""
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
        """To an address, whoever is there."""
        self.number += 1
        if self.local.state is State.LEFT:
            first = first or self.local.to_update()
        bare = self.message(kind, nonce, place)
        updates = self.gossip.take(MAX_BODY_SIZE - encoded_size(bare), self.transmissions_per_update(), first)
        self.sends.append(Send(address, structs.replace(bare, updates=updates)))

    def send_records(
        self, address: Address, kind: MessageKind, nonce: int, place: str, records: tuple
    ) -> None:
        """To an address, with these records in place of updates."""
        self.number += 1
        self.sends.append(Send(address, self.message(kind, nonce, place, records)))

    def message(self, kind: MessageKind, nonce: int, place: str = "", records: tuple = ()) -> Message:
        """A message of this front under the latest number."""
        name, _, life = self.local.identity
        digest = self.table.full_digest()
        return Message(kind, name, life, self.local.incarnation, self.number, nonce, digest, place, records)

    def announce(self, incarnation: int) -> None:
        """Tell others what this front says of itself, at this incarnation at least."""
        self.local.incarnation = max(self.local.incarnation, incarnation)
        self.gossip.add(self.local.to_update())

    def transmissions_per_update(self) -> int:
        """How often each update is sent before it is dropped."""
        return RETRANSMIT_FACTOR * int(1 + log2(self.table.alive_count + 2))
