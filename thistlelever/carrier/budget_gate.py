"""Connects the fair queue of team budgets with the batches' tasks, where budgets are on: passes events to the
queue and delivers its commands. Makes no decisions."""

from __future__ import annotations

import asyncio

from thistlelever.budgets.fair_queue import FairQueue
from thistlelever.budgets.plan import Plan
from thistlelever.budgets.queued_batch import BatchSpec, QueuePolicy
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.commands import Command, Preempt
from thistlelever.ground.log import Log
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, Batches
from thistlelever.store.engine_registry import EngineRegistry

# The longest time between two ticks, in seconds, while batches are queued.
TICK_INTERVAL = 0.02
# The weight of one client's estimate in the typical work of a query class.
WORK_LEARNING_RATE = 0.1


class BudgetGate:
    """Holds batches in the fair queue before the admission decisions see them. A batch's task gets the
    queue's commands (`Release`, `Refuse`, `Preempt`) in its inbox."""

    def __init__(
        self,
        settings: it.Settings,
        plan: Plan,
        policy: QueuePolicy,
        threads_a_core: float,
        seed: int,
        batches: Batches,
        registry: EngineRegistry,
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Create a gate with nothing queued. `threads_a_core` is how many threads of queries a core carries;
        `seed` determines the spread of retry delays."""
        self.query_classes = {t.name: t for t in settings.tariffs}
        self.fronts, self.kind_cores = max(settings.fronts, 1), settings.kind_cores
        self.threads_a_core = threads_a_core
        # The capacity in threads, and the revision of the engine list that it was computed from.
        self.list_revision, self.cached_capacity = -1, 0.0
        self.batches, self.registry, self.metrics, self.log = batches, registry, metrics, log
        # The work of a batch, in core-seconds, by query class.
        self.typical_work = {t.name: t.goal * t.width / 4 for t in settings.tariffs}
        self.fair_queue = FairQueue(plan, policy, seed, self.capacity())
        self.timer: asyncio.TimerHandle | asyncio.Handle | None = None
        self.is_tick_scheduled = False

    def submit(self, batch: Batch) -> None:
        """Submit the batch to the fair queue."""
        self.deliver(self.fair_queue.submit(clock.now(), self.spec(batch)))
        self.schedule_tick()

    def adopt(self, batch: Batch) -> None:
        """Count a batch that an engine may be running already as released."""
        self.metrics.add("budgets: adopted")
        self.fair_queue.adopt(clock.now(), self.spec(batch))

    def spec(self, batch: Batch) -> BatchSpec:
        """Describe the batch for the fair queue. Where its client gives no estimate of its work, the typical
        work of its query class is used."""
        query_class, taken, now = self.query_classes[batch.class_name], batch.received, clock.now()
        if taken.work:
            self.typical_work[batch.class_name] += WORK_LEARNING_RATE * (
                taken.work - self.typical_work[batch.class_name]
            )
        return BatchSpec(
            batch.number,
            batch.submission.tenant,
            batch.class_name,
            query_class.utility,
            taken.work or self.typical_work[batch.class_name],
            float(query_class.width),
            batch.deadline,
            min(now + query_class.goal, batch.deadline),
            taken.key,
            batch.submission.is_retry,
        )

    def dispatch_started(self, batch: Batch) -> None:
        """The batch has a dispatch."""
        self.fair_queue.dispatch_started(batch.number)

    def completed(self, batch: Batch, actual_work: float) -> None:
        """The batch is over. `actual_work` is its cost in core-seconds, 0 where no engine reported it."""
        self.deliver(self.fair_queue.completed(clock.now(), batch.number, actual_work))
        self.schedule_tick()

    def client_left(self, batch: Batch) -> None:
        """The client of a queued batch has left, or its time is up."""
        self.deliver(self.fair_queue.client_left(clock.now(), batch.number))

    def preempted_too_late(self, batch: Batch) -> None:
        """The batch was pre-empted after it had its answer."""
        self.fair_queue.preempted_too_late(batch.number)

    def reconfigure(self, plan: Plan, policy: QueuePolicy, threads_a_core: float) -> None:
        """Replace the tree and the policy; queued and released batches move to the new tree at once."""
        self.threads_a_core, self.list_revision = threads_a_core, -1
        self.deliver(self.fair_queue.reconfigure(clock.now(), plan, policy))
        self.schedule_tick()

    def set_front_count(self, fronts: int) -> None:
        """So many fronts share the engines' threads from now on."""
        self.fronts, self.list_revision = max(fronts, 1), -1
        self.schedule_tick()

    def shut_down(self, at: float) -> None:
        """The front ends at `at`: queued batches are released in time to run, or refused."""
        self.deliver(self.fair_queue.shut_down(clock.now(), at))

    def schedule_tick(self) -> None:
        """Tick at the end of this turn of the event loop, so that batches that arrive in one turn are ordered
        among each other."""
        if not self.is_tick_scheduled:
            self.is_tick_scheduled = True
            if self.timer:
                self.timer.cancel()
            self.timer = asyncio.get_running_loop().call_soon(self.tick)

    def tick(self) -> None:
        """Update the capacity and let the fair queue release, refuse and pre-empt; repeated while batches are
        queued."""
        self.is_tick_scheduled, now = False, clock.now()
        self.deliver(self.fair_queue.set_capacity(now, self.capacity()))
        self.deliver(self.fair_queue.tick(now))
        self.metrics.check_invariant(self.fair_queue.is_conserved(), "budgets lose or double nothing")
        if self.fair_queue.root.queued:
            at = min(max(self.fair_queue.next_event_at(), now), now + TICK_INTERVAL)
            self.timer = asyncio.get_running_loop().call_at(clock.on_loop(at), self.tick)

    def capacity(self) -> float:
        """The threads that the ready engines carry for this front: all fronts that use them have equal
        shares."""
        if self.registry.revision != self.list_revision:
            self.list_revision = self.registry.revision
            cores = sum(
                self.kind_cores[entry.engine.kind]
                for entry in self.registry.entries.values()
                if entry.engine.state is it.EngineState.READY
            )
            fronts = min(self.fronts, self.registry.sharing_fronts or self.fronts)
            self.cached_capacity = cores * self.threads_a_core / fronts
        return self.cached_capacity

    def deliver(self, commands: list[Command]) -> None:
        """Put each command into the inbox of its batch's task."""
        for command in commands:
            batch = self.batches.by_number.get(command.number)
            if batch is None:
                self.metrics.add("budget actions for what is over")
            else:
                batch.inbox.put_nowait(command)
                self.metrics.add(f"budgets: {type(command).__name__.lower()}")

    def preemption_answer(self, batch: Batch, command: Preempt) -> it.PushBack | it.Error:
        """The answer to the client of a pre-empted batch: a push-back where a retry is harmless, because the
        batch had no dispatch, is idempotent, or is deduplicated by all engines; otherwise an error, as it may
        have run."""
        if batch.repeat_harmless or not batch.dispatches and not batch.may_have_run():
            return it.PushBack(batch.number, command.after)
        return it.Error(batch.number)
