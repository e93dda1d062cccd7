"""How late an event loop of a rig comes to what is due: what a rig measures is no better than that."""

import asyncio
from time import monotonic

# How often the loop's lag is looked at, and the lag from which on it is kept with its moment, in seconds.
LOOKED_AT_EVERY_S = 0.02
KEPT_FROM_S = 0.25


class LoopLag:
    """The longest lag so far, and each long one as (the moment of its end, seconds)."""

    def __init__(self):
        self.longest, self.kept = 0.0, []

    async def watch(self):
        """Until it is cancelled."""
        while True:
            due = monotonic() + LOOKED_AT_EVERY_S
            await asyncio.sleep(LOOKED_AT_EVERY_S)
            late = monotonic() - due
            self.longest = max(self.longest, late)
            if late >= KEPT_FROM_S:
                self.kept.append((monotonic(), late))


def lag_between(kept, since, till):
    """How much of a span a loop stood still in lags that were kept."""
    return sum(max(min(end, till) - max(end - late, since), 0.0) for end, late in kept)
