"""The connections to the engines: kept, shared between calls, and bounded in number."""

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

from thistlelever.ground.interface import EngineId
from thistlelever.ground.config import Entry
from thistlelever.ground.metrics import Metrics
from thistlelever.store.stream import Stream
from thistlelever.wire import http
from thistlelever.wire.read_buffer import ReadBuffer, TooLong

# A page with its head fits into 16 KiB; a reply of more is none that the protocol knows.
BUFFER_BYTES, MAX_REPLY_BYTES = 8_192, 16_384
# Kept places for what must not wait behind polls: dispatches, cancels, probes.
URGENT_SHARE = 0.25
# Ours are closed at this share of the engines' idle time, so that a call never meets their closing.
IDLE_SHARE = 0.8
# No engine's id: who waits under it waits for a place.
ANY_ENGINE = b""
# What this side is out of, as no engine is to blame for it.
LOCAL_SHORTAGE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
# A link rests this long between two calls: what an engine sends beside its reply is then seen to be that.
MIN_IDLE = 0.01
# A reply that has begun goes on within this, or it has stopped short.
STALL_TIMEOUT = 0.15


class Refused(Exception):
    """No connection: nothing was sent, and the other side said so."""


class Unreached(Exception):
    """No connection came up in the connect limit: nothing was sent, and nothing was heard."""


class Short(Exception):
    """No connection, for want of something on this side: it says nothing of the engine."""


class Broken(Exception):
    """The connection ended, or what came on it can't be read, after some of the call went out."""


class Silent(Exception):
    """No whole reply in the time given."""


