"""The judge: holds batches until their budget's turn, says how long that will be, and gives up in time.

    fair_queue = FairQueue(plan, policy, seed)
    actions = fair_queue.submit(now, spec)      # and ended, left, began, set_capacity, tick, renew

Every call answers with what is to be done now: `Release` (tell the decisions), `Refuse` (push back, with the
time to come back), `Preempt` (give up what is out). What is held is released, refused or left, once;
`conserved` says so.
"""

from __future__ import annotations

from bisect import insort
from heapq import heappop, heappush
from zlib import crc32

from thistlelever.budgets.estimates import Estimates
from thistlelever.budgets.node import Node
from thistlelever.budgets.queued_batch import BatchSpec, QueuedBatch, QueuePolicy
from thistlelever.budgets.key_order import KeyOrder
from thistlelever.budgets.plan import Plan
from thistlelever.budgets.preemption import Preemption
from thistlelever.budgets.throughput import Throughput
from thistlelever.budgets.tree import BudgetTree, path_to_root
from thistlelever.budgets.wait_estimator import WaitEstimator
from thistlelever.ground.orders import Order, Preempt, Refuse, Release

# Each so many releases the longest held of all that has waited half of its time goes first, whoever's it is.
AGED_RELEASE_INTERVAL = 8
# A leaf that is served more often than this does not starve, however long what it was flooded with must wait:
# ageing is for the others.
STARVATION_WAIT = 0.5
# The time to come back is spread by so much, so that those pushed back together do not come back together.
RETRY_JITTER = 0.5

# What is counted of batches.
COUNTERS = (
    *("submitted", "released", "refused", "left"),
    *("preempted", "ended", "moved", "too late to preempt"),
)


