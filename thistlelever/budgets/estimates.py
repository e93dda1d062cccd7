"""What each leaf's queries cost, and how long they will wait, from what the leaf was sent lately."""

from __future__ import annotations

from thistlelever.budgets.node import Node
from thistlelever.budgets.forecast import MAX_LEAVES, ArrivalRate, Forecast
from thistlelever.budgets.wait_estimator import WaitEstimator

# A correction of a leaf's costs follows its samples at this pace, and never past this factor.
COST_LEARNING_RATE, MAX_COST_FACTOR = 0.125, 16.0
# The least work that a query is charged, in core-seconds.
MIN_WORK = 1e-3
# A forecast serves for so many seconds.
FORECAST_LIFETIME = 0.02
# What was sent nothing of late is dropped this often, in seconds; nothing is below this rate of work.
PRUNE_INTERVAL, MIN_RATE = 0.4, 1e-3


class Estimates:
    """Costs, inflow and forecasts of all leaves."""

    def __init__(self) -> None:
        """Nothing was sent to any leaf yet."""
        self.wait_estimator = WaitEstimator()
        # What each leaf was sent lately, and what is foreseen from that and from what is held.
        self.arrivals: dict[Node, ArrivalRate] = {}
        self.forecasts: dict[Node, Forecast] = {}
        self.pruned_at = float("-inf")
        # A leaf's true costs over those told.
        self.cost_factors: dict[tuple[str, ...], float] = {}

    def charge(self, leaf: Node, work: float) -> float:
        """What a query of the leaf is charged, where its client told so much work."""
        return max(work, MIN_WORK) * self.cost_factors.get(leaf.path(), 1.0)

    def learn_cost(self, leaf: Node, estimated: float, actual: float) -> None:
        """A query has ended and truly cost so much.

        Against what was told, not against what was charged: a factor that is corrected by charges which an
        older one made swings without end.
        """
        ratio = min(max(actual / max(estimated, MIN_WORK), 1 / MAX_COST_FACTOR), MAX_COST_FACTOR)
        path = leaf.path()
        old = self.cost_factors.get(path, 1.0)
        self.cost_factors[path] = old * (ratio / old) ** COST_LEARNING_RATE

    def record_arrival(self, leaf: Node, charge: float, now: float) -> None:
        """The leaf was sent a query."""
        if leaf not in self.arrivals:
            self.arrivals[leaf] = ArrivalRate(now)
        self.arrivals[leaf].add(charge, now)

    def estimate_wait(self, leaf: Node, ahead: float, total_rate: float, now: float) -> float:
        """How long until the leaf's turn for what comes behind so much of its own.

        With few leaves at work all of them are looked at, a moment's view serving all that come in it; with
        many their pace so far tells.
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
        """What has been sent nothing of late takes nothing from the others."""
        if now <= self.pruned_at + PRUNE_INTERVAL:
            return
        self.pruned_at = now
        self.arrivals = {
            leaf: rate for leaf, rate in self.arrivals.items() if leaf.queued or rate.current(now) > MIN_RATE
        }
        self.forecasts = {leaf: found for leaf, found in self.forecasts.items() if leaf in self.arrivals}

    def clear(self) -> None:
        """Another tree: its leaves were sent nothing yet."""
        self.arrivals.clear()
        self.forecasts.clear()

    def forget(self, leaf: Node) -> None:
        """The leaf was idle for long: nothing is remembered of it."""
        self.arrivals.pop(leaf, None)
        self.forecasts.pop(leaf, None)
        self.cost_factors.pop(leaf.path(), None)