class Connection:
    """One connection to one engine; carries one call at a time."""

    def __init__(self, stream: Stream, engine: EngineId) -> None:
        self.stream, self.engine, self.idle_since, self.calls = stream, engine, 0.0, 0
        self.buffer = ReadBuffer(BUFFER_BYTES, MAX_REPLY_BYTES)
        self.call_pending, self.request_sent, self.has_surplus = False, False, False
        # A digest of the last good reply. Risk: a copy that comes late, while the next call is under way, is
        # taken for the answer to that call.
        self.last_digest = 0
        # While idle a read is under way, so that what comes unasked is seen, and by whom.
        self.pending_read: asyncio.Future | None = None

    async def call(self, request: bytes, within: float) -> http.Reply:
        """Send one call and read its reply, which is void once the link is used again."""
        self.call_pending, self.request_sent, self.calls = True, False, self.calls + 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(within) as limit:
                await self.stream.write(request)
                self.request_sent = True
                reply = None
                while reply is None:
                    reading = self.pending_read or self.stream.read_into(self.buffer.writable(), partial=True)
                    self.pending_read = None
                    self.buffer.advance(await reading)
                    limit.reschedule(min(limit.when(), loop.time() + STALL_TIMEOUT))
                    reply = http.read_reply(self.buffer)
        except TimeoutError:
            raise Silent from None
        except (StreamClosedError, TooLong, http.Unreadable) as error:
            raise Broken(f"{type(error).__name__}: {error}") from None
        self.call_pending = False
        self.has_surplus = self.buffer.start != self.buffer.end
        if not reply.keeps or self.has_surplus:
            # What comes unasked could be taken for the answer to the next call.
            self.stream.close()
        return reply

    def is_repeated(self, reply: http.Reply) -> bool:
        """Whether a good reply is, field by field, the one that came before it on this link, the work that
        was measured included: no two queries take the same."""
        if b"elapsed-work" not in reply.fields:
            return False
        parts = (b"%b:%b" % (name, value) for name, value in sorted(reply.fields.items()))
        previous, self.last_digest = self.last_digest, crc32(b"\n".join((*parts, reply.body))) or 1
        return previous == self.last_digest

    def start_idle(self) -> None:
        """Void what the last reply lay in, and listen for what may still come."""
        self.idle_since = monotonic()
        with suppress(StreamClosedError):
            self.pending_read = self.pending_read or self.stream.read_into(
                self.buffer.writable(), partial=True
            )

    def is_clean(self) -> bool:
        """Whether nothing has come since the last reply, its end included. Risk: what the stream has read
        is no longer at the socket, and what is at the socket the loop has not seen yet."""
        if self.stream.closed() or self.call_pending or self.pending_read and self.pending_read.done():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class ConnectionPool:
    """All links of this front. Who finds none free waits in turn, what is urgent before polls."""

    def __init__(self, limit: int, idle_timeout: float, connect_limit: float, metrics: Metrics) -> None:
        self.limit, self.idle_timeout = limit, idle_timeout * IDLE_SHARE
        self.connect_limit, self.metrics = connect_limit, metrics
        self.poll_limit = limit - int(limit * URGENT_SHARE)
        self.idle: dict[EngineId, deque[Connection]] = {}
        self.count = 0
        # Risk: a link that comes back after its engine has gone is kept for nobody.
        self.is_listed: Callable[[EngineId], bool] = lambda engine: True
        # Whether an entry's address still is its engine's; nothing is sent to one that is another's by now.
        self.is_reachable: Callable[[Entry], bool] = lambda entry: True
        # Who waits, urgent ones and polls apart: for which engine, and what wakes them.
        self.waiters: tuple[deque[tuple[EngineId, asyncio.Future]], ...] = (deque(), deque())

    async def acquire(
        self, entry: Entry, urgent: bool, patient: bool = False, unused: bool = False
    ) -> Connection:
        """A link that carries nothing: a kept one, or a new one. Who is patient waits for one that has not
        rested yet sooner than that it opens another; who wants an unused one gets one that never carried
        anything."""
        engine = entry.engine.id
        while True:
            if not self.is_reachable(entry):
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
                # They have not rested yet, and there is place for no other.
                await asyncio.sleep(MIN_IDLE)
            elif not self.close_oldest_idle():
                self.metrics.add("links short")
                connection = await self.wait_turn(ANY_ENGINE if unused else engine, urgent)
                if connection:
                    return connection

    def take_idle(self, engine: EngineId) -> Connection | None:
        """The last one given back that has rested: those longer idle may then be closed for others."""
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
        """Wait for a link that is given back, or for the place of one that is closed."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters[not urgent].append((engine, waiter))
        try:
            return await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                # Woken and called off in one moment: what it got is for the next.
                if waiter.result():
                    self.hand_over(waiter.result())
                else:
                    self.wake_next()
            raise

    async def connect(self, entry: Entry) -> Connection:
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
        """Keep a link for the next call, or close it where its call did not end well."""
        if connection.stream.closed() or connection.call_pending or not self.is_listed(connection.engine):
            self.close(connection)
            return
        connection.start_idle()
        if any(not waiter.done() for queue in self.waiters for _, waiter in queue):
            asyncio.get_running_loop().call_later(MIN_IDLE, self.hand_over, connection)
        else:
            self.idle.setdefault(connection.engine, deque()).append(connection)

    def hand_over(self, connection: Connection) -> None:
        """A link that has rested goes to who waits for one."""
        if not connection.is_clean():
            self.metrics.add("links that were not as left")
            self.close(connection)
            return
        for queue in self.waiters:
            for index, (engine, waiter) in enumerate(queue):
                if engine == connection.engine and not waiter.done():
                    # Risk: closed and made anew for each call, links take the time that they are short of.
                    del queue[index]
                    waiter.set_result(connection)
                    return
        if any(not waiter.done() for queue in self.waiters for _, waiter in queue):
            # Who waits wants another engine: a closed link is a place for any.
            self.close(connection)
            return
        self.idle.setdefault(connection.engine, deque()).append(connection)

    def close(self, connection: Connection) -> None:
        connection.stream.close()
        self.slot_freed()

    def slot_freed(self) -> None:
        self.count -= 1
        self.metrics.check_invariant(self.count >= 0, "links counted")
        self.wake_next()

    def wake_next(self) -> None:
        for queue in self.waiters:
            while queue:
                _, waiter = queue.popleft()
                if not waiter.done():
                    waiter.set_result(None)
                    return

    def close_oldest_idle(self) -> bool:
        """Make place for another engine's link; the one longest idle goes."""
        oldest = min((k for k in self.idle.values() if k), key=lambda k: k[0].idle_since, default=None)
        if oldest is None:
            return False
        connection = oldest.popleft()
        connection.stream.close()
        self.count -= 1
        return True

    def close_expired(self) -> None:
        """Close what has been idle too long, and forget engines that have no link."""
        idle_before = monotonic() - self.idle_timeout
        for engine, idle in list(self.idle.items()):
            while idle and (idle[0].idle_since < idle_before or not idle[0].is_clean()):
                self.close(idle.popleft())
            if not idle:
                del self.idle[engine]

    def drop_engine(self, engine: EngineId) -> None:
        """Close the kept links of an engine that is gone or was started anew: a call on one goes nowhere."""
        for connection in self.idle.pop(engine, ()):
            self.close(connection)
