"""Selects the members to probe: the successor on a hash ring, and the next in a shuffled order."""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Callable, Container

from thistlelever.membership.random_source import RandomSource
from thistlelever.wire.peers import tag

# Number of ring positions after this front that are searched for a member to probe.
RING_LOOKAHEAD = 4


class ProbeOrder:
    """The living members, on the ring and in the shuffled order."""

    def __init__(self, own_position: tuple[int, str], random: RandomSource) -> None:
        """No members yet; `own_position` is the tag and the name of this front."""
        self.own_position, self.random = own_position, random
        # Living members by the hash of their names: each is probed in every round by its predecessor.
        self.ring: list[tuple[int, str]] = []
        self.shuffled: list[str] = []

    def add(self, name: str) -> None:
        """Add a member that is new or alive again."""
        insort(self.ring, (tag(name), name))
        self.shuffled.insert(self.random.below(len(self.shuffled) + 1), name)

    def remove(self, name: str) -> None:
        """Remove a member that is no longer alive; the shuffled order skips it when its turn comes."""
        self.ring.remove((tag(name), name))

    def next_in_ring(self, probed: Container[str], suspected: Container[str]) -> str | None:
        """The ring's next living member after this front, or None; so that every member is probed in each
        round.
        """
        if not self.ring:
            return None
        position = bisect_right(self.ring, self.own_position)
        for step in range(min(len(self.ring), RING_LOOKAHEAD)):
            _, name = self.ring[(position + step) % len(self.ring)]
            # If many members die at once, the predecessor of a member may be dead too, so suspected members
            # are skipped.
            if name not in probed and name not in suspected:
                return name
        return None

    def next_shuffled(self, probed: Container[str], is_alive: Callable[[str], bool]) -> str | None:
        """The next member in the shuffled order, or None. This is SWIM's bound on the time a member goes
        unprobed.
        """
        for _ in range(2):
            while self.shuffled:
                name = self.shuffled.pop()
                if name not in probed and is_alive(name):
                    return name
            self.shuffled = self.shuffle()
        return None

    def shuffle(self) -> list[str]:
        """All living members in random order (Fisher-Yates)."""
        names = [name for _, name in self.ring]
        for last in range(len(names) - 1, 0, -1):
            other = self.random.below(last + 1)
            names[last], names[other] = names[other], names[last]
        return names
