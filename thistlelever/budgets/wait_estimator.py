"""How long a batch will wait, told as it is taken, and how true that was."""

from __future__ import annotations

from bisect import insort
from collections import deque
from math import exp, log

from thistlelever.budgets.node import Node

# Of a wait shorter than this no estimate is judged: it is over before anyone could act on it.
SHORT = 0.1
# How fast what is seen corrects what is told; a correction beyond this factor is none.
LEARN, MOST = 0.02, 1.3
KEPT = 512


class WaitEstimator:
    """Estimates by a leaf's place and pace, corrected by each leaf's own errors, and the errors
    themselves."""

    def __init__(self) -> None:
        """No wait was seen yet."""
        self.factor: dict[tuple[str, ...], float] = {}
        self.errors: deque[float] = deque(maxlen=KEPT)
        self.naive_errors: deque[float] = deque(maxlen=KEPT)

    def estimate(self, leaf: Node, ahead: float, drain: float, now: float) -> float:
        """Seconds, not yet corrected, until a batch is released that has `ahead` core-seconds before it in
        its leaf.

        Where the leaf has released batches under a backlog for long enough, its own pace tells. Before that
        its turn comes when the parent's virtual time reaches the leaf's tag and the work before it; how fast
        that goes is seen, and where it is not yet, the parent's own pace by its share of weights tells.
        `drain` is how many core-seconds end in a second on all that this front has.
        """
        own = leaf.pace(now) if leaf.held else None
        if own:
            return ahead / own
        share, time = leaf.share, leaf.parent.time
        tag = leaf.start if leaf.held else max(time - share.burst / share.weight, leaf.finish)
        distance = max(tag + ahead / share.weight - time, 0.0)
        return distance / max(self.pace(leaf.parent, drain, now), 1e-9)

    def pace(self, node: Node, drain: float, now: float) -> float:
        """How fast a node's virtual time goes."""
        seen = node.pace(now)
        if seen:
            return seen
        weights = node.wanting or 1.0
        if node.parent is None:
            return drain / weights
        return node.share.weight * self.pace(node.parent, drain, now) / weights

    def learn(self, path: tuple[str, ...], told: float, raw: float, naive: float, was: float) -> None:
        """What was told of a wait, what it would have been uncorrected, and what it was."""
        if was < SHORT:
            return
        self.errors.append(abs(told - was) / was)
        self.naive_errors.append(abs(naive - was) / was)
        if raw > 0:
            # Against the uncorrected one, as what is told now was corrected by a factor long past.
            ratio = min(max(was / raw, 1 / MOST), MOST)
            old = self.factor.get(path, 1.0)
            self.factor[path] = exp(log(old) + LEARN * log(ratio / old))
            if len(self.factor) > 20_000:
                self.factor.clear()

    def percentiles(self) -> dict[str, float]:
        """Of the errors, as shares of the waits: the 50th, 90th, 99th, and of the naive estimate's."""
        found = {}
        for name, errors in (("", self.errors), ("naive_", self.naive_errors)):
            ordered: list[float] = []
            for error in errors:
                insort(ordered, error)
            for share in (50, 90, 99):
                place = min(len(ordered) * share // 100, len(ordered) - 1)
                found[f"{name}p{share}"] = round(ordered[place], 3) if ordered else 0.0
        return found
