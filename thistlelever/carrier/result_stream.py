"""A result that is passed to its client while its engine still sends it."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from thistlelever.ground.interface import DispatchOutcome


class ReaderLeftError(Exception):
    """The client does not read the rest of the result."""


class ResultStream:
    """A bounded queue of messages from one dispatch to one client.

    `number` is that of the dispatch; `initial` are the messages that came before streaming began.
    """

    def __init__(self, number: int, initial: list[bytes], max_bytes: int) -> None:
        """Start with the messages in `initial`; `max_bytes` bounds the queue."""
        # Past `max_bytes` queued bytes the engine is not read, so that flow control slows it down.
        self.number, self.max_bytes = number, max_bytes
        self.queued, self.queued_bytes = deque(initial), sum(map(len, initial))
        # How the dispatch ended, None while it runs, or `CANCELLED` for a reader that has left. The result is
        # complete only if it is `RETURNED`.
        self.outcome: DispatchOutcome | None = None
        self.reader_left = False
        self.changed = asyncio.Event()

    async def put(self, message: bytes) -> None:
        """Queue a message once there is room; raises `ReaderLeftError` if the client has left."""
        while self.queued_bytes >= self.max_bytes and not self.reader_left:
            self.changed.clear()
            await self.changed.wait()
        if self.reader_left:
            raise ReaderLeftError
        self.queued.append(message)
        self.queued_bytes += len(message)
        self.changed.set()

    async def take(self) -> bytes | None:
        """Return the next message, or None at the end, when `outcome` tells if the result is complete."""
        while not self.queued and self.outcome is None:
            self.changed.clear()
            await self.changed.wait()
        if not self.queued:
            return None
        message = self.queued.popleft()
        self.queued_bytes -= len(message)
        self.changed.set()
        return message

    def end(self, outcome: DispatchOutcome) -> None:
        """End the stream. If the dispatch failed, queued messages are discarded, so that the client gets the
        failure at once and does not take a part for the whole."""
        self.outcome = outcome
        if self.reader_left and outcome is DispatchOutcome.RETURNED:
            self.outcome = DispatchOutcome.CANCELLED
        if outcome is not DispatchOutcome.RETURNED:
            self.discard()
        self.changed.set()

    def is_usable(self) -> bool:
        """Whether the dispatch is still running or has returned the whole result."""
        return self.outcome in (None, DispatchOutcome.RETURNED)

    def close_reader(self) -> None:
        """Stop the stream because the client reads no more; what it was sent is not the complete result."""
        self.reader_left = True
        if self.outcome is DispatchOutcome.RETURNED:
            self.outcome = DispatchOutcome.CANCELLED
        self.discard()
        self.changed.set()

    def discard(self) -> None:
        """Drop the queued messages."""
        self.queued.clear()
        self.queued_bytes = 0


@dataclass(slots=True)
class Begun:
    """Request of a dispatch to pass on its result before it is complete. Its name is written in counters."""

    number: int
    result_stream: ResultStream
