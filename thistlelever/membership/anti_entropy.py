"""Anti-entropy: where two views differ for long, one front asks the other for its whole list."""

from __future__ import annotations

from heapq import nsmallest
from typing import NamedTuple

from thistlelever.membership.context import Context
from thistlelever.membership.facts import Address
from thistlelever.membership.gossip import MAX_UPDATES_A_FRAME
from thistlelever.membership.member import Member
from thistlelever.membership.outbox import Outbox
from thistlelever.membership.table import MemberTable
from thistlelever.wire.peers import ROOM, Kind, Message, packed, size

# A piece of a list is asked for again after so many seconds, so often.
PULL_TIMEOUT, PULL_RETRIES = 0.15, 6
# Where views only differ, nothing must have changed here for so long before a list is asked for.
QUIET = 1.0
# The longest name of a member, which the room for a piece of a list reckons with.
LONGEST_NAME = "x" * 64


class Pull(NamedTuple):
    """A list that is being asked for: of whom, from which name on, when again, how often it was tried."""

    address: Address
    place: str
    retry_at: float
    retries: int


class AntiEntropy:
    """Asks for lists and gives them, a piece at a time."""

    def __init__(self, context: Context, table: MemberTable, outbox: Outbox) -> None:
        """No list was read yet."""
        self.table, self.outbox = table, outbox
        self.chance, self.health = context.chance, context.health
        self.pull: Pull | None = None
        # Whether this front's own view is old, until somebody's whole list was read.
        self.stale = False

    def compare(self, now: float, source: Address, digest: int, returned: bool) -> None:
        """Ask for another's list where its view differs and nothing has changed here for long.

        At once where one that was held dead is back: the link between two parts of the tier has healed.
        """
        differs = digest != self.table.shown_digest()
        overdue = differs and now - self.table.changed_at > QUIET
        if not self.pull and (self.stale or returned or overdue):
            self.table.changed_at = now
            self.ask(now, source)

    def ask(self, now: float, address: Address, place: str = "", retries: int = 0) -> None:
        """Ask for the list from a name on, or give up after too many tries."""
        if retries > PULL_RETRIES:
            self.pull = None
            return
        self.pull = Pull(address, place, now + PULL_TIMEOUT * self.health.patience(), retries)
        self.outbox.send_to(address, Kind.LIST_ASK, self.chance.nonce(), place)

    def retry(self, now: float) -> None:
        """Ask again for the piece that has not come in time."""
        if self.pull and now >= self.pull.retry_at:
            self.ask(now, self.pull.address, self.pull.place, self.pull.retries + 1)

    def abandon(self) -> None:
        """What was asked for is no longer waited for."""
        self.pull = None

    def give(self, member: Member, message: Message) -> None:
        """Send one piece: the records after a name, as many as fit, and where to go on."""
        others = (name for name in self.table.members if name > message.place and name != member.name)
        # One more than fits tells whether there is more.
        names = nsmallest(MAX_UPDATES_A_FRAME + 1, others)
        room = ROOM - size(self.outbox.message(Kind.LIST, message.nonce, LONGEST_NAME))
        pieces, place = [], ""
        if not message.place:
            pieces.append(packed(self.outbox.local.record()))
            pieces.append(packed(member.record()))
            room -= sum(map(len, pieces))
        for name in names:
            raw = packed(self.table.members[name].record())
            if len(raw) > room:
                break
            room -= len(raw)
            pieces.append(raw)
            place = name
        if not names or place == names[-1]:
            place = ""
        self.outbox.send_whole(member.address, Kind.LIST, message.nonce, place, tuple(pieces))

    def take(self, now: float, source: Address, message: Message) -> None:
        """A piece came, its records are merged; ask for the next, or have the whole."""
        if not self.pull or self.pull.address != source:
            return
        if message.place:
            self.ask(now, source, message.place)
        else:
            self.pull, self.stale = None, False
