"""This front's own health, as Lifeguard's local health multiplier: who is slow itself accuses others late."""

from __future__ import annotations

from thistlelever.membership.member import NEVER

# The score goes from 0, healthy, to this; each point makes this front half as patient again.
MAX_SCORE = 8
# So many probes without any answer, at least, before this front may hold that nobody answers it.
MIN_UNANSWERED = 3
# Patience lengthens the silence that it takes by this factor at most.
MAX_ISOLATION_MULTIPLIER = 1.5


class LocalHealth:
    """The score, when anybody last answered, and how many probes went out since."""

    def __init__(self) -> None:
        """Healthy, and not answered yet."""
        self.score = 0
        self.answered_at, self.unanswered = NEVER, 0
        # How late this front's latest turn came.
        self.lateness = 0.0

    def multiplier(self) -> float:
        """The factor by which this front waits longer than a healthy one."""
        return 1 + self.score / 2

    def worsen(self, by: int) -> None:
        """Something says that this front itself may be slow."""
        self.score = min(self.score + by, MAX_SCORE)

    def improve(self) -> None:
        """A probe was answered in time."""
        self.score = max(self.score - 1, 0)

    def note_contact(self, now: float) -> None:
        """Somebody heard this front and said so, or nothing could be heard until now."""
        self.answered_at, self.unanswered = now, 0

    def is_isolated(self, now: float, timeout: float) -> bool:
        """Whether nobody has answered for longer than the timeout.

        Risk: patience grows just while nobody answers; it counts up to a bound here.
        """
        return self.may_be_isolated(now, timeout * min(self.multiplier(), MAX_ISOLATION_MULTIPLIER))

    def may_be_isolated(self, now: float, timeout: float) -> bool:
        """Whether nobody has answered for the timeout itself, however patient this front is."""
        return self.unanswered >= MIN_UNANSWERED and now - self.answered_at > timeout
