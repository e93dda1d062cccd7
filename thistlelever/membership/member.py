"""One other front, as this front believes it to be."""

from __future__ import annotations

from thistlelever.membership.types import Address, Change
from thistlelever.wire.peers import GossipUpdate, State, address_bytes

# So many changes of each member are remembered, for those who ask why.
MAX_CHANGES = 24
# A datagram so many behind its sender's latest is too late to mean anything.
REPLAY_WINDOW = 128
# Before any moment of the clock.
NEVER = -1e9


class Member:
    """The state, address and incarnation believed of a member, and what supports the belief."""

    __slots__ = (
        "name",
        "address",
        "incarnation",
        "life",
        "state",
        "since",
        "accusers",
        "deadline",
        "answered_at",
        "refuted_at",
        "last_number",
        "numbers_seen",
        "changes",
    )

    def __init__(self, name: str, address: Address, incarnation: int, life: int, now: float) -> None:
        """A member that was met just now and is taken to be alive."""
        self.name, self.address, self.incarnation, self.life = name, address, incarnation, life
        self.state, self.since = State.ALIVE, now
        # Tags of those that suspect it, and until when it has to refute them. Most members never have any of
        # these, and thousands of empty ones would be most of what a view takes.
        self.accusers: frozenset[int] = frozenset()
        self.deadline = float("inf")
        # When it last answered a question of this front, itself or by way of others.
        self.answered_at = NEVER
        # When it lately refuted a suspicion or its death.
        self.refuted_at: tuple[float, ...] = ()
        # The latest number of its datagrams, and a bit for each of those before it that came.
        self.last_number, self.numbers_seen = 0, 0
        self.changes: tuple[Change, ...] = ()

    @property
    def is_alive(self) -> bool:
        """Whether it is taken to be alive, suspected or not."""
        return self.state < State.DEAD

    def to_update(self, accuser: int = 0) -> GossipUpdate:
        """What is believed of it, as it is told to others."""
        if self.state is State.SUSPECTED and not accuser:
            accuser = min(self.accusers)
        address = address_bytes(self.address)
        return GossipUpdate(self.name, address, self.incarnation, self.life, self.state, accuser)

    def clear_accusations(self) -> None:
        """It is no longer suspected."""
        self.accusers, self.deadline = frozenset(), float("inf")


def accept_sequence_number(member: Member, number: int) -> bool:
    """Whether a datagram of this number has not come before, and is none of long ago; it is noted."""
    ahead = number - member.last_number
    if ahead > 0:
        shifted = member.numbers_seen << min(ahead, REPLAY_WINDOW) | 1
        member.numbers_seen = shifted & (1 << REPLAY_WINDOW) - 1
        member.last_number = number
        return True
    bit = 1 << -ahead
    if -ahead >= REPLAY_WINDOW or member.numbers_seen & bit:
        return False
    member.numbers_seen |= bit
    return True
