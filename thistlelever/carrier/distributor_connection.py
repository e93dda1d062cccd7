"""A connection to a distributor: HTTP/1.1 calls with MessagePack bodies, one at a time."""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus
from typing import TypeVar

from tornado.iostream import StreamClosedError

from thistlelever.distribution import codec
from thistlelever.store.stream import Stream
from thistlelever.wire import http
from thistlelever.wire.read_buffer import ReadBuffer, TooLong

Address = tuple[str, int]
Answer = TypeVar("Answer", codec.Reply, codec.VersionReply)

# Initial size of the buffer, and the maximum size of an answer: 22,000 engines take about 1.6 MB.
BUFFER_BYTES, LONGEST_ANSWER_BYTES = 4_096, 16_777_216
# Maximum size of a single read from the socket.
READ_CHUNK_BYTES = 65_536
CONTENT_TYPE = "application/msgpack"


class DistributorError(Exception):
    """The distributor gave no usable answer; another one should be tried."""


class DistributorBusyError(DistributorError):
    """The distributor is overloaded and asks to retry later."""

    def __init__(self, retry_after: float) -> None:
        """Retry after `retry_after` seconds."""
        super().__init__(f"busy for {retry_after:g} s")
        self.retry_after = retry_after


class DistributorBehindError(DistributorError):
    """The distributor has an older version than the client."""


class DistributorConnection:
    """Makes calls over one connection, which must not be used after a call that failed."""

    def __init__(self, stream: Stream, address: Address) -> None:
        """Use `open`."""
        self.stream, self.address = stream, address
        self.buffer = ReadBuffer(BUFFER_BYTES, LONGEST_ANSWER_BYTES)
        self.bytes_sent, self.bytes_received = 0, 0

    @classmethod
    async def open(cls, address: Address, within: float) -> DistributorConnection:
        """Open a connection within `within` seconds; `DistributorError` if that fails."""
        try:
            raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            raise DistributorError(f"no socket: {error!r}") from None
        stream = Stream(raw, max_buffer_size=LONGEST_ANSWER_BYTES, read_chunk_size=READ_CHUNK_BYTES)
        try:
            stream.set_nodelay(True)
            async with asyncio.timeout(within):
                await stream.connect(address)
        except (TimeoutError, StreamClosedError, OSError) as error:
            stream.close()
            raise DistributorError(f"{address[0]}:{address[1]}: no connection: {error!r}") from None
        except BaseException:
            stream.close()
            raise
        return cls(stream, address)

    async def call(self, path: str, request: codec.Request, kind: type[Answer], within: float) -> Answer:
        """POST a request and decode its answer, within `within` seconds; `DistributorError` if that fails."""
        try:
            async with asyncio.timeout(within):
                return codec.decode((await self.exchange(path, request)).body, kind)
        except TimeoutError:
            raise DistributorError(f"silent for {within:g} s") from None
        except (StreamClosedError, TooLong, http.Unreadable, codec.ProtocolError) as error:
            raise DistributorError(f"{type(error).__name__}: {error}") from None

    async def exchange(self, path: str, request: codec.Request) -> http.Reply:
        """POST a request and read the HTTP reply; `DistributorError` for any status other than 200."""
        fields = {"Content-Type": CONTENT_TYPE}
        data = http.encode_request("POST", path, self.address, fields, codec.encode(request))
        await self.stream.write(data)
        self.bytes_sent += len(data)
        reply = http.read_reply(self.buffer)
        while reply is None:
            count = await self.stream.read_into(self.buffer.writable(), partial=True)
            self.buffer.advance(count)
            self.bytes_received += count
            reply = http.read_reply(self.buffer)
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise DistributorBusyError(reply.number(b"retry-after") or 0.0)
        if reply.status == HTTPStatus.CONFLICT:
            raise DistributorBehindError("it holds an older version")
        if reply.status != HTTPStatus.OK:
            raise DistributorError(f"status {reply.status}")
        return reply

    def close(self) -> None:
        """Close the connection; a pending call fails."""
        self.stream.close()
