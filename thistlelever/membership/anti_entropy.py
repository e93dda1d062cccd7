"""Anti-entropy: if two views keep differing, one front pulls the other's member list, page by page."""

from __future__ import annotations

from heapq import nsmallest
from typing import NamedTuple

from thistlelever.membership.context import Context
from thistlelever.membership.gossip import MAX_UPDATES_PER_FRAME
from thistlelever.membership.member import Member
from thistlelever.membership.outbox import Outbox
from thistlelever.membership.table import MemberTable
from thistlelever.membership.types import Address
from thistlelever.wire.peers import MAX_BODY_SIZE, Message, MessageKind, encode_update, encoded_size

# Seconds until a page is requested again, and the maximum number of such retries.
PULL_TIMEOUT, MAX_PULL_RETRIES = 0.15, 6
# Seconds without a local change before a differing digest alone starts a pull.
MIN_QUIET_TIME = 1.0
# The longest member name, as placeholder when the room for a page is computed.
LONGEST_NAME = "x" * 64


class Pull(NamedTuple):
    """A running pull: from whom, after which name, when to retry, and the retries so far."""

    address: Address
    cursor: str
    retry_at: float
    retries: int


class AntiEntropy:
    """Pulls member lists from others and serves pages of its own."""

    def __init__(self, context: Context, table: MemberTable, outbox: Outbox) -> None:
        """No pull is running."""
        self.table, self.outbox = table, outbox
        self.random, self.health = context.random, context.health
        self.pull: Pull | None = None
        # Whether this front's view is outdated until a whole list has been read.
        self.stale = False

    def compare_digests(self, now: float, source: Address, digest: int, returned: bool) -> None:
        """Start a pull from `source` if the view there differs and nothing has changed here for some time.

        The pull starts at once if the own view is stale, or if a member that was held dead is back
        (`returned`): then a network partition has healed.
        """
        differs = digest != self.table.full_digest()
        overdue = differs and now - self.table.changed_at > MIN_QUIET_TIME
        if not self.pull and (self.stale or returned or overdue):
            self.table.changed_at = now
            self.request(now, source)

    def request(self, now: float, address: Address, place: str = "", retries: int = 0) -> None:
        """Request the page after the name `place`, or give up after too many retries."""
        if retries > MAX_PULL_RETRIES:
            self.pull = None
            return
        self.pull = Pull(address, place, now + PULL_TIMEOUT * self.health.multiplier(), retries)
        self.outbox.send_to(address, MessageKind.LIST_REQUEST, self.random.nonce(), place)

    def retry(self, now: float) -> None:
        """Request the outstanding page again once its timeout has passed."""
        if self.pull and now >= self.pull.retry_at:
            self.request(now, self.pull.address, self.pull.cursor, self.pull.retries + 1)

    def abandon(self) -> None:
        """Stop waiting for the current pull."""
        self.pull = None

    def send_page(self, member: Member, message: Message) -> None:
        """Send one page: the records of members after `message.place`, as many as fit, in the order of names.

        The first page also contains this front and the receiver. The answer names the last member of the
        page, or an empty string on the last page.
        """
        others = (name for name in self.table.members if name > message.place and name != member.name)
        # One name more than fits shows whether there is another page.
        names = nsmallest(MAX_UPDATES_PER_FRAME + 1, others)
        room = MAX_BODY_SIZE - encoded_size(
            self.outbox.message(MessageKind.LIST, message.nonce, LONGEST_NAME)
        )
        records, place = [], ""
        if not message.place:
            records.append(encode_update(self.outbox.local.to_update()))
            records.append(encode_update(member.to_update()))
            room -= sum(map(len, records))
        for name in names:
            raw = encode_update(self.table.members[name].to_update())
            if len(raw) > room:
                break
            room -= len(raw)
            records.append(raw)
            place = name
        if not names or place == names[-1]:
            place = ""
        self.outbox.send_records(member.address, MessageKind.LIST, message.nonce, place, tuple(records))

    def handle_page(self, now: float, source: Address, message: Message) -> None:
        """Request the next page, or finish the pull. The records of the page have already been merged."""
        if not self.pull or self.pull.address != source:
            return
        if message.place:
            self.request(now, source, message.place)
        else:
            self.pull, self.stale = None, False
