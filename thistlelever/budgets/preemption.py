"""Which query is given up for another whose team holds less than its guarantee."""

from __future__ import annotations

from collections.abc import Iterable

from thistlelever.budgets.queued_batch import QueuedBatch, QueuePolicy
from thistlelever.budgets.tree import over, upwards

# Pre-emption may throw away its share of what all engines carry, over so many seconds.
WASTE_WINDOW = 10.0


def next_end(running: Iterable[QueuedBatch], now: float) -> float:
    """In how long the next of what is out ends, as far as its cost tells.

    What lasts longer than that is taken to last half as long again as it has.
    """
    rests = (
        max(held.released + held.charge / held.entry.width - now, (now - held.released) / 2)
        for held in running
    )
    return min(rests, default=0.0)


class Preemption:
    """Chooses what is given up, within a bound on the work that is thrown away by it."""

    def __init__(self) -> None:
        """Nothing was thrown away yet."""
        self.wasted: list[tuple[float, float]] = []
        self.thrown_away = 0.0

    def is_needed(
        self, wanting: QueuedBatch, running: Iterable[QueuedBatch], capacity: float, now: float
    ) -> bool:
        """Whether a query below its guarantee would miss its goal by waiting, and not by running."""
        entry = wanting.entry
        if not any(node.parent and node.under(capacity) for node in upwards(wanting.leaf)):
            return False
        run = wanting.charge / entry.width
        return now + run + next_end(running, now) > entry.goal_at and now + run <= entry.limit_at

    def choose(
        self,
        wanting: QueuedBatch,
        running: Iterable[QueuedBatch],
        terms: QueuePolicy,
        capacity: float,
        now: float,
    ) -> QueuedBatch | None:
        """Of those that hold more than their guarantee the least worthy, least far one, if that pays."""
        entry = wanting.entry
        run = wanting.charge / entry.width
        self.wasted = [(at, work) for at, work in self.wasted if at > now - WASTE_WINDOW]
        left = terms.waste * capacity * WASTE_WINDOW - sum(work for _, work in self.wasted)
        best: tuple[tuple[float, float, int], QueuedBatch] | None = None
        for held in running:
            if held.given_up or held.entry.utility >= entry.utility or not over(held.leaf, capacity):
                continue
            done = held.done(now)
            rest = held.charge - done
            if held.began and (not terms.cancels or done > left or rest < run * entry.width / 2):
                continue
            rank = (held.entry.utility, done, held.entry.number)
            if best is None or rank < best[0]:
                best = rank, held
        return best[1] if best else None

    def give_up(self, held: QueuedBatch, now: float) -> None:
        """The query is given up; what it has done is thrown away."""
        held.given_up = True
        if done := held.done(now):
            self.wasted.append((now, done))
            self.thrown_away += done
