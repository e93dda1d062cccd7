"""A result that goes on to its client before it is all in: bounded, in order, of one dispatch alone."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from thistlelever.ground.interface import DispatchOutcome


class ReaderLeftError(Exception):
    """Nobody takes the rest of the result."""


class ResultStream:
    """Messages between the one dispatch that brings them and the one client that takes them."""

    def __init__(self, number: int, initial: list[bytes], max_bytes: int) -> None:
        # Past `max_bytes` bytes that lie here the engine is not read, and its connection's flow control holds it.
        self.number, self.max_bytes = number, max_bytes
        self.queued, self.queued_bytes = deque(initial), sum(map(len, initial))
        # How the dispatch ended; None while it goes on. Whatever is not `RETURNED` is no whole result.
        self.outcome: DispatchOutcome | None = None
        self.reader_left = False
        self.changed = asyncio.Event()

    async def put(self, message: bytes) -> None:
        """Hand on one message once there is room for it."""
        while self.queued_bytes >= self.max_bytes and not self.reader_left:
            self.changed.clear()
            await self.changed.wait()
        if self.reader_left:
            raise ReaderLeftError
        self.queued.append(message)
        self.queued_bytes += len(message)
        self.changed.set()

    async def take(self) -> bytes | None:
        """The next message; None at the end, and then `outcome` says whether it is the whole."""
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
        """Risk: what was handed on before a break, taken on to its end, could pass for more than it is: at a
        break the client hears of it at once."""
        self.outcome = outcome
        if outcome is not DispatchOutcome.RETURNED:
            self.discard()
        self.changed.set()

    def is_usable(self) -> bool:
        """Whether the dispatch goes on or has brought the whole."""
        return self.outcome in (None, DispatchOutcome.RETURNED)

    def close_reader(self) -> None:
        """The client takes no more."""
        self.reader_left = True
        self.discard()
        self.changed.set()

    def discard(self) -> None:
        self.queued.clear()
        self.queued_bytes = 0


@dataclass(slots=True)
class Begun:
    """A dispatch asks that its result may go on before it is all in."""

    number: int
    result_stream: ResultStream
