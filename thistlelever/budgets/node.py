"""Nodes of the budget tree: hierarchical start-time fair queueing with guarantees and ceilings.

Start-time fair queueing as in Goyal, Vin and Cheng (SIGCOMM 1996): each packet gets a start tag, the larger
of the virtual time and the finish tag of its flow's previous packet; the smallest start tag is served next,
and the virtual time is the start tag in service. Here a flow is a child of a node, at each level of the
tree, and the length of a packet is work, in core-seconds.

Differences from the paper: a child that holds fewer threads than its guarantee is served before all that
have reached theirs; a child at its ceiling waits; and a child that was idle may start `burst / weight`
before the virtual time, so that its burst of core-seconds comes ahead of its turn.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

from thistlelever.budgets.plan import Share

if TYPE_CHECKING:
    from thistlelever.budgets.queued_batch import QueuedBatch

# A rate is measured over the samples of so many seconds, and over so many samples at most.
RATE_WINDOW, MAX_RATE_SAMPLES = 2.0, 512
# A rate is unknown while its samples span fewer seconds than this, or are fewer.
MIN_RATE_SPAN, MIN_RATE_SAMPLES = 0.25, 6


class Node:
    """One node of the tree, kept while anything below it is queued or released and for a while after. Queued
    batches are counted in core-seconds of work, released ones in threads."""

    def __init__(self, name: str, parent: Node | None, share: Share) -> None:
        """Create a node with nothing queued or released. `parent` is None for the root only."""
        self.name, self.parent, self.share = name, parent, share
        self.children: dict[str, Node] = {}
        # Tags are in the parent's virtual time; `virtual_time` and `max_finish_tag` are the children's.
        self.start_tag, self.finish_tag, self.virtual_time, self.max_finish_tag = 0.0, 0.0, 0.0, 0.0
        self.queued, self.backlog, self.threads_in_use = 0, 0.0, 0.0
        # The sum of the weights of children that have something queued.
        self.active_weight = 0.0
        # A heap of (at or above guarantee, start tag, entry number, child); and children at their ceiling.
        self.schedule: list[tuple[bool, float, int, Node]] = []
        self.blocked: list[Node] = []
        # The number of its valid entry in the parent's schedule, or 0; the last number given to a child.
        self.schedule_number, self.last_number = 0, 0
        # Of a leaf: its queued batches, in release order.
        self.queue: list[QueuedBatch] = []
        # Samples are (time, virtual time), of a leaf (time, core-seconds released so far).
        self.released_work, self.last_served_at = 0.0, float("-inf")
        self.rate_samples: deque[tuple[float, float]] = deque(maxlen=MAX_RATE_SAMPLES)

    def path(self) -> tuple[str, ...]:
        """The names of the nodes from below the root down to this one; empty for the root."""
        return (*self.parent.path(), self.name) if self.parent else ()

    def is_below_guarantee(self, capacity: float) -> bool:
        """Whether it holds fewer threads than its guarantee of `capacity` threads."""
        return self.threads_in_use < self.share.guarantee * capacity

    def is_at_ceiling(self, capacity: float, width: float) -> bool:
        """Whether `width` threads more would exceed its ceiling of `capacity` threads. One batch may always
        run: a batch wider than the ceiling would otherwise never be released."""
        return self.threads_in_use > 0 and self.threads_in_use + width > self.share.ceiling * capacity

    def reschedule(self, capacity: float) -> None:
        """Enter it in the parent's schedule, in place of its earlier entry: to be called when its start tag,
        or whether it is below its guarantee, has changed. Does nothing for the root and while nothing is
        queued."""
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
            # Superseded entries are dropped when they reach the top; those that never do would accumulate.
            parent.schedule = [entry for entry in parent.schedule if entry[3].schedule_number == entry[2]]
            heapify(parent.schedule)

    def activate(self) -> None:
        """It becomes backlogged: its start tag is the virtual time, less the burst, or its finish tag if that
        is later."""
        if self.parent:
            burst_offset = self.share.burst / self.share.weight
            self.start_tag = max(self.parent.virtual_time - burst_offset, self.finish_tag)
            self.parent.active_weight += self.share.weight

    def deactivate(self) -> None:
        """Nothing of it is queued any more: its weight no longer counts among its siblings."""
        if self.parent:
            self.parent.active_weight = max(self.parent.active_weight - self.share.weight, 0.0)

    def end_busy_period(self) -> None:
        """Nothing below it is queued or released: the virtual time advances to the largest finish tag, as the
        algorithm prescribes at the end of a busy period. No child is left in debt for capacity that nobody
        else wanted."""
        self.virtual_time = max(self.virtual_time, self.max_finish_tag)

    def record_service(self, work: float, now: float) -> None:
        """A batch of `work` core-seconds below it was released at `now`: advances the parent's virtual time
        and its own tags."""
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
        """Charge `work` core-seconds that a finished batch cost more than it was charged; negative where it
        cost less. Without this a team that understates its costs would get more than its share."""
        if self.parent:
            self.finish_tag = max(self.finish_tag + work / self.share.weight, 0.0)
            if self.queued:
                self.start_tag = max(self.start_tag + work / self.share.weight, 0.0)

    def rate(self, now: float) -> float | None:
        """Its recent rate: of a leaf the core-seconds released a second, of an inner node the virtual time a
        second. None where the samples of the last `RATE_WINDOW` seconds are too few."""
        while self.rate_samples and self.rate_samples[0][0] < now - RATE_WINDOW:
            self.rate_samples.popleft()
        if len(self.rate_samples) < MIN_RATE_SAMPLES:
            return None
        (first_at, first), (last_at, last) = self.rate_samples[0], self.rate_samples[-1]
        if last_at - first_at <= MIN_RATE_SPAN or last <= first:
            return None
        return (last - first) / (now - first_at)

    def next_leaf(self, capacity: float, width_of: Callable[[Node], float]) -> Node | None:
        """The leaf below this node whose turn it is; None where everything queued is blocked at a ceiling.
        `width_of` gives the threads of a leaf's first batch. Children at their ceiling, or without such a
        leaf, are set aside until `unblock_children`."""
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
        """A batch below it has ended, or the capacity has changed: children that were set aside at their
        ceiling are scheduled again."""
        blocked, self.blocked = self.blocked, []
        for child in blocked:
            child.reschedule(capacity)
