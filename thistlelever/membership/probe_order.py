"""Whom to probe next: by a ring of name hashes, and by an order that is shuffled anew each time."""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Callable, Container

from thistlelever.membership.random_source import RandomSource
from thistlelever.wire.peers import tag

# So many members after this front on the ring are looked at for one that may be probed.
RING_LOOKAHEAD = 4


class ProbeOrder:
    """The living members, in the two orders in which they are probed."""

    def __init__(self, own_position: tuple[int, str], random: RandomSource) -> None:
        """Nobody to probe yet; `own_position` is the tag and name of this front."""
        self.own_position, self.random = own_position, random
        # The living by the hash of their names: each is the next one's to probe in every round.
        self.ring: list[tuple[int, str]] = []
        self.shuffled: list[str] = []

    def add(self, name: str) -> None:
        """A member that lives, new or back."""
        insort(self.ring, (tag(name), name))
        self.shuffled.insert(self.random.below(len(self.shuffled) + 1), name)

    def remove(self, name: str) -> None:
        """A member that lives no more; the shuffled order passes it over."""
        self.ring.remove((tag(name), name))

    def next_in_ring(self, probed: Container[str], suspected: Container[str]) -> str | None:
        """The living member after this front: each is probed in each round by who stands before it."""
        if not self.ring:
            return None
        position = bisect_right(self.ring, self.own_position)
        for step in range(min(len(self.ring), RING_LOOKAHEAD)):
            _, name = self.ring[(position + step) % len(self.ring)]
            # Risk: in a mass death the one before it is dead too; who is suspected is passed over.
            if name not in probed and name not in suspected:
                return name
        return None

    def next_shuffled(self, probed: Container[str], is_alive: Callable[[str], bool]) -> str | None:
        """The next of the shuffled order (SWIM's bound on how long one is missed)."""
        for _ in range(2):
            while self.shuffled:
                name = self.shuffled.pop()
                if name not in probed and is_alive(name):
                    return name
            self.shuffled = self.shuffle()
        return None

    def shuffle(self) -> list[str]:
        """The living in a random order, by Fisher and Yates."""
        names = [name for _, name in self.ring]
        for last in range(len(names) - 1, 0, -1):
            other = self.random.below(last + 1)
            names[last], names[other] = names[other], names[last]
        return names
