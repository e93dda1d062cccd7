"""How long a batch will wait, told as it is taken, and how true that was."""

from __future__ import annotations

from bisect import insort
from collections import deque
from math import exp, log

from thistlelever.budgets.node import Node

# Of a wait shorter than this no estimate is judged: it is over before anyone could act on it.
MIN_SCORED_WAIT = 0.1
# How fast what is seen corrects what is told; a correction beyond this factor is none.
LEARNING_RATE, MAX_CORRECTION = 0.02, 1.3
MAX_ERRORS = 512
MAX_CORRECTED_LEAVES = 20_000


class WaitEstimator:
    """Estimates by a leaf's place and pace, corrected by each leaf's own errors, and the errors
    themselves."""

    def __init__(self) -> None:
        """No wait was seen yet."""
        self.corrections: dict[tuple[str, ...], float] = {}
        self.errors: deque[float] = deque(maxlen=MAX_ERRORS)
        self.naive_errors: deque[float] = deque(maxlen=MAX_ERRORS)

    def estimate(self, leaf: Node, ahead: float, total_rate: float, now: float) -> float:
        """Seconds, not yet corrected, until a batch is released that has `ahead` core-seconds before it in
        its leaf.

        Where the leaf has released batches under a backlog for long enough, its own pace tells. Before that
        its turn comes when the parent's virtual time reaches the leaf's tag and the work before it; how fast
        that goes is seen, and where it is not yet, the parent's own pace by its share of weights tells.
        `total_rate` is how many core-seconds end in a second on all that this front has.
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
        """How fast a node's virtual time goes."""
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
        """What was told of a wait, what it would have been uncorrected, and what it was."""
        if actual < MIN_SCORED_WAIT:
            return
        self.errors.append(abs(estimated - actual) / actual)
        self.naive_errors.append(abs(naive - actual) / actual)
        if uncorrected > 0:
            # Against the uncorrected one, as what is told now was corrected by a factor long past.
            ratio = min(max(actual / uncorrected, 1 / MAX_CORRECTION), MAX_CORRECTION)
            old = self.corrections.get(path, 1.0)
            self.corrections[path] = exp(log(old) + LEARNING_RATE * log(ratio / old))
            if len(self.corrections) > MAX_CORRECTED_LEAVES:
                self.corrections.clear()

    def percentiles(self) -> dict[str, float]:
        """Of the errors, as shares of the waits: the 50th, 90th, 99th, and of the naive estimate's."""
        found = {}
        for name, errors in (("", self.errors), ("naive_", self.naive_errors)):
            ordered: list[float] = []
            for error in errors:
                insort(ordered, error)
            for share in (50, 90, 99):
                index = min(len(ordered) * share // 100, len(ordered) - 1)
                found[f"{name}p{share}"] = round(ordered[index], 3) if ordered else 0.0
        return found
