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
BUFFER, LONGEST = 8_192, 16_384
# Kept places for what must not wait behind polls: dispatches, cancels, probes.
URGENT_SHARE = 0.25
# Ours are closed at this share of the engines' idle time, so that a call never meets their closing.
IDLE_SHARE = 0.8
# No engine's id: who waits under it waits for a place.
NOBODY = b""
# What this side is out of, as no engine is to blame for it.
OWN_WANT = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
# A link rests this long between two calls: what an engine sends beside its reply is then seen to be that.
REST = 0.01
# A reply that has begun goes on within this, or it has stopped short.
STOPPED_SHORT = 0.15


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


class Link:
    """One connection to one engine; carries one call at a time."""

    def __init__(self, stream: Stream, engine: EngineId) -> None:
        self.stream, self.engine, self.idle_since, self.calls = stream, engine, 0.0, 0
        self.buffer = ReadBuffer(BUFFER, LONGEST)
        self.calling, self.whole, self.surplus = False, False, False
        # A digest of the last good reply. Risk: a copy that comes late, while the next call is under way, is
        # taken for the answer to that call.
        self.last_good = 0
        # While idle a read is under way, so that what comes unasked is seen, and by whom.
        self.reading: asyncio.Future | None = None

    async def call(self, request: bytes, within: float) -> http.Reply:
        """Send one call and read its reply, which is void once the link is used again."""
        self.calling, self.whole, self.calls = True, False, self.calls + 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(within) as limit:
                await self.stream.write(request)
                self.whole = True
                reply = None
                while reply is None:
                    reading = self.reading or self.stream.read_into(self.buffer.writable(), partial=True)
                    self.reading = None
                    self.buffer.advance(await reading)
                    limit.reschedule(min(limit.when(), loop.time() + STOPPED_SHORT))
                    reply = http.read_reply(self.buffer)
        except TimeoutError:
            raise Silent from None
        except (StreamClosedError, TooLong, http.Unreadable) as why:
            raise Broken(f"{type(why).__name__}: {why}") from None
        self.calling = False
        self.surplus = self.buffer.start != self.buffer.end
        if not reply.keeps or self.surplus:
            # What comes unasked could be taken for the answer to the next call.
            self.stream.close()
        return reply

    def repeats(self, reply: http.Reply) -> bool:
        """Whether a good reply is, field by field, the one that came before it on this link, the work that
        was measured included: no two queries take the same."""
        if b"elapsed-work" not in reply.fields:
            return False
        words = (b"%b:%b" % (name, value) for name, value in sorted(reply.fields.items()))
        before, self.last_good = self.last_good, crc32(b"\n".join((*words, reply.body))) or 1
        return before == self.last_good

    def rest(self) -> None:
        """Void what the last reply lay in, and listen for what may still come."""
        self.idle_since = monotonic()
        with suppress(StreamClosedError):
            self.reading = self.reading or self.stream.read_into(self.buffer.writable(), partial=True)

    def fresh(self) -> bool:
        """Whether nothing has come since the last reply, its end included. Risk: what the stream has read
        is no longer at the socket, and what is at the socket the loop has not seen yet."""
        if self.stream.closed() or self.calling or self.reading and self.reading.done():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class Links:
    """All links of this front. Who finds none free waits in turn, what is urgent before polls."""

    def __init__(self, most: int, idle: float, connect_limit: float, metrics: Metrics) -> None:
        self.most, self.idle = most, idle * IDLE_SHARE
        self.connect_limit, self.metrics = connect_limit, metrics
        self.most_polls = most - int(most * URGENT_SHARE)
        self.kept: dict[EngineId, deque[Link]] = {}
        self.count = 0
        # Risk: a link that comes back after its engine has gone is kept for nobody.
        self.listed: Callable[[EngineId], bool] = lambda engine: True
        # Whether an entry's address still is its engine's; nothing is sent to one that is another's by now.
        self.reachable: Callable[[Entry], bool] = lambda entry: True
        # Who waits, urgent ones and polls apart: for which engine, and what wakes them.
        self.waiting: tuple[deque[tuple[EngineId, asyncio.Future]], ...] = (deque(), deque())

    async def take(self, entry: Entry, urgent: bool, patient: bool = False, unused: bool = False) -> Link:
        """A link that carries nothing: a kept one, or a new one. Who is patient waits for one that has not
        rested yet sooner than that it opens another; who wants an unused one gets one that never carried
        anything."""
        engine = entry.engine.id
        while True:
            if not self.reachable(entry):
                self.metrics.add("links to an address that is another engine's")
                raise Refused("the engine has left its address")
            link = None if unused else self.rested(engine)
            if link:
                return link
            if patient and not unused and (kept := self.kept.get(engine)):
                await asyncio.sleep(max(kept[0].idle_since + REST - monotonic(), 0.0005))
                continue
            if self.count < (self.most if urgent else self.most_polls):
                return await self.connect(entry)
            if not unused and self.kept.get(engine):
                # They have not rested yet, and there is place for no other.
                await asyncio.sleep(REST)
            elif not self.close_idle_one():
                self.metrics.add("links short")
                link = await self.turn(NOBODY if unused else engine, urgent)
                if link:
                    return link

    def rested(self, engine: EngineId) -> Link | None:
        """The last one given back that has rested: those longer idle may then be closed for others."""
        kept, before = self.kept.get(engine, deque()), monotonic() - REST
        place = len(kept) - 1
        while place >= 0:
            link = kept[place]
            if not link.fresh():
                self.metrics.add("links that were not as left")
                del kept[place]
                self.close(link)
            elif link.idle_since <= before:
                del kept[place]
                return link
            place -= 1
        return None

    async def turn(self, engine: EngineId, urgent: bool) -> Link | None:
        """Wait for a link that is given back, or for the place of one that is closed."""
        turn = asyncio.get_running_loop().create_future()
        self.waiting[not urgent].append((engine, turn))
        try:
            return await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                # Woken and called off in one moment: what it got is for the next.
                if turn.result():
                    self.settle(turn.result())
                else:
                    self.wake()
            raise

    async def connect(self, entry: Entry) -> Link:
        self.count += 1
        stream = None
        try:
            raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = Stream(raw, max_buffer_size=LONGEST, read_chunk_size=BUFFER)
            async with asyncio.timeout(self.connect_limit):
                await stream.connect(entry.address)
        except BaseException as why:
            if stream:
                stream.close()
            self.freed()
            if isinstance(why, TimeoutError):
                raise Unreached from None
            if isinstance(why, StreamClosedError | OSError):
                raise self.meaning(why) from None
            raise
        return Link(stream, entry.engine.id)

    def meaning(self, why: Exception) -> Exception:
        real = getattr(why, "real_error", None) or why
        if isinstance(real, ConnectionRefusedError):
            return Refused(str(real))
        self.metrics.add("connect failed otherwise")
        if isinstance(real, ConnectionError):
            return Broken(str(real))
        return Short(str(real)) if getattr(real, "errno", None) in OWN_WANT else Unreached(str(real))

    def give_back(self, link: Link) -> None:
        """Keep a link for the next call, or close it where its call did not end well."""
        if link.stream.closed() or link.calling or not self.listed(link.engine):
            self.close(link)
            return
        link.rest()
        if any(not turn.done() for waiting in self.waiting for _, turn in waiting):
            asyncio.get_running_loop().call_later(REST, self.settle, link)
        else:
            self.kept.setdefault(link.engine, deque()).append(link)

    def settle(self, link: Link) -> None:
        """A link that has rested goes to who waits for one."""
        if not link.fresh():
            self.metrics.add("links that were not as left")
            self.close(link)
            return
        for waiting in self.waiting:
            for place, (engine, turn) in enumerate(waiting):
                if engine == link.engine and not turn.done():
                    # Risk: closed and made anew for each call, links take the time that they are short of.
                    del waiting[place]
                    turn.set_result(link)
                    return
        if any(not turn.done() for waiting in self.waiting for _, turn in waiting):
            # Who waits wants another engine: a closed link is a place for any.
            self.close(link)
            return
        self.kept.setdefault(link.engine, deque()).append(link)

    def close(self, link: Link) -> None:
        link.stream.close()
        self.freed()

    def freed(self) -> None:
        self.count -= 1
        self.metrics.check_invariant(self.count >= 0, "links counted")
        self.wake()

    def wake(self) -> None:
        for waiting in self.waiting:
            while waiting:
                _, turn = waiting.popleft()
                if not turn.done():
                    turn.set_result(None)
                    return

    def close_idle_one(self) -> bool:
        """Make place for another engine's link; the one longest idle goes."""
        oldest = min((k for k in self.kept.values() if k), key=lambda k: k[0].idle_since, default=None)
        if oldest is None:
            return False
        link = oldest.popleft()
        link.stream.close()
        self.count -= 1
        return True

    def sweep(self) -> None:
        """Close what has been idle too long, and forget engines that have no link."""
        before = monotonic() - self.idle
        for engine, kept in list(self.kept.items()):
            while kept and (kept[0].idle_since < before or not kept[0].fresh()):
                self.close(kept.popleft())
            if not kept:
                del self.kept[engine]

    def forget(self, engine: EngineId) -> None:
        """Close the kept links of an engine that is gone or was started anew: a call on one goes nowhere."""
        for link in self.kept.pop(engine, ()):
            self.close(link)
