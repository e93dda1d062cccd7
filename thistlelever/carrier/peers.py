"""The one carrier of datagrams between fronts: a socket, and who is told what comes of which matter. It does
not know what a message means. Imported only where something beyond the platform's own front wants peers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from thistlelever.ground.tally import Tally
from thistlelever.wire import peers as wire

Address = tuple[str, int]
# One turn of the loop must not go to datagrams alone; after a pause all that waits is let go at once.
MAX_READS_PER_EVENT, MAX_STALE_READS = 64, 8_192
# What the kernel keeps while the loop is busy.
RECEIVE_BUFFER_SIZE = 262_144


class PeerSocket:
    """Reads and writes datagrams of one tier. `current` is asked before what waits is read: where it says no,
    what waits is older than a pause of this front and is let go."""

    def __init__(self, address: Address, tier: str, tally: Tally) -> None:
        self.address, self.tier, self.tally = address, wire.tag(tier), tally
        self.handlers: dict[int, Callable[[Address, bytes], None]] = {}
        self.is_backlog_current: Callable[[], bool] = lambda: True
        self.socket: socket.socket | None = None

    def open(self) -> None:
        """Bind; `OSError` names the address."""
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
        if self.socket:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None

    def read(self) -> None:
        """All that waits, as far as one turn goes."""
        current = self.is_backlog_current()
        for _ in range(MAX_READS_PER_EVENT if current else MAX_STALE_READS):
            if self.socket is None:
                return
            try:
                data, source = self.socket.recvfrom(wire.MAX_DATAGRAM_SIZE + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # What was sent to nobody comes back as an error of the next read.
                self.tally.add("peers: out of reach")
                continue
            if not current:
                self.tally.add("peers: older than a pause")
                continue
            try:
                protocol, body = wire.decode_frame(data, self.tier)
                self.handlers[protocol](source, body)
            except wire.InvalidDatagram as why:
                self.tally.add(f"peers: {why.reason}")
            except KeyError:
                self.tally.add("peers: of another matter")

    def send(self, address: Address, data: bytes) -> None:
        """Risk: a datagram longer than the platform's opened voids a run; none is sent."""
        if (
            not self.tally.must(len(data) <= wire.MAX_DATAGRAM_SIZE, "datagrams within their opened")
            or self.socket is None
        ):
            return
        try:
            self.socket.sendto(data, address)
        except OSError:
            self.tally.add("peers: could not be sent")
