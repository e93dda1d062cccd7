"""One JSON-RPC connection of a client: reads its calls and writes the answers."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from thistlelever.carrier.batch_tasks import CLIENT_LEFT
from thistlelever.carrier.client_output import ClientOutput
from thistlelever.carrier.dispatch import End
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.store.batches import Batch
from thistlelever.store.line_memory import LineAccount
from thistlelever.store.stream import Stream
from thistlelever.wire import jsonrpc
from thistlelever.wire.read_buffer import OutOfMemory, ReadBuffer, TooLong

if TYPE_CHECKING:
    from thistlelever.carrier.clients import ClientListener

# The longest line: room for a statement of 190 KB.
MAX_LINE_BYTES = 262_144
# Open requests per connection.
MAX_OPEN_REQUESTS = 32
# Seconds: until a connection without a whole line is closed, until the first line must be whole, until an
# idle connection is closed. A client must get a reply or a close within 3 s of connecting; it closes its own
# connections after 4 s idle.
SILENT_TIMEOUT_S, FIRST_LINE_TIMEOUT_S, IDLE_TIMEOUT_S = 1.5, 2.4, 5.0
# Limits per iteration of the event loop: lines handled, and reads.
LINES_PER_TURN, READS_PER_TURN = 8, 16
# Reading goes on up to this size while whole lines wait in the buffer; it holds the open requests of a
# typical client.
READ_AHEAD_BYTES = 65_536
# How long a connection is still read after its write side was shut down, in seconds. Data in flight arrives
# within 50 ms.
LINGER_S = 0.15
# How long a line waits for memory, in all, before its connection is ended, in seconds.
MEMORY_TIMEOUT_S = 2.0
# Delay in seconds per consecutive malformed line before the next is handled, and how many end the connection.
BAD_LINE_DELAY_S, MAX_BAD_LINES = 0.01, 16


class ClientSession:
    """One client's connection: reads calls, one a line, and writes each answer as one line."""

    __slots__ = (
        "metrics",
        "line_account",
        "buffer",
        "open_batches",
        "output",
        "pending_read",
        "shutting_down",
        "draining",
        "since",
        "highest_number",
        "stream",
        "listener",
        "bad_lines",
        "paced_until",
        "has_sent_line",
        "line_since",
        "waited",
        "waiting_for_memory",
    )

    def __init__(self, stream: Stream, listener: ClientListener) -> None:
        """Take over an accepted connection; `run` serves it."""
        self.stream, self.listener = stream, listener
        self.metrics = listener.metrics
        self.line_account = LineAccount(listener.line_memory)
        self.buffer = ReadBuffer(listener.limits.read_bytes, MAX_LINE_BYTES, self.line_account)
        self.open_batches: dict[int, Batch] = {}
        self.highest_number, self.bad_lines, self.paced_until = 0, 0, 0.0
        self.output = ClientOutput(stream, lambda: listener.unread_memory, self.on_output)
        # The read in progress; whether this side has ended the connection.
        self.pending_read: asyncio.Future | None = None
        self.shutting_down = False
        # Whether input is ignored and the connection ends once the open batches are answered.
        self.draining = False
        # When it connected, last had an open batch, or last sent a whole line; whether it has sent one.
        self.since, self.has_sent_line = clock.now(), False
        # When the first bytes of the current partial line arrived, later by the time for which it has waited
        # for memory; that time; and whether it waits.
        self.line_since, self.waited, self.waiting_for_memory = self.since, 0.0, False

    async def run(self) -> None:
        """Serve the connection until the client closes it, or this side does, `LINGER_S` after `end`."""
        try:
            while not self.stream.closed():
                try:
                    self.read()
                except OutOfMemory as why:
                    if await self.wait_for_memory():
                        continue
                    self.end_line("lines that waited too long for memory", why)
                except TooLong as why:
                    self.end_line("lines too long", why)
                self.handle_lines()
                await self.wait_for_input()
        except StreamClosedError:
            pass
        except Exception as why:
            self.metrics.add("session failed")
            self.listener.log("session failed", why=repr(why))
        finally:
            self.close()

    async def wait_for_memory(self) -> bool:
        """Wait before reading on, as there is no memory for a longer line; returns False after
        `MEMORY_TIMEOUT_S` for one line. What the client has sent stays at the socket, so no request is lost,
        and other clients read on within the part of the memory that each of them has for itself."""
        self.metrics.add("lines that waited for memory")
        began, self.waiting_for_memory = clock.now(), True
        try:
            return await self.line_account.wait(MEMORY_TIMEOUT_S - self.waited)
        finally:
            waited = clock.now() - began
            self.waited, self.line_since = self.waited + waited, self.line_since + waited
            self.waiting_for_memory = False

    def end_line(self, counter: str, why: TooLong) -> None:
        """End the connection, with an error, over a line that can't be read."""
        self.line_account.stop_waiting()
        self.metrics.add(counter)
        self.write(jsonrpc.encode_error(None, jsonrpc.NO_REQUEST, f"a line that is too long: {why}"))
        self.end_when_answered()

    def read(self) -> None:
        """Read what is there, as far as the buffer has room, before any line of it is handled.

        A read is always in progress, so that the close of a client that sends much and leaves is noticed
        before its first requests are dispatched in vain. Raises `TooLong` for a line past the limit.
        """
        for _ in range(READS_PER_TURN):
            if self.pending_read is None:
                full = self.buffer.end == len(self.buffer.data)
                if full and self.buffer.has_line() and not self.may_read_ahead():
                    return
                self.pending_read = self.stream.read_into(self.buffer.writable_beside_lines(), partial=True)
            if not self.pending_read.done():
                return
            if self.buffer.start == self.buffer.end:
                self.line_since, self.waited = clock.now(), 0.0
            self.buffer.advance(self.take_read().result())
            if self.draining:
                self.buffer.discard()

    def take_read(self) -> asyncio.Future[int]:
        """Return the read that was in progress.

        Callers keep no variable for it: the error of a failed read refers to their frames, which would make a
        cycle that holds the buffer after the close.
        """
        reading, self.pending_read = self.pending_read, None
        return reading

    def may_read_ahead(self) -> bool:
        """Whether to read on while whole lines wait; a client that fills the buffer after malformed lines is
        disconnected."""
        if len(self.buffer.data) < READ_AHEAD_BYTES and self.buffer.can_grow():
            return True
        if self.bad_lines:
            self.metrics.add("clients that flood")
            self.end_when_answered()
        return self.draining

    def handle_lines(self) -> None:
        """Handle a limited number of received lines, so that one client does not block the event loop."""
        for _ in range(LINES_PER_TURN):
            if (
                self.draining
                or self.output.is_full()
                or clock.now() < self.paced_until
                or (message := self.buffer.next_line()) is None
            ):
                self.buffer.release_behind_lines()
                return
            self.handle_line(message)
            if self.bad_lines:
                self.paced_until = clock.now() + BAD_LINE_DELAY_S * self.bad_lines

    async def wait_for_input(self) -> None:
        """Wait for input, until the delay after malformed lines is over, or until the client has read some of
        its answers; yields at least once."""
        slow = self.paced_until - clock.now()
        if self.output.is_full() and not self.draining:
            await self.wait_for_output()
        elif not self.buffer.has_line() and self.pending_read is not None:
            await self.pending_read
        elif slow > 0 and self.pending_read is not None:
            await asyncio.wait((self.pending_read,), timeout=slow)
        else:
            await asyncio.sleep(max(slow, 0.0))

    async def wait_for_output(self) -> None:
        """Wait until the client has read some of its answers, or has sent more or left."""
        self.metrics.add("clients paused until they read")
        awaited = {self.output.when_below_pause()}
        if self.pending_read is not None:
            awaited.add(self.pending_read)
        await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)

    def on_output(self) -> None:
        """Note that the client reads, and end the write side if nothing else is to be written."""
        self.since = clock.now()
        self.shut_write_side()

    def end_when_answered(self) -> None:
        """Ignore further input, and end the connection once its open batches are answered, so that bad input
        does not lose requests that came before it."""
        self.draining = True
        self.buffer.discard()
        self.end_if_answered()

    def end_if_answered(self) -> None:
        """End the connection if it is draining and has no open batches."""
        if self.draining and not self.open_batches:
            self.end()

    def end(self) -> None:
        """End the connection in order: write out pending answers, shut down the write side, discard input for
        `LINGER_S` seconds, then close.

        Closing with unread input would reset the connection and lose the last answer. A line handled after
        the shutdown would have effects that no answer could report, so input is discarded.
        """
        if self.shutting_down or self.stream.closed():
            return
        self.draining = self.shutting_down = True
        self.buffer.discard()
        self.abandon_batches()
        self.shut_write_side()
        asyncio.get_running_loop().call_later(LINGER_S, self.stream.close)

    def shut_write_side(self) -> None:
        """Shut down the write side once the session is ending and all answers are written."""
        if self.shutting_down and not self.output.has_unsent() and not self.stream.closed():
            with suppress(OSError):
                self.stream.socket.shutdown(socket.SHUT_WR)

    def is_idle(self) -> bool:
        """Whether it has sent requests, and is not in the middle of one."""
        return self.has_sent_line and self.buffer.start == self.buffer.end

    def has_expired(self) -> bool:
        """Whether it has been idle, or silent, for too long."""
        timeout = IDLE_TIMEOUT_S if self.is_idle() else SILENT_TIMEOUT_S
        return clock.now() - self.since > timeout and not self.has_pending_input()

    def has_pending_input(self) -> bool:
        """Whether there is unhandled input that is still worth waiting for.

        A partial line counts until its timeout, so that an idle connection is not closed in the middle of
        its next request.
        """
        if self.draining or not self.has_unread_input():
            return False
        if self.waiting_for_memory:
            return True
        if self.output.is_full():
            return clock.now() < self.since + IDLE_TIMEOUT_S
        deadline = max(self.since, self.line_since) + SILENT_TIMEOUT_S
        deadline = deadline if self.has_sent_line else min(deadline, self.since + FIRST_LINE_TIMEOUT_S)
        return self.buffer.start == self.buffer.end or clock.now() < deadline

    def has_unread_input(self) -> bool:
        """Whether there is unhandled input, in the buffer or in the socket."""
        if self.stream.closed():
            return False
        if self.pending_read is not None and self.pending_read.done():
            return True
        with suppress(OSError):
            if self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                return True
        return self.buffer.start != self.buffer.end

    def handle_line(self, message: memoryview) -> None:
        """Handle one line; a malformed one is answered with an error and counted."""
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
            # An error with the number of an open request would be taken for the answer to that request.
            number = None if why.number in self.open_batches else why.number
            self.write(jsonrpc.encode_error(number, why.code, why.why))
            if self.bad_lines >= MAX_BAD_LINES:
                self.metrics.add("clients that send nothing of use")
                self.end_when_answered()

    def submit(self, call: jsonrpc.Call) -> None:
        """Start the batch of a call; raises `InvalidCall` where it is not valid or not allowed."""
        if call.number in self.open_batches:
            raise jsonrpc.InvalidCall(jsonrpc.NO_REQUEST, "id: still open", call.number)
        if len(self.open_batches) >= MAX_OPEN_REQUESTS:
            raise jsonrpc.InvalidCall(
                jsonrpc.NO_REQUEST, f"more than {MAX_OPEN_REQUESTS} open requests", call.number
            )
        batch = self.listener.batch(call)
        # Only the number is kept: the call holds the statement a second time, in base64.
        number = call.number
        batch.client = self
        self.open_batches[number] = batch
        self.highest_number = max(self.highest_number, number)
        self.metrics.add("taken")

        def answer(message) -> None:
            if self.open_batches.pop(number, None) is batch:
                self.since = clock.now()
                self.metrics.add(type(message).__name__)
                self.log_refusal(batch, message)
                self.write(encode_answer(number, message))
                self.end_if_answered()

        self.listener.batch_tasks.start(batch, answer)

    def log_refusal(self, batch: Batch, message: it.Action | End) -> None:
        """Log an answer without a result, with the batch's id and the number of its dispatches."""
        if type(message) in (it.PushBack, it.Error):
            event = "query refused" if type(message) is it.PushBack else "query errored"
            left = round(batch.deadline - clock.now(), 3)
            self.listener.log(
                event,
                id=batch.submission.txn,
                group=batch.class_name,
                dispatches=batch.dispatches,
                left_s=left,
            )

    def withdraw(self, call: jsonrpc.Call) -> None:
        """Cancel a request that the client no longer waits for; it gets no answer."""
        self.metrics.add("withdrawn")
        named = call.params.get("id", call.number)
        for number, batch in list(self.open_batches.items()):
            if named in (number, batch.submission.txn):
                del self.open_batches[number]
                batch.inbox.put_nowait(CLIENT_LEFT)
        # A withdrawal with its own number gets a reply; with a request's number the reply would be a second
        # answer to that request.
        if call.number is not None and call.number > self.highest_number:
            self.highest_number = call.number
            self.write(jsonrpc.encode_value(call.number, {}))

    def write(self, data: bytes) -> None:
        """Write one whole line without waiting for it. A client that does not read is disconnected when the
        unsent answers pass a limit."""
        if self.shutting_down or self.stream.closed():
            return
        if not self.output.write(data):
            self.metrics.add("clients that do not read")
            self.stream.close()

    def close(self) -> None:
        """Release the session after its connection has ended; its open batches are cancelled."""
        self.listener.sessions.pop(self, None)
        self.line_account.stop_waiting()
        self.buffer.release()
        self.output.close()
        self.abandon_batches()
        self.stream.close()
        self.pending_read = None

    def abandon_batches(self) -> None:
        """Tell all open batches that their client has left."""
        for _ in self.open_batches:
            self.metrics.add("left with the connection")
        for batch in self.open_batches.values():
            batch.inbox.put_nowait(CLIENT_LEFT)
        self.open_batches.clear()


def encode_answer(number: int, message: it.Action | End) -> bytes:
    """Encode a batch's final answer as a JSON-RPC line."""
    match message:
        case End():
            return jsonrpc.encode_result(number, message.pages)
        case it.PushBack():
            return jsonrpc.encode_error(number, jsonrpc.PUSHED_BACK, "pushed back", message.return_in)
    return jsonrpc.encode_error(number, jsonrpc.ERRORED, "errored")
