"""A bounded pool of keep-alive HTTP connections to the engines."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from time import monotonic
from zlib import crc32

from tornado.iostream import StreamClosedError

from thistlelever.ground.config import Entry
from thistlelever.ground.interface import EngineId
from thistlelever.ground.metrics import Metrics
from thistlelever.store.stream import Stream
from thistlelever.wire import http
from thistlelever.wire.read_buffer import ReadBuffer, TooLong

# A result page with its header fits into 16 KiB; a longer reply is a protocol error.
BUFFER_BYTES, MAX_REPLY_BYTES = 8_192, 16_384
# Share of the connections reserved for urgent calls (dispatches, cancels, probes), which must not wait behind
# polls.
URGENT_SHARE = 0.25
# Idle connections are closed at this share of the engines' keep-alive time, so that a call does not race with
# the engine closing the connection.
IDLE_SHARE = 0.8
# Not the id of any engine: a waiter with it waits for a free slot, not for a connection to a given engine.
ANY_ENGINE = b""
# Errors caused by a shortage on this machine, which say nothing about the engine.
LOCAL_SHORTAGE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
# Minimum idle time in seconds between two calls on a connection, so that unsolicited data after a reply is
# detected before the next call. A page of a result is not final before this time has passed either.
MIN_IDLE = 0.01
# Maximum time in seconds without further data once a reply has started.
STALL_TIMEOUT = 0.15


class Refused(Exception):
    """The connection was refused, or the engine has left the address; nothing was sent."""


class Unreached(Exception):
    """No connection within the connect timeout, or the engine was unreachable; nothing was sent."""


class Short(Exception):
    """No connection because of a shortage of resources on this machine; says nothing about the engine."""


class Broken(Exception):
    """The connection failed, or the reply was malformed, after the call may have been sent in part."""


class Silent(Exception):
    """No complete reply within the timeout."""


class Connection:
    """A connection to an engine; carries one call at a time.

    `calls` counts the calls made, `idle_since` is in seconds of the monotonic clock. `request_sent` tells
    whether the whole request of the last call was written, `has_surplus` whether data followed its reply at
    once, `keeps_alive` whether it may carry another call after it.
    """

    def __init__(self, stream: Stream, engine: EngineId) -> None:
        """Wrap a connected stream."""
        self.stream, self.engine, self.idle_since, self.calls = stream, engine, 0.0, 0
        self.buffer = ReadBuffer(BUFFER_BYTES, MAX_REPLY_BYTES)
        self.call_pending, self.request_sent, self.has_surplus = False, False, False
        self.keeps_alive = True
        # Digest of the last good reply, to recognise a duplicate of it. A duplicate that arrives late, during
        # the next call, would be taken for the answer to that call.
        self.last_digest = 0
        # A read is pending while the connection is idle, so that unsolicited data is detected and attributed
        # to the connection.
        self.pending_read: asyncio.Future | None = None
        # Set while the connection is watched for data that follows its last reply late.
        self.pending_watch: asyncio.Future[bool] | None = None

    async def call(self, request: bytes, within: float) -> http.Reply:
        """Send a call and read its reply within `within` seconds.

        The reply is valid until the connection is used again. Raises `Silent` on a timeout and `Broken` when
        the connection fails or the reply is malformed.
        """
        self.call_pending, self.request_sent, self.calls = True, False, self.calls + 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(within) as limit:
                await self.stream.write(request)
                self.request_sent = True
                reply = None
                while reply is None:
                    self.buffer.advance(await self.take_read())
                    limit.reschedule(min(limit.when(), loop.time() + STALL_TIMEOUT))
                    reply = http.read_reply(self.buffer)
        except TimeoutError:
            raise Silent from None
        except (StreamClosedError, TooLong, http.Unreadable) as error:
            raise Broken(f"{type(error).__name__}: {error}") from None
        self.call_pending = False
        self.has_surplus = self.buffer.start != self.buffer.end or bool(self.next_byte())
        self.keeps_alive = reply.keeps
        if self.has_surplus:
            # Surplus data could be taken for the answer to the next call.
            self.stream.close()
        return reply

    def take_read(self) -> asyncio.Future[int]:
        """Return the read in progress, or a new one.

        Callers keep no variable for it: the error of a failed read refers to their frames, which would make a
        cycle that holds the buffer and the request after the close.
        """
        reading = self.pending_read or self.stream.read_into(self.buffer.writable(), partial=True)
        self.pending_read = None
        return reading

    def is_repeated(self, reply: http.Reply) -> bool:
        """Return whether a page equals the previous one on this connection in all fields and the body.

        It may be a late copy of that one, as replies name no request. Two true ones can be equal too.
        """
        parts = (b"%b:%b" % (name, value) for name, value in sorted(reply.fields.items()))
        previous, self.last_digest = self.last_digest, crc32(b"\n".join((*parts, reply.body))) or 1
        return previous == self.last_digest

    def start_idle(self) -> None:
        """Release the buffer of the last reply and start to read, to detect unsolicited data."""
        self.idle_since = monotonic()
        with suppress(StreamClosedError):
            self.pending_read = self.pending_read or self.stream.read_into(
                self.buffer.writable(), partial=True
            )

    def is_clean(self) -> bool:
        """Return whether neither data nor the end of the stream has arrived since the last reply.

        Both the stream and the socket are checked: data that the stream has read is no longer at the socket,
        and data at the socket may not have been seen by the event loop yet.
        """
        if self.call_pending or self.pending_read and self.pending_read.done():
            return False
        return self.next_byte() is None

    def has_late_data(self) -> bool:
        """Return whether data has arrived since the last reply; the end of the stream is not data."""
        reading = self.pending_read
        if reading and reading.done() and not reading.cancelled() and not reading.exception():
            return True
        return bool(self.next_byte())

    def next_byte(self) -> bytes | None:
        """Return the next byte at the socket without taking it.

        None if there is none yet, an empty string if the stream is closed, has ended or failed.
        """
        if self.stream.closed():
            return b""
        try:
            return self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""


class ConnectionPool:
    """All HTTP connections of this front to engines.

    A caller that finds none free waits in order of arrival, urgent calls before polls.
    """

    def __init__(self, limit: int, idle_timeout: float, connect_limit: float, metrics: Metrics) -> None:
        """Allow `limit` connections in all.

        `idle_timeout` is the engines' keep-alive time, `connect_limit` the connect timeout, in seconds.
        """
        self.limit, self.idle_timeout = limit, idle_timeout * IDLE_SHARE
        self.connect_limit, self.metrics = connect_limit, metrics
        self.poll_limit = limit - int(limit * URGENT_SHARE)
        self.idle: dict[EngineId, deque[Connection]] = {}
        self.count = 0
        # Whether an engine is still listed: a connection that is released after its engine has gone is
        # closed, or it would be kept without use.
        self.is_listed: Callable[[EngineId], bool] = lambda engine: True
        # Whether an entry's address still belongs to its engine; nothing new is sent to an address that
        # belongs to another engine by now.
        self.is_reachable: Callable[[Entry], bool] = lambda entry: True
        # Whether it belongs to another engine by now, which may run what was sent there before it was listed.
        self.is_taken_over: Callable[[Entry], bool] = lambda entry: False
        # Waiters for urgent calls and for polls: the engine and the future that wakes the waiter.
        self.waiters: tuple[deque[tuple[EngineId, asyncio.Future]], ...] = (deque(), deque())

    async def acquire(
        self,
        entry: Entry,
        urgent: bool,
        patient: bool = False,
        unused: bool = False,
        starts_nothing: bool = False,
    ) -> Connection:
        """Return a connection without a pending call, either idle or new.

        A `patient` caller waits for an idle connection that has not reached `MIN_IDLE` yet instead of opening
        another one. With `unused` the connection has never carried a call. A call that `starts_nothing`, such
        as a poll or a cancel, also goes to the engine that has the address now. Raises `Refused` when the
        engine has left its address, and the errors of `connect`.
        """
        engine = entry.engine.id
        while True:
            if not (self.is_reachable(entry) or starts_nothing and self.is_taken_over(entry)):
                self.metrics.add("links to an address that is another engine's")
                raise Refused("the engine has left its address")
            connection = None if unused else self.take_idle(engine)
            if connection:
                return connection
            if patient and not unused and (idle := self.idle.get(engine)):
                await asyncio.sleep(max(idle[0].idle_since + MIN_IDLE - monotonic(), 0.0005))
                continue
            if self.count < (self.limit if urgent else self.poll_limit):
                return await self.connect(entry)
            if not unused and self.idle.get(engine):
                # The idle ones have not reached MIN_IDLE yet, and the limit allows no other.
                await asyncio.sleep(MIN_IDLE)
            elif not self.close_oldest_idle():
                self.metrics.add("links short")
                connection = await self.wait_turn(ANY_ENGINE if unused else engine, urgent)
                if connection:
                    return connection

    def take_idle(self, engine: EngineId) -> Connection | None:
        """Remove and return the most recently released clean connection that has reached `MIN_IDLE`.

        The ones that are idle for longer can then be closed to make room for other engines.
        """
        idle, idle_before = self.idle.get(engine, deque()), monotonic() - MIN_IDLE
        index = len(idle) - 1
        while index >= 0:
            connection = idle[index]
            if not connection.is_clean():
                self.metrics.add("links that were not as left")
                del idle[index]
                self.close(connection)
            elif connection.idle_since <= idle_before:
                del idle[index]
                return connection
            index -= 1
        return None

    async def wait_turn(self, engine: EngineId, urgent: bool) -> Connection | None:
        """Wait for a released connection to the engine, or return None once a slot is free."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters[not urgent].append((engine, waiter))
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                # Woken and cancelled at the same time: pass the connection or the slot on to the next waiter.
                if waiter.result():
                    self.hand_over(waiter.result())
                else:
                    self.wake_next()
            raise

    async def connect(self, entry: Entry) -> Connection:
        """Open a connection; raises `Refused`, `Unreached`, `Short` or `Broken`."""
        self.count += 1
        stream = None
        try:
            raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = Stream(raw, max_buffer_size=MAX_REPLY_BYTES, read_chunk_size=BUFFER_BYTES)
            async with asyncio.timeout(self.connect_limit):
                await stream.connect(entry.address)
        except BaseException as error:
            if stream:
                stream.close()
            self.slot_freed()
            if isinstance(error, TimeoutError):
                raise Unreached from None
            if isinstance(error, StreamClosedError | OSError):
                raise self.connect_error(error) from None
            raise
        return Connection(stream, entry.engine.id)

    def connect_error(self, error: Exception) -> Exception:
        """Convert an error of connecting to an exception of this module."""
        cause = getattr(error, "real_error", None) or error
        if isinstance(cause, ConnectionRefusedError):
            return Refused(str(cause))
        self.metrics.add("connect failed otherwise")
        if isinstance(cause, ConnectionError):
            return Broken(str(cause))
        return (
            Short(str(cause))
            if getattr(cause, "errno", None) in LOCAL_SHORTAGE_ERRNOS
            else Unreached(str(cause))
        )

    def release(self, connection: Connection) -> None:
        """Keep a connection for the next call, or close it if its last call failed."""
        if connection.pending_watch:
            # `end_watch` releases it.
            return
        if not self.is_reusable(connection):
            self.close(connection)
            return
        connection.start_idle()
        if any(not waiter.done() for queue in self.waiters for _, waiter in queue):
            asyncio.get_running_loop().call_later(MIN_IDLE, self.hand_over, connection)
        else:
            self.idle.setdefault(connection.engine, deque()).append(connection)

    def is_reusable(self, connection: Connection) -> bool:
        """Return whether the connection can carry another call to its engine."""
        if connection.stream.closed() or connection.call_pending or not connection.keeps_alive:
            return False
        return self.is_listed(connection.engine)

    def watch(self, connection: Connection) -> asyncio.Future[bool]:
        """Watch for data that follows a reply late; the result is whether there was none for `MIN_IDLE`.

        Such data may be the rest of a body whose stated length is too small. The connection is released at
        the end of the watch, whether or not anyone still waits for the result.
        """
        loop = asyncio.get_running_loop()
        watch = connection.pending_watch = loop.create_future()
        connection.start_idle()
        timer = loop.call_later(MIN_IDLE, self.end_watch, connection, watch)
        if connection.pending_read:
            connection.pending_read.add_done_callback(lambda reading: timer.cancel())
            connection.pending_read.add_done_callback(lambda reading: self.end_watch(connection, watch))
        return watch

    def end_watch(self, connection: Connection, watch: asyncio.Future[bool]) -> None:
        """Set the result of a watch and release its connection, unless the watch has ended before."""
        if connection.pending_watch is not watch:
            return
        connection.pending_watch = None
        if not watch.done():
            watch.set_result(not connection.has_late_data())
        if self.is_reusable(connection):
            self.hand_over(connection)
        else:
            self.close(connection)

    def hand_over(self, connection: Connection) -> None:
        """Give a connection that has reached `MIN_IDLE` to a waiter for its engine, or keep it as idle."""
        if not connection.is_clean():
            self.metrics.add("links that were not as left")
            self.close(connection)
            return
        for queue in self.waiters:
            for index, (engine, waiter) in enumerate(queue):
                if engine == connection.engine and not waiter.done():
                    # Hand over instead of closing: opening a connection for each call takes the time that
                    # is lacking when connections are short.
                    del queue[index]
                    waiter.set_result(connection)
                    return
        if any(not waiter.done() for queue in self.waiters for _, waiter in queue):
            # All waiters want other engines: closing the connection frees a slot for any of them.
            self.close(connection)
            return
        self.idle.setdefault(connection.engine, deque()).append(connection)

    def close(self, connection: Connection) -> None:
        """Close a connection and wake the next waiter.

        A call without a reply must not reach its engine any more: the batch may be sent again by then.
        """
        if connection.call_pending:
            connection.stream.close_with_reset()
        else:
            connection.stream.close()
        self.slot_freed()

    def slot_freed(self) -> None:
        """Count a closed connection and wake the next waiter."""
        self.count -= 1
        self.metrics.check_invariant(self.count >= 0, "links counted")
        self.wake_next()

    def wake_next(self) -> None:
        """Wake the first waiter, urgent calls first."""
        for queue in self.waiters:
            while queue:
                _, waiter = queue.popleft()
                if not waiter.done():
                    waiter.set_result(None)
                    return

    def close_oldest_idle(self) -> bool:
        """Close the connection that is idle for longest, for another engine's; False if none is idle."""
        oldest = min((k for k in self.idle.values() if k), key=lambda k: k[0].idle_since, default=None)
        if oldest is None:
            return False
        connection = oldest.popleft()
        connection.stream.close()
        self.count -= 1
        return True

    def close_expired(self) -> None:
        """Close connections that were idle for too long, and remove engines without connections."""
        idle_before = monotonic() - self.idle_timeout
        for engine, idle in list(self.idle.items()):
            while idle and (idle[0].idle_since < idle_before or not idle[0].is_clean()):
                self.close(idle.popleft())
            if not idle:
                del self.idle[engine]

    def drop_engine(self, engine: EngineId) -> None:
        """Close the idle connections to an engine that is gone or was restarted; calls on them would fail."""
        for connection in self.idle.pop(engine, ()):
            self.close(connection)
