"""The buffer that a stream is read into. Messages are slices of it until it is next filled."""

from __future__ import annotations


class TooLong(Exception):
    """A message passes the longest that is taken in."""


class Inflow:
    """Bytes read and not yet used lie between `start` and `end` of one buffer."""

    def __init__(self, size: int, longest: int) -> None:
        self.size, self.longest = size, longest
        self.data, self.start, self.end = bytearray(size), 0, 0

    def room(self) -> memoryview:
        """Where the next read goes. Slices given out before are void after this call."""
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > self.size:
                # One long message must not keep its memory for as long as the connection lasts.
                self.data = bytearray(self.size)
        elif self.end == len(self.data):
            kept = self.end - self.start
            if kept >= self.longest:
                raise TooLong(f"more than {self.longest} bytes in one message")
            # A fresh buffer, as one that slices still point into can't be resized.
            size = len(self.data) if self.start else min(2 * len(self.data), self.longest)
            data = bytearray(size)
            data[:kept] = memoryview(self.data)[self.start:self.end]
            self.data, self.start, self.end = data, 0, kept
        return memoryview(self.data)[self.end:]

    def filled(self, count: int) -> None:
        self.end += count

    def line(self) -> memoryview | None:
        """The next line without its line feed, if it is all there."""
        at = self.data.find(b"\n", self.start, self.end)
        if at < 0:
            return None
        line = memoryview(self.data)[self.start:at]
        self.start = at + 1
        return line
