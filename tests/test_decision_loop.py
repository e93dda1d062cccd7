"""The decision loop passes events on together and survives failures of the decisions; messages that arrive
after a batch is answered cause no second answer. Also polls and cancels over connections that fail."""

import asyncio
from collections import deque
from time import monotonic
from types import SimpleNamespace

import pytest

from thistlelever.ground import interface as it
from thistlelever.carrier.batch_tasks import CLIENT_LEFT, OVERDUE, BatchTasks
from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.dispatch import End, DispatchProgress
from thistlelever.carrier.http_engines import RETRY_DELAY_S, HttpEngines
from thistlelever.ground import clock
from thistlelever.store.batches import Batch, Batches
from thistlelever.store.connections import MIN_IDLE, ConnectionPool, Unreached
from thistlelever.ground.metrics import Metrics

TICK = 0.02


class RecordingDecisions:
    """Fake decisions that record the events of each turn, and fail on a timer with token 13."""

    def __init__(self):
        self.turns, self.done = [], asyncio.Event()

    def handle(self, now, events):
        tokens = [event.token for event in events]
        self.turns.append((now, tokens))
        if tokens[-1] == 13:
            raise KeyError("thirteen")
        if tokens[-1] == 99:
            self.done.set()
        return []


def play(*moments):
    async def run():
        front, log, unhandled = RecordingDecisions(), [], []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: unhandled.append(context))
        metrics = Metrics()
        decisions = DecisionLoop(front, TICK, Batches(), metrics, lambda event, **facts: log.append(event))
        for tokens in moments:
            for token in tokens:
                decisions.add_event(it.TimerDue(token))
            while not front.turns or tokens[-1] not in front.turns[-1][1]:
                await asyncio.sleep(0)
        await front.done.wait()
        return front.turns, metrics, log

    return asyncio.run(run())


def test_one_moment_is_told_together_and_the_next_is_a_tick_away():
    # With one turn per event the decisions would leave no time to read and answer under load.
    moments, _, _ = play([1, 2, 3], [4, 99])
    assert [tokens for _, tokens in moments] == [[1, 2, 3], [4, 99]]
    assert moments[1][0] - moments[0][0] >= TICK * 0.9


def test_decisions_that_fail_are_logged_counted_and_asked_again():
    moments, metrics, log = play([13], [99])
    assert [tokens for _, tokens in moments] == [[13], [99]]
    assert metrics.counts["decisions failed"] == 1 and log == ["decisions failed"]


@pytest.mark.parametrize(
    "crossing, answers",
    [
        ([CLIENT_LEFT, it.PushBack(1, 0.0)], []),
        ([OVERDUE, it.Dispatch(1, b"a", 0.0), it.Error(1)], [it.Error]),
        ([it.Dispatch(1, b"a", 0.0), CLIENT_LEFT, OVERDUE, it.Error(1)], []),
        ([it.Dispatch(1, b"a", 0.0), it.PushBack(1, 0.0), OVERDUE], [it.PushBack]),
    ],
)
def test_what_crosses_an_end_is_no_second_answer(crossing, answers):
    """The dispatch ends last, and its end is reported to the decisions as that of an answered batch."""

    async def run():
        events, answers_given, metrics = [], [], Metrics()

        async def ends(batch):
            await asyncio.sleep(0)
            batch.inbox.put_nowait(End(0, b"a", it.DispatchOutcome.RETURNED))

        dispatcher = SimpleNamespace(
            start=lambda batch, number, order: asyncio.get_running_loop().create_task(ends(batch))
        )
        decisions = SimpleNamespace(add_event=events.append)
        batch_tasks = BatchTasks(decisions, dispatcher, Batches(), metrics, lambda *a, **f: None)
        batch = Batch(1, SimpleNamespace(txn="1"), "taken", "lookup", clock.now() + 60)
        batch_tasks.start(batch, lambda answer: answers_given.append(type(answer)))
        for message in crossing:
            batch.inbox.put_nowait(message)
        await asyncio.wait(batch_tasks.tasks)
        assert [e.complete for e in events if isinstance(e, it.DispatchEnded)] in ([], [True])
        assert not metrics.counts["course failed"]
        return answers_given

    assert asyncio.run(run()) == answers


