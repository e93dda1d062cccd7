"""How late the loop comes to what is due."""

from __future__ import annotations

import asyncio

from thistlelever.ground import clock

# Often enough to see a stall that costs a time limit, at 50 wake-ups a second.
INTERVAL_S = 0.02
# Of a past stall half is remembered 0.13 s later: in a flood they come one after the other.
DECAY = 0.9


class LoopLagMonitor:
    """The loop's lag now, and the worst since it was last written."""

    def __init__(self) -> None:
        self.lag, self.worst, self.due = 0.0, 0.0, float("inf")

    def current(self) -> float:
        """How late the loop is now. Risk: after a stop of the process what waits at the sockets is read
        before the beat that would tell of the stop, and would count as just sent."""
        return max(self.lag, clock.now() - self.due)

    def record(self, late: float) -> None:
        self.lag = max(late, self.lag * DECAY)
        self.worst = max(self.worst, late)

    async def run(self) -> None:
        while True:
            self.due = clock.now() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self.record(clock.now() - self.due)
