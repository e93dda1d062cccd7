"""The batches that are open, each with what its one task is told and has out."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from thistlelever.ground import interface as it
from thistlelever.ground.submission import Submission


class Name(NamedTuple):
    """A dispatch as its engine knows it: the id of the batch, and which of its dispatches it was where it was
    begun."""

    txn: str
    number: int


@dataclass(slots=True, eq=False)
class Batch:
    """One batch from its reading to its one final answer and the end of its last dispatch."""

    number: int
    asked: Submission
    taken: it.BatchReceived
    lane: str
    limit_at: float
    inbox: asyncio.Queue = field(default_factory=asyncio.Queue)
    grant: float = 0.0
    priority: int | None = None
    dispatches: int = 0
    out: dict[int, asyncio.Task] = field(default_factory=dict)
    engines: dict[int, it.EngineId] = field(default_factory=dict)
    limits: dict[int, asyncio.Timeout] = field(default_factory=dict)
    answered: bool = False
    # What its dispatches cost by their engines' word, in core-seconds.
    true_work: float = 0.0
    # Whether its door takes columns, and lets a result begin before it is whole; whether it only changes
    # rows, so that a count is its result.
    columns: bool = False
    update: bool = False
    # The result that has begun to go on, of type `carrier.flow.Flow`.
    flow: Any = None
    # With takeover on: the check on the batch's lease, of type `carrier.leases.LeaseGuard`; and the ids at
    # their engines of dispatches that another front has begun.
    lease_guard: Any = None
    under: dict[int, Name] = field(default_factory=dict)
    backstop: asyncio.TimerHandle | None = None

    def name(self, number: int) -> Name:
        """How its engine knows a dispatch."""
        return self.under.get(number) or Name(self.asked.txn, number)


class Batches:
    """All open batches, by the number that the decisions know them by and by the client's id."""

    def __init__(self) -> None:
        self.by_number: dict[int, Batch] = {}
        self.by_txn: dict[str, Batch] = {}
        self.read = 0

    def number(self) -> int:
        """Numbers follow the order of reading, as ties are decided by them."""
        self.read += 1
        return self.read

    def add(self, batch: Batch) -> None:
        self.by_number[batch.number] = batch
        self.by_txn[batch.asked.txn] = batch

    def drop(self, batch: Batch) -> None:
        del self.by_number[batch.number]
        del self.by_txn[batch.asked.txn]
