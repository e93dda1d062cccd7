"""Relays between fronts and distributors, and between distributors: connections that can be cut, reset, or
lost at a share. A child process of the scale rig (`python -m rigs.scale_relay`), driven by JSON lines."""

import asyncio
from collections import Counter, defaultdict
from contextlib import suppress
from time import monotonic

from rigs.results import Chance
from rigs.scale_child import commands
from thistlelever.distribution import codec

# Where all relays listen, each at a port that the system gives.
RELAY_HOST = "127.0.0.1"
PIECE = 2**16
# Connections are counted in bins of so many seconds, for the peak rate.
BIN = 0.1
# Of what is lost, half is reset and half falls silent until its receiver gives up.
RESET_SHARE = 0.5


class Group:
    """The relays that are cut, healed and made lossy together."""

    def __init__(self, name):
        self.name, self.cut, self.loss, self.misrouted = name, False, 0.0, 0.0
        # The newest answer with a delta, and the connection that it was for.
        self.delta, self.delta_for = b"", 0
        self.writers, self.connections, self.pieces = set(), 0, 0
        self.lost, self.opened = 0, Counter()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Relays:
    """All relays of this process."""

    def __init__(self):
        self.groups, self.servers, self.chance = defaultdict(lambda: None), [], Chance(0)

    async def open(self, seed, group, targets):
        """One port for each target; the ports, in order."""
        self.chance = Chance(seed)
        held = self.groups[group] = self.groups[group] or Group(group)
        ports = []
        for host, port in targets:

            async def serve(reader, writer, host=host, port=port):
                await self.serve(held, reader, writer, host, port)

            server = await asyncio.start_server(serve, RELAY_HOST, 0, backlog=4096)
            self.servers.append(server)
            ports.append(server.sockets[0].getsockname()[1])
        return ports

    async def serve(self, group, reader, writer, host, port):
        group.connections += 1
        group.opened[int(monotonic() / BIN)] += 1
        number = group.connections
        if group.cut:
            writer.transport.abort()
            return
        try:
            upstream, onward = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        group.writers |= {writer, onward}
        try:
            async with asyncio.TaskGroup() as both:
                both.create_task(self.pass_on(group, reader, onward, None))
                both.create_task(self.pass_on(group, upstream, writer, number))
        finally:
            group.writers -= {writer, onward}
            writer.transport.abort()
            onward.transport.abort()

    async def pass_on(self, group, source, target, number):
        """What comes from `source`; `number` is the connection's where answers may be lost."""
        with suppress(ConnectionError):
            while piece := await source.read(PIECE):
                if number is not None and (group.loss or group.misrouted):
                    group.pieces += 1
                    if self.chance.share("loss", group.name, group.pieces) < group.loss:
                        await self.lose_answer(group, source)
                        break
                    piece = self.perhaps_another(group, number, piece)
                target.write(piece)
                await target.drain()
        target.transport.abort()

    async def lose_answer(self, group, source):
        """Its connection is reset, or silent until the other side gives up."""
        group.lost += 1
        if self.chance.share("how", group.name, group.pieces) >= RESET_SHARE:
            while await source.read(PIECE):
                pass

    def perhaps_another(self, group, number, piece):
        """This answer, or in its place a delta that was for another connection, as a faulty proxy does."""
        if self.chance.share("misrouted", group.name, group.pieces) >= group.misrouted:
            if is_delta(piece):
                group.delta, group.delta_for = piece, number
            return piece
        if not group.delta or group.delta_for == number:
            return piece
        group.lost += 1
        return group.delta

    async def cut(self, group):
        self.groups[group].cut = True
        self.groups[group].reset()
        return True

    async def heal(self, group):
        self.groups[group].cut = False
        return True

    async def lose(self, group, share):
        self.groups[group].loss = share
        return True

    async def misroute(self, group, share):
        self.groups[group].misrouted = share
        return True

    async def counts(self, group, since, till):
        """Connections opened in that time: in all, and the most in one second."""
        held = self.groups[group]
        bins = [held.opened[number] for number in range(int(since / BIN), int(till / BIN) + 1)]
        second = int(1 / BIN)
        peak = max((sum(bins[at : at + second]) for at in range(len(bins))), default=0)
        return {"opened": sum(bins), "peak_per_s": peak, "lost": held.lost}


def is_delta(piece):
    """Whether this is a whole answer with a delta."""
    head, _, body = piece.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        return False
    try:
        reply = codec.decode(body, codec.Reply)
    except codec.ProtocolError:
        return False
    return isinstance(reply.update, codec.DeltaBody)


async def main():
    relays = Relays()
    names = ("open", "cut", "heal", "lose", "misroute", "counts")
    await commands({name: getattr(relays, name) for name in names})


if __name__ == "__main__":
    asyncio.run(main())
