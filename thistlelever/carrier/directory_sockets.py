"""The sockets by which the directory is asked: a new one where the way of the last has fallen silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from thistlelever.ground import clock
from thistlelever.ground.metrics import Metrics

# So many queries in a row without any answer, and the next goes by a new socket: a way that has fallen silent
# without a word stays so, and what is told must be known within 1.5 s.
MOST_SILENT = 4
# Seconds between two new sockets at the least, so that those listened to stay few.
RENEWAL_PACE = 1.0


class DirectorySockets:
    """The last socket opened asks. Those before it are listened to for as long as late answers may be on
    their way to them: closed sooner, they take along all that a slow directory tells."""

    def __init__(self, received: Callable[[bytes], None], listened: float, metrics: Metrics) -> None:
        """`received` is handed each datagram; `listened`: seconds that a socket that was left is kept."""
        self.received, self.listened, self.metrics = received, listened, metrics
        self.transports: list[asyncio.DatagramTransport] = []
        self.address: tuple[str, int] | None = None
        # Queries in a row without an answer, and when the socket that asks was opened.
        self.silent, self.renewed_at = 0, 0.0

    async def open(self, address: tuple[str, int]) -> None:
        """Ask at that address from now on. The one asked before is let go only once the new one stands."""
        transport = await self.connect(address)
        self.close()
        self.transports, self.address = [transport], address
        self.silent, self.renewed_at = 0, clock.now()

    async def connect(self, address: tuple[str, int]) -> asyncio.DatagramTransport:
        """A new socket that sends to that address and hears it alone."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: Line(self), remote_addr=address)
        return transport

    def send(self, query: bytes) -> None:
        """Send a query by the last socket opened; without one it goes unanswered."""
        if self.transports:
            self.transports[-1].sendto(query)

    def answered(self) -> None:
        """Something has come."""
        self.silent = 0

    def unanswered(self) -> bool:
        """A query got no answer in time; whether a new socket should ask from now on."""
        self.silent += 1
        if self.silent < MOST_SILENT or clock.now() < self.renewed_at + RENEWAL_PACE:
            return False
        self.silent, self.renewed_at = 0, clock.now()
        return True

    async def renew(self) -> bool:
        """The same address by a new socket; whether there is one. Risk: an address that was left meanwhile
        takes the next one's place."""
        address = self.address
        with suppress(OSError):
            transport = await self.connect(address)
            if self.address != address or not self.transports:
                transport.close()
                return False
            left = self.transports[-1]
            self.transports.append(transport)
            asyncio.get_running_loop().call_later(self.listened, self.leave, left)
            return True
        self.metrics.add("directory: no new socket")
        return False

    def leave(self, transport: asyncio.DatagramTransport) -> None:
        """Close a socket that another has taken the place of."""
        if transport in self.transports:
            self.transports.remove(transport)
            transport.close()

    def close(self) -> None:
        """Close all."""
        for transport in self.transports:
            transport.close()
        self.transports = []


class Line(asyncio.DatagramProtocol):
    """One socket. What comes on one that was closed counts no more."""

    def __init__(self, sockets: DirectorySockets) -> None:
        """A socket of these."""
        self.sockets = sockets

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """The socket stands."""
        self.transport = transport

    def error_received(self, why: OSError) -> None:
        """A call on the socket failed; the query counts as one without an answer."""
        self.sockets.metrics.add("directory out of reach")

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Hand on what came."""
        if self.transport in self.sockets.transports:
            self.sockets.received(data)
