"""Commands that budgets and takeover send to the task of one batch; `number` is the batch's number.

While both are switched off, nothing sends them.
"""

from __future__ import annotations

from typing import NamedTuple


class Release(NamedTuple):
    """Pass a batch that was held back on to the dispatch decisions."""

    number: int


class Refuse(NamedTuple):
    """Push the batch back to its client, with the seconds after which to retry and the reason."""

    number: int
    after: float
    why: str


class Preempt(NamedTuple):
    """Give the batch up in favour of another one.

    Its running dispatches are cancelled. The client is pushed back for `after` seconds, or gets an error
    where a retry could run the batch a second time.
    """

    number: int
    after: float


class TakenOver(NamedTuple):
    """End the batch at this front: another front has taken it over, or it was handed over."""

    number: int


Command = Release | Refuse | Preempt | TakenOver
