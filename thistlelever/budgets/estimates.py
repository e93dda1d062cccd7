"""What each leaf's queries cost, and how long they will wait, from what the leaf was sent lately."""

from __future__ import annotations

from thistlelever.budgets.node import Node
from thistlelever.budgets.forecast import MOST_LEAVES, Forecast, ArrivalRate
from thistlelever.budgets.wait_estimator import WaitEstimator

# A correction of a leaf's costs follows its samples at this pace, and never past this factor.
COST_PACE, MAX_COST_FACTOR = 0.125, 16.0
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
        self.waits = WaitEstimator()
        # What each leaf was sent lately, and what is foreseen from that and from what is held.
        self.inflow: dict[Node, ArrivalRate] = {}
        self.forecasts: dict[Node, Forecast] = {}
        self.pruned_at = float("-inf")
        # A leaf's true costs over those told.
        self.cost: dict[tuple[str, ...], float] = {}

    def charge(self, leaf: Node, work: float) -> float:
        """What a query of the leaf is charged, where its client told so much work."""
        return max(work, MIN_WORK) * self.cost.get(leaf.path(), 1.0)

    def learn_cost(self, leaf: Node, told: float, true: float) -> None:
        """A query has ended and truly cost so much.

        Against what was told, not against what was charged: a factor that is corrected by charges which an
        older one made swings without end.
        """
        ratio = min(max(true / max(told, MIN_WORK), 1 / MAX_COST_FACTOR), MAX_COST_FACTOR)
        path = leaf.path()
        old = self.cost.get(path, 1.0)
        self.cost[path] = old * (ratio / old) ** COST_PACE

    def sent(self, leaf: Node, charge: float, now: float) -> None:
        """The leaf was sent a query."""
        if leaf not in self.inflow:
            self.inflow[leaf] = ArrivalRate(now)
        self.inflow[leaf].sent(charge, now)

    def wait(self, leaf: Node, ahead: float, pace: float, now: float) -> float:
        """How long until the leaf's turn for what comes behind so much of its own.

        With few leaves at work all of them are looked at, a moment's view serving all that come in it; with
        many their pace so far tells.
        """
        if len(self.inflow) > MOST_LEAVES:
            return self.waits.estimate(leaf, ahead, pace, now)
        forecast = self.forecasts.get(leaf)
        if forecast is None or now > forecast.at + FORECAST_LIFETIME:
            forecast = self.forecasts[leaf] = Forecast(leaf, list(self.inflow), self.inflow, pace, now)
        return forecast.wait(ahead)

    def prune(self, now: float) -> None:
        """What has been sent nothing of late takes nothing from the others."""
        if now <= self.pruned_at + PRUNE_INTERVAL:
            return
        self.pruned_at = now
        self.inflow = {
            leaf: sent for leaf, sent in self.inflow.items() if leaf.held or sent.lately(now) > MIN_RATE
        }
        self.forecasts = {leaf: found for leaf, found in self.forecasts.items() if leaf in self.inflow}

    def clear(self) -> None:
        """Another tree: its leaves were sent nothing yet."""
        self.inflow.clear()
        self.forecasts.clear()

    def forget(self, leaf: Node) -> None:
        """The leaf was idle for long: nothing is remembered of it."""
        self.inflow.pop(leaf, None)
        self.forecasts.pop(leaf, None)
        self.cost.pop(leaf.path(), None)
