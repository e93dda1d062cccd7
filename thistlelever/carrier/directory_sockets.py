"""The UDP sockets for directory queries. A new one is opened when the path of the current one goes silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from thistlelever.ground import clock
from thistlelever.ground.metrics import Metrics

# Consecutive queries without any answer after which a new socket is used: a path that drops packets without
# an error stays like that, and a change must be known to the front within 1.5 s.
MAX_SILENT_QUERIES = 4
# Minimum seconds between two new sockets, which bounds the number of open ones.
MIN_RENEWAL_INTERVAL = 1.0


class DirectorySockets:
    """Sends queries from the newest socket and keeps receiving on the replaced ones for a while.

    Late answers may still arrive there: closing them at once would lose all answers of a slow directory.
    """

    def __init__(self, received: Callable[[bytes], None], linger: float, metrics: Metrics) -> None:
        """`received` is called with each datagram; a replaced socket is kept for `linger` seconds."""
        self.received, self.linger, self.metrics = received, linger, metrics
        self.transports: list[asyncio.DatagramTransport] = []
        self.address: tuple[str, int] | None = None
        # Consecutive queries without an answer, and when the sending socket was opened.
        self.silent_queries, self.renewed_at = 0, 0.0

    async def open(self, address: tuple[str, int]) -> None:
        """Use that address from now on; `OSError` when no socket can be opened.

        Sockets to the previous address are closed only once the new one is open.
        """
        transport = await self.connect(address)
        self.close()
        self.transports, self.address = [transport], address
        self.silent_queries, self.renewed_at = 0, clock.now()

    async def connect(self, address: tuple[str, int]) -> asyncio.DatagramTransport:
        """Open a socket connected to that address, so that it receives from no other."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: DirectoryProtocol(self), remote_addr=address
        )
        return transport

    def send(self, query: bytes) -> None:
        """Send a query from the newest socket; without a socket the query is lost."""
        if self.transports:
            self.transports[-1].sendto(query)

    def note_answer(self) -> None:
        """Record that a datagram has arrived."""
        self.silent_queries = 0

    def note_timeout(self) -> bool:
        """Record that a query got no answer in time; return whether a new socket should be opened."""
        self.silent_queries += 1
        if self.silent_queries < MAX_SILENT_QUERIES or clock.now() < self.renewed_at + MIN_RENEWAL_INTERVAL:
            return False
        self.silent_queries, self.renewed_at = 0, clock.now()
        return True

    async def renew(self) -> bool:
        """Open a new socket to the same address; return whether there is one.

        The address may change while the socket is being opened; the socket is then closed, or it would
        replace one to the new address.
        """
        address = self.address
        with suppress(OSError):
            transport = await self.connect(address)
            if self.address != address or not self.transports:
                transport.close()
                return False
            left = self.transports[-1]
            self.transports.append(transport)
            asyncio.get_running_loop().call_later(self.linger, self.close_replaced, left)
            return True
        self.metrics.add("directory: no new socket")
        return False

    def close_replaced(self, transport: asyncio.DatagramTransport) -> None:
        """Close a socket that was replaced."""
        if transport in self.transports:
            self.transports.remove(transport)
            transport.close()

    def close(self) -> None:
        """Close all sockets."""
        for transport in self.transports:
            transport.close()
        self.transports = []


class DirectoryProtocol(asyncio.DatagramProtocol):
    """The protocol of one socket; datagrams on a socket that was closed are ignored."""

    def __init__(self, sockets: DirectorySockets) -> None:
        """Belong to `sockets`."""
        self.sockets = sockets

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def error_received(self, why: OSError) -> None:
        """Count a failed system call on the socket; its query is handled as unanswered."""
        self.sockets.metrics.add("directory out of reach")

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Pass a datagram on."""
        if self.transport in self.sockets.transports:
            self.sockets.received(data)
