"""What an engine list costs a front's decisions: the whole list, and the subset that a front holds of it.

`python -m rigs.list_cost --seed 1` tells a front lists of 30, 300, 3,000 and 22,000 engines: the first, the
same one with one engine changed, and a query after each. `before` is the whole list, `after` the front's
subset of it. It holds where the subset keeps within the bounds below.
"""

from __future__ import annotations

import json
import tracemalloc
from collections.abc import Callable
from statistics import median
from time import process_time

import click

from rigs.subsetting_model import engines_of
from rigs.subsetting_ways import ZONES
from rigs.verdict import close
from thistlelever.admission.decide import Front
from thistlelever.distribution.records import EngineRecord
from thistlelever.ground import interface as it
from thistlelever.ground import config as front_config
from thistlelever.standins.configuration import SETTINGS, configuration
from thistlelever.subsetting import EngineRing, FrontIdentity, Subset, SubsetParameters

FRONTS = 3200
TIMES = 7
# Milliseconds of CPU, of a subset: for one engine that changed, and for the longest turn.
MOST_CHANGE, MOST_TURN = 1.0, 20.0


def settings() -> it.Settings:
    zones = [f"zone-{zone}" for zone in range(ZONES)]
    told = front_config.read(configuration(settings=SETTINGS | {"FailureDomains": zones}), {}).settings
    return told._replace(fronts=FRONTS)


def milliseconds(work: Callable[[], object]) -> float:
    """This process's CPU time."""
    begun = process_time()
    work()
    return (process_time() - begun) * 1e3


def entry(record: EngineRecord) -> it.Engine:
    state = it.EngineState.DRAINING if record.draining else it.EngineState.READY
    zone = int(record.zone.removeprefix("zone-"))
    return it.Engine(record.id.encode(), zone, record.cell, 0, state, record.started, record.weight)


def query(number: int) -> it.BatchReceived:
    return it.BatchReceived(number, 0, 0, 0, 10.0, 0.1, 10.0, float(number), False)


class Trial:
    """One front's decisions, told one list."""

    def __init__(self, engines: list[it.Engine], fronts: int) -> None:
        self.engines, self.fronts, self.now = engines, fronts, 1e6
        self.front = Front(settings(), 1)

    def tell(self, event: it.Event) -> float:
        """The milliseconds of the turn."""
        self.now += 0.1
        return milliseconds(lambda: self.front.handle(self.now, [event]))

    def tell_list(self, version: int, kind: it.ListKind = it.ListKind.WHOLE) -> float:
        engines = self.engines[:1] if kind is it.ListKind.CHANGES else self.engines
        return self.tell(it.EngineListReceived(kind, version, tuple(engines), self.fronts))

    def drain_first(self, drains: bool) -> None:
        state = it.EngineState.DRAINING if drains else it.EngineState.READY
        self.engines[0] = self.engines[0]._replace(state=state)

    def play(self) -> dict[str, float]:
        """All the turns of one trial."""
        found = {"first_ms": self.tell_list(1)}
        found["query_after_list_ms"] = self.tell(query(1))
        self.drain_first(True)
        found["whole_one_changed_ms"] = self.tell_list(2)
        self.drain_first(False)
        found["change_ms"] = self.tell_list(3, it.ListKind.CHANGES)
        found["query_new_tables_ms"] = self.tell(query(2))
        found["query_ms"] = self.tell(query(3)._replace(table_group=2.0))
        return found


def memory_of(engines: list[it.Engine], fronts: int) -> float:
    """Megabytes that a told list takes in the decisions, without the list itself."""
    trial = Trial(engines, fronts)
    told = it.EngineListReceived(it.ListKind.WHOLE, 1, tuple(engines), fronts)
    tracemalloc.start()
    trial.front.handle(1.0, [told])
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory / 1e6


def cost(engines: list[it.Engine], fronts: int) -> dict[str, float]:
    """The median of each turn over some trials, the longest of any, and the memory."""
    trials = [Trial(list(engines), fronts).play() for _ in range(TIMES)]
    found = {name: median(trial[name] for trial in trials) for name in trials[0]}
    found["longest_ms"] = max(figure for trial in trials for figure in trial.values())
    found["memory_mb"] = memory_of(engines, fronts)
    return {"engines": len(engines), "fronts": fronts, **{name: round(f, 4) for name, f in found.items()}}


def subset_of(records: list[EngineRecord], seed: int) -> Subset:
    """What one front holds."""
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
        before = cost([entry(record) for record in records], 0)
        after = cost([entry(record) for record in records if record.id in held], subset.fronts)
        figures[count] = {"before": before, "after": after}
        print(json.dumps({"engines": count, **figures[count]}), flush=True)
        for name in ("whole_one_changed_ms", "change_ms"):
            if after[name] >= MOST_CHANGE:
                broken.append(f"{count}: {name} is {after[name]}")
        if after["longest_ms"] > MOST_TURN:
            broken.append(f"{count}: one turn took {after['longest_ms']} ms")
    close("list_cost", seed, broken, {"sizes": figures})


if __name__ == "__main__":
    main()
