"""Cancels that engines confirm late: nothing of the same key or batch may be dispatched meanwhile."""

import asyncio
from types import SimpleNamespace

import pytest
from stage import prepared_stage
from test_scenarios import QUERY_CLASS, SETTINGS

from thistlelever.admission.decide import Front
from thistlelever.carrier.dispatch import Dispatcher, NoResultError
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch

KEY_COOL_DOWN_S = 0.1
# How long an engine takes to answer a cancel: longer than the front once waited before it sent it anew.
SLOW_CANCEL_S = 0.6
# The idempotency keys of two loads of one table.
KEYS = ("a" * 32, "b" * 32)


def in_order_front():
    """Decisions with one engine and two batches of one key, the first of them dispatched."""
    query_class = QUERY_CLASS._replace(in_order=True, goal=8.0, time_limit=9.0)
    front = Front(SETTINGS._replace(tariffs=(query_class,), key_rest=KEY_COOL_DOWN_S, cancel=True), 7)
    engine = it.Engine(b"a", 0, 0, 0, it.EngineState.READY, 0.0, 1.0)
    first, second = [
        it.BatchReceived(number, 0, 0, 5, limit, 0.1, 0.0, 1.0, False)
        for number, limit in ((1, 2.0), (2, 9.0))
    ]
    actions = front.handle(10.0, [it.EngineListReceived(it.ListKind.CACHED, 1, (engine,)), first, second])
    assert dispatched(actions) == [1]
    return front


def dispatched(actions):
    """The batches that are dispatched."""
    return [action.batch for action in actions if type(action) is it.Dispatch]


def ended(outcome, still_stopping):
    """The end of the first dispatch of batch 1."""
    return it.DispatchEnded(1, 0, b"a", outcome, 2.0, False, 0.0, 0.0, (), still_stopping)


def test_a_key_is_held_until_the_engine_has_stopped():
    front = in_order_front()
    actions = front.handle(12.0, [ended(it.DispatchOutcome.TIMED_OUT, True)])
    # The client is answered in time; the next batch of the key waits.
    assert [type(action) for action in actions if getattr(action, "batch", 0) == 1] in (
        [it.Error],
        [it.PushBack],
    )
    assert not dispatched(actions)
    assert not dispatched(front.handle(12.0 + 5 * KEY_COOL_DOWN_S, [it.TimerDue(0)]))
    assert not dispatched(front.handle(13.0, [it.DispatchStopped(1, 0)]))
    assert not dispatched(front.handle(13.0 + KEY_COOL_DOWN_S / 2, [it.TimerDue(0)]))
    assert dispatched(front.handle(13.0 + 2 * KEY_COOL_DOWN_S, [it.TimerDue(0)])) == [2]
    assert not front.stopping_dispatches


def test_a_key_whose_client_has_left_is_held_until_the_engine_has_stopped():
    front = in_order_front()
    actions = front.handle(10.5, [it.ClientLeft(1)])
    assert it.Cancel(1, 0) in actions and not dispatched(actions)
    assert not dispatched(front.handle(10.6, [ended(it.DispatchOutcome.CANCELLED, True)]))
    assert not dispatched(front.handle(11.0, [it.TimerDue(0)]))
    assert not dispatched(front.handle(11.0, [it.DispatchStopped(1, 0)]))
    assert dispatched(front.handle(11.0 + 2 * KEY_COOL_DOWN_S, [it.TimerDue(0)])) == [2]


def test_an_engine_that_has_stopped_holds_no_key():
    front = in_order_front()
    assert not dispatched(front.handle(12.0, [ended(it.DispatchOutcome.TIMED_OUT, False)]))
    assert dispatched(front.handle(12.0 + 2 * KEY_COOL_DOWN_S, [it.TimerDue(0)])) == [2]
    assert not front.handle(13.0, [it.DispatchStopped(1, 0), it.DispatchStopped(7, 0)])


def slow_cancels(engine):
    """Make a Flight engine answer cancels late; a call that the front ends earlier has no effect."""
    do_action = engine.do_action

    async def late(request, context):
        await asyncio.sleep(SLOW_CANCEL_S)
        await do_action(request, context)

    engine.do_action = late


