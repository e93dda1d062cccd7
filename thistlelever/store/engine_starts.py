"""When the engines of the list started, on this front's clock.

A list names a start as a moment of the Unix clock. That clock may be stepped, here or where the list is
made, so each told start is turned into a moment of the clock that only counts on, once, when it is first
heard. From then on what the wall clock does changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable

from thistlelever.ground import interface as it

# Seconds by which the wall clock may leave the clock that counts on before it was stepped.
CLOCK_STEP = 0.5
# A list may name a start so many seconds after it, counted from the last answer without it.
LISTING_DELAY = 7.0
# An engine that has left the list for so many seconds is forgotten.
RETENTION = 600.0


class EngineStarts:
    """The start of each engine that was listed lately."""

    def __init__(self) -> None:
        """No engine has been listed."""
        # By engine the start as it was told, what it is believed to be, and when the engine was last listed.
        self.estimates: dict[it.EngineId, tuple[float, float, float]] = {}

    def learn(
        self, engines: Iterable[it.Engine], now: float, last_heard: float | None, wall_ahead: float
    ) -> None:
        """Take the engines of a list that comes in force. Seconds: `last_heard` is when the list before it
        was last confirmed, `None` without one; `wall_ahead` is how far the wall clock is ahead of `now`."""
        for engine in engines:
            if not engine.started:
                continue
            listed, estimate, _ = self.estimates.get(engine.id, (None, 0.0, 0.0))
            if listed != engine.started:
                estimate = estimate_start(engine.started, now, last_heard, wall_ahead)
            self.estimates[engine.id] = engine.started, estimate, now
        for engine_id in [e for e, (*_, at) in self.estimates.items() if now - at > RETENTION]:
            del self.estimates[engine_id]

    def started_at(self, engine: it.Engine) -> float:
        """The engine's start on this front's clock; 0.0 where it started before anybody counted."""
        if not engine.started:
            return 0.0
        listed, estimate, _ = self.estimates.get(engine.id, (None, 0.0, 0.0))
        return estimate if listed == engine.started else engine.started


def estimate_start(listed: float, now: float, last_heard: float | None, wall_ahead: float) -> float:
    """The start on this front's clock for a told one, both in seconds.

    While the wall clock has not been stepped a told start is believed, unless it lies in the future: then
    the engine starts now. After a step it may have been told by either clock. Of the moments that it can
    stand for the later is believed, as an engine that is taken for colder than it is comes to no harm; where
    neither can be, the engine started when it appeared.
    """
    if abs(wall_ahead) < CLOCK_STEP:
        return min(listed, now)
    earliest = float("-inf") if last_heard is None else last_heard - LISTING_DELAY
    possible = [start for start in (listed, listed - wall_ahead) if earliest <= start <= now]
    return max(possible, default=now)
