"""The runtime tree of budgets: nodes are created on demand and removed after they have been idle."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from thistlelever.budgets.node import Node
from thistlelever.budgets.plan import Plan

# Seconds after which an idle node without debt is removed.
IDLE_LIFETIME = 30.0


class BudgetTree:
    """The nodes of one plan. Its leaves are the query classes of teams."""

    def __init__(self, plan: Plan, on_removed: Callable[[Node], None]) -> None:
        """Create the root only. `on_removed` is called with each node that is removed."""
        self.plan, self.on_removed = plan, on_removed
        self.root = Node("", None, plan.share(()))
        # Nodes with nothing queued or released, and since when, the earliest first.
        self.idle_since: dict[Node, float] = {}

    def leaf(self, team: str, query_class: str) -> Node:
        """The leaf of a team's query class; it and the nodes above it are created where missing."""
        node = self.root
        path = self.plan.path(team, query_class)
        for depth, name in enumerate(path):
            child = node.children.get(name)
            if child is None:
                child = node.children[name] = Node(name, node, self.plan.share(path[: depth + 1]))
                child.finish_tag = child.start_tag = node.virtual_time
            node = child
        return node

    def nodes(self) -> list[Node]:
        """All nodes, the root first."""
        found, pending = [], [self.root]
        while pending:
            node = pending.pop()
            found.append(node)
            pending += node.children.values()
        return found

    def mark_idle(self, leaf: Node, now: float) -> None:
        """Something of the leaf has ended: ends the busy period of each node from it to the root that is idle
        at `now`, and makes the node a candidate for removal."""
        for node in path_to_root(leaf):
            if not node.queued and not node.threads_in_use:
                node.end_busy_period()
                if node.parent:
                    self.idle_since.setdefault(node, now)

    def remove_idle(self, now: float) -> None:
        """Remove the nodes that have been idle for `IDLE_LIFETIME` seconds."""
        while self.idle_since and now - self.idle_since[next(iter(self.idle_since))] >= IDLE_LIFETIME:
            self.remove(next(iter(self.idle_since)), now)

    def remove(self, node: Node, now: float) -> None:
        """Remove a node that has been idle for long, unless it is in use again. A node whose finish tag is
        ahead of the virtual time stays: removed with that debt, the team would start again without it."""
        since = self.idle_since.pop(node)
        if (
            node.queued
            or node.threads_in_use
            or node.children
            or node.parent.children.get(node.name) is not node
        ):
            # A node with children becomes a candidate again with the last of them.
            return
        if node.finish_tag > node.parent.virtual_time:
            # It is still in debt: a candidate again after another lifetime.
            self.idle_since[node] = now
            return
        del node.parent.children[node.name]
        self.on_removed(node)
        if node.parent.parent and not node.parent.children and not node.parent.threads_in_use:
            self.idle_since[node.parent] = since


def path_to_root(leaf: Node) -> Iterator[Node]:
    """The leaf and each node above it, the root last."""
    node: Node | None = leaf
    while node is not None:
        yield node
        node = node.parent


def is_above_guarantee(leaf: Node, capacity: float) -> bool:
    """Whether the leaf, or a node between it and the root, holds more threads than its guarantee of
    `capacity` threads."""
    return any(
        node.parent and node.threads_in_use > node.share.guarantee * capacity for node in path_to_root(leaf)
    )
