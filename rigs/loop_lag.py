"""Measures the lag of a rig's event loop, which bounds the accuracy of what the rig measures."""

from time import monotonic

from thistlelever.carrier.loop_lag import LoopLagMonitor

# Lags from this length on are recorded.
MIN_RECORDED_LAG_S = 0.25


class LoopLag(LoopLagMonitor):
    """The lag monitor of the front; also records each long lag as (end on the monotonic clock, seconds)."""

    def __init__(self):
        super().__init__()
        self.recorded = []

    def record(self, late):
        super().record(late)
        if late >= MIN_RECORDED_LAG_S:
            self.recorded.append((monotonic(), late))


def lag_between(recorded, since, until):
    """Returns for how many seconds between `since` and `until` the loop was blocked by recorded lags."""
    return sum(max(min(end, until) - max(end - late, since), 0.0) for end, late in recorded)
