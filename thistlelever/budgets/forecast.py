"""What each leaf will be served, from now on: the queue as a fluid, a few seconds ahead.

Leaves that hold something are served at their share; the others take what they have lately been sent. When
one's backlog runs out the shares are worked out anew, so that a wait is told not by today's pace alone but
by who will be done by then. Generalized processor sharing as Parekh and Gallager give it (IEEE/ACM ToN
1993), with guarantees first and ceilings over it; the judge's own order follows it to within one batch a
leaf.
"""

from __future__ import annotations

from math import exp

from thistlelever.budgets.node import Node

# How fast what a leaf is sent is forgotten; how far is looked; and with how many leaves it pays to look.
ARRIVAL_WINDOW, HORIZON, MAX_LEAVES = 5.0, 30.0, 48
EPSILON = 1e-9
# A leaf observed for less than this is taken to have been observed so long.
MIN_OBSERVATION = 0.5


class ArrivalRate:
    """Work sent to a leaf lately, in core-seconds a second."""

    __slots__ = ("first_at", "rate", "updated_at")

    def __init__(self, now: float) -> None:
        """Nothing was sent yet."""
        self.rate, self.updated_at, self.first_at = 0.0, now, now

    def add(self, work: float, now: float) -> None:
        """So much work was sent."""
        self.rate = self.rate * exp((self.updated_at - now) / ARRIVAL_WINDOW) + work / ARRIVAL_WINDOW
        self.updated_at = now

    def current(self, now: float) -> float:
        """Of one just begun the time before its first batch does not count, or it would seem to send
        little."""
        observed = 1 - exp(-max(now - self.first_at, MIN_OBSERVATION) / ARRIVAL_WINDOW)
        return self.rate * exp((self.updated_at - now) / ARRIVAL_WINDOW) / observed


class Forecast:
    """One leaf's service as pieces of (from when, how fast), observed from one moment, if it always holds
    something: what is asked is when the last of what it holds goes, whatever comes behind that."""

    def __init__(
        self,
        target: Node,
        leaves: list[Node],
        arrivals: dict[Node, ArrivalRate],
        total_rate: float,
        now: float,
    ) -> None:
        """Looks ahead from now until the horizon, or until no backlog runs out any more."""
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
        """In how long the leaf will have been served so much."""
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
    """Who gets how much: first what is guaranteed, then by weight what is left, nobody more than is
    demand."""
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
    """Its share of all, by the weights of those that hold something at each level."""
    part = 1.0
    for node in nodes_below_root(leaf):
        active_weight = node.parent.active_weight + (0.0 if node.queued else node.share.weight)
        part *= node.share.weight / active_weight
    return part


def guaranteed_share(leaf: Node) -> float:
    """Of the lowest guarantee above it, its part beside the others that hold something there."""
    part = 1.0
    for node in nodes_below_root(leaf):
        if node.share.guarantee > 0:
            return node.share.guarantee * part
        active_weight = node.parent.active_weight + (0.0 if node.queued else node.share.weight)
        part *= node.share.weight / active_weight
    return 0.0
