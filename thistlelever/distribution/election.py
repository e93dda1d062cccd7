"""When a distributor claims the publisher's role by itself, because the publisher is unreachable."""

from __future__ import annotations

from zlib import crc32

from thistlelever.distribution.claim import TERMS_PER_ROUND
from thistlelever.distribution.versions import Version

# Distributors claim one after the other, in the order of their indexes after that of the lost publisher and
# this many seconds apart, so that claims rarely collide. After MAX_STAGGER_STEPS steps the delay no longer
# grows.
STAGGER_S = 0.4
MAX_STAGGER_STEPS = 5
# After a failed claim the next one follows after one to two times this delay (pseudo-random jitter).
RETRY_DELAY_S = 1.0


class Election:
    """The view of the distributor `index` among `distributors`. The publisher counts as lost once no
    distributor has had contact with it for `timeout` seconds."""

    def __init__(self, index: int, distributors: int, timeout: float) -> None:
        """Starts without failed claims."""
        self.index, self.distributors, self.timeout = index, distributors, timeout
        self.failures, self.not_before = 0, 0.0

    def is_due(self, now: float, age: float, highest: Version) -> bool:
        """Whether to claim at time `now`, in seconds. `age` is the number of seconds since the content was
        last known to be the newest. `highest` is the highest version seen; its term identifies the lost
        publisher. A tier that never had a publisher elects none."""
        if not highest.term or now < self.not_before:
            return False
        publisher = highest.term % TERMS_PER_ROUND
        offset = (self.index - publisher - 1) % self.distributors
        return age > self.timeout + min(offset, MAX_STAGGER_STEPS) * STAGGER_S

    def is_publisher_alive(self, ages: list[float]) -> bool:
        """Whether any distributor that replied had contact with the publisher within the timeout, by the
        `ages` of their contents in seconds."""
        return any(age <= self.timeout for age in ages)

    def failed(self, now: float) -> None:
        """Delays the next claim after a failed one at time `now`."""
        self.failures += 1
        jitter = crc32(b"%d election %d" % (self.index, self.failures)) / 2**32
        self.not_before = now + RETRY_DELAY_S * (1 + jitter)
