"""Rings of engines, sorted by position, and the positions of fronts on them."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from hashlib import blake2b

# Positions are integers from 0 to RING_SIZE - 1: unlike floats they are the same on every machine.
RING_SIZE = 1 << 64


def engine_positions(engine_id: str) -> tuple[int, int]:
    """The position of an engine on the ring of all engines and that of its zone, and its independent position
    on the ring of its cell. Consistent hashing: adding or removing an engine moves no other."""
    data = blake2b(engine_id.encode(), digest_size=16).digest()
    return int.from_bytes(data[:8], "big"), int.from_bytes(data[8:], "big")


class Ring:
    """Engine ids sorted by position, then by id."""

    def __init__(self) -> None:
        """Creates an empty ring."""
        self.positions: list[int] = []
        self.ids: list[str] = []

    def __len__(self) -> int:
        """The number of engines on the ring."""
        return len(self.ids)

    def add(self, position: int, engine_id: str) -> None:
        """Adds an engine that is not on the ring."""
        index = self._insertion_index(position, engine_id)
        self.positions.insert(index, position)
        self.ids.insert(index, engine_id)

    def remove(self, position: int, engine_id: str) -> None:
        """Removes an engine that is on the ring."""
        index = self._insertion_index(position, engine_id)
        del self.positions[index]
        del self.ids[index]

    def arc(self, start: int, width: int) -> list[str]:
        """The engines at positions from `start` to below `start + width`, around the end of the ring."""
        if width >= RING_SIZE:
            return list(self.ids)
        first, end = bisect_left(self.positions, start), start + width
        if end <= RING_SIZE:
            return self.ids[first : bisect_left(self.positions, end)]
        return self.ids[first:] + self.ids[: bisect_left(self.positions, end - RING_SIZE)]

    def iter_from(self, start: int) -> Iterator[tuple[int, str]]:
        """Yields every engine once, in ring order from `start`, with its distance from there."""
        first = bisect_left(self.positions, start)
        for index in range(first, len(self.ids)):
            yield self.positions[index] - start, self.ids[index]
        for index in range(first):
            yield self.positions[index] + RING_SIZE - start, self.ids[index]

    def distance_back(self, position: int, count: int) -> int:
        """The distance from `position` back to the engine `count` engines before it; `RING_SIZE` if the ring
        has fewer than `count` engines at other positions."""
        index = bisect_left(self.positions, position) - count
        others = len(self.ids) - (
            bisect_right(self.positions, position) - bisect_left(self.positions, position)
        )
        if others < count:
            return RING_SIZE
        return (position - self.positions[index]) % RING_SIZE

    def successor(self, position: int, engine_id: str) -> str:
        """The engine after one that is on the ring; itself if it is the only one."""
        return self.ids[(self._insertion_index(position, engine_id) + 1) % len(self.ids)]

    def predecessor(self, position: int, engine_id: str) -> str:
        """The engine before one that is on the ring; itself if it is the only one."""
        return self.ids[self._insertion_index(position, engine_id) - 1]

    def _insertion_index(self, position: int, engine_id: str) -> int:
        index = bisect_left(self.positions, position)
        while index < len(self.ids) and self.positions[index] == position and self.ids[index] < engine_id:
            index += 1
        return index


class FrontPositions:
    """Positions of fronts by rank: multiples of an irrational fraction of the ring (a Kronecker sequence).
    They are spread about evenly for any number of ranks, and for every n-th rank alone; a new rank moves no
    other."""

    def __init__(self, step: int, fronts: int) -> None:
        """Places ranks 0 to `fronts` - 1 at multiples of `step`."""
        self.step = step
        self.sorted = sorted(self.position(rank) for rank in range(fronts))

    def position(self, rank: int) -> int:
        """The position of the front of rank `rank`, which may be above all ranks placed."""
        return rank * self.step % RING_SIZE

    def count(self, end: int, width: int) -> int:
        """The number of fronts at `end` or less than `width` before it."""
        if width >= RING_SIZE:
            return len(self.sorted)
        upper, start = bisect_right(self.sorted, end), end - width
        if start >= 0:
            return upper - bisect_right(self.sorted, start)
        return upper + len(self.sorted) - bisect_right(self.sorted, start + RING_SIZE)
