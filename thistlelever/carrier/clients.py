"""The clients' side: the listening port, one session a connection, answers written whole."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from tornado.iostream import StreamBufferFullError, StreamClosedError

from thistlelever.ground import interface as it
from thistlelever.carrier.batch_tasks import CLIENT_LEFT, BatchTasks
from thistlelever.carrier.dispatch import End
from thistlelever.carrier.validation import RequestValidator
from thistlelever.ground import clock
from thistlelever.ground.log import Log
from thistlelever.ground.submission import InvalidFieldError
from thistlelever.store.batches import Batch
from thistlelever.store.bounds import Bounds
from thistlelever.store.stream import Stream
from thistlelever.ground.metrics import Metrics
from thistlelever.wire import jsonrpc
from thistlelever.wire.read_buffer import BufferQuota, ReadBuffer, TooLong

# Most lines are a few hundred bytes; a statement of 190 KB still passes.
READ_BYTES, MAX_LINE_BYTES = 4_096, 262_144
# 32 open requests at 48,000 bytes in base64 each: a client that reads nothing gets no more than that.
MAX_OPEN_REQUESTS, MAX_UNSENT_BYTES = 32, 32 * 66_000
# A client is owed a word or a close 3 s after it connects, and closes what idles for 4 s itself.
SILENT_TIMEOUT_S, FIRST_LINE_TIMEOUT_S, IDLE_TIMEOUT_S = 1.5, 2.4, 5.0
# Who has said nothing in this time is closed before one that has: it counts as idle for so much longer.
SILENT_AFTER_S, SILENT_PENALTY_S = 0.1, 1.0
# At the bound connections wait at the port for a place; past this a close tells them that there is none.
PLACE_TIMEOUT_S = 1.0
# A client at full speed gets so many lines in one turn of the loop, and so many connections are taken in one.
LINES_PER_TURN, ACCEPTS_PER_TURN, READS_PER_TURN = 8, 32, 16
# Whole lines that wait are read up to this, which holds the open requests of usual clients.
READ_AHEAD_BYTES = 65_536
# A connection that this side has ended is read from for so long: what crosses the shutdown comes in 50 ms.
LINGER_S = 0.15
# After each line out of form the next is read this much later, and after so many in a row none.
BAD_LINE_DELAY_S, MAX_BAD_LINES = 0.01, 16
# A port that can take no more for now is looked at again after this, and so are lines at the front's end.
RETRY_DELAY_S = 0.005


class ClientListener:
    """Takes connections and turns what clients submit into batches."""

    def __init__(
        self, validator: RequestValidator, batch_tasks: BatchTasks, metrics: Metrics, log: Log, bounds: Bounds
    ) -> None:
        self.validator, self.batch_tasks, self.metrics = validator, batch_tasks, metrics
        self.log, self.bounds = log, bounds
        self.ready: Callable[[], bool] = lambda: False
        self.unsent_bytes, self.quota = 0, BufferQuota(bounds.unfinished)
        # The connection that waits for a place, others behind it at the port, and since when some do.
        self.pending_socket: socket.socket | None = None
        self.full_since = float("inf")
        self.sessions: dict[ClientSession, asyncio.Task] = {}
        self.server_socket: socket.socket | None = None

    def listen(self, raw: socket.socket) -> None:
        self.server_socket = raw
        asyncio.get_running_loop().add_reader(raw, self.accept)

    async def finish(self, within: float) -> None:
        """Take no more, and end each connection in order; what is not over in that time is cut."""
        # Risk: who waits at the port when it is closed is reset, with a first request that is whole.
        self.accept()
        asyncio.get_running_loop().remove_reader(self.server_socket)
        for raw in (self.server_socket, self.pending_socket):
            # The descriptor is free even where the call fails.
            with suppress(OSError):
                raw and raw.close()
        await self.drain()
        for session in list(self.sessions):
            session.end()
        if self.sessions:
            await asyncio.wait(self.sessions.values(), timeout=within)

    async def drain(self) -> None:
        """Until what has begun to come is taken and answered, while the front's own time lasts. Risk: a
        request whose last bytes come a moment after all others are answered meets the close."""
        while clock.now() < self.validator.stop_at and (
            self.batch_tasks.tasks or any(session.has_pending_input() for session in self.sessions)
        ):
            await asyncio.sleep(RETRY_DELAY_S)

    def accept(self) -> None:
        """Take what waits at the port; one turn of the loop must not go to new connections alone."""
        for _ in range(ACCEPTS_PER_TURN):
            try:
                raw, self.pending_socket = self.pending_socket or self.server_socket.accept()[0], None
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # Risk: a port that stays readable and can't be taken from turns the loop into a spin.
                self.metrics.add("connections that could not be taken")
                self.pause_accepting()
                return
            place = len(self.sessions) < self.bounds.sessions or self.close_idle_session()
            if not place and clock.now() < self.full_since + PLACE_TIMEOUT_S:
                # Risk: closed unread, its first request is lost; a place may be free in a moment.
                self.full_since, self.pending_socket = min(self.full_since, clock.now()), raw
                self.pause_accepting()
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
                raw,
                max_buffer_size=MAX_LINE_BYTES,
                max_write_buffer_size=MAX_UNSENT_BYTES,
                read_chunk_size=READ_BYTES,
            )
            session = ClientSession(stream, self)
            self.sessions[session] = asyncio.get_running_loop().create_task(session.run())

    def pause_accepting(self) -> None:
        asyncio.get_running_loop().remove_reader(self.server_socket)
        asyncio.get_running_loop().call_later(RETRY_DELAY_S, self.resume_accepting)

    def resume_accepting(self) -> None:
        if self.server_socket.fileno() >= 0:
            self.listen(self.server_socket)
            self.accept()

    def close_idle_session(self) -> bool:
        """Make place: of those with nothing open and nothing unread the one longest idle goes. Risk: a first
        request that meets its connection's close is a loss, and so is a client kept out by others that stay
        for good."""
        now = clock.now()

        def idle_since(session: ClientSession) -> float:
            silent = not session.has_sent_line and now - session.since > SILENT_AFTER_S
            return session.since - SILENT_PENALTY_S * silent

        for session in sorted(
            (s for s in self.sessions if not s.open_batches and not s.shutting_down), key=idle_since
        ):
            if not session.has_pending_input():
                self.metrics.add("idle clients closed for others")
                session.close()
                return True
        return False

    def sweep(self) -> None:
        """Close who has nothing open and said nothing whole for too long."""
        now = clock.now()
        for session in [s for s in self.sessions if not s.open_batches and not s.shutting_down]:
            waits = session.has_sent_line and session.buffer.start == session.buffer.end
            if (
                now - session.since > (IDLE_TIMEOUT_S if waits else SILENT_TIMEOUT_S)
                and not session.has_pending_input()
            ):
                self.metrics.add("idle clients closed" if waits else "silent clients closed")
                session.end()

    def batch(self, call: jsonrpc.Call) -> Batch:
        """The batch that a call submits; `InvalidCall` where it can't be one."""
        if call.method not in self.validator.query_classes:
            raise jsonrpc.InvalidCall(
                jsonrpc.NO_METHOD, f"{call.method[:60]}: no such service group", call.number
            )
        if call.number is None:
            raise jsonrpc.InvalidCall(jsonrpc.NO_REQUEST, "id: a number from 1 up is expected")
        try:
            return self.validator.make_batch(call.method, call.params, jsonrpc.submitted_statement(call))
        except InvalidFieldError as why:
            code, field = jsonrpc.BAD_FIELD, str(why)
            if why.still_open:
                code, field = jsonrpc.NO_REQUEST, f"params.{why}"
            raise jsonrpc.InvalidCall(code, field, call.number) from None