def test_a_network_that_says_no_at_once_is_not_asked_without_pause():
    tries = []

    async def take(entry, urgent, patient=False, unused=False, starts_nothing=False):
        tries.append(entry)
        raise Unreached

    async def run():
        terms = SimpleNamespace(report_fields=(), cancel=True, connect_limit=0.25, tariffs=())
        connections = SimpleNamespace(acquire=take)
        engines = HttpEngines(terms, None, connections, None, Metrics())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(4 * RETRY_DELAY_S):
                await engines.poll("/fetch/1/", 0, "entry", End(0, b"a"), DispatchProgress(0), None)

    asyncio.run(run())
    assert 1 <= len(tries) <= 5


def test_a_stop_in_the_moment_a_dispatch_times_out():
    events = []

    async def run():
        batch_tasks = BatchTasks(SimpleNamespace(add_event=events.append), None, Batches(), Metrics(), None)
        batch = Batch(1, SimpleNamespace(txn="1"), "taken", "lookup", clock.now() + 60)
        batch_tasks.batches.add(batch)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0) as batch.timeouts[0]:
                await asyncio.Event().wait()
        async with asyncio.timeout(60) as batch.timeouts[1]:
            batch_tasks.stop(clock.now() + 1)
            assert batch.timeouts[1].when() < asyncio.get_running_loop().time() + 2
        batch.backstop.cancel()

    asyncio.run(run())
    assert [type(event) for event in events] == [it.FrontStopping]


def test_a_cancel_whose_connection_comes_up_late_is_not_taken_for_given():
    # Otherwise the next dispatch would run beside the first, which its engine was never told to cancel.
    calls, tries = [], []

    class Up:
        async def call(self, request, within):
            calls.append(bytes(request).split(b" ")[0])

    async def take(entry, urgent, patient=False, unused=False, starts_nothing=False):
        tries.append(entry)
        if len(tries) < 3:
            raise Unreached
        return Up()

    async def run():
        terms = SimpleNamespace(report_fields=(), cancel=True, connect_limit=0.25, tariffs=())
        connections = SimpleNamespace(acquire=take, release=lambda connection: None)
        registry = SimpleNamespace(accepts_dispatches=lambda engine: False)
        engines = HttpEngines(terms, registry, connections, None, Metrics())
        batch = Batch(1, SimpleNamespace(txn="1"), "taken", "lookup", clock.now() + 60)
        entry = SimpleNamespace(address=("127.0.0.1", 1), engine=SimpleNamespace(id=b"a"))
        await engines.cancel_dispatch(
            batch, entry, DispatchProgress(0, started=True, last_call_at=clock.now())
        )

    asyncio.run(run())
    assert calls == [b"DELETE"] and len(tries) == 3


def test_a_poll_waits_for_the_link_that_has_just_answered_sooner_than_it_opens_another():
    # Otherwise hundreds of fronts would each open another connection for every batch that takes a moment.
    made = []

    async def run():
        connections = ConnectionPool(10, 30.0, 0.25, Metrics())
        kept = SimpleNamespace(is_clean=lambda: True, idle_since=monotonic())
        connections.idle["e"] = deque([kept])

        async def connect(entry):
            made.append(entry)

        connections.connect = connect
        entry = SimpleNamespace(engine=SimpleNamespace(id="e"))
        assert await connections.acquire(entry, urgent=False, patient=True) is kept
        assert monotonic() - kept.idle_since >= MIN_IDLE and not made
        connections.idle["e"] = deque([SimpleNamespace(is_clean=lambda: True, idle_since=monotonic())])
        await connections.acquire(entry, urgent=True)
        assert made == [entry]

    asyncio.run(run())
