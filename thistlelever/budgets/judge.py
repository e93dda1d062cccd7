"""The judge: holds batches until their budget's turn, says how long that will be, and gives up in time.

    judge = Judge(plan, terms, seed)
    actions = judge.submit(now, entry)      # and ended, left, began, capacity_is, tick, renew

Every call answers with what is to be done now: `Release` (tell the decisions), `Refuse` (push back, with the
time to come back), `Preempt` (give up what is out). What is held is released, refused or left, once;
`conserved` says so.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import NamedTuple
from zlib import crc32

from thistlelever.budgets.fair import Node
from thistlelever.budgets.forecast import MOST_LEAVES, Forecast, Inflow
from thistlelever.budgets.plan import Plan
from thistlelever.budgets.waits import Waits
from thistlelever.ground.orders import Order, Preempt, Refuse, Release

# Each so many releases the longest held of all that has waited half of its time goes first, whoever's it is.
AGED_EVERY = 8
# Held no longer than until its run, and half as much again, would pass its time limit.
RUN, LEAST_RUN = 1.5, 0.02
# A correction of a leaf's costs follows its samples at this pace, and never past this factor.
COST_PACE, MOST_COST = 0.125, 16.0
# Pre-emption may throw away this share of what all engines carry, over so long.
WASTE_WINDOW = 10.0
# What is idle and owes nothing for so long is forgotten.
FORGET = 30.0
# So long all threads, or fewer for longer, must have been at work before their yield is believed, which is
# then taken over so long.
SEEN, YIELD_OVER = 0.25, 8.0
# A leaf that is served more often than this does not starve, however long what it was flooded with must wait:
# ageing is for the others.
STARVED = 0.5
# A forecast serves for so long.
FORESEEN = 0.02
# The time to come back is spread by so much, so that those pushed back together do not come back together.
SPREAD = 0.5


class Entry(NamedTuple):
    """A batch as the judge knows it. Work in core-seconds, width in threads; `key` is 0 where order does not
    matter; `again` says that its client was pushed back before."""

    number: int
    team: str
    group: str
    utility: float
    work: float
    width: float
    limit_at: float
    goal_at: float
    key: int
    again: bool = False


class Terms(NamedTuple):
    """What holds for the whole tree: whether engines cancel, the share of work that pre-emption may throw
    away, the longest time to come back, and how many times its threads this front may have out."""

    cancels: bool
    waste: float
    longest_return: float
    depth: float


@dataclass(slots=True, eq=False)
class Held:
    """One batch that is held or out."""

    entry: Entry
    leaf: Node
    since: float
    due: float
    charge: float
    told: float
    raw: float
    naive: float
    waiting: bool = False
    out: bool = False
    released: float = 0.0
    began: bool = False
    given_up: bool = False
    # Whether it was told a wait in which it ages.
    slow: bool = False

    def __lt__(self, other: Held) -> bool:
        return (self.due, self.entry.number) < (other.due, other.entry.number)

    def must_go_by(self) -> float:
        """The last moment at which it is released: past it, it is refused."""
        run = max(self.charge / self.entry.width, LEAST_RUN)
        return max(self.entry.limit_at - RUN * run, self.since)


class Judge:
    """All budgets of one front. It knows what it was told and nothing else."""

    def __init__(self, plan: Plan, terms: Terms, seed: int, capacity: float = 0.0) -> None:
        self.plan, self.terms, self.seed, self.draws = plan, terms, seed, 0
        self.capacity = capacity
        self.root = Node("", None, plan.share(()))
        self.batches: dict[int, Held] = {}
        self.running: dict[int, Held] = {}
        # What has ended lately: its charge, and the thread-seconds that it took.
        self.done: deque[tuple[float, float, float]] = deque()
        self.done_work = self.done_time = 0.0
        self.yields = 1.0
        self.changed_at = float("-inf")
        self.waits = Waits()
        # Order by key: what is held behind a batch of its own key, which goes first.
        self.lines: dict[int, list[Held]] = {}
        # By when each must go, and from when it counts as aged.
        self.deadlines: list[tuple[float, int]] = []
        self.ageing: list[tuple[float, int]] = []
        self.aged: list[tuple[float, int]] = []
        self.releases, self.held_width, self.slow = 0, 0.0, 0
        # What each leaf was sent lately, and what is foreseen from that and from what is held.
        self.inflow: dict[Node, Inflow] = {}
        self.forecasts: dict[Node, Forecast] = {}
        self.pruned_at = float("-inf")
        # A leaf's true costs over those told, and whose nodes were last seen busy when.
        self.cost: dict[tuple[str, ...], float] = {}
        self.idle: dict[Node, float] = {}
        self.wasted: list[tuple[float, float]] = []
        self.counts = dict.fromkeys(
            (
                "submitted",
                "released",
                "refused",
                "left",
                "preempted",
                "ended",
                "moved",
                "too late to preempt",
            ),
            0,
        )
        self.thrown_away = 0.0

    # What it is told.

    def submit(self, now: float, entry: Entry) -> list[Order]:
        """A batch has come. It is refused at once where it would wait past what its client does; else it is
        held, and goes with the next `tick`: what comes in one moment is weighed together."""
        self.counts["submitted"] += 1
        leaf = self.leaf(entry.team, entry.group)
        charge = max(entry.work, 1e-3) * self.cost.get(leaf.path(), 1.0)
        if any(node.share.ceiling <= 0 for node in upwards(leaf)):
            self.counts["refused"] += 1
            self.spare(leaf, now)
            return [Refuse(entry.number, self.terms.longest_return, "its budget is zero")]
        ahead = leaf.backlog if not entry.again else leaf.backlog / 2
        pace = self.pace(now)
        free = self.root.threads + self.held_width + entry.width <= self.capacity * self.terms.depth
        if leaf not in self.inflow:
            self.inflow[leaf] = Inflow(now)
        self.inflow[leaf].sent(charge, now)
        raw = 0.0 if free else self.foreseen(leaf, ahead, pace, now)
        told = raw * self.waits.factor.get(leaf.path(), 1.0)
        naive = self.root.backlog / pace
        # Who was pushed back before has waited already: it stands where it would have stood by then.
        due = now - (min(told, self.terms.longest_return) if entry.again else 0.0)
        held = Held(entry, leaf, now, due, charge, told, raw, naive)
        # Aged, it goes in another turn, however long its leaf's is.
        half = (held.must_go_by() - now) / 2
        usual = self.root.backlog / max(self.root.held, 1)
        aged = half + (self.slow + 1) * AGED_EVERY * usual / pace
        if told > half and self.foreseen(leaf, max(charge, usual), pace, now) > STARVED:
            held.slow, held.told = True, min(told, aged)
        if now + held.told > held.must_go_by():
            self.counts["refused"] += 1
            self.spare(leaf, now)
            late = now + held.told - held.must_go_by()
            return [Refuse(entry.number, self.after(late), "the wait would pass its time limit")]
        self.batches[entry.number] = held
        line = self.lines.setdefault(entry.key, []) if entry.key else []
        line.append(held)
        if len(line) == 1 or not entry.key:
            self.hold(held)
        heappush(self.deadlines, (held.must_go_by(), entry.number))
        heappush(self.ageing, ((now + held.must_go_by()) / 2, entry.number))
        return []

    def began(self, number: int) -> None:
        """A dispatch of it is out: from now on giving it up throws work away."""
        if held := self.batches.get(number):
            held.began = True

    def ended(self, now: float, number: int, true_work: float) -> list[Order]:
        """Its answer is given and nothing of it is out; what it truly cost, 0 where nobody says."""
        held = self.batches.pop(number, None)
        if held is None:
            return []
        self.running.pop(number, None)
        self.counts["ended"] += 1
        self.unline(held)
        if not held.out:
            self.unhold(held)
            return self.go(now)
        took = now - held.released
        real = true_work or (took * held.entry.width if held.began else 0.0)
        if held.began and real > 0:
            # Against what was told, not against what was charged: a factor that is corrected by charges which
            # an older one made swings without end.
            ratio = min(max(real / max(held.entry.work, 1e-3), 1 / MOST_COST), MOST_COST)
            path = held.leaf.path()
            old = self.cost.get(path, 1.0)
            self.cost[path] = old * (ratio / old) ** COST_PACE
        lasted = max(now - held.released, 1e-6) * held.entry.width
        self.done.append((now, held.charge, lasted))
        self.done_work += held.charge
        self.done_time += lasted
        self.release_threads(held, real - held.charge, now)
        return self.go(now)

    def left(self, now: float, number: int) -> list[Order]:
        """Its client has gone while it was held."""
        held = self.batches.get(number)
        if held is None or held.out:
            return []
        self.drop(held, "left", now)
        return self.go(now)

    def capacity_is(self, now: float, threads: float) -> list[Order]:
        """What all engines carry for this front, in threads: guarantees and ceilings are shares of it."""
        if threads == self.capacity:
            return []
        self.capacity, self.changed_at = threads, now
        # What was told before could not know of it, and its errors teach nothing.
        self.waits.factor.clear()
        for node in self.nodes():
            node.freed(threads)
            node.waits(threads)
        return self.go(now)

    def tick(self, now: float) -> list[Order]:
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
        if now > self.pruned_at + FORESEEN * 20:
            # What has been sent nothing of late takes nothing from the others.
            self.pruned_at = now
            self.inflow = {
                leaf: sent for leaf, sent in self.inflow.items() if leaf.held or sent.lately(now) > 1e-3
            }
            self.forecasts = {leaf: said for leaf, said in self.forecasts.items() if leaf in self.inflow}
        while self.idle and now - self.idle[next(iter(self.idle))] >= FORGET:
            self.forget(next(iter(self.idle)), now)
        return actions + self.go(now) + self.preempt(now)

    def next_at(self) -> float:
        """When `tick` has something to do at the latest."""
        return min(
            self.deadlines[0][0] if self.deadlines else float("inf"),
            self.ageing[0][0] if self.ageing else float("inf"),
        )

    def stops(self, now: float, at: float) -> list[Order]:
        """The front ends then: what is held must have gone before, with the time for its run."""
        for held in self.batches.values():
            if held.entry.limit_at > at:
                held.entry = held.entry._replace(limit_at=at)
                heappush(self.deadlines, (held.must_go_by(), held.entry.number))
        return self.tick(now)

    def renew(self, now: float, plan: Plan, terms: Terms) -> list[Order]:
        """Another tree: what is held and out moves into it, each once; what its leaf owed it owes there."""
        owed = {
            leaf.path()[1:]: max(leaf.finish - leaf.parent.time, 0.0)
            for leaf in self.nodes()
            if leaf.parent and not leaf.children
        }
        self.plan, self.terms, self.root = plan, terms, Node("", None, plan.share(()))
        self.idle.clear()
        self.inflow.clear()
        self.forecasts.clear()
        moving = sorted(self.batches.values())
        self.held_width, self.slow, self.ageing, self.aged = 0.0, 0, [], []
        actions: list[Order] = []
        for held in moving:
            held.leaf, held.waiting = self.leaf(held.entry.team, held.entry.group), False
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
            elif not held.waiting and (not held.entry.key or self.lines[held.entry.key][0] is held):
                # One whose line's head was just refused is held already.
                self.hold(held)
        return actions + self.go(now)

    def foreseen(self, leaf: Node, ahead: float, pace: float, now: float) -> float:
        """How long until the leaf's turn for what comes behind so much of its own. With few leaves at work
        all of them are looked at, a moment's view serving all that come in it; with many their pace so far
        tells."""
        if len(self.inflow) > MOST_LEAVES:
            return self.waits.estimate(leaf, ahead, pace, now)
        forecast = self.forecasts.get(leaf)
        if forecast is None or now > forecast.at + FORESEEN:
            forecast = self.forecasts[leaf] = Forecast(leaf, list(self.inflow), self.inflow, pace, now)
        return forecast.wait(ahead)

    # What it does.

    def go(self, now: float) -> list[Order]:
        """Release for as long as there is room and someone's turn."""
        actions: list[Order] = []
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
        leaf = held.leaf
        held.waiting = True
        insort(leaf.queue, held)
        self.slow += held.slow
        self.held_width += held.entry.width
        for node in upwards(leaf):
            self.idle.pop(node, None)
            if not node.held:
                # How fast its turns went while nobody waited for them says nothing of how they go now.
                node.marks.clear()
                node.wakes()
            node.held += 1
            node.backlog += held.charge
            if node.held == 1:
                node.waits(self.capacity)

    def unhold(self, held: Held) -> None:
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
        self.unline(held)
        self.spare(held.leaf, now)

    def unline(self, held: Held) -> None:
        """It is out of its key's line; the next of the key may be held in its turn."""
        line = self.lines.get(held.entry.key) if held.entry.key else None
        if line and held in line:
            self.next_of_key(held)

    def next_of_key(self, held: Held) -> None:
        """Released, they keep their order with the decisions: the next one may follow at once."""
        line = self.lines.get(held.entry.key) if held.entry.key else None
        if not line or held not in line:
            return
        first = line[0] is held
        line.remove(held)
        if not line:
            del self.lines[held.entry.key]
        elif first:
            self.hold(line[0])

    def release_threads(self, held: Held, owed: float, now: float) -> None:
        for node in upwards(held.leaf):
            node.threads -= held.entry.width
            if node.threads < 1e-9:
                node.threads = 0.0
            node.corrected(owed)
        for node in upwards(held.leaf):
            node.freed(self.capacity)
            node.waits(self.capacity)
        self.spare(held.leaf, now)

    def preempt(self, now: float) -> list[Order]:
        """Where a batch under its guarantee would miss its goal because others hold more than theirs: of
        those the least worthy, least far one is given up, if that pays and the bound on waste allows it.

        Held batches need no pre-emption: theirs is passed by in turn. Released ones that have no dispatch out
        yet cost nothing; running ones only where engines cancel."""
        leaf = self.root.next_leaf(self.capacity, lambda leaf: leaf.queue[0].entry.width)
        if leaf is None or self.room(leaf.queue[0].entry.width):
            return []
        wanting = leaf.queue[0]
        entry = wanting.entry
        if not any(node.parent and node.under(self.capacity) for node in upwards(leaf)):
            return []
        run = wanting.charge / entry.width
        if now + run + self.next_end(now) <= entry.goal_at or now + run > entry.limit_at:
            return []
        self.wasted = [(at, work) for at, work in self.wasted if at > now - WASTE_WINDOW]
        left = self.terms.waste * self.capacity * WASTE_WINDOW - sum(work for _, work in self.wasted)
        best = None
        for held in self.running.values():
            if held.given_up or held.entry.utility >= entry.utility or not over(held.leaf, self.capacity):
                continue
            done = (now - held.released) * held.entry.width if held.began else 0.0
            rest = held.charge - done
            if held.began and (not self.terms.cancels or done > left or rest < run * entry.width / 2):
                continue
            rank = (held.entry.utility, done, held.entry.number)
            if best is None or rank < best[0]:
                best = rank, held, done
        if best is None:
            return []
        _, held, done = best
        held.given_up = True
        if done:
            self.wasted.append((now, done))
            self.thrown_away += done
        self.counts["preempted"] += 1
        return [Preempt(held.entry.number, self.after(self.root.backlog / self.pace(now)))]

    def too_late(self, number: int) -> None:
        """It had its answer before it could be given up: nothing was thrown away after all."""
        self.counts["too late to preempt"] += 1

    # What it reckons.

    def next_end(self, now: float) -> float:
        """In how long the next of what is out ends, as far as its cost tells. What lasts longer than that is
        taken to last half as long again as it has."""
        rests = (
            max(held.released + held.charge / held.entry.width - now, (now - held.released) / 2)
            for held in self.running.values()
        )
        return min(rests, default=0.0)

    def pace(self, now: float) -> float:
        """Core-seconds, as they are charged, that all threads would end in a second: what those that were out
        lately have ended, for each second that one was."""
        while self.done and self.done[0][0] < now - YIELD_OVER:
            _, charge, lasted = self.done.popleft()
            self.done_work -= charge
            self.done_time -= lasted
        if self.done_time >= SEEN * max(self.capacity, 1.0):
            self.yields = min(self.done_work / self.done_time, 2.0)
        return max(self.capacity * self.yields, 0.1)

    def after(self, seconds: float) -> float:
        """A time to come back, spread by chance so that none come back together, within what is allowed."""
        self.draws += 1
        chance = (crc32(b"%d after %d" % (self.seed, self.draws)) + 0.5) / 2**32
        return min(max(seconds, 0.01) * (1 + SPREAD * chance), self.terms.longest_return)

    # The tree.

    def leaf(self, team: str, group: str) -> Node:
        """The leaf of a team's service group, with the nodes above it, made as they are needed."""
        node = self.root
        path = self.plan.path(team, group)
        for depth, name in enumerate(path):
            child = node.children.get(name)
            if child is None:
                child = node.children[name] = Node(name, node, self.plan.share(path[: depth + 1]))
                child.finish = child.start = node.time
            node = child
        return node

    def nodes(self) -> list[Node]:
        found, waiting = [], [self.root]
        while waiting:
            node = waiting.pop()
            found.append(node)
            waiting += node.children.values()
        return found

    def spare(self, leaf: Node, now: float) -> None:
        for node in upwards(leaf):
            if not node.held and not node.threads:
                node.rests()
                if node.parent:
                    self.idle.setdefault(node, now)

    def forget(self, node: Node, now: float) -> None:
        """Idle for long. Risk: forgotten with a debt, it would start anew without it."""
        since = self.idle.pop(node)
        if node.held or node.threads or node.children or node.parent.children.get(node.name) is not node:
            # One with others below it comes up again with the last of them.
            return
        if node.finish > node.parent.time:
            # It owes still: looked at again later.
            self.idle[node] = now
            return
        del node.parent.children[node.name]
        self.inflow.pop(node, None)
        self.forecasts.pop(node, None)
        self.cost.pop(node.path(), None)
        if node.parent.parent and not node.parent.children and not node.parent.threads:
            self.idle[node.parent] = since

    def conserved(self) -> bool:
        """Whether all that was submitted is held, out, or went one way."""
        c = self.counts
        gone = c["refused"] + c["left"] + c["ended"]
        waiting = sum(not held.out for held in self.batches.values())
        behind = sum(len(line) - 1 for line in self.lines.values())
        return (
            c["submitted"] == gone + len(self.batches)
            and len(self.batches) == waiting + len(self.running)
            and waiting == sum(held.waiting for held in self.batches.values()) + behind
        )


def upwards(leaf: Node):
    """The leaf and all above it."""
    node: Node | None = leaf
    while node is not None:
        yield node
        node = node.parent


def over(leaf: Node, capacity: float) -> bool:
    """Whether a node on the way up holds more than it is guaranteed."""
    return any(node.parent and node.threads > node.share.guarantee * capacity for node in upwards(leaf))
