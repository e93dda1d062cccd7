"""Ways to choose the engines of each front, one beside the other: those of the literature, and ours.

Each takes the records of all engines and answers with the ids that the front at a place holds.
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


class Way(Protocol):
    """One way to choose subsets."""

    def put(self, record: EngineRecord) -> None: ...

    def discard(self, engine_id: str) -> None: ...

    def subset(self, front: FrontIdentity) -> Sequence[str]: ...


class SortedIds:
    """What ways have in common that need no more than the sorted ids."""

    def __init__(self, fronts: int) -> None:
        self.ids: list[str] = []

    def put(self, record: EngineRecord) -> None:
        self.ids.insert(bisect_left(self.ids, record.id), record.id)

    def discard(self, engine_id: str) -> None:
        del self.ids[bisect_left(self.ids, engine_id)]


class FirstEngines(SortedIds):
    """Sabotage: every front holds the same first engines."""

    def subset(self, front: FrontIdentity) -> Sequence[str]:
        return self.ids[:ENGINES]


class RandomSubsets(SortedIds):
    """Each front draws by itself, from a seed of its name."""

    def subset(self, front: FrontIdentity) -> Sequence[str]:
        if len(self.ids) <= ENGINES:
            return self.ids
        return random.Random(front.name).sample(self.ids, ENGINES)


class Rendezvous(SortedIds):
    """Highest random weight (Thaler and Ravishankar 1998): the engines of the highest hashes of front and
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
        # NumPy comes with the `plot` extra.
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
        return [self.ids[place] for place in best]


class DeterministicSubsets(SortedIds):
    """Rounds of fronts that divide a shuffled list among them (Site Reliability Engineering, chapter 20)."""

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
        turn, place = divmod(front.rank, subsets)
        if turn not in self.rounds:
            self.rounds[turn] = self.ids.copy()
            random.Random(turn).shuffle(self.rounds[turn])
        return self.rounds[turn][place * ENGINES : (place + 1) * ENGINES]


class HashRing:
    """One arc of a fixed number of engines, on a ring in which engines lie by their hash."""

    def __init__(self, fronts: int) -> None:
        self.ring = Ring()
        self.fronts = FrontPositions(GLOBAL_STEP, 0)

    def put(self, record: EngineRecord) -> None:
        self.ring.add(engine_positions(record.id)[0], record.id)

    def discard(self, engine_id: str) -> None:
        self.ring.remove(engine_positions(engine_id)[0], engine_id)

    def first_place(self, start: int) -> int:
        return bisect_left(self.ring.positions, start)

    def subset(self, front: FrontIdentity) -> Sequence[str]:
        return following(self.ring, self.first_place(self.fronts.position(front.rank)), ENGINES)


class EvenRing(HashRing):
    """One arc of a fixed number of engines, on a ring in which they lie at even distances."""

    def first_place(self, start: int) -> int:
        return start * len(self.ring) // RING_SIZE


class TwoArcsByCount(HashRing):
    """Half from the front's own zone and half from all, each an arc of a fixed number of engines."""

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
        held = dict.fromkeys(following(home, start, ENGINES // 2))
        place = self.first_place(self.fronts.position(front.rank))
        for engine_id in following(self.ring, place, 2 * ENGINES):
            if len(held) == ENGINES:
                break
            held[engine_id] = None
        return list(held)


class Chosen:
    """`EngineRing`: two arcs of fixed widths."""

    def __init__(self, fronts: int) -> None:
        zone_fronts = -(-fronts // ZONES)
        self.ring = EngineRing(SubsetParameters(fronts=fronts, zone_fronts=zone_fronts))
        self.put, self.discard = self.ring.put, self.ring.discard

    def subset(self, front: FrontIdentity) -> Sequence[str]:
        return self.ring.ids(front, (), False)

    def bound(self, front: FrontIdentity) -> int:
        """The most fronts that hold any engine of that front's, as its subset tells."""
        return self.ring.max_fronts(front, self.ring.ids(front, (), False), (), False)


def following(ring: Ring, place: int, count: int) -> list[str]:
    """So many engines from a place on, at most each once."""
    count = min(count, len(ring))
    return ring.ids[place : place + count] + ring.ids[: max(place + count - len(ring), 0)]


ZONES = 23
WAYS = {
    "random": RandomSubsets,
    "rendezvous": Rendezvous,
    "deterministic": DeterministicSubsets,
    "hash_ring": HashRing,
    "even_ring": EvenRing,
    "two_arcs_by_count": TwoArcsByCount,
    "chosen": Chosen,
}
