"""Ways to choose the engines of each front, at sizes that processes don't reach: how even, how stable, and
what they cost.

`python -m rigs.subsetting_model --seed 1` plays every way with 30, 300, 3,000 and 22,000 engines in 23 zones
and 3,200 fronts: it counts the fronts of each engine, and what changes where one engine, one front or a whole
zone goes and comes back. It holds where `thistlelever.subsetting` keeps what it claims.
"""

from __future__ import annotations

import json
import tracemalloc
from collections import Counter
from collections.abc import Callable, Sequence
from time import process_time

import click

from rigs.results import Chance, report_and_exit
from rigs.subsetting_ways import ENGINES, WAYS, ZONES, Chosen, FirstEngines, Way
from thistlelever.distribution.records import EngineRecord
from thistlelever.subsetting import FrontIdentity

Held = list[frozenset[str]]
# How many engines go and come back, one after the other.
SINGLES = 3
# What the chosen way claims. The most fronts of an engine, as a multiple of the mean.
MOST_LOAD = 1.35
# How many fronts one engine's change touches, as a multiple of those that hold one engine.
MOST_TOUCHED = 4.0
# How many engines a zone's loss changes in a front's subset, as a multiple of those that it held of a zone.
MOST_CHANGED = 4.0
# Seconds of CPU to take one engine in or out.
MOST_CHANGE_CPU = 0.001


def engines_of(count: int, seed: int) -> list[EngineRecord]:
    """Engines in turn over all zones."""
    return [
        EngineRecord(
            f"engine-{seed}-{place:05d}",
            f"zone-{place % ZONES}",
            place // ZONES % 50,
            "std",
            "127.0.0.1:1",
            False,
            0.0,
            1.0,
        )
        for place in range(count)
    ]


