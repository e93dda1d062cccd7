"""Anti-entropy: where two views differ for long, one front asks the other for its whole list."""

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

# A piece of a list is asked for again after so many seconds, so often.
PULL_TIMEOUT, MAX_PULL_RETRIES = 0.15, 6
# Where views only differ, nothing must have changed here for so long before a list is asked for.
MIN_QUIET_TIME = 1.0
# The longest name of a member, which the room for a piece of a list reckons with.
LONGEST_NAME = "x" * 64


class Pull(NamedTuple):
    """A list that is being asked for: of whom, from which name on, when again, how often it was tried."""

    address: Address
    cursor: str
    retry_at: float
    retries: int


class AntiEntropy:
    """Asks for lists and gives them, a piece at a time."""

    def __init__(self, context: Context, table: MemberTable, outbox: Outbox) -> None:
        """No list was read yet."""
        self.table, self.outbox = table, outbox
        self.random, self.health = context.random, context.health
        self.pull: Pull | None = None
        # Whether this front's own view is old, until somebody's whole list was read.
        self.stale = False

    def compare_digests(self, now: float, source: Address, digest: int, returned: bool) -> None:
        """Ask for another's list where its view differs and nothing has changed here for long.

        At once where one that was held dead is back: the link between two parts of the tier has healed.
        """
        differs = digest != self.table.full_digest()
        overdue = differs and now - self.table.changed_at > MIN_QUIET_TIME
        if not self.pull and (self.stale or returned or overdue):
            self.table.changed_at = now
            self.request(now, source)

    def request(self, now: float, address: Address, place: str = "", retries: int = 0) -> None:
        """Ask for the list from a name on, or give up after too many tries."""
        if retries > MAX_PULL_RETRIES:
            self.pull = None
            return
        self.pull = Pull(address, place, now + PULL_TIMEOUT * self.health.multiplier(), retries)
        self.outbox.send_to(address, MessageKind.LIST_REQUEST, self.random.nonce(), place)

    def retry(self, now: float) -> None:
        """Ask again for the piece that has not come in time."""
        if self.pull and now >= self.pull.retry_at:
            self.request(now, self.pull.address, self.pull.cursor, self.pull.retries + 1)

    def abandon(self) -> None:
        """What was asked for is no longer waited for."""
        self.pull = None

    def send_page(self, member: Member, message: Message) -> None:
        """Send one piece: the records after a name, as many as fit, and where to go on."""
        others = (name for name in self.table.members if name > message.place and name != member.name)
        # One more than fits tells whether there is more.
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
        """A piece came, its records are merged; ask for the next, or have the whole."""
        if not self.pull or self.pull.address != source:
            return
        if message.place:
            self.request(now, source, message.place)
        else:
            self.pull, self.stale = None, False
