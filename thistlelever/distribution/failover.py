"""Which distributor a client asks, and how long it waits before it asks the next."""

from __future__ import annotations

from zlib import crc32

# The longest wait before the first further attempt, and before any: doubled from one failure to the next.
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.25, 2.0
# Past so many doublings the longest span surely holds.
MAX_DOUBLINGS = 16


def exponential_delay(initial: float, failures: int, maximum: float) -> float:
    """The first span, doubled with each failure after the first, up to the longest; in seconds."""
    return min(initial * 2 ** min(failures - 1, MAX_DOUBLINGS), maximum)


class Failover:
    """The distributors in this client's own order (rendezvous hashing: Thaler and Ravishankar 1998), so that
    the clients of one that is lost spread over all others; between attempts exponential backoff with full
    jitter, so that many clients that lost one together do not come together."""

    def __init__(self, distributors: int, name: str, seed: int) -> None:
        """The order of places 0 to `distributors` - 1 for the client of that name."""
        self.name, self.seed = name, seed
        weights = {index: crc32(b"%d %b" % (index, name.encode())) for index in range(distributors)}
        self.order = sorted(weights, key=lambda index: (weights[index], index))
        self.position, self.failures, self.draws = 0, 0, 0

    @property
    def current(self) -> int:
        """The index of the distributor to ask."""
        return self.order[self.position]

    def succeeded(self) -> None:
        """The current one has answered."""
        self.failures = 0

    def failed(self, retry_after: float = 0.0) -> float:
        """The current one has not answered, or can't serve: seconds to wait before the next is asked."""
        self.position = (self.position + 1) % len(self.order)
        self.failures += 1
        return retry_after + self.next_uniform() * exponential_delay(
            INITIAL_BACKOFF_S, self.failures, MAX_BACKOFF_S
        )

    def reset_to_preferred(self) -> None:
        """Begin at the preferred one again, as it may be back."""
        self.position = 0

    def next_uniform(self) -> float:
        """The next number from 0.0 to 1.0 of this client's own sequence."""
        self.draws += 1
        return crc32(b"%d %b %d" % (self.seed, self.name.encode(), self.draws)) / 2**32
