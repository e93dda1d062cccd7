"""The network between the fronts of a rig: datagrams lost, doubled, late, out of order or cut one way."""

import asyncio
import socket
from collections import Counter
from contextlib import suppress


class Network:
    """Datagrams between fronts: lost, doubled, late, out of order or cut one way, by the seed and how many
    came before on the same pair."""

    def __init__(self, chance):
        self.chance, self.sockets, self.real, self.places = chance, [], {}, {}
        self.loss, self.double, self.jitter, self.late = 0.0, 0.0, 0.0, 0.0
        self.cuts, self.counts, self.passed, self.lost = set(), Counter(), 0, 0
        self.stir, self.longest, self.bytes = asyncio.Event(), 0, 0
        # Told of each datagram before it goes on; what it says yes to is lost.
        self.takes = lambda sender, target, data: False

    def add(self, real):
        """A place for one more front, which binds `real`; the address that others know it by."""
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        raw.setblocking(False)
        raw.bind(("127.0.0.1", 0))
        place = len(self.sockets)
        self.sockets.append(raw)
        self.real[place], self.places[real] = real, place
        asyncio.get_running_loop().add_reader(raw, self.read, place)
        return raw.getsockname()

    def read(self, target):
        for _ in range(64):
            try:
                data, source = self.sockets[target].recvfrom(2048)
            except (BlockingIOError, OSError):
                return
            if (sender := self.places.get(source)) is not None:
                self.carry(sender, target, data)

    def carry(self, sender, target, data):
        self.passed, self.bytes = self.passed + 1, self.bytes + len(data)
        self.longest = max(self.longest, len(data))
        self.stir.set()
        number = self.counts[sender, target] = self.counts[sender, target] + 1
        away = self.takes(sender, target, data) or (sender, target) in self.cuts
        if away or self.chance.share("loss", sender, target, number) < self.loss:
            self.lost += 1
            return
        copies = 2 if self.chance.share("double", sender, target, number) < self.double else 1
        for copy in range(copies):
            wait = self.jitter * self.chance.share("wait", sender, target, number, copy)
            if self.chance.share("late", sender, target, number, copy) < self.late:
                wait += 1 + 2 * self.chance.share("how late", sender, target, number)
            if wait:
                asyncio.get_running_loop().call_later(wait, self.pass_on, sender, target, data)
            else:
                self.pass_on(sender, target, data)

    def pass_on(self, sender, target, data):
        if self.sockets[sender].fileno() >= 0:
            with suppress(OSError):
                self.sockets[sender].sendto(data, self.real[target])

    async def after(self, datagrams):
        """Until so many more have come: the rig's clock, so that a seed replays."""
        till = self.passed + datagrams
        while self.passed < till:
            self.stir.clear()
            await self.stir.wait()

    def close(self):
        for raw in self.sockets:
            asyncio.get_running_loop().remove_reader(raw)
            raw.close()
