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
RATE_WINDOW, MAX_RATE_SAMPLES = 2.0, 512
# What was seen for less than this, or in fewer turns, tells no pace.
MIN_RATE_SPAN, MIN_RATE_SAMPLES = 0.25, 6


class Node:
    """One node of the tree while something of it is held or out. Threads count what is out, work what is
    held."""

    def __init__(self, name: str, parent: Node | None, share: Share) -> None:
        """A node that holds nothing yet."""
        self.name, self.parent, self.share = name, parent, share
        self.children: dict[str, Node] = {}
        # Tags in the parent's virtual time; own virtual time for those below.
        self.start_tag, self.finish_tag, self.virtual_time, self.max_finish_tag = 0.0, 0.0, 0.0, 0.0
        self.queued, self.backlog, self.threads_in_use = 0, 0.0, 0.0
        # The weights of those below that hold something.
        self.active_weight = 0.0
        self.schedule: list[tuple[bool, float, int, Node]] = []
        self.blocked: list[Node] = []
        # The number of its valid place in the parent's turns, 0 for none; the last number given here.
        self.schedule_number, self.last_number = 0, 0
        # Of a leaf: what it holds, by when it is due.
        self.queue: list[QueuedBatch] = []
        # When the virtual time was what, lately; of a leaf, how much it had released.
        self.released_work, self.last_served_at = 0.0, float("-inf")
        self.rate_samples: deque[tuple[float, float]] = deque(maxlen=MAX_RATE_SAMPLES)

    def path(self) -> tuple[str, ...]:
        """The names from below the root down to it."""
        return (*self.parent.path(), self.name) if self.parent else ()

    def is_below_guarantee(self, capacity: float) -> bool:
        """Whether it holds less than it is guaranteed."""
        return self.threads_in_use < self.share.guarantee * capacity

    def is_at_ceiling(self, capacity: float, width: float) -> bool:
        """At its ceiling. One batch may always be out, or one wider than the ceiling would never go."""
        return self.threads_in_use > 0 and self.threads_in_use + width > self.share.ceiling * capacity

    def reschedule(self, capacity: float) -> None:
        """It takes its place among those beside it, anew where its tag or its standing has changed."""
        parent = self.parent
        if parent is None or not self.queued:
            return
        parent.last_number += 1
        self.schedule_number = parent.last_number
        heappush(
            parent.schedule,
            (not self.is_below_guarantee(capacity), self.start_tag, self.schedule_number, self),
        )
        if len(parent.schedule) > 4 * len(parent.children) + 64:
            # A place that a later one has replaced is dropped when it is met; unmet ones would only grow.
            parent.schedule = [entry for entry in parent.schedule if entry[3].schedule_number == entry[2]]
            heapify(parent.schedule)

    def activate(self) -> None:
        """It was idle and holds something now: it starts at the virtual time, or where its last turn
        ended."""
        if self.parent:
            burst_offset = self.share.burst / self.share.weight
            self.start_tag = max(self.parent.virtual_time - burst_offset, self.finish_tag)
            self.parent.active_weight += self.share.weight

    def deactivate(self) -> None:
        """It holds nothing any more."""
        if self.parent:
            self.parent.active_weight = max(self.parent.active_weight - self.share.weight, 0.0)

    def end_busy_period(self) -> None:
        """Nothing of it is held or out: the virtual time goes on to the last finish tag, as the algorithm
        has it at the end of a busy period, and nobody below owes anything for a share that nobody else
        wanted."""
        self.virtual_time = max(self.virtual_time, self.max_finish_tag)

    def record_service(self, work: float, now: float) -> None:
        """A batch of it had its turn."""
        if self.parent:
            parent = self.parent
            parent.virtual_time = max(parent.virtual_time, self.start_tag)
            parent.rate_samples.append((now, parent.virtual_time))
            if not self.children:
                self.released_work += work
                self.last_served_at = now
                self.rate_samples.append((now, self.released_work))
            self.finish_tag = self.start_tag + work / self.share.weight
            self.start_tag = self.finish_tag
            parent.max_finish_tag = max(parent.max_finish_tag, self.finish_tag)

    def correct_charge(self, work: float) -> None:
        """What was charged was short of the truth by so much, or over it where negative. Risk: a team that
        puts its costs low gets more than its share."""
        if self.parent:
            self.finish_tag = max(self.finish_tag + work / self.share.weight, 0.0)
            if self.queued:
                self.start_tag = max(self.start_tag + work / self.share.weight, 0.0)

    def rate(self, now: float) -> float | None:
        """How fast its virtual time goes, or what it releases, lately; None where it can't be told yet."""
        while self.rate_samples and self.rate_samples[0][0] < now - RATE_WINDOW:
            self.rate_samples.popleft()
        if len(self.rate_samples) < MIN_RATE_SAMPLES:
            return None
        (first_at, first), (last_at, last) = self.rate_samples[0], self.rate_samples[-1]
        return (
            (last - first) / (now - first_at) if last_at - first_at > MIN_RATE_SPAN and last > first else None
        )

    def next_leaf(self, capacity: float, width_of: Callable[[Node], float]) -> Node | None:
        """The leaf whose turn it is, below this node; None where all that holds something is at a ceiling."""
        if self.parent and not self.children:
            return self
        while self.schedule:
            _, _, number, child = self.schedule[0]
            if child.schedule_number != number or not child.queued:
                heappop(self.schedule)
                continue
            leaf = child.next_leaf(capacity, width_of)
            if leaf is not None and not child.is_at_ceiling(capacity, width_of(leaf)):
                return leaf
            heappop(self.schedule)
            child.schedule_number = 0
            self.blocked.append(child)
        return None

    def unblock_children(self, capacity: float) -> None:
        """Something below has ended: what was set aside at a ceiling is looked at again."""
        blocked, self.blocked = self.blocked, []
        for child in blocked:
            child.reschedule(capacity)
