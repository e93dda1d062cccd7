"""The tree of budgets: nodes made as they are needed, and forgotten once they are idle for long."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from thistlelever.budgets.node import Node
from thistlelever.budgets.plan import Plan

# Seconds after which what is idle and owes nothing is forgotten.
IDLE_LIFETIME = 30.0


class BudgetTree:
    """The nodes of one plan; the leaves are service groups of teams."""

    def __init__(self, plan: Plan, on_removed: Callable[[Node], None]) -> None:
        """Only the root is there; `on_removed` is told each node that is forgotten."""
        self.plan, self.on_removed = plan, on_removed
        self.root = Node("", None, plan.share(()))
        # Nodes with nothing held or out, and since when.
        self.idle_since: dict[Node, float] = {}

    def leaf(self, team: str, query_class: str) -> Node:
        """The leaf of a team's service group, with the nodes above it, made as they are needed."""
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
        """Something of the leaf has ended: nodes on the way up that are idle now may be forgotten later."""
        for node in path_to_root(leaf):
            if not node.queued and not node.threads_in_use:
                node.end_busy_period()
                if node.parent:
                    self.idle_since.setdefault(node, now)

    def remove_idle(self, now: float) -> None:
        """Drop nodes that have been idle for long."""
        while self.idle_since and now - self.idle_since[next(iter(self.idle_since))] >= IDLE_LIFETIME:
            self.remove(next(iter(self.idle_since)), now)

    def remove(self, node: Node, now: float) -> None:
        """Idle for long. Risk: forgotten with a debt, it would start anew without it."""
        since = self.idle_since.pop(node)
        if (
            node.queued
            or node.threads_in_use
            or node.children
            or node.parent.children.get(node.name) is not node
        ):
            # One with others below it comes up again with the last of them.
            return
        if node.finish_tag > node.parent.virtual_time:
            # It owes still: looked at again later.
            self.idle_since[node] = now
            return
        del node.parent.children[node.name]
        self.on_removed(node)
        if node.parent.parent and not node.parent.children and not node.parent.threads_in_use:
            self.idle_since[node.parent] = since


def path_to_root(leaf: Node) -> Iterator[Node]:
    """The leaf and all above it."""
    node: Node | None = leaf
    while node is not None:
        yield node
        node = node.parent


def is_above_guarantee(leaf: Node, capacity: float) -> bool:
    """Whether a node on the way up holds more than it is guaranteed."""
    return any(
        node.parent and node.threads_in_use > node.share.guarantee * capacity for node in path_to_root(leaf)
    )
