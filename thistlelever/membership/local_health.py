"""This front's own health (Lifeguard's local health multiplier): a slow front waits longer before it accuses
others.
"""

from __future__ import annotations

from thistlelever.membership.member import NEVER

# The score ranges from 0 (healthy) to this; each point adds one half to the multiplier.
MAX_SCORE = 8
# Minimum number of unacknowledged probes before this front may consider itself isolated.
MIN_UNANSWERED = 3
# Upper bound of the multiplier applied to the isolation timeout.
MAX_ISOLATION_MULTIPLIER = 1.5


class LocalHealth:
    """Health score, time of the last acknowledgement, and number of probes sent since."""

    def __init__(self) -> None:
        """Healthy, with no acknowledgement yet."""
        self.score = 0
        self.answered_at, self.unanswered = NEVER, 0
        # How late the latest tick came, in seconds.
        self.lateness = 0.0

    def multiplier(self) -> float:
        """The factor by which timeouts are longer than on a healthy front; at least 1."""
        return 1 + self.score / 2

    def worsen(self, by: int) -> None:
        """Raise the score by `by`, after a sign that this front may be slow."""
        self.score = min(self.score + by, MAX_SCORE)

    def improve(self) -> None:
        """Lower the score, after a probe was acknowledged in time."""
        self.score = max(self.score - 1, 0)

    def note_contact(self, now: float) -> None:
        """Restart the isolation timeout: a member acknowledged this front, or this front was paused and could
        receive nothing.
        """
        self.answered_at, self.unanswered = now, 0

    def is_isolated(self, now: float, timeout: float) -> bool:
        """Whether no acknowledgement has come for `timeout` seconds times the bounded multiplier.

        The bound is needed because the score rises precisely while nothing is acknowledged; without it
        isolation would be noticed too late.
        """
        return self.may_be_isolated(now, timeout * min(self.multiplier(), MAX_ISOLATION_MULTIPLIER))

    def may_be_isolated(self, now: float, timeout: float) -> bool:
        """Whether no acknowledgement has come for `timeout` seconds, whatever the multiplier."""
        return self.unanswered >= MIN_UNANSWERED and now - self.answered_at > timeout