class ClientSession:
    """One client's connection."""

    def __init__(self, stream: Stream, listener: ClientListener) -> None:
        self.stream, self.listener = stream, listener
        self.metrics = listener.metrics
        self.buffer = ReadBuffer(READ_BYTES, MAX_LINE_BYTES, listener.quota)
        self.open_batches: dict[int, Batch] = {}
        self.highest_number, self.bad_lines, self.paced_until = 0, 0, 0.0
        # The read that is under way, as one always is; answers not yet out; whether this side has ended it.
        self.pending_read: asyncio.Future | None = None
        self.pending_writes, self.shutting_down = 0, False
        # Whether nothing more is taken, and the connection ends once what is open is answered.
        self.draining = False
        # When it connected, or last had a batch open or said something whole.
        self.since, self.has_sent_line = clock.now(), False
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
                self.handle_lines()
                await self.wait_for_input()
        except StreamClosedError:
            pass
        except Exception as why:
            self.metrics.add("session failed")
            self.listener.log("session failed", why=repr(why))
        finally:
            self.close()

    def read(self) -> None:
        """Read on for as long as something is there and has a place, before any of it is taken: a read is
        always under way. Risk: a client that sends much and goes is gone for long before its last line is
        taken, and what it sent first is dispatched for nobody."""
        for _ in range(READS_PER_TURN):
            if self.pending_read is None:
                full = self.buffer.end == len(self.buffer.data)
                if full and self.buffer.has_line() and not self.may_read_ahead():
                    return
                self.pending_read = self.stream.read_into(self.buffer.writable(), partial=True)
            if not self.pending_read.done():
                return
            reading, self.pending_read = self.pending_read, None
            if self.buffer.start == self.buffer.end:
                self.line_since = clock.now()
            self.buffer.advance(reading.result())
            if self.draining:
                self.buffer.discard()

    def may_read_ahead(self) -> bool:
        """Whether more is read though whole lines wait. Who has sent that much, and lines out of form before
        it, is not waited for."""
        if len(self.buffer.data) < READ_AHEAD_BYTES and self.buffer.can_grow():
            return True
        if self.bad_lines:
            self.metrics.add("clients that flood")
            self.end_when_answered()
        return self.draining

    def handle_lines(self) -> None:
        """Some of the lines that have come; one client must not hold the loop."""
        for _ in range(LINES_PER_TURN):
            if (
                self.draining
                or clock.now() < self.paced_until
                or (message := self.buffer.next_line()) is None
            ):
                return
            self.handle_line(message)
            if self.bad_lines:
                self.paced_until = clock.now() + BAD_LINE_DELAY_S * self.bad_lines

    async def wait_for_input(self) -> None:
        """Wait until there is something to do."""
        slow = self.paced_until - clock.now()
        if not self.buffer.has_line() and self.pending_read is not None:
            await self.pending_read
        elif slow > 0 and self.pending_read is not None:
            await asyncio.wait((self.pending_read,), timeout=slow)
        else:
            await asyncio.sleep(max(slow, 0.0))

    def end_when_answered(self) -> None:
        """Take nothing more, and end the connection once what is open on it is answered. Risk: a request that
        was read is lost for what came behind it."""
        self.draining = True
        self.buffer.discard()
        self.end_if_answered()

    def end_if_answered(self) -> None:
        """End a connection on which nothing more is taken, unless an answer is owed on it still."""
        if self.draining and not self.open_batches:
            self.end()

    def end(self) -> None:
        """This side ends the connection, in order: nothing more is taken from it, what was written goes out,
        our direction is shut, what comes is read and dropped for a while, and then it is closed. Risk: a
        close over unread bytes resets the connection and takes the last answer with it; a line taken after
        the shutdown has an effect that no answer can tell of."""
        if self.shutting_down or self.stream.closed():
            return
        self.draining = self.shutting_down = True
        self.buffer.discard()
        self.abandon_batches()
        self.shut_write_side()
        asyncio.get_running_loop().call_later(LINGER_S, self.stream.close)

    def shut_write_side(self) -> None:
        """Our direction, once all that was written is out."""
        if self.shutting_down and not self.pending_writes and not self.stream.closed():
            with suppress(OSError):
                self.stream.socket.shutdown(socket.SHUT_WR)

    def has_pending_input(self) -> bool:
        """Whether something has come that no batch was made of yet, and that is not waited for too long.
        Risk: a connection that rested is closed over half of its next request."""
        if self.draining or not self.has_unread_input():
            return False
        till = max(self.since, self.line_since) + SILENT_TIMEOUT_S
        till = till if self.has_sent_line else min(till, self.since + FIRST_LINE_TIMEOUT_S)
        return self.buffer.start == self.buffer.end or clock.now() < till

    def has_unread_input(self) -> bool:
        """Whether something has come that no batch was made of yet."""
        if self.stream.closed():
            return False
        if self.pending_read is not None and self.pending_read.done():
            return True
        with suppress(OSError):
            if self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        return self.buffer.start != self.buffer.end

    def handle_line(self, message: memoryview) -> None:
        if not bytes(message[:64]).strip():
            return
        self.since, self.has_sent_line = clock.now(), True
        try:
            call = jsonrpc.parse_call(message)
            if call.method == "status":
                if call.number is not None:
                    self.write(jsonrpc.encode_value(call.number, {"ready": self.listener.ready()}))
            elif call.method == "withdraw":
                self.withdraw(call)
            else:
                self.submit(call)
                self.bad_lines = 0
        except jsonrpc.InvalidCall as why:
            self.metrics.add("bad lines")
            self.bad_lines += 1
            self.listener.log("bad line", why=why.why, line=str(message[:120], "latin-1"))
            # Risk: an error under a number that is open would be the answer to what is open under it.
            number = None if why.number in self.open_batches else why.number
            self.write(jsonrpc.encode_error(number, why.code, why.why))
            if self.bad_lines >= MAX_BAD_LINES:
                self.metrics.add("clients that send nothing of use")
                self.end_when_answered()

    def submit(self, call: jsonrpc.Call) -> None:
        if call.number in self.open_batches:
            raise jsonrpc.InvalidCall(jsonrpc.NO_REQUEST, "id: still open", call.number)
        if len(self.open_batches) >= MAX_OPEN_REQUESTS:
            raise jsonrpc.InvalidCall(
                jsonrpc.NO_REQUEST, f"more than {MAX_OPEN_REQUESTS} open requests", call.number
            )
        batch = self.listener.batch(call)
        self.open_batches[call.number] = batch
        self.highest_number = max(self.highest_number, call.number)
        self.metrics.add("taken")

        def answer(told) -> None:
            if self.open_batches.pop(call.number, None) is batch:
                self.since = clock.now()
                self.metrics.add(type(told).__name__)
                self.log_refusal(batch, told)
                self.write(encode_answer(call.number, told))
                self.end_if_answered()

        self.listener.batch_tasks.start(batch, answer)

    def log_refusal(self, batch: Batch, told: it.Action | End) -> None:
        """Log an answer that is no result: whose it is, and how far the batch had come."""
        if type(told) in (it.PushBack, it.Error):
            said = "query refused" if type(told) is it.PushBack else "query errored"
            left = round(batch.limit_at - clock.now(), 3)
            self.listener.log(
                said, id=batch.asked.txn, group=batch.lane, dispatches=batch.dispatches, left_s=left
            )

    def withdraw(self, call: jsonrpc.Call) -> None:
        """The client has stopped waiting for one of its requests: nothing more is owed for it."""
        self.metrics.add("withdrawn")
        named = call.params.get("id", call.number)
        for number, batch in list(self.open_batches.items()):
            if named in (number, batch.asked.txn):
                del self.open_batches[number]
                batch.inbox.put_nowait(CLIENT_LEFT)
        # A number of its own wants an answer of its own; that of a request would get a second one.
        if call.number is not None and call.number > self.highest_number:
            self.highest_number = call.number
            self.write(jsonrpc.encode_value(call.number, {}))

    def write(self, data: bytes) -> None:
        """One whole line, or none. Nobody waits for it, so that a client that reads late holds up none."""
        if self.shutting_down or self.stream.closed():
            return
        if self.listener.unsent_bytes + len(data) > self.listener.bounds.unread:
            self.metrics.add("clients that do not read")
            self.stream.close()
            return
        try:
            written = self.stream.write(data)
        except StreamBufferFullError:
            self.metrics.add("clients that do not read")
            self.stream.close()
            return
        self.listener.unsent_bytes += len(data)
        self.pending_writes += 1

        def done(future: asyncio.Future) -> None:
            self.listener.unsent_bytes -= len(data)
            self.pending_writes -= 1
            self.shut_write_side()
            # A failed write needs no more than being looked at: the session ends by its read.
            if not future.cancelled():
                future.exception()

        written.add_done_callback(done)

    def close(self) -> None:
        """The connection has ended, and with it the client's interest in all that is open on it."""
        self.listener.sessions.pop(self, None)
        self.buffer.release()
        self.abandon_batches()
        self.stream.close()

    def abandon_batches(self) -> None:
        """Nothing is owed any more for what is open here."""
        for _ in self.open_batches:
            self.metrics.add("left with the connection")
        for batch in self.open_batches.values():
            batch.inbox.put_nowait(CLIENT_LEFT)
        self.open_batches.clear()


def encode_answer(number: int, told: it.Action | End) -> bytes:
    """The one final answer as it goes to the client."""
    match told:
        case End():
            return jsonrpc.encode_result(number, told.pages)
        case it.PushBack():
            return jsonrpc.encode_error(number, jsonrpc.PUSHED_BACK, "pushed back", told.return_in)
    return jsonrpc.encode_error(number, jsonrpc.ERRORED, "errored")