class FairQueue:
    """All budgets of one front. It knows what it was told and nothing else."""

    def __init__(self, plan: Plan, policy: QueuePolicy, seed: int, capacity: float = 0.0) -> None:
        """Nothing is held; `capacity` is in threads."""
        self.policy, self.seed, self.draws = policy, seed, 0
        self.capacity = capacity
        self.estimates, self.key_order, self.preemption = Estimates(), KeyOrder(), Preemption()
        self.tree = BudgetTree(plan, self.estimates.forget)
        self.batches: dict[int, QueuedBatch] = {}
        self.running: dict[int, QueuedBatch] = {}
        self.throughput = Throughput()
        self.capacity_changed_at = float("-inf")
        # By when each must go, and from when it counts as aged.
        self.release_deadlines: list[tuple[float, int]] = []
        self.pending_aged: list[tuple[float, int]] = []
        self.aged: list[tuple[float, int]] = []
        self.releases, self.queued_width, self.aging_count = 0, 0.0, 0
        self.counts = dict.fromkeys(COUNTERS, 0)

    @property
    def root(self) -> Node:
        """The node of all budgets."""
        return self.tree.root

    @property
    def wait_estimator(self) -> WaitEstimator:
        """Estimates of waits, and how true they were."""
        return self.estimates.wait_estimator

    @property
    def wasted_work(self) -> float:
        """Thread-seconds of work that pre-emption has thrown away."""
        return self.preemption.total_waste

    # What it is told.

    def submit(self, now: float, spec: BatchSpec) -> list[Order]:
        """A batch has come. It is refused at once where it would wait past what its client does; else it is
        batch, and goes with the next `tick`: what comes in one moment is weighed together."""
        self.counts["submitted"] += 1
        leaf = self.tree.leaf(spec.team, spec.query_class)
        if any(node.share.ceiling <= 0 for node in path_to_root(leaf)):
            return self.refuse(now, spec, leaf, self.policy.max_retry_delay, "its budget is zero")
        batch = self.prepare(now, spec, leaf)
        late = now + batch.estimated_wait - batch.release_deadline()
        if now + batch.estimated_wait > batch.release_deadline():
            return self.refuse(now, spec, leaf, self.retry_delay(late), "the wait would pass its time limit")
        self.batches[spec.number] = batch
        if self.key_order.add(batch):
            self.enqueue(batch)
        heappush(self.release_deadlines, (batch.release_deadline(), spec.number))
        heappush(self.pending_aged, ((now + batch.release_deadline()) / 2, spec.number))
        return []

    def refuse(self, now: float, spec: BatchSpec, leaf: Node, after: float, why: str) -> list[Order]:
        """The batch is not held at all."""
        self.counts["refused"] += 1
        self.tree.mark_idle(leaf, now)
        return [Refuse(spec.number, after, why)]

    def prepare(self, now: float, spec: BatchSpec, leaf: Node) -> QueuedBatch:
        """The batch as it would be held, with the wait that it is told."""
        charge = self.estimates.charge(leaf, spec.work)
        ahead = leaf.backlog if not spec.retried else leaf.backlog / 2
        rate = self.service_rate(now)
        free = (
            self.root.threads_in_use + self.queued_width + spec.width
            <= self.capacity * self.policy.overcommit
        )
        self.estimates.record_arrival(leaf, charge, now)
        uncorrected = 0.0 if free else self.estimates.estimate_wait(leaf, ahead, rate, now)
        estimated = uncorrected * self.wait_estimator.corrections.get(leaf.path(), 1.0)
        naive = self.root.backlog / rate
        # Who was pushed back before has waited already: it stands where it would have stood by then.
        order_at = now - (min(estimated, self.policy.max_retry_delay) if spec.retried else 0.0)
        batch = QueuedBatch(spec, leaf, now, order_at, charge, estimated, uncorrected, naive)
        # Aged, it goes in another turn, however long its leaf's is.
        half = (batch.release_deadline() - now) / 2
        usual = self.root.backlog / max(self.root.queued, 1)
        aged = half + (self.aging_count + 1) * AGED_RELEASE_INTERVAL * usual / rate
        if (
            estimated > half
            and self.estimates.estimate_wait(leaf, max(charge, usual), rate, now) > STARVATION_WAIT
        ):
            batch.ages, batch.estimated_wait = True, min(estimated, aged)
        return batch

    def dispatch_started(self, number: int) -> None:
        """A dispatch of it is out: from now on giving it up throws work away."""
        if batch := self.batches.get(number):
            batch.dispatched = True

    def completed(self, now: float, number: int, true_work: float) -> list[Order]:
        """Its answer is given and nothing of it is out; what it truly cost, 0 where nobody says."""
        batch = self.batches.pop(number, None)
        if batch is None:
            return []
        self.running.pop(number, None)
        self.counts["ended"] += 1
        self.advance_key(batch)
        if not batch.is_released:
            self.dequeue(batch)
            return self.release_ready(now)
        took = now - batch.released_at
        actual_work = true_work or (took * batch.spec.width if batch.dispatched else 0.0)
        if batch.dispatched and actual_work > 0:
            self.estimates.learn_cost(batch.leaf, batch.spec.work, actual_work)
        lasted = max(now - batch.released_at, 1e-6) * batch.spec.width
        self.throughput.add(now, batch.charge, lasted)
        self.free_threads(batch, actual_work - batch.charge, now)
        return self.release_ready(now)

    def client_left(self, now: float, number: int) -> list[Order]:
        """Its client has gone while it was held."""
        batch = self.batches.get(number)
        if batch is None or batch.is_released:
            return []
        self.discard(batch, "left", now)
        return self.release_ready(now)

    def set_capacity(self, now: float, threads: float) -> list[Order]:
        """What all engines carry for this front, in threads: guarantees and ceilings are shares of it."""
        if threads == self.capacity:
            return []
        self.capacity, self.capacity_changed_at = threads, now
        # What was told before could not know of it, and its errors teach nothing.
        self.wait_estimator.corrections.clear()
        for node in self.tree.nodes():
            node.unblock_children(threads)
            node.reschedule(threads)
        return self.release_ready(now)

    def tick(self, now: float) -> list[Order]:
        """Time has passed: what can be held no longer is refused, what has aged counts so, idle nodes go."""
        # First what can go: a batch whose run outlasts its time is the decisions' to refuse, if it need not
        # wait.
        actions = self.release_ready(now)
        while self.release_deadlines and self.release_deadlines[0][0] <= now:
            by, number = heappop(self.release_deadlines)
            batch = self.batches.get(number)
            if batch and not batch.is_released and by == batch.release_deadline():
                after = self.retry_delay(self.root.backlog / self.service_rate(now))
                actions.append(Refuse(number, after, "held until its last moment"))
                self.discard(batch, "refused", now)
        while self.pending_aged and self.pending_aged[0][0] <= now:
            _, number = heappop(self.pending_aged)
            batch = self.batches.get(number)
            if batch and not batch.is_released:
                heappush(self.aged, (batch.release_deadline(), number))
        self.estimates.prune(now)
        self.tree.remove_idle(now)
        return actions + self.release_ready(now) + self.preempt(now)

    def next_event_at(self) -> float:
        """When `tick` has something to do at the latest."""
        return min(
            self.release_deadlines[0][0] if self.release_deadlines else float("inf"),
            self.pending_aged[0][0] if self.pending_aged else float("inf"),
        )

    def shut_down(self, now: float, at: float) -> list[Order]:
        """The front ends then: what is held must have gone before, with the time for its run."""
        for batch in self.batches.values():
            if batch.spec.deadline > at:
                batch.spec = batch.spec._replace(deadline=at)
                heappush(self.release_deadlines, (batch.release_deadline(), batch.spec.number))
        return self.tick(now)

    def reconfigure(self, now: float, plan: Plan, policy: QueuePolicy) -> list[Order]:
        """Another tree: what is held and out moves into it, each once; what its leaf owed it owes there."""
        debts = {
            leaf.path()[1:]: max(leaf.finish_tag - leaf.parent.virtual_time, 0.0)
            for leaf in self.tree.nodes()
            if leaf.parent and not leaf.children
        }
        self.policy, self.tree = policy, BudgetTree(plan, self.estimates.forget)
        self.estimates.clear()
        moving = sorted(self.batches.values())
        self.queued_width, self.aging_count, self.pending_aged, self.aged = 0.0, 0, [], []
        actions: list[Order] = []
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
        for batch in (h for h in moving if not h.is_released):
            if any(node.share.ceiling <= 0 for node in path_to_root(batch.leaf)):
                actions.append(Refuse(batch.spec.number, self.policy.max_retry_delay, "its budget is zero"))
                self.discard(batch, "refused", now)
            elif not batch.schedulable and self.key_order.is_head(batch):
                # One whose line's head was just refused is held already.
                self.enqueue(batch)
        return actions + self.release_ready(now)

    # What it does.

    def release_ready(self, now: float) -> list[Order]:
        """Release for as long as there is room and someone's turn."""
        actions: list[Order] = []
        while (batch := self.select_next(now)) is not None:
            self.dequeue(batch)
            batch.is_released, batch.released_at = True, now
            self.running[batch.spec.number] = batch
            self.releases += 1
            self.counts["released"] += 1
            uncorrected = batch.uncorrected_wait if batch.queued_at >= self.capacity_changed_at else 0.0
            self.wait_estimator.record(
                batch.leaf.path(), batch.estimated_wait, uncorrected, batch.naive_wait, now - batch.queued_at
            )
            for node in path_to_root(batch.leaf):
                node.record_service(batch.charge, now)
                node.threads_in_use += batch.spec.width
            for node in path_to_root(batch.leaf):
                node.reschedule(self.capacity)
            actions.append(Release(batch.spec.number))
            self.advance_key(batch)
        return actions

    def select_next(self, now: float) -> QueuedBatch | None:
        """Whose turn it is: the aged one that must go first at each interval, else by the tree."""
        if not self.root.queued:
            return None
        if self.releases % AGED_RELEASE_INTERVAL == AGED_RELEASE_INTERVAL - 1:
            while self.aged:
                batch = self.batches.get(self.aged[0][1])
                if batch is None or batch.is_released or not batch.schedulable:
                    heappop(self.aged)
                    continue
                full = any(
                    node.parent and node.is_at_ceiling(self.capacity, batch.spec.width)
                    for node in path_to_root(batch.leaf)
                )
                if now - batch.leaf.last_served_at < STARVATION_WAIT:
                    # Looked at again after the others: it may have to wait for longer than they.
                    heappop(self.aged)
                    heappush(self.pending_aged, (now + STARVATION_WAIT, batch.spec.number))
                    continue
                if self.has_capacity(batch.spec.width) and not full:
                    return batch
                break
        leaf = self.root.next_leaf(self.capacity, lambda leaf: leaf.queue[0].spec.width)
        if leaf is None or not self.has_capacity(leaf.queue[0].spec.width):
            return None
        return leaf.queue[0]

    def has_capacity(self, width: float) -> bool:
        """Whether this front may have so many threads more out. One batch always may."""
        return (
            not self.root.threads_in_use
            or self.root.threads_in_use + width <= self.capacity * self.policy.overcommit
        )

    def enqueue(self, batch: QueuedBatch) -> None:
        """It takes part in its leaf's turns from now on."""
        leaf = batch.leaf
        batch.schedulable = True
        insort(leaf.queue, batch)
        self.aging_count += batch.ages
        self.queued_width += batch.spec.width
        for node in path_to_root(leaf):
            self.tree.idle_since.pop(node, None)
            if not node.queued:
                # How fast its turns went while nobody waited for them says nothing of how they go now.
                node.rate_samples.clear()
                node.activate()
            node.queued += 1
            node.backlog += batch.charge
            if node.queued == 1:
                node.reschedule(self.capacity)

    def dequeue(self, batch: QueuedBatch) -> None:
        """It takes part in no turns any more."""
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

    def discard(self, batch: QueuedBatch, how: str, now: float) -> None:
        """It is held no more, and was not released."""
        self.counts[how] += 1
        del self.batches[batch.spec.number]
        self.dequeue(batch)
        self.advance_key(batch)
        self.tree.mark_idle(batch.leaf, now)

    def advance_key(self, batch: QueuedBatch) -> None:
        """It is released or gone; the next of its key is held in its turn, so that they keep their order."""
        if following := self.key_order.remove(batch):
            self.enqueue(following)

    def free_threads(self, batch: QueuedBatch, undercharge: float, now: float) -> None:
        """What was out has ended: its threads are free, and what was charged short is owed."""
        for node in path_to_root(batch.leaf):
            node.threads_in_use -= batch.spec.width
            if node.threads_in_use < 1e-9:
                node.threads_in_use = 0.0
            node.correct_charge(undercharge)
        for node in path_to_root(batch.leaf):
            node.unblock_children(self.capacity)
            node.reschedule(self.capacity)
        self.tree.mark_idle(batch.leaf, now)

    def preempt(self, now: float) -> list[Order]:
        """Where a batch under its guarantee would miss its goal because others hold more than theirs: of
        those the least worthy, least far one is given up, if that pays and the bound on waste allows it.

        Held batches need no pre-emption: theirs is passed by in turn. Released ones that have no dispatch out
        yet cost nothing; running ones only where engines cancel."""
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
        """It had its answer before it could be given up: nothing was thrown away after all."""
        self.counts["too late to preempt"] += 1

    # What it reckons.

    def service_rate(self, now: float) -> float:
        """Core-seconds, as they are charged, that all threads would end in a second."""
        return self.throughput.rate(now, self.capacity)

    def retry_delay(self, seconds: float) -> float:
        """A time to come back, spread by chance so that none come back together, within what is allowed."""
        self.draws += 1
        chance = (crc32(b"%d after %d" % (self.seed, self.draws)) + 0.5) / 2**32
        return min(max(seconds, 0.01) * (1 + RETRY_JITTER * chance), self.policy.max_retry_delay)

    def is_conserved(self) -> bool:
        """Whether all that was submitted is batch, out, or went one way."""
        c = self.counts
        gone = c["refused"] + c["left"] + c["ended"]
        waiting = sum(not batch.is_released for batch in self.batches.values())
        behind = self.key_order.count_blocked()
        return (
            c["submitted"] == gone + len(self.batches)
            and len(self.batches) == waiting + len(self.running)
            and waiting == sum(batch.schedulable for batch in self.batches.values()) + behind
        )
