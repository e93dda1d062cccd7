"""Subsetting algorithms for `rigs.subsetting_model`: those of the literature, and `EngineRing`.

Each takes the records of all engines and returns the ids of the engines in one front's subset.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Sequence
from typing import Protocol

from thistlelever.distribution.records import EngineRecord
from thistlelever.subsetting import EngineRing, FrontIdentity, SubsetParameters
from thistlelever.subsetting.ring import RING_SIZE, FrontPositions, Ring, engine_positions
from thistlelever.subsetting.subsets import GLOBAL_STEP, ZONE_STEP

ENGINES = SubsetParameters().engines


class SubsettingAlgorithm(Protocol):
    """A subsetting algorithm."""

    def put(self, record: EngineRecord) -> None: ...

    def discard(self, engine_id: str) -> None: ...

    def subset(self, front: FrontIdentity) -> Sequence[str]: ...


class SortedIds:
    """Base class of the algorithms that need only the sorted engine ids."""

    def __init__(self, fronts: int) -> None:
        self.ids: list[str] = []

    def put(self, record: EngineRecord) -> None:
        self.ids.insert(bisect_left(self.ids, record.id), record.id)

    def discard(self, engine_id: str) -> None:
        del self.ids[bisect_left(self.ids, engine_id)]


class FirstEngines(SortedIds):
    """Sabotage: every front gets the same engines, the first by id."""

    def subset(self, front: FrontIdentity) -> Sequence[str]:
        return self.ids[:ENGINES]


class RandomSubsets(SortedIds):
    """Each front draws a random sample, seeded with its name."""

    def subset(self, front: FrontIdentity) -> Sequence[str]:
        if len(self.ids) <= ENGINES:
            return self.ids
        return random.Random(front.name).sample(self.ids, ENGINES)


class Rendezvous(SortedIds):
    """Highest random weight (Thaler and Ravishankar 1998): the engines with the highest hashes of front and
    engine. Vectorized, as plain Python would take minutes."""

    def __init__(self, fronts: int) -> None:
        super().__init__(fronts)
        self.hashes = None

    def put(self, record: EngineRecord) -> None:
        super().put(record)
        self.hashes = None

    def discard(self, engine_id: str) -> None:
        super().discard(engine_id)
        self.hashes = None

    def subset(self, front: FrontIdentity) -> Sequence[str]:
        # Imported here because NumPy is only installed with the `plot` extra.
        import numpy

        if len(self.ids) <= ENGINES:
            return self.ids
        if self.hashes is None:
            positions = [engine_positions(engine_id)[0] for engine_id in self.ids]
            self.hashes = numpy.array(positions, dtype=numpy.uint64)
        mixed = self.hashes ^ numpy.uint64(engine_positions(front.name)[0])
        # The finalizer of MurmurHash3.
        for factor in (0xFF51AFD7ED558CCD, 0xC4CEB9FE1A85EC53):
            mixed ^= mixed >> numpy.uint64(33)
            mixed *= numpy.uint64(factor)
        mixed ^= mixed >> numpy.uint64(33)
        best = numpy.argpartition(mixed, len(self.ids) - ENGINES)[-ENGINES:]
        return [self.ids[index] for index in best]


class DeterministicSubsets(SortedIds):
    """Deterministic subsetting: the fronts of a round split one shuffled list of all engines (Site
    Reliability Engineering, chapter 20)."""

    def __init__(self, fronts: int) -> None:
        super().__init__(fronts)
        self.rounds: dict[int, list[str]] = {}

    def put(self, record: EngineRecord) -> None:
        super().put(record)
        self.rounds.clear()

    def discard(self, engine_id: str) -> None:
        super().discard(engine_id)
        self.rounds.clear()

    def subset(self, front: FrontIdentity) -> Sequence[str]:
        subsets = len(self.ids) // ENGINES
        if subsets <= 1:
            return self.ids[:ENGINES]
        round_number, index = divmod(front.rank, subsets)
        if round_number not in self.rounds:
            self.rounds[round_number] = self.ids.copy()
            random.Random(round_number).shuffle(self.rounds[round_number])
        return self.rounds[round_number][index * ENGINES : (index + 1) * ENGINES]


class HashRing:
    """Consistent hashing: an arc with a fixed number of engines, on a ring ordered by the engines' hashes."""

    def __init__(self, fronts: int) -> None:
        self.ring = Ring()
        self.fronts = FrontPositions(GLOBAL_STEP, 0)

    def put(self, record: EngineRecord) -> None:
        self.ring.add(engine_positions(record.id)[0], record.id)

    def discard(self, engine_id: str) -> None:
        self.ring.remove(engine_positions(engine_id)[0], engine_id)

    def first_index(self, start: int) -> int:
        return bisect_left(self.ring.positions, start)

    def subset(self, front: FrontIdentity) -> Sequence[str]:
        return arc(self.ring, self.first_index(self.fronts.position(front.rank)), ENGINES)


