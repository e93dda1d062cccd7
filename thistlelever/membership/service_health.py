"""Whether a front serves its clients.

A front that acknowledges probes but returns no results is alive but unfit; it announces that itself.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# The front is unfit if it returned nothing for this many seconds while it received at least this many
# queries.
STUCK_AFTER, MIN_RECEIVED = 5.0, 5


class Observation(NamedTuple):
    """Counters of a front at one moment; queries are counted since its start."""

    at: float
    # Whether the front accepts queries at all.
    ready: bool
    received: int
    answered: int
    returned: int
    open_queries: int


class ServiceHealth:
    """Derives the service health of a front from periodic observations."""

    def __init__(self) -> None:
        """Healthy until observations say otherwise."""
        self.observations: deque[Observation] = deque()
        self.serves = True

    def observe(self, latest: Observation) -> bool:
        """Whether the front serves its clients, given the latest observation.

        Returns alone cannot tell an idle front, or one whose engines are all down, from a stuck one. Only
        queries that were received and not returned count against a front, and a single return makes it
        healthy again.
        """
        self.observations.append(latest)
        while len(self.observations) > 1 and self.observations[1].at <= latest.at - STUCK_AFTER:
            self.observations.popleft()
        before = self.observations[0]
        received = latest.received - before.received
        if not latest.ready:
            self.serves = False
        elif latest.returned > before.returned or not received and not latest.open_queries:
            self.serves = True
        elif latest.at - before.at >= STUCK_AFTER:
            stuck = latest.open_queries > 0 and latest.answered == before.answered
            self.serves = not (stuck or received >= MIN_RECEIVED)
        return self.serves
