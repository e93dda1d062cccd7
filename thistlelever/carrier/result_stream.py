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

    def __init__(self, number: int, held: list[bytes], most: int) -> None:
        # Past `most` bytes that lie here the engine is not read, and its connection's flow control holds it.
        self.number, self.most = number, most
        self.waiting, self.size = deque(held), sum(map(len, held))
        # How the dispatch ended; None while it goes on. Whatever is not `RETURNED` is no whole result.
        self.outcome: DispatchOutcome | None = None
        self.left = False
        self.stir = asyncio.Event()

    async def put(self, message: bytes) -> None:
        """Hand on one message once there is room for it."""
        while self.size >= self.most and not self.left:
            self.stir.clear()
            await self.stir.wait()
        if self.left:
            raise ReaderLeftError
        self.waiting.append(message)
        self.size += len(message)
        self.stir.set()

    async def take(self) -> bytes | None:
        """The next message; None at the end, and then `outcome` says whether it is the whole."""
        while not self.waiting and self.outcome is None:
            self.stir.clear()
            await self.stir.wait()
        if not self.waiting:
            return None
        message = self.waiting.popleft()
        self.size -= len(message)
        self.stir.set()
        return message

    def end(self, outcome: DispatchOutcome) -> None:
        """Risk: what was handed on before a break, taken on to its end, could pass for more than it is: at a
        break the client hears of it at once."""
        self.outcome = outcome
        if outcome is not DispatchOutcome.RETURNED:
            self.drop()
        self.stir.set()

    def sound(self) -> bool:
        """Whether the dispatch goes on or has brought the whole."""
        return self.outcome in (None, DispatchOutcome.RETURNED)

    def leave(self) -> None:
        """The client takes no more."""
        self.left = True
        self.drop()
        self.stir.set()

    def drop(self) -> None:
        self.waiting.clear()
        self.size = 0


@dataclass(slots=True)
class Begun:
    """A dispatch asks that its result may go on before it is all in."""

    number: int
    result_stream: ResultStream
