"""Retry budget: how many further dispatches a front may make in a window of time."""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Iterable

from thistlelever.ground import interface as it


class RetryBudgetWindow:
    """Permits a fixed number of further dispatches in the window and a share of the batches received in it.

    Without an `allowance` everything is permitted and nothing is kept. `tick` is the accuracy of times, in
    seconds.
    """

    def __init__(self, allowance: it.RetryBudget | None, tick: float) -> None:
        """Start with an empty window."""
        self.allowance = allowance
        self.tick = tick
        # When batches were received and when further dispatches were made, oldest first.
        self.received_times: deque[float] = deque()
        self.retry_times: deque[float] = deque()

    def batch_received(self, at: float) -> None:
        """Count a batch that was received at a time, which may lie before that of the last one."""
        if self.allowance:
            insort(self.received_times, at)

    def retried(self, now: float) -> None:
        """Count a further dispatch."""
        if self.allowance:
            self.retry_times.append(now)

    def permits_retry(self) -> bool:
        """Whether there is room for one more further dispatch."""
        if not self.allowance:
            return True
        floor, share, _ = self.allowance
        return len(self.retry_times) + 1 <= floor + share * len(self.received_times)

    def drop_expired(self, now: float) -> None:
        """Drop what is older than the window."""
        if not self.allowance:
            return
        window = self.allowance[2]
        # A retry is kept a tick longer than a received batch, so that rounding never frees its place early.
        while self.retry_times and self.retry_times[0] <= now - window - self.tick:
            self.retry_times.popleft()
        while self.received_times and self.received_times[0] <= now - window:
            self.received_times.popleft()

    def restore(self, now: float, received_ago: Iterable[float], retried_ago: Iterable[float]) -> None:
        """Continue the window of an earlier process; ages in seconds, oldest first."""
        if not self.allowance:
            return
        self.received_times.extendleft(now - ago for ago in reversed(tuple(received_ago)))
        self.retry_times.extendleft(now - ago for ago in reversed(tuple(retried_ago)))
