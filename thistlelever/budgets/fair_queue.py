"""The fair queue of team budgets: queues batches until their turn, estimates how long that will take, and
refuses those that could not finish in time.

    fair_queue = FairQueue(plan, policy, seed, capacity)
    commands = fair_queue.submit(now, spec)

`submit`, `completed`, `client_left`, `set_capacity`, `tick`, `shut_down` and `reconfigure` return the
commands to carry out now: `Release` (pass the batch to the admission decisions), `Refuse` (push it back,
with a retry delay in seconds and the reason) and `Preempt` (cancel a released batch, with a retry delay).
Every submitted batch is released, refused or left by its client exactly once; `is_conserved` checks that.
Times (`now`) are seconds of one monotonic clock.
"""

from __future__ import annotations

from bisect import insort
from heapq import heappop, heappush
from zlib import crc32

from thistlelever.budgets.estimates import Estimates
from thistlelever.budgets.key_order import KeyOrder
from thistlelever.budgets.node import Node
from thistlelever.budgets.plan import Plan
from thistlelever.budgets.preemption import Preemption
from thistlelever.budgets.queued_batch import BatchSpec, QueuedBatch, QueuePolicy
from thistlelever.budgets.throughput import Throughput
from thistlelever.budgets.tree import BudgetTree, path_to_root
from thistlelever.budgets.wait_estimator import WaitEstimator
from thistlelever.ground.commands import Command, Preempt, Refuse, Release

# One in so many releases goes to the aged batch with the earliest release deadline, whatever its team. A
# batch is aged once it has waited for half of the time until its release deadline.
AGED_RELEASE_INTERVAL = 8
# Seconds; a leaf that was served within this time does not starve, however long the batches that flood it
# must wait, and its batches are not released by age.
STARVATION_WAIT = 0.5
# The largest random extension of a retry delay, as a fraction of it: clients that are pushed back together
# must not retry together.
RETRY_JITTER = 0.5

# Events of batches that are counted; `budgets show --json` prints them.
COUNTERS = (
    *("submitted", "released", "refused", "left"),
    *("preempted", "ended", "moved", "too late to preempt"),
)


