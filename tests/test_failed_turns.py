"""Turns of the decisions in which a step fails, and fields at the ends of their ranges, which make none fail.

A request with a cost of 5e-321 ms made the decisions divide by 0 once its dispatch had failed. The whole turn
was lost, with the events and actions of other clients.
"""

import asyncio

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from test_ledger import query_class as load_class
from test_scenarios import SETTINGS

from thistlelever.admission.decide import Front
from thistlelever.admission.turn_failures import TurnFailedError
from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batches

NOW = 100.0
LOAD = load_class()._replace(width=3, in_order=True)
CLASSES = (LOAD, LOAD._replace(name="lookup", repeat=it.Idempotency.IDEMPOTENT, width=1, in_order=False))
ENGINES = tuple(it.Engine(b"engine-%d" % n, 0, 0, 0, it.EngineState.READY, 0.0, 1.0) for n in range(3))
REPORTED = ("util", "queue", "inflight", "x1", "x0")


def front(**changes) -> Front:
    made = Front(SETTINGS._replace(tariffs=CLASSES, fronts=1, **changes), 7)
    made.handle(NOW, [it.EngineListReceived(it.ListKind.WHOLE, 1, ENGINES, 0)])
    return made


def received(number: int, key: int = 0, work: float | None = 0.1, class_index: int = 0) -> it.BatchReceived:
    return it.BatchReceived(number, class_index, 0, key, 4.0, work, 1.0, 17.0, False)


def ended(dispatch: it.Dispatch, outcome: it.DispatchOutcome) -> it.DispatchEnded:
    complete = outcome is it.DispatchOutcome.RETURNED
    return it.DispatchEnded(dispatch.batch, 0, dispatch.engine, outcome, 0.1, complete, 0.0, 0.0, ())


def dispatches(actions: list[it.Action]) -> list[it.Dispatch]:
    return [action for action in actions if type(action) is it.Dispatch]


def failing(step):
    """A stand-in for a step of the decisions that fails for batch 1 alone."""

    def fail(event, *more):
        if getattr(event, "batch", None) == 1 or getattr(more[-1] if more else None, "batch", None) == 1:
            raise ZeroDivisionError
        step(event, *more)

    return fail


@pytest.mark.parametrize("cost", [5e-324, 1e-300])
def test_an_estimate_that_no_query_can_have_fails_no_turn(cost):
    """Guards against a cost of 5e-321 ms: 0 as a run time on three threads, by which the decisions divide."""
    decisions = front()
    (sent,) = dispatches(decisions.handle(NOW, [received(1, work=cost)]))
    decisions.handle(NOW + 0.1, [ended(sent, it.DispatchOutcome.ERRORED)])


def test_what_is_learnt_from_an_end_may_fail_and_its_batch_goes_on():
    """Guards against a dispatch whose end is lost: its key stays taken, and its client hears at its limit."""
    decisions = front()
    first, second = dispatches(decisions.handle(NOW, [received(1, key=5), received(2, key=6)]))
    decisions.learn_slowdown = failing(decisions.learn_slowdown)
    ends = [ended(dispatch, it.DispatchOutcome.RETURNED) for dispatch in (first, second)]
    with pytest.raises(TurnFailedError) as turn:
        decisions.handle(NOW + 0.1, [*ends, received(3, key=5), received(4, key=6)])
    assert [type(failure) for failure in turn.value.failures] == [ZeroDivisionError]
    assert [dispatch.batch for dispatch in dispatches(turn.value.actions)] == [3, 4]
    assert set(decisions.open_batches) == {3, 4}


def test_an_event_that_fails_costs_its_own_batch_alone():
    """Guards against the loss of a turn: other batches that came in it were never heard of."""
    decisions = front()
    decisions.handle(NOW, [received(1, key=5)])
    decisions.handlers[it.DispatchEnded] = failing(decisions.dispatch_ended)
    broken = it.DispatchEnded(1, 0, ENGINES[0].id, it.DispatchOutcome.ERRORED, 0.1, False, 0.0, 0.0, ())
    with pytest.raises(TurnFailedError) as turn:
        decisions.handle(NOW + 0.1, [broken, received(2, key=6)])
    assert it.Error(1) in turn.value.actions
    assert [dispatch.batch for dispatch in dispatches(turn.value.actions)] == [2]
    assert set(decisions.open_batches) == {2}


