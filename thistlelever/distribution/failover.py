"""Which distributor a client asks, and how long it waits before it asks the next."""

from __future__ import annotations

from zlib import crc32

# The longest wait before the first further attempt, and before any: doubled from one failure to the next.
FIRST_BACKOFF, LONGEST_BACKOFF = 0.25, 2.0
# Past so many doublings the longest span surely holds.
MOST_DOUBLINGS = 16


def doubled(first: float, failures: int, longest: float) -> float:
    """The first span, doubled with each failure after the first, up to the longest; in seconds."""
    return min(first * 2 ** min(failures - 1, MOST_DOUBLINGS), longest)


class Failover:
    """The distributors in this client's own order (rendezvous hashing: Thaler and Ravishankar 1998), so that
    the clients of one that is lost spread over all others; between attempts exponential backoff with full
    jitter, so that many clients that lost one together do not come together."""

    def __init__(self, distributors: int, name: str, seed: int) -> None:
        """The order of places 0 to `distributors` - 1 for the client of that name."""
        self.name, self.seed = name, seed
        weights = {place: crc32(b"%d %b" % (place, name.encode())) for place in range(distributors)}
        self.order = sorted(weights, key=lambda place: (weights[place], place))
        self.position, self.failures, self.draws = 0, 0, 0

    @property
    def current(self) -> int:
        """The place of the distributor to ask."""
        return self.order[self.position]

    def succeeded(self) -> None:
        """The current one has answered."""
        self.failures = 0

    def failed(self, retry_after: float = 0.0) -> float:
        """The current one has not answered, or can't serve: seconds to wait before the next is asked."""
        self.position = (self.position + 1) % len(self.order)
        self.failures += 1
        return retry_after + self.chance() * doubled(FIRST_BACKOFF, self.failures, LONGEST_BACKOFF)

    def start_over(self) -> None:
        """Begin at the preferred one again, as it may be back."""
        self.position = 0

    def chance(self) -> float:
        """The next number from 0.0 to 1.0 of this client's own sequence."""
        self.draws += 1
        return crc32(b"%d %b %d" % (self.seed, self.name.encode(), self.draws)) / 2**32
