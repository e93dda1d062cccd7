"""Limit on memory that is divided among the clients that hold it.

A part of it is guaranteed to clients in equal shares, so that none can take what the others need for usual
requests. The rest is shared: a client may take up to a fixed part of what is still free of it, as with the
dynamic thresholds of shared-memory switches.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable

# Part of the limit that is guaranteed to clients; part of the free shared memory that one client may hold,
# unless another one is asked for.
GUARANTEED_PART, CLIENT_PART = 0.4, 0.125


class DividedMemory:
    """The bytes that clients hold, in all and by client."""

    def __init__(self, limit: int, clients: int, client_part: float = CLIENT_PART) -> None:
        """Take the limit in bytes, the number of clients at most, and the part of the free shared memory that
        one client may hold."""
        self.limit, self.held, self.held_shared, self.client_part = limit, 0, 0, client_part
        self.guaranteed = int(limit * GUARANTEED_PART) // max(clients, 1)
        self.shared_limit = limit - int(limit * GUARANTEED_PART)
        self.held_by_client: Counter[Hashable] = Counter()

    def reserve(self, client: Hashable, size: int) -> bool:
        """Reserve `size` bytes for a client; returns False if it may not hold them."""
        if not self.permits(client, size):
            return False
        self.set_held(client, self.held_by_client.get(client, 0) + size)
        return True

    def permits(self, client: Hashable, size: int) -> bool:
        """Return whether a client may hold `size` bytes more."""
        before = self.held_by_client.get(client, 0)
        free = self.shared_limit - self.held_shared + self.shared_part(before)
        return self.held + size <= self.limit and self.shared_part(before + size) <= self.client_part * free

    def release(self, client: Hashable, size: int) -> None:
        """Return bytes that a client holds no longer."""
        self.set_held(client, self.held_by_client[client] - size)
        if not self.held_by_client[client]:
            del self.held_by_client[client]

    def set_held(self, client: Hashable, held: int) -> None:
        """Set what a client holds."""
        before = self.held_by_client[client]
        self.held += held - before
        self.held_shared += self.shared_part(held) - self.shared_part(before)
        self.held_by_client[client] = held

    def shared_part(self, held: int) -> int:
        """Return how much of what a client holds is past its guaranteed part."""
        return max(held - self.guaranteed, 0)
