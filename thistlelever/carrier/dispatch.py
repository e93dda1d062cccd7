"""Runs dispatches and probes independently of the engine's protocol: time limits, outcomes, cancellation."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol

from thistlelever.admission.outcomes import MAY_RUN_ON
from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.result_stream import ResultStream, ReaderLeftError
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.log import Log
from thistlelever.ground.config import Entry
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, DispatchName
from thistlelever.store.engine_registry import EngineRegistry


class NoResultError(Exception):
    """A dispatch has ended without a result."""

    def __init__(self, outcome: it.DispatchOutcome) -> None:
        """Set the outcome that the dispatch ends with."""
        super().__init__(outcome.name)
        self.outcome = outcome


@dataclass(slots=True)
class End:
    """How a dispatch ended, and its result if it was returned.

    The result is pages of rows, or for a batch that wants columns from an engine that sends them the Flight
    messages as received. `took` is in seconds, `true_work` in core-seconds, `true_memory` in MB. The class
    name is written in counters.
    """

    number: int
    engine: it.EngineId
    outcome: it.DispatchOutcome = it.DispatchOutcome.ERRORED
    took: float = 0.0
    true_work: float = 0.0
    true_memory: float = 0.0
    report: tuple[float, ...] = ()
    pages: list[bytes] = field(default_factory=list)
    stream_messages: list[bytes] | None = None
    # Number of rows that an update changed; -1 if the engine did not report it.
    changed: int = -1
    # Set once the result is streamed to the client before it is complete.
    result_stream: ResultStream | None = None
    # Cancels the dispatch at its engine; set if the engine may still run it.
    cancelling: asyncio.Task | None = None
    # Whether the engine, asked again, did not know the dispatch.
    engine_forgot: bool = False

    def is_stopping(self) -> bool:
        """Whether it is not yet known if the engine has stopped running the dispatch."""
        return self.cancelling is not None and not self.cancelling.done()

    def event(self, batch: int, complete: bool) -> it.DispatchEnded:
        """Return the event for the decisions; `complete`: the batch is answered."""
        return it.DispatchEnded(
            batch,
            self.number,
            self.engine,
            self.outcome,
            self.took,
            complete,
            self.true_work,
            self.true_memory,
            self.report,
            self.is_stopping(),
            self.engine_forgot,
        )


@dataclass(slots=True)
class DispatchProgress:
    """How far a dispatch has come, from which its outcome is derived. Times in seconds."""

    number: int
    # Whether the dispatch may still start. Checked right before the first byte of each call that may make an
    # engine run it, as much may have changed while the connection was being made.
    may_start: Callable[[], bool] = lambda: True
    started: bool = False
    # When the decisions requested it.
    ordered_at: float = 0.0
    # When the engine was last called for the batch; whether the engine has confirmed that it has it.
    last_call_at: float = 0.0
    acknowledged: bool = False
    # Whether the engine refused a connection.
    engine_dead: bool = False
    posts: int = 0
    pages: int = 0
    # By page, whether no data has followed it; pages that are known to be whole are not in it.
    page_watches: dict[int, asyncio.Future[bool]] = field(default_factory=dict)


class EngineProtocol(Protocol):
    """The protocol of one kind of engine. Only `cancel_dispatch` may outlive its dispatch."""

    async def run_dispatch(
        self, batch: Batch, entry: Entry, end: End, progress: DispatchProgress, deadline: float
    ) -> None:
        """Run the whole dispatch: sets `end.outcome` and the result, or raises `NoResultError`.

        `progress.started` must be set from the first byte that may make the engine run the batch, so that a
        batch that may have run is not reported as never run.
        """

    async def resume(
        self, batch: Batch, entry: Entry, end: End, progress: DispatchProgress, deadline: float
    ) -> None:
        """Continue a dispatch that another front began, by its name in `batch.adopted_names`; starts nothing.

        Otherwise like `run_dispatch`. The outcome is `ASTRAY` if the engine does not know the dispatch.
        """

    async def query_status(self, entry: Entry, name: DispatchName) -> str:
        """Poll a batch that no client waits for here, so that its engine keeps it or its result. Returns
        `running`, `over`, `unknown` or `silent`."""

    async def cancel_by_name(self, entry: Entry, name: DispatchName) -> None:
        """Cancel a dispatch that another front started."""

    async def cancel_dispatch(self, batch: Batch, entry: Entry, progress: DispatchProgress) -> None:
        """Cancel a dispatch; returns once the engine certainly no longer runs it, or cannot be reached."""

    async def wait_until_stopped(self, progress: DispatchProgress) -> None:
        """Wait until the engine certainly no longer runs the dispatch, where cancelling is not allowed."""

    async def set_priority(self, batch: Batch, entry: Entry, number: int) -> None:
        """Set the batch's new priority for a dispatch. The call is made once; a failure is only counted."""

    async def probe(self, entry: Entry) -> tuple[it.DispatchOutcome, tuple[float, ...]]:
        """Request the engine's load; returns the outcome of the call and the reported values."""


