"""The clients' side: the listening port, one session a connection, answers written whole."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from tornado.iostream import StreamBufferFullError, StreamClosedError

from thistlelever.ground import interface as it
from thistlelever.carrier.course import LEFT, Courses
from thistlelever.carrier.dispatch import End
from thistlelever.carrier.intake import Intake
from thistlelever.ground import clock
from thistlelever.ground.log import Log
from thistlelever.ground.submission import InvalidFieldError
from thistlelever.store.batches import Batch
from thistlelever.store.connection_limits import ConnectionLimits
from thistlelever.store.stream import Stream
from thistlelever.ground.metrics import Metrics
from thistlelever.wire import jsonrpc
from thistlelever.wire.read_buffer import BufferQuota, ReadBuffer, TooLong

# Most lines are a few hundred bytes; a statement of 190 KB still passes.
BUFFER, LONGEST_LINE = 4_096, 262_144
# 32 open requests at 48,000 bytes in base64 each: a client that reads nothing gets no more than that.
MOST_OPEN, MOST_UNREAD = 32, 32 * 66_000
# A client is owed a word or a close 3 s after it connects, and closes what idles for 4 s itself.
SILENT, FIRST_LINE, IDLE = 1.5, 2.4, 5.0
# Who has said nothing in this time is closed before one that has: it counts as idle for so much longer.
SILENT_SOON, SILENT_FIRST = 0.1, 1.0
# At the bound connections wait at the port for a place; past this a close tells them that there is none.
NO_PLACE = 1.0
# A client at full speed gets so many lines in one turn of the loop, and so many connections are taken in one.
LINES_A_TURN, TAKEN_A_TURN, READS_A_TURN = 8, 32, 16
# Whole lines that wait are read up to this, which holds the open requests of usual clients.
READ_AHEAD = 65_536
# A connection that this side has ended is read from for so long: what crosses the shutdown comes in 50 ms.
LINGER = 0.15
# After each line out of form the next is read this much later, and after so many in a row none.
SLOWER, MOST_BAD = 0.01, 16
# A port that can take no more for now is looked at again after this, and so are lines at the front's end.
REST = 0.005


class Reception:
    """Takes connections and turns what clients submit into batches."""

    def __init__(
        self, intake: Intake, courses: Courses, metrics: Metrics, log: Log, limits: ConnectionLimits
    ) -> None:
        self.intake, self.courses, self.metrics = intake, courses, metrics
        self.log, self.limits = log, limits
        self.ready: Callable[[], bool] = lambda: False
        self.unread, self.quota = 0, BufferQuota(limits.unfinished_bytes)
        # The connection that waits for a place, others behind it at the port, and since when some do.
        self.waits: socket.socket | None = None
        self.full_since = float("inf")
        self.sessions: dict[Session, asyncio.Task] = {}
        self.raw: socket.socket | None = None

    def listen(self, raw: socket.socket) -> None:
        self.raw = raw
        asyncio.get_running_loop().add_reader(raw, self.accept)

    async def finish(self, within: float) -> None:
        """Take no more, and end each connection in order; what is not over in that time is cut."""
        # Risk: who waits at the port when it is closed is reset, with a first request that is whole.
        self.accept()
        asyncio.get_running_loop().remove_reader(self.raw)
        for raw in (self.raw, self.waits):
            # The descriptor is free even where the call fails.
            with suppress(OSError):
                raw and raw.close()
        await self.last_lines()
        for session in list(self.sessions):
            session.end()
        if self.sessions:
            await asyncio.wait(self.sessions.values(), timeout=within)

    async def last_lines(self) -> None:
        """Until what has begun to come is taken and answered, while the front's own time lasts. Risk: a
        request whose last bytes come a moment after all others are answered meets the close."""
        while clock.now() < self.intake.stop_at and (
            self.courses.tasks or any(session.hears() for session in self.sessions)
        ):
            await asyncio.sleep(REST)

    def accept(self) -> None:
        """Take what waits at the port; one turn of the loop must not go to new connections alone."""
        for _ in range(TAKEN_A_TURN):
            try:
                raw, self.waits = self.waits or self.raw.accept()[0], None
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # Risk: a port that stays readable and can't be taken from turns the loop into a spin.
                self.metrics.add("connections that could not be taken")
                self.look_away()
                return
            place = len(self.sessions) < self.limits.client_connections or self.close_one()
            if not place and clock.now() < self.full_since + NO_PLACE:
                # Risk: closed unread, its first request is lost; a place may be free in a moment.
                self.full_since, self.waits = min(self.full_since, clock.now()), raw
                self.look_away()
                return
            if not place:
                # All have batches open. A close is an answer too, and the next front may have a place.
                self.metrics.add("connections past the bound")
                with suppress(OSError):
                    raw.close()
                continue
            self.full_since = float("inf")
            try:
                raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError:
                # The connection has ended already, or its answers leave a little later.
                self.metrics.add("connections without TCP_NODELAY")
            stream = Stream(
                raw, max_buffer_size=LONGEST_LINE, max_write_buffer_size=MOST_UNREAD, read_chunk_size=BUFFER
            )
            session = Session(stream, self)
            self.sessions[session] = asyncio.get_running_loop().create_task(session.run())

    def look_away(self) -> None:
        asyncio.get_running_loop().remove_reader(self.raw)
        asyncio.get_running_loop().call_later(REST, self.look_again)

    def look_again(self) -> None:
        if self.raw.fileno() >= 0:
            self.listen(self.raw)
            self.accept()

    def close_one(self) -> bool:
        """Make place: of those with nothing open and nothing unread the one longest idle goes. Risk: a first
        request that meets its connection's close is a loss, and so is a client kept out by others that stay
        for good."""
        now = clock.now()

        def idle_since(session: Session) -> float:
            silent = not session.spoken and now - session.since > SILENT_SOON
            return session.since - SILENT_FIRST * silent

        for session in sorted((s for s in self.sessions if not s.open and not s.ending), key=idle_since):
            if not session.hears():
                self.metrics.add("idle clients closed for others")
                session.left()
                return True
        return False

    def sweep(self) -> None:
        """Close who has nothing open and said nothing whole for too long."""
        now = clock.now()
        for session in [s for s in self.sessions if not s.open and not s.ending]:
            waits = session.spoken and session.buffer.start == session.buffer.end
            if now - session.since > (IDLE if waits else SILENT) and not session.hears():
                self.metrics.add("idle clients closed" if waits else "silent clients closed")
                session.end()

    def batch(self, call: jsonrpc.Call) -> Batch:
        """The batch that a call submits; `InvalidCall` where it can't be one."""
        if call.method not in self.intake.groups:
            raise jsonrpc.InvalidCall(
                jsonrpc.NO_METHOD, f"{call.method[:60]}: no such service group", call.number
            )
        if call.number is None:
            raise jsonrpc.InvalidCall(jsonrpc.NO_REQUEST, "id: a number from 1 up is expected")
        try:
            return self.intake.batch(call.method, call.params, jsonrpc.submitted_statement(call))
        except InvalidFieldError as why:
            code, field = jsonrpc.BAD_FIELD, str(why)
            if why.still_open:
                code, field = jsonrpc.NO_REQUEST, f"params.{why}"
            raise jsonrpc.InvalidCall(code, field, call.number) from None


