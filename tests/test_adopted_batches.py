"""Batches that were dispatched before this front received them: no second run past the window of repeats."""

import asyncio
from types import SimpleNamespace

import pytest
from test_budgets import SimulatedPool, flood
from test_ledger import query_class as load_class
from test_scenarios import SETTINGS

from thistlelever.admission.decide import Front
from thistlelever.budgets.queued_batch import BatchSpec
from thistlelever.carrier.batch_tasks import CLIENT_LEFT, OVERDUE, BatchTasks
from thistlelever.carrier.dispatch import End
from thistlelever.carrier.remembered_outcomes import RememberedOutcomes
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.commands import Refuse, Release
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, Batches, DispatchName

KEY = "5" * 32
ENGINE = b"e-1"
# Seconds: the age of the run when the batch is received, how long the budgets hold it, the window of `load`.
AGE_S, HELD_S, WINDOW_S = 1.0, 0.2, 5.0


class HoldingGate:
    """Budgets that answer each batch after `HELD_S`."""

    def __init__(self, command):
        self.command, self.adopted, self.completed = command, [], lambda *args: None

    def submit(self, batch):
        asyncio.get_running_loop().call_later(HELD_S, batch.inbox.put_nowait, self.command)

    def adopt(self, batch):
        self.adopted.append(batch.number)

    def client_left(self, batch):
        pass


async def play_begun_batch(is_listed: bool, command) -> tuple[list, list, HoldingGate, Batch]:
    """Submit a batch that was begun `AGE_S` ago; returns the events, the answers, the gate and the batch."""
    events, answers, metrics = [], [], Metrics()
    batch_tasks = BatchTasks(SimpleNamespace(add_event=events.append), None, Batches(), metrics, print)
    gate = batch_tasks.gate = HoldingGate(command)
    batch_tasks.remembered = RememberedOutcomes(
        SimpleNamespace(tariffs=(load_class(),)),
        SimpleNamespace(is_listed=lambda engine: is_listed),
        metrics,
        None,
        lambda key: (ENGINE, DispatchName("a" * 16, 0), AGE_S),
    )
    submission = SimpleNamespace(txn="b" * 16, reference=KEY, is_retry=True, statement=b"")
    received = it.BatchReceived(1, 0, 0, 0, 4.0, None, 0.0, 17.0, True)
    batch = Batch(1, submission, received, "load", clock.now() + 4.0)
    batch_tasks.start(batch, answers.append)
    await asyncio.sleep(2 * HELD_S)
    batch.inbox.put_nowait(CLIENT_LEFT)
    await asyncio.wait_for(asyncio.gather(*batch_tasks.tasks), 2.0)
    return events, answers, gate, batch


def test_the_time_in_the_queue_of_the_budgets_counts_as_age():
    """Guards against a window that starts anew behind the queue: the batch ran again past it (review/8)."""
    events, _, gate, _ = asyncio.run(play_begun_batch(False, Release(1)))
    assert not gate.adopted
    assert AGE_S + HELD_S <= events[0].running_for < AGE_S + 2 * HELD_S
    assert events[0].time_limit <= 4.0 - HELD_S


def test_a_run_that_may_be_on_is_not_held_by_the_budgets():
    """Guards against a run that nobody asks for while its batch is queued: its engine drops it after 2 s."""
    events, _, gate, batch = asyncio.run(play_begun_batch(True, Refuse(1, 0.0, "full")))
    assert gate.adopted == [1]
    assert AGE_S <= events[0].running_for < AGE_S + HELD_S
    assert (events[0].running_on, batch.dispatch_name(0)) == (ENGINE, DispatchName("a" * 16, 0))


@pytest.mark.parametrize("command", [Refuse(1, 0.0, "full"), OVERDUE])
def test_what_may_have_run_is_not_refused_as_if_it_never_had(command):
    """Guards against a push-back of a batch whose repeat does harm, as nothing of it was sent from here."""
    _, answers, _, batch = asyncio.run(play_begun_batch(False, command))
    assert not batch.repeat_harmless
    assert [type(answer) for answer in answers] == [it.Error]


def front_with_engines(query_class: it.QueryClass) -> Front:
    front = Front(SETTINGS._replace(tariffs=(query_class,), fronts=1), 7)
    engines = tuple(
        it.Engine(b"engine-%d" % number, 0, 0, 0, it.EngineState.READY, 0.0, 1.0) for number in range(2)
    )
    front.handle(100.0, [it.EngineListReceived(it.ListKind.WHOLE, 1, engines, 0)])
    return front


def received(running_on: bytes, age: float) -> it.BatchReceived:
    return it.BatchReceived(1, 0, 0, 0, 4.0, 0.1, 0.0, 1.0, True, running_on, age)


