"""How much work all threads end in a second, seen from what has ended lately."""

from __future__ import annotations

from collections import deque

# So long all threads, or fewer for longer, must have been at work before their yield is believed, which is
# then taken over so long.
MIN_OBSERVATION, WINDOW = 0.25, 8.0
# A thread is taken to end at most so much, and all threads together at least so much.
MAX_WORK_PER_THREAD_SECOND, MIN_RATE = 2.0, 0.1


class Throughput:
    """What has ended lately: its charge, and the thread-seconds that it took."""

    def __init__(self) -> None:
        """Nothing has ended yet: a thread is taken to end one core-second in a second."""
        self.completed: deque[tuple[float, float, float]] = deque()
        self.work = self.thread_seconds = 0.0
        self.work_per_thread_second = 1.0

    def add(self, now: float, charge: float, thread_seconds: float) -> None:
        """Something has ended."""
        self.completed.append((now, charge, thread_seconds))
        self.work += charge
        self.thread_seconds += thread_seconds

    def rate(self, now: float, capacity: float) -> float:
        """Core-seconds, as they are charged, that so many threads would end in a second: what those that were
        out lately have ended, for each second that one was."""
        while self.completed and self.completed[0][0] < now - WINDOW:
            _, charge, thread_seconds = self.completed.popleft()
            self.work -= charge
            self.thread_seconds -= thread_seconds
        if self.thread_seconds >= MIN_OBSERVATION * max(capacity, 1.0):
            self.work_per_thread_second = min(self.work / self.thread_seconds, MAX_WORK_PER_THREAD_SECOND)
        return max(capacity * self.work_per_thread_second, MIN_RATE)
