"""Whose turn it is: hierarchical start-time fair queueing, with guarantees before turns and ceilings over
them.

Start-time fair queueing as Goyal, Vin and Cheng give it (SIGCOMM 1996): what is served gets a start tag, the
greater of the virtual time and the finish tag of what its flow had before; the least start tag is next, and
the virtual time is the start tag in service. Here a flow is a child of a node, at each level of the tree,
and the length of a packet is work, in core-seconds. Departures: a child that holds less than its guarantee
goes before all that hold theirs; one at its ceiling waits; one that was idle may start `burst` core-seconds
before the virtual time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

from thistlelever.budgets.plan import Share

if TYPE_CHECKING:
    from thistlelever.budgets.queued_batch import QueuedBatch

# The pace of a virtual time, or of what a leaf releases, is taken over so long, and over so many turns at
# most.
PACE_OVER, PACE_TURNS = 2.0, 512
# What was seen for less than this, or in fewer turns, tells no pace.
PACE_LEAST, TURNS_LEAST = 0.25, 6


class Node:
    """One node of the tree while something of it is held or out. Threads count what is out, work what is
    held."""

    def __init__(self, name: str, parent: Node | None, share: Share) -> None:
        """A node that holds nothing yet."""
        self.name, self.parent, self.share = name, parent, share
        self.children: dict[str, Node] = {}
        # Tags in the parent's virtual time; own virtual time for those below.
        self.start, self.finish, self.time, self.last = 0.0, 0.0, 0.0, 0.0
        self.held, self.backlog, self.threads = 0, 0.0, 0.0
        # The weights of those below that hold something.
        self.wanting = 0.0
        self.turns: list[tuple[bool, float, int, Node]] = []
        self.set_aside: list[Node] = []
        # The number of its valid place in the parent's turns, 0 for none; the last number given here.
        self.turn, self.pushed = 0, 0
        # Of a leaf: what it holds, by when it is due.
        self.queue: list[QueuedBatch] = []
        # When the virtual time was what, lately; of a leaf, how much it had released.
        self.released, self.served_at = 0.0, float("-inf")
        self.marks: deque[tuple[float, float]] = deque(maxlen=PACE_TURNS)

    def path(self) -> tuple[str, ...]:
        """The names from below the root down to it."""
        return (*self.parent.path(), self.name) if self.parent else ()

    def under(self, capacity: float) -> bool:
        """Whether it holds less than it is guaranteed."""
        return self.threads < self.share.guarantee * capacity

    def full(self, capacity: float, width: float) -> bool:
        """At its ceiling. One batch may always be out, or one wider than the ceiling would never go."""
        return self.threads > 0 and self.threads + width > self.share.ceiling * capacity

    def waits(self, capacity: float) -> None:
        """It takes its place among those beside it, anew where its tag or its standing has changed."""
        parent = self.parent
        if parent is None or not self.held:
            return
        parent.pushed += 1
        self.turn = parent.pushed
        heappush(parent.turns, (not self.under(capacity), self.start, self.turn, self))
        if len(parent.turns) > 4 * len(parent.children) + 64:
            # A place that a later one has replaced is dropped when it is met; unmet ones would only grow.
            parent.turns = [turn for turn in parent.turns if turn[3].turn == turn[2]]
            heapify(parent.turns)

    def wakes(self) -> None:
        """It was idle and holds something now: it starts at the virtual time, or where its last turn
        ended."""
        if self.parent:
            credit = self.share.burst / self.share.weight
            self.start = max(self.parent.time - credit, self.finish)
            self.parent.wanting += self.share.weight

    def sleeps(self) -> None:
        """It holds nothing any more."""
        if self.parent:
            self.parent.wanting = max(self.parent.wanting - self.share.weight, 0.0)

    def rests(self) -> None:
        """Nothing of it is held or out: the virtual time goes on to the last finish tag, as the algorithm
        has it at the end of a busy period, and nobody below owes anything for a share that nobody else
        wanted."""
        self.time = max(self.time, self.last)

    def served(self, work: float, now: float) -> None:
        """A batch of it had its turn."""
        if self.parent:
            parent = self.parent
            parent.time = max(parent.time, self.start)
            parent.marks.append((now, parent.time))
            if not self.children:
                self.released += work
                self.served_at = now
                self.marks.append((now, self.released))
            self.finish = self.start + work / self.share.weight
            self.start = self.finish
            parent.last = max(parent.last, self.finish)

    def corrected(self, work: float) -> None:
        """What was charged was short of the truth by so much, or over it where negative. Risk: a team that
        puts its costs low gets more than its share."""
        if self.parent:
            self.finish = max(self.finish + work / self.share.weight, 0.0)
            if self.held:
                self.start = max(self.start + work / self.share.weight, 0.0)

    def pace(self, now: float) -> float | None:
        """How fast its virtual time goes, or what it releases, lately; None where it can't be told yet."""
        while self.marks and self.marks[0][0] < now - PACE_OVER:
            self.marks.popleft()
        if len(self.marks) < TURNS_LEAST:
            return None
        (first, low), (last, high) = self.marks[0], self.marks[-1]
        return (high - low) / (now - first) if last - first > PACE_LEAST and high > low else None

    def next_leaf(self, capacity: float, width_of: Callable[[Node], float]) -> Node | None:
        """The leaf whose turn it is, below this node; None where all that holds something is at a ceiling."""
        if self.parent and not self.children:
            return self
        while self.turns:
            _, _, number, child = self.turns[0]
            if child.turn != number or not child.held:
                heappop(self.turns)
                continue
            leaf = child.next_leaf(capacity, width_of)
            if leaf is not None and not child.full(capacity, width_of(leaf)):
                return leaf
            heappop(self.turns)
            child.turn = 0
            self.set_aside.append(child)
        return None

    def freed(self, capacity: float) -> None:
        """Something below has ended: what was set aside at a ceiling is looked at again."""
        waiting, self.set_aside = self.set_aside, []
        for child in waiting:
            child.waits(capacity)
