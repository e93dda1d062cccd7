"""The batches that are open, each with what its one task is told and has out."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from thistlelever.ground import interface as it
from thistlelever.ground.submission import Submission


class DispatchName(NamedTuple):
    """A dispatch as its engine knows it: the id of the batch, and which of its dispatches it was where it was
    begun."""

    txn: str
    number: int


@dataclass(slots=True, eq=False)
class Batch:
    """One batch from its reading to its one final answer and the end of its last dispatch."""

    number: int
    submission: Submission
    received: it.BatchReceived
    class_name: str
    deadline: float
    inbox: asyncio.Queue = field(default_factory=asyncio.Queue)
    grant: float = 0.0
    priority: int | None = None
    dispatches: int = 0
    dispatch_tasks: dict[int, asyncio.Task] = field(default_factory=dict)
    engines: dict[int, it.EngineId] = field(default_factory=dict)
    timeouts: dict[int, asyncio.Timeout] = field(default_factory=dict)
    answered: bool = False
    # What its dispatches cost by their engines' word, in core-seconds.
    measured_work: float = 0.0
    # Whether its door takes columns, and lets a result begin before it is whole; whether it only changes
    # rows, so that a count is its result.
    columns: bool = False
    is_update: bool = False
    # The result that has begun to go on, of type `carrier.flow.Flow`.
    flow: Any = None
    # With takeover on: the check on the batch's lease, of type `carrier.leases.LeaseGuard`; and the ids at
    # their engines of dispatches that another front has begun.
    lease_guard: Any = None
    adopted_names: dict[int, DispatchName] = field(default_factory=dict)
    backstop: asyncio.TimerHandle | None = None

    def dispatch_name(self, number: int) -> DispatchName:
        """How its engine knows a dispatch."""
        return self.adopted_names.get(number) or DispatchName(self.submission.txn, number)


class Batches:
    """All open batches, by the number that the decisions know them by and by the client's id."""

    def __init__(self) -> None:
        self.by_number: dict[int, Batch] = {}
        self.by_txn: dict[str, Batch] = {}
        self.last_number = 0

    def next_number(self) -> int:
        """Numbers follow the order of reading, as ties are decided by them."""
        self.last_number += 1
        return self.last_number

    def add(self, batch: Batch) -> None:
        self.by_number[batch.number] = batch
        self.by_txn[batch.submission.txn] = batch

    def drop(self, batch: Batch) -> None:
        del self.by_number[batch.number]
        del self.by_txn[batch.submission.txn]
