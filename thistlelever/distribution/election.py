"""When a distributor claims the publisher's role by itself, because the publisher is unreachable."""

from __future__ import annotations

from math import inf
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
    distributor has had contact with it for `timeout` seconds.

    As in Raft, a distributor that has promised a term waits for its claimant: the promise restarts the
    timeout, and while it lasts the distributor reports contact to others that would claim."""

    def __init__(self, index: int, distributors: int, timeout: float) -> None:
        """Starts without failed claims, and with a timeout that nothing has restarted."""
        self.index, self.distributors, self.timeout = index, distributors, timeout
        self.failures, self.not_before = 0, 0.0
        # When the timeout was last restarted without contact with a publisher, and when a promise was given.
        self.restarted_at, self.promised_at = -inf, -inf
        # The claimant that has this distributor's last promise.
        self.promised_to: int | None = None
        # True from this distributor's promise to itself until it publishes or gives up its claim.
        self.claiming = False

    def restart(self, now: float) -> None:
        """Restarts the timeout at time `now`, in seconds: at the start, when a version of a higher term is
        seen, or when this distributor stops publishing."""
        self.restarted_at = max(self.restarted_at, now)

    def promised(self, claimant: int, now: float) -> None:
        """Records that a promise was given to another claimant at time `now`; restarts the timeout."""
        self.promised_to, self.promised_at = claimant, now
        self.restart(now)

    def contact_age(self, now: float, age: float, claimant: int) -> float:
        """Returns the number of seconds since this distributor had contact with a publisher or with another
        claimant than `claimant`, to which it reports this. `age` is that of its content."""
        if self.claiming and claimant != self.index:
            return 0.0
        return age if claimant == self.promised_to else min(age, now - self.promised_at)

    def is_due(self, now: float, age: float, highest: Version) -> bool:
        """Whether to claim at time `now`, in seconds. `age` is the number of seconds since the content was
        last known to be the newest. `highest` is the highest version known of the lost publisher, which its
        term identifies. A tier that never had a publisher elects none."""
        if not highest.term or now < self.not_before:
            return False
        publisher = highest.term % TERMS_PER_ROUND
        offset = (self.index - publisher - 1) % self.distributors
        silence = min(age, now - self.restarted_at)
        return silence > self.timeout + min(offset, MAX_STAGGER_STEPS) * STAGGER_S

    def is_publisher_alive(self, ages: list[float]) -> bool:
        """Whether any distributor that replied had contact with the publisher within the timeout, by the
        `ages` of their contents in seconds."""
        return any(age <= self.timeout for age in ages)

    def failed(self, now: float) -> None:
        """Delays the next claim after a failed one at time `now`."""
        self.failures += 1
        jitter = crc32(b"%d election %d" % (self.index, self.failures)) / 2**32
        self.not_before = now + RETRY_DELAY_S * (1 + jitter)
