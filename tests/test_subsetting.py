"""Subsetting: which engines each front holds, and how many fronts hold each engine."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from thistlelever.distribution.records import EngineRecord
from thistlelever.subsetting import EngineRing, FrontIdentity, Requirement, Subset, SubsetParameters

FRONTS = 600


def record(number: int, zone: str = "zone-0", **figures) -> EngineRecord:
    engine = EngineRecord(f"engine-{number:05d}", zone, 0, "kind-0", "127.0.0.1:1", False, 0.0, 1.0)
    return engine._replace(**figures)


def fleet(engines: int, zones: int = 6, cells: int = 4, kinds: int = 3) -> list[EngineRecord]:
    """Engines spread over zones, cells and kinds independently of each other."""
    return [
        record(
            number,
            f"zone-{number % zones}",
            cell=number // zones % cells,
            kind=f"kind-{number // (zones * cells) % kinds}",
        )
        for number in range(engines)
    ]


def ring_of(records: list[EngineRecord], **terms) -> EngineRing:
    ring = EngineRing(SubsetParameters(**{"fronts": FRONTS, **terms}))
    for engine in records:
        ring.put(engine)
    return ring


def front_identities(fronts: int = FRONTS, zones: int = 6) -> list[FrontIdentity]:
    return [
        FrontIdentity(f"front-{rank}", f"zone-{rank % zones}", rank, rank // zones) for rank in range(fronts)
    ]


def subsets(
    ring: EngineRing,
    requirements: tuple[Requirement, ...] = (),
    whole_cells: bool = False,
    fronts: int = FRONTS,
    zones: int = 6,
) -> list[Subset]:
    return [ring.subset(front, requirements, whole_cells) for front in front_identities(fronts, zones)]


def fronts_per_engine(held: list[Subset]) -> Counter[str]:
    """The number of fronts that hold each engine."""
    return Counter(engine_id for subset in held for engine_id in subset.ids)


def test_few_engines_are_held_by_every_front():
    ring = ring_of(fleet(96))
    for subset in subsets(ring):
        assert subset == Subset(tuple(sorted(engine.id for engine in fleet(96))), FRONTS)


def test_a_front_holds_about_as_many_as_the_terms_say():
    sizes = [len(subset.ids) for subset in subsets(ring_of(fleet(3000)))]
    assert 90 <= sum(sizes) / len(sizes) <= 102
    assert min(sizes) >= 48 and max(sizes) <= 160


def test_the_order_of_the_records_changes_nothing():
    records = fleet(2000)
    again = ring_of([])
    for engine in reversed(records):
        again.put(engine._replace(draining=True, zone="zone-elsewhere"))
        again.put(engine)
    for number in range(5000, 5200):
        again.put(record(number))
    for number in range(5000, 5200):
        again.discard(record(number).id)
    needs = (Requirement(frozenset({"zone-1"}), frozenset({"kind-2"})),)
    for whole_cells in (False, True):
        held = subsets(ring_of(records), needs, whole_cells, 200)
        assert held == subsets(again, needs, whole_cells, 200)


PROGRAM = """
import hashlib, test_subsetting as t
needs = (t.Requirement(frozenset({"zone-1", "zone-2"}), frozenset({"kind-1", "kind-2"})),)
ring = t.ring_of(sorted(set(t.fleet(1500)), key=hash))
unranked = ring.subset(t.FrontIdentity("unranked", "zone-1", -1), needs, False)
held = t.subsets(ring, needs, True, 150) + [unranked]
print(hashlib.sha256(repr(held).encode()).hexdigest())
"""


def test_the_hash_seed_changes_nothing():
    here = Path(__file__).parent
    path = os.pathsep.join([str(here.parent), str(here)])
    digests = set()
    for seed in ("0", "1", "4711"):
        environment = {**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": path}
        run = subprocess.run(
            [sys.executable, "-c", PROGRAM], env=environment, capture_output=True, text=True, check=True
        )
        digests.add(run.stdout)
    assert len(digests) == 1


def evenness_faults(held: list[Subset], engines: int) -> list[str]:
    """The violations of an even spread: engines held by no front, or by far more fronts than the mean."""
    counts = fronts_per_engine(held)
    mean = sum(counts.values()) / engines
    faults = []
    if len(counts) < engines:
        faults.append(f"{engines - len(counts)} engines are held by no front")
    if max(counts.values()) > 1.35 * mean:
        faults.append(f"one engine is held by {max(counts.values()) / mean:.2f} times the mean")
    return faults


@pytest.mark.parametrize("engines", [97, 300, 3000])
def test_every_engine_is_held_by_about_as_many_fronts(engines):
    assert evenness_faults(subsets(ring_of(fleet(engines))), engines) == []


def test_a_subset_drawn_by_hash_order_is_caught():
    """Fault injection: every front takes the same first engines of a set, in hash order."""
    engines = {engine.id for engine in fleet(3000)}
    drawn = [Subset(tuple(sorted(list(engines)[:96])), FRONTS) for _ in range(FRONTS)]
    assert evenness_faults(drawn, 3000) != []


def test_an_engine_that_goes_and_comes_back_touches_few_fronts():
    records = fleet(3000)
    ring = ring_of(records)
    before = subsets(ring)
    fraction = 96 / 3000
    for engine in records[::500]:
        ring.discard(engine.id)
        after = subsets(ring)
        changes = [len(set(a.ids) ^ set(b.ids)) for a, b in zip(before, after, strict=True)]
        # Fronts that held it, and fronts whose arcs, wider with fewer engines, now include another one.
        assert sum(map(bool, changes)) <= 4 * fraction * FRONTS
        assert max(changes) <= 4
        assert all(engine.id not in subset.ids for subset in after)
        ring.put(engine)
        assert subsets(ring) == before


def test_a_change_that_alters_no_subset_leaves_the_revision():
    ring = ring_of(fleet(200))
    revision = ring.revision
    ring.put(fleet(200)[7]._replace(address="127.0.0.1:2", weight=0.5, started=9.0))
    ring.discard("engine-unknown")
    assert ring.revision == revision
    ring.put(fleet(200)[7]._replace(draining=True))
    assert ring.revision > revision


def test_one_engine_that_drains_changes_no_subset():
    records = fleet(3000)
    ring = ring_of(records)
    before = [subset.ids for subset in subsets(ring)]
    ring.put(records[17]._replace(draining=True))
    assert [subset.ids for subset in subsets(ring)] == before


def test_a_zone_that_drains_changes_few_engines_and_leaves_enough_ready():
    records = fleet(3000)
    ring = ring_of(records)
    before = subsets(ring)
    for engine in records:
        if engine.zone == "zone-2":
            ring.put(engine._replace(draining=True))
    after = subsets(ring)
    drained = {engine.id for engine in records if engine.zone == "zone-2"}
    for was, now in zip(before, after, strict=True):
        assert set(was.ids) <= set(now.ids)
        assert len(set(now.ids) - drained) >= 48


def test_where_every_engine_drains_subsets_stay_as_they_are():
    records = fleet(1000)
    ring = ring_of(records)
    before = [subset.ids for subset in subsets(ring)]
    for engine in records:
        ring.put(engine._replace(draining=True))
    needs = (Requirement(None, frozenset({"kind-1"})),)
    assert [subset.ids for subset in subsets(ring, needs)] == before


def test_where_all_but_a_few_drain_every_front_holds_those():
    records = fleet(1000)
    ready = {engine.id for engine in records[::300]}
    ring = ring_of([engine._replace(draining=engine.id not in ready) for engine in records])
    for subset in subsets(ring):
        assert ready <= set(subset.ids)
        assert subset.fronts == FRONTS


def test_cold_engines_count_as_any_other():
    records = fleet(1000)
    cold = ring_of([engine._replace(started=1e9) for engine in records])
    assert subsets(cold) == subsets(ring_of(records))


def test_a_front_holds_engines_of_several_zones():
    small = [record(number, "zone-1") for number in range(5000, 5006)]
    ring = ring_of([*(record(number) for number in range(2000)), *small])
    zones = {engine.id: engine.zone for engine in small}
    for subset in subsets(ring, zones=2):
        assert sum(engine_id in zones for engine_id in subset.ids) >= 4


def test_half_of_what_a_front_holds_is_in_its_own_zone():
    zones = {engine.id: engine.zone for engine in fleet(6000)}
    ring = ring_of(fleet(6000))
    at_home = 0
    for front in front_identities():
        ids = ring.subset(front, (), False).ids
        at_home += sum(zones[engine_id] == front.zone for engine_id in ids) / len(ids)
    assert 0.5 <= at_home / FRONTS <= 0.65


def test_a_front_in_a_zone_without_engines_holds_as_many():
    ring = ring_of(fleet(3000))
    sizes = [len(ring.subset(front._replace(zone="empty"), (), False).ids) for front in front_identities()]
    assert 90 <= sum(sizes) / len(sizes) <= 102


@pytest.mark.parametrize("cells", [1, 5, 90])
def test_whole_cells(cells):
    records = fleet(1500, cells=cells)
    cell_of = {engine.id: (engine.zone, engine.cell) for engine in records}
    sizes = Counter(cell_of.values())
    held = subsets(ring_of(records), (), True)
    for subset in held:
        for cell, count in Counter(cell_of[engine_id] for engine_id in subset.ids).items():
            assert count >= min(2, sizes[cell])
    assert 80 <= sum(len(subset.ids) for subset in held) / FRONTS <= 105


def test_requirements_are_met_where_there_are_engines_for_them():
    records = [*fleet(2000), *(record(n, "zone-3", kind="rare") for n in range(7000, 7009))]
    records.append(record(8000, "zone-4", kind="only"))
    by_id = {engine.id: engine for engine in records}
    needs = {
        Requirement(None, frozenset({"rare"})): 4,
        Requirement(frozenset({"zone-4"}), frozenset({"only"})): 1,
        Requirement(frozenset({"zone-2"}), None): 4,
        Requirement(frozenset({"nowhere"}), None): 0,
    }
    for subset in subsets(ring_of(records), tuple(needs)):
        for requirement, least in needs.items():
            assert sum(requirement.matches(by_id[engine_id]) for engine_id in subset.ids) >= least


def test_a_front_of_unknown_rank_has_a_place_by_its_name_and_counts_every_front():
    ring = ring_of(fleet(3000))
    one, other = (ring.subset(FrontIdentity(name, "zone-1", -1), (), False) for name in ("a", "b"))
    assert one == ring.subset(FrontIdentity("a", "zone-1", -1), (), False)
    assert one.ids != other.ids
    assert one.fronts == FRONTS


def test_a_rank_in_the_zone_counts_only_where_every_front_has_one():
    front = FrontIdentity("a", "zone-1", 7, 1)
    unranked, ranked = ring_of(fleet(3000)), ring_of(fleet(3000), zone_fronts=FRONTS // 6)
    without = front._replace(zone_rank=-1)
    assert unranked.subset(front, (), False) == unranked.subset(without, (), False)
    assert ranked.subset(front, (), False) != ranked.subset(without, (), False)
    assert ranked.subset(without, (), False).fronts == FRONTS


@st.composite
def fleets(draw) -> list[EngineRecord]:
    zones, cells = draw(st.integers(1, 4)), draw(st.integers(1, 30))
    drained = draw(st.sampled_from([0, 1, 3, 10]))
    heavy = draw(st.booleans())
    records = []
    for number in range(draw(st.integers(5, 250))):
        zone = 0 if heavy and number % 40 else number % zones
        kind = "rare" if number % 50 == 0 else "usual"
        figures = {"cell": number // 7 % cells, "kind": kind, "draining": number * 7 % 10 < drained}
        records.append(record(number, f"zone-{zone}", **figures))
    return records


REQUIREMENTS = (
    Requirement(None, frozenset({"rare"})),
    Requirement(frozenset({"zone-1", "zone-2"}), None),
    Requirement(frozenset({"zone-0"}), frozenset({"rare", "usual"})),
)


@settings(max_examples=60, deadline=None)
@given(fleets(), st.integers(1, 3), st.booleans(), st.integers(1, 3), st.integers(4, 40), st.booleans())
def test_no_engine_is_held_by_more_fronts_than_a_subset_says(
    records, zones, whole_cells, needs, engines, ranked
):
    fronts = 60
    ring = ring_of(records, engines=engines, fronts=fronts, zone_fronts=-(-fronts // zones) if ranked else 0)
    held = subsets(ring, REQUIREMENTS[:needs], whole_cells, fronts, zones)
    counts = fronts_per_engine(held)
    for subset in held:
        assert max(counts[engine_id] for engine_id in subset.ids) <= subset.fronts <= fronts


def test_the_bound_is_not_far_above_the_true_count():
    ring = ring_of(fleet(3000), zone_fronts=FRONTS // 6)
    held = subsets(ring)
    assert max(subset.fronts for subset in held) <= 2.5 * FRONTS * 96 / 3000
