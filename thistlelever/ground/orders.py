"""What judges of budgets and of takeover ask of a batch's task. Off, nothing sends them."""

from __future__ import annotations

from typing import NamedTuple


class Release(NamedTuple):
    """Tell the decisions of it."""

    number: int


class Refuse(NamedTuple):
    """Push it back, with the seconds to stay away and why."""

    number: int
    after: float
    why: str


class Preempt(NamedTuple):
    """Give up what is out of it, for another's sake."""

    number: int
    after: float


class TakenOver(NamedTuple):
    """Another front has it, or it was handed over: nothing more may be done for it here."""

    number: int


Order = Release | Refuse | Preempt | TakenOver
