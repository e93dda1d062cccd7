"""Queries that are held or out, and the terms that hold for all of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from thistlelever.budgets.node import Node

# Held no longer than until its run, and half as much again, would pass its time limit.
RUN, LEAST_RUN = 1.5, 0.02


class BatchSpec(NamedTuple):
    """A batch as the judge knows it. Work in core-seconds, width in threads; `key` is 0 where order does not
    matter; `again` says that its client was pushed back before."""

    number: int
    team: str
    group: str
    utility: float
    work: float
    width: float
    limit_at: float
    goal_at: float
    key: int
    again: bool = False


class QueuePolicy(NamedTuple):
    """What holds for the whole tree: whether engines cancel, the share of work that pre-emption may throw
    away, the longest time to come back, and how many times its threads this front may have out."""

    cancels: bool
    waste: float
    longest_return: float
    depth: float


@dataclass(slots=True, eq=False)
class QueuedBatch:
    """One batch that is held or out."""

    entry: BatchSpec
    leaf: Node
    since: float
    due: float
    charge: float
    told: float
    raw: float
    naive: float
    waiting: bool = False
    out: bool = False
    released: float = 0.0
    began: bool = False
    given_up: bool = False
    # Whether it was told a wait in which it ages.
    slow: bool = False

    def __lt__(self, other: QueuedBatch) -> bool:
        """In its leaf's queue the one that is due first comes first."""
        return (self.due, self.entry.number) < (other.due, other.entry.number)

    def done(self, now: float) -> float:
        """The work, in thread-seconds, that it has done so far as far as its time tells."""
        return (now - self.released) * self.entry.width if self.began else 0.0

    def must_go_by(self) -> float:
        """The last moment at which it is released: past it, it is refused."""
        run = max(self.charge / self.entry.width, LEAST_RUN)
        return max(self.entry.limit_at - RUN * run, self.since)
