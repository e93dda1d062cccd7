"""A front's administration: questions about what it holds, answered over a local socket that only its own
user may open. One JSON line asks, one JSON line answers."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from contextlib import suppress

import orjson

MAX_REQUEST_BYTES, TIMEOUT_S, MAX_CONNECTIONS = 4_096, 2.0, 8


class AdminServer:
    """Answers `{"ask": NAME, ...}` with what the named question returns."""

    def __init__(self, path: str, handlers: dict[str, Callable[..., dict]]) -> None:
        self.path, self.handlers, self.connections = path, handlers, 0
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """A dead front's socket is replaced, a living one's is not: `OSError`."""
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
        try:
            request = orjson.loads(line)
            handler = self.handlers[request.pop("ask")]
            return orjson.dumps({"answer": handler(**request)})
        except (orjson.JSONDecodeError, AttributeError, KeyError, TypeError) as error:
            return orjson.dumps({"fault": f"no such question: {error!r}", "known": sorted(self.handlers)})

    async def close(self) -> None:
        if self.server:
            self.server.close()
            with suppress(FileNotFoundError):
                os.unlink(self.path)


async def call(path: str, method: str, /, **arguments: object) -> dict:
    """The answer of a living front; `ConnectionError` or `FileNotFoundError` where none is there."""
    reader, writer = await asyncio.open_unix_connection(path, limit=16 << 20)
    writer.write(orjson.dumps({"ask": method, **arguments}) + b"\n")
    async with asyncio.timeout(TIMEOUT_S + 1):
        line = await reader.readline()
    writer.close()
    return orjson.loads(line)
