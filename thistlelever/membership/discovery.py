"""Finds members at configured addresses: at startup, and again after a network partition."""

from __future__ import annotations

from thistlelever.membership.prober import Prober
from thistlelever.membership.table import MemberTable
from thistlelever.membership.types import Address

# Number of configured addresses without a known member that are pinged per round at startup.
PINGS_PER_ROUND = 8


class PeerDiscovery:
    """Pings configured addresses at which no member is known, and members held dead."""

    def __init__(self, table: MemberTable, prober: Prober, addresses: tuple[Address, ...]) -> None:
        """Start with these addresses; this front's own may be among them."""
        self.table, self.prober = table, prober
        self.pinged, self.reconnects = 0, 0
        self.peers: tuple[Address, ...] = ()
        self.set_peers(addresses)

    def set_peers(self, addresses: tuple[Address, ...]) -> None:
        """Replace the configured addresses; known members stay as long as they answer."""
        own = self.table.local.identity.address
        self.peers = tuple(address for address in addresses if address != own)

    def ping_unknown(self, now: float) -> None:
        """Ping some configured addresses at which no member is known; called per round during startup."""
        for _ in range(min(PINGS_PER_ROUND, len(self.peers))):
            self.pinged += 1
            address = self.peers[self.pinged % len(self.peers)]
            if address not in self.table.by_address:
                self.prober.ping_address(now, address)

    def reconnect(self, now: float) -> None:
        """Ping one dead member or one configured address without a known member, in turn.

        This reunites the two sides of a healed partition, and completes a startup at which no peer was
        reachable.
        """
        away = sorted(member.address for member in self.table.members.values() if not member.is_alive)
        away += sorted(address for address in self.peers if address not in self.table.by_address)
        if away:
            self.reconnects += 1
            self.prober.ping_address(now, away[self.reconnects % len(away)])
