"""Whether a front serves whom it takes. One that answers probes and serves nobody is alive and not healthy:
others are told the second, and that it is so by its own word."""

from __future__ import annotations

from collections import deque

# So long nothing of what was taken was returned, though so many were taken: it serves nobody.
WITHIN, LEAST = 5.0, 5


class Fitness:
    """Told now and then how many batches were taken, answered and returned since the start, and how many are
    open."""

    def __init__(self) -> None:
        self.seen: deque[tuple[float, int, int, int]] = deque()
        self.serves = True

    def told(self, now: float, ready: bool, taken: int, answered: int, returned: int, open_: int) -> bool:
        """Whether it serves. Risk: a quiet front and one among engines that are all down look alike by their
        returns; only what was taken and not returned counts, and a single return ends it."""
        self.seen.append((now, taken, answered, returned))
        while len(self.seen) > 1 and self.seen[1][0] <= now - WITHIN:
            self.seen.popleft()
        at, took, was_answered, gave = self.seen[0]
        if not ready:
            self.serves = False
        elif returned > gave or taken == took and not open_:
            self.serves = True
        elif now - at >= WITHIN:
            stuck = open_ > 0 and answered == was_answered
            self.serves = not (stuck or taken - took >= LEAST)
        return self.serves
