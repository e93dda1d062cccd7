"""Runs one task per batch, from its submission to the end of its last dispatch."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from thistlelever.ground import interface as it
from thistlelever.admission.outcomes import NEVER_RAN
from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.dispatch import Dispatcher, End
from thistlelever.carrier.result_stream import Begun
from thistlelever.ground import clock
from thistlelever.ground.log import Log
from thistlelever.ground.commands import Preempt, Refuse, Release, TakenOver
from thistlelever.store.batches import Batch, Batches
from thistlelever.ground.metrics import Metrics

if TYPE_CHECKING:
    from thistlelever.carrier.budget_gate import BudgetGate
    from thistlelever.carrier.remembered_outcomes import RememberedOutcomes
    from thistlelever.carrier.leases import LeaseService
    from thistlelever.store.request_memory import RequestMemory

# Messages to a batch's task, besides actions, commands and ends of dispatches: its client has left; its
# backstop timer has fired; nothing that had come by then has answered it.
CLIENT_LEFT, OVERDUE, UNANSWERED = "left", "overdue", "unanswered"
# How long after its time limit a batch is answered by the backstop if the decisions have not answered it, in
# seconds. They answer at the limit itself, and an answer counts for 70 ms more.
BACKSTOP_DELAY_S = 0.025

# Delivers a batch's final answer; called exactly once, with the end of the dispatch that returned the result,
# with a result that is still streaming, or with a refusal or an error.
Answer = Callable[[it.Action | End | Begun], None]


class BatchTasks:
    """Starts the task of each batch and keeps the tasks that run."""

    def __init__(
        self, decisions: DecisionLoop, dispatcher: Dispatcher, batches: Batches, metrics: Metrics, log: Log
    ) -> None:
        """Share the decision loop, the dispatcher and the open batches of the front."""
        # With budgets on, the gate that batches pass before the decisions see them.
        self.gate: BudgetGate | None = None
        # With takeover on, the leases of batches.
        self.leases: LeaseService | None = None
        # With state kept on disk, what is known of batches from before a restart.
        self.remembered: RememberedOutcomes | None = None
        # The limit on the memory of open requests, and how long a client whose request is past it is asked to
        # wait, in seconds.
        self.request_memory: RequestMemory | None = None
        self.retry_after = 0.0
        self.decisions, self.dispatcher, self.batches = decisions, dispatcher, batches
        self.metrics, self.log = metrics, log
        self.tasks: set[asyncio.Task] = set()

    def start(self, batch: Batch, answer: Answer) -> None:
        """Open a batch and start its task; `answer` is called exactly once.

        A batch past the memory limit is refused at once and not opened.
        """
        if self.request_memory and not self.request_memory.reserve(batch.client, batch.size()):
            self.metrics.add("requests past the memory limit")
            self.send_answer(batch, answer, self.unsent_answer(batch, self.retry_after))
            return
        self.batches.add(batch)
        task = asyncio.get_running_loop().create_task(self.run_guarded(batch, answer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_guarded(self, batch: Batch, answer: Answer) -> None:
        """Run a batch; if that fails, cancel its dispatches and answer with an error."""
        self.arm_backstop(batch)
        failed = False
        try:
            await self.run(batch, answer)
        except Exception as why:
            failed = True
            self.metrics.add("course failed")
            self.log("course failed", why=repr(why), trace=traceback.format_exc())
            for number, task in batch.dispatch_tasks.items():
                task.cancel()
                end = End(number, batch.engines[number], it.DispatchOutcome.RESET)
                self.decisions.add_event(end.event(batch.number, complete=True))
            if not batch.answered:
                self.send_answer(batch, answer, it.Error(batch.number))
                self.decisions.add_event(it.ClientLeft(batch.number))
        finally:
            if self.gate:
                self.gate.completed(batch, batch.measured_work)
            if batch.lease_guard:
                batch.lease_guard.close()
            batch.backstop.cancel()
            if batch.may_have_run() and not batch.repeat_harmless:
                self.batches.used_ids.add(batch.submission.txn)
            # Breaks the reference cycle of batch and progress, which would be left to the garbage collector.
            batch.progress.clear()
            self.batches.drop(batch)
            if self.request_memory:
                self.request_memory.release(batch.client, batch.size())
            if failed:
                # What it did not start yet, or failed to start; nothing proves that none of it was sent.
                self.decisions.end_lost_dispatches(batch.number, it.DispatchOutcome.ASTRAY)

    def arm_backstop(self, batch: Batch) -> None:
        """Set the timer that answers the batch if the decisions do not, replacing an earlier one."""
        if batch.backstop:
            batch.backstop.cancel()
        overdue_at = clock.on_loop(batch.deadline) + BACKSTOP_DELAY_S
        loop = asyncio.get_running_loop()
        batch.backstop = loop.call_at(overdue_at, batch.inbox.put_nowait, OVERDUE)

    def stop(self, at: float) -> None:
        """Shorten the time limits of open batches and of their dispatches to `at`, when the front stops."""
        for batch in self.batches.by_number.values():
            if batch.deadline > at:
                batch.deadline = at
                self.arm_backstop(batch)
                # An expired timeout raises if it is rescheduled, which would end the stop halfway.
                for limit in (limit for limit in batch.timeouts.values() if not limit.expired()):
                    limit.reschedule(min(limit.when(), clock.on_loop(at)))
        self.decisions.add_event(it.FrontStopping(at))
        if self.gate:
            self.gate.shut_down(at)

    async def run(self, batch: Batch, answer: Answer) -> None:
        """Handle the messages of a batch until it is answered, its last dispatch has ended and none is left.

        A dispatch that the decisions requested before they heard of the batch's end may wait behind the
        message that ended it. It is started and withheld like any other, so that its end is reported; the
        decisions would otherwise count it as running for good.
        """
        if not await self.prepare(batch, answer):
            return
        self.decisions.add_event(batch.received)
        while batch.dispatch_tasks or not batch.answered or not batch.inbox.empty():
            message = await batch.inbox.get()
            match message:
                case it.Terms():
                    batch.grant, before, batch.priority = message.grant, batch.priority, message.priority
                    if before not in (None, message.priority):
                        self.dispatcher.reprioritise(batch)
                case it.Dispatch():
                    number, batch.dispatches = batch.dispatches, batch.dispatches + 1
                    # Known before anything can fail, so that its end is reported in any case.
                    batch.dispatch_tasks[number] = self.dispatcher.start(batch, number, message)
                    if self.remembered:
                        self.remembered.record_dispatch(batch, number, message.engine)
                    if self.gate:
                        self.gate.dispatch_started(batch)
                case it.Cancel():
                    task = batch.dispatch_tasks.get(message.number)
                    if task and not task.cancelling():
                        task.cancel()
                # Only the first dispatch that asks may stream its result, and only while the batch is not
                # answered; otherwise rows of two dispatches could get into one result.
                case Begun() if not batch.answered and message.result_stream.is_usable():
                    batch.result_stream = message.result_stream
                    self.extend_limit(batch, message.number)
                    self.send_answer(batch, answer, message)
                    self.decisions.add_event(
                        it.ResponseStarted(batch.number, message.number, batch.engines[message.number])
                    )
                case Begun():
                    message.result_stream.close_reader()
                case End():
                    del batch.dispatch_tasks[message.number]
                    if message.outcome in NEVER_RAN:
                        batch.progress.pop(message.number, None)
                    batch.measured_work += message.true_work
                    if batch.lease_guard:
                        batch.lease_guard.end_dispatch(message)
                    if self.remembered:
                        self.remembered.record_end(batch, message)
                    if message.outcome is it.DispatchOutcome.RETURNED and not batch.answered:
                        await self.send_if_owned(batch, answer, message)
                    self.report_end(batch, message)
                # Actions may arrive after the client has left or the backstop has answered; the guards on
                # `answered` prevent a second answer.
                case it.PushBack() | it.Error() if not batch.answered:
                    await self.send_if_owned(batch, answer, message)
                case TakenOver() if not batch.answered:
                    self.send_answer(batch, answer, it.Error(batch.number))
                    self.decisions.add_event(it.ClientLeft(batch.number))
                case Preempt() if not batch.answered:
                    await self.send_if_owned(batch, answer, self.gate.preemption_answer(batch, message))
                    self.decisions.add_event(it.ClientLeft(batch.number))
                case Preempt():
                    self.gate.preempted_too_late(batch)
                case _ if message is CLIENT_LEFT and not batch.answered:
                    batch.answered = True
                    self.decisions.add_event(it.ClientLeft(batch.number))
                case _ if (
                    message is CLIENT_LEFT
                    and batch.result_stream
                    and batch.result_stream.number in batch.dispatch_tasks
                ):
                    batch.result_stream.close_reader()
                    batch.dispatch_tasks[batch.result_stream.number].cancel()
                # What the decisions and the engines have said by now goes first.
                case _ if message is OVERDUE and not batch.answered:
                    batch.inbox.put_nowait(UNANSWERED)
                case _ if message is UNANSWERED and not batch.answered:
                    self.metrics.add("left without an answer at the limit")
                    self.send_answer(batch, answer, self.overdue_answer(batch))
                    self.decisions.add_event(it.ClientLeft(batch.number))

    def report_end(self, batch: Batch, end: End) -> None:
        """Report the end of a dispatch to the decisions; if its engine may still run it, also when it has
        stopped."""
        event = end.event(batch.number, batch.answered)
        self.decisions.add_event(event)
        if event.still_stopping:
            stopped = it.DispatchStopped(batch.number, end.number)
            end.cancelling.add_done_callback(lambda cancelling: self.decisions.add_event(stopped))

    def overdue_answer(self, batch: Batch) -> it.PushBack | it.Error:
        """Return the backstop's answer: push-back if the client may safely submit the batch again.

        After a stall of the event loop the backstop's timer and the time limits of the dispatches expire
        together, and the decisions have not heard yet how the dispatches ended. With a lease, a batch that
        another front may own gets an error; the replicas are not asked, as time is up.
        """
        owned = not batch.lease_guard or batch.lease_guard.is_held()
        return it.PushBack(batch.number, 0.0) if batch.may_be_repeated() and owned else it.Error(batch.number)

    async def prepare(self, batch: Batch, answer: Answer) -> bool:
        """Do what comes before the decisions hear of a batch; returns whether it goes on."""
        if self.leases and not await self.claim(batch, answer):
            return False
        if self.remembered and (message := self.remembered.look_up(batch)):
            self.send_answer(batch, answer, message)
            return False
        if self.gate and not await self.pass_gate(batch, answer):
            return False
        if self.leases or self.remembered or self.gate:
            # What waiting took counts against the time limit and the window in which repeats are dropped.
            batch.received = batch.received_event(clock.now())
        return True

    async def claim(self, batch: Batch, answer: Answer) -> bool:
        """Acquire the lease of a batch before anything is sent for it; returns whether this front may run the
        batch and its client is still there."""
        if not batch.submission.reference:
            self.leases.register_lazy(batch)
            return True
        loop = asyncio.get_running_loop()
        claiming, receiving = (
            loop.create_task(self.leases.acquire(batch)),
            loop.create_task(batch.inbox.get()),
        )
        await asyncio.wait((claiming, receiving), return_when=asyncio.FIRST_COMPLETED)
        if receiving.done() and not claiming.done():
            claiming.cancel()
            with suppress(asyncio.CancelledError):
                await claiming
            message = receiving.result()
            if message is CLIENT_LEFT:
                batch.answered = True
            elif message is OVERDUE:
                self.send_answer(batch, answer, self.unsent_answer(batch))
            return False
        receiving.cancel()
        if receiving.done():
            batch.inbox.put_nowait(receiving.result())
        message = claiming.result()
        if message:
            self.send_answer(batch, answer, message)
            return False
        return True

    def unsent_answer(self, batch: Batch, after: float = 0.0) -> it.PushBack | it.Error:
        """Return the answer to a batch of which nothing was sent from here.

        With takeover on, a retried batch may run at another front, with an outcome that is not known here, so
        its client is not told that nothing ran.
        """
        if self.leases and batch.submission.is_retry:
            return it.Error(batch.number)
        return it.PushBack(batch.number, after)

    async def send_if_owned(self, batch: Batch, answer: Answer, message: it.Action | End) -> None:
        """Send the final answer once the lease confirms that this front may still answer the batch."""
        if batch.lease_guard:
            message = await batch.lease_guard.confirm_answer(message)
        self.send_answer(batch, answer, message)

    async def pass_gate(self, batch: Batch, answer: Answer) -> bool:
        """Pass the budgets; returns whether the batch goes on.

        One that an engine may be running already is not held: the engine would drop a run that nobody asks
        for, and its threads are taken whether the budgets allow it or not.
        """
        if 0 in batch.adopted_names:
            self.gate.adopt(batch)
            return True
        return await self.wait_for_admission(batch, answer)

    async def wait_for_admission(self, batch: Batch, answer: Answer) -> bool:
        """Wait until the budgets release the batch; returns False if it was refused, its client left or its
        time was up."""
        self.gate.submit(batch)
        while True:
            message = await batch.inbox.get()
            match message:
                case Release():
                    return True
                case Refuse():
                    self.send_answer(batch, answer, self.held_answer(batch, message.after))
                    return False
                case _ if message is CLIENT_LEFT:
                    batch.answered = True
                    self.gate.client_left(batch)
                    return False
                case _ if message is OVERDUE:
                    self.metrics.add("held past the limit")
                    self.send_answer(batch, answer, self.held_answer(batch, 0.0))
                    self.gate.client_left(batch)
                    return False

    def held_answer(self, batch: Batch, after: float) -> it.PushBack | it.Error:
        """Return the answer to a batch that the budgets did not release: nothing of it was sent from here,
        but another front may have dispatched it before."""
        return it.PushBack(batch.number, after) if batch.may_be_repeated() else it.Error(batch.number)

    def extend_limit(self, batch: Batch, number: int) -> None:
        """Extend the time limit of a dispatch whose result is streaming to that of the batch, as no other
        dispatch can replace it."""
        limit = batch.timeouts.get(number)
        if limit and not limit.expired():
            limit.reschedule(clock.on_loop(batch.deadline))

    def send_answer(self, batch: Batch, answer: Answer, message: it.Action | End | Begun) -> None:
        """Give the final answer; a second one is counted as a broken invariant and not sent."""
        if self.metrics.check_invariant(not batch.answered, "one final answer"):
            batch.answered = True
            answer(message)
