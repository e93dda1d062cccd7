"""Engines that report no load are chosen by the work that a front has sent them."""

from __future__ import annotations

from collections import Counter

import pytest
from test_scenarios import QUERY_CLASS, SETTINGS

from thistlelever.admission.decide import Front
from thistlelever.admission.sent_work import SentWork
from thistlelever.ground import interface as it

FRONTS, BATCHES, RUN_TIME_S, WORK = 40, 60, 0.25, 0.2
SMALL, LARGE = 8, 16


def settings() -> it.Settings:
    return SETTINGS._replace(
        fronts=FRONTS,
        tariffs=(QUERY_CLASS._replace(goal=2.0, time_limit=8.0),),
        kind_cores=(SMALL, LARGE),
        kind_memory=(1e6, 1e6),
        reports=it.ReportDelivery.NEVER,
        report_fields=(),
    )


def batches_by_engine(table_groups: int) -> Counter[bytes]:
    """How many batches of some table groups all fronts send to each of eight engines of two sizes."""
    listed = tuple(
        it.Engine(b"engine-%d" % number, 0, 0, number % 2, it.EngineState.READY, 0.0, 1.0)
        for number in range(8)
    )
    sent: Counter[bytes] = Counter()
    for seed in range(FRONTS):
        front, now = Front(settings(), seed), 100.0
        front.handle(now, [it.EngineListReceived(it.ListKind.WHOLE, 1, listed, 0)])
        for number in range(BATCHES):
            now += RUN_TIME_S + 0.1
            group = float(number % table_groups)
            batch = it.BatchReceived(number, 0, 0, 0, 8.0, WORK, 0.0, group, False)
            for action in front.handle(now, [batch]):
                if type(action) is it.Dispatch:
                    sent[action.engine] += 1
                    result = it.DispatchOutcome.RETURNED
                    end = it.DispatchEnded(number, 0, action.engine, result, RUN_TIME_S, True, WORK, 0.0, ())
                    front.handle(now + RUN_TIME_S, [end])
    return sent


@pytest.mark.parametrize("table_groups", [1, 3, 20])
def test_all_fronts_do_not_send_a_hot_table_group_to_one_engine(table_groups):
    # Guards against fronts that never hear of load and all prefer the first engines of a group's order.
    sent = batches_by_engine(table_groups)
    total = sum(sent.values())
    cores = {b"engine-%d" % number: (SMALL, LARGE)[number % 2] for number in range(8)}
    shares = {name: sent[name] / total / (cores[name] / sum(cores.values())) for name in cores}
    assert total == FRONTS * BATCHES
    # No engine gets twice what its cores stand for, and none is left idle.
    assert max(shares.values()) < 2, shares
    assert min(shares.values()) > 0, shares


def test_sent_work_decays_and_a_new_engine_starts_without_any():
    sent = SentWork(time_constant=10.0)
    sent.reset(0, 0.0)
    sent.reset(1, 0.0)
    sent.set_ready([8, 8])
    sent.record(0, 4.0, 0.0)
    sent.record(1, 4.0, 10.0)
    assert sent.recent(0, 10.0) == pytest.approx(4.0 * 0.3679, rel=1e-3)
    assert sent.total(10.0) == pytest.approx(4.0 * 1.3679, rel=1e-3)
    assert sent.relative_load(0, 8.0, 1.0, 10.0) < 1 < sent.relative_load(1, 8.0, 1.0, 10.0)
    sent.reset(1, 10.0)
    assert sent.recent(1, 10.0) == 0.0
    assert sent.total(10.0) == pytest.approx(4.0 * 0.3679, rel=1e-3)


def test_a_short_class_goes_before_a_long_one_of_more_worth_at_engines_that_report_no_load():
    # Guards against look-ups that wait behind reports of more worth, whose work is many times theirs.
    terms = {}
    for reports in (it.ReportDelivery.NEVER, it.ReportDelivery.WITH_ANSWERS):
        look_up = QUERY_CLASS._replace(goal=1.0, time_limit=8.0, utility=1.0)
        report = look_up._replace(name="report", goal=4.0, utility=10.0)
        both = settings()._replace(tariffs=(look_up, report), reports=reports, priorities=True)
        front = Front(both, 1)
        listed = it.Engine(b"engine", 0, 0, 0, it.EngineState.READY, 0.0, 1.0)
        front.handle(100.0, [it.EngineListReceived(it.ListKind.WHOLE, 1, (listed,), 0)])
        for number in range(40):
            now = 101.0 + number
            work = (0.1, 4.0)[number % 2]
            batch = it.BatchReceived(number, number % 2, 0, 0, 8.0, work, 0.0, 1.0, False)
            for action in front.handle(now, [batch]):
                if type(action) is it.Terms:
                    terms[reports, number % 2] = action.priority
            result = it.DispatchOutcome.RETURNED
            front.handle(
                now + 0.5, [it.DispatchEnded(number, 0, b"engine", result, 0.5, True, work, 0.0, ())]
            )
    assert terms[it.ReportDelivery.NEVER, 0] > terms[it.ReportDelivery.NEVER, 1]
    assert terms[it.ReportDelivery.WITH_ANSWERS, 0] < terms[it.ReportDelivery.WITH_ANSWERS, 1]
