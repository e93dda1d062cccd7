"""Which query is given up for another whose team holds less than its guarantee."""

from __future__ import annotations

from collections.abc import Iterable

from thistlelever.budgets.queued_batch import QueuedBatch, QueuePolicy
from thistlelever.budgets.tree import is_above_guarantee, path_to_root

# Pre-emption may throw away its share of what all engines carry, over so many seconds.
WASTE_WINDOW = 10.0


def time_to_next_completion(running: Iterable[QueuedBatch], now: float) -> float:
    """In how long the next of what is out ends, as far as its cost tells.

    What lasts longer than that is taken to last half as long again as it has.
    """
    remaining = (
        max(batch.released_at + batch.charge / batch.spec.width - now, (now - batch.released_at) / 2)
        for batch in running
    )
    return min(remaining, default=0.0)


class Preemption:
    """Chooses what is given up, within a bound on the work that is thrown away by it."""

    def __init__(self) -> None:
        """Nothing was thrown away yet."""
        self.recent_waste: list[tuple[float, float]] = []
        self.total_waste = 0.0

    def is_needed(
        self, waiting: QueuedBatch, running: Iterable[QueuedBatch], capacity: float, now: float
    ) -> bool:
        """Whether a query below its guarantee would miss its goal by waiting, and not by running."""
        spec = waiting.spec
        if not any(node.parent and node.is_below_guarantee(capacity) for node in path_to_root(waiting.leaf)):
            return False
        run_time = waiting.charge / spec.width
        return (
            now + run_time + time_to_next_completion(running, now) > spec.objective_at
            and now + run_time <= spec.deadline
        )

    def choose_victim(
        self,
        waiting: QueuedBatch,
        running: Iterable[QueuedBatch],
        policy: QueuePolicy,
        capacity: float,
        now: float,
    ) -> QueuedBatch | None:
        """Of those that hold more than their guarantee the least worthy, least far one, if that pays."""
        spec = waiting.spec
        run_time = waiting.charge / spec.width
        self.recent_waste = [(at, work) for at, work in self.recent_waste if at > now - WASTE_WINDOW]
        waste_left = policy.max_waste * capacity * WASTE_WINDOW - sum(work for _, work in self.recent_waste)
        best: tuple[tuple[float, float, int], QueuedBatch] | None = None
        for batch in running:
            if (
                batch.preempted
                or batch.spec.value >= spec.value
                or not is_above_guarantee(batch.leaf, capacity)
            ):
                continue
            done = batch.work_done(now)
            remaining = batch.charge - done
            if batch.dispatched and (
                not policy.can_cancel or done > waste_left or remaining < run_time * spec.width / 2
            ):
                continue
            rank = (batch.spec.value, done, batch.spec.number)
            if best is None or rank < best[0]:
                best = rank, batch
        return best[1] if best else None

    def preempt(self, batch: QueuedBatch, now: float) -> None:
        """The query is given up; what it has done is thrown away."""
        batch.preempted = True
        if done := batch.work_done(now):
            self.recent_waste.append((now, done))
            self.total_waste += done
