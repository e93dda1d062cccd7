"""Compares subsetting algorithms at sizes that cannot be run as processes: balance, stability and cost.

`python -m rigs.subsetting_model --seed 1` runs every algorithm with 30, 300, 3,000 and 22,000 engines in 23
zones and 3,200 fronts. It counts the fronts that hold each engine, and what changes when one engine, one
front or a whole zone leaves and returns. It passes if `thistlelever.subsetting` keeps the bounds below.
"""

from __future__ import annotations

import json
import tracemalloc
from collections import Counter
from collections.abc import Callable, Sequence
from time import process_time

import click

from rigs.subsetting_ways import ALGORITHMS, ENGINES, ZONES, FirstEngines, ProductSubsets, SubsettingAlgorithm
from rigs.results import Chance, report_and_exit
from thistlelever.distribution.records import EngineRecord
from thistlelever.subsetting import FrontIdentity

Subsets = list[frozenset[str]]
# How many single engines leave and return, one after the other.
SINGLES = 3
# Bounds of the product's algorithm. The most fronts that hold one engine, as a multiple of the mean.
MOST_LOAD = 1.35
# The most fronts that the change of one engine affects, as a multiple of those that hold an engine.
MOST_TOUCHED = 4.0
# The most engines that the loss of a zone changes in a front's subset, as a multiple of the engines of one
# zone in a subset.
MOST_CHANGED = 4.0
# Seconds of CPU time to add or remove one engine.
MOST_CHANGE_CPU = 0.001


def engines_of(count: int, seed: int) -> list[EngineRecord]:
    """Records of engines, spread round-robin over all zones."""
    return [
        EngineRecord(
            f"engine-{seed}-{index:05d}",
            f"zone-{index % ZONES}",
            index // ZONES % 50,
            "std",
            "127.0.0.1:1",
            False,
            0.0,
            1.0,
        )
        for index in range(count)
    ]


