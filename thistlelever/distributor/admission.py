"""Rate limit on expensive answers, so that many fronts starting at once do not overload a distributor."""

from __future__ import annotations

from zlib import crc32

# Unused tokens accumulate for up to this many seconds.
BURST_S = 1.0


class SnapshotAdmission:
    """A token bucket for answers that carry a whole subset. A refused front gets a delay after which to
    retry: the time until a token is available for it, plus up to a second of pseudo-random jitter, so that
    fronts refused together do not retry together."""

    def __init__(self, per_second: float, seed: int, now: float) -> None:
        """Starts with a full bucket. `per_second` is the sustained rate of answers, `seed` determines the
        jitter, and `now` is in seconds."""
        self.per_second, self.seed = per_second, seed
        self.tokens, self.refilled_at = per_second * BURST_S, now
        self.refused_since_empty, self.jitter_draws = 0, 0

    def admit(self, now: float) -> float:
        """Takes a token and returns 0.0, or returns the number of seconds after which to retry if the bucket
        is empty. `now` is in seconds."""
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
        """Returns the next pseudo-random number, from 0.0 to 1.0."""
        self.jitter_draws += 1
        return crc32(b"%d admission %d" % (self.seed, self.jitter_draws)) / 2**32
