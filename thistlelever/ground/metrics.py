"""Event counters and invariant checks.

A violated invariant is counted, and raises in debug builds only: `python -O` counts it and goes on.
"""

from __future__ import annotations

from collections import Counter


class Metrics:
    """Counts events by name since the start of the process."""

    def __init__(self) -> None:
        """Start with all counters at zero."""
        self.counts: Counter[str] = Counter()

    def add(self, name: str) -> None:
        """Increment the counter of that name."""
        self.counts[name] += 1

    def check_invariant(self, holds: bool, name: str) -> bool:
        """Count a violated invariant under `broken: NAME` and return whether it holds.

        Raises AssertionError in debug builds. In service a violation must not end the process, which would
        lose all batches in progress.
        """
        if not holds:
            self.counts[f"broken: {name}"] += 1
            if __debug__:
                raise AssertionError(name)
        return holds
