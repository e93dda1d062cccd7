"""Counters, and what must hold: raised in debug builds, counted in release builds (`python -O`)."""

from __future__ import annotations

from collections import Counter


class Tally:
    """How often each thing happened since the start."""

    def __init__(self) -> None:
        """Nothing has happened yet."""
        self.counts: Counter[str] = Counter()

    def add(self, name: str) -> None:
        """It happened once more."""
        self.counts[name] += 1

    def must(self, holds: bool, name: str) -> bool:
        """Whether it holds. A broken one must not take all that is held down with it in service."""
        if not holds:
            self.counts[f"broken: {name}"] += 1
            if __debug__:
                raise AssertionError(name)
        return holds
