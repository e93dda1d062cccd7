"""Configured addresses of other fronts: how a front meets its tier, and finds it again after a cut."""

from __future__ import annotations

from thistlelever.membership.prober import Prober
from thistlelever.membership.table import MemberTable
from thistlelever.membership.types import Address

# How many addresses that were never met are pinged in a round at a start.
PINGS_PER_ROUND = 8


class PeerDiscovery:
    """Pings addresses at which nobody is known, and members that are held dead."""

    def __init__(self, table: MemberTable, prober: Prober, addresses: tuple[Address, ...]) -> None:
        """The addresses may hold this front's own."""
        self.table, self.prober = table, prober
        self.pinged, self.reconnects = 0, 0
        self.peers: tuple[Address, ...] = ()
        self.set_peers(addresses)

    def set_peers(self, addresses: tuple[Address, ...]) -> None:
        """Take another list of addresses; members that were met live on as long as they answer."""
        own = self.table.local.identity.address
        self.peers = tuple(address for address in addresses if address != own)

    def ping_unknown(self, now: float) -> None:
        """In each round of a start: ping some addresses at which nobody is known."""
        for _ in range(min(PINGS_PER_ROUND, len(self.peers))):
            self.pinged += 1
            address = self.peers[self.pinged % len(self.peers)]
            if address not in self.table.by_address:
                self.prober.ping_address(now, address)

    def reconnect(self, now: float) -> None:
        """Ping one that is held dead, or an address that nobody lives at.

        That is how the two sides of a cut find each other again, and how a start without peers ends.
        """
        away = sorted(member.address for member in self.table.members.values() if not member.is_alive)
        away += sorted(address for address in self.peers if address not in self.table.by_address)
        if away:
            self.reconnects += 1
            self.prober.ping_address(now, away[self.reconnects % len(away)])
