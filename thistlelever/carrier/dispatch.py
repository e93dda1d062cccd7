"""One dispatch, whatever its engine speaks: its time limit, its outcome, and how it is given up."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol

from thistlelever.admission.decide import MAY_RUN_ON
from thistlelever.carrier.desk import Desk
from thistlelever.carrier.flow import Flow, ReaderLeft
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.log import Log
from thistlelever.ground.config import Entry
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, DispatchName
from thistlelever.store.engine_registry import EngineRegistry


class Ended(Exception):
    """The dispatch is over without an answer."""

    def __init__(self, outcome: it.DispatchOutcome) -> None:
        super().__init__(outcome.name)
        self.outcome = outcome


@dataclass(slots=True)
class End:
    """How a dispatch ended, with its result where it was returned: pages of rows, or for a batch that asked
    for columns from an engine that speaks them the stream's messages as they came."""

    number: int
    engine: it.EngineId
    outcome: it.DispatchOutcome = it.DispatchOutcome.ERRORED
    took: float = 0.0
    true_work: float = 0.0
    true_memory: float = 0.0
    report: tuple[float, ...] = ()
    pages: list[bytes] = field(default_factory=list)
    stream_messages: list[bytes] | None = None
    # Rows that an update has changed, where its engine says so.
    changed: int = -1
    # Where the result went on before it was whole.
    flow: Flow | None = None

    def event(self, batch: int, complete: bool) -> it.DispatchEnded:
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
        )


@dataclass(slots=True)
class Sending:
    """How far a dispatch has come, for the meaning of how it ended."""

    number: int
    # Whether it still may begin: asked right before the first byte of each call that may make an engine run
    # it, as a connection takes its time to come up and much may have changed meanwhile.
    may_begin: Callable[[], bool] = lambda: True
    begun: bool = False
    # When the decisions ordered it.
    ordered: float = 0.0
    # When the engine was last asked for the batch; whether it has ever said that it knows it.
    asked: float = 0.0
    heard: bool = False
    # Whether its engine was seen to be dead.
    dead: bool = False
    doubts: int = 0
    posts: int = 0
    pages: int = 0


class Speech(Protocol):
    """How one kind of engine is spoken to. Nothing of it outlives the dispatch but `give_up`."""

    async def converse(self, batch: Batch, entry: Entry, end: End, sent: Sending, till: float) -> None:
        """The whole dispatch: sets `end.outcome` and the result, or raises `Ended`. `sent.begun` holds from
        the first byte that may make the engine run it. Risk: an outcome told as never run of what may have
        run."""

    async def resume(self, batch: Batch, entry: Entry, end: End, sent: Sending, till: float) -> None:
        """Go on with a dispatch that another front has begun, by its id in `batch.adopted_names`: as
        `converse`, and nothing is begun. `ASTRAY` where the engine does not know of it."""

    async def ask_on(self, entry: Entry, name: DispatchName) -> str:
        """Ask for a batch that nobody waits for here, so that its engine goes on with it or keeps its result:
        `running`, `over`, `unknown` or `silent`."""

    async def call_off(self, entry: Entry, name: DispatchName) -> None:
        """Give up a batch that another front had out."""

    async def give_up(self, batch: Batch, entry: Entry, sent: Sending) -> None:
        """Returns once the engine surely runs the batch no more, or can't be told so."""

    async def run_out(self, sent: Sending) -> None:
        """Returns once the engine surely runs the batch no more, though nobody may tell it to give it up."""

    async def put(self, batch: Batch, entry: Entry, number: int) -> None:
        """The batch's new priority, for that dispatch. A call whose loss costs little: it is made once, and
        a failure is counted."""

    async def probe(self, entry: Entry) -> tuple[it.DispatchOutcome, tuple[float, ...]]:
        """How a question for the engine's load ended, and the report."""


