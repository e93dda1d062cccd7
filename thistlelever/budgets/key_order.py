"""Keeps the order of batches that share an ordering key: only the first of them is scheduled."""

from __future__ import annotations

from thistlelever.budgets.queued_batch import QueuedBatch


class KeyOrder:
    """The unreleased batches of each ordering key, in order of submission. Key 0 means no order."""

    def __init__(self) -> None:
        """No key has any batch."""
        self.queues: dict[int, list[QueuedBatch]] = {}

    def add(self, batch: QueuedBatch) -> bool:
        """Append the batch to those of its key; returns whether it may be scheduled."""
        if not batch.spec.key:
            return True
        queue = self.queues.setdefault(batch.spec.key, [])
        queue.append(batch)
        return len(queue) == 1

    def is_head(self, batch: QueuedBatch) -> bool:
        """Whether no batch of its key comes before it."""
        return not batch.spec.key or self.queues[batch.spec.key][0] is batch

    def remove(self, batch: QueuedBatch) -> QueuedBatch | None:
        """Remove the batch, if it is there; returns the batch that becomes the first of its key by that, if
        any."""
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
        """The number of batches that wait for another one of their key."""
        return sum(len(queue) - 1 for queue in self.queues.values())
