"""Whether a front serves whom it takes. One that answers probes and serves nobody is alive and not healthy:
others are told the second, and that it is so by its own word."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Nothing returned for so many seconds, though so many queries were received: the front serves nobody.
STUCK_AFTER, MIN_RECEIVED = 5.0, 5


class Observation(NamedTuple):
    """What is seen of a front at one moment; the queries are counted since its start."""

    at: float
    # Whether the front takes queries at all.
    ready: bool
    received: int
    answered: int
    returned: int
    open_queries: int


class ServiceHealth:
    """Judges a front by what is observed of it now and then."""

    def __init__(self) -> None:
        """Healthy until shown otherwise."""
        self.observations: deque[Observation] = deque()
        self.serves = True

    def observe(self, latest: Observation) -> bool:
        """Whether the front serves.

        Risk: a quiet front and one among engines that are all down look alike by their returns; only what was
        received and not returned counts, and a single return ends it.
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
