"""Measures what an engine list costs a front's decisions: the whole list, and the front's subset of it.

`python -m rigs.list_cost --seed 1` passes lists of 30, 300, 3,000 and 22,000 engines to a front's decisions:
a first list, the same list with one engine changed, and a query after each. The figures `before` are those of
the whole list, `after` those of the front's subset. It passes if the subset keeps the bounds below.
"""

from __future__ import annotations

import json
import tracemalloc
from collections.abc import Callable
from statistics import median
from time import process_time

import click

from rigs.results import report_and_exit
from rigs.subsetting_model import engines_of
from rigs.subsetting_ways import ZONES
from thistlelever.admission.decide import Front
from thistlelever.distribution.records import EngineRecord
from thistlelever.ground import config as front_config
from thistlelever.ground import interface as it
from thistlelever.standins.configuration import SETTINGS, configuration
from thistlelever.subsetting import EngineRing, FrontIdentity, Subset, SubsetParameters

FRONTS = 3200
TRIALS = 7
# Upper bounds for a subset, in milliseconds of CPU time: one changed engine, and the longest single event.
MAX_CHANGE_MS, MAX_EVENT_MS = 1.0, 20.0


def settings() -> it.Settings:
    """The settings of a front in a fleet of `FRONTS` fronts."""
    zones = [f"zone-{zone}" for zone in range(ZONES)]
    parsed = front_config.read(configuration(settings=SETTINGS | {"FailureDomains": zones}), {}).settings
    return parsed._replace(fronts=FRONTS)


def milliseconds(work: Callable[[], object]) -> float:
    """Milliseconds of this process's CPU time that a call takes."""
    started = process_time()
    work()
    return (process_time() - started) * 1e3


def engine_of(record: EngineRecord) -> it.Engine:
    """A record in the form in which a front's decisions receive it."""
    state = it.EngineState.DRAINING if record.draining else it.EngineState.READY
    zone = int(record.zone.removeprefix("zone-"))
    return it.Engine(record.id.encode(), zone, record.cell, 0, state, record.started, record.weight)


def query(number: int) -> it.BatchReceived:
    """The event of a new batch."""
    return it.BatchReceived(number, 0, 0, 0, 10.0, 0.1, 10.0, float(number), False)


class Trial:
    """One front's decisions, which receive one engine list and its changes."""

    def __init__(self, engines: list[it.Engine], fronts: int) -> None:
        self.engines, self.fronts, self.now = engines, fronts, 1e6
        self.front = Front(settings(), 1)

    def handle(self, event: it.Event) -> float:
        """Handles one event; returns its CPU time in milliseconds."""
        self.now += 0.1
        return milliseconds(lambda: self.front.handle(self.now, [event]))

    def handle_list(self, version: int, kind: it.ListKind = it.ListKind.WHOLE) -> float:
        """Handles the whole list, or a change of its first engine; returns CPU time in milliseconds."""
        engines = self.engines[:1] if kind is it.ListKind.CHANGES else self.engines
        return self.handle(it.EngineListReceived(kind, version, tuple(engines), self.fronts))

    def set_first_draining(self, draining: bool) -> None:
        """Makes the first engine of the list draining or ready."""
        state = it.EngineState.DRAINING if draining else it.EngineState.READY
        self.engines[0] = self.engines[0]._replace(state=state)

    def run(self) -> dict[str, float]:
        """The CPU time of each event of one trial, in milliseconds."""
        figures = {"first_ms": self.handle_list(1)}
        figures["query_after_list_ms"] = self.handle(query(1))
        self.set_first_draining(True)
        figures["whole_one_changed_ms"] = self.handle_list(2)
        self.set_first_draining(False)
        figures["change_ms"] = self.handle_list(3, it.ListKind.CHANGES)
        figures["query_new_tables_ms"] = self.handle(query(2))
        figures["query_ms"] = self.handle(query(3)._replace(table_group=2.0))
        return figures


def memory_of(engines: list[it.Engine], fronts: int) -> float:
    """Megabytes that a front's decisions allocate for a list, without the list itself."""
    trial = Trial(engines, fronts)
    event = it.EngineListReceived(it.ListKind.WHOLE, 1, tuple(engines), fronts)
    tracemalloc.start()
    trial.front.handle(1.0, [event])
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory / 1e6


def cost(engines: list[it.Engine], fronts: int) -> dict[str, float]:
    """The median CPU time of each event over all trials, the maximum of all, and the memory."""
    trials = [Trial(list(engines), fronts).run() for _ in range(TRIALS)]
    figures = {name: median(trial[name] for trial in trials) for name in trials[0]}
    figures["longest_ms"] = max(figure for trial in trials for figure in trial.values())
    figures["memory_mb"] = memory_of(engines, fronts)
    return {"engines": len(engines), "fronts": fronts, **{name: round(f, 4) for name, f in figures.items()}}


def subset_of(records: list[EngineRecord], seed: int) -> Subset:
    """The subset of one front, whose rank follows from the seed."""
    zone_fronts = -(-FRONTS // ZONES)
    ring = EngineRing(SubsetParameters(fronts=FRONTS, zone_fronts=zone_fronts))
    for record in records:
        ring.put(record)
    rank = seed % FRONTS
    return ring.subset(FrontIdentity("front", f"zone-{rank % ZONES}", rank, rank // ZONES), (), False)


@click.command()
@click.option("--seed", default=1)
@click.option("--engines", multiple=True, type=int, default=(30, 300, 3_000, 22_000))
def main(seed: int, engines: tuple[int, ...]) -> None:
    figures, broken = {}, []
    for count in engines:
        records = engines_of(count, seed)
        subset = subset_of(records, seed)
        held = set(subset.ids)
        before = cost([engine_of(record) for record in records], 0)
        after = cost([engine_of(record) for record in records if record.id in held], subset.fronts)
        figures[count] = {"before": before, "after": after}
        print(json.dumps({"engines": count, **figures[count]}), flush=True)
        for name in ("whole_one_changed_ms", "change_ms"):
            if after[name] >= MAX_CHANGE_MS:
                broken.append(f"{count}: {name} is {after[name]}")
        if after["longest_ms"] > MAX_EVENT_MS:
            broken.append(f"{count}: one turn took {after['longest_ms']} ms")
    report_and_exit("list_cost", seed, broken, {"sizes": figures})


if __name__ == "__main__":
    main()
