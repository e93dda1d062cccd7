"""Admin socket of a front: a local socket that only the front's own user may open. A request is one JSON
line, and so is the reply."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from contextlib import suppress

import orjson

# The limits of one request, of the time that serving it may take, and of connections open at once.
MAX_REQUEST_BYTES, TIMEOUT_S, MAX_CONNECTIONS = 4_096, 2.0, 8


class AdminServer:
    """Replies to `{"ask": NAME, ...}` with what the handler of that name returns for the other keys."""

    def __init__(self, path: str, handlers: dict[str, Callable[..., dict]]) -> None:
        """Opens nothing: `listen` does."""
        self.path, self.handlers, self.connections = path, handlers, 0
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen at the path. Replaces the socket of a front that has ended; raises `OSError` where a running
        front listens there."""
        with suppress(FileNotFoundError):
            probe = socket.socket(socket.AF_UNIX)
            try:
                probe.connect(self.path)
                raise OSError(f"admin.socket: {self.path}: another front answers there")
            except (ConnectionRefusedError, FileNotFoundError):
                os.unlink(self.path)
            finally:
                probe.close()
        old_umask = os.umask(0o177)
        try:
            self.server = await asyncio.start_unix_server(self.serve, self.path, limit=MAX_REQUEST_BYTES)
        finally:
            os.umask(old_umask)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reply to one request and close the connection; above `MAX_CONNECTIONS`, close it unanswered."""
        self.connections += 1
        try:
            if self.connections > MAX_CONNECTIONS:
                return
            async with asyncio.timeout(TIMEOUT_S):
                writer.write(self.reply(await reader.readline()) + b"\n")
                await writer.drain()
        except (TimeoutError, ConnectionError, ValueError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    def reply(self, line: bytes) -> bytes:
        """The reply to a request line, without its line end: the handler's result, or a fault with the names
        of all handlers."""
        try:
            request = orjson.loads(line)
            handler = self.handlers[request.pop("ask")]
            return orjson.dumps({"answer": handler(**request)})
        except (orjson.JSONDecodeError, AttributeError, KeyError, TypeError) as error:
            return orjson.dumps({"fault": f"no such question: {error!r}", "known": sorted(self.handlers)})

    async def close(self) -> None:
        """Stop listening and remove the socket's path."""
        if self.server:
            self.server.close()
            with suppress(FileNotFoundError):
                os.unlink(self.path)


async def call(path: str, method: str, /, **arguments: object) -> dict:
    """Call a handler of the front that listens at the path, and return its whole reply.

    Raises `ConnectionError` or `FileNotFoundError` where no front listens, and `TimeoutError` where the reply
    does not arrive in time.
    """
    reader, writer = await asyncio.open_unix_connection(path, limit=16 << 20)
    writer.write(orjson.dumps({"ask": method, **arguments}) + b"\n")
    async with asyncio.timeout(TIMEOUT_S + 1):
        line = await reader.readline()
    writer.close()
    return orjson.loads(line)
