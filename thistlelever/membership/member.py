"""What this front believes about one other member, and detection of replayed datagrams."""

from __future__ import annotations

from thistlelever.membership.types import Address, Change
from thistlelever.wire.peers import GossipUpdate, State, address_bytes

# State changes kept per member, for `views.explain`.
MAX_CHANGES = 24
# Datagrams whose sequence number is this far behind the latest are dropped.
REPLAY_WINDOW = 128
# A time before any value of the clock.
NEVER = -1e9


class Member:
    """State, address and incarnation of a member, and the evidence for its state."""

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
        """A member that was discovered at `now` and is taken to be alive."""
        self.name, self.address, self.incarnation, self.life = name, address, incarnation, life
        self.state, self.since = State.ALIVE, now
        # Tags of its accusers, and the time until which it can refute them. Most members are never suspected,
        # so both share one empty default: with thousands of members separate empty sets would take most of
        # the memory of a view.
        self.accusers: frozenset[int] = frozenset()
        self.deadline = float("inf")
        # When it last acknowledged a probe of this front, direct or indirect.
        self.answered_at = NEVER
        # Times of its recent refutations of a suspicion or of its death.
        self.refuted_at: tuple[float, ...] = ()
        # Highest sequence number received from it, and a bitmap of the numbers before it that were received.
        self.last_number, self.numbers_seen = 0, 0
        self.changes: tuple[Change, ...] = ()

    @property
    def is_alive(self) -> bool:
        """Whether the member is taken to be alive, including unfit and suspected."""
        return self.state < State.DEAD

    def to_update(self, accuser: int = 0) -> GossipUpdate:
        """The gossip update that describes this member.

        Of a suspected member it names one accuser: the given tag, or the smallest known one.
        """
        if self.state is State.SUSPECTED and not accuser:
            accuser = min(self.accusers)
        address = address_bytes(self.address)
        return GossipUpdate(self.name, address, self.incarnation, self.life, self.state, accuser)

    def clear_accusations(self) -> None:
        """Remove all accusers and the deadline."""
        self.accusers, self.deadline = frozenset(), float("inf")


def accept_sequence_number(member: Member, number: int) -> bool:
    """Record the sequence number of a datagram; whether it is new and within the replay window."""
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
