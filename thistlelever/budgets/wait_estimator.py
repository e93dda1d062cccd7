"""Estimates how long a batch waits, when it is submitted, and measures how accurate that was."""

from __future__ import annotations

from bisect import insort
from collections import deque
from math import exp, log

from thistlelever.budgets.node import Node

# Seconds; the estimate of a shorter wait is not scored: nobody could act on it before the wait is over.
MIN_SCORED_WAIT = 0.1
# The weight of one wait in the correction, and the largest correction, as a factor.
LEARNING_RATE, MAX_CORRECTION = 0.02, 1.3
# Errors kept for the percentiles; leaves beyond which all corrections are dropped.
MAX_ERRORS, MAX_CORRECTED_LEAVES = 512, 20_000


class WaitEstimator:
    """Estimates from a leaf's position and rate, a correction for each leaf learnt from its errors, and the
    errors themselves, as fractions of the actual wait."""

    def __init__(self) -> None:
        """No wait was observed yet."""
        self.corrections: dict[tuple[str, ...], float] = {}
        self.errors: deque[float] = deque(maxlen=MAX_ERRORS)
        self.naive_errors: deque[float] = deque(maxlen=MAX_ERRORS)

    def estimate(self, leaf: Node, ahead: float, total_rate: float, now: float) -> float:
        """Seconds, without correction, until a batch is released that has `ahead` core-seconds before it in
        its leaf.

        Where the leaf has released batches under a backlog for long enough, its own rate is used. Before
        that, its turn comes when the parent's virtual time reaches the leaf's tag plus the work before it;
        the rate of that virtual time is measured, and where it can't be yet, it is derived from the
        parent's own rate and the weights. `total_rate` is how many core-seconds a second all threads of
        this front complete.
        """
        own_rate = leaf.rate(now) if leaf.queued else None
        if own_rate:
            return ahead / own_rate
        share, virtual_time = leaf.share, leaf.parent.virtual_time
        tag = (
            leaf.start_tag if leaf.queued else max(virtual_time - share.burst / share.weight, leaf.finish_tag)
        )
        distance = max(tag + ahead / share.weight - virtual_time, 0.0)
        return distance / max(self.virtual_time_rate(leaf.parent, total_rate, now), 1e-9)

    def virtual_time_rate(self, node: Node, total_rate: float, now: float) -> float:
        """How much the virtual time of a node advances a second."""
        observed = node.rate(now)
        if observed:
            return observed
        weights = node.active_weight or 1.0
        if node.parent is None:
            return total_rate / weights
        return node.share.weight * self.virtual_time_rate(node.parent, total_rate, now) / weights

    def record(
        self, path: tuple[str, ...], estimated: float, uncorrected: float, naive: float, actual: float
    ) -> None:
        """A batch of the leaf at `path` was released after `actual` seconds: `estimated` is what was
        estimated when it was submitted, `uncorrected` the same without the correction (0: don't learn from
        it), `naive` the estimate of a single first-in, first-out queue. Waits below `MIN_SCORED_WAIT` are
        ignored."""
        if actual < MIN_SCORED_WAIT:
            return
        self.errors.append(abs(estimated - actual) / actual)
        self.naive_errors.append(abs(naive - actual) / actual)
        if uncorrected > 0:
            # Compared with the uncorrected estimate: the corrected one used an outdated factor.
            ratio = min(max(actual / uncorrected, 1 / MAX_CORRECTION), MAX_CORRECTION)
            old = self.corrections.get(path, 1.0)
            self.corrections[path] = exp(log(old) + LEARNING_RATE * log(ratio / old))
            if len(self.corrections) > MAX_CORRECTED_LEAVES:
                self.corrections.clear()

    def percentiles(self) -> dict[str, float]:
        """The 50th, 90th and 99th percentile of the errors, as `p50` and so on, and of the naive estimate's
        as `naive_p50` and so on."""
        percentiles = {}
        for name, errors in (("", self.errors), ("naive_", self.naive_errors)):
            ordered: list[float] = []
            for error in errors:
                insort(ordered, error)
            for share in (50, 90, 99):
                index = min(len(ordered) * share // 100, len(ordered) - 1)
                percentiles[f"{name}p{share}"] = round(ordered[index], 3) if ordered else 0.0
        return percentiles
