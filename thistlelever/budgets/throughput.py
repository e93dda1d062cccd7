"""Measures how much work the threads complete a second, from recently completed batches."""

from __future__ import annotations

from collections import deque

# Seconds for which all threads, or fewer of them for longer, must have been occupied before the measurement
# replaces the assumption; and the seconds over which it is taken.
MIN_OBSERVATION, WINDOW = 0.25, 8.0
# Bounds of the estimate: core-seconds per thread-second, and core-seconds a second of all threads together.
MAX_WORK_PER_THREAD_SECOND, MIN_RATE = 2.0, 0.1


class Throughput:
    """Recently completed batches: the charge of each, and the thread-seconds that it occupied."""

    def __init__(self) -> None:
        """Nothing has completed: a thread is assumed to complete one core-second a second."""
        self.completed: deque[tuple[float, float, float]] = deque()
        self.work = self.thread_seconds = 0.0
        self.work_per_thread_second = 1.0

    def add(self, now: float, charge: float, thread_seconds: float) -> None:
        """A batch charged `charge` core-seconds has completed at `now`, after so many thread-seconds."""
        self.completed.append((now, charge, thread_seconds))
        self.work += charge
        self.thread_seconds += thread_seconds

    def rate(self, now: float, capacity: float) -> float:
        """The core-seconds a second, as charged, that `capacity` threads complete: the charges of the last
        `WINDOW` seconds for each thread-second occupied."""
        while self.completed and self.completed[0][0] < now - WINDOW:
            _, charge, thread_seconds = self.completed.popleft()
            self.work -= charge
            self.thread_seconds -= thread_seconds
        if self.thread_seconds >= MIN_OBSERVATION * max(capacity, 1.0):
            self.work_per_thread_second = min(self.work / self.thread_seconds, MAX_WORK_PER_THREAD_SECOND)
        return max(capacity * self.work_per_thread_second, MIN_RATE)
