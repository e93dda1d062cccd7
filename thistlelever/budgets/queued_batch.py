"""Queries that are held or out, and the terms that hold for all of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from thistlelever.budgets.node import Node

# Held no longer than until its run, and half as much again, would pass its time limit.
RUN_TIME_MARGIN, MIN_RUN_TIME = 1.5, 0.02


class BatchSpec(NamedTuple):
    """A batch as the judge knows it. Work in core-seconds, width in threads; `key` is 0 where order does not
    matter; `again` says that its client was pushed back before."""

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
    """What holds for the whole tree: whether engines cancel, the share of work that pre-emption may throw
    away, the longest time to come back, and how many times its threads this front may have out."""

    can_cancel: bool
    max_waste: float
    max_retry_delay: float
    overcommit: float


@dataclass(slots=True, eq=False)
class QueuedBatch:
    """One batch that is held or out."""

    spec: BatchSpec
    leaf: Node
    queued_at: float
    order_at: float
    charge: float
    estimated_wait: float
    uncorrected_wait: float
    naive_wait: float
    schedulable: bool = False
    is_released: bool = False
    released_at: float = 0.0
    dispatched: bool = False
    preempted: bool = False
    # Whether it was told a wait in which it ages.
    ages: bool = False

    def __lt__(self, other: QueuedBatch) -> bool:
        """In its leaf's queue the one that is due first comes first."""
        return (self.order_at, self.spec.number) < (other.order_at, other.spec.number)

    def work_done(self, now: float) -> float:
        """The work, in thread-seconds, that it has done so far as far as its time tells."""
        return (now - self.released_at) * self.spec.width if self.dispatched else 0.0

    def release_deadline(self) -> float:
        """The last moment at which it is released: past it, it is refused."""
        run_time = max(self.charge / self.spec.width, MIN_RUN_TIME)
        return max(self.spec.deadline - RUN_TIME_MARGIN * run_time, self.queued_at)