class FairQueue:
    """The budgets of one front: its queued and released batches, and the tree that orders them."""

    def __init__(self, plan: Plan, policy: QueuePolicy, seed: int, capacity: float = 0.0) -> None:
        """Create an empty queue. `seed` determines the spread of retry delays; `capacity` is in threads."""
        self.policy, self.seed, self.draws = policy, seed, 0
        self.capacity = capacity
        self.estimates, self.key_order, self.preemption = Estimates(), KeyOrder(), Preemption()
        self.tree = BudgetTree(plan, self.estimates.forget)
        self.batches: dict[int, QueuedBatch] = {}
        self.running: dict[int, QueuedBatch] = {}
        self.throughput = Throughput()
        self.capacity_changed_at = float("-inf")
        # Heaps of (time, batch number): release deadlines, when batches become aged, and release deadlines of
        # aged batches. Entries of batches that are gone are skipped.
        self.release_deadlines: list[tuple[float, int]] = []
        self.pending_aged: list[tuple[float, int]] = []
        self.aged: list[tuple[float, int]] = []
        self.releases, self.queued_width, self.aging_count = 0, 0.0, 0
        self.counts = dict.fromkeys(COUNTERS, 0)

    @property
    def root(self) -> Node:
        """The root of the budget tree."""
        return self.tree.root

    @property
    def wait_estimator(self) -> WaitEstimator:
        """Estimates of waits, and their errors."""
        return self.estimates.wait_estimator

    @property
    def wasted_work(self) -> float:
        """The work wasted by pre-emption, in thread-seconds."""
        return self.preemption.total_waste

    def submit(self, now: float, spec: BatchSpec) -> list[Command]:
        """Submit a batch. It is refused at once where its budget is zero or its estimated wait exceeds its
        release deadline; otherwise it is queued, and released by a later call, so that batches that arrive
        at the same moment are ordered among each other by the next `tick`."""
        self.counts["submitted"] += 1
        leaf = self.tree.leaf(spec.team, spec.query_class)
        if any(node.share.ceiling <= 0 for node in path_to_root(leaf)):
            return self.refuse(now, spec, leaf, self.policy.max_retry_delay, "its budget is zero")
        batch = self.prepare(now, spec, leaf)
        excess = now + batch.estimated_wait - batch.release_deadline()
        if now + batch.estimated_wait > batch.release_deadline():
            return self.refuse(
                now, spec, leaf, self.retry_delay(excess), "the wait would pass its time limit"
            )
        self.batches[spec.number] = batch
        if self.key_order.add(batch):
            self.enqueue(batch)
        heappush(self.release_deadlines, (batch.release_deadline(), spec.number))
        heappush(self.pending_aged, ((now + batch.release_deadline()) / 2, spec.number))
        return []

    def adopt(self, now: float, spec: BatchSpec) -> None:
        """Submit a batch that an engine may be running already: it is released at once, whatever its budget,
        and counts against it."""
        self.counts["submitted"] += 1
        batch = self.prepare(now, spec, self.tree.leaf(spec.team, spec.query_class))
        self.batches[spec.number] = batch
        self.enqueue(batch)
        self.mark_released(batch, now)
        batch.dispatched = True

    def refuse(self, now: float, spec: BatchSpec, leaf: Node, after: float, why: str) -> list[Command]:
        """Refuse a batch that was not queued, with a retry delay of `after` seconds."""
        self.counts["refused"] += 1
        self.tree.mark_idle(leaf, now)
        return [Refuse(spec.number, after, why)]

    def prepare(self, now: float, spec: BatchSpec, leaf: Node) -> QueuedBatch:
        """The batch as it would be queued, with its charge and its estimated wait."""
        charge = self.estimates.charge(leaf, spec.work)
        ahead = leaf.backlog if not spec.retried else leaf.backlog / 2
        rate = self.service_rate(now)
        is_immediate = (
            self.root.threads_in_use + self.queued_width + spec.width
            <= self.capacity * self.policy.overcommit
        )
        self.estimates.record_arrival(leaf, charge, now)
        uncorrected = 0.0 if is_immediate else self.estimates.estimate_wait(leaf, ahead, rate, now)
        estimated = uncorrected * self.wait_estimator.corrections.get(leaf.path(), 1.0)
        naive = self.root.backlog / rate
        # A retried batch has already waited: it gets the place that it would have had if it had been queued.
        order_at = now - (min(estimated, self.policy.max_retry_delay) if spec.retried else 0.0)
        batch = QueuedBatch(spec, leaf, now, order_at, charge, estimated, uncorrected, naive)
        # A batch that waits for long enough is released by age, however long its leaf's queue is.
        half_time = (batch.release_deadline() - now) / 2
        mean_charge = self.root.backlog / max(self.root.queued, 1)
        wait_by_age = half_time + (self.aging_count + 1) * AGED_RELEASE_INTERVAL * mean_charge / rate
        if (
            estimated > half_time
            and self.estimates.estimate_wait(leaf, max(charge, mean_charge), rate, now) > STARVATION_WAIT
        ):
            batch.ages, batch.estimated_wait = True, min(estimated, wait_by_age)
        return batch

    def dispatch_started(self, number: int) -> None:
        """The batch has its first dispatch: from now on pre-empting it wastes work."""
        if batch := self.batches.get(number):
            batch.dispatched = True

    def completed(self, now: float, number: int, actual_work: float) -> list[Command]:
        """The batch has its answer and no dispatch is open. `actual_work` is its cost in core-seconds, 0
        where the engine did not report it: then its thread-seconds count."""
        batch = self.batches.pop(number, None)
        if batch is None:
            return []
        self.running.pop(number, None)
        self.counts["ended"] += 1
        self.advance_key(batch)
        if not batch.is_released:
            self.dequeue(batch)
            return self.release_ready(now)
        run_time = now - batch.released_at
        actual_work = actual_work or (run_time * batch.spec.width if batch.dispatched else 0.0)
        if batch.dispatched and actual_work > 0:
            self.estimates.learn_cost(batch.leaf, batch.spec.work, actual_work)
        thread_seconds = max(run_time, 1e-6) * batch.spec.width
        self.throughput.add(now, batch.charge, thread_seconds)
        self.free_threads(batch, actual_work - batch.charge, now)
        return self.release_ready(now)

    def client_left(self, now: float, number: int) -> list[Command]:
        """The batch's client has left; a released batch goes on until `completed`."""
        batch = self.batches.get(number)
        if batch is None or batch.is_released:
            return []
        self.discard(batch, "left", now)
        return self.release_ready(now)

    def set_capacity(self, now: float, threads: float) -> list[Command]:
        """All engines together carry so many `threads` for this front: guarantees and ceilings are fractions
        of them."""
        if threads == self.capacity:
            return []
        self.capacity, self.capacity_changed_at = threads, now
        # Earlier estimates assumed another capacity: nothing is learnt from their errors.
        self.wait_estimator.corrections.clear()
        for node in self.tree.nodes():
            node.unblock_children(threads)
            node.reschedule(threads)
        return self.release_ready(now)

    def tick(self, now: float) -> list[Command]:
        """Release what can be released, refuse batches past their release deadline, move batches that have
        waited half of their time into the aged ones, remove idle nodes, and pre-empt where needed."""
        # Releases come first: a batch that need not wait but can't finish in time is left for the admission
        # decisions to refuse.
        commands = self.release_ready(now)
        while self.release_deadlines and self.release_deadlines[0][0] <= now:
            deadline, number = heappop(self.release_deadlines)
            batch = self.batches.get(number)
            if batch and not batch.is_released and deadline == batch.release_deadline():
                after = self.retry_delay(self.root.backlog / self.service_rate(now))
                commands.append(Refuse(number, after, "held until its last moment"))
                self.discard(batch, "refused", now)
        while self.pending_aged and self.pending_aged[0][0] <= now:
            _, number = heappop(self.pending_aged)
            batch = self.batches.get(number)
            if batch and not batch.is_released:
                heappush(self.aged, (batch.release_deadline(), number))
        self.estimates.prune(now)
        self.tree.remove_idle(now)
        return commands + self.release_ready(now) + self.preempt(now)

    def next_event_at(self) -> float:
        """The time by which `tick` must be called; infinite where nothing is queued."""
        return min(
            self.release_deadlines[0][0] if self.release_deadlines else float("inf"),
            self.pending_aged[0][0] if self.pending_aged else float("inf"),
        )

    def shut_down(self, now: float, at: float) -> list[Command]:
        """The front ends at `at`: deadlines after that move there, so that queued batches are released in
        time to run or are refused."""
        for batch in self.batches.values():
            if batch.spec.deadline > at:
                batch.spec = batch.spec._replace(deadline=at)
                heappush(self.release_deadlines, (batch.release_deadline(), batch.spec.number))
        return self.tick(now)

    def reconfigure(self, now: float, plan: Plan, policy: QueuePolicy) -> list[Command]:
        """Replace the tree and the policy. Queued and released batches move to the new tree, and a leaf keeps
        its debt (the lead of its finish tag over the virtual time) where a leaf of the same team and query
        class exists."""
        debts = {
            leaf.path()[1:]: max(leaf.finish_tag - leaf.parent.virtual_time, 0.0)
            for leaf in self.tree.nodes()
            if leaf.parent and not leaf.children
        }
        self.policy, self.tree = policy, BudgetTree(plan, self.estimates.forget)
        self.estimates.clear()
        moving = sorted(self.batches.values())
        self.queued_width, self.aging_count, self.pending_aged, self.aged = 0.0, 0, [], []
        commands: list[Command] = []
        for batch in moving:
            batch.leaf, batch.schedulable = self.tree.leaf(batch.spec.team, batch.spec.query_class), False
            batch.leaf.finish_tag = batch.leaf.finish_tag or debts.get(batch.leaf.path()[1:], 0.0)
            self.counts["moved"] += 1
            if batch.is_released:
                for node in path_to_root(batch.leaf):
                    node.threads_in_use += batch.spec.width
            else:
                heappush(
                    self.pending_aged, ((batch.queued_at + batch.release_deadline()) / 2, batch.spec.number)
                )
        for batch in (queued for queued in moving if not queued.is_released):
            if any(node.share.ceiling <= 0 for node in path_to_root(batch.leaf)):
                commands.append(Refuse(batch.spec.number, self.policy.max_retry_delay, "its budget is zero"))
                self.discard(batch, "refused", now)
            elif not batch.schedulable and self.key_order.is_head(batch):
                # Where the first batch of its key was refused above, it is in the queue already.
                self.enqueue(batch)
        return commands + self.release_ready(now)

    def release_ready(self, now: float) -> list[Command]:
        """Release batches in order while there is capacity."""
        commands: list[Command] = []
        while (batch := self.select_next(now)) is not None:
            self.releases += 1
            uncorrected = batch.uncorrected_wait if batch.queued_at >= self.capacity_changed_at else 0.0
            self.wait_estimator.record(
                batch.leaf.path(), batch.estimated_wait, uncorrected, batch.naive_wait, now - batch.queued_at
            )
            self.mark_released(batch, now)
            commands.append(Release(batch.spec.number))
            self.advance_key(batch)
        return commands

    def mark_released(self, batch: QueuedBatch, now: float) -> None:
        """Move the batch from its leaf's queue to those released, with its threads and its charge at each of
        its nodes."""
        self.dequeue(batch)
        batch.is_released, batch.released_at = True, now
        self.running[batch.spec.number] = batch
        self.counts["released"] += 1
        for node in path_to_root(batch.leaf):
            node.record_service(batch.charge, now)
            node.threads_in_use += batch.spec.width
        for node in path_to_root(batch.leaf):
            node.reschedule(self.capacity)

    def select_next(self, now: float) -> QueuedBatch | None:
        """The next batch to release, or None: at each `AGED_RELEASE_INTERVAL`-th release the aged batch with
        the earliest release deadline, otherwise the first of the leaf that the tree selects."""
        if not self.root.queued:
            return None
        if self.releases % AGED_RELEASE_INTERVAL == AGED_RELEASE_INTERVAL - 1:
            while self.aged:
                batch = self.batches.get(self.aged[0][1])
                if batch is None or batch.is_released or not batch.schedulable:
                    heappop(self.aged)
                    continue
                is_blocked = any(
                    node.parent and node.is_at_ceiling(self.capacity, batch.spec.width)
                    for node in path_to_root(batch.leaf)
                )
                if now - batch.leaf.last_served_at < STARVATION_WAIT:
                    # Aged again later, behind the others: its leaf does not starve.
                    heappop(self.aged)
                    heappush(self.pending_aged, (now + STARVATION_WAIT, batch.spec.number))
                    continue
                if self.has_capacity(batch.spec.width) and not is_blocked:
                    return batch
                break
        leaf = self.root.next_leaf(self.capacity, lambda leaf: leaf.queue[0].spec.width)
        if leaf is None or not self.has_capacity(leaf.queue[0].spec.width):
            return None
        return leaf.queue[0]

    def has_capacity(self, width: float) -> bool:
        """Whether this front may occupy `width` threads more. One batch always may run."""
        return (
            not self.root.threads_in_use
            or self.root.threads_in_use + width <= self.capacity * self.policy.overcommit
        )

    def enqueue(self, batch: QueuedBatch) -> None:
        """Put the batch into its leaf's queue."""
        leaf = batch.leaf
        batch.schedulable = True
        insort(leaf.queue, batch)
        self.aging_count += batch.ages
        self.queued_width += batch.spec.width
        for node in path_to_root(leaf):
            self.tree.idle_since.pop(node, None)
            if not node.queued:
                # Samples taken without a backlog do not tell the rate under one.
                node.rate_samples.clear()
                node.activate()
            node.queued += 1
            node.backlog += batch.charge
            if node.queued == 1:
                node.reschedule(self.capacity)

    def dequeue(self, batch: QueuedBatch) -> None:
        """Take the batch out of its leaf's queue, if it is there."""
        if not batch.schedulable:
            return
        batch.schedulable = False
        batch.leaf.queue.remove(batch)
        self.aging_count -= batch.ages
        self.queued_width -= batch.spec.width
        for node in path_to_root(batch.leaf):
            node.queued -= 1
            if not node.queued:
                node.deactivate()
            node.backlog = node.backlog - batch.charge if node.queued else 0.0
        if not self.root.queued:
            self.queued_width = 0.0

    def discard(self, batch: QueuedBatch, counter: str, now: float) -> None:
        """Drop a queued batch that was not released, and count it under `counter`."""
        self.counts[counter] += 1
        del self.batches[batch.spec.number]
        self.dequeue(batch)
        self.advance_key(batch)
        self.tree.mark_idle(batch.leaf, now)

    def advance_key(self, batch: QueuedBatch) -> None:
        """The batch was released or dropped: enqueue the next one of its ordering key, so that batches of a
        key are released in order."""
        if following := self.key_order.remove(batch):
            self.enqueue(following)

    def free_threads(self, batch: QueuedBatch, undercharge: float, now: float) -> None:
        """A released batch has ended: free its threads, and charge the `undercharge`, in core-seconds, to its
        nodes."""
        for node in path_to_root(batch.leaf):
            node.threads_in_use -= batch.spec.width
            if node.threads_in_use < 1e-9:
                node.threads_in_use = 0.0
            node.correct_charge(undercharge)
        for node in path_to_root(batch.leaf):
            node.unblock_children(self.capacity)
            node.reschedule(self.capacity)
        self.tree.mark_idle(batch.leaf, now)

    def preempt(self, now: float) -> list[Command]:
        """Pre-empt one released batch, where the first batch in turn is below its guarantee and would miss
        its latency objective because others are above theirs; see `Preemption` for which one.

        Queued batches need no pre-emption, as they are passed over in order. Pre-empting a released batch
        without a dispatch costs nothing; one with a dispatch is pre-empted only where engines can cancel.
        """
        leaf = self.root.next_leaf(self.capacity, lambda leaf: leaf.queue[0].spec.width)
        if leaf is None or self.has_capacity(leaf.queue[0].spec.width):
            return []
        waiting, running = leaf.queue[0], self.running.values()
        if not self.preemption.is_needed(waiting, running, self.capacity, now):
            return []
        batch = self.preemption.choose_victim(waiting, running, self.policy, self.capacity, now)
        if batch is None:
            return []
        self.preemption.preempt(batch, now)
        self.counts["preempted"] += 1
        return [Preempt(batch.spec.number, self.retry_delay(self.root.backlog / self.service_rate(now)))]

    def preempted_too_late(self, number: int) -> None:
        """The batch had its answer before it could be cancelled."""
        self.counts["too late to preempt"] += 1

    def service_rate(self, now: float) -> float:
        """The core-seconds a second, as charged, that all threads complete."""
        return self.throughput.rate(now, self.capacity)

    def retry_delay(self, seconds: float) -> float:
        """A retry delay of `seconds`, lengthened by a random part of `RETRY_JITTER` and bounded by the
        policy."""
        self.draws += 1
        chance = (crc32(b"%d after %d" % (self.seed, self.draws)) + 0.5) / 2**32
        return min(max(seconds, 0.01) * (1 + RETRY_JITTER * chance), self.policy.max_retry_delay)

    def is_conserved(self) -> bool:
        """Whether every submitted batch is queued, released or finished, and the counts add up."""
        counts = self.counts
        finished = counts["refused"] + counts["left"] + counts["ended"]
        queued = sum(not batch.is_released for batch in self.batches.values())
        schedulable = sum(batch.schedulable for batch in self.batches.values())
        return (
            counts["submitted"] == finished + len(self.batches)
            and len(self.batches) == queued + len(self.running)
            and queued == schedulable + self.key_order.count_blocked()
        )
