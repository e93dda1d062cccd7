"""How many whole subsets a distributor tells a second, so that a mass start does not bring it down."""

from __future__ import annotations

from zlib import crc32

# What is left unused is kept for so many seconds.
BURST_S = 1.0


class SnapshotAdmission:
    """A token bucket. Who finds it empty is told when to come again: when its token would be there, and a
    part of a second more by jitter, so that those who were refused together do not return together."""

    def __init__(self, per_second: float, seed: int, now: float) -> None:
        """`per_second` answers in the long run; `now` in seconds."""
        self.per_second, self.seed = per_second, seed
        self.tokens, self.refilled_at = per_second * BURST_S, now
        self.refused_since_empty, self.jitter_draws = 0, 0

    def admit(self, now: float) -> float:
        """0.0 for an answer that may be sent now, else seconds after which to come again."""
        gained = (now - self.refilled_at) * self.per_second
        self.tokens = min(self.tokens + gained, self.per_second * BURST_S)
        self.refilled_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            self.refused_since_empty = 0
            return 0.0
        self.refused_since_empty += 1
        return (self.refused_since_empty + self.jitter() * self.per_second) / self.per_second

    def jitter(self) -> float:
        """The next number from 0.0 to 1.0."""
        self.jitter_draws += 1
        return crc32(b"%d admission %d" % (self.seed, self.jitter_draws)) / 2**32
