"""The tree of budgets as operators write it, checked: platform, brokers, teams, service groups."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class PlanError(Exception):
    """The tree can't be kept; the path of the node at fault and why."""


class Share(NamedTuple):
    """What a node of the tree has. Guarantee and ceiling are shares of what all engines carry for this front;
    the burst is work, in core-seconds, that a node which was idle may have before others' turns."""

    guarantee: float = 0.0
    ceiling: float = 1.0
    burst: float = 0.0
    weight: float = 1.0


class PlanNode(NamedTuple):
    """A node with those below it by name."""

    share: Share
    children: dict[str, PlanNode]


class Plan:
    """Where each team stands. A team that no broker names is one of `other`, each for itself below it."""

    def __init__(self, brokers: dict[str, PlanNode], other: Share) -> None:
        """The tree of these brokers and their teams; `PlanError` where it can't be kept."""
        self.brokers, self.other = brokers, other
        self.broker_of: dict[str, str] = {}
        for name, broker in brokers.items():
            for team in broker.children:
                if team in self.broker_of:
                    raise PlanError(f"{name}.{team}: also a team of {self.broker_of[team]}")
                self.broker_of[team] = name
        validate("", PlanNode(Share(1.0), brokers | {OTHER: PlanNode(other, {})}))

    def path(self, team: str, query_class: str) -> tuple[str, str, str]:
        """Where a team's service group stands: broker, team, group."""
        return self.broker_of.get(team, OTHER), team, query_class

    def share(self, path: Iterable[str]) -> Share:
        """The share at a path of names; the plain one where nothing is planned."""
        children, share = self.brokers, Share()
        for depth, name in enumerate(path):
            if depth == 0 and name == OTHER:
                children, share = {}, self.other
            elif name in children:
                children, share = children[name].children, children[name].share
            else:
                children, share = {}, Share()
        return share


# Where teams stand that no broker names.
OTHER = "other"


def validate(path: str, node: PlanNode) -> None:
    """Risk: guarantees that add up to more than there is are promises that can't all be kept, and which is
    broken would hang on who comes first."""
    share, name = node.share, path or "the platform"
    if not 0 <= share.guarantee <= share.ceiling <= 1:
        raise PlanError(
            f"{name}: a guarantee from 0 up to its ceiling, and that up to 1 expected; "
            f"found {share.guarantee:g} and {share.ceiling:g}"
        )
    if share.weight <= 0 or share.burst < 0:
        raise PlanError(f"{name}: a weight above 0 and a burst from 0 up expected")
    promised = sum(child.share.guarantee for child in node.children.values())
    available = share.guarantee if share.guarantee else 1.0 if not path else share.ceiling
    if promised > available + 1e-9:
        raise PlanError(
            f"{name}: the guarantees below it are {promised:g} together, more than its {available:g}"
        )
    for key, child in node.children.items():
        validate(f"{path}.{key}" if path else key, child)
