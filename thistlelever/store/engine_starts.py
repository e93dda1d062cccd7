"""Start times of the listed engines, on this front's monotonic clock.

The engine list gives start times as Unix time. The wall clock may be stepped, on this machine or on the one
that builds the list. Each listed start time is therefore converted to the monotonic clock once, when it is
first received; later steps of the wall clock do not change it.
"""

from __future__ import annotations

from collections.abc import Iterable

from thistlelever.ground import interface as it

# A difference between the wall clock and the monotonic clock from which the wall clock counts as stepped,
# in seconds.
CLOCK_STEP = 0.5
# Maximum delay in seconds between the start of an engine and the first list that has it, counted back from
# the last answer before that list.
LISTING_DELAY = 7.0
# Seconds for which the estimate of an engine that has left the list is kept.
RETENTION = 600.0


class EngineStarts:
    """Keeps an estimated start time for each engine that was listed recently."""

    def __init__(self) -> None:
        """Start without engines."""
        # By engine: the start time as listed, the estimate, and when the engine was last listed.
        self.estimates: dict[it.EngineId, tuple[float, float, float]] = {}

    def learn(
        self, engines: Iterable[it.Engine], now: float, last_heard: float | None, wall_ahead: float
    ) -> None:
        """Record the engines of a list that comes into force.

        `last_heard` is when the previous list was last confirmed (None without one), `wall_ahead` how far the
        wall clock is ahead of `now`; both in seconds.
        """
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
        """Return the engine's start time on this front's clock; 0.0 when the list gives none."""
        if not engine.started:
            return 0.0
        listed, estimate, _ = self.estimates.get(engine.id, (None, 0.0, 0.0))
        return estimate if listed == engine.started else engine.started


def estimate_start(listed: float, now: float, last_heard: float | None, wall_ahead: float) -> float:
    """Convert a listed start time to this front's clock; all times in seconds.

    Without a step of the wall clock the listed time is used, or `now` when it lies in the future. After a
    step it may refer to either clock. The later of the plausible times is used, because underestimating the
    age of an engine (treating it as colder than it is) does no harm. When neither is plausible, the engine
    counts as started now.
    """
    if abs(wall_ahead) < CLOCK_STEP:
        return min(listed, now)
    earliest = float("-inf") if last_heard is None else last_heard - LISTING_DELAY
    possible = [start for start in (listed, listed - wall_ahead) if earliest <= start <= now]
    return max(possible, default=now)