class Session:
    """One client's connection."""

    def __init__(self, stream: Stream, reception: Reception) -> None:
        self.stream, self.reception = stream, reception
        self.metrics = reception.metrics
        self.buffer = ReadBuffer(BUFFER, LONGEST_LINE, reception.quota)
        self.open: dict[int, Batch] = {}
        self.latest, self.bad, self.slow_till = 0, 0, 0.0
        # The read that is under way, as one always is; answers not yet out; whether this side has ended it.
        self.reading: asyncio.Future | None = None
        self.unwritten, self.ending = 0, False
        # Whether nothing more is taken, and the connection ends once what is open is answered.
        self.closing = False
        # When it connected, or last had a batch open or said something whole.
        self.since, self.spoken = clock.now(), False
        # When the line began of which no end has come yet.
        self.line_since = self.since

    async def run(self) -> None:
        """Until the connection is closed: by the client, or by this side some time after `end`."""
        try:
            while True:
                try:
                    self.read()
                except TooLong as why:
                    self.metrics.add("lines too long")
                    self.write(
                        jsonrpc.encode_error(None, jsonrpc.NO_REQUEST, f"a line that is too long: {why}")
                    )
                    self.end_when_answered()
                self.take_lines()
                await self.stir()
        except StreamClosedError:
            pass
        except Exception as why:
            self.metrics.add("session failed")
            self.reception.log("session failed", why=repr(why))
        finally:
            self.left()

    def read(self) -> None:
        """Read on for as long as something is there and has a place, before any of it is taken: a read is
        always under way. Risk: a client that sends much and goes is gone for long before its last line is
        taken, and what it sent first is dispatched for nobody."""
        for _ in range(READS_A_TURN):
            if self.reading is None:
                full = self.buffer.end == len(self.buffer.data)
                if full and self.buffer.has_line() and not self.may_read_ahead():
                    return
                self.reading = self.stream.read_into(self.buffer.writable(), partial=True)
            if not self.reading.done():
                return
            reading, self.reading = self.reading, None
            if self.buffer.start == self.buffer.end:
                self.line_since = clock.now()
            self.buffer.advance(reading.result())
            if self.closing:
                self.buffer.discard()

    def may_read_ahead(self) -> bool:
        """Whether more is read though whole lines wait. Who has sent that much, and lines out of form before
        it, is not waited for."""
        if len(self.buffer.data) < READ_AHEAD and self.buffer.can_grow():
            return True
        if self.bad:
            self.metrics.add("clients that flood")
            self.end_when_answered()
        return self.closing

    def take_lines(self) -> None:
        """Some of the lines that have come; one client must not hold the loop."""
        for _ in range(LINES_A_TURN):
            if self.closing or clock.now() < self.slow_till or (message := self.buffer.next_line()) is None:
                return
            self.take(message)
            if self.bad:
                self.slow_till = clock.now() + SLOWER * self.bad

    async def stir(self) -> None:
        """Wait until there is something to do."""
        slow = self.slow_till - clock.now()
        if not self.buffer.has_line() and self.reading is not None:
            await self.reading
        elif slow > 0 and self.reading is not None:
            await asyncio.wait((self.reading,), timeout=slow)
        else:
            await asyncio.sleep(max(slow, 0.0))

    def end_when_answered(self) -> None:
        """Take nothing more, and end the connection once what is open on it is answered. Risk: a request that
        was read is lost for what came behind it."""
        self.closing = True
        self.buffer.discard()
        self.end_if_answered()

    def end_if_answered(self) -> None:
        """End a connection on which nothing more is taken, unless an answer is owed on it still."""
        if self.closing and not self.open:
            self.end()

    def end(self) -> None:
        """This side ends the connection, in order: nothing more is taken from it, what was written goes out,
        our direction is shut, what comes is read and dropped for a while, and then it is closed. Risk: a
        close over unread bytes resets the connection and takes the last answer with it; a line taken after
        the shutdown has an effect that no answer can tell of."""
        if self.ending or self.stream.closed():
            return
        self.closing = self.ending = True
        self.buffer.discard()
        self.abandon()
        self.shut()
        asyncio.get_running_loop().call_later(LINGER, self.stream.close)

    def shut(self) -> None:
        """Our direction, once all that was written is out."""
        if self.ending and not self.unwritten and not self.stream.closed():
            with suppress(OSError):
                self.stream.socket.shutdown(socket.SHUT_WR)

    def hears(self) -> bool:
        """Whether something has come that no batch was made of yet, and that is not waited for too long.
        Risk: a connection that rested is closed over half of its next request."""
        if self.closing or not self.unread():
            return False
        till = max(self.since, self.line_since) + SILENT
        till = till if self.spoken else min(till, self.since + FIRST_LINE)
        return self.buffer.start == self.buffer.end or clock.now() < till

    def unread(self) -> bool:
        """Whether something has come that no batch was made of yet."""
        if self.stream.closed():
            return False
        if self.reading is not None and self.reading.done():
            return True
        with suppress(OSError):
            if self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        return self.buffer.start != self.buffer.end

    def take(self, message: memoryview) -> None:
        if not bytes(message[:64]).strip():
            return
        self.since, self.spoken = clock.now(), True
        try:
            call = jsonrpc.parse_call(message)
            if call.method == "status":
                if call.number is not None:
                    self.write(jsonrpc.encode_value(call.number, {"ready": self.reception.ready()}))
            elif call.method == "withdraw":
                self.withdraw(call)
            else:
                self.submit(call)
                self.bad = 0
        except jsonrpc.InvalidCall as why:
            self.metrics.add("bad lines")
            self.bad += 1
            self.reception.log("bad line", why=why.why, line=str(message[:120], "latin-1"))
            # Risk: an error under a number that is open would be the answer to what is open under it.
            number = None if why.number in self.open else why.number
            self.write(jsonrpc.encode_error(number, why.code, why.why))
            if self.bad >= MOST_BAD:
                self.metrics.add("clients that send nothing of use")
                self.end_when_answered()

    def submit(self, call: jsonrpc.Call) -> None:
        if call.number in self.open:
            raise jsonrpc.InvalidCall(jsonrpc.NO_REQUEST, "id: still open", call.number)
        if len(self.open) >= MOST_OPEN:
            raise jsonrpc.InvalidCall(jsonrpc.NO_REQUEST, f"more than {MOST_OPEN} open requests", call.number)
        batch = self.reception.batch(call)
        self.open[call.number] = batch
        self.latest = max(self.latest, call.number)
        self.metrics.add("taken")

        def answer(told) -> None:
            if self.open.pop(call.number, None) is batch:
                self.since = clock.now()
                self.metrics.add(type(told).__name__)
                self.report(batch, told)
                self.write(line(call.number, told))
                self.end_if_answered()

        self.reception.courses.start(batch, answer)

    def report(self, batch: Batch, told: it.Action | End) -> None:
        """Log an answer that is no result: whose it is, and how far the batch had come."""
        if type(told) in (it.PushBack, it.Error):
            said = "query refused" if type(told) is it.PushBack else "query errored"
            left = round(batch.deadline - clock.now(), 3)
            self.reception.log(
                said,
                id=batch.submission.txn,
                group=batch.class_name,
                dispatches=batch.dispatches,
                left_s=left,
            )

    def withdraw(self, call: jsonrpc.Call) -> None:
        """The client has stopped waiting for one of its requests: nothing more is owed for it."""
        self.metrics.add("withdrawn")
        named = call.params.get("id", call.number)
        for number, batch in list(self.open.items()):
            if named in (number, batch.submission.txn):
                del self.open[number]
                batch.inbox.put_nowait(LEFT)
        # A number of its own wants an answer of its own; that of a request would get a second one.
        if call.number is not None and call.number > self.latest:
            self.latest = call.number
            self.write(jsonrpc.encode_value(call.number, {}))

    def write(self, data: bytes) -> None:
        """One whole line, or none. Nobody waits for it, so that a client that reads late holds up none."""
        if self.ending or self.stream.closed():
            return
        if self.reception.unread + len(data) > self.reception.limits.unread_bytes:
            self.metrics.add("clients that do not read")
            self.stream.close()
            return
        try:
            written = self.stream.write(data)
        except StreamBufferFullError:
            self.metrics.add("clients that do not read")
            self.stream.close()
            return
        self.reception.unread += len(data)
        self.unwritten += 1

        def done(future: asyncio.Future) -> None:
            self.reception.unread -= len(data)
            self.unwritten -= 1
            self.shut()
            # A failed write needs no more than being looked at: the session ends by its read.
            if not future.cancelled():
                future.exception()

        written.add_done_callback(done)

    def left(self) -> None:
        """The connection has ended, and with it the client's interest in all that is open on it."""
        self.reception.sessions.pop(self, None)
        self.buffer.release()
        self.abandon()
        self.stream.close()

    def abandon(self) -> None:
        """Nothing is owed any more for what is open here."""
        for _ in self.open:
            self.metrics.add("left with the connection")
        for batch in self.open.values():
            batch.inbox.put_nowait(LEFT)
        self.open.clear()


def line(number: int, told: it.Action | End) -> bytes:
    """The one final answer as it goes to the client."""
    match told:
        case End():
            return jsonrpc.encode_result(number, told.pages)
        case it.PushBack():
            return jsonrpc.encode_error(number, jsonrpc.PUSHED_BACK, "pushed back", told.return_in)
    return jsonrpc.encode_error(number, jsonrpc.ERRORED, "errored")
