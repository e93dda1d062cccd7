"""A TCP relay that can delay or reset connections."""

import asyncio
from contextlib import suppress


class Relay:
    """Forwards connections from a port of its own to `target`, a port of the loopback address.

    `cuts` holds, for each new connection in turn, the number of bytes sent back by the target after which
    both sides are reset; None for never. Bytes are held back while the event `flows` is cleared.
    """

    def __init__(self, target):
        """Take the port to forward to."""
        self.target, self.cuts, self.writers, self.connections = target, [], [], 0
        self.flows = asyncio.Event()
        self.flows.set()

    async def start(self):
        """Listen on a free port of the loopback address, `port`."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Forward one connection until either side closes it or it is cut."""
        self.connections += 1
        cut = self.cuts.pop(0) if self.cuts else None
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = writer, far_writer
        self.writers += pair
        there = asyncio.create_task(self.carry(reader, far_writer, None))
        back = asyncio.create_task(self.carry(far_reader, writer, cut))
        await asyncio.wait((there, back), return_when=asyncio.FIRST_COMPLETED)
        for task in (there, back):
            task.cancel()
        for side in pair:
            side.transport.abort()
            self.writers.remove(side)

    async def carry(self, reader, writer, left):
        """Copy bytes in one direction; returns at the end of the stream or after `left` bytes."""
        with suppress(ConnectionError):
            while data := await reader.read(65_536 if left is None else min(left, 65_536) or 1):
                await self.flows.wait()
                if left is not None and len(data) >= left:
                    writer.write(data[:left])
                    await writer.drain()
                    return
                left = left if left is None else left - len(data)
                writer.write(data)
                await writer.drain()

    def break_all(self):
        """Reset all open connections."""
        for writer in self.writers:
            writer.transport.abort()

    async def stop(self):
        """Stop listening and reset all open connections."""
        self.server.close()
        self.break_all()
