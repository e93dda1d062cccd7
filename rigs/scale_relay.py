"""TCP relays between fronts and distributors, and between distributors, that can cut connections, lose a
share of the answers or misroute them. A child process of the scale rig (`python -m rigs.scale_relay`), which
takes its commands as JSON lines."""

import asyncio
from collections import Counter, defaultdict
from contextlib import suppress
from time import monotonic

from rigs.scale_child import serve_commands
from rigs.results import Chance
from thistlelever.distribution import codec

# All relays listen here, each at a port that the system assigns.
RELAY_HOST = "127.0.0.1"
CHUNK_BYTES = 2**16
# New connections are counted in bins of this many seconds, for the peak rate.
BIN_S = 0.1
# The share of lost answers whose connection is reset; the others stay silent until the receiver gives up.
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
        """Resets every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()


class Relays:
    """All relays of this process."""

    def __init__(self):
        self.groups, self.servers, self.chance = defaultdict(lambda: None), [], Chance(0)

    async def open(self, seed, group, targets):
        """Opens a relay for each target (host, port); returns their ports in the same order."""
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
        """Forwards one connection in both directions until either side ends it."""
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
        """Forwards what `source` sends. `number` is that of the connection in the direction of answers, which
        may be lost or misrouted, and None in the other."""
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
        """Returns at once, whereupon the connection is reset, or reads and drops what comes until the source
        ends."""
        group.lost += 1
        if self.chance.share("how", group.name, group.chunks) >= RESET_SHARE:
            while await source.read(CHUNK_BYTES):
                pass

    def maybe_misroute(self, group, number, chunk):
        """This answer, or in its place a delta for another connection, as a faulty proxy does."""
        if self.chance.share("misrouted", group.name, group.chunks) >= group.misrouted:
            if is_delta(chunk):
                group.delta, group.delta_for = chunk, number
            return chunk
        if not group.delta or group.delta_for == number:
            return chunk
        group.lost += 1
        return group.delta

    async def cut(self, group):
        """Resets all connections of a group, and new ones until `heal`."""
        self.groups[group].cut = True
        self.groups[group].reset()
        return True

    async def heal(self, group):
        """Lets connections of a group through again."""
        self.groups[group].cut = False
        return True

    async def lose(self, group, share):
        """Sets the share of answers that are lost."""
        self.groups[group].loss = share
        return True

    async def misroute(self, group, share):
        """Sets the share of answers that are replaced by a delta for another connection."""
        self.groups[group].misrouted = share
        return True

    async def counts(self, group, since, till):
        """Connections opened in that time (monotonic seconds), in all and at most in one second; and answers
        lost or misrouted since the start."""
        relay_group = self.groups[group]
        bins = [relay_group.opened[number] for number in range(int(since / BIN_S), int(till / BIN_S) + 1)]
        second = int(1 / BIN_S)
        peak = max((sum(bins[at : at + second]) for at in range(len(bins))), default=0)
        return {"opened": sum(bins), "peak_per_s": peak, "lost": relay_group.lost}


def is_delta(chunk):
    """Whether this chunk is a complete HTTP answer with a delta."""
    head, _, body = chunk.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        return False
    try:
        reply = codec.decode(body, codec.Reply)
    except codec.ProtocolError:
        return False
    return isinstance(reply.update, codec.DeltaBody)


async def main():
    """Serves commands until standard input ends."""
    relays = Relays()
    names = ("open", "cut", "heal", "lose", "misroute", "counts")
    await serve_commands({name: getattr(relays, name) for name in names})


if __name__ == "__main__":
    asyncio.run(main())
