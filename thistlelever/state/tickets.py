"""Flight tickets: which may still be redeemed to run a batch.

A ticket holds everything that its batch needs, so a ticket that is never redeemed costs the front nothing.
Only used tickets are kept, until they expire, so that no ticket runs its batch twice.
"""

from __future__ import annotations

from enum import Enum
from heapq import heappop, heappush
from typing import NamedTuple


class TicketClaims(NamedTuple):
    """The identity of a ticket, as read from the ticket itself.

    `front` issued it in the process lifetime `life`; it may be redeemed until the time `expires` in seconds.
    """

    front: str
    life: str
    number: str
    expires: float


class TicketStatus(Enum):
    """The result of redeeming or cancelling a ticket; the texts go to clients."""

    VALID = "good"
    REDEEMED = "redeemed already"
    CANCELLED = "called off before it was redeemed"
    EXPIRED = "expired"
    OTHER_FRONT = "issued by another front"
    EARLIER_START = "issued before this front's restart"
    TOO_MANY = "too many tickets redeemed that have not expired"


class Tickets:
    """The used tickets of one front in one process lifetime.

    At most `max_count` are kept. When they are full, no ticket can be redeemed until one of them
    expires: forgetting one earlier would allow it to run twice.
    """

    def __init__(self, front: str, life: str, max_count: int) -> None:
        """Accept the tickets that `front` issues in the process lifetime `life`."""
        self.front, self.life, self.max_count = front, life, max_count
        self.used: dict[str, TicketStatus] = {}
        self.by_expiry: list[tuple[float, str]] = []

    def redeem(self, claims: TicketClaims, now: float) -> TicketStatus:
        """Use a ticket to run its batch: VALID where the batch may run now."""
        status = self.status(claims, now)
        if status is TicketStatus.VALID:
            status = self.mark_used(claims, TicketStatus.REDEEMED, now) or TicketStatus.VALID
        return status

    def cancel(self, claims: TicketClaims, now: float) -> TicketStatus:
        """Cancel a ticket so that it never runs: VALID where this call has cancelled it."""
        status = self.status(claims, now)
        if status is TicketStatus.VALID:
            status = self.mark_used(claims, TicketStatus.CANCELLED, now) or TicketStatus.VALID
        return status

    def status(self, claims: TicketClaims, now: float) -> TicketStatus:
        """Return the ticket's state without using it.

        The issuer is checked first, as this front does not know which tickets of others are used. Use is
        checked before expiry, as it tells the client more.
        """
        if claims.front != self.front:
            return TicketStatus.OTHER_FRONT
        if claims.life != self.life:
            return TicketStatus.EARLIER_START
        if claims.number in self.used:
            return self.used[claims.number]
        return TicketStatus.EXPIRED if now >= claims.expires else TicketStatus.VALID

    def mark_used(self, claims: TicketClaims, status: TicketStatus, now: float) -> TicketStatus | None:
        """Keep a ticket as used until it expires; returns TOO_MANY where there is no room, else None."""
        while self.by_expiry and self.by_expiry[0][0] <= now:
            del self.used[heappop(self.by_expiry)[1]]
        if len(self.used) >= self.max_count:
            return TicketStatus.TOO_MANY
        self.used[claims.number] = status
        heappush(self.by_expiry, (claims.expires, claims.number))
        return None
