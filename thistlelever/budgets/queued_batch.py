"""Batches known to the fair queue, and the policy that applies to all of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from thistlelever.budgets.node import Node

# A batch is released early enough before its deadline for its run time with this factor; a run time is taken
# to be at least so many seconds.
RUN_TIME_MARGIN, MIN_RUN_TIME = 1.5, 0.02


class BatchSpec(NamedTuple):
    """A batch as it is submitted. `number` is the front's number of it; `work` is the estimated cost in
    core-seconds, `width` the threads that it runs on. `deadline` (the client's time limit) and `objective_at`
    (the latency objective) are times in seconds. `key` is its ordering key, 0 where order does not matter;
    `retried` says that its client was pushed back before."""

    number: int
    team: str
    query_class: str
    value: float
    work: float
    width: float
    deadline: float
    objective_at: float
    key: int
    retried: bool = False


class QueuePolicy(NamedTuple):
    """Settings of the whole queue: whether engines can cancel a running query; the fraction of all work that
    pre-emption may waste; the longest retry delay, in seconds, that a client is given; and the threads that
    this front may occupy, as a multiple of its capacity."""

    can_cancel: bool
    max_waste: float
    max_retry_delay: float
    overcommit: float


@dataclass(slots=True, eq=False)
class QueuedBatch:
    """One batch that is queued or released. Times and waits are in seconds, `charge` in core-seconds."""

    spec: BatchSpec
    leaf: Node
    queued_at: float
    # The time by which it is ordered in its leaf: earlier than `queued_at` for a retried batch.
    order_at: float
    charge: float
    estimated_wait: float
    uncorrected_wait: float
    naive_wait: float
    # In its leaf's queue: not released, and the first of its ordering key.
    schedulable: bool = False
    is_released: bool = False
    released_at: float = 0.0
    dispatched: bool = False
    preempted: bool = False
    # Its estimated wait is long enough for it to be released by age.
    ages: bool = False

    def __lt__(self, other: QueuedBatch) -> bool:
        """The order of release within a leaf."""
        return (self.order_at, self.spec.number) < (other.order_at, other.spec.number)

    def work_done(self, now: float) -> float:
        """The work, in thread-seconds, done by `now`, inferred from the time since its release."""
        return (now - self.released_at) * self.spec.width if self.dispatched else 0.0

    def release_deadline(self) -> float:
        """The latest time at which it may be released; after that it is refused."""
        run_time = max(self.charge / self.spec.width, MIN_RUN_TIME)
        return max(self.spec.deadline - RUN_TIME_MARGIN * run_time, self.queued_at)
