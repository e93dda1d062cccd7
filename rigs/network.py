"""A simulated UDP network between fronts: loss, duplication, delay, reordering and one-way cuts."""

import asyncio
import socket
from collections import Counter
from contextlib import suppress


class Network:
    """Relays datagrams between fronts and injects faults.

    Each decision depends on the seed and on the number of datagrams that the sender has sent to the receiver.
    `loss`, `double` and `late` are probabilities from 0 to 1, `jitter` is the longest random delay in
    seconds, and `cuts` holds the (sender, receiver) pairs that are cut. Fronts are addressed by index.
    """

    def __init__(self, chance):
        self.chance, self.sockets, self.real, self.places = chance, [], {}, {}
        self.loss, self.double, self.jitter, self.late = 0.0, 0.0, 0.0, 0.0
        self.cuts, self.counts, self.passed, self.lost = set(), Counter(), 0, 0
        self.stir, self.longest, self.bytes = asyncio.Event(), 0, 0
        # Called with each datagram before it is forwarded; a true result drops the datagram.
        self.takes = lambda sender, target, data: False

    def add(self, real):
        """Adds a front that binds the address `real`; returns the address at which other fronts reach it."""
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        raw.setblocking(False)
        raw.bind(("127.0.0.1", 0))
        place = len(self.sockets)
        self.sockets.append(raw)
        self.real[place], self.places[real] = real, place
        asyncio.get_running_loop().add_reader(raw, self.read, place)
        return raw.getsockname()

    def read(self, target):
        """Reads up to 64 datagrams for a front; datagrams from unknown sources are dropped."""
        for _ in range(64):
            try:
                data, source = self.sockets[target].recvfrom(2048)
            except (BlockingIOError, OSError):
                return
            if (sender := self.places.get(source)) is not None:
                self.carry(sender, target, data)

    def carry(self, sender, target, data):
        """Counts a datagram, then drops, duplicates, delays or forwards it."""
        self.passed, self.bytes = self.passed + 1, self.bytes + len(data)
        self.longest = max(self.longest, len(data))
        self.stir.set()
        number = self.counts[sender, target] = self.counts[sender, target] + 1
        dropped = self.takes(sender, target, data) or (sender, target) in self.cuts
        if dropped or self.chance.share("loss", sender, target, number) < self.loss:
            self.lost += 1
            return
        copies = 2 if self.chance.share("double", sender, target, number) < self.double else 1
        for copy in range(copies):
            wait = self.jitter * self.chance.share("wait", sender, target, number, copy)
            if self.chance.share("late", sender, target, number, copy) < self.late:
                wait += 1 + 2 * self.chance.share("how late", sender, target, number)
            if wait:
                asyncio.get_running_loop().call_later(wait, self.forward, sender, target, data)
            else:
                self.forward(sender, target, data)

    def forward(self, sender, target, data):
        """Sends a datagram to its receiver; errors of the socket are ignored."""
        if self.sockets[sender].fileno() >= 0:
            with suppress(OSError):
                self.sockets[sender].sendto(data, self.real[target])

    async def after(self, datagrams):
        """Waits for this many further datagrams.

        Faults are timed in datagrams instead of seconds, so that a seed reproduces a run.
        """
        target = self.passed + datagrams
        while self.passed < target:
            self.stir.clear()
            await self.stir.wait()

    def close(self):
        """Closes all sockets."""
        for raw in self.sockets:
            asyncio.get_running_loop().remove_reader(raw)
            raw.close()
