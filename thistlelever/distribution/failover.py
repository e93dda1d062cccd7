"""Which distributor a client asks, and how long it waits before it asks the next one."""

from __future__ import annotations

from zlib import crc32

# Upper bounds of the delay before the first retry and before any later one; doubled with each failure.
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.25, 2.0
# Limits the exponent: after this many doublings the maximum applies in any case.
MAX_DOUBLINGS = 16


def exponential_delay(initial: float, failures: int, maximum: float) -> float:
    """The initial delay, doubled with each failure after the first, and at most `maximum`; in seconds."""
    return min(initial * 2 ** min(failures - 1, MAX_DOUBLINGS), maximum)


class Failover:
    """Order of the distributors for one client, and the backoff between attempts.

    The order follows from rendezvous hashing (Thaler and Ravishankar 1998), so that the clients of a failed
    distributor spread over all others. Retries use exponential backoff with full jitter, so that clients that
    lost a distributor at the same time do not reconnect at the same time."""

    def __init__(self, distributors: int, name: str, seed: int) -> None:
        """Orders the indexes 0 to `distributors` - 1 for the client `name`; `seed` determines its jitter."""
        self.name, self.seed = name, seed
        weights = {index: crc32(b"%d %b" % (index, name.encode())) for index in range(distributors)}
        self.order = sorted(weights, key=lambda index: (weights[index], index))
        self.position, self.failures, self.draws = 0, 0, 0

    @property
    def current(self) -> int:
        """The index of the distributor to ask."""
        return self.order[self.position]

    def succeeded(self) -> None:
        """Resets the backoff after a reply of the current distributor."""
        self.failures = 0

    def failed(self, retry_after: float = 0.0) -> float:
        """Moves on to the next distributor after a failure of the current one. Returns the seconds to wait
        before asking it, at least `retry_after`."""
        self.position = (self.position + 1) % len(self.order)
        self.failures += 1
        return retry_after + self.next_uniform() * exponential_delay(
            INITIAL_BACKOFF_S, self.failures, MAX_BACKOFF_S
        )

    def reset_to_preferred(self) -> None:
        """Returns to the preferred distributor, which may be available again."""
        self.position = 0

    def next_uniform(self) -> float:
        """The next pseudo-random number in [0.0, 1.0) of this client's sequence."""
        self.draws += 1
        return crc32(b"%d %b %d" % (self.seed, self.name.encode(), self.draws)) / 2**32
