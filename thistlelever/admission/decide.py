"""All decisions of one front: when, where and on what terms each batch is dispatched.

    front = Front(settings, seed)           # once, from what is read at start
    actions = front.handle(now, events)     # all events of one moment, answered in order

The types are in `interface.py`; `docs/design.md` says what follows the paper and what departs from it.
A batch's course to its one final answer is `Front.course`; read that first, then `release` and `draw`.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from math import exp, inf, log
from statistics import median
from zlib import crc32

from thistlelever.ground import interface as it

# The design's own figures: busy share that halves a bound, threads a core, places in a k-sequence.
BUSY, THREADS_A_CORE, PLACES = 0.85, 2.0, 20
# An average follows its samples at this pace: eight of them outweigh what was there before.
PACE = 0.125
# How sharply the draw prefers the least loaded, in engines: too sharp and all herd, too flat and none heed.
SPREAD = 0.05
# What one place further down a table group's own order of engines costs, in shares of an engine.
STEP = 0.2
# How many engines a draw looks at, and how many of them by chance in a large fleet, others by the table
# group's order. Fewer, and a hot table group finds no way out; more, and a front's time goes to looking.
NEAR, FAR = 10, 2
# How many engines one draw may ask for word, so that one silent engine does not hold a batch up.
ASKS = 2
HOLD, WAIT = "hold", "wait"
# The figures about engines: those that the list gives, and the others with their first value.
LISTED = (
    "id",
    "zone",
    "cell",
    "kind",
    "cores",
    "memory",
    "started",
    "bound",
    "reported",
    "slow_at",
    "fresh_at",
    "own",
    "cold",
)
FIRST = {
    "listed": False,
    "down": False,
    "last": (),
    "gap": 0.5,
    "told_at": -1e9,
    "probe_at": -1e9,
    "slow": 1.0,
    "busy": 0.0,
    "granted": 0.0,
    "shun": 0.0,
    "doubt": 0.0,
    "width": 0,
}
NEVER_RAN = frozenset(
    (
        it.DispatchOutcome.FULL,
        it.DispatchOutcome.UNREACHABLE,
        it.DispatchOutcome.LATE,
        it.DispatchOutcome.UNSENT,
    )
)
MAY_RUN_ON = frozenset((it.DispatchOutcome.TIMED_OUT, it.DispatchOutcome.RESET, it.DispatchOutcome.CANCELLED))


class Sent:
    """One dispatch that is out."""

    def __init__(self, batch: Batch, engine: int, now: float, work: float) -> None:
        self.batch, self.number, self.engine, self.at = batch, batch.dispatches, engine, now
        self.work, self.width, self.memory, self.share = work, batch.width, batch.memory, 0.0


class Batch:
    """One batch that this front holds or has out."""

    def __init__(self, told: it.BatchReceived, width: int, now: float) -> None:
        self.id, self.group, self.key, self.tables = told.batch, told.group, told.key, told.tables
        self.width, self.taken, self.new_till, self.limit_at = width, now, now, now + told.time_limit
        self.dispatches, self.out = 0, {}
        self.may_have_run, self.held, self.answered = [], False, False
        self.tried, self.line = set(), []

    def __lt__(self, other: Batch) -> bool:
        return (self.goal_at, self.taken, self.id) < (other.goal_at, other.taken, other.id)


class Front:
    """The decisions of one front. It knows its own events and nothing else."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        m, groups = settings, settings.tariffs
        self.seed, self.draws, self.now, self.groups = seed, 0, 0.0, groups
        self.tick, self.home, self.crossing = m.tick, m.zone, 10 * m.cross_price
        self.top = max(range(len(groups)), key=lambda g: groups[g].utility)
        top = groups[self.top].utility
        steps = sorted({t.utility for t in groups}, reverse=True)
        self.priority = [max(3 - steps.index(t.utility), 0) for t in groups]
        # The paper wants the top group's m/k distinctly above the others': all of k, and half for nothing.
        self.wanted = [min(PLACES, round(PLACES * (1 + t.utility / top) / 2)) for t in groups]
        self.most = [1 + round((m.most_dispatches - 1) * max(t.utility / top, 0.5)) for t in groups]
        self.success = [deque([0] * PLACES, PLACES) for _ in groups]
        self.queues: list[list[Batch]] = [[] for _ in groups]
        self.any_yields = any(t.yields_to_loads for t in groups)
        self.narrow = max(t.width for t in groups)
        self.usual = [t.goal * t.width / (2 + 2 * t.goal_stretch) for t in groups]
        self.threads = max(m.kind_cores, default=0) * THREADS_A_CORE
        self.fill = self.threads * len(groups) / sum(t.width for t in groups)
        # How many fronts the settings say, how many live, and how many may send to any engine of the list.
        self.settled, self.living, self.sharing = m.fronts, max(m.fronts, 1), 0
        self.cold_budget = m.fall_multiple * BUSY * m.fall_window
        self.share_out()
        self.flowing, self.turn, self.mean_busy = True, 0.0, 0.0
        self.cost_bias, self.memory_bias = [1.0] * len(groups), [1.25] * len(groups)
        self.pace, self.forget = [1.0] * len(groups), max(t.goal for t in groups)
        self.paced_at = [0.0] * len(groups)
        self.meant = [work / t.width for work, t in zip(self.usual, groups, strict=True)]
        self.kind_cores, self.kind_memory, self.most_grant = m.kind_cores, m.kind_memory, m.most_grant
        self.grants, self.priorities, self.tells_cost = m.grants, m.priorities, m.tells_cost
        self.pages, self.cancel, self.copies = m.shortage is it.MemoryShortage.PAGE, m.cancel, m.copies
        self.longest_return = m.longest_return if m.names_return else 0.0
        self.connect_limit, self.key_rest, self.allowance = m.connect_limit, m.key_rest, m.allowance
        self.cold_share, self.warm_after, self.fall_window = m.cold_share, m.warm_after, m.fall_window
        told = m.report_fields
        self.fields = [told.index(f) if f in told else -1 for f in ("util", "queue", "inflight", "x1", "x0")]
        self.probing = m.probes and m.reports is it.ReportDelivery.WHEN_PROBED
        self.open, self.sent = {}, {}
        self.keys, self.key_free = {}, {}
        self.took, self.extra, self.alarm = deque(), deque(), float("inf")
        self.asks, self.ask_within, self.asked_at = m.asks_for_list, m.ask_within, -1e9
        # Engines, all under one dense index.
        self.index, self.spare = {}, []
        vars(self).update({row: [] for row in (*LISTED, *FIRST)})
        self.ranks: dict[float, list[tuple[int, int]]] = {}
        self.handlers = {
            it.BatchReceived: self.taken,
            it.DispatchEnded: self.ended,
            it.ProgressNote: self.noted,
            it.ClientLeft: self.left,
            it.ProbeEnded: self.probed,
            it.EngineListReceived: self.listed_anew,
            it.FrontStopping: self.stops,
            it.FrontCountChanged: self.counted,
            it.LearnedState: self.recalled,
        }

    def handle(self, now: float, events: list[it.Event]) -> list[it.Action]:
        self.now, self.actions, self.crossed, self.loads = now, [], set(), {}
        for event in (e for e in events if type(e) in self.handlers):
            self.handlers[type(event)](event)
        self.release()
        self.upkeep()
        return self.actions

    def course(self, b: Batch):
        while True:
            engine = yield HOLD
            if engine is None:
                break
            said = yield engine
            while b.out:
                if type(said) is it.ProgressNote and self.behind(b, said):
                    said = yield it.Cancel(b.id, said.number)
                else:
                    said = yield WAIT
            if said.complete:
                return
            if not self.may_go_again(b):
                break
        yield self.farewell(b)

    def advance(self, b: Batch, told) -> None:
        try:
            wish = b.course.send(told)
        except StopIteration:
            # Risk: a result that broke while it went on to its client counts as an answer in time.
            self.close(b, told.outcome is it.DispatchOutcome.RETURNED and self.now <= b.goal_at)
            return
        if wish is HOLD:
            b.held = True
            insort(self.queues[b.group], b)
        elif type(wish) is int:
            self.dispatch(b, wish)
        elif wish is not WAIT:
            self.actions.append(wish)
            if type(wish) is not it.Cancel:
                self.close(b, False)

    def close(self, b: Batch, in_time: bool | None) -> None:
        b.answered = True
        self.open.pop(b.id, None)
        if in_time is not None:
            self.success[b.group].append(int(in_time))
        self.clear_key(b)

    def farewell(self, b: Batch) -> it.Action:
        t = self.groups[b.group]
        drops = t.repeat is it.Idempotency.DEDUPLICATED and t.scope is it.DeduplicationScope.ALL
        harmless = not b.may_have_run or t.repeat is it.Idempotency.IDEMPOTENT or drops
        return it.PushBack(b.id, min(self.longest_return, b.run)) if harmless else it.Error(b.id)

    def may_go_again(self, b: Batch) -> bool:
        if b.dispatches >= self.most[b.group] or self.now + b.run >= b.limit_at or not self.affords(b):
            return False
        return not b.may_have_run or self.groups[b.group].repeat is not it.Idempotency.NON_IDEMPOTENT

    def affords(self, b: Batch) -> bool:
        if not self.allowance:
            return True
        # Kept a tick longer than what was taken, so that rounding never frees a place early.
        floor, share, window = self.allowance
        for times, oldest in ((self.extra, self.now - window - self.tick), (self.took, self.now - window)):
            while times and times[0] <= oldest:
                times.popleft()
        return not b.dispatches or len(self.extra) + 1 <= floor + share * len(self.took)

    def behind(self, b: Batch, note: it.ProgressNote) -> bool:
        """A bad plan: the rest of this dispatch would outlast a fresh one of a batch that may run again."""
        again = self.cancel and self.groups[b.group].repeat is it.Idempotency.IDEMPOTENT
        if not again or note.kind is not it.ProgressKind.PROGRESS:
            return False
        s = self.sent[b.id, note.number]
        rest = (self.now - s.at) * (1 - note.value) / max(note.value, 1e-3)
        # Told from a slow engine by comparison: the same pace as the engine's others is no bad plan.
        usual = b.run * max(self.slow[s.engine], 1.0)
        return rest > 2 * usual and self.may_go_again(b)

    def taken(self, told: it.BatchReceived) -> None:
        g, t = told.group, self.groups[told.group]
        b = Batch(told, t.width, self.now)
        b.work = told.work * self.cost_bias[g] if told.work else self.usual[g]
        self.usual[g] += PACE * (b.work - self.usual[g])
        b.memory, b.run = told.memory * self.memory_bias[g], b.work / t.width
        b.goal_at = min(self.now + t.goal + t.goal_stretch * b.run, b.limit_at)
        self.open[b.id] = b
        if self.allowance:
            self.took.append(self.now)
        if t.in_order and b.key:
            b.line = self.keys.setdefault(b.key, b.line)
            b.line.append(b)
        b.course = self.course(b)
        if (i := self.index.get(told.out_at)) is None:
            self.advance(b, None)
        else:
            # Another front has begun it there: what is out goes on, and what comes after is a further
            # dispatch.
            next(b.course)
            self.advance(b, i)
            b.may_have_run[0] = (0, i, self.now - told.out_for)

    def ended(self, told: it.DispatchEnded) -> None:
        s = self.sent.pop((told.batch, told.number))
        b, i, g = s.batch, s.engine, s.batch.group
        b.out.pop(s.number, None)
        self.own[i].pop((told.batch, told.number), None)
        self.width[i] -= s.width
        self.report(i, told.report, s.width)
        if told.outcome in NEVER_RAN:
            b.may_have_run = [r for r in b.may_have_run if r[0] != s.number]
        if told.outcome is it.DispatchOutcome.FULL:
            self.halve(i)
            self.busy[i] = max(self.busy[i], 1.0)
        elif told.outcome is not it.DispatchOutcome.TIMED_OUT:
            self.fared(i, told.outcome)
        if told.outcome is it.DispatchOutcome.RETURNED or told.outcome is it.DispatchOutcome.TIMED_OUT:
            # Of sums, as a mean of ratios is ruled by the batches whose cost was put too low. Time-outs
            # count, or a day on which all are slow would cut off just the dispatches that show it.
            spent = self.meant[g] * self.pace_now(g)
            spent += PACE * (told.took - spent)
            self.meant[g] += PACE * (b.run - self.meant[g])
            self.pace[g], self.paced_at[g] = spent / self.meant[g], self.now
            # Risk: an engine that swallows some of what it gets, or errs in no time, looks well by its
            # answers alone. A time-out counts for the time it took, an error for the goal that it cost.
            self.paced(i, told.took * s.width / (told.true_work or s.work))
        elif told.outcome is it.DispatchOutcome.ERRORED:
            self.paced(i, (b.goal_at - b.taken) / b.run)
        if told.outcome is it.DispatchOutcome.RETURNED and self.tells_cost and told.true_work:
            self.cost_bias[g] *= 1 + PACE / 4 * (min(max(told.true_work / s.work, 0.25), 4.0) - 1)
            much = told.true_memory * 1.15 / max(s.memory, 1.0)
            self.memory_bias[g] *= 1 + PACE / 4 * (min(much, 2.0) - 1)
        if b.line and told.outcome in MAY_RUN_ON:
            self.key_free[b.key] = self.now + self.key_rest
        if not b.answered:
            self.advance(b, told)
        else:
            self.clear_key(b)

    def noted(self, told: it.ProgressNote) -> None:
        s = self.sent.get((told.batch, told.number))
        if s and told.kind is it.ProgressKind.PROGRESS:
            s.share = told.value
        elif s and told.kind is it.ProgressKind.SPILL and s.memory:
            self.memory_bias[s.batch.group] *= min(1 + PACE * told.value / s.memory, 1.1)
        if s and not s.batch.answered:
            self.advance(s.batch, told)

    def left(self, told: it.ClientLeft) -> None:
        if b := self.open.get(told.batch):
            self.unhold(b)
            b.course.close()
            self.actions += [it.Cancel(b.id, number) for number in b.out if self.cancel]
            # A client that leaves writes nothing: a zero would let its group crowd out those that wait.
            self.close(b, None)

    def stops(self, told: it.FrontStopping) -> None:
        """Risk: what outlasts the front is lost; held back now, its client can still go elsewhere in time."""
        for b in self.open.values():
            b.limit_at = min(b.limit_at, told.at)
            b.goal_at = min(b.goal_at, told.at)
        self.queues = [sorted(queue) for queue in self.queues]

    def counted(self, told: it.FrontCountChanged) -> None:
        """How many fronts live. A cold engine's room stays as it is: who is taken for dead may only be cut
        off from here, and send as before."""
        self.living = max(told.fronts, 1)
        self.share_out()

    def share_out(self) -> None:
        """Of how many fronts this is one at each engine. Risk: where each front holds some of the engines,
        one of all fronts' shares leaves an engine to the few that hold it with next to nothing; and a cold
        engine's budget counts all fronts that can reach it, dead or alive."""
        self.fronts = min(self.living, self.sharing or self.living)
        self.alike = max(self.fronts * self.fill / (self.fronts + self.fill), 1.0)
        self.step = min(self.threads / self.narrow / self.fronts, 1.0)
        self.fall_room = self.cold_budget / (self.sharing or self.settled) / 2

    def recall(self, now: float) -> it.LearnedState:
        """What another life is to know; `recalled` puts it back."""
        engines = [
            (
                e,
                self.bound[i],
                self.slow[i] ** exp((self.slow_at[i] - now) / self.forget),
                max(self.started[i], 0.0),
            )
            for e, i in self.index.items()
            if self.listed[i]
        ]
        keys = [(key, at - now) for key, at in self.key_free.items() if at > now]
        return it.LearnedState(
            tuple(engines),
            tuple(keys),
            *(tuple(now - at for at in times) for times in (self.took, self.extra)),
        )

    def recalled(self, told: it.LearnedState) -> None:
        for e, bound, pace, started in told.engines:
            if (i := self.index.get(e)) is not None:
                self.bound[i] = min(bound, self.cores[i] * THREADS_A_CORE)
                self.slow[i], self.slow_at[i] = pace, self.now
                self.started[i] = max(self.started[i], started or -1e9)
        for key, left in told.keys:
            self.key_free[key] = max(self.now + left, self.key_free.get(key, 0.0))
        # Rule 7's window goes on across a restart: what was spent in it is spent.
        self.took.extendleft(self.now - ago for ago in reversed(told.took))
        self.extra.extendleft(self.now - ago for ago in reversed(told.extra))

    def probed(self, told: it.ProbeEnded) -> None:
        if (i := self.index.get(told.engine)) is not None:
            self.probe_at[i] = -1e9
            self.fared(i, told.outcome)
            self.report(i, told.report, 1)

    def listed_anew(self, told: it.EngineListReceived) -> None:
        if told.kind not in (it.ListKind.FAILED, it.ListKind.CHANGES):
            self.listed = [False] * len(self.listed)
        if told.kind is not it.ListKind.FAILED and told.fronts != self.sharing:
            self.sharing = told.fronts
            self.share_out()
        for e in told.engines:
            if (i := self.index.get(e.id)) is None:
                i = self.index[e.id] = self.spare.pop() if self.spare else len(self.id)
                cores = self.kind_cores[e.kind]
                known = (
                    e.id,
                    e.zone,
                    e.cell,
                    e.kind,
                    cores,
                    self.kind_memory[e.kind],
                    e.started or -1e9,
                    cores * THREADS_A_CORE / self.fronts,
                    self.now,
                    self.now,
                    self.now,
                    {},
                    deque(),
                )
                for row, first in (*zip(LISTED, known, strict=True), *FIRST.items()):
                    vars(self)[row][i : i + 1] = [first]
            elif e.started > max(self.started[i], 0.0):
                self.restarted(i, e.started)
            self.listed[i] = e.state is it.EngineState.READY
        # An engine that has left is forgotten once nothing remembers it, and its place is another's.
        known = {i for b in self.open.values() for i in b.tried} | {self.index[e.id] for e in told.engines}
        for e in [e for e, i in self.index.items() if not (self.listed[i] or self.own[i] or i in known)]:
            self.spare.append(self.index.pop(e))
        self.ranks.clear()

    def report(self, i: int, values: tuple[float, ...], width: int) -> None:
        if not values:
            return
        self.told_at[i] = self.now
        if values == self.last[i]:
            return
        if self.last[i]:
            self.gap[i] += PACE * (min(self.now - self.reported[i], 2.0) - self.gap[i])
        self.last[i], self.reported[i] = values, self.now
        busy, line, held, disk, granted = (values[f] if 0 <= f < len(values) else -1.0 for f in self.fields)
        if busy < 0:
            busy = self.width[i] * self.fronts / self.cores[i]
        # Batches that stand still behind a load or a disk leave the cores idle: risk, an engine that is
        # jammed reports no work and is sent ever more. What it holds and its disks count as well.
        busy = max(busy, disk, held / (self.cores[i] * THREADS_A_CORE))
        # A line means that the engine is full, whatever its cores do.
        busy = max(busy, BUSY) + line / self.cores[i] if line >= 1 else busy
        self.mean_busy += PACE * (busy - self.mean_busy)
        self.busy[i], self.granted[i] = busy, max(granted, 0.0)
        if max(busy, granted if self.pages else 0.0) < BUSY:
            self.bound[i] = min(self.bound[i] + width * self.step, self.cores[i] * THREADS_A_CORE)
        else:
            self.halve(i)

    def halve(self, i: int) -> None:
        # A share under one batch has no floor, as all fronts together must be able to fall below what fits.
        self.bound[i] = max(self.bound[i] / 2, 0.0 if self.step < 1.0 else self.narrow)

    def paced(self, i: int, sample: float) -> None:
        old = self.pace_of(i)
        self.slow[i] = old * (min(max(sample, 0.1), 30.0) / old) ** PACE
        self.slow_at[i] = self.now

    def pace_of(self, i: int) -> float:
        """An engine's pace, forgotten over the longest goal without news: it is then tried again."""
        return self.slow[i] ** exp((self.slow_at[i] - self.now) / self.forget)

    def pace_now(self, g: int) -> float:
        """A group's pace, forgotten without news as an engine's is. Risk: a front that turns a group away for
        its pace hears nothing of it any more, and goes on turning it away when engines are long free."""
        return self.pace[g] ** exp((self.paced_at[g] - self.now) / self.forget)

    def fared(self, i: int, outcome: it.DispatchOutcome) -> None:
        if outcome is it.DispatchOutcome.RETURNED:
            self.lives(i)
        elif outcome in (
            it.DispatchOutcome.UNREACHABLE,
            it.DispatchOutcome.LATE,
            it.DispatchOutcome.RESET,
            it.DispatchOutcome.TIMED_OUT,
        ):
            # Risk: an engine whose answers go missing resets too, and one connection of many comes up late;
            # taken for down each time, it would count as cold without end. Only a connection refused shows
            # that nothing runs there, or that none comes up for as long as a doubt grows.
            most = 8 * self.connect_limit
            self.down[i] |= (
                outcome is it.DispatchOutcome.UNREACHABLE
                or outcome is it.DispatchOutcome.LATE
                and self.doubt[i] >= most
            )
            self.doubt[i] = min(max(self.doubt[i] * 2, self.connect_limit), most)
            self.shun[i] = self.now + self.doubt[i]

    def lives(self, i: int) -> None:
        if self.down[i]:
            # It was down and answers: it may be cold before the list says so.
            self.restarted(i, self.now)
        self.doubt[i], self.shun[i] = 0.0, 0.0

    def restarted(self, i: int, when: float) -> None:
        """Back to the start: a bound that it earned before it went down lets all fronts flood it."""
        self.started[i], self.fresh_at[i] = max(self.started[i], when), self.now
        self.bound[i] = self.cores[i] * THREADS_A_CORE / self.fronts
        self.slow[i], self.down[i] = 1.0, False
        self.lives(i)

    def warmth(self, i: int) -> float:
        """The share of its capacity that the engine surely has."""
        age = self.now - self.started[i]
        if age >= self.warm_after:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * max(age, 0.0) / self.warm_after

    def unseen(self, i: int) -> list[Sent]:
        """What is out that the last report cannot show yet; all of it where an engine has fallen silent."""
        return [s for s in self.own[i].values() if s.at > self.told_at[i] - self.gap[i]]

    def load_of(self, i: int) -> float:
        """The busy share reported, and what all fronts are taken to have sent since: as they act on like
        reports, each as much as this one, up to what fills an engine. Risk: too few, and all pour onto one
        that looks free; too many, and a single send is fled from."""
        if i not in self.loads:
            sent = sum(s.width for s in self.unseen(i))
            # Risk: what was last heard busy is not heard of again. Old word gives way to the mean.
            trust = self.forget / (self.forget + self.now - self.told_at[i])
            busy = self.mean_busy + trust * (self.busy[i] - self.mean_busy)
            self.loads[i] = busy + sent * self.alike / (self.cores[i] * self.warmth(i))
        return self.loads[i]

    def takes(self, b: Batch, i: int) -> bool:
        t = self.groups[b.group]
        # Where it can be probed, an engine in doubt is tried by probes alone: what is sent to an engine
        # that takes all and answers nothing piles up there, and each trial costs a batch its goal.
        if not self.listed[i] or self.now < self.shun[i] or self.doubt[i] and self.probing:
            return False
        if not self.placed(t, i):
            return False
        if b.may_have_run:
            _, first, at = b.may_have_run[0]
            forgotten = self.now - at >= t.window
            if t.repeat is it.Idempotency.DEDUPLICATED and (forgotten or not self.same(t.scope, first, i)):
                return False
        if self.now - self.started[i] < self.warm_after and not self.cold_room(b, i):
            return False
        # Past its memory an engine that pages slows all that it holds, so this bound has no floor.
        return (
            not self.pages
            or self.granted[i]
            + (sum(s.memory for s in self.unseen(i)) * self.alike + b.memory) / self.memory[i]
            <= 1
        )

    def within(self, b: Batch, i: int) -> bool:
        return self.width[i] + b.width <= self.bound[i] or self.load_of(i) < BUSY

    def in_turn(self, b: Batch) -> bool:
        """Where a share is less than a batch: once nothing is free, a batch for each time that this front's
        shares of all engines would have run one, until none is held. Risk: a batch for each front and engine
        is several engines' worth, and what all have held back goes at once when engines are next free."""
        if self.flowing:
            self.flowing, self.turn = False, self.now + self.chance() * self.spacing(b)
        return self.now >= self.turn

    def spacing(self, b: Batch) -> float:
        pool = sum(bound for bound, listed in zip(self.bound, self.listed, strict=True) if listed)
        return min(b.work * max(self.pace_now(b.group), 1.0) / max(pool, 1e-9), self.forget)

    def placed(self, t, i: int) -> bool:
        return (t.zones is None or self.zone[i] in t.zones) and (t.kinds is None or self.kind[i] in t.kinds)

    def same(self, scope: it.DeduplicationScope, i: int, j: int) -> bool:
        row = self.zone if scope is it.DeduplicationScope.ZONE else self.cell
        return scope is it.DeduplicationScope.ALL or row[i] == row[j]

    def cold_room(self, b: Batch, i: int) -> bool:
        """A fresh engine gets a thin slice of the keys, and never more than this front's share. Risk: with
        hundreds of fronts a share of a window is less than one batch, and an engine that none may send to is
        lost to all until it is warm. There a batch goes for each time in which the shares add up to it, the
        first at a moment that is each front's own."""
        if crc32(b"%a %b" % (b.tables, self.id[i])) / 2**32 > self.warmth(i):
            return False
        sent, window = self.cold[i], self.fall_window + self.connect_limit
        room, work = self.fall_room * self.warmth(i) * self.cores[i], max(self.usual[b.group], b.work)
        if work > room:
            first = crc32(b"%d %b" % (self.seed, self.id[i])) / 2**32
            since, part = (sent[-1][0], 1.0) if sent else (self.fresh_at[i], first)
            return self.now - since >= part * window * work / room
        while sent and sent[0][0] < self.now - window:
            sent.popleft()
        return sum(w for _, w in sent) + work <= room

    def order(self, tables: float) -> list[tuple[int, int]]:
        """Every front agrees without a word on which engines keep a table group warm."""
        if tables not in self.ranks:
            if len(self.ranks) > 4096:
                self.ranks.clear()
            ready = (i for i, listed in enumerate(self.listed) if listed)
            ranked = sorted(ready, key=lambda i: (crc32(b"%a %b" % (tables, self.id[i])), i))
            self.ranks[tables] = list(enumerate(ranked))
        return self.ranks[tables]

    def sample(self, b: Batch, loads: bool) -> tuple[list[tuple[int, int]], list[tuple[int, int]]]:
        """Of the first engines that may take the batch those within the bound, and those to go to in turn."""
        free, pressed, asks = [], [], ASKS if self.probing else 0
        places = self.order(b.tables)[:: -1 if loads and self.any_yields else 1]
        if len(places) > NEAR:
            # Risk: hundreds of fronts that hear little all look at the same few, and fill them together.
            far = FAR if self.step == 1.0 else NEAR // 2
            places = [places[int(self.chance() * len(places))] for _ in range(far)] + places
        for rank, i in places:
            takes = self.takes(b, i)
            if takes and self.within(b, i):
                free.append((rank, i))
            elif takes:
                pressed.append((rank, i))
            elif asks and self.now >= self.shun[i] and self.ask(i):
                asks -= 1
            if len(free) + len(pressed) == NEAR:
                break
        # Risk: what is never sent to is never heard of again, and stays full in this front's eyes.
        for _, i in pressed[: 0 if free else asks]:
            self.ask(i)
        return free, [place for place in pressed if self.step < 1.0 and not self.own[place[1]]]

    def draw(self, b: Batch) -> int | None:
        loads = self.groups[b.group].holds_tables
        free, pressed = self.sample(b, loads)
        if self.step < 1.0 and not (free and (self.flowing or not self.pages)) and not self.in_turn(b):
            return None
        if not (free := free or pressed):
            return None
        slow = [self.pace_of(i) for _, i in free]
        usual = median(slow)
        costs = []
        for (rank, i), pace in zip(free, slow, strict=True):
            cost = (0.5 + self.load_of(i)) * max(pace / usual, 1.0)
            cost += self.any_yields / (1 + rank) if loads else STEP * rank
            cost += self.crossing * (self.zone[i] != self.home)
            # Whatever ailed the dispatch before, it is worth an engine's load to go elsewhere.
            cost += i in b.tried
            costs.append((cost + SPREAD * log(-log(self.chance())), i))
        best = [i for _, i in sorted(costs)[:ASKS]]
        if not self.probing or not self.ask(best[0]):
            return best[0]
        # Risk: fronts that carry little send blindly. A batch that waits for word counts as just taken.
        for i in best[1:]:
            self.ask(i)
        b.new_till = self.now + self.connect_limit
        return None

    def ask(self, i: int) -> bool:
        """Probe the engine, unless a probe is out, if its next report has had the time to come."""
        if self.now - self.told_at[i] <= self.gap[i]:
            return False
        if self.now - self.probe_at[i] > 2 * self.connect_limit:
            self.probe_at[i] = self.now
            self.actions.append(it.Probe(self.id[i]))
        return True

    def chance(self) -> float:
        self.draws += 1
        return (crc32(b"%d %d" % (self.seed, self.draws)) + 0.5) / 2**32

    def distance(self, g: int) -> int:
        left = self.wanted[g]
        for position, one in enumerate(reversed(self.success[g]), 1):
            left -= one
            if not left:
                return PLACES - position + 1
        return 0

    def release(self) -> None:
        self.flowing |= not any(self.queues)
        for queue in self.queues:
            for b in [b for b in queue if self.hopeless(b)]:
                self.unhold(b)
                self.advance(b, None)
        # What leaves makes no engine freer: a group that could not go is drawn for again at the next moment.
        may_go = set(range(len(self.queues)))
        while True:
            waiting = sorted((self.distance(g), self.queues[g][0], g) for g in may_go if self.queues[g])
            if not any(self.release_from(g) or may_go.discard(g) for _, _, g in waiting):
                return

    def hopeless(self, b: Batch) -> bool:
        """Held so long that it cannot finish in time; one just taken may still unlearn a bad pace."""
        return self.now + (b.run if b.dispatches or self.now <= b.new_till else self.needs(b)) > b.goal_at

    def needs(self, b: Batch) -> float:
        """One run at its group's pace, and half as much again, as a mean leaves too many to end late."""
        return 1.5 * b.run * max(self.pace_now(b.group), 0.5)

    def release_from(self, g: int) -> bool:
        for b in self.queues[g]:
            if self.key_busy(b) or (g, b.tables) in self.crossed:
                continue
            if (i := self.draw(b)) is None:
                if b.may_have_run or self.now < b.new_till:
                    continue
                return False
            if self.conflict(b, i):
                # Risk: a draw for each of hundreds held behind one table group at each event takes a core.
                self.crossed.add((g, b.tables))
                continue
            if not self.guarded(b, i):
                return False
            self.unhold(b)
            # Risk: the budget that it had when it asked again may have run out while it was held.
            self.advance(b, i if self.affords(b) else None)
            return True
        return False

    def conflict(self, b: Batch, i: int) -> bool:
        t = self.groups[b.group]
        held = (s.batch for s in self.own[i].values() if t.holds_tables or t.yields_to_loads)
        return any(h.tables == b.tables and self.groups[h.group].holds_tables for h in held)

    def guarded(self, b: Batch, i: int) -> bool:
        if b.group == self.top or not self.queues[self.top]:
            return True
        head = next((h for h in self.queues[self.top] if not self.key_busy(h)), None)
        if head is None or not self.placed(self.groups[self.top], i):
            return True
        rest = sum(s.work * (1 - s.share) for s in self.own[i].values()) / self.cores[i]
        return head.goal_at - self.now - head.run > b.run + rest

    def key_busy(self, b: Batch) -> bool:
        """Batches of one key go one at a time, in the order taken, with a rest after one that may run on."""
        rests = not b.dispatches and self.now < self.key_free.get(b.key, 0.0)
        return bool(b.line) and (b.line[0] is not b or rests)

    def clear_key(self, b: Batch) -> None:
        if b.answered and not b.out and b in b.line:
            b.line.remove(b)
            if not b.line:
                del self.keys[b.key]

    def unhold(self, b: Batch) -> None:
        if b.held:
            b.held = False
            del self.queues[b.group][bisect_left(self.queues[b.group], b)]

    def dispatch(self, b: Batch, i: int) -> None:
        if b.dispatches:
            self.extra.append(self.now)
        s = Sent(b, i, self.now, b.work)
        grant = min(b.memory, self.most_grant * self.memory[i]) if self.grants else 0.0
        if not b.dispatches and (self.grants or self.priorities):
            self.actions.append(it.Terms(b.id, grant, self.priority[b.group]))
        self.actions.append(it.Dispatch(b.id, self.id[i], self.patience(b), self.begin_by(b)))
        self.width[i] += s.width
        self.loads.pop(i, None)
        self.sent[b.id, s.number] = b.out[s.number] = self.own[i][b.id, s.number] = s
        b.may_have_run.append((s.number, i, self.now))
        b.dispatches += 1
        b.tried.add(i)
        if not self.flowing:
            self.turn = self.now + self.spacing(b)
        if self.warmth(i) < 1.0:
            self.cold[i].append((self.now, max(self.usual[b.group], b.work)))
        if self.doubt[i]:
            # In doubt it gets one trial at a time, not all that waits.
            self.shun[i] = self.now + 2 * self.connect_limit

    def begin_by(self, b: Batch) -> float:
        """Until when a carrier may send it, or again what seems to have been lost of it. Risk: engines drop
        repeats for so long only, counted from the first, and a connection that comes up late passes that.
        What goes again later than it takes to connect may have come whole the first time: where further
        dispatches are rationed, it would be one that nobody counts."""
        t, first = self.groups[b.group], b.may_have_run[0][2] if b.may_have_run else self.now
        by = first + t.window if t.repeat is it.Idempotency.DEDUPLICATED else inf
        return min(by, self.now + self.connect_limit) if self.allowance else by

    def patience(self, b: Batch) -> float:
        """How long a dispatch may go unanswered, for the next to meet the goal; 0: to the time limit.
        Never under four times the group's usual, so that it does not trip while all are slow. None where
        copies are allowed: work that a time-out does not stop costs more there, and probes find silence. None
        where nothing can be called off: the engine runs on, and until it surely does not none may follow."""
        t = self.groups[b.group]
        # Where a share is less than a batch, what is cut off at its goal is done twice over the whole fleet,
        # to earn what the late answer would have earned.
        runs_on, late_earns = self.copies or not self.cancel, self.step < 1.0 and t.late_share
        if runs_on or late_earns or t.repeat is it.Idempotency.NON_IDEMPOTENT:
            return 0.0
        if b.dispatches + 1 >= self.most[b.group]:
            return 0.0
        # Where a late answer earns too, one that only runs long must not be cut off for a swallowed one.
        left = b.goal_at - self.now - (0.0 if t.late_share else self.needs(b))
        return max(left, 4 * b.run * max(self.pace_now(b.group), 1.0))

    def upkeep(self) -> None:
        if self.asks and self.now - self.asked_at > self.ask_within / 2:
            self.asked_at = self.now
            self.actions += [it.FollowList(), it.AskList()]
        held = [q[0].goal_at for q in self.queues if q]
        if held:
            # Risk: a client with little time left is lost between two looks at what is held.
            due = self.now + min(10 * self.tick, max(min(held) - self.now, self.tick))
            # Half a tick's grace, as a carrier rounds the delay and may come a moment early.
            if due < self.alarm or self.now >= self.alarm - self.tick / 2:
                self.alarm = due
                self.actions.append(it.Timer(due - self.now, 0))
