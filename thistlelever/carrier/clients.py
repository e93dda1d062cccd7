"""The clients' side: the listening port, one session a connection, answers written whole."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpserver import TCPServer

from thistlelever.admission import interface as it
from thistlelever.carrier.course import LEFT, Courses, line
from thistlelever.carrier.pulse import Pulse
from thistlelever.lifecycle import clock
from thistlelever.lifecycle.log import Log
from thistlelever.store.batches import Batch, Batches
from thistlelever.store.tally import Tally
from thistlelever.wire import jsonrpc, statement
from thistlelever.wire.inflow import Inflow, TooLong

# Most lines are a few hundred bytes; a statement of 190 KB still passes.
BUFFER, LONGEST_LINE = 4_096, 262_144
# 32 open requests at 48,000 bytes in base64 each: a client that reads nothing gets no more than that.
MOST_OPEN, MOST_UNREAD = 32, 32 * 66_000
# What all clients together have not read may take this much of the front's memory.
MOST_UNREAD_IN_ALL = 48_000_000


class Reception(TCPServer):
    """Takes connections and turns what clients submit into batches."""

    def __init__(self, manifest: it.Manifest, courses: Courses, pulse: Pulse, batches: Batches, tally: Tally,
                 log: Log) -> None:
        super().__init__(max_buffer_size=LONGEST_LINE)
        self.groups = {t.name: (g, t) for g, t in enumerate(manifest.tariffs)}
        self.consignors = {c.name: p for p, c in enumerate(manifest.consignors)}
        self.courses, self.pulse, self.batches, self.tally = courses, pulse, batches, tally
        self.log = log
        self.ready: Callable[[], bool] = lambda: False
        self.stop_at, self.unread = float("inf"), 0
        self.sessions: set[Session] = set()

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MOST_UNREAD
        session = Session(stream, self)
        self.sessions.add(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)
            session.left()

    def batch(self, call: jsonrpc.Call) -> Batch:
        """The batch that a call submits; `Bad` where it can't be one."""
        if call.method not in self.groups:
            raise jsonrpc.Bad(jsonrpc.NO_METHOD, f"{call.method[:60]}: no such service group", call.number)
        if call.number is None:
            raise jsonrpc.Bad(jsonrpc.NO_REQUEST, "id: a number from 1 up is expected")
        group, tariff = self.groups[call.method]
        asked = jsonrpc.submission(call)

        def bad(why: str) -> None:
            raise jsonrpc.Bad(jsonrpc.BAD_FIELD, why, call.number)

        if asked.txn in self.batches.by_txn:
            raise jsonrpc.Bad(jsonrpc.NO_REQUEST, "params.id: still open", call.number)
        if self.consignors and asked.consignor not in self.consignors:
            bad("tenant: none of the settings'")
        if tariff.repeat is it.Repeat.REFERENCED and not asked.reference:
            bad("once: missing, and wanted for this service group")
        table = statement.table(asked.statement)
        if table is None:
            bad("bytes: the statement names no table of a group")
        number, now = self.batches.number(), clock.now()
        # Risk: a loop that falls behind has read this late and will answer late; no client waits longer.
        left = min(asked.wait - 2 * self.pulse.lag, self.stop_at - now)
        taken = it.BatchTaken(
            number, group, self.consignors.get(asked.consignor, 0), key(table[1]) if tariff.in_order else 0,
            left, asked.work, asked.memory, float(table[0]), asked.repeat,
        )
        return Batch(number, asked, taken, tariff.name, now + left)


def key(table: bytes) -> int:
    """What batches of one table share; any number will do, as it never leaves the front."""
    return int.from_bytes(table.lower(), "big") or 1


class Session:
    """One client's connection."""

    def __init__(self, stream: IOStream, reception: Reception) -> None:
        self.stream, self.reception = stream, reception
        self.tally = reception.tally
        self.inflow = Inflow(BUFFER, LONGEST_LINE)
        self.open: dict[int, Batch] = {}
        self.latest = 0

    async def run(self) -> None:
        try:
            while True:
                self.inflow.filled(await self.stream.read_into(self.inflow.room(), partial=True))
                while (message := self.inflow.line()) is not None:
                    self.take(message)
        except StreamClosedError:
            pass
        except TooLong:
            self.tally.add("lines too long")
            self.write(jsonrpc.error(None, jsonrpc.NO_REQUEST, f"a line of more than {LONGEST_LINE} bytes"))
            self.stream.close()

    def take(self, message: memoryview) -> None:
        if not bytes(message[:64]).strip():
            return
        try:
            call = jsonrpc.read(message)
            if call.method == "status":
                if call.number is not None:
                    self.write(jsonrpc.value(call.number, {"ready": self.reception.ready()}))
            elif call.method == "withdraw":
                self.withdraw(call)
            else:
                self.submit(call)
        except jsonrpc.Bad as why:
            self.tally.add("bad lines")
            if self.tally.counts["bad lines"] <= 20:
                self.reception.log("bad line", why=why.why, line=str(message[:300], "latin-1"))
            self.write(jsonrpc.error(why.number, why.code, why.why))

    def submit(self, call: jsonrpc.Call) -> None:
        if call.number in self.open:
            raise jsonrpc.Bad(jsonrpc.NO_REQUEST, "id: still open", call.number)
        if len(self.open) >= MOST_OPEN:
            raise jsonrpc.Bad(jsonrpc.NO_REQUEST, f"more than {MOST_OPEN} open requests", call.number)
        batch = self.reception.batch(call)
        self.open[call.number] = batch
        self.latest = max(self.latest, call.number)
        self.tally.add("taken")

        def answer(told) -> None:
            if self.open.pop(call.number, None) is batch:
                self.tally.add(type(told).__name__)
                self.write(line(call.number, told))

        self.reception.courses.start(batch, answer)

    def withdraw(self, call: jsonrpc.Call) -> None:
        """The client has stopped waiting for one of its requests: nothing more is owed for it."""
        self.tally.add("withdrawn")
        named = call.params.get("id", call.number)
        for number, batch in list(self.open.items()):
            if named in (number, batch.asked.txn):
                del self.open[number]
                batch.inbox.put_nowait(LEFT)
        # A number of its own wants an answer of its own; that of a request would get a second one.
        if call.number is not None and call.number > self.latest:
            self.latest = call.number
            self.write(jsonrpc.value(call.number, {}))

    def write(self, data: bytes) -> None:
        """One whole line, or none. Nobody waits for it, so that a client that reads late holds up none."""
        if self.stream.closed():
            return
        if self.reception.unread + len(data) > MOST_UNREAD_IN_ALL:
            self.tally.add("clients that do not read")
            self.stream.close()
            return
        try:
            written = self.stream.write(data)
        except StreamBufferFullError:
            self.tally.add("clients that do not read")
            self.stream.close()
            return
        self.reception.unread += len(data)

        def done(future: asyncio.Future) -> None:
            self.reception.unread -= len(data)
            # A failed write needs no more than being looked at: the session ends by its read.
            if not future.cancelled():
                future.exception()

        written.add_done_callback(done)

    def left(self) -> None:
        """The connection has ended, and with it the client's interest in all that is open on it."""
        for batch in self.open.values():
            batch.inbox.put_nowait(LEFT)
        self.open.clear()
        self.stream.close()