def test_the_actions_of_a_turn_with_a_failure_are_carried_out():
    """Guards against clients that hear nothing, as somebody else's event failed in their turn."""

    async def run():
        decisions, log, carried_out, unhandled = front(), [], [], []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: unhandled.append(context))
        decisions.handlers[it.BatchReceived] = failing(decisions.batch_received)
        metrics = Metrics()
        loop = DecisionLoop(decisions, 0.01, Batches(), metrics, lambda event, **facts: log.append(event))
        loop.execute = carried_out.append
        for number in (1, 2):
            loop.add_event(received(number))
        await asyncio.sleep(0.05)
        assert [dispatch.batch for dispatch in dispatches(carried_out)] == [2]
        assert metrics.counts["decisions failed"] == 1 and log == ["decisions failed"]

    asyncio.run(run())


# Any finite measure that an engine may send, the extremes more often.
MEASURES = st.one_of(
    st.sampled_from((0.0, 5e-324, 1e-300, 1.0, 1e300, 1.7e308)),
    st.floats(0, allow_infinity=False, allow_nan=False),
)
TIMES = st.one_of(st.sampled_from((0.0, 5e-324, 1e-9, 0.1, 100.0)), st.floats(0, 100))
# Half of them leave time for a dispatch.
TIME_LIMITS = st.sampled_from((1e-9, 0.1, 4.0, 8.0))
# The largest cost that a request may state: 100 time limits on all threads.
COSTS = st.one_of(st.none(), st.sampled_from((5e-324, 1e-300, 1e-9, 1200.0)), st.floats(0, 400))
MEMORIES = st.one_of(st.sampled_from((0.0, 5e-324, 32_000.0)), st.floats(0, 32_000))
STEPS = st.one_of(
    st.tuples(st.just("receive"), st.integers(0, 1), st.integers(0, 2), COSTS, MEMORIES, TIME_LIMITS),
    st.tuples(
        st.just("end"),
        st.sampled_from(it.DispatchOutcome),
        TIMES,
        MEASURES,
        MEASURES,
        st.booleans(),
        MEASURES,
    ),
    st.tuples(st.just("progress"), st.sampled_from(it.ProgressKind), MEASURES),
    st.tuples(st.just("probe"), st.sampled_from(it.DispatchOutcome), TIMES, MEASURES),
    st.tuples(st.just("wait"), TIMES),
)


class ExtremePlay:
    """A front that gets events with fields at the ends of their ranges, and the ends of its dispatches."""

    def __init__(self):
        self.front = front(
            report_fields=REPORTED, tells_cost=True, cancel=True, grants=True, priorities=True, probes=True
        )
        self.now, self.received_count, self.open = NOW, 0, []

    def step(self, kind, *values):
        events = getattr(self, kind)(*values)
        for action in self.front.handle(self.now, events):
            if type(action) is it.Dispatch:
                number = max(key[1] for key in self.front.open_dispatches if key[0] == action.batch)
                self.open.append((action, number))

    def receive(self, class_index, key, cost, memory, time_limit):
        self.received_count += 1
        return [
            it.BatchReceived(self.received_count, class_index, 0, key, time_limit, cost, memory, 17.0, False)
        ]

    def end(self, outcome, took, work, memory, has_report, value):
        if not self.open:
            return []
        dispatch, number = self.open.pop(0)
        complete, report = outcome is it.DispatchOutcome.RETURNED, (value,) * len(REPORTED) * has_report
        place = dispatch.batch, number, dispatch.engine
        return [it.DispatchEnded(*place, outcome, took, complete, work, memory, report)]

    def progress(self, kind, value):
        return [
            it.ProgressNote(dispatch.batch, number, dispatch.engine, kind, value)
            for dispatch, number in self.open
        ]

    def probe(self, outcome, took, value):
        return [it.ProbeEnded(ENGINES[0].id, outcome, took, (value,) * len(REPORTED))]

    def wait(self, span):
        self.now += span
        return [it.TimerDue(0)]


@settings(max_examples=300, deadline=None)
@given(st.lists(STEPS, max_size=40))
@example(
    [
        ("receive", 0, 0, 5e-324, 0.0, 4.0),
        ("end", it.DispatchOutcome.ERRORED, 0.1, 0.0, 0.0, False, 0.0),
    ]
)
def test_no_field_at_the_end_of_its_range_fails_a_turn(steps):
    """Guards against valid fields that make the decisions fail, for the clients of a whole turn."""
    play = ExtremePlay()
    for step in steps:
        play.step(*step)