def front_identities(count: int) -> list[FrontIdentity]:
    """Identities of fronts, spread round-robin over all zones."""
    return [
        FrontIdentity(f"front-{rank}", f"zone-{rank % ZONES}", rank, rank // ZONES) for rank in range(count)
    ]


def cpu_seconds(work: Callable[[], object]) -> float:
    """Seconds of this process's CPU time that a call takes."""
    started = process_time()
    work()
    return process_time() - started


def subsets_of(algorithm: SubsettingAlgorithm, fronts: Sequence[FrontIdentity]) -> Subsets:
    """The subset of each front."""
    return [frozenset(algorithm.subset(front)) for front in fronts]


def changed(before: Subsets, after: Subsets) -> dict[str, float]:
    """Share of fronts whose subset differs, and how many engines differ per front."""
    counts = [len(a ^ b) for a, b in zip(before, after, strict=True)]
    touched = sum(map(bool, counts))
    return {
        "touched": round(touched / len(counts), 5),
        "engines_mean": round(sum(counts) / len(counts), 4),
        "engines_most": max(counts),
    }


def evenness(held: Subsets, engines: Sequence[EngineRecord]) -> dict[str, float]:
    """How many fronts hold an engine, and which part of all queries it gets if each front spreads its own
    evenly: the maximum and the minimum, as multiples of the mean."""
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


def filled(
    make: Callable[[int], SubsettingAlgorithm], fronts: int, engines: Sequence[EngineRecord]
) -> SubsettingAlgorithm:
    """The algorithm for a number of fronts that holds all engines."""
    algorithm = make(fronts)
    for engine in engines:
        algorithm.put(engine)
    return algorithm


def cost_figures(
    make: Callable[[int], SubsettingAlgorithm],
    engines: Sequence[EngineRecord],
    fronts: Sequence[FrontIdentity],
) -> dict:
    """CPU time of one change and of one subset in microseconds, and memory of the whole in megabytes."""
    tracemalloc.start()
    algorithm = filled(make, len(fronts), engines)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    sampled_engines = engines[:: max(len(engines) // 200, 1)]
    discard = cpu_seconds(lambda: [algorithm.discard(engine.id) for engine in sampled_engines])
    put = cpu_seconds(lambda: [algorithm.put(engine) for engine in sampled_engines])
    sampled_fronts = fronts[:: max(len(fronts) // 400, 1)]
    algorithm.subset(sampled_fronts[0])
    subset = cpu_seconds(lambda: [algorithm.subset(front) for front in sampled_fronts])
    return {
        "put_us": round(put / len(sampled_engines) * 1e6, 1),
        "discard_us": round(discard / len(sampled_engines) * 1e6, 1),
        "subset_us": round(subset / len(sampled_fronts) * 1e6, 1),
        "memory_mb": round(memory / 1e6, 3),
    }


def maxima(found: Sequence[dict[str, float]]) -> dict[str, float]:
    """The maximum of each figure."""
    return {name: max(figures[name] for figures in found) for name in found[0]}


def stability(
    algorithm: SubsettingAlgorithm,
    before: Subsets,
    engines: Sequence[EngineRecord],
    identities: Sequence[FrontIdentity],
    chance: Chance,
) -> dict:
    """What changes in the subsets when single engines and a whole zone leave and return."""
    single, same_after = [], True
    for turn in range(SINGLES):
        engine = engines[chance.below(len(engines), "engine", len(engines), turn)]
        algorithm.discard(engine.id)
        single.append(changed(before, subsets_of(algorithm, identities)))
        algorithm.put(engine)
    same_after &= subsets_of(algorithm, identities) == before
    lost = [engine for engine in engines if engine.zone == f"zone-{chance.below(ZONES, 'zone')}"]
    for engine in lost:
        algorithm.discard(engine.id)
    zone = changed(before, subsets_of(algorithm, identities))
    for engine in lost:
        algorithm.put(engine)
    same_after &= subsets_of(algorithm, identities) == before
    return {"one_engine": maxima(single), "zone": {"engines": len(lost), **zone}, "same_after": same_after}


def measure(make: Callable[[int], SubsettingAlgorithm], count: int, fronts: int, seed: int) -> dict:
    """All figures of one algorithm at one number of engines."""
    engines, identities = engines_of(count, seed), front_identities(fronts)
    algorithm = filled(make, fronts, engines)
    before = subsets_of(algorithm, identities)
    found = {
        "load": evenness(before, engines),
        **stability(algorithm, before, engines, identities, Chance(seed)),
    }
    found["one_front"] = changed(before, subsets_of(filled(make, fronts + 1, engines), identities))
    found["cost"] = cost_figures(make, engines, identities)
    if isinstance(algorithm, ProductSubsets):
        found["bound"] = bound_figures(algorithm, before, identities)
    return found


def bound_figures(algorithm: ProductSubsets, held: Subsets, identities: Sequence[FrontIdentity]) -> dict:
    """Compares the upper bounds that come with the subsets with the true counts of fronts."""
    counts = Counter(engine_id for subset in held for engine_id in subset)
    true_counts = [max(counts[engine_id] for engine_id in subset) for subset in held]
    bounds_given: list[int] = []
    cpu = cpu_seconds(lambda: bounds_given.extend(algorithm.bound(front) for front in identities))
    return {
        "bound_us": round(cpu / len(identities) * 1e6, 1),
        "most_true": max(true_counts),
        "most_told": max(bounds_given),
        "safe": all(count <= bound for count, bound in zip(true_counts, bounds_given, strict=True)),
    }


def broken_bounds(count: int, found: dict) -> list[str]:
    """The broken bounds of the product's algorithm at one number of engines."""
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
    algorithms = {"chosen": ALGORITHMS["chosen"]} if only else dict(ALGORITHMS)
    if sabotage:
        algorithms["chosen"] = FirstEngines
    figures: dict[str, dict[int, dict]] = {name: {} for name in algorithms}
    broken = []
    for count in engines:
        for name, make in algorithms.items():
            figures[name][count] = found = measure(make, count, fronts, seed)
            print(json.dumps({"way": name, "engines": count, **found}), flush=True)
            if name == "chosen":
                broken += broken_bounds(count, found)
    report_and_exit("subsetting_model", seed, broken, {"fronts": fronts, "ways": figures})


if __name__ == "__main__":
    main()
