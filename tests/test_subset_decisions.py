"""Decisions of fronts that know a subset of the engines, and how many fronts may send to each of them."""

from __future__ import annotations

import pytest
from test_scenarios import QUERY_CLASS, SETTINGS

from thistlelever.admission.decide import BUSY_THRESHOLD, Front
from thistlelever.ground import interface as it

FRONTS, SHARING, CORES = 3200, 64, 64
WARM_AFTER, COLD_SHARE, MULTIPLE, WINDOW = 60.0, 0.3, 3.0, 2.0
WORK, TICK = 0.2, 0.1
COLD, WARM = b"cold", tuple(b"warm-%d" % number for number in range(4))


def settings() -> it.Settings:
    return SETTINGS._replace(
        fronts=FRONTS,
        tariffs=(QUERY_CLASS._replace(goal=5.0, time_limit=10.0),),
        kind_cores=(CORES,),
        kind_memory=(1e6,),
        cold_share=COLD_SHARE,
        warm_after=WARM_AFTER,
        fall_multiple=MULTIPLE,
        fall_window=WINDOW,
    )


def engine(name: bytes, started: float) -> it.Engine:
    return it.Engine(name, 0, 0, 0, it.EngineState.READY, started, 1.0)


def listing(
    fronts: int, kind: it.ListKind = it.ListKind.WHOLE, cold_since: float = 1000.0
) -> it.EngineListReceived:
    engines = (engine(COLD, cold_since), *(engine(name, 0.0) for name in WARM))
    return it.EngineListReceived(kind, 1, engines if kind is not it.ListKind.FAILED else (), fronts)


def received(number: int) -> it.BatchReceived:
    return it.BatchReceived(number, 0, 0, 0, 10.0, WORK, 0.0, float(number % 500), False)


class Tier:
    """Fronts that all send to the same engines, without communicating."""

    def __init__(self, fronts: int, engine_list: it.EngineListReceived) -> None:
        self.now = 1000.0
        self.fronts = [Front(settings(), seed) for seed in range(fronts)]
        self.out: list[dict[tuple[int, int], tuple[bytes, float]]] = [{} for _ in self.fronts]
        # When each batch went to the cold engine.
        self.sent: list[float] = []
        self.numbers = 0
        for place in range(fronts):
            self.handle(place, [engine_list])

    def handle(self, place: int, events: list[it.Event]) -> None:
        for action in self.fronts[place].handle(self.now, events):
            if type(action) is it.Dispatch:
                number = self.last_number(place, action.batch)
                self.out[place][action.batch, number] = (action.engine, self.now)
                if action.engine == COLD:
                    self.sent.append(self.now)

    def last_number(self, place: int, batch: int) -> int:
        return self.fronts[place].open_batches[batch].dispatch_count - 1

    def play(self, seconds: float, batches: int) -> None:
        """Each front receives so many batches at each tick, and each batch runs for its work."""
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            for place, out in enumerate(self.out):
                events: list[it.Event] = []
                for (batch, number), (name, at) in list(out.items()):
                    if self.now - at >= WORK:
                        del out[batch, number]
                        outcome, report = it.DispatchOutcome.RETURNED, (0.1,)
                        events.append(
                            it.DispatchEnded(batch, number, name, outcome, WORK, True, WORK, 0.0, report)
                        )
                events += [received(self.numbers + number) for number in range(1, batches + 1)]
                self.numbers += batches
                self.handle(place, events)

    def most_in_window(self) -> float:
        """The most work that was sent to the cold engine in any window."""
        return (
            max((sum(at - WINDOW < past <= at for past in self.sent) for at in self.sent), default=0) * WORK
        )


def budget(now: float) -> float:
    """The work that all fronts together may send a cold engine in a window."""
    warmth = COLD_SHARE + (1 - COLD_SHARE) * (now - 1000.0) / WARM_AFTER
    return MULTIPLE * BUSY_THRESHOLD * WINDOW * warmth * CORES


def test_a_cold_engine_gets_its_share_from_the_fronts_that_reach_it_and_never_more():
    tier = Tier(SHARING, listing(SHARING))
    tier.play(6.0, 4)
    assert budget(1000.0) / 4 <= tier.most_in_window() <= budget(tier.now)


def test_told_nothing_the_same_fronts_send_it_all_fronts_shares():
    """Without the count the 64 fronts act as 64 of 3,200, and send the engine almost nothing."""
    tier = Tier(SHARING, listing(0))
    tier.play(6.0, 4)
    assert tier.most_in_window() <= budget(tier.now) * SHARING / FRONTS + WORK


def test_one_front_that_counts_with_too_few_is_caught():
    """Sabotage: with a count of 8 the 64 fronts exceed the engine's budget."""
    tier = Tier(SHARING, listing(8))
    tier.play(6.0, 4)
    assert tier.most_in_window() > budget(tier.now)


def figures(front: Front) -> tuple[float, ...]:
    return front.sharing_fronts, front.load_multiplier, front.share_in_batches, front.cold_share


def front_after(*events: it.Event) -> Front:
    front = Front(settings(), 1)
    for event in events:
        front.handle(1000.0, [event])
    return front


@pytest.mark.parametrize("living", [5000, FRONTS, 400, SHARING])
def test_living_fronts_never_raise_the_count_nor_loosen_the_cold_budget(living):
    alone = figures(front_after(listing(SHARING)))
    assert alone[0] == SHARING
    assert figures(front_after(listing(SHARING), it.FrontCountChanged(living))) == alone
    assert figures(front_after(it.FrontCountChanged(living), listing(SHARING))) == alone


def test_fewer_living_fronts_share_what_is_left_but_not_the_cold_budget():
    few, alone = front_after(listing(SHARING), it.FrontCountChanged(10)), front_after(listing(SHARING))
    assert few.sharing_fronts == 10
    assert (
        few.cold_share
        == alone.cold_share
        == front_after(listing(SHARING), it.FrontCountChanged(1)).cold_share
    )


def test_a_list_without_a_count_means_all_fronts_again_and_a_failed_one_says_nothing():
    assert figures(front_after(listing(SHARING), listing(0))) == figures(front_after())
    failed = listing(0, it.ListKind.FAILED)
    assert figures(front_after(listing(SHARING), failed)) == figures(front_after(listing(SHARING)))
    changes = listing(128, it.ListKind.CHANGES)
    assert front_after(listing(SHARING), changes).sharing_fronts == 128


def test_a_first_list_gives_each_engine_a_bound_by_its_own_count():
    front = front_after(listing(SHARING))
    assert {front.concurrency_limits[i] for i in front.engine_index.values()} == {CORES * 2.0 / SHARING}
