"""The event loop stands still across a batch's time limit, so that all its timers expire together.

Its client is still told truthfully whether a repeat is harmless.
"""

import asyncio
import time
from types import SimpleNamespace

import pytest
from test_moments import play, served

from thistlelever.carrier.batch_tasks import OVERDUE, BatchTasks
from thistlelever.carrier.dispatch import DispatchProgress
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, Batches

# How long before the time limit the loop stops running.
STALL_LEAD_S = 0.05
# How long it stands still: past the backstop's delay, and past the time for which a stop waits for answers.
STALLS_S = (0.1, 0.3, 0.5)
# The engine takes the batch and then says nothing. `lags 0`: the lag of a busy machine would be taken off the
# client's wait, and leave no time for a dispatch.
SILENT_ENGINE = "engine a\non a POST 202\non a GET0 silent\nfront\nlags 0"


async def open_batch(stage):
    """Return the one open batch of the front, once it is open."""
    await stage.poll_until(lambda: stage.server.batches.by_number)
    (batch,) = stage.server.batches.by_number.values()
    return batch


async def stall_across_limit(stage, seconds):
    """Block the event loop for that long, from shortly before the time limit of the open batch."""
    batch = await open_batch(stage)
    asyncio.get_running_loop().call_at(clock.on_loop(batch.deadline) - STALL_LEAD_S, time.sleep, seconds)


def play_stalled(before, seconds, after):
    """Play `before`, let the loop stand still across the time limit of the open batch, and play `after`."""

    async def whole():
        async with served(before) as stage:
            await stall_across_limit(stage, seconds)
            await play(stage, after)

    asyncio.run(whole())


# Risk: a client that may repeat its batch takes the error for a failure of the batch.
@pytest.mark.parametrize("seconds", STALLS_S)
def test_a_repeatable_batch_is_pushed_back_after_a_stall_at_the_end_of_a_front(seconds):
    play_stalled(
        f"{SILENT_ENGINE}\nsubmit 1 lookup wait=4000\nsaw a GET0\nsigterm",
        seconds,
        "answer 1 error -32001\nstopped",
    )


@pytest.mark.parametrize("seconds", STALLS_S)
def test_a_repeatable_batch_is_pushed_back_after_a_stall_at_its_clients_limit(seconds):
    play_stalled(
        f"{SILENT_ENGINE}\nsubmit 1 lookup wait=1000\nsaw a GET0", seconds, "answer 1 error -32001\nover"
    )


# Risk: engines drop the repeat of a batch with an idempotency key, but its client is told of a failure.
def test_a_batch_whose_repeats_are_dropped_everywhere_is_pushed_back_after_a_stall():
    play_stalled(
        f"{SILENT_ENGINE}\nsubmit 1 load wait=1000 once={'7a' * 16}\nsaw a GET0",
        0.3,
        "answer 1 error -32001\nover",
    )


# Risk: a batch that must run once only runs twice, as its client was told that a repeat is harmless.
def test_a_batch_that_may_have_run_once_only_gets_an_error_after_a_stall():
    play_stalled(f"{SILENT_ENGINE}\nsubmit 1 pay wait=1000\nsaw a GET0", 0.3, "answer 1 error -32000\nover")


# Risk: a batch that no engine has received counts as one that may have run.
def test_a_batch_that_waits_for_a_connection_is_pushed_back_after_a_stall():
    play_stalled(
        "engine a\nfront\nlags 0\ndials_held\nsubmit 1 pay wait=1000\ndialling 1",
        0.3,
        "answer 1 error -32001\ndials_go\nover\ncalls a POST 0",
    )


def test_a_batch_that_waits_for_an_engine_is_pushed_back_after_a_stall():
    # By a cost of 1 ms the decisions hold it for hopeless only after the loop has come to stand still.
    play_stalled(
        "engine a\nfront\nlags 0\nlist 4 a-\nlisted\nsubmit 1 pay wait=1000 cost=1",
        0.5,
        "answer 1 error -32001\nover\ncalls a POST 0",
    )


# Risk: a Flight call that got nothing is told that its reader is too slow for the rest of its result.
@pytest.mark.parametrize("seconds", STALLS_S)
@pytest.mark.parametrize(
    "query_class, status",
    [("lookup", "RESOURCE_EXHAUSTED pushed back"), ("pay", "DEADLINE_EXCEEDED time limit")],
)
@pytest.mark.parametrize("call", ("GetFlightInfo", "DoGet"))
def test_a_flight_call_ends_after_a_stall_as_without_one(call, query_class, status, seconds):
    async def whole():
        async with served(f"flight_engine f\non f {call} silent\nfront\nlags 0") as stage:
            await play(stage, f"query 1 {query_class} x-wait-ms=1000\nbegun 1")
            await stall_across_limit(stage, seconds)
            await play(stage, f"fails 1 {status}\nover")
            failure = (await stage.wait_for_end("1")).exception()
            assert "not whole" not in failure.details
            assert not stage.server.metrics.counts["flight readers too slow"]

    asyncio.run(whole())


def backstop_answers(batch, *later_messages):
    """The answers of a batch whose backstop fires right before these messages reach its task."""

    async def run():
        answers = []
        decisions = SimpleNamespace(add_event=lambda event: None)
        batch_tasks = BatchTasks(decisions, None, Batches(), Metrics(), None)
        batch_tasks.start(batch, answers.append)
        for message in (OVERDUE, *later_messages):
            batch.inbox.put_nowait(message)
        await asyncio.wait(batch_tasks.tasks)
        return answers

    return asyncio.run(run())


def make_batch(**fields):
    """A batch as the client listener makes it."""
    return Batch(1, SimpleNamespace(txn="1"), "taken", "lookup", clock.now() + 60, **fields)


def lease_guard(held):
    """The lease of a batch that this front owns, or may have lost to another front."""
    return SimpleNamespace(is_held=lambda: held, close=lambda: None)


# Risk: a batch that another front runs is reported as one that never ran.
@pytest.mark.parametrize("harmless", (False, True))
@pytest.mark.parametrize("held, answer", [(True, it.PushBack(1, 0.0)), (False, it.Error(1))])
def test_the_backstop_pushes_back_only_what_this_front_certainly_owns(held, answer, harmless):
    batch = make_batch(lease_guard=lease_guard(held), repeat_harmless=harmless)
    assert backstop_answers(batch) == [answer]


# Risk: what ran for another front before it was taken over is reported as never run.
def test_the_backstop_takes_an_adopted_dispatch_for_one_that_may_have_run():
    assert backstop_answers(make_batch(adopted_names={0: "begun elsewhere"})) == [it.Error(1)]
    assert backstop_answers(make_batch(adopted_names={0: "begun elsewhere"}, repeat_harmless=True)) == [
        it.PushBack(1, 0.0)
    ]


@pytest.mark.parametrize("started, answer", [(True, it.Error(1)), (False, it.PushBack(1, 0.0))])
def test_the_backstop_goes_by_the_first_byte_of_a_dispatch(started, answer):
    batch = make_batch(progress={0: DispatchProgress(0, started=started)})
    assert backstop_answers(batch) == [answer]


# Risk: the answer of the decisions comes in the same moment as the backstop and is thrown away.
@pytest.mark.parametrize("answer", (it.PushBack(1, 0.5), it.Error(1)))
def test_an_answer_of_the_decisions_in_the_same_moment_goes_first(answer):
    assert backstop_answers(make_batch(), answer) == [answer]
