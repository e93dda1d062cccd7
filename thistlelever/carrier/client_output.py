"""Answers to one client that its connection has not taken yet."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from thistlelever.store.divided_memory import DividedMemory
from thistlelever.store.stream import Stream

# What a client may leave unread, in bytes: the answers to 32 requests, with 48,000 bytes in base64 each.
MAX_UNSENT_BYTES = 32 * 66_000
# Past so many bytes the client's next calls are not read.
PAUSE_BYTES = 65_536
# What an answer that waits holds beside its bytes.
ANSWER_OVERHEAD_BYTES = 128
# Answers that wait are written together, up to about so many bytes at a time.
MAX_WRITE_BYTES = 65_536


class ClientOutput:
    """Writes answers in order, with one write to the stream in progress at a time.

    `memory` gives the memory for the unread answers of all clients. `on_progress` is called whenever the
    connection has taken answers that it did not take at once.
    """

    __slots__ = (
        "waiting",
        "below_pause",
        "held",
        "writing",
        "on_progress",
        "stream",
        "memory",
    )

    def __init__(
        self, stream: Stream, memory: Callable[[], DividedMemory], on_progress: Callable[[], None]
    ) -> None:
        """Write to a connected stream."""
        self.stream, self.memory, self.on_progress = stream, memory, on_progress
        # None while none waits, as an empty deque takes as much memory as all else here.
        self.waiting: deque[bytes] | None = None
        # What counts against the memory: the write in progress, and the answers that wait.
        self.writing, self.held = 0, 0
        self.below_pause: asyncio.Future[None] | None = None

    def has_unsent(self) -> bool:
        """Return whether the connection has not taken all answers yet."""
        return bool(self.writing or self.waiting)

    def is_full(self) -> bool:
        """Return whether the client has to read answers before its next calls are handled."""
        return self.held >= PAUSE_BYTES

    def when_below_pause(self) -> asyncio.Future[None]:
        """Return a future that is done once it is no longer full, or the stream is closed."""
        if self.below_pause is None or self.below_pause.done():
            self.below_pause = asyncio.get_running_loop().create_future()
        return self.below_pause

    def write(self, data: bytes) -> bool:
        """Write an answer without waiting for it; returns False if the client leaves too much unread."""
        if not self.has_unsent():
            return self.start_write(data)
        size = len(data) + ANSWER_OVERHEAD_BYTES
        if self.held + size > MAX_UNSENT_BYTES or not self.memory().reserve(self, size):
            return False
        self.held += size
        self.waiting = self.waiting or deque()
        self.waiting.append(data)
        return True

    def start_write(self, data: bytes) -> bool:
        """Write to the stream; returns False if it does not take all at once and there is no memory."""
        has_memory = self.memory().reserve(self, len(data))
        written = self.stream.write(data)
        if written.done() or not has_memory:
            if has_memory:
                self.memory().release(self, len(data))
            return written.done()
        self.writing = len(data)
        self.held += len(data)
        written.add_done_callback(self.on_written)
        return True

    def on_written(self, written: asyncio.Future) -> None:
        """Go on with the answers that wait, or drop them if the write failed."""
        if not self.writing:
            return
        if written.cancelled() or written.exception():
            self.clear()
            return
        self.release(self.writing)
        self.writing = 0
        self.write_waiting()
        if not self.is_full():
            self.wake()
        self.on_progress()

    def write_waiting(self) -> None:
        """Write the answers that wait, until the stream does not take one at once."""
        while self.waiting and not self.writing:
            answers, size = [], 0
            while self.waiting and size < MAX_WRITE_BYTES:
                answers.append(self.waiting.popleft())
                size += len(answers[-1])
            self.release(size + ANSWER_OVERHEAD_BYTES * len(answers))
            if self.stream.closed() or not self.start_write(b"".join(answers)):
                self.stream.close()
                self.clear()
        if not self.waiting:
            self.waiting = None

    def release(self, size: int) -> None:
        """Return memory of answers that are sent or dropped."""
        self.held -= size
        self.memory().release(self, size)

    def wake(self) -> None:
        """Tell who waits for it that it is no longer full."""
        if self.below_pause and not self.below_pause.done():
            self.below_pause.set_result(None)

    def close(self) -> None:
        """Drop all answers, and the callback, which refers to the session that refers to this object."""
        self.clear()
        self.on_progress = lambda: None

    def clear(self) -> None:
        """Drop all answers that are not sent, as the connection has ended."""
        self.waiting, self.writing = None, 0
        if self.held:
            self.release(self.held)
        self.wake()
