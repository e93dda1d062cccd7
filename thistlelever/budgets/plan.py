"""The budget tree as operators configure it, validated: platform, brokers, teams, query classes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

# The broker of all teams that no broker lists.
OTHER = "other"


class PlanError(Exception):
    """The configured tree is invalid. The message names the path of the node and the reason."""


class Share(NamedTuple):
    """The budget of one node. Guarantee and ceiling are fractions, from 0 to 1, of the threads that all
    engines carry for this front; the burst is work, in core-seconds, that a node which was idle may release
    ahead of its turn; the weight is relative to its siblings."""

    guarantee: float = 0.0
    ceiling: float = 1.0
    burst: float = 0.0
    weight: float = 1.0


class PlanNode(NamedTuple):
    """A configured node with its children by name."""

    share: Share
    children: dict[str, PlanNode]


class Plan:
    """The configured tree. A team that no broker lists is a child of `other`, with the default share."""

    def __init__(self, brokers: dict[str, PlanNode], other: Share) -> None:
        """Build the tree of these brokers, whose children are teams and theirs query classes. Raises
        `PlanError` where a team is listed twice or a share is invalid."""
        self.brokers, self.other = brokers, other
        self.broker_of: dict[str, str] = {}
        for name, broker in brokers.items():
            for team in broker.children:
                if team in self.broker_of:
                    raise PlanError(f"{name}.{team}: also a team of {self.broker_of[team]}")
                self.broker_of[team] = name
        validate("", PlanNode(Share(1.0), brokers | {OTHER: PlanNode(other, {})}))

    def path(self, team: str, query_class: str) -> tuple[str, str, str]:
        """The names of the nodes of a team's query class: broker, team, query class."""
        return self.broker_of.get(team, OTHER), team, query_class

    def share(self, path: Iterable[str]) -> Share:
        """The share of the node at a path of names; the default share where none is configured."""
        children, share = self.brokers, Share()
        for depth, name in enumerate(path):
            if depth == 0 and name == OTHER:
                children, share = {}, self.other
            elif name in children:
                children, share = children[name].children, children[name].share
            else:
                children, share = {}, Share()
        return share


def validate(path: str, node: PlanNode) -> None:
    """Check a node and all below it; raises `PlanError`. The guarantees of siblings must fit into what their
    parent has: of guarantees that exceed it, which ones are met would depend on the order of arrival."""
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
