"""A ring of engines in the order of their positions, and of positions for fronts."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from hashlib import blake2b

# Positions are whole numbers below this, so that no rounding differs from one machine to the next.
CIRCLE = 1 << 64


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
        place = self._place(position, engine_id)
        self.positions.insert(place, position)
        self.ids.insert(place, engine_id)

    def remove(self, position: int, engine_id: str) -> None:
        """Take out an engine that is on the ring."""
        place = self._place(position, engine_id)
        del self.positions[place]
        del self.ids[place]

    def arc(self, start: int, width: int) -> list[str]:
        """The engines from `start` on, up to but without `start + width`."""
        if width >= CIRCLE:
            return list(self.ids)
        first, end = bisect_left(self.positions, start), start + width
        if end <= CIRCLE:
            return self.ids[first : bisect_left(self.positions, end)]
        return self.ids[first:] + self.ids[: bisect_left(self.positions, end - CIRCLE)]

    def onward(self, start: int) -> Iterator[tuple[int, str]]:
        """Every engine once, from `start` on, with its distance from there."""
        first = bisect_left(self.positions, start)
        for place in range(first, len(self.ids)):
            yield self.positions[place] - start, self.ids[place]
        for place in range(first):
            yield self.positions[place] + CIRCLE - start, self.ids[place]

    def distance_back(self, position: int, count: int) -> int:
        """How far back the engine is that is `count` places before `position`; the whole circle where the
        ring has no so many others."""
        place = bisect_left(self.positions, position) - count
        others = len(self.ids) - (
            bisect_right(self.positions, position) - bisect_left(self.positions, position)
        )
        if others < count:
            return CIRCLE
        return (position - self.positions[place]) % CIRCLE

    def following(self, position: int, engine_id: str) -> str:
        """The engine after one that is on the ring; itself where it is alone."""
        return self.ids[(self._place(position, engine_id) + 1) % len(self.ids)]

    def preceding(self, position: int, engine_id: str) -> str:
        """The engine before one that is on the ring; itself where it is alone."""
        return self.ids[self._place(position, engine_id) - 1]

    def _place(self, position: int, engine_id: str) -> int:
        place = bisect_left(self.positions, position)
        while place < len(self.ids) and self.positions[place] == position and self.ids[place] < engine_id:
            place += 1
        return place


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
        return rank * self.step % CIRCLE

    def count(self, end: int, width: int) -> int:
        """How many fronts are less than `width` before `end`, or at it."""
        if width >= CIRCLE:
            return len(self.sorted)
        upper, start = bisect_right(self.sorted, end), end - width
        if start >= 0:
            return upper - bisect_right(self.sorted, start)
        return upper + len(self.sorted) - bisect_right(self.sorted, start + CIRCLE)
