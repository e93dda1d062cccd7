"""Limit on the memory of results whose pages are being fetched; who finds no room waits its turn."""

from __future__ import annotations

import asyncio
from collections import deque


class ResultMemory:
    """The bytes reserved for results that are not complete yet."""

    def __init__(self, limit: float) -> None:
        """Take the limit in bytes. A result alone always finds room."""
        self.limit, self.held = limit, 0
        # The sizes that wait, each with the future that wakes its waiter.
        self.waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    def reserve_now(self, size: int) -> bool:
        """Reserve `size` bytes; returns False if there is no room now, or others wait."""
        if self.waiting or not self.has_room(size):
            return False
        self.held += size
        return True

    async def reserve(self, size: int) -> None:
        """Reserve `size` bytes, waiting until there is room for them."""
        if self.reserve_now(size):
            return
        waiter = size, asyncio.get_running_loop().create_future()
        self.waiting.append(waiter)
        try:
            await waiter[1]
        except asyncio.CancelledError:
            if waiter in self.waiting:
                self.waiting.remove(waiter)
                self.wake()
            else:
                self.release(size)
            raise

    def release(self, size: int) -> None:
        """Return what was reserved."""
        self.held -= size
        self.wake()

    def has_room(self, size: int) -> bool:
        """Return whether `size` bytes can be reserved now."""
        return not self.held or self.held + size <= self.limit

    def wake(self) -> None:
        """Give the room that there is to those that wait, in their order."""
        while self.waiting and self.has_room(self.waiting[0][0]):
            size, future = self.waiting.popleft()
            self.held += size
            if not future.done():
                future.set_result(None)
