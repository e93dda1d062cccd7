"""The log says why batches were not dispatched, by query class and cause."""

from __future__ import annotations

from test_scenarios import QUERY_CLASS, SETTINGS

from thistlelever.admission.decide import Front
from thistlelever.ground import interface as it

ENGINE = it.Engine(b"engine", 0, 0, 0, it.EngineState.READY, 0.0, 1.0)
NOW = 100.0


def front(engines: tuple[it.Engine, ...] = (ENGINE,)) -> Front:
    settings = SETTINGS._replace(tariffs=(QUERY_CLASS._replace(goal=1.0, time_limit=2.0),))
    started = Front(settings, 1)
    started.handle(NOW, [it.EngineListReceived(it.ListKind.WHOLE, 1, engines, 0)])
    return started


def received(number: int, work: float = 0.1) -> it.BatchReceived:
    return it.BatchReceived(number, 0, 0, 0, 2.0, work, 0.0, 1.0, False)


def ended(number: int, outcome: it.DispatchOutcome) -> it.DispatchEnded:
    complete = outcome is it.DispatchOutcome.RETURNED
    return it.DispatchEnded(1, number, ENGINE.id, outcome, 0.1, complete, 0.1, 0.0, ())


def test_a_batch_that_no_engine_takes_is_counted_by_what_kept_it_from_the_engines():
    idle = front(engines=())
    idle.handle(NOW, [received(1)])
    idle.handle(NOW + 1.5, [])
    assert idle.summary()["ends"] == {"0 received": 1, "0 refused: no engine ready": 1}


def test_a_batch_that_can_not_be_in_time_is_counted_by_its_estimate():
    busy = front()
    busy.handle(NOW, [received(1, work=1_000.0)])
    busy.handle(NOW + 0.1, [])
    assert busy.summary()["ends"]["0 refused: hopeless by its own estimate"] == 1


def test_a_batch_that_engines_refused_is_counted_by_the_refusal():
    busy = front()
    busy.handle(NOW, [received(1)])
    number = 0
    while 1 in busy.open_batches:
        busy.handle(NOW + 0.01 * number, [ended(number, it.DispatchOutcome.FULL)])
        number += 1
    ends = busy.summary()["ends"]
    assert ends["0 dispatch full"] == number
    assert ends["0 refused after full: most dispatches"] == 1


def test_a_result_is_counted_as_in_time_or_late():
    for delay, name in ((0.1, "0 completed in time"), (1.5, "0 completed late")):
        served = front()
        served.handle(NOW, [received(1)])
        served.handle(NOW + delay, [ended(0, it.DispatchOutcome.RETURNED)])
        assert served.summary()["ends"][name] == 1