def front_places(count: int) -> list[FrontIdentity]:
    """Fronts in turn over all zones."""
    return [
        FrontIdentity(f"front-{rank}", f"zone-{rank % ZONES}", rank, rank // ZONES) for rank in range(count)
    ]


def cpu_of(work: Callable[[], object]) -> float:
    """Seconds of this process's CPU time."""
    begun = process_time()
    work()
    return process_time() - begun


def held_by(way: Way, fronts: Sequence[FrontIdentity]) -> Held:
    """What each front holds."""
    return [frozenset(way.subset(front)) for front in fronts]


def changed(before: Held, after: Held) -> dict[str, float]:
    """How many engines differ in the fronts' subsets."""
    counts = [len(a ^ b) for a, b in zip(before, after, strict=True)]
    touched = sum(map(bool, counts))
    return {
        "touched": round(touched / len(counts), 5),
        "engines_mean": round(sum(counts) / len(counts), 4),
        "engines_most": max(counts),
    }


def evenness(held: Held, engines: Sequence[EngineRecord]) -> dict[str, float]:
    """How many fronts hold an engine, and how much of the fronts' queries it gets where each front spreads
    its own evenly: the most and the least, as multiples of the mean."""
    fronts: Counter[str] = Counter()
    queries: Counter[str] = Counter()
    for subset in held:
        fronts.update(subset)
        for engine_id in subset:
            queries[engine_id] += 1 / len(subset)
    sizes = [len(subset) for subset in held]
    found = {"engines_least": min(sizes), "engines_mean": sum(sizes) / len(sizes), "engines_most": max(sizes)}
    for name, counts in (("load", fronts), ("queries", queries)):
        mean = sum(counts.values()) / len(engines)
        found[f"{name}_max_over_mean"] = max(counts.values()) / mean
        found[f"{name}_min_over_mean"] = min(counts[engine.id] for engine in engines) / mean
    return {name: round(figure, 4) for name, figure in found.items()}


def filled(make: Callable[[int], Way], fronts: int, engines: Sequence[EngineRecord]) -> Way:
    way = make(fronts)
    for engine in engines:
        way.put(engine)
    return way


def costs(
    make: Callable[[int], Way], engines: Sequence[EngineRecord], fronts: Sequence[FrontIdentity]
) -> dict:
    """CPU of one change and of one subset, and the memory of the whole."""
    tracemalloc.start()
    way = filled(make, len(fronts), engines)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    some = engines[:: max(len(engines) // 200, 1)]
    out = cpu_of(lambda: [way.discard(engine.id) for engine in some])
    back = cpu_of(lambda: [way.put(engine) for engine in some])
    asked = fronts[:: max(len(fronts) // 400, 1)]
    way.subset(asked[0])
    subset = cpu_of(lambda: [way.subset(front) for front in asked])
    return {
        "put_us": round(back / len(some) * 1e6, 1),
        "discard_us": round(out / len(some) * 1e6, 1),
        "subset_us": round(subset / len(asked) * 1e6, 1),
        "memory_mb": round(memory / 1e6, 3),
    }


def worst(found: Sequence[dict[str, float]]) -> dict[str, float]:
    """The largest of each figure."""
    return {name: max(figures[name] for figures in found) for name in found[0]}


def stability(way: Way, before: Held, engines: Sequence[EngineRecord], places, chance: Chance) -> dict:
    """What changes where engines go and come back."""
    single, same_after = [], True
    for turn in range(SINGLES):
        engine = engines[chance.below(len(engines), "engine", len(engines), turn)]
        way.discard(engine.id)
        single.append(changed(before, held_by(way, places)))
        way.put(engine)
    same_after &= held_by(way, places) == before
    lost = [engine for engine in engines if engine.zone == f"zone-{chance.below(ZONES, 'zone')}"]
    for engine in lost:
        way.discard(engine.id)
    zone = changed(before, held_by(way, places))
    for engine in lost:
        way.put(engine)
    same_after &= held_by(way, places) == before
    return {"one_engine": worst(single), "zone": {"engines": len(lost), **zone}, "same_after": same_after}


def play(make: Callable[[int], Way], count: int, fronts: int, seed: int) -> dict:
    """One way at one size."""
    engines, places = engines_of(count, seed), front_places(fronts)
    way = filled(make, fronts, engines)
    before = held_by(way, places)
    found = {"load": evenness(before, engines), **stability(way, before, engines, places, Chance(seed))}
    found["one_front"] = changed(before, held_by(filled(make, fronts + 1, engines), places))
    found["cost"] = costs(make, engines, places)
    if isinstance(way, Chosen):
        found["bound"] = bounds(way, before, places)
    return found


def bounds(way: Chosen, held: Held, places: Sequence[FrontIdentity]) -> dict:
    """How the bounds that came with the subsets compare with the true counts."""
    counts = Counter(engine_id for subset in held for engine_id in subset)
    true = [max(counts[engine_id] for engine_id in subset) for subset in held]
    told: list[int] = []
    cpu = cpu_of(lambda: told.extend(way.bound(front) for front in places))
    return {
        "bound_us": round(cpu / len(places) * 1e6, 1),
        "most_true": max(true),
        "most_told": max(told),
        "safe": all(count <= bound for count, bound in zip(true, told, strict=True)),
    }


def faults(count: int, found: dict) -> list[str]:
    """Which claims of the chosen way do not hold at one size."""
    share = min(ENGINES / count, 1.0)
    load, single, zone = found["load"], found["one_engine"], found["zone"]
    held_of_zone = ENGINES * zone["engines"] / count
    checks = {
        "about as many engines as wanted": 0.9 <= load["engines_mean"] / min(ENGINES, count) <= 1.1,
        "every engine held": load["load_min_over_mean"] > 0,
        "even": load["load_max_over_mean"] <= MOST_LOAD,
        "one engine touches few fronts": single["touched"] <= MOST_TOUCHED * share,
        "a zone's loss changes little": zone["engines_mean"] <= MOST_CHANGED * held_of_zone,
        "back as it was": found["same_after"],
        "one front touches no other": found["one_front"]["touched"] == 0,
        "fronts counted safely": found.get("bound", {"safe": True})["safe"],
        "a change is cheap": max(found["cost"]["put_us"], found["cost"]["discard_us"])
        <= MOST_CHANGE_CPU * 1e6,
    }
    return [f"{count}: {claim}" for claim, holds in checks.items() if not holds]


@click.command()
@click.option("--seed", default=1)
@click.option("--fronts", default=3200)
@click.option("--engines", multiple=True, type=int, default=(30, 300, 3_000, 22_000))
@click.option("--only", is_flag=True, help="Nothing but the chosen way.")
@click.option("--sabotage", is_flag=True, help="Every front holds the same engines: the rig must say no.")
def main(seed: int, fronts: int, engines: tuple[int, ...], only: bool, sabotage: bool) -> None:
    ways = {"chosen": WAYS["chosen"]} if only else dict(WAYS)
    if sabotage:
        ways["chosen"] = FirstEngines
    figures: dict[str, dict[int, dict]] = {name: {} for name in ways}
    broken = []
    for count in engines:
        for name, make in ways.items():
            figures[name][count] = found = play(make, count, fronts, seed)
            print(json.dumps({"way": name, "engines": count, **found}), flush=True)
            if name == "chosen":
                broken += faults(count, found)
    report_and_exit("subsetting_model", seed, broken, {"fronts": fronts, "ways": figures})


if __name__ == "__main__":
    main()
