"""The buffer that a stream is read into. Messages are slices of it until it is next filled."""

from __future__ import annotations


class TooLong(Exception):
    """A message passes the longest that is taken in."""


class BufferQuota:
    """What all buffers that share it may have grown by, in bytes."""

    def __init__(self, limit: int) -> None:
        self.limit, self.reserved = limit, 0

    def reserve(self, count: int) -> None:
        if count > 0 and self.reserved + count > self.limit:
            raise TooLong(f"more than {self.limit} bytes in the unfinished messages of all")
        self.reserved += count


class ReadBuffer:
    """Bytes read and not yet used lie between `start` and `end` of one buffer."""

    def __init__(self, size: int, max_message: int, quota: BufferQuota | None = None) -> None:
        self.size, self.max_message, self.quota = size, max_message, quota or BufferQuota(max_message)
        self.data, self.start, self.end, self.interim_replies = bytearray(size), 0, 0, 0

    def writable(self) -> memoryview:
        """Where the next read goes. Slices given out before are void after this call."""
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > self.size:
                # One long message must not keep its memory for as long as the connection lasts.
                self.release()
                self.data = bytearray(self.size)
        elif self.end == len(self.data):
            kept = self.end - self.start
            if kept >= self.max_message:
                raise TooLong(f"more than {self.max_message} bytes in one message")
            # A fresh buffer, as one that slices still point into can't be resized.
            size = len(self.data) if self.start else min(2 * len(self.data), self.max_message)
            self.quota.reserve(size - len(self.data))
            data = bytearray(size)
            data[:kept] = memoryview(self.data)[self.start : self.end]
            self.data, self.start, self.end = data, 0, kept
        return memoryview(self.data)[self.end :]

    def release(self) -> None:
        """The buffer goes, and what it had grown by is for others."""
        self.quota.reserve(self.size - max(len(self.data), self.size))
        self.data, self.start, self.end = bytearray(), 0, 0

    def can_grow(self) -> bool:
        """Whether a buffer that is full may get larger, for what else is to be read ahead."""
        size = len(self.data)
        return size < self.max_message and self.quota.reserved + size <= self.quota.limit

    def has_line(self) -> bool:
        """Whether a whole line waits to be taken."""
        return self.data.find(b"\n", self.start, self.end) >= 0

    def discard(self) -> None:
        """Nothing of what has come is wanted."""
        self.start = self.end

    def advance(self, count: int) -> None:
        self.end += count

    def next_line(self) -> memoryview | None:
        """The next line without its line feed, if it is all there."""
        at = self.data.find(b"\n", self.start, self.end)
        if at < 0:
            return None
        line = memoryview(self.data)[self.start : at]
        self.start = at + 1
        return line
