"""The decisions' record of a batch without a final answer, and of its dispatches."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from thistlelever.admission.batch_ends import Hold
from thistlelever.ground import interface as it

# Number and engine of a run that another front began at an engine that is gone.
ADOPTED_RUN, GONE_ENGINE = -1, -1


class OpenDispatch:
    """One dispatch without an outcome yet; `engine` is the engine's index."""

    def __init__(self, batch: Batch, engine: int, now: float) -> None:
        """Record a dispatch of `batch` that is sent now, under the batch's next number."""
        self.batch = batch
        self.number = batch.dispatch_count
        self.engine = engine
        self.sent_at = now
        self.work = batch.work
        self.width = batch.width
        self.memory = batch.memory
        # The share of the work that the engine reports as done, 0 to 1.
        self.progress = 0.0


class Batch:
    """One batch that has no final answer yet, or is answered and still has an open dispatch."""

    def __init__(
        self,
        received: it.BatchReceived,
        query_class: it.QueryClass,
        now: float,
        work: float,
        memory: float,
    ) -> None:
        """Record a batch received now, with its estimated work (thread-seconds) and memory (MB)."""
        self.id = received.batch
        self.class_index = received.query_class
        self.key = received.key
        self.table_group = received.table_group
        self.width = query_class.width
        self.work = work
        self.memory = memory
        # Estimated run time on an engine of usual speed.
        self.run_time = work / query_class.width
        self.received_at = now
        # Until when it counts as just received (`Front.is_hopeless`).
        self.fresh_until = now
        # When its client's time limit ends.
        self.limit_at = now + received.time_limit
        # When it must be answered to meet the latency objective.
        self.objective_at = min(
            now + query_class.goal + query_class.goal_stretch * self.run_time, self.limit_at
        )
        self.dispatch_count = 0
        self.open_dispatches: dict[int, OpenDispatch] = {}
        # How many of its dispatches have ended while their engines may still run them.
        self.stopping_count = 0
        # Number, engine and time of each dispatch that may have run, in dispatch order. One of another front
        # whose engine is gone has the number `ADOPTED_RUN` and the engine `GONE_ENGINE`.
        self.possible_runs: list[tuple[int, int, float]] = []
        self.queued = False
        self.answered = False
        self.tried_engines: set[int] = set()
        # For the counters: what held it back when it was last looked at, and how its last dispatch ended.
        self.hold: Hold | None = None
        self.last_outcome: it.DispatchOutcome | None = None
        # The unfinished batches of its key in the order received, itself included; empty without a key.
        self.key_queue: list[Batch] = []
        # The generator of `Front.run_batch`.
        self.task: Generator[Any, Any, None]

    def __lt__(self, other: Batch) -> bool:
        """Earliest latency objective first, then first received, then lowest id."""
        return (self.objective_at, self.received_at, self.id) < (
            other.objective_at,
            other.received_at,
            other.id,
        )
