"""Dispatches that the decisions request and nobody carries out: their end is reported all the same."""

import asyncio
from types import SimpleNamespace

import pytest
from stage import prepared_stage, short_delays

from thistlelever.carrier.batch_tasks import CLIENT_LEFT, OVERDUE
from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batches

KEY = "c" * 32


async def front_with_one_engine():
    return prepared_stage([("setup", ["engine", "a"]), ("setup", ["front"])])


async def nothing_held(stage) -> None:
    """Wait until no batch is open, and check that the decisions hold no dispatch."""
    await stage.do_over()
    decisions = stage.server.decisions
    await stage.poll_until(lambda: not decisions.events)
    assert not decisions.front.open_dispatches
    decisions.check_lost_dispatches()


def put_before_dispatches(stage, message, count: int) -> None:
    """Put a message into the inbox right before each of the first dispatches."""
    execute, left = stage.server.decisions.execute, [count]

    def put_and_execute(action):
        if type(action) is it.Dispatch and left[0]:
            left[0] -= 1
            stage.server.batches.by_number[action.batch].inbox.put_nowait(message)
        execute(action)

    stage.server.decisions.execute = put_and_execute


@pytest.mark.parametrize("message", [CLIENT_LEFT, it.PushBack(1, 0.0), OVERDUE])
def test_a_dispatch_behind_what_ends_its_batch_is_not_held_for_good(message):
    """Guards against engines whose width stays taken by clients that left: later clients were all refused."""

    async def whole() -> None:
        with short_delays():
            async with await front_with_one_engine() as stage:
                put_before_dispatches(stage, message, 30)
                for number in range(1, 31):
                    await stage.do_submit(number, "lookup", "wait=300")
                await nothing_held(stage)
                await stage.do_submit(50, "lookup")
                await stage.do_answer(50, "result", "rows")

    asyncio.run(whole())


def test_a_key_in_order_is_free_after_a_dispatch_that_nobody_took():
    """Guards against a key that is held for good: later loads of its table were all pushed back."""

    async def whole() -> None:
        with short_delays():
            async with await front_with_one_engine() as stage:
                put_before_dispatches(stage, CLIENT_LEFT, 1)
                await stage.do_submit(1, "load", f"once={KEY}")
                await stage.do_over()
                await stage.do_submit(2, "load", f"once={KEY[1:]}d")
                await stage.do_answer(2, "result", "rows")

    asyncio.run(whole())


def test_a_crowd_that_leaves_at_once_leaves_no_dispatch_behind():
    """Guards against the same as it came: clients that close up to 8 ms after their request."""

    async def whole() -> None:
        with short_delays():
            async with await front_with_one_engine() as stage:
                address = stage.writer.get_extra_info("peername")
                for first in range(10, 1_010, 8):
                    await asyncio.gather(
                        *(submit_and_leave(stage, address, number) for number in range(first, first + 8))
                    )
                await nothing_held(stage)

    asyncio.run(whole())


async def submit_and_leave(stage, address, number: int) -> None:
    """Submit one batch on a connection of its own, and close that some milliseconds later."""
    _, writer = await asyncio.open_connection(*address)
    writer.write(stage.submission(number, "lookup"))
    await asyncio.sleep(number * 7 % 9 / 1e3)
    writer.close()


def test_dispatches_behind_a_failure_are_reported():
    """Guards against a dispatch that is held for good as its start has failed, with the key in order."""

    async def whole() -> None:
        with short_delays():
            async with await front_with_one_engine() as stage:
                start, failures = stage.server.dispatcher.start, [OSError("no")]

                def fail_once(batch, number, request):
                    if failures:
                        raise failures.pop()
                    return start(batch, number, request)

                stage.server.dispatcher.start = fail_once
                await stage.do_submit(1, "load", f"once={KEY}")
                await stage.do_answer(1, "error", "-32000")
                await stage.do_over()
                await stage.do_submit(2, "load", f"once={KEY[1:]}d")
                await stage.do_answer(2, "result", "rows")
                await nothing_held(stage)
                stage.events = [event for event in stage.events if event[0] != "course failed"]

    asyncio.run(whole())


def test_a_dispatch_of_a_batch_that_is_over_is_ended_and_a_lost_one_is_counted():
    async def whole() -> None:
        dispatch = SimpleNamespace(engine=0)
        held = {(7, 0): dispatch, (7, 1): dispatch, (8, 0): dispatch}
        front, metrics, logged = SimpleNamespace(open_dispatches=held, engine_ids=[b"a"]), Metrics(), []
        decisions = DecisionLoop(
            front, 60.0, Batches(), metrics, lambda event, **fields: logged.append((event, fields))
        )
        decisions.next_turn_at = float("inf")
        decisions.execute(it.Dispatch(7, b"a", 0.0))
        ended = [(event.batch, event.number, event.outcome, event.complete) for event in decisions.events]
        assert ended == [(7, number, it.DispatchOutcome.UNSENT, True) for number in range(2)]
        with pytest.raises(AssertionError, match="no dispatch is held"):
            decisions.check_lost_dispatches()
        decisions.check_lost_dispatches()
        assert logged == [("dispatch held for a batch that is over", {"batch": 8, "number": 0})]
        assert metrics.counts["broken: no dispatch is held for a batch that is over"] == 1

    asyncio.run(whole())
