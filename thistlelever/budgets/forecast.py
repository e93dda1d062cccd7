"""Forecasts the service of each leaf over the next seconds, with the queues as a fluid.

Leaves with a backlog are served at their share; the others take what has recently arrived for them. Each
time a backlog runs out the shares are computed anew, so that a wait reflects which leaves will have drained
by then, and not only the current rates. This is generalized processor sharing as in Parekh and Gallager
(IEEE/ACM ToN 1993), with guarantees served first and ceilings applied; the order of the fair queue follows
it to within one batch a leaf.
"""

from __future__ import annotations

from math import exp

from thistlelever.budgets.node import Node

# The time constant of the arrival rate and the length of a forecast, in seconds.
ARRIVAL_WINDOW, HORIZON = 5.0, 30.0
# Forecasts are used with up to so many leaves: each one simulates all of them.
MAX_LEAVES = 48
# Rates, backlogs and remaining capacity below this count as none.
EPSILON = 1e-9
# Seconds for which a leaf is taken to have been observed at least.
MIN_OBSERVATION = 0.5


class ArrivalRate:
    """Work that arrives for a leaf, in core-seconds a second, as an exponentially weighted average."""

    __slots__ = ("first_at", "rate", "updated_at")

    def __init__(self, now: float) -> None:
        """Nothing has arrived yet."""
        self.rate, self.updated_at, self.first_at = 0.0, now, now

    def add(self, work: float, now: float) -> None:
        """`work` core-seconds arrive at `now`."""
        self.rate = self.rate * exp((self.updated_at - now) / ARRIVAL_WINDOW) + work / ARRIVAL_WINDOW
        self.updated_at = now

    def current(self, now: float) -> float:
        """The rate at `now`. The average is corrected for the time before the first arrival, without which a
        leaf that has just begun would appear slower than it is."""
        observed = 1 - exp(-max(now - self.first_at, MIN_OBSERVATION) / ARRIVAL_WINDOW)
        return self.rate * exp((self.updated_at - now) / ARRIVAL_WINDOW) / observed


class Forecast:
    """The service of one leaf from one moment on, as segments of (start in seconds from now, core-seconds a
    second), on the assumption that the leaf always has a backlog: the wait of a batch depends on what is
    ahead of it in its leaf, whatever arrives behind it."""

    def __init__(
        self,
        target: Node,
        leaves: list[Node],
        arrivals: dict[Node, ArrivalRate],
        total_rate: float,
        now: float,
    ) -> None:
        """Simulate the service of `target` among `leaves`, which share `total_rate` core-seconds a second, up
        to `HORIZON` or until no backlog drains any more. A leaf without an entry in `arrivals` receives
        nothing."""
        self.at = now
        self.segments: list[tuple[float, float]] = []
        weights = {leaf: effective_weight(leaf) for leaf in leaves}
        guaranteed = {leaf: guaranteed_share(leaf) * total_rate for leaf in leaves}
        limits = {
            leaf: min(node.share.ceiling for node in nodes_below_root(leaf)) * total_rate for leaf in leaves
        }
        backlog = {leaf: leaf.backlog for leaf in leaves} | {target: float("inf")}
        arrival_rate = {leaf: arrivals[leaf].current(now) if leaf in arrivals else 0.0 for leaf in leaves}
        time = 0.0
        for _ in range(2 * len(leaves) + 1):
            demand = {
                leaf: limits[leaf] if backlog[leaf] > EPSILON else min(arrival_rate[leaf], limits[leaf])
                for leaf in leaves
            }
            rates = allocate_rates(leaves, demand, guaranteed, weights, total_rate)
            self.segments.append((time, rates[target]))
            drain_times = [
                backlog[leaf] / (rates[leaf] - arrival_rate[leaf])
                for leaf in leaves
                if leaf is not target
                and backlog[leaf] > EPSILON
                and rates[leaf] > arrival_rate[leaf] + EPSILON
            ]
            step = min(drain_times, default=HORIZON)
            time += step
            if not drain_times or time >= HORIZON:
                return
            for leaf in leaves:
                remaining = backlog[leaf] + (arrival_rate[leaf] - rates[leaf]) * step
                backlog[leaf] = remaining if remaining > 1e-6 else 0.0

    def wait(self, ahead: float) -> float:
        """Seconds until the leaf will have been served `ahead` core-seconds; `HORIZON` where the forecast
        ends before that."""
        for index, (begin, rate) in enumerate(self.segments):
            end = self.segments[index + 1][0] if index + 1 < len(self.segments) else float("inf")
            served = rate * (end - begin) if rate > EPSILON else 0.0
            if served >= ahead:
                return begin + (ahead / rate if ahead > 0 else 0.0)
            ahead -= served
        return HORIZON


def allocate_rates(
    leaves: list[Node], demand: dict, guaranteed: dict, weights: dict, capacity: float
) -> dict[Node, float]:
    """Divide `capacity` among the leaves, in core-seconds a second: guarantees first, the rest by weight, and
    no leaf gets more than its demand."""
    rates = {leaf: min(demand[leaf], guaranteed[leaf]) for leaf in leaves}
    left = max(capacity - sum(rates.values()), 0.0)
    unsatisfied = [leaf for leaf in leaves if demand[leaf] > rates[leaf] + EPSILON]
    while unsatisfied and left > EPSILON:
        total_weight = sum(weights[leaf] for leaf in unsatisfied)
        step = min(
            min((demand[leaf] - rates[leaf]) / weights[leaf] for leaf in unsatisfied), left / total_weight
        )
        for leaf in unsatisfied:
            rates[leaf] += step * weights[leaf]
        left -= step * total_weight
        unsatisfied = [leaf for leaf in unsatisfied if demand[leaf] > rates[leaf] + 1e-6]
    return rates


def nodes_below_root(leaf: Node) -> list[Node]:
    """The leaf and the nodes above it, without the root."""
    found, node = [], leaf
    while node.parent is not None:
        found.append(node)
        node = node.parent
    return found


def effective_weight(leaf: Node) -> float:
    """The leaf's fraction of the whole by the weights of the nodes that have a backlog at each level, with
    the leaf counted as one of them."""
    fraction = 1.0
    for node in nodes_below_root(leaf):
        active_weight = node.parent.active_weight + (0.0 if node.queued else node.share.weight)
        fraction *= node.share.weight / active_weight
    return fraction


def guaranteed_share(leaf: Node) -> float:
    """The fraction of the capacity guaranteed to the leaf: the nearest guarantee on its path, divided
    by weight among the backlogged nodes below that; 0 where there is none."""
    fraction = 1.0
    for node in nodes_below_root(leaf):
        if node.share.guarantee > 0:
            return node.share.guarantee * fraction
        active_weight = node.parent.active_weight + (0.0 if node.queued else node.share.weight)
        fraction *= node.share.weight / active_weight
    return 0.0