class EvenRing(HashRing):
    """An arc with a fixed number of engines, on a ring on which the engines are evenly spaced."""

    def first_index(self, start: int) -> int:
        return start * len(self.ring) // RING_SIZE


class TwoArcsByCount(HashRing):
    """Half of the subset from the front's own zone and half from all zones, each an arc with a fixed number
    of engines."""

    def __init__(self, fronts: int) -> None:
        super().__init__(fronts)
        self.home_fronts = FrontPositions(ZONE_STEP, 0)
        self.zones: dict[str, Ring] = {}
        self.zone_of: dict[str, str] = {}

    def put(self, record: EngineRecord) -> None:
        super().put(record)
        self.zone_of[record.id] = record.zone
        self.zones.setdefault(record.zone, Ring()).add(engine_positions(record.id)[0], record.id)

    def discard(self, engine_id: str) -> None:
        super().discard(engine_id)
        self.zones[self.zone_of.pop(engine_id)].remove(engine_positions(engine_id)[0], engine_id)

    def subset(self, front: FrontIdentity) -> Sequence[str]:
        home = self.zones.get(front.zone, Ring())
        start = bisect_left(home.positions, self.home_fronts.position(front.zone_rank))
        held = dict.fromkeys(arc(home, start, ENGINES // 2))
        index = self.first_index(self.fronts.position(front.rank))
        for engine_id in arc(self.ring, index, 2 * ENGINES):
            if len(held) == ENGINES:
                break
            held[engine_id] = None
        return list(held)


class ProductSubsets:
    """The product's algorithm, `EngineRing`: two arcs of fixed widths."""

    def __init__(self, fronts: int) -> None:
        zone_fronts = -(-fronts // ZONES)
        self.ring = EngineRing(SubsetParameters(fronts=fronts, zone_fronts=zone_fronts))
        self.put, self.discard = self.ring.put, self.ring.discard

    def subset(self, front: FrontIdentity) -> Sequence[str]:
        return self.ring.ids(front, (), False)

    def bound(self, front: FrontIdentity) -> int:
        """The upper bound that comes with a front's subset: how many fronts hold any one of its engines."""
        return self.ring.max_fronts(front, self.ring.ids(front, (), False), (), False)


def arc(ring: Ring, index: int, count: int) -> list[str]:
    """`count` engine ids from an index of the ring on, wrapping around; none occurs twice."""
    count = min(count, len(ring))
    return ring.ids[index : index + count] + ring.ids[: max(index + count - len(ring), 0)]


ZONES = 23
ALGORITHMS = {
    "random": RandomSubsets,
    "rendezvous": Rendezvous,
    "deterministic": DeterministicSubsets,
    "hash_ring": HashRing,
    "even_ring": EvenRing,
    "two_arcs_by_count": TwoArcsByCount,
    "chosen": ProductSubsets,
}
