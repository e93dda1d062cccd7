"""Estimates, for each leaf, what its batches cost and how long they wait, from recent arrivals and
completions."""

from __future__ import annotations

from thistlelever.budgets.forecast import MAX_LEAVES, ArrivalRate, Forecast
from thistlelever.budgets.node import Node
from thistlelever.budgets.wait_estimator import WaitEstimator

# The weight of one sample in the correction of a leaf's costs, and the largest correction, as a factor.
COST_LEARNING_RATE, MAX_COST_FACTOR = 0.125, 16.0
# The least work that a batch is charged, in core-seconds.
MIN_WORK = 1e-3
# Seconds for which a forecast is reused.
FORECAST_LIFETIME = 0.02
# Seconds between two removals of inactive leaves; the rate, in core-seconds a second, below which one is
# inactive.
PRUNE_INTERVAL, MIN_RATE = 0.4, 1e-3


class Estimates:
    """Cost corrections, arrival rates and forecasts of all leaves."""

    def __init__(self) -> None:
        """Nothing has arrived for any leaf yet."""
        self.wait_estimator = WaitEstimator()
        # Of the active leaves: recent arrivals, and forecasts of their service.
        self.arrivals: dict[Node, ArrivalRate] = {}
        self.forecasts: dict[Node, Forecast] = {}
        self.pruned_at = float("-inf")
        # By the path of a leaf: actual cost over its clients' estimates.
        self.cost_factors: dict[tuple[str, ...], float] = {}

    def charge(self, leaf: Node, work: float) -> float:
        """The core-seconds that a batch of the leaf is charged, given its client's estimate of its work."""
        return max(work, MIN_WORK) * self.cost_factors.get(leaf.path(), 1.0)

    def learn_cost(self, leaf: Node, estimated: float, actual: float) -> None:
        """A batch has completed: correct the leaf's later charges by its actual cost, in core-seconds.

        The actual cost is compared with the client's estimate, not with the charge: a factor corrected by
        charges that an older factor produced would oscillate.
        """
        ratio = min(max(actual / max(estimated, MIN_WORK), 1 / MAX_COST_FACTOR), MAX_COST_FACTOR)
        path = leaf.path()
        old = self.cost_factors.get(path, 1.0)
        self.cost_factors[path] = old * (ratio / old) ** COST_LEARNING_RATE

    def record_arrival(self, leaf: Node, charge: float, now: float) -> None:
        """A batch charged `charge` core-seconds has arrived for the leaf."""
        if leaf not in self.arrivals:
            self.arrivals[leaf] = ArrivalRate(now)
        self.arrivals[leaf].add(charge, now)

    def estimate_wait(self, leaf: Node, ahead: float, total_rate: float, now: float) -> float:
        """Seconds until a batch of the leaf is released that has `ahead` core-seconds before it in its
        leaf; `total_rate` is in core-seconds a second.

        With up to `MAX_LEAVES` active leaves it comes from a forecast, which serves all batches of the leaf
        for `FORECAST_LIFETIME`; with more, from the leaf's recent rate.
        """
        if len(self.arrivals) > MAX_LEAVES:
            return self.wait_estimator.estimate(leaf, ahead, total_rate, now)
        forecast = self.forecasts.get(leaf)
        if forecast is None or now > forecast.at + FORECAST_LIFETIME:
            forecast = self.forecasts[leaf] = Forecast(
                leaf, list(self.arrivals), self.arrivals, total_rate, now
            )
        return forecast.wait(ahead)

    def prune(self, now: float) -> None:
        """Drop the leaves with nothing queued and no recent arrivals, which take no capacity from others."""
        if now <= self.pruned_at + PRUNE_INTERVAL:
            return
        self.pruned_at = now
        self.arrivals = {
            leaf: rate for leaf, rate in self.arrivals.items() if leaf.queued or rate.current(now) > MIN_RATE
        }
        self.forecasts = {
            leaf: forecast for leaf, forecast in self.forecasts.items() if leaf in self.arrivals
        }

    def clear(self) -> None:
        """The tree was replaced: its leaves have no arrivals yet."""
        self.arrivals.clear()
        self.forecasts.clear()

    def forget(self, leaf: Node) -> None:
        """The leaf was removed from the tree: drop its arrivals, its forecast and its cost correction."""
        self.arrivals.pop(leaf, None)
        self.forecasts.pop(leaf, None)
        self.cost_factors.pop(leaf.path(), None)