class Dispatcher:
    """Starts dispatches and probes, and cancels dispatches that fail or are no longer needed."""

    def __init__(
        self,
        settings: it.Settings,
        registry: EngineRegistry,
        protocol: Callable[[Entry], EngineProtocol],
        decisions: DecisionLoop,
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Use the protocol that `protocol` returns for an engine."""
        self.allows_cancel, self.allows_copies = settings.cancel, settings.copies
        # Gives the protocol of an engine.
        self.protocol = protocol
        self.registry, self.decisions, self.metrics, self.log = registry, decisions, metrics, log
        self.background: set[asyncio.Task] = set()

    def start(self, batch: Batch, number: int, request: it.Dispatch) -> asyncio.Task:
        """Start a dispatch as a task; its `End` goes to the batch's inbox, also if the task is cancelled."""
        batch.engines[number] = request.engine
        self.registry.dispatch_started(request.engine)
        # A task that is cancelled before its first step never runs, so the end is reported by a callback;
        # otherwise the batch would stay open.
        end = End(number, request.engine, it.DispatchOutcome.UNSENT)
        task = asyncio.get_running_loop().create_task(self.dispatch(batch, end, request))
        task.add_done_callback(lambda task: self.on_task_done(batch, end))
        return task

    def on_task_done(self, batch: Batch, end: End) -> None:
        """Report the end of a dispatch to its batch, however its task ended."""
        self.registry.dispatch_ended(end.engine)
        self.metrics.add(f"dispatches {end.outcome.name.lower()}")
        batch.inbox.put_nowait(end)

    def may_start(self, batch: Batch, request: it.Dispatch) -> bool:
        """Whether a dispatch may still be sent; logged and counted if not.

        Since it was requested, its client may have left, its engine may drain (which counts from the first
        byte), or its repeats may no longer be dropped as duplicates.
        """
        why = self.refusal(batch, request)
        if not why:
            return True
        self.metrics.add(f"dispatches withheld: {why}")
        self.log(
            "dispatch withheld", id=batch.submission.txn, engine=request.engine.decode("latin-1"), why=why
        )
        return False

    def refusal(self, batch: Batch, request: it.Dispatch) -> str:
        """Return why a dispatch may no longer be sent, or an empty string if it may."""
        if batch.answered:
            return "answered or left"
        if not self.registry.accepts_dispatches(request.engine):
            return "engine draining or gone"
        if clock.now() >= request.begin_by:
            return "too late to begin"
        if batch.lease_guard and not batch.lease_guard.is_held():
            return "not surely this front's"
        return ""

    async def dispatch(self, batch: Batch, end: End, request: it.Dispatch) -> None:
        """Run one dispatch to its end, and cancel it at its engine where it may still run there."""
        started_at, number = clock.now(), end.number
        deadline = (
            min(started_at + request.time_out, batch.deadline) if request.time_out > 0 else batch.deadline
        )
        progress = DispatchProgress(number, lambda: self.may_start(batch, request), ordered_at=started_at)
        batch.progress[number] = progress
        try:
            entry = self.registry.entries.get(request.engine)
            if batch.answered or deadline <= started_at or entry is None:
                end.outcome = self.never_sent(batch, number)
            else:
                async with asyncio.timeout_at(clock.on_loop(deadline)) as batch.timeouts[number]:
                    await self.run_protocol(batch, entry, end, progress, deadline)
        except TimeoutError:
            # A wait for a free connection of this front must not be reported as an unreachable engine, which
            # would then count as cold.
            end.outcome = it.DispatchOutcome.TIMED_OUT if progress.started else it.DispatchOutcome.UNSENT
        except (asyncio.CancelledError, ReaderLeftError):
            end.outcome = it.DispatchOutcome.CANCELLED
        except NoResultError as why:
            end.outcome = why.outcome
        except Exception as why:
            self.metrics.add("dispatch failed")
            self.log("dispatch failed", why=repr(why), trace=traceback.format_exc())
            end.outcome = it.DispatchOutcome.ERRORED
        end.took = clock.now() - started_at
        self.log_failure(batch, end, progress)
        if end.result_stream:
            end.result_stream.end(end.outcome)
        batch.timeouts.pop(number, None)
        if progress.started and end.outcome in MAY_RUN_ON:
            may_retry = end.outcome is not it.DispatchOutcome.TIMED_OUT or deadline < batch.deadline
            left = max(batch.deadline - clock.now(), 0.0)
            # A second cancellation must not prevent the end from being reported; the batch would stay open.
            with suppress(asyncio.CancelledError, TimeoutError):
                if self.allows_cancel:
                    end.cancelling = self.run_in_background(self.cancel_dispatch(batch, entry, progress))
                    if may_retry:
                        await self.wait_until_cancelled(batch, end.cancelling)
                elif may_retry and not self.allows_copies:
                    # Without cancelling, a time-out reported at once would let the next dispatch run beside
                    # this one.
                    await asyncio.wait_for(self.protocol(entry).wait_until_stopped(progress), left)

    async def wait_until_cancelled(self, batch: Batch, cancelling: asyncio.Task) -> None:
        """Wait for a cancel as long as its batch may be dispatched again, so that no further dispatch runs
        beside this one.

        A cancellation of the dispatch that comes meanwhile ends the wait only if the batch is answered.
        """
        while not cancelling.done() and clock.now() < batch.deadline:
            try:
                await asyncio.wait((cancelling,), timeout=batch.deadline - clock.now())
            except asyncio.CancelledError:
                if batch.answered:
                    return

    def log_failure(self, batch: Batch, end: End, progress: DispatchProgress) -> None:
        """Log a dispatch that ended without a result, unless it was cancelled."""
        if end.outcome in (it.DispatchOutcome.RETURNED, it.DispatchOutcome.CANCELLED):
            return
        self.log(
            "dispatch ended",
            id=batch.submission.txn,
            number=end.number,
            engine=end.engine.decode("latin-1"),
            fate=end.outcome.name.lower(),
            took=round(end.took, 4),
            sent=progress.posts,
        )

    async def run_protocol(
        self, batch: Batch, entry: Entry, end: End, progress: DispatchProgress, deadline: float
    ) -> None:
        """Run or resume the dispatch by its engine's protocol, once the lease allows it."""
        if batch.lease_guard and not await batch.lease_guard.begin_dispatch(end.number, end.engine):
            raise NoResultError(self.never_sent(batch, end.number))
        if end.number in batch.adopted_names:
            await self.protocol(entry).resume(batch, entry, end, progress, deadline)
        else:
            await self.protocol(entry).run_dispatch(batch, entry, end, progress, deadline)

    def never_sent(self, batch: Batch, number: int) -> it.DispatchOutcome:
        """Return the outcome of a dispatch that was not sent from here. One that another front began may have
        run, and must not be reported as never sent."""
        return it.DispatchOutcome.ASTRAY if number in batch.adopted_names else it.DispatchOutcome.UNSENT

    async def cancel_dispatch(self, batch: Batch, entry: Entry, progress: DispatchProgress) -> None:
        """Cancel a dispatch at its engine, unless another front may have taken the batch over."""
        if not batch.lease_guard or await batch.lease_guard.may_cancel():
            await self.protocol(entry).cancel_dispatch(batch, entry, progress)

    def reprioritise(self, batch: Batch) -> None:
        """Send the batch's new priority to the engines of its running dispatches."""
        for number in batch.dispatch_tasks:
            entry = self.registry.entries.get(batch.engines[number])
            if entry:
                self.run_in_background(self.protocol(entry).set_priority(batch, entry, number))

    def probe(self, action: it.Probe) -> None:
        """Start a probe; its end goes to the decisions as an event."""
        self.run_in_background(self.run_probe(action.engine))

    async def run_probe(self, engine: it.EngineId) -> None:
        """Probe one engine; one that is not listed counts as unreachable."""
        started_at, outcome, report, entry = (
            clock.now(),
            it.DispatchOutcome.UNREACHABLE,
            (),
            self.registry.entries.get(engine),
        )
        if entry:
            outcome, report = await self.protocol(entry).probe(entry)
        self.decisions.add_event(it.ProbeEnded(engine, outcome, clock.now() - started_at, report))

    def run_in_background(self, work: Coroutine) -> asyncio.Task:
        """Run a coroutine as a task and keep a reference until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task
