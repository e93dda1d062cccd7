"""The judge: holds batches until their budget's turn, says how long that will be, and gives up in time.

    judge = Judge(plan, terms, seed)
    actions = judge.submit(now, entry)      # and ended, left, began, capacity_is, tick, renew

Every call answers with what is to be done now: `Release` (tell the decisions), `Refuse` (push back, with the
time to come back), `Preempt` (give up what is out). What is held is released, refused or left, once;
`conserved` says so.
"""

from __future__ import annotations

from bisect import insort
from heapq import heappop, heappush
from zlib import crc32

from thistlelever.budgets.estimates import Estimates
from thistlelever.budgets.fair import Node
from thistlelever.budgets.held import Entry, Held, Terms
from thistlelever.budgets.key_order import KeyOrder
from thistlelever.budgets.plan import Plan
from thistlelever.budgets.preemption import Preemption
from thistlelever.budgets.throughput import Throughput
from thistlelever.budgets.tree import BudgetTree, upwards
from thistlelever.budgets.waits import Waits
from thistlelever.ground.commands import Command, Preempt, Refuse, Release

# Each so many releases the longest held of all that has waited half of its time goes first, whoever's it is.
AGED_EVERY = 8
# A leaf that is served more often than this does not starve, however long what it was flooded with must wait:
# ageing is for the others.
STARVED = 0.5
# The time to come back is spread by so much, so that those pushed back together do not come back together.
SPREAD = 0.5

# What is counted of batches.
COUNTED = (
    *("submitted", "released", "refused", "left"),
    *("preempted", "ended", "moved", "too late to preempt"),
)


