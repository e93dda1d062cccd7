"""All decisions of one front: when, where and on what terms each batch is dispatched.

    front = Front(settings, seed)           # once, at start
    actions = front.handle(now, events)     # all events of one moment, answered in order

A front is one process of this program. Its carrier is the code that does its I/O and owns the sockets. The
types are in `ground/interface.py`. The paper is Bacchouche and Limam, "Combining scheduling and concurrency
control of Real-time transactions within the MOA Architecture": (m,k)-firm guarantees and distance-based
priority. `docs/design.md` says what follows it and what departs from it.

Times are in seconds, memory is in megabytes. The work of a batch is its run time times its width (the threads
that it uses), in thread-seconds. The code does no I/O and reads no clock; all randomness comes from the seed.

`Front.run_batch` is the life of one batch up to its final answer: read that first, then `release_queued`,
which takes batches from the queues, and `choose_engine`, which samples the engines and picks one.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter, deque
from collections.abc import Generator
from math import exp, inf, log
from statistics import median
from typing import Any
from zlib import crc32

from thistlelever.admission.batch_ends import BatchEnds, Hold, Refusal
from thistlelever.admission.open_batch import ADOPTED_RUN, GONE_ENGINE, Batch, OpenDispatch
from thistlelever.admission.outcomes import COOL_DOWN_AFTER, NEVER_RAN, is_repeat_harmless
from thistlelever.admission.retry_budget import RetryBudgetWindow
from thistlelever.admission.sent_work import SentWork
from thistlelever.admission.turn_failures import TurnFailures
from thistlelever.ground import interface as it

# At this utilization of an engine (1: all cores busy) its concurrency limit is halved.
BUSY_THRESHOLD = 0.85
# The highest concurrency limit of an engine, in threads for each core.
THREADS_PER_CORE = 2.0
# How many of a query class's last batches count for its priority: the k of its (m,k)-firm guarantee.
HISTORY_LENGTH = 20
# Weight of a new sample in an exponentially weighted moving average: eight samples outweigh all before them.
EWMA_WEIGHT = 0.125
# The least work that a client's estimate can stand for, as a part of its class's typical work.
LEAST_WORK_SHARE = 1e-4
# The time constant of the work sent to engines that report no load, in decay times: long enough for a front
# with little traffic to have sent to most engines.
SENT_WORK_DECAY_TIMES = 10.0
# Scale of the random noise on an engine's cost, in units of utilization. With too little all fronts pick the
# same engine (herding); with too much the load estimate has no effect.
SAMPLING_NOISE = 0.05
# Cost of each place further down a table group's order of engines, in units of utilization.
RANK_COST = 0.2
# How many eligible engines one choice compares, and how many candidates of a large fleet are drawn at random
# before those of the table group's order. With fewer, a hot table group finds no other engine; with more, the
# front spends its time on looking.
SAMPLE_SIZE = 10
RANDOM_CANDIDATES = 2
# The most engines that each step of one choice, `sample_engines` and `choose_engine`, may probe: several, so
# that one silent engine does not delay a batch.
MAX_PROBES = 2
# The highest of an engine's priorities, which are 0 to 3.
HIGHEST_PRIORITY = 3
# What the task of a batch requests beside a dispatch (an engine's index) or an action.
ENQUEUE = "enqueue"
WAIT = "wait"
# A time before any other, where nothing has happened yet.
LONG_AGO = -1e9


class Front:
    """The decisions of one front, made from its own events alone.

    An engine has a dense index, its place in all of the lists that `init_engine_columns` makes: a variable
    `engine` holds that index; only in the code for lists of engines and learned state can it be an entry or
    an id instead. A query class has an index too, its place in `settings.tariffs`.
    """

    def __init__(self, settings: it.Settings, seed: int) -> None:
        """Start with no engines and no batches; the same seed and events always give the same actions."""
        self.seed = seed
        # How many random numbers were drawn.
        self.draws = 0
        self.now = 0.0
        self.init_query_classes(settings)
        self.init_options(settings)
        self.init_engine_columns()
        # How many fronts the settings name, how many are alive, and how many may send to any one engine of
        # the list (0: all fronts).
        self.configured_fronts = settings.fronts
        self.live_fronts = max(settings.fronts, 1)
        self.fronts_per_engine = 0
        self.update_shares()
        # While the fleet is saturated, dispatches are paced: the next may go at `next_dispatch_at`.
        self.pacing = False
        self.next_dispatch_at = 0.0
        self.mean_utilization = 0.0
        # Batches without a final answer by id, and dispatches without an outcome by batch and number.
        self.open_batches: dict[int, Batch] = {}
        self.open_dispatches: dict[tuple[int, int], OpenDispatch] = {}
        # The unfinished batches of each key, and until when a key is in its cool-down.
        self.key_queues: dict[int, list[Batch]] = {}
        self.key_cooldowns: dict[int, float] = {}
        # The batches of dispatches that have ended here while their engines may still run them, by batch and
        # number; only of batches with a key.
        self.stopping_dispatches: dict[tuple[int, int], Batch] = {}
        # For the log: how batches ended, what held back each class and the batch last looked at, and why a
        # batch is given up at this moment.
        self.ends = BatchEnds()
        self.class_holds: list[Hold | None] = [None for _ in self.query_classes]
        self.last_hold: Hold | None = None
        self.refusal_cause: Hold | Refusal | None = None
        self.timer_at = inf
        self.list_requested_at = LONG_AGO
        # Of each table group its order of engines as (rank, index).
        self.affinity_orders: dict[float, list[tuple[int, int]]] = {}
        self.failures = TurnFailures()
        # `TimerDue` and others without a handler only make the front look at its queues.
        self.handlers = {
            it.BatchReceived: self.batch_received,
            it.DispatchEnded: self.dispatch_ended,
            it.DispatchStopped: self.dispatch_stopped,
            it.ProgressNote: self.progress_noted,
            it.ClientLeft: self.client_left,
            it.ProbeEnded: self.probe_ended,
            it.EngineListReceived: self.engine_list_received,
            it.FrontStopping: self.front_stopping,
            it.FrontCountChanged: self.front_count_changed,
            it.LearnedState: self.restore_learned_state,
        }

    def init_query_classes(self, settings: it.Settings) -> None:
        """Set the terms of each query class and the first estimates of its batches."""
        classes = settings.tariffs
        self.query_classes = classes
        self.top_class = max(range(len(classes)), key=lambda index: classes[index].utility)
        top_value = classes[self.top_class].utility
        values = sorted({one.utility for one in classes}, reverse=True)
        # Priorities for engines: 3 for the highest value, one less for each lower value, at least 0.
        self.class_priorities = [max(HIGHEST_PRIORITY - values.index(one.utility), 0) for one in classes]
        # The m of each class's (m,k)-firm guarantee. The paper wants that of the top class distinctly above
        # the others': all of its last k batches in time, half of them for a class without value. By rounding,
        # a class of at least 95% of the highest value needs all of them too.
        self.required_successes = [
            min(HISTORY_LENGTH, round(HISTORY_LENGTH * (1 + one.utility / top_value) / 2)) for one in classes
        ]
        # The most dispatches of one batch.
        self.max_dispatches = [
            1 + round((settings.most_dispatches - 1) * max(one.utility / top_value, 0.5)) for one in classes
        ]
        # 1 for each of the last k batches that was answered in time, 0 for each that was not. All start at 0:
        # until a class has its required successes, its guarantee counts as broken, and it competes with other
        # such classes by the latency objectives of their first batches.
        self.success_history = [deque([0] * HISTORY_LENGTH, HISTORY_LENGTH) for _ in classes]
        # Batches that wait for an engine, in the order of `Batch.__lt__`.
        self.queues: list[list[Batch]] = [[] for _ in classes]
        self.any_class_yields = any(one.yields_to_loads for one in classes)
        self.widest = max(one.width for one in classes)
        # Moving averages of the clients' estimates of work, corrected (thread-seconds). Without any estimate
        # a class keeps this first value.
        self.typical_work = [one.goal * one.width / (2 + 2 * one.goal_stretch) for one in classes]
        self.least_work = [LEAST_WORK_SHARE * work for work in self.typical_work]
        # Threads of the largest kind of engine, and how many batches of mean width fill it.
        self.largest_engine_threads = max(settings.kind_cores, default=0) * THREADS_PER_CORE
        self.batches_to_fill = self.largest_engine_threads * len(classes) / sum(one.width for one in classes)
        # Factors that correct the clients' estimates of work and memory by what engines report. Those of work
        # also learn from batches without an estimate, by the typical work, and those of memory as if 1 MB had
        # been estimated.
        self.work_corrections = [1.0] * len(classes)
        self.memory_corrections = [1.25] * len(classes)
        # Measured over estimated run time of each class, when it was measured, and the mean estimate.
        self.class_slowdowns = [1.0] * len(classes)
        self.class_slowdowns_at = [0.0] * len(classes)
        self.mean_run_times = [work / one.width for work, one in zip(self.typical_work, classes, strict=True)]
        # Without news an estimate decays over this time, the longest latency objective without its
        # stretch.
        self.decay_time = max(one.goal for one in classes)

    def init_options(self, settings: it.Settings) -> None:
        """Set what the engines and the installation can do, and the limits that the operator chose."""
        self.tick = settings.tick
        self.home_zone = settings.zone
        self.zone_cost = 10 * settings.cross_price
        # Work that all fronts together may send a cold engine in its window, in thread-seconds a core, if it
        # had all of its capacity. The settings `fall_multiple` and `fall_window` say how much is too much.
        self.cold_budget = settings.fall_multiple * BUSY_THRESHOLD * settings.fall_window
        self.cold_capacity = settings.cold_share
        self.warm_up_time = settings.warm_after
        self.cold_window = settings.fall_window
        self.kind_cores = settings.kind_cores
        self.kind_memory = settings.kind_memory
        self.max_grant = settings.most_grant
        self.grants_memory = settings.grants
        self.sets_priorities = settings.priorities
        self.engines_report_cost = settings.tells_cost
        self.engines_page = settings.shortage is it.MemoryShortage.PAGE
        self.can_cancel = settings.cancel
        self.allows_copies = settings.copies
        self.max_retry_after = settings.longest_return if settings.names_return else 0.0
        self.connect_limit = settings.connect_limit
        self.key_cooldown = settings.key_rest
        self.retry_budget = RetryBudgetWindow(settings.allowance, settings.tick)
        # Places of the values in a load report, -1 for those that engines do not report.
        names = settings.report_fields
        self.report_places = [
            names.index(name) if name in names else -1 for name in ("util", "queue", "inflight", "x1", "x0")
        ]
        # Where engines never report their load: the work sent to each, in place of reports.
        self.sent_work: SentWork | None = None
        if settings.reports is it.ReportDelivery.NEVER:
            self.sent_work = SentWork(SENT_WORK_DECAY_TIMES * self.decay_time)
        self.probes = settings.probes and settings.reports is it.ReportDelivery.WHEN_PROBED
        self.requests_list = settings.asks_for_list
        self.list_interval = settings.ask_within

    def init_engine_columns(self) -> None:
        """Make the lists of figures about engines, all under one dense index."""
        self.engine_index: dict[it.EngineId, int] = {}
        self.free_indexes: list[int] = []
        # From the list of engines.
        self.engine_ids: list[it.EngineId] = []
        self.engine_zones: list[int] = []
        self.engine_cells: list[int] = []
        self.engine_kinds: list[int] = []
        self.cores: list[int] = []
        self.engine_memory: list[float] = []
        # Whether the list has the engine as ready.
        self.ready: list[bool] = []
        # When it was started, and when this front began to treat it as restarted.
        self.started_at: list[float] = []
        self.fresh_since: list[float] = []
        # How many threads of this front's dispatches it may run, by additive increase, multiplicative
        # decrease. The limit binds only while the engine's load estimate is high (`has_capacity`).
        self.concurrency_limits: list[float] = []
        # Threads of this front's dispatches that are open there, and the dispatches.
        self.open_widths: list[int] = []
        self.engine_dispatches: list[dict[tuple[int, int], OpenDispatch]] = []
        # While it is cold: when this front sent it how much work.
        self.cold_dispatches: list[deque[tuple[float, float]]] = []
        # The last load report, when it came, when its values last changed, and the mean time between changes.
        self.last_reports: list[tuple[float, ...]] = []
        self.reported_at: list[float] = []
        self.report_changed_at: list[float] = []
        self.report_intervals: list[float] = []
        self.probed_at: list[float] = []
        # Utilization, derived from the last report (cores, disk, batches in flight, queue; it may exceed 1),
        # at least 1 after a refusal for lack of room; and the granted share of memory as last reported.
        self.utilizations: list[float] = []
        self.granted_memory: list[float] = []
        # Measured over estimated run time, and when it was measured.
        self.engine_slowdowns: list[float] = []
        self.engine_slowdowns_at: list[float] = []
        # Whether it was found down; how long it is backed off (more than 0: it is suspected), and until when.
        self.down: list[bool] = []
        self.backoffs: list[float] = []
        self.backoff_until: list[float] = []
        self.engine_columns: tuple[list[Any], ...] = (
            self.engine_ids,
            self.engine_zones,
            self.engine_cells,
            self.engine_kinds,
            self.cores,
            self.engine_memory,
            self.ready,
            self.started_at,
            self.fresh_since,
            self.concurrency_limits,
            self.open_widths,
            self.engine_dispatches,
            self.cold_dispatches,
            self.last_reports,
            self.reported_at,
            self.report_changed_at,
            self.report_intervals,
            self.probed_at,
            self.utilizations,
            self.granted_memory,
            self.engine_slowdowns,
            self.engine_slowdowns_at,
            self.down,
            self.backoffs,
            self.backoff_until,
        )

    def handle(self, now: float, events: list[it.Event]) -> list[it.Action]:
        """Take in all events of one moment, dispatch what can go, and return the actions in their order.

        A step that fails costs the other ones nothing: `TurnFailedError` has the actions of those.
        """
        self.now = now
        self.actions: list[it.Action] = []
        # Query class and table group of batches that a table load holds back at this moment.
        self.table_conflicts: set[tuple[int, float]] = set()
        # Load estimates of this moment by engine.
        self.load_estimates: dict[int, float] = {}
        for event in events:
            handler: Any = self.handlers.get(type(event))
            if handler and not self.failures.attempt(handler, event):
                self.failures.attempt(self.abandon, getattr(event, "batch", None))
        self.failures.attempt(self.release_queued)
        self.failures.attempt(self.request_wake_up)
        self.failures.check(self.actions)
        return self.actions

    def abandon(self, number: int | None) -> None:
        """Answer the batch of an event that could not be applied with an error, and hold nothing for it."""
        if number in self.open_batches:
            self.client_left(it.ClientLeft(number))
            self.actions.append(it.Error(number))

    # The life of a batch.

    def run_batch(self, batch: Batch) -> Generator[Any, Any, None]:
        """The task of one batch, up to its final answer.

        It yields ENQUEUE (send it an engine's index, or None to give up), an engine's index (dispatch
        there), WAIT (send it the next event of this batch) or an action. It returns once an event
        completes the batch.
        """
        while True:
            engine = yield ENQUEUE
            if engine is None:
                break
            event = yield engine
            while batch.open_dispatches:
                if type(event) is it.ProgressNote and self.is_straggling(batch, event):
                    event = yield it.Cancel(batch.id, event.number)
                else:
                    event = yield WAIT
            if event.complete:
                return
            if not self.may_retry(batch):
                break
        yield self.final_refusal(batch)

    def advance(self, batch: Batch, event: Any) -> None:
        """Send an event or an engine's index to the batch's task, and carry out its next request."""
        try:
            request = batch.task.send(event)
        except StopIteration:
            # A result that broke off on its way to the client completes the batch as well, but is no success.
            in_time = event.outcome is it.DispatchOutcome.RETURNED and self.now <= batch.objective_at
            self.ends.returned(batch.class_index, in_time)
            self.finish(batch, in_time)
            return
        if request is ENQUEUE:
            batch.queued = True
            insort(self.queues[batch.class_index], batch)
        elif type(request) is int:
            self.dispatch(batch, request)
        elif request is not WAIT:
            self.actions.append(request)
            if type(request) is not it.Cancel:
                cause = self.refusal_cause or self.retry_refusal(batch)
                self.ends.refused(batch.class_index, batch.last_outcome, cause)
                self.finish(batch, False)

    def finish(self, batch: Batch, in_time: bool | None) -> None:
        """Note the final answer, and whether it came in time (None: counts neither way)."""
        batch.answered = True
        self.open_batches.pop(batch.id, None)
        if in_time is not None:
            self.success_history[batch.class_index].append(int(in_time))
        self.release_key(batch)

    def final_refusal(self, batch: Batch) -> it.Action:
        """Push-back if the client may safely submit the batch again, else an error."""
        if not batch.possible_runs or is_repeat_harmless(self.query_classes[batch.class_index]):
            return it.PushBack(batch.id, min(self.max_retry_after, batch.run_time))
        return it.Error(batch.id)

    def may_retry(self, batch: Batch) -> bool:
        """Whether a further dispatch is allowed, affordable, and could end within the time limit."""
        if batch.dispatch_count >= self.max_dispatches[batch.class_index]:
            return False
        if self.now + batch.run_time >= batch.limit_at:
            return False
        if not self.within_retry_budget(batch):
            return False
        return (
            not batch.possible_runs
            or self.query_classes[batch.class_index].repeat is not it.Idempotency.NON_IDEMPOTENT
        )

    def within_retry_budget(self, batch: Batch) -> bool:
        """Whether the batch's next dispatch is its first, or the retry budget has room for one more.

        It also drops what is older than the budget's window.
        """
        self.retry_budget.drop_expired(self.now)
        return not batch.dispatch_count or self.retry_budget.permits_retry()

    def is_straggling(self, batch: Batch, note: it.ProgressNote) -> bool:
        """Whether the rest would take over twice a new run's expected time, and a new dispatch is allowed.

        The expected time is at the engine's last measured slowdown, without its decay, but at least 1. This
        finds bad query plans. A slow engine is not mistaken for one: a dispatch at the same pace as the
        engine's others has no bad plan.
        """
        idempotent = self.query_classes[batch.class_index].repeat is it.Idempotency.IDEMPOTENT
        if not (self.can_cancel and idempotent) or note.kind is not it.ProgressKind.PROGRESS:
            return False
        dispatch = self.open_dispatches[batch.id, note.number]
        remaining = (self.now - dispatch.sent_at) * (1 - note.value) / max(note.value, 1e-3)
        expected = batch.run_time * max(self.engine_slowdowns[dispatch.engine], 1.0)
        return remaining > 2 * expected and self.may_retry(batch)

    # Events.

    def batch_received(self, received: it.BatchReceived) -> None:
        """Estimate the batch's cost, start its task, and queue it.

        A batch that another front has dispatched to a known engine is dispatched there at once. Where that
        engine is gone, the batch goes on only if another run of it does no harm.
        """
        class_index = received.query_class
        query_class = self.query_classes[class_index]
        work = self.typical_work[class_index]
        if received.work:
            work = max(received.work * self.work_corrections[class_index], self.least_work[class_index])
        self.typical_work[class_index] += EWMA_WEIGHT * (work - self.typical_work[class_index])
        memory = received.memory * self.memory_corrections[class_index]
        batch = Batch(received, query_class, self.now, work, memory)
        batch.task = self.run_batch(batch)
        self.open_batches[batch.id] = batch
        self.ends.received(class_index)
        self.retry_budget.batch_received(self.now - received.waited_for)
        if query_class.in_order and batch.key:
            batch.key_queue = self.key_queues.setdefault(batch.key, batch.key_queue)
            batch.key_queue.append(batch)
        engine = self.engine_index.get(received.running_on)
        began_at = self.now - received.running_for
        if engine is None and (received.running_on or received.running_for):
            batch.possible_runs.append((ADOPTED_RUN, GONE_ENGINE, began_at))
            if not is_repeat_harmless(query_class):
                # It is given up before it is queued.
                next(batch.task)
            self.advance(batch, None)
        elif engine is None:
            self.advance(batch, None)
        else:
            # Another front has dispatched it to that engine: the first dispatch continues that one, and any
            # after it is a further dispatch.
            next(batch.task)
            self.advance(batch, engine)
            batch.possible_runs[0] = (0, engine, began_at)

    def dispatch_ended(self, ended: it.DispatchEnded) -> None:
        """Close a dispatch, learn from its outcome, and advance its batch."""
        dispatch = self.open_dispatches.pop((ended.batch, ended.number))
        batch = dispatch.batch
        batch.last_outcome = ended.outcome
        self.ends.dispatch_ended(batch.class_index, ended.outcome)
        batch.open_dispatches.pop(dispatch.number, None)
        self.engine_dispatches[dispatch.engine].pop((ended.batch, ended.number), None)
        self.open_widths[dispatch.engine] -= dispatch.width
        if ended.outcome in NEVER_RAN:
            batch.possible_runs = [run for run in batch.possible_runs if run[0] != dispatch.number]
        self.failures.attempt(self.learn_from_end, dispatch, ended)
        if batch.key_queue and (ended.outcome in COOL_DOWN_AFTER or ended.engine_forgot):
            self.key_cooldowns[batch.key] = self.now + self.key_cooldown
        if batch.key_queue and ended.still_stopping:
            self.stopping_dispatches[ended.batch, ended.number] = batch
            batch.stopping_count += 1
        if not batch.answered:
            self.advance(batch, ended)
        else:
            self.release_key(batch)

    def learn_from_end(self, dispatch: OpenDispatch, ended: it.DispatchEnded) -> None:
        """Learn from a dispatch's outcome about its engine and its query class."""
        engine = dispatch.engine
        self.apply_report(engine, ended.report, dispatch.width)
        if ended.outcome is it.DispatchOutcome.FULL:
            self.halve_concurrency_limit(engine)
            self.utilizations[engine] = max(self.utilizations[engine], 1.0)
        elif ended.outcome is not it.DispatchOutcome.TIMED_OUT:
            self.apply_outcome(engine, ended.outcome)
        self.learn_slowdown(dispatch, ended)
        self.learn_cost(dispatch, ended)

    def dispatch_stopped(self, stopped: it.DispatchStopped) -> None:
        """Start the cool-down of a key whose dispatch has stopped at its engine."""
        batch = self.stopping_dispatches.pop((stopped.batch, stopped.number), None)
        if not batch:
            return
        batch.stopping_count -= 1
        self.key_cooldowns[batch.key] = self.now + self.key_cooldown
        self.release_key(batch)

    def learn_slowdown(self, dispatch: OpenDispatch, ended: it.DispatchEnded) -> None:
        """Update the slowdown of the query class and of the engine by the time that a dispatch took."""
        batch = dispatch.batch
        class_index = batch.class_index
        if ended.outcome is it.DispatchOutcome.RETURNED or ended.outcome is it.DispatchOutcome.TIMED_OUT:
            # The ratio of two averages: an average of ratios is ruled by batches whose cost was put too low.
            # Time-outs count: on a day when all engines are slow, they are just the dispatches that show it.
            measured = self.mean_run_times[class_index] * self.slowdown_of_class(class_index)
            measured += EWMA_WEIGHT * (ended.took - measured)
            self.mean_run_times[class_index] += EWMA_WEIGHT * (
                batch.run_time - self.mean_run_times[class_index]
            )
            self.class_slowdowns[class_index] = measured / self.mean_run_times[class_index]
            self.class_slowdowns_at[class_index] = self.now
            # An engine that loses some of its batches, or fails them at once, looks fast by its answers
            # alone. So a time-out counts with the time that it took, and an error with the latency
            # objective it cost.
            self.record_slowdown(
                dispatch.engine, ended.took * dispatch.width / (ended.true_work or dispatch.work)
            )
        elif ended.outcome is it.DispatchOutcome.ERRORED:
            self.record_slowdown(dispatch.engine, (batch.objective_at - batch.received_at) / batch.run_time)

    def learn_cost(self, dispatch: OpenDispatch, ended: it.DispatchEnded) -> None:
        """Update the corrections of estimated work and memory by what the engine reports."""
        if (
            ended.outcome is not it.DispatchOutcome.RETURNED
            or not self.engines_report_cost
            or not ended.true_work
        ):
            return
        class_index = dispatch.batch.class_index
        work_ratio = min(max(ended.true_work / dispatch.work, 0.25), 4.0)
        self.work_corrections[class_index] *= 1 + EWMA_WEIGHT / 4 * (work_ratio - 1)
        memory_ratio = ended.true_memory * 1.15 / max(dispatch.memory, 1.0)
        self.memory_corrections[class_index] *= 1 + EWMA_WEIGHT / 4 * (min(memory_ratio, 2.0) - 1)

    def progress_noted(self, note: it.ProgressNote) -> None:
        """Note progress, raise the memory estimate after a spill to disk, and advance the batch."""
        dispatch = self.open_dispatches.get((note.batch, note.number))
        if not dispatch:
            return
        batch = dispatch.batch
        if note.kind is it.ProgressKind.PROGRESS:
            dispatch.progress = note.value
        elif note.kind is it.ProgressKind.SPILL and dispatch.memory:
            self.memory_corrections[batch.class_index] *= min(
                1 + EWMA_WEIGHT * note.value / dispatch.memory, 1.1
            )
        if not batch.answered:
            self.advance(batch, note)

    def client_left(self, left: it.ClientLeft) -> None:
        """Drop the batch of a client that is gone, and cancel its dispatches where engines allow it."""
        batch = self.open_batches.get(left.batch)
        if not batch:
            return
        self.dequeue(batch)
        batch.task.close()
        self.actions += [it.Cancel(batch.id, number) for number in batch.open_dispatches if self.can_cancel]
        # It counts neither way: counted as late, it would raise its class above those whose clients still
        # wait.
        self.finish(batch, None)

    def front_stopping(self, stopping: it.FrontStopping) -> None:
        """Bound all batches that are open now by the moment when the front ends.

        A result that comes later is lost. A batch refused now can still be submitted elsewhere in time.
        """
        for batch in self.open_batches.values():
            batch.limit_at = min(batch.limit_at, stopping.at)
            batch.objective_at = min(batch.objective_at, stopping.at)
        self.queues = [sorted(queue) for queue in self.queues]

    def front_count_changed(self, changed: it.FrontCountChanged) -> None:
        """Update the number of live fronts that share the engines.

        The budget of a cold engine stays as it is: a front taken for dead may only be cut off from this
        one, and still be sending.
        """
        self.live_fronts = max(changed.fronts, 1)
        self.update_shares()

    def update_shares(self) -> None:
        """Set what depends on how many fronts share each engine.

        Where each front knows only a subset of the engines, an engine is shared by the fronts that have
        it: dividing by all fronts would leave it almost idle. The budget of a cold engine counts all fronts
        that can reach it, dead or alive.
        """
        self.sharing_fronts = min(self.live_fronts, self.fronts_per_engine or self.live_fronts)
        # By how much this front's own unreported dispatches are multiplied to estimate those of all fronts.
        self.load_multiplier = max(
            self.sharing_fronts * self.batches_to_fill / (self.sharing_fronts + self.batches_to_fill), 1.0
        )
        # This front's share of the largest engine, counted in batches of the widest class, at most 1. It is
        # the additive increase of concurrency limits. Below 1 a share is less than a batch: then
        # concurrency limits have no lower bound, more candidates are random, dispatches are paced when the
        # engines are saturated, and classes whose late answers have value get no time-out.
        self.share_in_batches = min(self.largest_engine_threads / self.widest / self.sharing_fronts, 1.0)
        # This front's part of a cold engine's budget, half of an equal one, in thread-seconds a core. The
        # setting `cold_share` is something else: it is `self.cold_capacity` here.
        self.cold_share = self.cold_budget / (self.fronts_per_engine or self.configured_fronts) / 2

    def summary(self) -> dict[str, Any]:
        """For the log: how batches ended, by class and cause, and what the decisions hold of the engines now.

        Limits and open dispatches are in threads, slowdowns are measured over estimated run times, and the
        room is what slow start leaves this front at all cold engines in one window (thread-seconds).
        """
        ready = self.ready_engines()
        cold = [engine for engine in ready if self.warm_capacity(engine) < 1.0]
        return {
            "ends": dict(self.ends.counts),
            "queued": [len(queue) for queue in self.queues],
            "slowdowns": [round(self.slowdown_of_class(index), 2) for index in range(len(self.queues))],
            "next_turn_s": round(self.next_dispatch_at - self.now, 3) if self.pacing else None,
            "ready": len(ready),
            "backed_off": sum(self.now < self.backoff_until[engine] for engine in ready),
            "cold": len(cold),
            "cold_room": round(
                sum(self.cold_share * self.warm_capacity(engine) * self.cores[engine] for engine in cold), 3
            ),
            "limits": round(sum(self.concurrency_limits[engine] for engine in ready), 2),
            "open": sum(self.open_widths[engine] for engine in ready),
        }

    def learned_state(self, now: float) -> it.LearnedState:
        """What a later process should know of the engines, keys and the retry budget."""
        engines = [
            (
                engine,
                self.concurrency_limits[index],
                self.engine_slowdowns[index]
                ** exp((self.engine_slowdowns_at[index] - now) / self.decay_time),
                max(self.started_at[index], 0.0),
            )
            for engine, index in self.engine_index.items()
            if self.ready[index]
        ]
        keys = [(key, until - now) for key, until in self.key_cooldowns.items() if until > now]
        return it.LearnedState(
            tuple(engines),
            tuple(keys),
            tuple(now - at for at in self.retry_budget.received_times),
            tuple(now - at for at in self.retry_budget.retry_times),
        )

    def restore_learned_state(self, learned: it.LearnedState) -> None:
        """Take over what an earlier process had learned, for engines that are on the list."""
        for engine, limit, slowdown, started in learned.engines:
            index = self.engine_index.get(engine)
            if index is None:
                continue
            self.concurrency_limits[index] = min(limit, self.cores[index] * THREADS_PER_CORE)
            self.engine_slowdowns[index] = slowdown
            self.engine_slowdowns_at[index] = self.now
            self.started_at[index] = max(self.started_at[index], started or LONG_AGO)
        for key, left in learned.cooldowns:
            self.key_cooldowns[key] = max(self.now + left, self.key_cooldowns.get(key, 0.0))
        # The retry budget's window continues across a restart: what was spent in it stays spent.
        self.retry_budget.restore(self.now, learned.received_ago, learned.retried_ago)

    def probe_ended(self, ended: it.ProbeEnded) -> None:
        """Learn from a probe's outcome and report about its engine."""
        index = self.engine_index.get(ended.engine)
        if index is None:
            return
        self.probed_at[index] = LONG_AGO
        self.apply_outcome(index, ended.outcome)
        self.apply_report(index, ended.report, 1)

    def engine_list_received(self, received: it.EngineListReceived) -> None:
        """Add, update and forget engines by a new list."""
        if received.kind not in (it.ListKind.FAILED, it.ListKind.CHANGES):
            self.ready[:] = [False] * len(self.ready)
        if received.kind is not it.ListKind.FAILED and received.fronts != self.fronts_per_engine:
            self.fronts_per_engine = received.fronts
            self.update_shares()
        for engine in received.engines:
            index = self.engine_index.get(engine.id)
            if index is None:
                index = self.add_engine(engine)
            elif engine.started > max(self.started_at[index], 0.0):
                self.reset_engine(index, engine.started)
            self.ready[index] = engine.state is it.EngineState.READY
        self.forget_engines(received.engines)
        self.affinity_orders.clear()
        if self.sent_work:
            self.sent_work.set_ready([self.cores[engine] for engine in self.ready_engines()])

    def add_engine(self, engine: it.Engine) -> int:
        """Give a new engine an index, and its figures their first values."""
        if self.free_indexes:
            index = self.free_indexes.pop()
        else:
            index = len(self.engine_ids)
            for column in self.engine_columns:
                column.append(None)
        self.engine_index[engine.id] = index
        cores = self.kind_cores[engine.kind]
        self.engine_ids[index] = engine.id
        self.engine_zones[index] = engine.zone
        self.engine_cells[index] = engine.cell
        self.engine_kinds[index] = engine.kind
        self.cores[index] = cores
        self.engine_memory[index] = self.kind_memory[engine.kind]
        self.ready[index] = False
        self.started_at[index] = engine.started or LONG_AGO
        self.fresh_since[index] = self.now
        self.concurrency_limits[index] = cores * THREADS_PER_CORE / self.sharing_fronts
        self.open_widths[index] = 0
        if self.sent_work:
            self.sent_work.reset(index, self.now)
        self.engine_dispatches[index] = {}
        self.cold_dispatches[index] = deque()
        self.last_reports[index] = ()
        self.reported_at[index] = LONG_AGO
        self.report_changed_at[index] = self.now
        self.report_intervals[index] = 0.5
        self.probed_at[index] = LONG_AGO
        self.utilizations[index] = 0.0
        self.granted_memory[index] = 0.0
        self.engine_slowdowns[index] = 1.0
        self.engine_slowdowns_at[index] = self.now
        self.down[index] = False
        self.backoffs[index] = 0.0
        self.backoff_until[index] = 0.0
        return index

    def forget_engines(self, listed: tuple[it.Engine, ...]) -> None:
        """Free the indexes of engines that are neither ready nor in `listed`.

        An engine is kept while it has an open dispatch, or an open batch has been dispatched to it.
        """
        referenced = {index for batch in self.open_batches.values() for index in batch.tried_engines}
        referenced |= {self.engine_index[engine.id] for engine in listed}
        gone = [
            engine
            for engine, index in self.engine_index.items()
            if not (self.ready[index] or self.engine_dispatches[index] or index in referenced)
        ]
        for engine in gone:
            self.free_indexes.append(self.engine_index.pop(engine))

    # What is known of an engine.

    def ready_engines(self) -> list[int]:
        """The indexes of the engines that the list has as ready."""
        return [engine for engine, ready in enumerate(self.ready) if ready]

    def apply_report(self, engine: int, values: tuple[float, ...], width: int) -> None:
        """Record a load report, and adjust the concurrency limit by it (AIMD).

        One with the same values as the last adjusts nothing: only its time is recorded.
        `width` is the width of the dispatch that brought the report, 1 for a probe.
        """
        if not values:
            return
        self.reported_at[engine] = self.now
        if values == self.last_reports[engine]:
            return
        if self.last_reports[engine]:
            interval = min(self.now - self.report_changed_at[engine], 2.0)
            self.report_intervals[engine] += EWMA_WEIGHT * (interval - self.report_intervals[engine])
        self.last_reports[engine] = values
        self.report_changed_at[engine] = self.now
        utilization, queue_length, inflight, disk, granted = (
            values[place] if 0 <= place < len(values) else -1.0 for place in self.report_places
        )
        if utilization < 0:
            utilization = self.open_widths[engine] * self.sharing_fronts / self.cores[engine]
        # Batches that wait for a table load or a disk leave the cores idle, and an engine that is jammed
        # like that would be sent ever more. So its batches in flight and its disks count as well.
        utilization = max(utilization, disk, inflight / (self.cores[engine] * THREADS_PER_CORE))
        # An engine with a queue is full, however busy its cores are.
        if queue_length >= 1:
            utilization = max(utilization, BUSY_THRESHOLD) + queue_length / self.cores[engine]
        self.mean_utilization += EWMA_WEIGHT * (utilization - self.mean_utilization)
        self.utilizations[engine] = utilization
        self.granted_memory[engine] = max(granted, 0.0)
        if max(utilization, granted if self.engines_page else 0.0) < BUSY_THRESHOLD:
            self.concurrency_limits[engine] = min(
                self.concurrency_limits[engine] + width * self.share_in_batches,
                self.cores[engine] * THREADS_PER_CORE,
            )
        else:
            self.halve_concurrency_limit(engine)

    def halve_concurrency_limit(self, engine: int) -> None:
        """Multiplicative decrease, down to one batch of the widest class.

        There is no lower bound where a front's share is less than one batch: all fronts together must be
        able to go below what the engine can run.
        """
        lowest = 0.0 if self.share_in_batches < 1.0 else self.widest
        self.concurrency_limits[engine] = max(self.concurrency_limits[engine] / 2, lowest)

    def record_slowdown(self, engine: int, sample: float) -> None:
        """Take one sample into the engine's slowdown, a geometric moving average."""
        old = self.slowdown_of_engine(engine)
        self.engine_slowdowns[engine] = old * (min(max(sample, 0.1), 30.0) / old) ** EWMA_WEIGHT
        self.engine_slowdowns_at[engine] = self.now

    def slowdown_of_engine(self, engine: int) -> float:
        """Measured over estimated run time.

        Without news it decays towards 1, so that the engine is tried again.
        """
        return self.engine_slowdowns[engine] ** exp(
            (self.engine_slowdowns_at[engine] - self.now) / self.decay_time
        )

    def slowdown_of_class(self, class_index: int) -> float:
        """Measured over estimated run time of a query class, which decays towards 1 without news.

        Without the decay a front that refuses a class for its slowdown would get no news of it, and go on
        refusing it when the engines have long been free.
        """
        return self.class_slowdowns[class_index] ** exp(
            (self.class_slowdowns_at[class_index] - self.now) / self.decay_time
        )

    def apply_outcome(self, engine: int, outcome: it.DispatchOutcome) -> None:
        """Trust the engine after a result; back off exponentially after a failure to reach it.

        A reset or one connection that is not made in time does not show that the engine is down: taken for
        down each time, a lossy one would count as cold without end. It is down if it refuses a connection,
        or if none is made in time while its back-off is at its longest.
        """
        if outcome is it.DispatchOutcome.RETURNED:
            self.clear_suspicion(engine)
        elif outcome in (
            it.DispatchOutcome.UNREACHABLE,
            it.DispatchOutcome.LATE,
            it.DispatchOutcome.RESET,
            it.DispatchOutcome.TIMED_OUT,
        ):
            longest = 8 * self.connect_limit
            backoff = self.backoffs[engine]
            if (
                outcome is it.DispatchOutcome.UNREACHABLE
                or outcome is it.DispatchOutcome.LATE
                and backoff >= longest
            ):
                self.down[engine] = True
            self.backoffs[engine] = min(max(backoff * 2, self.connect_limit), longest)
            self.backoff_until[engine] = self.now + self.backoffs[engine]

    def clear_suspicion(self, engine: int) -> None:
        """End the engine's back-off: it returned a result or is treated as restarted.

        An error does not end it.
        """
        if self.down[engine]:
            # It answers after it was down: it may be cold before the list says so.
            self.reset_engine(engine, self.now)
        self.backoffs[engine] = 0.0
        self.backoff_until[engine] = 0.0

    def reset_engine(self, engine: int, started: float) -> None:
        """Treat the engine as restarted.

        With its concurrency limit from before it went down, all fronts would flood it.
        """
        self.started_at[engine] = max(self.started_at[engine], started)
        self.fresh_since[engine] = self.now
        self.concurrency_limits[engine] = self.cores[engine] * THREADS_PER_CORE / self.sharing_fronts
        self.engine_slowdowns[engine] = 1.0
        self.down[engine] = False
        self.clear_suspicion(engine)

    def warm_capacity(self, engine: int) -> float:
        """The estimated share of its capacity that the engine has: it rises to 1 over the warm-up time."""
        age = self.now - self.started_at[engine]
        if age >= self.warm_up_time:
            return 1.0
        return self.cold_capacity + (1 - self.cold_capacity) * max(age, 0.0) / self.warm_up_time

    def unreported_dispatches(self, engine: int) -> list[OpenDispatch]:
        """Open dispatches that the last report may not show yet; all if the engine has never reported."""
        return [
            dispatch
            for dispatch in self.engine_dispatches[engine].values()
            if dispatch.sent_at > self.reported_at[engine] - self.report_intervals[engine]
        ]

    def load_estimate(self, engine: int) -> float:
        """The reported utilization, and what all fronts are assumed to have sent since, kept for this moment.

        The other fronts act on like reports, so each is assumed to have sent as much as this one; with
        more fronts this saturates smoothly, towards one own batch counting as what fills an engine. If
        the estimate is too low, all pour onto one engine that looks free; if it is too high, a single
        dispatch keeps all others away.
        """
        if engine not in self.load_estimates:
            sent = sum(dispatch.width for dispatch in self.unreported_dispatches(engine))
            # An old report gives way to the mean of all engines: one that was busy when last heard would
            # never be sent to again, and so never report again.
            trust = self.decay_time / (self.decay_time + self.now - self.reported_at[engine])
            mean = self.mean_utilization
            utilization = mean + trust * (self.utilizations[engine] - mean)
            self.load_estimates[engine] = utilization + sent * self.load_multiplier / (
                self.cores[engine] * self.warm_capacity(engine)
            )
        return self.load_estimates[engine]

    def relative_load(self, engine: int) -> float:
        """The engine's load relative to the mean of all ready ones, by the work that this front has sent.

        It stands in for reports where there are none: the other fronts choose by the same rules.
        """
        capacity = self.cores[engine] * self.warm_capacity(engine)
        batch_work = sum(self.typical_work) / len(self.typical_work)
        return self.sent_work.relative_load(engine, capacity, batch_work, self.now)

    # Which engines may run a batch.

    def is_eligible(self, batch: Batch, engine: int) -> bool:
        """Whether the engine may run the batch at all, however busy it is.

        It must be ready, not backed off, and allowed by placement, deduplication and slow start. Where
        engines page, it must have memory too.

        Where engines can be probed, a suspected one is tried by probes alone: batches pile up at an engine
        that accepts all and answers nothing, and each trial costs a batch its latency objective.
        """
        if (
            not self.ready[engine]
            or self.now < self.backoff_until[engine]
            or self.backoffs[engine]
            and self.probes
        ):
            return False
        query_class = self.query_classes[batch.class_index]
        if not self.placement_allows(query_class, engine):
            return False
        if batch.possible_runs and query_class.repeat is it.Idempotency.DEDUPLICATED:
            # A further dispatch is safe only while and where the engines recognize it as a duplicate.
            _, first, at = batch.possible_runs[0]
            if self.now - at >= query_class.window or not self.same_scope(query_class.scope, first, engine):
                return False
        if self.now - self.started_at[engine] < self.warm_up_time and not self.cold_engine_allows(
            batch, engine
        ):
            return False
        if not self.engines_page:
            return True
        # An engine that pages slows all that it runs, so the memory limit also holds for a batch
        # that would be alone there.
        unreported = sum(dispatch.memory for dispatch in self.unreported_dispatches(engine))
        needed = (unreported * self.load_multiplier + batch.memory) / self.engine_memory[engine]
        return self.granted_memory[engine] + needed <= 1

    def has_capacity(self, batch: Batch, engine: int) -> bool:
        """Whether the batch fits under the concurrency limit, or the engine is estimated not to be busy."""
        return (
            self.open_widths[engine] + batch.width <= self.concurrency_limits[engine]
            or self.load_estimate(engine) < BUSY_THRESHOLD
        )

    def pacing_permits(self, batch: Batch) -> bool:
        """Whether the front may dispatch a batch now though the engines are saturated; starts the pacing.

        This is for a front whose share of an engine is less than a batch. From the first batch that finds
        no free engine until a call of `handle` finds no batch queued, it dispatches one batch in each time
        in which its shares of all engines would have run one. Batches for free engines need not wait for
        that, unless engines page. One batch for each front and engine would be several engines' worth of
        work, and what all fronts have queued would be sent at once when engines are next free: to spread
        that, a front's first moment is random.
        """
        if not self.pacing:
            self.pacing = True
            self.next_dispatch_at = self.now + self.random() * self.pacing_interval(batch)
        return self.now >= self.next_dispatch_at

    def pacing_interval(self, batch: Batch) -> float:
        """The time in which this front's shares of all engines run the batch, at most the decay time."""
        threads = sum(
            limit for limit, ready in zip(self.concurrency_limits, self.ready, strict=True) if ready
        )
        work = batch.work * max(self.slowdown_of_class(batch.class_index), 1.0)
        return min(work / max(threads, 1e-9), self.decay_time)

    def placement_allows(self, query_class: it.QueryClass, engine: int) -> bool:
        """Whether the query class may run in the engine's zone and on its kind of engine."""
        return (query_class.zones is None or self.engine_zones[engine] in query_class.zones) and (
            query_class.kinds is None or self.engine_kinds[engine] in query_class.kinds
        )

    def same_scope(self, scope: it.DeduplicationScope, first: int, second: int) -> bool:
        """Whether two engines recognize each other's batches as duplicates."""
        column = self.engine_zones if scope is it.DeduplicationScope.ZONE else self.engine_cells
        return scope is it.DeduplicationScope.ALL or column[first] == column[second]

    def cold_engine_allows(self, batch: Batch, engine: int) -> bool:
        """Slow start: whether the batch fits this front's share of what a cold engine may get.

        The engine gets a slice of the table groups that widens as it warms up, and work up to the share in
        each window. With hundreds of fronts a share of a window is less than one batch, and an engine that
        none may send to would be lost to all until it is warm. There a batch goes in each time in which the
        shares add up to it, the first at a moment that differs from front to front.
        """
        table_draw = crc32(b"%a %b" % (batch.table_group, self.engine_ids[engine])) / 2**32
        if table_draw > self.warm_capacity(engine):
            return False
        sent = self.cold_dispatches[engine]
        window = self.cold_window + self.connect_limit
        room = self.cold_share * self.warm_capacity(engine) * self.cores[engine]
        work = max(self.typical_work[batch.class_index], batch.work)
        if work > room:
            if sent:
                since = sent[-1][0]
                part = 1.0
            else:
                since = self.fresh_since[engine]
                part = crc32(b"%d %b" % (self.seed, self.engine_ids[engine])) / 2**32
            return self.now - since >= part * window * work / room
        while sent and sent[0][0] < self.now - window:
            sent.popleft()
        return sum(sent_work for _, sent_work in sent) + work <= room

    # The choice of an engine.

    def affinity_order(self, table_group: float) -> list[tuple[int, int]]:
        """The ready engines as (rank, index), in the table group's order of preference.

        Keeping to the order lets engines keep the group's tables warm. It is a rendezvous hash: all fronts
        that know the same engines get the same order without communicating.
        """
        if table_group not in self.affinity_orders:
            if len(self.affinity_orders) > 4096:
                self.affinity_orders.clear()
            ready = (index for index, is_ready in enumerate(self.ready) if is_ready)
            ranked = sorted(
                ready, key=lambda index: (crc32(b"%a %b" % (table_group, self.engine_ids[index])), index)
            )
            self.affinity_orders[table_group] = list(enumerate(ranked))
        return self.affinity_orders[table_group]

    def sample_engines(
        self, batch: Batch, is_load: bool
    ) -> tuple[list[tuple[int, int]], list[tuple[int, int]]]:
        """Sample eligible engines for the power-of-choices draw, each as (rank, index).

        The first list has those with capacity. The second has the busy ones that may be used in paced
        turns: it is empty unless a share is less than a batch. Stale engines are probed where that can make
        them usable.
        """
        free: list[tuple[int, int]] = []
        busy: list[tuple[int, int]] = []
        probes_left = MAX_PROBES if self.probes else 0
        # Where classes yield to table loads, loads go through the order from its other end, away from the
        # engines that other batches of the table group prefer.
        candidates = self.affinity_order(batch.table_group)[:: -1 if is_load and self.any_class_yields else 1]
        if len(candidates) > SAMPLE_SIZE:
            # Hundreds of fronts that get few reports would all look at the same few engines, and fill them
            # together: where a share is less than a batch, more candidates are random.
            random_candidates = RANDOM_CANDIDATES if self.share_in_batches == 1.0 else SAMPLE_SIZE // 2
            candidates = [
                candidates[int(self.random() * len(candidates))] for _ in range(random_candidates)
            ] + candidates
        for rank, engine in candidates:
            eligible = self.is_eligible(batch, engine)
            if eligible and self.has_capacity(batch, engine):
                free.append((rank, engine))
            elif eligible:
                busy.append((rank, engine))
            elif probes_left and self.now >= self.backoff_until[engine] and self.probe_if_stale(engine):
                probes_left -= 1
            if len(free) + len(busy) == SAMPLE_SIZE:
                break
        # An engine that is never sent to reports nothing, and would stay busy in this front's estimate.
        for _, engine in busy[: 0 if free else probes_left]:
            self.probe_if_stale(engine)
        if self.share_in_batches < 1.0:
            return free, [candidate for candidate in busy if not self.engine_dispatches[candidate[1]]]
        return free, []

    def choose_engine(self, batch: Batch) -> int | None:
        """The index of the engine to dispatch to, or None if the batch must wait.

        Of the sampled engines it takes the one of lowest cost: load, relative slowdown, rank in the table
        group's order, another zone and an earlier dispatch of this batch there, with random (Gumbel) noise.
        Where engines are probed and that one has no recent report, it is probed, the next best too if it has
        none, and the batch waits.
        """
        is_load = self.query_classes[batch.class_index].holds_tables
        free, busy = self.sample_engines(batch, is_load)
        # Where a share is less than a batch, dispatches are paced, but for those to free engines that do not
        # page.
        if (
            self.share_in_batches < 1.0
            and not (free and (not self.pacing or not self.engines_page))
            and not self.pacing_permits(batch)
        ):
            self.last_hold = Hold.PACING if free or busy else Hold.ENGINES
            return None
        candidates = free or busy
        if not candidates:
            self.last_hold = Hold.ENGINES
            return None
        slowdowns = [self.slowdown_of_engine(engine) for _, engine in candidates]
        typical = median(slowdowns)
        load_of = self.relative_load if self.sent_work else self.load_estimate
        costs = []
        for (rank, engine), slowdown in zip(candidates, slowdowns, strict=True):
            cost = (0.5 + load_of(engine)) * max(slowdown / typical, 1.0)
            if not is_load:
                cost += RANK_COST * rank
            elif self.any_class_yields:
                # A load costs most where the other batches of its table group prefer to go.
                cost += 1 / (1 + rank)
            if self.engine_zones[engine] != self.home_zone:
                cost += self.zone_cost
            # Whatever ended the earlier dispatch, going elsewhere is worth the load of a whole engine.
            if engine in batch.tried_engines:
                cost += 1
            costs.append((cost + SAMPLING_NOISE * log(-log(self.random())), engine))
        best = [engine for _, engine in sorted(costs)[:MAX_PROBES]]
        if not self.probes or not self.probe_if_stale(best[0]):
            return best[0]
        # Fronts with little traffic would dispatch without any report. A batch that waits for a probe
        # counts as just received.
        for engine in best[1:]:
            self.probe_if_stale(engine)
        batch.fresh_until = self.now + self.connect_limit
        self.last_hold = Hold.PROBE
        return None

    def probe_if_stale(self, engine: int) -> bool:
        """Whether the engine's next report is overdue; if so it is probed, unless a probe is out."""
        if self.now - self.reported_at[engine] <= self.report_intervals[engine]:
            return False
        if self.now - self.probed_at[engine] > 2 * self.connect_limit:
            self.probed_at[engine] = self.now
            self.actions.append(it.Probe(self.engine_ids[engine]))
        return True

    def random(self) -> float:
        """The next number of the seeded sequence, above 0 and below 1."""
        self.draws += 1
        return (crc32(b"%d %d" % (self.seed, self.draws)) + 0.5) / 2**32

    # The order of batches.

    def distance_to_failure(self, class_index: int) -> int:
        """How many more late batches in a row break the class's (m,k)-firm guarantee; 0: it is broken.

        This is distance-based priority: the class with the lowest distance is dispatched first.
        """
        missing = self.required_successes[class_index]
        for position, success in enumerate(reversed(self.success_history[class_index]), 1):
            missing -= success
            if not missing:
                return HISTORY_LENGTH - position + 1
        return 0

    def release_queued(self) -> None:
        """Refuse what cannot be answered in time, and dispatch all queued batches that can go now."""
        if not any(self.queues):
            self.pacing = False
        for queue in self.queues:
            for batch in [batch for batch in queue if self.is_hopeless(batch)]:
                self.dequeue(batch)
                self.refusal_cause = self.queue_refusal(batch)
                self.advance(batch, None)
                self.refusal_cause = None
        # A dispatch frees no engine: a class that could not dispatch is not tried again at this moment.
        may_go = set(range(len(self.queues)))
        while True:
            waiting = sorted(
                (self.distance_to_failure(class_index), self.queues[class_index][0], class_index)
                for class_index in may_go
                if self.queues[class_index]
            )
            for _, _, class_index in waiting:
                if self.release_one(class_index):
                    # A dispatch may change the order of the classes.
                    break
                may_go.discard(class_index)
            else:
                return

    def queue_refusal(self, batch: Batch) -> Hold | Refusal:
        """Why a queued batch is given up, for the counters."""
        if batch.received_at + batch.run_time > batch.objective_at:
            return Refusal.ESTIMATE
        hold = batch.hold or self.class_holds[batch.class_index]
        if hold is Hold.ENGINES:
            return self.engines_hold(batch)
        return hold or Refusal.CLASS_SLOWDOWN

    def retry_refusal(self, batch: Batch) -> Refusal:
        """Why a batch is not dispatched again, for the counters."""
        if batch.dispatch_count >= self.max_dispatches[batch.class_index]:
            return Refusal.MOST_DISPATCHES
        if self.now + batch.run_time >= batch.limit_at:
            return Refusal.NO_TIME
        return Refusal.MAY_HAVE_RUN if self.within_retry_budget(batch) else Refusal.RETRY_BUDGET

    def engines_hold(self, batch: Batch) -> Hold:
        """What keeps the batch from most of the ready engines, for the counters."""
        holds: Counter[Hold] = Counter()
        for engine in self.ready_engines():
            if self.now < self.backoff_until[engine]:
                holds[Hold.BACKED_OFF] += 1
            elif self.warm_capacity(engine) < 1.0:
                # Before `is_eligible`, which drops expired entries of a cold engine's dispatches.
                holds[Hold.SLOW_START] += 1
            elif self.is_eligible(batch, engine):
                holds[Hold.AT_LIMIT] += 1
            else:
                holds[Hold.NOT_ELIGIBLE] += 1
        return max(holds, key=holds.__getitem__, default=Hold.NONE_READY)

    def is_hopeless(self, batch: Batch) -> bool:
        """Whether the batch can no longer meet its latency objective.

        One that was just received, waits for a probe or was dispatched before counts with its estimate alone:
        its result may show that the slowdown of its class is out of date.
        """
        if batch.dispatch_count or self.now <= batch.fresh_until:
            needed = batch.run_time
        else:
            needed = self.expected_run_time(batch)
        return self.now + needed > batch.objective_at

    def expected_run_time(self, batch: Batch) -> float:
        """A run at the slowdown of its class, and half as much again.

        The slowdown is a mean: without the margin too many batches would end late.
        """
        return 1.5 * batch.run_time * max(self.slowdown_of_class(batch.class_index), 0.5)

    def release_one(self, class_index: int) -> bool:
        """Dispatch or refuse the first batch of the class's queue that can go; return whether one did.

        It is refused if the retry budget has been spent since it was queued.
        """
        for batch in self.queues[class_index]:
            if self.is_key_blocked(batch) or (class_index, batch.table_group) in self.table_conflicts:
                batch.hold = Hold.KEY
                continue
            engine = self.choose_engine(batch)
            batch.hold = self.class_holds[class_index] = self.last_hold if engine is None else None
            if engine is None:
                # One that is bound by its earlier dispatch, or waits for a probe, does not block those
                # behind it.
                if batch.possible_runs or self.now < batch.fresh_until:
                    continue
                return False
            if self.conflicts_with_load(batch, engine):
                # To choose an engine for each of hundreds behind one table group at each event takes a
                # whole core.
                self.table_conflicts.add((class_index, batch.table_group))
                continue
            if not self.spares_top_class(batch, engine):
                batch.hold = self.class_holds[class_index] = Hold.TOP_CLASS
                return False
            self.dequeue(batch)
            self.advance(batch, engine if self.within_retry_budget(batch) else None)
            return True
        return False

    def conflicts_with_load(self, batch: Batch, engine: int) -> bool:
        """Whether a load of its table group that this front has open there must end first."""
        query_class = self.query_classes[batch.class_index]
        if not (query_class.holds_tables or query_class.yields_to_loads):
            return False
        return any(
            dispatch.batch.table_group == batch.table_group
            and self.query_classes[dispatch.batch.class_index].holds_tables
            for dispatch in self.engine_dispatches[engine].values()
        )

    def spares_top_class(self, batch: Batch, engine: int) -> bool:
        """Whether the batch would end before the first queued batch of the top class must begin there."""
        if batch.class_index == self.top_class or not self.queues[self.top_class]:
            return True
        head = next((one for one in self.queues[self.top_class] if not self.is_key_blocked(one)), None)
        if head is None or not self.placement_allows(self.query_classes[self.top_class], engine):
            return True
        remaining = (
            sum(
                dispatch.work * (1 - dispatch.progress)
                for dispatch in self.engine_dispatches[engine].values()
            )
            / self.cores[engine]
        )
        return head.objective_at - self.now - head.run_time > batch.run_time + remaining

    def is_key_blocked(self, batch: Batch) -> bool:
        """Whether the batch must wait for its key.

        Batches of one key run one at a time, in the order received, with a cool-down after one that may run
        on. A further dispatch of the same batch does not wait for the cool-down.
        """
        if not batch.key_queue:
            return False
        cooling_down = not batch.dispatch_count and self.now < self.key_cooldowns.get(batch.key, 0.0)
        return batch.key_queue[0] is not batch or cooling_down

    def release_key(self, batch: Batch) -> None:
        """Let the key's next batch go, once this one is answered and no engine runs it any more."""
        if not batch.answered or batch.open_dispatches or batch.stopping_count:
            return
        if batch in batch.key_queue:
            batch.key_queue.remove(batch)
            if not batch.key_queue:
                del self.key_queues[batch.key]

    def dequeue(self, batch: Batch) -> None:
        """Take the batch out of its queue, if it is there."""
        if batch.queued:
            batch.queued = False
            queue = self.queues[batch.class_index]
            del queue[bisect_left(queue, batch)]

    # The terms of a dispatch.

    def dispatch(self, batch: Batch, engine: int) -> None:
        """Send the batch to the engine with a time-out; the first dispatch also sets grant and priority."""
        if batch.dispatch_count:
            self.retry_budget.retried(self.now)
        dispatch = OpenDispatch(batch, engine, self.now)
        grant = 0.0
        if self.grants_memory:
            grant = min(batch.memory, self.max_grant * self.engine_memory[engine])
        if not batch.dispatch_count and (self.grants_memory or self.sets_priorities):
            self.actions.append(it.Terms(batch.id, grant, self.engine_priority(batch.class_index)))
        self.actions.append(
            it.Dispatch(
                batch.id,
                self.engine_ids[engine],
                self.dispatch_timeout(batch),
                self.latest_send_time(batch),
            )
        )
        self.open_widths[engine] += dispatch.width
        if self.sent_work:
            self.sent_work.record(engine, self.typical_work[batch.class_index], self.now)
        self.load_estimates.pop(engine, None)
        self.open_dispatches[batch.id, dispatch.number] = dispatch
        batch.open_dispatches[dispatch.number] = dispatch
        self.engine_dispatches[engine][batch.id, dispatch.number] = dispatch
        batch.possible_runs.append((dispatch.number, engine, self.now))
        batch.dispatch_count += 1
        batch.tried_engines.add(engine)
        if self.pacing:
            self.next_dispatch_at = self.now + self.pacing_interval(batch)
        if self.warm_capacity(engine) < 1.0:
            work = max(self.typical_work[batch.class_index], batch.work)
            self.cold_dispatches[engine].append((self.now, work))
        if self.backoffs[engine]:
            # A suspected engine gets one trial at a time, not all that is queued.
            self.backoff_until[engine] = self.now + 2 * self.connect_limit

    def engine_priority(self, class_index: int) -> int:
        """The priority of a class at engines: 3 for the highest value, one less for each higher class.

        The value is the utility. Where engines report no load, their own queues are long and their cores busy
        before any front knows: then it is the utility for each unit of work, as short batches have no time to
        wait there.
        """
        if not self.sent_work:
            return self.class_priorities[class_index]
        densities = [
            query_class.utility / work
            for query_class, work in zip(self.query_classes, self.typical_work, strict=True)
        ]
        higher = sum(density > densities[class_index] for density in densities)
        return max(HIGHEST_PRIORITY - higher, 0)

    def latest_send_time(self, batch: Batch) -> float:
        """Until when the carrier may send the dispatch, or send it again where it seems to have been lost.

        Engines recognize duplicates for a limited time, counted from the first dispatch, and a connection
        that is made late passes that. What is sent again later than the connect limit may have arrived
        whole the first time: with a retry budget it would be a further dispatch that is not counted.
        """
        query_class = self.query_classes[batch.class_index]
        latest = inf
        if query_class.repeat is it.Idempotency.DEDUPLICATED:
            first = batch.possible_runs[0][2] if batch.possible_runs else self.now
            latest = first + query_class.window
        return min(latest, self.now + self.connect_limit) if self.retry_budget.allowance else latest

    def dispatch_timeout(self, batch: Batch) -> float:
        """How many seconds the dispatch may go unanswered, so that the next can meet the objective.

        Where late answers have value, no time is reserved for the next. 0: as long as the batch's time limit
        allows. It is at least four times the batch's estimated run time, times the slowdown of its class
        where that is over 1, so that it does not trip while all engines are slow. There is no time-out
        - where copies are allowed: work that a time-out does not stop costs more, and probes find silent
          engines;
        - where nothing can be cancelled: the engine runs on, and until it has surely ended no other may
          follow;
        - where a share is less than a batch and late answers have value: what is cut off at its objective
          would be done twice over the whole fleet, to earn what the late answer would have earned;
        - where a further dispatch is not allowed.
        """
        query_class = self.query_classes[batch.class_index]
        # True for the first two cases: copies are allowed, or nothing can be cancelled.
        runs_on = self.allows_copies or not self.can_cancel
        late_answers_count = self.share_in_batches < 1.0 and query_class.late_share
        if runs_on or late_answers_count or query_class.repeat is it.Idempotency.NON_IDEMPOTENT:
            return 0.0
        if batch.dispatch_count + 1 >= self.max_dispatches[batch.class_index]:
            return 0.0
        # Where a late answer has value too, one that only runs long must not be cut off as if it were lost.
        reserved = 0.0 if query_class.late_share else self.expected_run_time(batch)
        left = batch.objective_at - self.now - reserved
        return max(left, 4 * batch.run_time * max(self.slowdown_of_class(batch.class_index), 1.0))

    def request_wake_up(self) -> None:
        """Ask for the list of engines when it is due, and for a timer while batches are queued."""
        if self.requests_list and self.now - self.list_requested_at > self.list_interval / 2:
            self.list_requested_at = self.now
            self.actions += [it.FollowList(), it.AskList()]
        objectives = [queue[0].objective_at for queue in self.queues if queue]
        if objectives:
            # Ten ticks at most: a batch with little time left would be lost between two looks at the queues.
            until_objective = max(min(objectives) - self.now, self.tick)
            due = self.now + min(10 * self.tick, until_objective)
            # Half a tick of tolerance, as a carrier rounds the delay and may come a moment early.
            if due < self.timer_at or self.now >= self.timer_at - self.tick / 2:
                self.timer_at = due
                self.actions.append(it.Timer(due - self.now, 0))
