"""What passes between the judgement of membership and whatever carries it."""

from __future__ import annotations

from typing import NamedTuple

from thistlelever.wire.peers import Message, State

Address = tuple[str, int]
# Of each member so many changes are remembered, for those who ask why.
STORY = 24


class Terms(NamedTuple):
    """Times in seconds. The figures follow from each other as `docs/membership.md` says."""

    # Between two rounds of probes.
    period: float = 0.1
    # How long an answer may take, and then one by way of others.
    answer: float = 0.05
    detour: float = 0.1
    # How long a suspicion lasts without a second accuser, in a tier of ten or fewer.
    suspect: float = 0.4
    # Between two pings of who is held dead or was never met.
    knock: float = 1.0
    # A turn that comes this late is a pause: what was believed before it is old.
    held_up: float = 0.3
    # No answer from anybody for so long: this front is alone, whatever it believes of others.
    deaf: float = 0.35
    # How many others are asked to try, how many accusers make a suspicion as short as it gets, and how many
    # of those that hear of one see for themselves.
    helpers: int = 3
    accusers: int = 3
    witnesses: int = 6
    # A death younger than this still counts where shares are reckoned.
    sure: float = 2.0
    # Who is dead or has left is forgotten after this, and the most members that are known at once.
    forget: float = 60.0
    most: int = 8_192


class Self(NamedTuple):
    """This front. `life` is when it started, in eighths of a second: a later life has a larger one."""

    name: str
    address: Address
    life: int


class Send(NamedTuple):
    address: Address
    message: Message


class Change(NamedTuple):
    """Something that was believed and no longer is; who said so, over which path, how late."""

    at: float
    name: str
    state: State
    was: State | None
    by: str
    path: str
    late: float


class View(NamedTuple):
    """What the judgement tells others. `alone` is why nothing of it may be acted on, or empty."""

    alone: str
    # Fronts taken to be alive, this one included, and where `alone` how many the settings name.
    fronts: int
    alive: int
    suspected: int
    unfit: int


class Member:
    """One other front, as it is believed to be."""

    __slots__ = (
        "name",
        "address",
        "incarnation",
        "life",
        "state",
        "since",
        "accusers",
        "until",
        "heard_at",
        "refutals",
        "last",
        "seen",
        "story",
    )

    def __init__(
        self, name: str, address: Address, incarnation: int, life: int, state: State, now: float
    ) -> None:
        self.name, self.address, self.incarnation, self.life = name, address, incarnation, life
        self.state, self.since = state, now
        # Tags of those that suspect it, and until when it has to refute them. Most members never have any of
        # these, and thousands of empty ones would be most of what a view takes.
        self.accusers: frozenset[int] = frozenset()
        self.until = float("inf")
        # When it last answered a question of this front, itself or by way of others.
        self.heard_at = -1e9
        self.refutals: tuple[float, ...] = ()
        # The latest number of its datagrams, and a bit for each of those before it that came.
        self.last, self.seen = 0, 0
        self.story: tuple[Change, ...] = ()

    @property
    def lives(self) -> bool:
        return self.state < State.DEAD


# A datagram this many behind its sender's latest is too late to mean anything.
WINDOW = 128


def fresh(member: Member, count: int) -> bool:
    """Whether a datagram of this number has not come before, and is none of long ago; it is noted."""
    ahead = count - member.last
    if ahead > 0:
        member.seen = (member.seen << min(ahead, WINDOW) | 1) & (1 << WINDOW) - 1
        member.last = count
        return True
    bit = 1 << -ahead
    if -ahead >= WINDOW or member.seen & bit:
        return False
    member.seen |= bit
    return True
