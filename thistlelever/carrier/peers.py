"""The UDP socket shared by all peer protocols between fronts, which passes datagrams to their handlers.

It does not interpret message bodies, and is imported only if an optional part needs other fronts.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from thistlelever.ground.metrics import Metrics
from thistlelever.wire import peers as wire

Address = tuple[str, int]
# Datagrams read per event, so that they do not occupy the loop; and outdated ones discarded at once after a
# pause.
MAX_READS_PER_EVENT, MAX_STALE_READS = 64, 8_192
# Bytes that the kernel buffers while the loop is busy.
RECEIVE_BUFFER_SIZE = 262_144


class PeerSocket:
    """Sends and receives datagrams of one tier.

    `handlers` maps a protocol number to the function that takes the source address and the body.
    `is_backlog_current` is called before waiting datagrams are read; if it returns False they are older than
    a pause of this process and are discarded.
    """

    def __init__(self, address: Address, tier: str, metrics: Metrics) -> None:
        """Not bound yet; `tier` is the name of the tier."""
        self.address, self.tier, self.metrics = address, wire.tag(tier), metrics
        self.handlers: dict[int, Callable[[Address, bytes], None]] = {}
        self.is_backlog_current: Callable[[], bool] = lambda: True
        self.socket: socket.socket | None = None

    def open(self) -> None:
        """Bind and start reading; `OSError` with the address if that fails."""
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        try:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE)
            opened.bind(self.address)
        except OSError as why:
            opened.close()
            raise OSError(f"peer_listen: {self.address[0]}:{self.address[1]}: {why.strerror}") from None
        self.socket = opened
        asyncio.get_running_loop().add_reader(opened, self.read)

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self.socket:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None

    def read(self) -> None:
        """Read waiting datagrams, up to the limit per event; invalid ones are counted and dropped."""
        current = self.is_backlog_current()
        for _ in range(MAX_READS_PER_EVENT if current else MAX_STALE_READS):
            if self.socket is None:
                return
            try:
                data, source = self.socket.recvfrom(wire.MAX_DATAGRAM_SIZE + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # An ICMP error for an earlier datagram (nothing listens there) is reported by the next read.
                self.metrics.add("peers: out of reach")
                continue
            if not current:
                self.metrics.add("peers: older than a pause")
                continue
            try:
                protocol, body = wire.decode_frame(data, self.tier)
                self.handlers[protocol](source, body)
            except wire.InvalidDatagram as why:
                self.metrics.add(f"peers: {why.reason}")
            except KeyError:
                self.metrics.add("peers: of another matter")

    def send(self, address: Address, data: bytes) -> None:
        """Send a datagram; failures are counted.

        One that is longer than the platform allows is not sent, as it would invalidate a whole run.
        """
        if (
            not self.metrics.check_invariant(
                len(data) <= wire.MAX_DATAGRAM_SIZE, "datagrams within their bound"
            )
            or self.socket is None
        ):
            return
        try:
            self.socket.sendto(data, address)
        except OSError:
            self.metrics.add("peers: could not be sent")
