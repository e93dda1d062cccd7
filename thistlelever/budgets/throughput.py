"""How much work all threads end in a second, seen from what has ended lately."""

from __future__ import annotations

from collections import deque

# So long all threads, or fewer for longer, must have been at work before their yield is believed, which is
# then taken over so long.
MIN_OBSERVED, WINDOW = 0.25, 8.0
# A thread is taken to end at most so much, and all threads together at least so much.
MAX_YIELD, MIN_PACE = 2.0, 0.1


class Throughput:
    """What has ended lately: its charge, and the thread-seconds that it took."""

    def __init__(self) -> None:
        """Nothing has ended yet: a thread is taken to end one core-second in a second."""
        self.ended: deque[tuple[float, float, float]] = deque()
        self.work = self.time = 0.0
        self.yields = 1.0

    def add(self, now: float, charge: float, thread_seconds: float) -> None:
        """Something has ended."""
        self.ended.append((now, charge, thread_seconds))
        self.work += charge
        self.time += thread_seconds

    def pace(self, now: float, capacity: float) -> float:
        """Core-seconds, as they are charged, that so many threads would end in a second: what those that were
        out lately have ended, for each second that one was."""
        while self.ended and self.ended[0][0] < now - WINDOW:
            _, charge, lasted = self.ended.popleft()
            self.work -= charge
            self.time -= lasted
        if self.time >= MIN_OBSERVED * max(capacity, 1.0):
            self.yields = min(self.work / self.time, MAX_YIELD)
        return max(capacity * self.yields, MIN_PACE)