def lost_cancels(engine):
    """Make an HTTP engine answer none of the first cancels, which then have no effect."""
    engine.steps["DELETE"].extend([("silent",)] * 4)


@pytest.mark.parametrize(
    "kind, call, disturb",
    [("flight_engine", "GetFlightInfo", slow_cancels), ("engine", "POST", lost_cancels)],
    ids=("Flight", "HTTP"),
)
def test_the_next_load_waits_for_a_cancel_that_is_confirmed_late(kind, call, disturb):
    lines = (
        "settings Classes.1.Sequential true",
        f"settings Invariants.KeyRest {int(KEY_COOL_DOWN_S * 1e6)}",
        "settings Limits.MaxAttempts 1",
        f"{kind} e",
        f"on e {call} silent",
        "front",
        f"submit 1 load once={KEYS[0]} wait=500",
        f"submit 2 load once={KEYS[1]} wait=3500",
        "answer 1 error -32001",
    )

    async def run():
        async with prepared_stage([(line, line.split()) for line in lines[:-3]]) as stage:
            engine = stage.engines["e"]
            disturb(engine)
            started = clock.now()
            for line in lines[-3:]:
                await stage.run_step(*line.split())
            answered_after = clock.now() - started
            records = engine.recorder.records
            given_up_early = any(record.event == "given up" for record in records)
            await stage.until(lambda: engine.recorder.count("arrived") == 2)
            return answered_after, given_up_early, list(records)

    answered_after, given_up_early, records = asyncio.run(run())
    # The first client does not wait for the cancel.
    assert answered_after < 1.0 and not given_up_early
    ends = [record for record in records if record.event == "given up"]
    arrivals = [record for record in records if record.event == "arrived"]
    assert len(ends) == 1 and ends[0].key == KEYS[0], records
    assert arrivals[1].key == KEYS[1] and arrivals[1].at >= ends[0].at + KEY_COOL_DOWN_S - 0.02, records


def test_a_second_cancellation_does_not_report_an_end_whose_cancel_is_not_confirmed():
    # A progress note that was already queued may still call off a dispatch that has been reset. Reported at
    # once, its end would let the next dispatch of the batch run beside it.
    async def run():
        asked, confirmed = asyncio.Event(), asyncio.Event()

        class EngineProtocol:
            async def run_dispatch(self, batch, entry, end, progress, deadline):
                progress.started = True
                raise NoResultError(it.DispatchOutcome.RESET)

            async def cancel_dispatch(self, batch, entry, progress):
                asked.set()
                await confirmed.wait()

        registry = SimpleNamespace(
            dispatch_started=lambda engine: None, dispatch_ended=lambda engine: None, entries={b"a": "entry"}
        )
        terms = SimpleNamespace(cancel=True, copies=False)
        dispatcher = Dispatcher(
            terms, registry, lambda entry: EngineProtocol(), None, Metrics(), lambda *event, **facts: None
        )
        batch = Batch(1, SimpleNamespace(txn="1"), "taken", "lookup", clock.now() + 60)
        task = dispatcher.start(batch, 0, it.Dispatch(1, b"a", 5.0))
        async with asyncio.timeout(8):
            await asked.wait()
            task.cancel()
            await asyncio.sleep(0.05)
            assert batch.inbox.empty()
            confirmed.set()
            end = await batch.inbox.get()
        assert end.outcome is it.DispatchOutcome.RESET and not end.is_stopping()
        # Once its client has left, nothing waits for the cancel, and the end says that it is under way.
        confirmed.clear()
        task = dispatcher.start(batch, 1, it.Dispatch(1, b"a", 5.0))
        async with asyncio.timeout(8):
            await asyncio.sleep(0.05)
            batch.answered = True
            task.cancel()
            end = await batch.inbox.get()
            assert end.is_stopping() and end.event(1, True).still_stopping
            confirmed.set()
            await end.cancelling
        assert not end.event(1, True).still_stopping

    asyncio.run(run())