class Judge:
    """All budgets of one front. It knows what it was told and nothing else."""

    def __init__(self, plan: Plan, terms: Terms, seed: int, capacity: float = 0.0) -> None:
        """Nothing is held; `capacity` is in threads."""
        self.terms, self.seed, self.draws = terms, seed, 0
        self.capacity = capacity
        self.estimates, self.key_order, self.preemption = Estimates(), KeyOrder(), Preemption()
        self.tree = BudgetTree(plan, self.estimates.forget)
        self.batches: dict[int, Held] = {}
        self.running: dict[int, Held] = {}
        self.throughput = Throughput()
        self.changed_at = float("-inf")
        # By when each must go, and from when it counts as aged.
        self.deadlines: list[tuple[float, int]] = []
        self.ageing: list[tuple[float, int]] = []
        self.aged: list[tuple[float, int]] = []
        self.releases, self.held_width, self.slow = 0, 0.0, 0
        self.counts = dict.fromkeys(COUNTED, 0)

    @property
    def root(self) -> Node:
        """The node of all budgets."""
        return self.tree.root

    @property
    def waits(self) -> Waits:
        """Estimates of waits, and how true they were."""
        return self.estimates.waits

    @property
    def thrown_away(self) -> float:
        """Thread-seconds of work that pre-emption has thrown away."""
        return self.preemption.thrown_away

    # What it is told.

    def submit(self, now: float, entry: Entry) -> list[Command]:
        """A batch has come. It is refused at once where it would wait past what its client does; else it is
        held, and goes with the next `tick`: what comes in one moment is weighed together."""
        self.counts["submitted"] += 1
        leaf = self.tree.leaf(entry.team, entry.group)
        if any(node.share.ceiling <= 0 for node in upwards(leaf)):
            return self.refuse_at_once(now, entry, leaf, self.terms.longest_return, "its budget is zero")
        held = self.estimate(now, entry, leaf)
        late = now + held.told - held.must_go_by()
        if now + held.told > held.must_go_by():
            return self.refuse_at_once(
                now, entry, leaf, self.after(late), "the wait would pass its time limit"
            )
        self.batches[entry.number] = held
        if self.key_order.add(held):
            self.hold(held)
        heappush(self.deadlines, (held.must_go_by(), entry.number))
        heappush(self.ageing, ((now + held.must_go_by()) / 2, entry.number))
        return []

    def refuse_at_once(self, now: float, entry: Entry, leaf: Node, after: float, why: str) -> list[Command]:
        """The batch is not held at all."""
        self.counts["refused"] += 1
        self.tree.spare(leaf, now)
        return [Refuse(entry.number, after, why)]

    def estimate(self, now: float, entry: Entry, leaf: Node) -> Held:
        """The batch as it would be held, with the wait that it is told."""
        charge = self.estimates.charge(leaf, entry.work)
        ahead = leaf.backlog if not entry.again else leaf.backlog / 2
        pace = self.pace(now)
        free = self.root.threads + self.held_width + entry.width <= self.capacity * self.terms.depth
        self.estimates.sent(leaf, charge, now)
        raw = 0.0 if free else self.estimates.wait(leaf, ahead, pace, now)
        told = raw * self.waits.factor.get(leaf.path(), 1.0)
        naive = self.root.backlog / pace
        # Who was pushed back before has waited already: it stands where it would have stood by then.
        due = now - (min(told, self.terms.longest_return) if entry.again else 0.0)
        held = Held(entry, leaf, now, due, charge, told, raw, naive)
        # Aged, it goes in another turn, however long its leaf's is.
        half = (held.must_go_by() - now) / 2
        usual = self.root.backlog / max(self.root.held, 1)
        aged = half + (self.slow + 1) * AGED_EVERY * usual / pace
        if told > half and self.estimates.wait(leaf, max(charge, usual), pace, now) > STARVED:
            held.slow, held.told = True, min(told, aged)
        return held

    def began(self, number: int) -> None:
        """A dispatch of it is out: from now on giving it up throws work away."""
        if held := self.batches.get(number):
            held.began = True

    def ended(self, now: float, number: int, true_work: float) -> list[Command]:
        """Its answer is given and nothing of it is out; what it truly cost, 0 where nobody says."""
        held = self.batches.pop(number, None)
        if held is None:
            return []
        self.running.pop(number, None)
        self.counts["ended"] += 1
        self.next_of_key(held)
        if not held.out:
            self.unhold(held)
            return self.go(now)
        took = now - held.released
        real = true_work or (took * held.entry.width if held.began else 0.0)
        if held.began and real > 0:
            self.estimates.learn_cost(held.leaf, held.entry.work, real)
        lasted = max(now - held.released, 1e-6) * held.entry.width
        self.throughput.add(now, held.charge, lasted)
        self.release_threads(held, real - held.charge, now)
        return self.go(now)

    def left(self, now: float, number: int) -> list[Command]:
        """Its client has gone while it was held."""
        held = self.batches.get(number)
        if held is None or held.out:
            return []
        self.drop(held, "left", now)
        return self.go(now)

    def capacity_is(self, now: float, threads: float) -> list[Command]:
        """What all engines carry for this front, in threads: guarantees and ceilings are shares of it."""
        if threads == self.capacity:
            return []
        self.capacity, self.changed_at = threads, now
        # What was told before could not know of it, and its errors teach nothing.
        self.waits.factor.clear()
        for node in self.tree.nodes():
            node.freed(threads)
            node.waits(threads)
        return self.go(now)

    def tick(self, now: float) -> list[Command]:
        """Time has passed: what can be held no longer is refused, what has aged counts so, idle nodes go."""
        # First what can go: a batch whose run outlasts its time is the decisions' to refuse, if it need not
        # wait.
        actions = self.go(now)
        while self.deadlines and self.deadlines[0][0] <= now:
            by, number = heappop(self.deadlines)
            held = self.batches.get(number)
            if held and not held.out and by == held.must_go_by():
                after = self.after(self.root.backlog / self.pace(now))
                actions.append(Refuse(number, after, "held until its last moment"))
                self.drop(held, "refused", now)
        while self.ageing and self.ageing[0][0] <= now:
            _, number = heappop(self.ageing)
            held = self.batches.get(number)
            if held and not held.out:
                heappush(self.aged, (held.must_go_by(), number))
        self.estimates.prune(now)
        self.tree.forget_idle(now)
        return actions + self.go(now) + self.preempt(now)

    def next_at(self) -> float:
        """When `tick` has something to do at the latest."""
        return min(
            self.deadlines[0][0] if self.deadlines else float("inf"),
            self.ageing[0][0] if self.ageing else float("inf"),
        )

    def stops(self, now: float, at: float) -> list[Command]:
        """The front ends then: what is held must have gone before, with the time for its run."""
        for held in self.batches.values():
            if held.entry.limit_at > at:
                held.entry = held.entry._replace(limit_at=at)
                heappush(self.deadlines, (held.must_go_by(), held.entry.number))
        return self.tick(now)

    def renew(self, now: float, plan: Plan, terms: Terms) -> list[Command]:
        """Another tree: what is held and out moves into it, each once; what its leaf owed it owes there."""
        owed = {
            leaf.path()[1:]: max(leaf.finish - leaf.parent.time, 0.0)
            for leaf in self.tree.nodes()
            if leaf.parent and not leaf.children
        }
        self.terms, self.tree = terms, BudgetTree(plan, self.estimates.forget)
        self.estimates.clear()
        moving = sorted(self.batches.values())
        self.held_width, self.slow, self.ageing, self.aged = 0.0, 0, [], []
        actions: list[Command] = []
        for held in moving:
            held.leaf, held.waiting = self.tree.leaf(held.entry.team, held.entry.group), False
            held.leaf.finish = held.leaf.finish or owed.get(held.leaf.path()[1:], 0.0)
            self.counts["moved"] += 1
            if held.out:
                for node in upwards(held.leaf):
                    node.threads += held.entry.width
            else:
                heappush(self.ageing, ((held.since + held.must_go_by()) / 2, held.entry.number))
        for held in (h for h in moving if not h.out):
            if any(node.share.ceiling <= 0 for node in upwards(held.leaf)):
                actions.append(Refuse(held.entry.number, self.terms.longest_return, "its budget is zero"))
                self.drop(held, "refused", now)
            elif not held.waiting and self.key_order.is_first(held):
                # One whose line's head was just refused is held already.
                self.hold(held)
        return actions + self.go(now)

    # What it does.

    def go(self, now: float) -> list[Command]:
        """Release for as long as there is room and someone's turn."""
        actions: list[Command] = []
        while (held := self.next(now)) is not None:
            self.unhold(held)
            held.out, held.released = True, now
            self.running[held.entry.number] = held
            self.releases += 1
            self.counts["released"] += 1
            raw = held.raw if held.since >= self.changed_at else 0.0
            self.waits.learn(held.leaf.path(), held.told, raw, held.naive, now - held.since)
            for node in upwards(held.leaf):
                node.served(held.charge, now)
                node.threads += held.entry.width
            for node in upwards(held.leaf):
                node.waits(self.capacity)
            actions.append(Release(held.entry.number))
            self.next_of_key(held)
        return actions

    def next(self, now: float) -> Held | None:
        """Whose turn it is: each `AGED_EVERY` releases the aged one that must go first, else by the tree."""
        if not self.root.held:
            return None
        if self.releases % AGED_EVERY == AGED_EVERY - 1:
            while self.aged:
                held = self.batches.get(self.aged[0][1])
                if held is None or held.out or not held.waiting:
                    heappop(self.aged)
                    continue
                full = any(
                    node.parent and node.full(self.capacity, held.entry.width) for node in upwards(held.leaf)
                )
                if now - held.leaf.served_at < STARVED:
                    # Looked at again after the others: it may have to wait for longer than they.
                    heappop(self.aged)
                    heappush(self.ageing, (now + STARVED, held.entry.number))
                    continue
                if self.room(held.entry.width) and not full:
                    return held
                break
        leaf = self.root.next_leaf(self.capacity, lambda leaf: leaf.queue[0].entry.width)
        if leaf is None or not self.room(leaf.queue[0].entry.width):
            return None
        return leaf.queue[0]

    def room(self, width: float) -> bool:
        """Whether this front may have so many threads more out. One batch always may."""
        return not self.root.threads or self.root.threads + width <= self.capacity * self.terms.depth

    def hold(self, held: Held) -> None:
        """It takes part in its leaf's turns from now on."""
        leaf = held.leaf
        held.waiting = True
        insort(leaf.queue, held)
        self.slow += held.slow
        self.held_width += held.entry.width
        for node in upwards(leaf):
            self.tree.idle.pop(node, None)
            if not node.held:
                # How fast its turns went while nobody waited for them says nothing of how they go now.
                node.marks.clear()
                node.wakes()
            node.held += 1
            node.backlog += held.charge
            if node.held == 1:
                node.waits(self.capacity)

    def unhold(self, held: Held) -> None:
        """It takes part in no turns any more."""
        if not held.waiting:
            return
        held.waiting = False
        held.leaf.queue.remove(held)
        self.slow -= held.slow
        self.held_width -= held.entry.width
        for node in upwards(held.leaf):
            node.held -= 1
            if not node.held:
                node.sleeps()
            node.backlog = node.backlog - held.charge if node.held else 0.0
        if not self.root.held:
            self.held_width = 0.0

    def drop(self, held: Held, how: str, now: float) -> None:
        """It is held no more, and was not released."""
        self.counts[how] += 1
        del self.batches[held.entry.number]
        self.unhold(held)
        self.next_of_key(held)
        self.tree.spare(held.leaf, now)

    def next_of_key(self, held: Held) -> None:
        """It is released or gone; the next of its key is held in its turn, so that they keep their order."""
        if following := self.key_order.remove(held):
            self.hold(following)

    def release_threads(self, held: Held, owed: float, now: float) -> None:
        """What was out has ended: its threads are free, and what was charged short is owed."""
        for node in upwards(held.leaf):
            node.threads -= held.entry.width
            if node.threads < 1e-9:
                node.threads = 0.0
            node.corrected(owed)
        for node in upwards(held.leaf):
            node.freed(self.capacity)
            node.waits(self.capacity)
        self.tree.spare(held.leaf, now)

    def preempt(self, now: float) -> list[Command]:
        """Where a batch under its guarantee would miss its goal because others hold more than theirs: of
        those the least worthy, least far one is given up, if that pays and the bound on waste allows it.

        Held batches need no pre-emption: theirs is passed by in turn. Released ones that have no dispatch out
        yet cost nothing; running ones only where engines cancel."""
        leaf = self.root.next_leaf(self.capacity, lambda leaf: leaf.queue[0].entry.width)
        if leaf is None or self.room(leaf.queue[0].entry.width):
            return []
        wanting, running = leaf.queue[0], self.running.values()
        if not self.preemption.is_needed(wanting, running, self.capacity, now):
            return []
        held = self.preemption.choose(wanting, running, self.terms, self.capacity, now)
        if held is None:
            return []
        self.preemption.give_up(held, now)
        self.counts["preempted"] += 1
        return [Preempt(held.entry.number, self.after(self.root.backlog / self.pace(now)))]

    def too_late(self, number: int) -> None:
        """It had its answer before it could be given up: nothing was thrown away after all."""
        self.counts["too late to preempt"] += 1

    # What it reckons.

    def pace(self, now: float) -> float:
        """Core-seconds, as they are charged, that all threads would end in a second."""
        return self.throughput.pace(now, self.capacity)

    def after(self, seconds: float) -> float:
        """A time to come back, spread by chance so that none come back together, within what is allowed."""
        self.draws += 1
        chance = (crc32(b"%d after %d" % (self.seed, self.draws)) + 0.5) / 2**32
        return min(max(seconds, 0.01) * (1 + SPREAD * chance), self.terms.longest_return)

    def conserved(self) -> bool:
        """Whether all that was submitted is held, out, or went one way."""
        c = self.counts
        gone = c["refused"] + c["left"] + c["ended"]
        waiting = sum(not held.out for held in self.batches.values())
        behind = self.key_order.behind_first()
        return (
            c["submitted"] == gone + len(self.batches)
            and len(self.batches) == waiting + len(self.running)
            and waiting == sum(held.waiting for held in self.batches.values()) + behind
        )
