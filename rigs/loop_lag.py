"""How late an event loop of a rig comes to what is due: what a rig measures is no better than that."""

from time import monotonic

from thistlelever.carrier.loop_lag import LoopLagMonitor

# The lag from which on it is kept with its moment, in seconds.
KEPT_FROM_S = 0.25


class LoopLag(LoopLagMonitor):
    """A front's own measure, which keeps each long lag as (the moment of its end, seconds)."""

    def __init__(self):
        super().__init__()
        self.kept = []

    def record(self, late):
        super().record(late)
        if late >= KEPT_FROM_S:
            self.kept.append((monotonic(), late))


def lag_between(kept, since, till):
    """How much of a span a loop stood still in lags that were kept."""
    return sum(max(min(end, till) - max(end - late, since), 0.0) for end, late in kept)
