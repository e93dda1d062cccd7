"""Limit on the memory of unfinished lines, divided among connections; who is past its part waits for room."""

from __future__ import annotations

import asyncio

from thistlelever.store.divided_memory import DividedMemory
from thistlelever.wire.read_buffer import OutOfMemory


class LineMemory:
    """The bytes by which the read buffers of all connections have grown.

    Room for one longest line is set aside for the connection that waits for longest: otherwise connections
    that each hold a part of a line could wait for each other.
    """

    def __init__(self, limit: int, clients: int, longest_line: int) -> None:
        """Take the limit in bytes, the number of connections at most, and the length of a line at most."""
        self.divided = DividedMemory(max(limit - longest_line, 0), clients)
        self.borrower: LineAccount | None = None
        # Connections that wait for room, in order of arrival, with the future that wakes each.
        self.waiting: dict[LineAccount, asyncio.Future[None]] = {}

    def first_waiting(self) -> LineAccount | None:
        """Return the connection that waits for longest."""
        return next(iter(self.waiting), None)

    def wake_first(self) -> None:
        """Let the connection that waits for longest try again."""
        future = self.waiting.get(self.first_waiting())
        if future and not future.done():
            future.set_result(None)


class LineAccount:
    """What one connection holds of the memory for lines; limits the growth of its `ReadBuffer`."""

    __slots__ = (
        "borrowed",
        "memory",
    )

    def __init__(self, memory: LineMemory) -> None:
        """Hold nothing yet."""
        self.memory, self.borrowed = memory, 0

    def reserve(self, count: int) -> None:
        """Reserve `count` bytes, or release them if negative; raises `OutOfMemory` if it has to wait."""
        if count < 0:
            self.release(-count)
        elif count > 0 and not self.memory.divided.reserve(self, count):
            self.borrow(count)
        if count > 0:
            self.stop_waiting()

    def borrow(self, count: int) -> None:
        """Take bytes of the room that is set aside; raises `OutOfMemory` unless it is free and its turn."""
        memory = self.memory
        its_turn = memory.borrower is None and memory.first_waiting() in (None, self)
        if memory.borrower is not self and not its_turn:
            raise OutOfMemory("no memory for a longer line")
        memory.borrower = self
        self.borrowed += count

    def release(self, count: int) -> None:
        """Return bytes, the borrowed ones first."""
        returned = min(count, self.borrowed)
        self.borrowed -= returned
        if self.memory.borrower is self and not self.borrowed:
            self.memory.borrower = None
        if count > returned:
            self.memory.divided.release(self, count - returned)
        self.memory.wake_first()

    def permits(self, count: int) -> bool:
        """Return whether `count` bytes can be reserved without the room that is set aside."""
        return self.memory.divided.permits(self, count)

    async def wait(self, timeout: float) -> bool:
        """Wait until there may be room; returns False after `timeout` seconds.

        The connection keeps its place among those that wait until it has got room or stops waiting.
        """
        future = self.memory.waiting[self] = asyncio.get_running_loop().create_future()
        done, _ = await asyncio.wait((future,), timeout=max(timeout, 0.0))
        return bool(done)

    def stop_waiting(self) -> None:
        """Give up its place among those that wait; the next one may try."""
        if self.memory.waiting.pop(self, None):
            self.memory.wake_first()
