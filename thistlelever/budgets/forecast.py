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
INFLOW_OVER, HORIZON, MOST_LEAVES = 5.0, 30.0, 48
LEAST = 1e-9
# A leaf seen for less than this is taken to have been seen so long.
BEGUN = 0.5


class ArrivalRate:
    """Work sent to a leaf lately, in core-seconds a second."""

    __slots__ = ("at", "first", "rate")

    def __init__(self, now: float) -> None:
        """Nothing was sent yet."""
        self.rate, self.at, self.first = 0.0, now, now

    def sent(self, work: float, now: float) -> None:
        """So much work was sent."""
        self.rate = self.rate * exp((self.at - now) / INFLOW_OVER) + work / INFLOW_OVER
        self.at = now

    def lately(self, now: float) -> float:
        """Of one just begun the time before its first batch does not count, or it would seem to send
        little."""
        seen = 1 - exp(-max(now - self.first, BEGUN) / INFLOW_OVER)
        return self.rate * exp((self.at - now) / INFLOW_OVER) / seen


class Forecast:
    """One leaf's service as pieces of (from when, how fast), seen from one moment, if it always holds
    something: what is asked is when the last of what it holds goes, whatever comes behind that."""

    def __init__(
        self,
        asking: Node,
        leaves: list[Node],
        inflow: dict[Node, ArrivalRate],
        drain: float,
        now: float,
    ) -> None:
        """Looks ahead from now until the horizon, or until no backlog runs out any more."""
        self.at = now
        self.pieces: list[tuple[float, float]] = []
        weights = {leaf: weight(leaf) for leaf in leaves}
        sure = {leaf: guaranteed(leaf) * drain for leaf in leaves}
        most = {leaf: min(node.share.ceiling for node in path(leaf)) * drain for leaf in leaves}
        backlog = {leaf: leaf.backlog for leaf in leaves} | {asking: float("inf")}
        sent = {leaf: inflow[leaf].lately(now) if leaf in inflow else 0.0 for leaf in leaves}
        time = 0.0
        for _ in range(2 * len(leaves) + 1):
            wanted = {
                leaf: most[leaf] if backlog[leaf] > LEAST else min(sent[leaf], most[leaf]) for leaf in leaves
            }
            rates = shared(leaves, wanted, sure, weights, drain)
            self.pieces.append((time, rates[asking]))
            ends = [
                backlog[leaf] / (rates[leaf] - sent[leaf])
                for leaf in leaves
                if leaf is not asking and backlog[leaf] > LEAST and rates[leaf] > sent[leaf] + LEAST
            ]
            step = min(ends, default=HORIZON)
            time += step
            if not ends or time >= HORIZON:
                return
            for leaf in leaves:
                left = backlog[leaf] + (sent[leaf] - rates[leaf]) * step
                backlog[leaf] = left if left > 1e-6 else 0.0

    def wait(self, ahead: float) -> float:
        """In how long the leaf will have been served so much."""
        for place, (begin, rate) in enumerate(self.pieces):
            until = self.pieces[place + 1][0] if place + 1 < len(self.pieces) else float("inf")
            served = rate * (until - begin) if rate > LEAST else 0.0
            if served >= ahead:
                return begin + (ahead / rate if ahead > 0 else 0.0)
            ahead -= served
        return HORIZON


def shared(leaves: list[Node], wanted: dict, sure: dict, weights: dict, capacity: float) -> dict[Node, float]:
    """Who gets how much: first what is guaranteed, then by weight what is left, nobody more than is
    wanted."""
    rates = {leaf: min(wanted[leaf], sure[leaf]) for leaf in leaves}
    left = max(capacity - sum(rates.values()), 0.0)
    open_to = [leaf for leaf in leaves if wanted[leaf] > rates[leaf] + LEAST]
    while open_to and left > LEAST:
        whole = sum(weights[leaf] for leaf in open_to)
        step = min(min((wanted[leaf] - rates[leaf]) / weights[leaf] for leaf in open_to), left / whole)
        for leaf in open_to:
            rates[leaf] += step * weights[leaf]
        left -= step * whole
        open_to = [leaf for leaf in open_to if wanted[leaf] > rates[leaf] + 1e-6]
    return rates


def path(leaf: Node) -> list[Node]:
    """The leaf and the nodes above it, without the root."""
    found, node = [], leaf
    while node.parent is not None:
        found.append(node)
        node = node.parent
    return found


def weight(leaf: Node) -> float:
    """Its share of all, by the weights of those that hold something at each level."""
    part = 1.0
    for node in path(leaf):
        beside = node.parent.wanting + (0.0 if node.held else node.share.weight)
        part *= node.share.weight / beside
    return part


def guaranteed(leaf: Node) -> float:
    """Of the lowest guarantee above it, its part beside the others that hold something there."""
    part = 1.0
    for node in path(leaf):
        if node.share.guarantee > 0:
            return node.share.guarantee * part
        beside = node.parent.wanting + (0.0 if node.held else node.share.weight)
        part *= node.share.weight / beside
    return 0.0