@pytest.mark.parametrize("running_on", [b"", b"gone"])
@pytest.mark.parametrize("age, is_sent", [(1.0, True), (WINDOW_S - 0.01, True), (WINDOW_S, False)])
def test_a_batch_whose_engine_is_gone_is_sent_only_in_the_window_of_its_first_run(running_on, age, is_sent):
    """Guards against a window that starts anew where the engine of the first run has left the list."""
    actions = front_with_engines(load_class()).handle(101.0, [received(running_on, age)])
    sent = [action for action in actions if type(action) is it.Dispatch]
    assert bool(sent) == is_sent
    assert all(action.begin_by <= 101.0 + WINDOW_S - age + 1e-6 for action in sent)


@pytest.mark.parametrize(
    "query_class, answer",
    [
        (load_class(it.DeduplicationScope.CELL), it.Error),
        (load_class()._replace(repeat=it.Idempotency.NON_IDEMPOTENT), it.Error),
        (load_class()._replace(repeat=it.Idempotency.IDEMPOTENT), it.Dispatch),
    ],
)
def test_a_batch_whose_engine_left_while_it_waited_is_not_taken_for_a_new_one(query_class, answer):
    """Guards against a second run at another engine, where no other engine drops the repeat."""
    actions = front_with_engines(query_class).handle(101.0, [received(b"gone", 1.0)])
    kinds = [type(action) for action in actions]
    assert answer in kinds
    assert not {it.Dispatch, it.Error, it.PushBack} - {answer} & set(kinds)


def test_an_adopted_batch_is_released_past_its_ceiling_and_counts_against_it():
    """Guards against budgets that lose count of what they did not release themselves."""
    pool = SimulatedPool()
    flood(pool, "d", 4, tick=True)
    spec = BatchSpec(99, "d", "lookup", 1.0, 0.5, 2.0, 5.0, 2.0, 0)
    queue = pool.fair_queue
    before = queue.root.threads_in_use
    queue.adopt(pool.now, spec)
    assert queue.batches[99].is_released
    assert queue.root.threads_in_use == before + 2.0
    assert queue.is_conserved()
    pool.apply(queue.completed(1.0, 99, 0.5))
    pool.advance(10.0)
    assert len(pool.released) == 4
    assert not queue.root.threads_in_use


def test_the_first_dispatch_that_may_have_run_is_stored_whatever_its_number():
    """Guards against a second run after a restart, where an engine refused the first dispatch (review/9)."""
    stored = {}

    def remember(key, what):
        if what is None:
            del stored[key]
        else:
            stored[key] = what

    memory = RememberedOutcomes(
        SimpleNamespace(tariffs=(load_class(),)), None, Metrics(), remember, stored.get
    )
    submission = SimpleNamespace(txn="b" * 16, reference=KEY)
    batch = Batch(1, submission, it.BatchReceived(1, 0, 0, 0, 4.0, None, 0.0, 17.0, True), "load", 1e9)
    key = bytes.fromhex(KEY)
    # Two engines refuse it, the third may have run it, and so may the one after that.
    ends = [
        it.DispatchOutcome.FULL,
        it.DispatchOutcome.UNSENT,
        it.DispatchOutcome.ASTRAY,
        it.DispatchOutcome.RETURNED,
    ]
    found = []
    for number, outcome in enumerate(ends):
        memory.record_dispatch(batch, number, b"e-%d" % number)
        sent = stored[key]
        memory.record_end(batch, End(number, b"e-%d" % number, outcome))
        found.append((sent[0], sent[1].number, key in stored))
    assert found == [(b"e-0", 0, False), (b"e-1", 1, False), (b"e-2", 2, True), (b"e-2", 2, True)]


def test_a_batch_counts_for_the_retry_budget_from_when_it_was_received():
    """Guards against a retry that rule 7 does not allow: a batch counted when the budgets let it go."""
    window_s, held_s = 10.0, 8.0
    submission = SimpleNamespace(txn="b" * 16, reference="", is_retry=False, statement=b"")
    event = it.BatchReceived(1, 0, 0, 0, 20.0, None, 0.0, 17.0, False)
    batch = Batch(1, submission, event, "load", deadline=120.0)
    released = batch.received_event(100.0 + held_s)
    assert released.waited_for == pytest.approx(held_s)

    front = Front(SETTINGS._replace(tariffs=(load_class(),), allowance=it.RetryBudget(0.0, 1.0, window_s)), 7)
    front.handle(100.0 + held_s, [released])
    front.handle(100.0 + held_s, [event._replace(batch=2)])
    assert front.retry_budget.permits_retry()
    front.retry_budget.retried(100.0 + held_s)
    assert front.retry_budget.permits_retry()
    # Ten seconds after it was received the first batch counts no more, whenever it was released.
    front.retry_budget.drop_expired(100.0 + window_s)
    assert not front.retry_budget.permits_retry()
