"""Queries of one key keep their order: only the first of them takes part in the turns."""

from __future__ import annotations

from thistlelever.budgets.queued_batch import QueuedBatch


class KeyOrder:
    """The queries of each key that were not released yet, in the order in which they came; key 0 has none."""

    def __init__(self) -> None:
        """No key has any."""
        self.lines: dict[int, list[QueuedBatch]] = {}

    def add(self, held: QueuedBatch) -> bool:
        """The query comes behind those of its key; whether it is the first of them."""
        if not held.entry.key:
            return True
        line = self.lines.setdefault(held.entry.key, [])
        line.append(held)
        return len(line) == 1

    def is_first(self, held: QueuedBatch) -> bool:
        """Whether nothing of its key stands before it."""
        return not held.entry.key or self.lines[held.entry.key][0] is held

    def remove(self, held: QueuedBatch) -> QueuedBatch | None:
        """It stands in its key's line no more; the query that is first now because of that, if any."""
        line = self.lines.get(held.entry.key) if held.entry.key else None
        if not line or held not in line:
            return None
        was_first = line[0] is held
        line.remove(held)
        if not line:
            del self.lines[held.entry.key]
            return None
        return line[0] if was_first else None

    def behind_first(self) -> int:
        """How many queries wait for another of their key."""
        return sum(len(line) - 1 for line in self.lines.values())
