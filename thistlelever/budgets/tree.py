"""The tree of budgets: nodes made as they are needed, and forgotten once they are idle for long."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from thistlelever.budgets.node import Node
from thistlelever.budgets.plan import Plan

# Seconds after which what is idle and owes nothing is forgotten.
FORGET_AFTER = 30.0


class BudgetTree:
    """The nodes of one plan; the leaves are service groups of teams."""

    def __init__(self, plan: Plan, on_forgotten: Callable[[Node], None]) -> None:
        """Only the root is there; `on_forgotten` is told each node that is forgotten."""
        self.plan, self.on_forgotten = plan, on_forgotten
        self.root = Node("", None, plan.share(()))
        # Nodes with nothing held or out, and since when.
        self.idle: dict[Node, float] = {}

    def leaf(self, team: str, group: str) -> Node:
        """The leaf of a team's service group, with the nodes above it, made as they are needed."""
        node = self.root
        path = self.plan.path(team, group)
        for depth, name in enumerate(path):
            child = node.children.get(name)
            if child is None:
                child = node.children[name] = Node(name, node, self.plan.share(path[: depth + 1]))
                child.finish = child.start = node.time
            node = child
        return node

    def nodes(self) -> list[Node]:
        """All nodes, the root first."""
        found, waiting = [], [self.root]
        while waiting:
            node = waiting.pop()
            found.append(node)
            waiting += node.children.values()
        return found

    def spare(self, leaf: Node, now: float) -> None:
        """Something of the leaf has ended: nodes on the way up that are idle now may be forgotten later."""
        for node in upwards(leaf):
            if not node.held and not node.threads:
                node.rests()
                if node.parent:
                    self.idle.setdefault(node, now)

    def forget_idle(self, now: float) -> None:
        """Drop nodes that have been idle for long."""
        while self.idle and now - self.idle[next(iter(self.idle))] >= FORGET_AFTER:
            self.forget(next(iter(self.idle)), now)

    def forget(self, node: Node, now: float) -> None:
        """Idle for long. Risk: forgotten with a debt, it would start anew without it."""
        since = self.idle.pop(node)
        if node.held or node.threads or node.children or node.parent.children.get(node.name) is not node:
            # One with others below it comes up again with the last of them.
            return
        if node.finish > node.parent.time:
            # It owes still: looked at again later.
            self.idle[node] = now
            return
        del node.parent.children[node.name]
        self.on_forgotten(node)
        if node.parent.parent and not node.parent.children and not node.parent.threads:
            self.idle[node.parent] = since


def upwards(leaf: Node) -> Iterator[Node]:
    """The leaf and all above it."""
    node: Node | None = leaf
    while node is not None:
        yield node
        node = node.parent


def over(leaf: Node, capacity: float) -> bool:
    """Whether a node on the way up holds more than it is guaranteed."""
    return any(node.parent and node.threads > node.share.guarantee * capacity for node in upwards(leaf))
