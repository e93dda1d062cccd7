"""Open batches, each with its state, its inbox and its running dispatches."""

from __future__ import annotations

import asyncio
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from thistlelever.ground import interface as it
from thistlelever.ground.submission import Submission
from thistlelever.store.request_memory import request_size
from thistlelever.store.used_ids import UsedIds


class DispatchName(NamedTuple):
    """Identifies a dispatch at its engine: the id of the batch and the number of the dispatch on the front
    that started it."""

    txn: str
    number: int


@dataclass(slots=True, eq=False)
class Batch:
    """One batch, from its submission to its final answer and the end of its last dispatch.

    `number` is unique in this front. `class_name` names the query class, `deadline` is in seconds on the
    front's clock, `grant` is the memory granted to a dispatch in MB, `dispatches` counts those started. The
    task of the batch receives its messages through `inbox`. `dispatch_tasks`, `engines` and `timeouts` are
    keyed by the number of the dispatch, and so is `progress`, without those that certainly never ran.
    `repeat_harmless`: its client may submit it again though it may have run. `answered` is set once the final
    answer is given or its client has left.
    """

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
    # How far each dispatch has come, of type `carrier.dispatch.DispatchProgress`.
    progress: dict[int, Any] = field(default_factory=dict)
    repeat_harmless: bool = False
    answered: bool = False
    # Cost of its dispatches as reported by the engines, in core-seconds.
    measured_work: float = 0.0
    # Identifies the client's connection; clients share the memory for open requests.
    client: Hashable = None
    # `columns`: the client's protocol takes columnar data and lets a result start before it is complete.
    # `is_update`: the statement only changes rows, so that its result is a row count.
    columns: bool = False
    is_update: bool = False
    # The result that is being streamed to the client, of type `carrier.result_stream.ResultStream`.
    result_stream: Any = None
    # With takeover on: the check on the batch's lease, of type `carrier.leases.LeaseGuard`; and the ids at
    # their engines of dispatches that another front has begun.
    lease_guard: Any = None
    adopted_names: dict[int, DispatchName] = field(default_factory=dict)
    # When another front, or this one before its restart, first dispatched it; None if neither did.
    begun_at: float | None = None
    # With state on: the dispatch that is stored as the first one that may have run.
    recorded_dispatch: int | None = None
    backstop: asyncio.TimerHandle | None = None

    def dispatch_name(self, number: int) -> DispatchName:
        """Return the name under which the engine knows the dispatch."""
        return self.adopted_names.get(number) or DispatchName(self.submission.txn, number)

    def received_event(self, now: float) -> it.BatchReceived:
        """Return the event that tells the decisions of the batch at `now`, however long it has waited."""
        running_for = 0.0 if self.begun_at is None else now - self.begun_at
        time_left = self.deadline - now
        waited_for = max(self.received.time_limit - time_left, 0.0)
        return self.received._replace(time_limit=time_left, running_for=running_for, waited_for=waited_for)

    def size(self) -> int:
        """Return the bytes that the batch counts for while it is open."""
        return request_size(self.submission.statement)

    def may_have_run(self) -> bool:
        """Whether an engine may have run the batch, for this front or for one that dispatched it before."""
        if self.adopted_names or self.begun_at is not None:
            return True
        return any(progress.started for progress in self.progress.values())

    def may_be_repeated(self) -> bool:
        """Return whether its client may submit it again: no harm is done by it, or no engine has run it."""
        return self.repeat_harmless or not self.may_have_run()


class Batches:
    """All open batches, indexed by number (used by the decision loop) and by the client's id."""

    def __init__(self) -> None:
        """Start without batches."""
        self.by_number: dict[int, Batch] = {}
        self.by_txn: dict[str, Batch] = {}
        # Of batches that are over, may have run and must not run again.
        self.used_ids = UsedIds()
        self.last_number = 0

    def next_number(self) -> int:
        """Return the next batch number. Numbers follow the order of arrival and break ties in decisions."""
        self.last_number += 1
        return self.last_number

    def add(self, batch: Batch) -> None:
        """Add an open batch."""
        self.by_number[batch.number] = batch
        self.by_txn[batch.submission.txn] = batch

    def drop(self, batch: Batch) -> None:
        """Remove a batch that is finished; `KeyError` when it is not open."""
        del self.by_number[batch.number]
        del self.by_txn[batch.submission.txn]
