"""Relays between fronts and distributors, and between distributors: connections that can be cut, reset, or
lost at a share. A child process of the scale rig (`python -m rigs.scale_relay`), driven by JSON lines."""

import asyncio
from collections import Counter, defaultdict
from contextlib import suppress
from time import monotonic

from rigs.scale_child import serve_commands
from rigs.verdict import Chance
from thistlelever.distribution import codec

# Where all relays listen, each at a port that the system gives.
RELAY_HOST = "127.0.0.1"
CHUNK_BYTES = 2**16
# Connections are counted in bins of so many seconds, for the peak rate.
BIN_S = 0.1
# Of what is lost, half is reset and half falls silent until its receiver gives up.
RESET_SHARE = 0.5


class RelayGroup:
    """The relays that are cut, healed and made lossy together."""

    def __init__(self, name):
        self.name, self.cut, self.loss, self.misrouted = name, False, 0.0, 0.0
        # The newest answer with a delta, and the connection that it was for.
        self.delta, self.delta_for = b"", 0
        self.writers, self.connections, self.chunks = set(), 0, 0
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
        relay_group = self.groups[group] = self.groups[group] or RelayGroup(group)
        ports = []
        for host, port in targets:

            async def serve(reader, writer, host=host, port=port):
                await self.serve(relay_group, reader, writer, host, port)

            server = await asyncio.start_server(serve, RELAY_HOST, 0, backlog=4096)
            self.servers.append(server)
            ports.append(server.sockets[0].getsockname()[1])
        return ports

    async def serve(self, group, reader, writer, host, port):
        group.connections += 1
        group.opened[int(monotonic() / BIN_S)] += 1
        number = group.connections
        if group.cut:
            writer.transport.abort()
            return
        try:
            upstream, downstream = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        group.writers |= {writer, downstream}
        try:
            async with asyncio.TaskGroup() as both:
                both.create_task(self.forward(group, reader, downstream, None))
                both.create_task(self.forward(group, upstream, writer, number))
        finally:
            group.writers -= {writer, downstream}
            writer.transport.abort()
            downstream.transport.abort()

    async def forward(self, group, source, target, number):
        """What comes from `source`; `number` is the connection's where answers may be lost."""
        with suppress(ConnectionError):
            while chunk := await source.read(CHUNK_BYTES):
                if number is not None and (group.loss or group.misrouted):
                    group.chunks += 1
                    if self.chance.share("loss", group.name, group.chunks) < group.loss:
                        await self.lose_answer(group, source)
                        break
                    chunk = self.maybe_misroute(group, number, chunk)
                target.write(chunk)
                await target.drain()
        target.transport.abort()

    async def lose_answer(self, group, source):
        """Its connection is reset, or silent until the other side gives up."""
        group.lost += 1
        if self.chance.share("how", group.name, group.chunks) >= RESET_SHARE:
            while await source.read(CHUNK_BYTES):
                pass

    def maybe_misroute(self, group, number, chunk):
        """This answer, or in its place a delta that was for another connection, as a faulty proxy does."""
        if self.chance.share("misrouted", group.name, group.chunks) >= group.misrouted:
            if is_delta(chunk):
                group.delta, group.delta_for = chunk, number
            return chunk
        if not group.delta or group.delta_for == number:
            return chunk
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
        relay_group = self.groups[group]
        bins = [relay_group.opened[number] for number in range(int(since / BIN_S), int(till / BIN_S) + 1)]
        second = int(1 / BIN_S)
        peak = max((sum(bins[at : at + second]) for at in range(len(bins))), default=0)
        return {"opened": sum(bins), "peak_per_s": peak, "lost": relay_group.lost}


def is_delta(chunk):
    """Whether this is a whole answer with a delta."""
    head, _, body = chunk.partition(b"\r\n\r\n")
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
    await serve_commands({name: getattr(relays, name) for name in names})


if __name__ == "__main__":
    asyncio.run(main())
