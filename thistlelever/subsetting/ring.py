"""A ring of engines in the order of their positions, and of positions for fronts."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from hashlib import blake2b

# Positions are whole numbers below this, so that no rounding differs from one machine to the next.
RING_SIZE = 1 << 64


def engine_positions(engine_id: str) -> tuple[int, int]:
    """Where an engine is on the rings of zones and of all, and, independent of that, on its cell's ring.
    Consistent hashing: an engine that comes or goes moves no other."""
    data = blake2b(engine_id.encode(), digest_size=16).digest()
    return int.from_bytes(data[:8], "big"), int.from_bytes(data[8:], "big")


class Ring:
    """Engine ids in the order of their positions; of equal positions, in the order of ids."""

    def __init__(self) -> None:
        """No engines."""
        self.positions: list[int] = []
        self.ids: list[str] = []

    def __len__(self) -> int:
        """How many engines are on the ring."""
        return len(self.ids)

    def add(self, position: int, engine_id: str) -> None:
        """Put in an engine that is not on the ring."""
        index = self._insertion_index(position, engine_id)
        self.positions.insert(index, position)
        self.ids.insert(index, engine_id)

    def remove(self, position: int, engine_id: str) -> None:
        """Take out an engine that is on the ring."""
        index = self._insertion_index(position, engine_id)
        del self.positions[index]
        del self.ids[index]

    def arc(self, start: int, width: int) -> list[str]:
        """The engines from `start` on, up to but without `start + width`."""
        if width >= RING_SIZE:
            return list(self.ids)
        first, end = bisect_left(self.positions, start), start + width
        if end <= RING_SIZE:
            return self.ids[first : bisect_left(self.positions, end)]
        return self.ids[first:] + self.ids[: bisect_left(self.positions, end - RING_SIZE)]

    def iter_from(self, start: int) -> Iterator[tuple[int, str]]:
        """Every engine once, from `start` on, with its distance from there."""
        first = bisect_left(self.positions, start)
        for index in range(first, len(self.ids)):
            yield self.positions[index] - start, self.ids[index]
        for index in range(first):
            yield self.positions[index] + RING_SIZE - start, self.ids[index]

    def distance_back(self, position: int, count: int) -> int:
        """How far back the engine is that is `count` places before `position`; the whole circle where the
        ring has no so many others."""
        index = bisect_left(self.positions, position) - count
        others = len(self.ids) - (
            bisect_right(self.positions, position) - bisect_left(self.positions, position)
        )
        if others < count:
            return RING_SIZE
        return (position - self.positions[index]) % RING_SIZE

    def successor(self, position: int, engine_id: str) -> str:
        """The engine after one that is on the ring; itself where it is alone."""
        return self.ids[(self._insertion_index(position, engine_id) + 1) % len(self.ids)]

    def predecessor(self, position: int, engine_id: str) -> str:
        """The engine before one that is on the ring; itself where it is alone."""
        return self.ids[self._insertion_index(position, engine_id) - 1]

    def _insertion_index(self, position: int, engine_id: str) -> int:
        index = bisect_left(self.positions, position)
        while index < len(self.ids) and self.positions[index] == position and self.ids[index] < engine_id:
            index += 1
        return index


class FrontPositions:
    """Positions of the fronts of ranks 0 to `fronts` - 1: multiples of an irrational share of the circle (a
    Kronecker sequence). Whatever the number of ranks, and whichever stride picks some of them, they lie about
    evenly; one rank more moves none of the others."""

    def __init__(self, step: int, fronts: int) -> None:
        """The positions of ranks 0 to `fronts` - 1."""
        self.step = step
        self.sorted = sorted(self.position(rank) for rank in range(fronts))

    def position(self, rank: int) -> int:
        """Where the front of that rank is."""
        return rank * self.step % RING_SIZE

    def count(self, end: int, width: int) -> int:
        """How many fronts are less than `width` before `end`, or at it."""
        if width >= RING_SIZE:
            return len(self.sorted)
        upper, start = bisect_right(self.sorted, end), end - width
        if start >= 0:
            return upper - bisect_right(self.sorted, start)
        return upper + len(self.sorted) - bisect_right(self.sorted, start + RING_SIZE)
