"""Flight tickets: which may still be redeemed to run a batch.

A ticket holds everything that its batch needs, so a ticket that is never redeemed costs the front nothing.
Only used tickets are kept, until they expire, so that no ticket runs its batch twice.
"""

from __future__ import annotations

from enum import Enum
from heapq import heappop, heappush
from typing import NamedTuple


class Stamp(NamedTuple):
    """The identity of a ticket, as read from the ticket itself.

    `front` issued it in the process lifetime `life`; it may be redeemed until the time `expires` in seconds.
    """

    front: str
    life: str
    number: str
    expires: float


class Verdict(Enum):
    """The result of redeeming or cancelling a ticket; the texts go to clients."""

    GOOD = "good"
    USED = "redeemed already"
    CALLED_OFF = "called off before it was redeemed"
    EXPIRED = "expired"
    FOREIGN = "issued by another front"
    EARLIER = "issued before this front's restart"
    FULL = "too many tickets redeemed that have not expired"


class Tickets:
    """The used tickets of one front in one process lifetime.

    At most `max_count` are kept. When they are full, no ticket can be redeemed until one of them
    expires: forgetting one earlier would allow it to run twice.
    """

    def __init__(self, front: str, life: str, max_count: int) -> None:
        """Accept the tickets that `front` issues in the process lifetime `life`."""
        self.front, self.life, self.max_count = front, life, max_count
        self.used: dict[str, Verdict] = {}
        self.by_expiry: list[tuple[float, str]] = []

    def redeem(self, stamp: Stamp, now: float) -> Verdict:
        """Use a ticket to run its batch: GOOD where the batch may run now."""
        verdict = self.standing(stamp, now)
        if verdict is Verdict.GOOD:
            verdict = self.mark_used(stamp, Verdict.USED, now) or Verdict.GOOD
        return verdict

    def call_off(self, stamp: Stamp, now: float) -> Verdict:
        """Cancel a ticket so that it never runs: GOOD where this call has cancelled it."""
        verdict = self.standing(stamp, now)
        if verdict is Verdict.GOOD:
            verdict = self.mark_used(stamp, Verdict.CALLED_OFF, now) or Verdict.GOOD
        return verdict

    def standing(self, stamp: Stamp, now: float) -> Verdict:
        """Return the ticket's state without using it.

        The issuer is checked first, as this front does not know which tickets of others are used. Use is
        checked before expiry, as it tells the client more.
        """
        if stamp.front != self.front:
            return Verdict.FOREIGN
        if stamp.life != self.life:
            return Verdict.EARLIER
        if stamp.number in self.used:
            return self.used[stamp.number]
        return Verdict.EXPIRED if now >= stamp.expires else Verdict.GOOD

    def mark_used(self, stamp: Stamp, verdict: Verdict, now: float) -> Verdict | None:
        """Keep a ticket as used until it expires; returns FULL where there is no room, else None."""
        while self.by_expiry and self.by_expiry[0][0] <= now:
            del self.used[heappop(self.by_expiry)[1]]
        if len(self.used) >= self.max_count:
            return Verdict.FULL
        self.used[stamp.number] = verdict
        heappush(self.by_expiry, (stamp.expires, stamp.number))
        return None