class Dispatcher:
    """Starts dispatches and probes, and gives up on them."""

    def __init__(
        self,
        settings: it.Settings,
        registry: EngineRegistry,
        speech: Callable[[Entry], Speech],
        desk: Desk,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self.cancels, self.copies = settings.cancel, settings.copies
        # What an entry's engine speaks.
        self.speech = speech
        self.registry, self.desk, self.metrics, self.log = registry, desk, metrics, log
        self.asides: set[asyncio.Task] = set()

    def start(self, batch: Batch, number: int, order: it.Dispatch) -> asyncio.Task:
        batch.engines[number] = order.engine
        self.registry.dispatch_started(order.engine)
        # Risk: a task that is called off before its first step never takes it, and its batch would stay open.
        end = End(number, order.engine, it.DispatchOutcome.UNSENT)
        task = asyncio.get_running_loop().create_task(self.dispatch(batch, end, order))
        task.add_done_callback(lambda task: self.finished(batch, end))
        return task

    def finished(self, batch: Batch, end: End) -> None:
        """The one place where a dispatch's end is told, however its task ended."""
        self.registry.dispatch_ended(end.engine)
        self.metrics.add(f"dispatches {end.outcome.name.lower()}")
        batch.inbox.put_nowait(end)

    def may_begin(self, batch: Batch, order: it.Dispatch) -> bool:
        """Whether something of a dispatch may still be sent. Risk: its client has left, its engine drains
        (which counts from the first byte), or its repeats are no longer dropped, and it goes out all the
        same."""
        why = self.withheld(batch, order)
        if not why:
            return True
        self.metrics.add(f"dispatches withheld: {why}")
        self.log("dispatch withheld", id=batch.submission.txn, engine=order.engine.decode("latin-1"), why=why)
        return False

    def withheld(self, batch: Batch, order: it.Dispatch) -> str:
        """Why nothing of a dispatch may be sent any more; empty where it may."""
        if batch.answered:
            return "answered or left"
        if not self.registry.accepts_dispatches(order.engine):
            return "engine draining or gone"
        if clock.now() >= order.begin_by:
            return "too late to begin"
        if batch.lease_guard and not batch.lease_guard.is_held():
            return "not surely this front's"
        return ""

    async def dispatch(self, batch: Batch, end: End, order: it.Dispatch) -> None:
        """One dispatch from its first byte to its end."""
        begun, number = clock.now(), end.number
        till = min(begun + order.time_out, batch.deadline) if order.time_out > 0 else batch.deadline
        sent = Sending(number, lambda: self.may_begin(batch, order), ordered=begun)
        try:
            entry = self.registry.entries.get(order.engine)
            if batch.answered or till <= begun or entry is None:
                end.outcome = self.unsent(batch, number)
            else:
                async with asyncio.timeout_at(clock.on_loop(till)) as batch.timeouts[number]:
                    await self.sending(batch, entry, end, sent, till)
        except TimeoutError:
            # Risk: a wait for a connection of our own, told as an engine out of reach, makes that one cold.
            end.outcome = it.DispatchOutcome.TIMED_OUT if sent.begun else it.DispatchOutcome.UNSENT
        except (asyncio.CancelledError, ReaderLeft):
            end.outcome = it.DispatchOutcome.CANCELLED
        except Ended as why:
            end.outcome = why.outcome
        except Exception as why:
            self.metrics.add("dispatch failed")
            self.log("dispatch failed", why=repr(why), trace=traceback.format_exc())
            end.outcome = it.DispatchOutcome.ERRORED
        end.took = clock.now() - begun
        self.report(batch, end, sent)
        if end.flow:
            end.flow.end(end.outcome)
        batch.timeouts.pop(number, None)
        if sent.begun and end.outcome in MAY_RUN_ON:
            another = end.outcome is not it.DispatchOutcome.TIMED_OUT or till < batch.deadline
            left = max(batch.deadline - clock.now(), 0.0)
            # Risk: an end that a second order to give up swallows leaves the batch open for good.
            with suppress(asyncio.CancelledError, TimeoutError):
                if self.cancels:
                    # Risk: a further dispatch that comes before the DELETE makes two out at once.
                    given_up = self.aside(self.give_up(batch, entry, sent))
                    if another:
                        await asyncio.wait((given_up,), timeout=left)
                elif another and not self.copies:
                    # Risk: where nothing may be called off, a time-out told at once makes the next dispatch
                    # a second copy beside one that its engine runs on.
                    await asyncio.wait_for(self.speech(entry).run_out(sent), left)

    def report(self, batch: Batch, end: End, sent: Sending) -> None:
        """Log a dispatch that ended without a result, unless its client has left."""
        if end.outcome in (it.DispatchOutcome.RETURNED, it.DispatchOutcome.CANCELLED):
            return
        self.log(
            "dispatch ended",
            id=batch.submission.txn,
            number=end.number,
            engine=end.engine.decode("latin-1"),
            fate=end.outcome.name.lower(),
            took=round(end.took, 4),
            sent=sent.posts,
        )

    async def sending(self, batch: Batch, entry: Entry, end: End, sent: Sending, till: float) -> None:
        if batch.lease_guard and not await batch.lease_guard.begin_dispatch(end.number, end.engine):
            raise Ended(self.unsent(batch, end.number))
        if end.number in batch.adopted_names:
            await self.speech(entry).resume(batch, entry, end, sent, till)
        else:
            await self.speech(entry).converse(batch, entry, end, sent, till)

    def unsent(self, batch: Batch, number: int) -> it.DispatchOutcome:
        """Risk: what another front has begun, told as never sent, is taken for what never ran."""
        return it.DispatchOutcome.ASTRAY if number in batch.adopted_names else it.DispatchOutcome.UNSENT

    async def give_up(self, batch: Batch, entry: Entry, sent: Sending) -> None:
        """Risk: a front that was stopped and wakes calls off what another has gone on with."""
        if not batch.lease_guard or await batch.lease_guard.may_cancel():
            await self.speech(entry).give_up(batch, entry, sent)

    def reprioritise(self, batch: Batch) -> None:
        """The batch's priority also holds for what is out."""
        for number in batch.dispatch_tasks:
            entry = self.registry.entries.get(batch.engines[number])
            if entry:
                self.aside(self.speech(entry).put(batch, entry, number))

    def probe(self, action: it.Probe) -> None:
        self.aside(self.probing(action.engine))

    async def probing(self, engine: it.EngineId) -> None:
        begun, outcome, report, entry = (
            clock.now(),
            it.DispatchOutcome.UNREACHABLE,
            (),
            self.registry.entries.get(engine),
        )
        if entry:
            outcome, report = await self.speech(entry).probe(entry)
        self.desk.tell(it.ProbeEnded(engine, outcome, clock.now() - begun, report))

    def aside(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.asides.add(task)
        task.add_done_callback(self.asides.discard)
        return task
