"""When a distributor claims the publisher's role by itself, because nobody hears the publisher any more."""

from __future__ import annotations

from zlib import crc32

from thistlelever.distribution.claim import TERMS_PER_ROUND
from thistlelever.distribution.versions import Version

# The distributors behind the lost publisher claim one after the other, this far apart, so that one claim
# mostly meets no other; past so many places all are as late as the last.
STAGGER_S = 0.4
MAX_STAGGER_STEPS = 5
# After a claim that failed the next comes this much later at least, and up to twice as late, by chance.
RETRY_DELAY_S = 1.0


class Election:
    """One distributor's view: `index` of `distributors`; the publisher counts as lost once nobody has heard
    it for `after` seconds."""

    def __init__(self, index: int, distributors: int, timeout: float) -> None:
        """Nothing has failed yet."""
        self.index, self.distributors, self.timeout = index, distributors, timeout
        self.failures, self.not_before = 0, 0.0

    def is_due(self, now: float, age: float, highest: Version) -> bool:
        """Whether to claim now. `age` is how long ago the content was last known to be the newest,
        `highest` the highest version that was seen: its term names the publisher that is lost. A tier that
        never had one elects none."""
        if not highest.term or now < self.not_before:
            return False
        publisher = highest.term % TERMS_PER_ROUND
        offset = (self.index - publisher - 1) % self.distributors
        return age > self.timeout + min(offset, MAX_STAGGER_STEPS) * STAGGER_S

    def is_publisher_alive(self, ages: list[float]) -> bool:
        """Whether one of those that answered has heard the publisher lately: then it is not lost."""
        return any(age <= self.timeout for age in ages)

    def failed(self, now: float) -> None:
        """A claim has failed: the next comes later."""
        self.failures += 1
        jitter = crc32(b"%d election %d" % (self.index, self.failures)) / 2**32
        self.not_before = now + RETRY_DELAY_S * (1 + jitter)
