"""Measures how late the event loop runs its timers."""

from __future__ import annotations

import asyncio

from thistlelever.ground import clock

# Interval of the measurement in seconds: short enough to see a stall that matters to time limits, at 50
# wake-ups a second.
INTERVAL_S = 0.02
# Factor per interval by which a past lag decays: half of it is left after 0.13 s. Under overload stalls
# follow one another closely.
DECAY = 0.9


class LoopLagMonitor:
    """The recent lag of the event loop in seconds, and the worst since `worst` was last reset."""

    def __init__(self) -> None:
        """Start with no lag; `run` measures it."""
        self.lag, self.worst, self.due = 0.0, 0.0, float("inf")

    def current(self) -> float:
        """Return the lag in seconds, including that of an overdue measurement.

        After the process was stopped, sockets may be read before the measurement is taken; without the
        overdue part their data would count as just sent.
        """
        return max(self.lag, clock.now() - self.due)

    def record(self, late: float) -> None:
        """Take in one measured lag in seconds."""
        self.lag = max(late, self.lag * DECAY)
        self.worst = max(self.worst, late)

    async def run(self) -> None:
        """Measure the lag for as long as the front runs."""
        while True:
            self.due = clock.now() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self.record(clock.now() - self.due)
