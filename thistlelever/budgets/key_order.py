"""Queries of one key keep their order: only the first of them takes part in the turns."""

from __future__ import annotations

from thistlelever.budgets.queued_batch import QueuedBatch


class KeyOrder:
    """The queries of each key that were not released yet, in the order in which they came; key 0 has none."""

    def __init__(self) -> None:
        """No key has any."""
        self.queues: dict[int, list[QueuedBatch]] = {}

    def add(self, batch: QueuedBatch) -> bool:
        """The query comes behind those of its key; whether it is the first of them."""
        if not batch.spec.key:
            return True
        queue = self.queues.setdefault(batch.spec.key, [])
        queue.append(batch)
        return len(queue) == 1

    def is_head(self, batch: QueuedBatch) -> bool:
        """Whether nothing of its key stands before it."""
        return not batch.spec.key or self.queues[batch.spec.key][0] is batch

    def remove(self, batch: QueuedBatch) -> QueuedBatch | None:
        """It stands in its key's queue no more; the query that is first now because of that, if any."""
        queue = self.queues.get(batch.spec.key) if batch.spec.key else None
        if not queue or batch not in queue:
            return None
        was_head = queue[0] is batch
        queue.remove(batch)
        if not queue:
            del self.queues[batch.spec.key]
            return None
        return queue[0] if was_head else None

    def count_blocked(self) -> int:
        """How many queries wait for another of their key."""
        return sum(len(queue) - 1 for queue in self.queues.values())
