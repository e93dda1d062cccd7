"""Buffer that a stream is read into; messages are slices of it, valid until the next read."""

from __future__ import annotations

from typing import Protocol


class TooLong(Exception):
    """A message, or all unfinished messages together, exceed the allowed size."""


class OutOfMemory(TooLong):
    """There is no memory for a longer message now; there may be later."""


class GrowthLimit(Protocol):
    """Limits the growth of a buffer."""

    def reserve(self, count: int) -> None:
        """Reserve `count` bytes, or release them if negative; raises `TooLong` where that is not allowed."""

    def permits(self, count: int) -> bool:
        """Return whether `count` bytes more can be reserved."""


class BufferQuota:
    """Limit in bytes on the growth of all buffers that share it."""

    def __init__(self, limit: int) -> None:
        """Take the limit in bytes."""
        self.limit, self.reserved = limit, 0

    def reserve(self, count: int) -> None:
        """Reserve `count` bytes, or release them if negative; raises `TooLong` beyond the limit."""
        if count > 0 and self.reserved + count > self.limit:
            raise TooLong(f"more than {self.limit} bytes in the unfinished messages of all")
        self.reserved += count

    def permits(self, count: int) -> bool:
        """Return whether `count` bytes more can be reserved."""
        return self.reserved + count <= self.limit


class ReadBuffer:
    """A growing buffer whose unread bytes lie between `start` and `end`."""

    __slots__ = (
        "side",
        "start",
        "size",
        "max_message",
        "quota",
        "data",
        "end",
        "interim_replies",
    )

    def __init__(self, size: int, max_message: int, quota: GrowthLimit | None = None) -> None:
        """Take the initial size and the longest message, both in bytes, and a limit on growth."""
        self.size, self.max_message, self.quota = size, max_message, quota or BufferQuota(max_message)
        self.data, self.start, self.end, self.interim_replies = bytearray(size), 0, 0, 0
        # The small buffer that is read into while a grown one holds whole lines; `None` while none is.
        self.side: bytearray | None = None

    def writable(self) -> memoryview:
        """Return the free part of the buffer, growing it when full; raises `TooLong`.

        Invalidates all slices that were returned before.
        """
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > self.size:
                # The memory of one long message must not be held for as long as the connection lasts.
                self.release()
                self.data = bytearray(self.size)
        elif self.end == len(self.data):
            kept = self.end - self.start
            if kept >= self.max_message:
                raise TooLong(f"more than {self.max_message} bytes in one message")
            # A bytearray with exported slices can't be resized, so the bytes are copied to a new one.
            size = len(self.data) if self.start else min(2 * len(self.data), self.max_message)
            self.quota.reserve(size - len(self.data))
            data = bytearray(size)
            data[:kept] = memoryview(self.data)[self.start : self.end]
            self.data, self.start, self.end = data, 0, kept
        return memoryview(self.data)[self.end :]

    def writable_beside_lines(self) -> memoryview:
        """Return where to read while whole lines wait, so that a grown buffer can be released behind them.

        Without it the read that is always in progress would keep the memory of a long line for as long as the
        client sends nothing more.
        """
        if len(self.data) <= self.size or self.end == len(self.data) or not self.has_line():
            return self.writable()
        self.side = bytearray(min(self.size, len(self.data) - self.end))
        return memoryview(self.side)

    def release_behind_lines(self) -> None:
        """Release the growth of an empty buffer if nothing is read into it."""
        if self.side is not None and self.start == self.end and len(self.data) > self.size:
            self.release()

    def release(self) -> None:
        """Free the buffer and return its growth to the quota."""
        self.quota.reserve(self.size - max(len(self.data), self.size))
        self.data, self.start, self.end = bytearray(), 0, 0

    def can_grow(self) -> bool:
        """Return whether a full buffer may grow to read further ahead."""
        size = len(self.data)
        return size < self.max_message and self.quota.permits(size)

    def has_line(self) -> bool:
        """Return whether a complete line is buffered."""
        return self.data.find(b"\n", self.start, self.end) >= 0

    def discard(self) -> None:
        """Discard all unread bytes."""
        self.start = self.end

    def advance(self, count: int) -> None:
        """Add `count` bytes that were read into what `writable` or `writable_beside_lines` returned."""
        side, self.side = self.side, None
        if side is None:
            self.end += count
        elif self.data:
            self.data[self.end : self.end + count] = memoryview(side)[:count]
            self.end += count
        else:
            self.data = side.ljust(self.size, b"\0")
            self.start, self.end = 0, count

    def next_line(self) -> memoryview | None:
        """Take the next line without its line feed, or return None while it is incomplete."""
        at = self.data.find(b"\n", self.start, self.end)
        if at < 0:
            return None
        line = memoryview(self.data)[self.start : at]
        self.start = at + 1
        return line
