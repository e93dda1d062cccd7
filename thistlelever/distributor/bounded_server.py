"""The distributor's HTTP server: bounds on connections and on the size, memory and time of requests.

Without them some hundred half requests would take all of the memory: each may announce a body of 100 MB,
which is kept until it is whole.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from http import HTTPStatus
from typing import NamedTuple

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.web import Application

# Seconds: until the body of a request must be whole, and until its head must be, which includes the time for
# which a connection is idle before it.
BODY_TIMEOUT_S, HEAD_TIMEOUT_S = 10.0, 60.0
# How much is read at once, in bytes; each connection with a part of a head may hold twice that.
READ_BYTES = 16_384
# Longest head of a request, and longest body where the route allows none longer, in bytes.
MAX_HEAD_BYTES, MAX_BODY_BYTES = 16_384, 65_536


class RequestLimits(NamedTuple):
    """Maximum number of connections, maximum bytes of the bodies of all present requests, and by path the
    maximum bytes of one body where that is not `MAX_BODY_BYTES`."""

    connections: int
    body_bytes_all: int
    body_bytes_by_path: dict[str, int]

    def body_bytes(self, path: str) -> int:
        """Return the maximum bytes of the body of a request for this path."""
        return self.body_bytes_by_path.get(path.partition("?")[0], MAX_BODY_BYTES)


class BoundedServer(HTTPServer):
    """Serves an application within `RequestLimits`; counts what it refuses."""

    # Tornado's servers are set up by `initialize` instead of `__init__`.
    def initialize(self, application: Application, limits: RequestLimits, counts: Counter[str]) -> None:
        """Serve `application`; refusals are counted in `counts`."""
        super().initialize(
            application,
            no_keep_alive=False,
            max_header_size=MAX_HEAD_BYTES,
            chunk_size=READ_BYTES,
            idle_connection_timeout=HEAD_TIMEOUT_S,
        )
        self.limits, self.counts = limits, counts
        self.connection_count = 0
        # Bytes of the body of the present request, by connection, and their sum.
        self.held: dict[object, int] = {}
        self.held_by_all = 0

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection, or close it if there are too many."""
        if self.connection_count >= self.limits.connections:
            self.counts["connections refused"] += 1
            stream.close()
            return
        self.connection_count += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Return what a connection held."""
        self.connection_count -= 1
        self.release(server_conn)
        super().on_close(server_conn)

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> HTTPMessageDelegate:
        """Begin a request, after the one before it on this connection has been answered."""
        self.release(server_conn)
        inner = super().start_request(server_conn, request_conn)
        return BoundedRequest(self, server_conn, request_conn, inner)

    def reserve(self, server_conn: object, count: int) -> bool:
        """Reserve bytes of a body; returns False if all bodies together would be too large."""
        if self.held_by_all + count > self.limits.body_bytes_all:
            return False
        self.held[server_conn] = self.held.get(server_conn, 0) + count
        self.held_by_all += count
        return True

    def release(self, server_conn: object) -> None:
        """Return the bytes of a connection's request."""
        self.held_by_all -= self.held.pop(server_conn, 0)


class BoundedRequest(HTTPMessageDelegate):
    """Passes one request on to the application, unless it is refused."""

    def __init__(
        self,
        server: BoundedServer,
        server_conn: object,
        request_conn: HTTPConnection,
        inner: HTTPMessageDelegate,
    ) -> None:
        """Refuse on `request_conn`, or pass on to `inner`."""
        self.server, self.server_conn = server, server_conn
        self.request_conn, self.inner = request_conn, inner
        self.refused, self.passed_on, self.size, self.max_size = False, False, 0, MAX_BODY_BYTES
        self.timer: asyncio.TimerHandle | None = None

    def headers_received(self, start_line: RequestStartLine, headers: HTTPHeaders):
        """Refuse a request whose stated length is too large; pass on any other."""
        self.max_size = self.server.limits.body_bytes(start_line.path)
        stated = headers.get("Content-Length", "0")
        # A length out of form is refused by Tornado.
        if stated.isdecimal() and int(stated) > self.max_size:
            return self.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self.passed_on = True
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(BODY_TIMEOUT_S, self.refuse, HTTPStatus.REQUEST_TIMEOUT)
        return self.inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes):
        """Refuse a body that has become too large, or that there is no memory for; pass on any other."""
        if self.refused:
            return None
        self.size += len(chunk)
        if self.size > self.max_size:
            return self.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if not self.server.reserve(self.server_conn, len(chunk)):
            return self.refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        return self.inner.data_received(chunk)

    def finish(self) -> None:
        """Carry out a request that is whole; Tornado copies its body for that."""
        if self.refused:
            return
        self.timer.cancel()
        if self.server.reserve(self.server_conn, self.size):
            self.inner.finish()
        else:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def on_connection_close(self) -> None:
        """Tell the application that the connection has ended."""
        if self.timer:
            self.timer.cancel()
        if not self.refused:
            self.inner.on_connection_close()

    def refuse(self, status: HTTPStatus) -> None:
        """Answer with an error, and close the connection, as the rest of the body is not read."""
        self.refused = True
        if self.timer:
            self.timer.cancel()
        self.server.counts[f"requests refused: {status.value}"] += 1
        self.server.release(self.server_conn)
        if self.passed_on:
            # The application keeps what it was given until it is told of the end.
            self.inner.on_connection_close()
        headers = HTTPHeaders({"Content-Length": "0", "Connection": "close"})
        try:
            self.request_conn.write_headers(
                ResponseStartLine("HTTP/1.1", status.value, status.phrase), headers
            )
            self.request_conn.finish()
        except StreamClosedError:
            # The client has left.
            return
