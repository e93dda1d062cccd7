"""The one carrier of datagrams between fronts: a socket, and who is told what comes of which matter. It does
not know what a message means. Imported only where something beyond the platform's own front wants peers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from thistlelever.ground.metrics import Metrics
from thistlelever.wire import peers as wire

Address = tuple[str, int]
# One turn of the loop must not go to datagrams alone; after a pause all that waits is let go at once.
A_TURN, MOST_OLD = 64, 8_192
# What the kernel keeps while the loop is busy.
KEPT = 262_144


class Peers:
    """Reads and writes datagrams of one tier. `fresh` is asked before what waits is read: where it says no,
    what waits is older than a pause of this front and is let go."""

    def __init__(self, address: Address, tier: str, metrics: Metrics) -> None:
        self.address, self.tier, self.metrics = address, wire.tag(tier), metrics
        self.matters: dict[int, Callable[[Address, bytes], None]] = {}
        self.fresh: Callable[[], bool] = lambda: True
        self.raw: socket.socket | None = None

    def open(self) -> None:
        """Bind; `OSError` names the address."""
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        raw.setblocking(False)
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KEPT)
            raw.bind(self.address)
        except OSError as why:
            raw.close()
            raise OSError(f"peer_listen: {self.address[0]}:{self.address[1]}: {why.strerror}") from None
        self.raw = raw
        asyncio.get_running_loop().add_reader(raw, self.read)

    def close(self) -> None:
        if self.raw:
            asyncio.get_running_loop().remove_reader(self.raw)
            self.raw.close()
            self.raw = None

    def read(self) -> None:
        """All that waits, as far as one turn goes."""
        fresh = self.fresh()
        for _ in range(A_TURN if fresh else MOST_OLD):
            if self.raw is None:
                return
            try:
                data, source = self.raw.recvfrom(wire.LONGEST + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # What was sent to nobody comes back as an error of the next read.
                self.metrics.add("peers: out of reach")
                continue
            if not fresh:
                self.metrics.add("peers: older than a pause")
                continue
            try:
                matter, body = wire.opened(data, self.tier)
                self.matters[matter](source, body)
            except wire.Unfit as why:
                self.metrics.add(f"peers: {why.kind}")
            except KeyError:
                self.metrics.add("peers: of another matter")

    def send(self, address: Address, data: bytes) -> None:
        """Risk: a datagram longer than the platform's bound voids a run; none is sent."""
        if (
            not self.metrics.check_invariant(len(data) <= wire.LONGEST, "datagrams within their bound")
            or self.raw is None
        ):
            return
        try:
            self.raw.sendto(data, address)
        except OSError:
            self.metrics.add("peers: could not be sent")
