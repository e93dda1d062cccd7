"""Counts how batches end, by query class, and why those without a result were held, refused or not retried.

Nothing is decided by these counts: they are for the log.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from thistlelever.ground import interface as it


class Hold(StrEnum):
    """Why a queued batch could not be dispatched when it was last looked at."""

    # No engine can take it now; at a refusal one of the next five says why, for most of the ready engines.
    ENGINES = "no engine can take it"
    NONE_READY = "no engine ready"
    BACKED_OFF = "engines backed off"
    SLOW_START = "engines in slow start"
    NOT_ELIGIBLE = "engines not eligible"
    AT_LIMIT = "engines at their limit"
    PACING = "paced"
    PROBE = "waits for a probe"
    TOP_CLASS = "spares the top class"
    KEY = "waits for its key or a table load"


class Refusal(StrEnum):
    """Why a batch is refused that nothing holds back."""

    ESTIMATE = "hopeless by its own estimate"
    CLASS_SLOWDOWN = "hopeless by the slowdown of its class"
    MOST_DISPATCHES = "most dispatches"
    NO_TIME = "no time left"
    RETRY_BUDGET = "retry budget"
    MAY_HAVE_RUN = "may have run"


class BatchEnds:
    """Counters since the start of the process. Each name begins with the index of the query class."""

    def __init__(self) -> None:
        """Start with all counters at zero."""
        self.counts: Counter[str] = Counter()

    def received(self, class_index: int) -> None:
        """Count a batch received."""
        self.counts[f"{class_index} received"] += 1

    def dispatch_ended(self, class_index: int, outcome: it.DispatchOutcome) -> None:
        """Count the outcome of one dispatch."""
        self.counts[f"{class_index} dispatch {outcome.name.lower()}"] += 1

    def returned(self, class_index: int, in_time: bool) -> None:
        """Count a batch whose dispatch completed it; `in_time`: with a result, by its latency objective."""
        self.counts[f"{class_index} completed {'in time' if in_time else 'late'}"] += 1

    def refused(self, class_index: int, last: it.DispatchOutcome | None, cause: Hold | Refusal) -> None:
        """Count a batch without a result; `last` is the outcome of its last dispatch, if it had one."""
        after = f" after {last.name.lower()}" if last is not None else ""
        self.counts[f"{class_index} refused{after}: {cause}"] += 1
