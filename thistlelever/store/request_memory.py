"""Limit on the memory that open requests hold, divided among their clients.

A part of it is guaranteed to clients in equal shares, so that none can take what the others need for usual
requests. The rest is shared: a client may take up to a fixed part of what is still free of it, as with the
dynamic thresholds of shared-memory switches.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable

# What a request holds beside its statement: its task, its inbox, its timer and its place in the decisions.
REQUEST_BYTES = 8_192
# Part of the limit that is guaranteed to clients; part of the free shared memory that one client may hold.
GUARANTEED_PART, CLIENT_PART = 0.4, 0.125


def request_size(statement: bytes) -> int:
    """Return the bytes that a request with this statement counts for."""
    return REQUEST_BYTES + len(statement)


class RequestMemory:
    """The bytes that open requests hold, in all and by client."""

    def __init__(self, limit: int, clients: int) -> None:
        """Take the limit in bytes, and the number of clients at most."""
        self.limit, self.held, self.held_shared = limit, 0, 0
        self.guaranteed = int(limit * GUARANTEED_PART) // max(clients, 1)
        self.shared_limit = limit - int(limit * GUARANTEED_PART)
        self.held_by_client: Counter[Hashable] = Counter()

    def reserve(self, client: Hashable, size: int) -> bool:
        """Reserve `size` bytes for a request of a client; returns False if it may not hold them."""
        held = self.held_by_client.get(client, 0) + size
        free = self.shared_limit - self.held_shared + self.shared_part(held - size)
        if self.held + size > self.limit or self.shared_part(held) > CLIENT_PART * free:
            return False
        self.set_held(client, held)
        return True

    def release(self, client: Hashable, size: int) -> None:
        """Return the bytes of a request that is over."""
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
