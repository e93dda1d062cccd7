"""The life of one batch, from its reading to the end of its last dispatch, top to bottom."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from thistlelever.ground import interface as it
from thistlelever.carrier.desk import Desk
from thistlelever.carrier.dispatch import Dispatcher, End
from thistlelever.carrier.flow import Begun
from thistlelever.ground import clock
from thistlelever.ground.log import Log
from thistlelever.ground.commands import Preempt, Refuse, Release, TakenOver
from thistlelever.store.batches import Batch, Batches
from thistlelever.ground.metrics import Metrics

if TYPE_CHECKING:
    from thistlelever.carrier.budget_gate import BudgetGate
    from thistlelever.carrier.recollection import Recollection
    from thistlelever.carrier.leases import LeaseService

# What a batch's task is told beside the actions and the ends of its dispatches.
LEFT, OVERDUE = "left", "overdue"
# A batch that the decisions left without an answer is answered this long after its time limit: they
# answer at the limit itself, and an answer counts for 70 ms more.
BACKSTOP = 0.025

# How a door gives a batch's one final answer: called once, with the result, with one that has begun to come
# and goes on from there, or with why there is none.
Answer = Callable[[it.Action | End | Begun], None]


class Courses:
    """Runs one task a batch."""

    def __init__(
        self, desk: Desk, dispatcher: Dispatcher, batches: Batches, metrics: Metrics, log: Log
    ) -> None:
        # Where budgets are on, what batches pass before the decisions hear of them; where takeover is, who
        # knows whose they are.
        self.gate: BudgetGate | None = None
        self.leases: LeaseService | None = None
        # Where state is kept, what a former life has said of a batch.
        self.memory: Recollection | None = None
        self.desk, self.dispatcher, self.batches = desk, dispatcher, batches
        self.metrics, self.log = metrics, log
        self.tasks: set[asyncio.Task] = set()

    def start(self, batch: Batch, answer: Answer) -> None:
        self.batches.add(batch)
        task = asyncio.get_running_loop().create_task(self.guarded(batch, answer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def guarded(self, batch: Batch, answer: Answer) -> None:
        """The life, with an answer even where this code fails."""
        self.watch(batch)
        try:
            await self.life(batch, answer)
        except Exception as why:
            self.metrics.add("course failed")
            self.log("course failed", why=repr(why), trace=traceback.format_exc())
            for number, task in batch.dispatch_tasks.items():
                task.cancel()
                end = End(number, batch.engines[number], it.DispatchOutcome.RESET)
                self.desk.tell(end.event(batch.number, complete=True))
            if not batch.answered:
                self.final(batch, answer, it.Error(batch.number))
                self.desk.tell(it.ClientLeft(batch.number))
        finally:
            if self.gate:
                self.gate.completed(batch, batch.measured_work)
            if batch.lease_guard:
                batch.lease_guard.close()
            batch.backstop.cancel()
            self.batches.drop(batch)

    def watch(self, batch: Batch) -> None:
        if batch.backstop:
            batch.backstop.cancel()
        overdue_at = clock.on_loop(batch.deadline) + BACKSTOP
        loop = asyncio.get_running_loop()
        batch.backstop = loop.call_at(overdue_at, batch.inbox.put_nowait, OVERDUE)

    def stop(self, at: float) -> None:
        """The front ends at that time: what is open must be over by then, what is out included."""
        for batch in self.batches.by_number.values():
            if batch.deadline > at:
                batch.deadline = at
                self.watch(batch)
                # Risk: one that has struck can't be moved, and its refusal would end the stop halfway.
                for limit in (limit for limit in batch.timeouts.values() if not limit.expired()):
                    limit.reschedule(min(limit.when(), clock.on_loop(at)))
        self.desk.tell(it.FrontStopping(at))
        if self.gate:
            self.gate.shut_down(at)

    async def life(self, batch: Batch, answer: Answer) -> None:
        if self.leases and not await self.led(batch, answer):
            return
        if self.memory and (told := self.memory.enter(batch)):
            self.final(batch, answer, told)
            return
        if self.gate and not await self.admitted(batch, answer):
            return
        self.desk.tell(batch.received)
        while batch.dispatch_tasks or not batch.answered:
            told = await batch.inbox.get()
            match told:
                case it.Terms():
                    batch.grant, before, batch.priority = told.grant, batch.priority, told.priority
                    if before not in (None, told.priority):
                        self.dispatcher.reprioritise(batch)
                case it.Dispatch():
                    number, batch.dispatches = batch.dispatches, batch.dispatches + 1
                    if self.memory:
                        self.memory.goes_out(batch, number, told.engine)
                    batch.dispatch_tasks[number] = self.dispatcher.start(batch, number, told)
                    if self.gate:
                        self.gate.dispatch_started(batch)
                case it.Cancel():
                    task = batch.dispatch_tasks.get(told.number)
                    if task and not task.cancelling():
                        task.cancel()
                # Risk: two dispatches' rows in one result. Only the first to ask passes on, and only while no
                # answer was given; from then on the answer is begun, whatever becomes of the rest.
                case Begun() if not batch.answered and told.flow.sound():
                    batch.flow = told.flow
                    self.unbind(batch, told.number)
                    self.final(batch, answer, told)
                    self.desk.tell(it.ResponseStarted(batch.number, told.number, batch.engines[told.number]))
                case Begun():
                    told.flow.leave()
                case End():
                    del batch.dispatch_tasks[told.number]
                    batch.measured_work += told.true_work
                    if batch.lease_guard:
                        batch.lease_guard.end_dispatch(told)
                    if self.memory:
                        self.memory.came_back(batch, told)
                    if told.outcome is it.DispatchOutcome.RETURNED and not batch.answered:
                        await self.settle(batch, answer, told)
                    self.desk.tell(told.event(batch.number, batch.answered))
                # Risk: orders cross a client that has left, or the backstop; neither owes another answer.
                case it.PushBack() | it.Error() if not batch.answered:
                    await self.settle(batch, answer, told)
                case TakenOver() if not batch.answered:
                    self.final(batch, answer, it.Error(batch.number))
                    self.desk.tell(it.ClientLeft(batch.number))
                case Preempt() if not batch.answered:
                    await self.settle(batch, answer, self.gate.preemption_answer(batch, told))
                    self.desk.tell(it.ClientLeft(batch.number))
                case Preempt():
                    self.gate.preempted_too_late(batch)
                case _ if told is LEFT and not batch.answered:
                    batch.answered = True
                    self.desk.tell(it.ClientLeft(batch.number))
                case _ if told is LEFT and batch.flow and batch.flow.number in batch.dispatch_tasks:
                    batch.flow.leave()
                    batch.dispatch_tasks[batch.flow.number].cancel()
                case _ if told is OVERDUE and not batch.answered:
                    self.metrics.add("left without an answer at the limit")
                    self.final(batch, answer, it.Error(batch.number))
                    self.desk.tell(it.ClientLeft(batch.number))

    async def led(self, batch: Batch, answer: Answer) -> bool:
        """Find out whose the batch is before anything is done for it; whether it is this front's to go on
        with, and its client still there."""
        if not batch.submission.reference:
            self.leases.register_lazy(batch)
            return True
        loop = asyncio.get_running_loop()
        leading, hearing = loop.create_task(self.leases.acquire(batch)), loop.create_task(batch.inbox.get())
        await asyncio.wait((leading, hearing), return_when=asyncio.FIRST_COMPLETED)
        if hearing.done() and not leading.done():
            leading.cancel()
            with suppress(asyncio.CancelledError):
                await leading
            told = hearing.result()
            if told is LEFT:
                batch.answered = True
            elif told is OVERDUE:
                # Nothing of it was sent from here. One that has come before may be another front's by now,
                # and what becomes of it there is not known here.
                again = (
                    it.Error(batch.number) if batch.submission.is_retry else it.PushBack(batch.number, 0.0)
                )
                self.final(batch, answer, again)
            return False
        hearing.cancel()
        if hearing.done():
            batch.inbox.put_nowait(hearing.result())
        told = leading.result()
        if told:
            self.final(batch, answer, told)
            return False
        # What looking for it took is time that the batch no longer has.
        batch.received = batch.received._replace(time_limit=batch.deadline - clock.now())
        return True

    async def settle(self, batch: Batch, answer: Answer, told: it.Action | End) -> None:
        """The final answer, once it is sure that the batch still is this front's to answer."""
        if batch.lease_guard:
            told = await batch.lease_guard.confirm_answer(told)
        self.final(batch, answer, told)

    async def admitted(self, batch: Batch, answer: Answer) -> bool:
        """Wait for the budgets' turn; whether it came before the client left or the time was up."""
        self.gate.submit(batch)
        while True:
            told = await batch.inbox.get()
            match told:
                case Release():
                    batch.received = batch.received._replace(time_limit=batch.deadline - clock.now())
                    return True
                case Refuse():
                    self.final(batch, answer, it.PushBack(batch.number, told.after))
                    return False
                case _ if told is LEFT:
                    batch.answered = True
                    self.gate.client_left(batch)
                    return False
                case _ if told is OVERDUE:
                    # Nothing was ever sent, so that trying again is harmless.
                    self.metrics.add("held past the limit")
                    self.final(batch, answer, it.PushBack(batch.number, 0.0))
                    self.gate.client_left(batch)
                    return False

    def unbind(self, batch: Batch, number: int) -> None:
        """A result that goes on has until the client's own limit, not just while another dispatch could still
        meet the goal: there will be no other."""
        limit = batch.timeouts.get(number)
        if limit and not limit.expired():
            limit.reschedule(clock.on_loop(batch.deadline))

    def final(self, batch: Batch, answer: Answer, told: it.Action | End | Begun) -> None:
        if self.metrics.check_invariant(not batch.answered, "one final answer"):
            batch.answered = True
            answer(told)
