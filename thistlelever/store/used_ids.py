"""Ids of batches that may have run and must not run again."""

from __future__ import annotations

# How many of the latest ids are known at least, and half of how many are held at most.
MIN_KNOWN_IDS = 8_192


class UsedIds:
    """The latest ids, in two generations: when the newer one is full, the older one is dropped."""

    def __init__(self, min_known: int = MIN_KNOWN_IDS) -> None:
        """Know none yet, and from then on the latest `min_known` at least."""
        self.min_known = min_known
        # Numbers take less memory than texts.
        self.newer: set[int] = set()
        self.older: set[int] = set()

    def add(self, txn: str) -> None:
        """Add an id of 16 hex digits."""
        self.newer.add(int(txn, 16))
        if len(self.newer) >= self.min_known:
            self.newer, self.older = set(), self.newer

    def __contains__(self, txn: str) -> bool:
        """Return whether the id was added, as far as that is known."""
        number = int(txn, 16)
        return number in self.newer or number in self.older
