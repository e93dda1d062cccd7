"""Chooses which running batch is cancelled in favour of one whose team is below its guarantee."""

from __future__ import annotations

from collections.abc import Iterable

from thistlelever.budgets.queued_batch import QueuedBatch, QueuePolicy
from thistlelever.budgets.tree import is_above_guarantee, path_to_root

# Seconds over which the wasted work is bounded to a fraction of the capacity.
WASTE_WINDOW = 10.0


def time_to_next_completion(running: Iterable[QueuedBatch], now: float) -> float:
    """Seconds until the next running batch ends, by its charge; 0 where none runs.

    A batch that has outlasted its charge is assumed to run for half as long again as it has.
    """
    remaining = (
        max(batch.released_at + batch.charge / batch.spec.width - now, (now - batch.released_at) / 2)
        for batch in running
    )
    return min(remaining, default=0.0)


class Preemption:
    """Chooses victims, within a bound on the work that is wasted by cancelling them."""

    def __init__(self) -> None:
        """Nothing was wasted yet."""
        self.recent_waste: list[tuple[float, float]] = []
        self.total_waste = 0.0

    def is_needed(
        self, waiting: QueuedBatch, running: Iterable[QueuedBatch], capacity: float, now: float
    ) -> bool:
        """Whether a queued batch, of a node below its guarantee, would miss its latency objective by waiting
        for a completion, but would still end within its deadline if released now."""
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
        """The running batch to cancel for the `waiting` one, or None.

        Candidates have a lower value and a node that is above its guarantee; of these the one with the
        lowest value goes, then the one that has done the least work. A dispatched batch is a candidate only
        where engines can cancel, its work done fits into the waste bound, and its remaining work is at
        least half of the waiting batch's.
        """
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
        """Mark the batch as preempted and account for its work as wasted, in thread-seconds."""
        batch.preempted = True
        if done := batch.work_done(now):
            self.recent_waste.append((now, done))
            self.total_waste += done
