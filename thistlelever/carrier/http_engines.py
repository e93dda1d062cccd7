"""Engines that speak HTTP/1.1: the call that starts a batch, the polls for its news, its pages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import ceil

from thistlelever.carrier.desk import Desk
from thistlelever.carrier.dispatch import End, Ended, Sending
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.config import Entry
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, DispatchName
from thistlelever.store.connections import (
    Broken,
    Connection,
    ConnectionPool,
    Refused,
    Short,
    Silent,
    Unreached,
)
from thistlelever.store.engine_registry import EngineRegistry
from thistlelever.wire import http

# News comes after 250 ms at the latest, other answers at once; what takes this long is silent. Risk: a short
# batch whose answer got lost is given up and run again before its engine was asked for it once more.
NEWS_WITHIN, WORD_WITHIN = 0.35, 0.15
# A dispatch that begins this long after it was ordered is logged.
BEGUN_LATE = 0.1
# An engine drops a batch that it has not been asked for in this time.
DROPPED_AFTER = 2.0
# A question that found no way or no answer is put again after this long, longer each time.
RETRY_PACE = 0.02
# So many times in a row a question may go without an answer that can be used before the dispatch is lost.
MOST_SPOILT = 8
# An answer with more behind it may be cut by a wrong length: so often it is asked for once more.
DOUBTED = 2
# Answers that prove, with the field that says so, that the batch never ran.
UNRUN = {503: it.DispatchOutcome.FULL, 504: it.DispatchOutcome.UNSENT}
# What is known of an engine that no connection came up to; any other want of one says nothing of it.
UNCONNECTED = {Refused: it.DispatchOutcome.UNREACHABLE, Unreached: it.DispatchOutcome.LATE}
PROGRESS_KINDS = {
    "advance": it.ProgressKind.PROGRESS,
    "disk": it.ProgressKind.SPILL,
    "stall": it.ProgressKind.WAITING,
}
# A result holds 48,000 bytes in pages of 6,000; a count far past that is no count.
MOST_PAGES = 64


class Spoilt(Exception):
    """The reply is HTTP, and yet not what was asked for: the batch has run, and the reply is there still."""


class HttpEngines:
    """The platform's own way to its engines; see `Speech` in `dispatch.py`."""

    def __init__(
        self,
        settings: it.Settings,
        registry: EngineRegistry,
        connections: ConnectionPool,
        desk: Desk,
        metrics: Metrics,
    ) -> None:
        self.fields, self.probe_limit = settings.report_fields, settings.connect_limit
        self.once_only = frozenset(
            t.name for t in settings.tariffs if t.repeat is it.Idempotency.NON_IDEMPOTENT
        )
        # Groups that a wrong word of 'never ran' does harm to: they may not go just anywhere after it.
        self.wary = self.once_only | {
            t.name
            for t in settings.tariffs
            if t.repeat is it.Idempotency.DEDUPLICATED and t.scope is not it.DeduplicationScope.ALL
        }
        self.registry, self.connections, self.desk, self.metrics = registry, connections, desk, metrics

    async def converse(self, batch: Batch, entry: Entry, end: End, sent: Sending, till: float) -> None:
        path = way(batch, end.number)
        end.outcome = it.DispatchOutcome.ASTRAY
        while end.outcome is it.DispatchOutcome.ASTRAY:
            reply = await self.post(batch, entry, end, sent, till)
            while reply is None or reply.status == 202:
                reply = await self.ask(path, 0, entry, end, sent, batch)
            end.outcome = self.outcome(reply, sent)
            # What its engine never got was no dispatch so far, and goes there again. Of a once-only batch
            # that the engine does not know of it is not proof enough. Risk: the engine had it, and has
            # dropped it by now: sent again when its repeats are no longer dropped, it runs twice.
            if batch.class_name in self.once_only or sent.posts >= MOST_SPOILT or not sent.may_begin():
                break
        await self.further(path, batch, entry, end, sent)

    async def resume(self, batch: Batch, entry: Entry, end: End, sent: Sending, till: float) -> None:
        path, sent.begun = way(batch, end.number), True
        reply = await self.ask(path, 0, entry, end, sent, batch)
        while reply.status == 202:
            reply = await self.ask(path, 0, entry, end, sent, batch)
        end.outcome = self.outcome(reply, sent)
        await self.further(path, batch, entry, end, sent)

    async def further(self, path: str, batch: Batch, entry: Entry, end: End, sent: Sending) -> None:
        """The pages behind the first."""
        for page in range(1, sent.pages if end.outcome is it.DispatchOutcome.RETURNED else 0):
            reply = await self.ask(path, page, entry, end, sent, batch)
            end.outcome = self.outcome(reply, sent)
            if end.outcome is not it.DispatchOutcome.RETURNED:
                return

    async def post(
        self,
        batch: Batch,
        entry: Entry,
        end: End,
        sent: Sending,
        till: float,
    ) -> http.Reply | None:
        """The call that starts it, and its reply if it got one of use."""
        try:
            connection = await self.connection(entry, batch.class_name in self.wary)
        except (Refused, Unreached, Broken, Short) as why:
            raise Ended(proven(UNCONNECTED.get(type(why), it.DispatchOutcome.UNSENT), sent.posts)) from None
        if not sent.may_begin():
            self.connections.release(connection)
            raise Ended(proven(it.DispatchOutcome.UNSENT, sent.posts))
        sent.begun, sent.asked, sent.posts = True, clock.now(), sent.posts + 1
        self.count_call("POST", entry)
        waited = sent.asked - sent.ordered
        if waited > BEGUN_LATE:
            engine = entry.engine.id.decode("latin-1")
            self.desk.log(
                "dispatch begun late", id=batch.submission.txn, engine=engine, waited=round(waited, 4)
            )
        try:
            reply = await connection.call(self.request(batch, entry.address, till), NEWS_WITHIN)
            self.read(reply, 0, connection, end, sent, batch)
            sent.heard = True
            return reply
        except (Broken, Silent, Spoilt, http.Unreadable) as why:
            self.spoilt(why)
            return None
        finally:
            self.connections.release(connection)

    async def connection(self, entry: Entry, unused: bool = False) -> Connection:
        """A link for what must not wait. A reset as it comes up is news of that connection alone."""
        for _ in range(MOST_SPOILT):
            try:
                return await self.connections.acquire(entry, urgent=True, unused=unused)
            except Broken as why:
                self.spoilt(why)
        raise Broken("each new connection is reset")

    def request(self, batch: Batch, address: tuple[str, int], till: float) -> bytes:
        asked = batch.submission
        left = max(ceil((till - clock.now()) * 1e3), 1)
        fields = {"X-Txn": asked.txn, "X-Lane": batch.class_name, "X-Limit-Ms": str(left)}
        if asked.reference:
            fields["X-Dedupe"] = asked.reference
        if batch.grant >= 1:
            fields["Pool-Mb"] = str(round(batch.grant))
        if batch.priority is not None:
            fields["Pool-Rank"] = str(batch.priority)
        return http.encode_request("POST", "/fetch", address, fields, asked.statement)

    def outcome(self, reply: http.Reply, sent: Sending) -> it.DispatchOutcome:
        if reply.status == 200:
            return it.DispatchOutcome.RETURNED
        unrun = reply.text(b"x-unrun") == "1"
        if unrun and reply.status in UNRUN:
            outcome = proven(UNRUN[reply.status], sent.posts - 1)
            if outcome is it.DispatchOutcome.ASTRAY:
                raise Ended(outcome)
            return outcome
        # Risk: an engine that never got the batch, told as one that errs, is taken for ill; so are all on a
        # day when connections break.
        return it.DispatchOutcome.ERRORED if sent.heard else it.DispatchOutcome.ASTRAY

    async def ask(
        self,
        path: str,
        page: int,
        entry: Entry,
        end: End,
        sent: Sending,
        batch: Batch,
    ) -> http.Reply:
        """One question about a batch that is out, on new connections until it is answered.

        A poll or a page belongs to no connection, and a result lies at its engine until it is dropped, so
        asking again is no further dispatch. It ends with an engine that has died or gives nothing that can be
        used; a silent one is asked until the dispatch times out.
        """
        spoilt, unused = 0, False
        while spoilt < MOST_SPOILT:
            try:
                connection = await self.connections.acquire(
                    entry, urgent=False, patient=not page, unused=unused
                )
            except Refused:
                sent.dead = True
                break
            except (Unreached, Short, Broken):
                # Risk: a network that says no at once, asked again at once, takes the whole core.
                await asyncio.sleep(RETRY_PACE)
                continue
            try:
                sent.asked = clock.now()
                self.count_call("GET", entry)
                request = http.encode_request("GET", f"{path}{page}", entry.address, {})
                reply = await connection.call(request, WORD_WITHIN if page else NEWS_WITHIN)
                self.read(reply, page, connection, end, sent, batch)
                if reply.status in UNRUN and batch.class_name in self.wary and connection.calls > 1:
                    # Risk: a second copy of the answer to another batch, late on a link that carried that
                    # one, taken for proof that this one never ran. Only an unused connection proves it.
                    unused = True
                    connection.stream.close()
                    raise Spoilt("no proof on a connection that carried others")
                return reply
            except Silent as why:
                self.spoilt(why)
            except (Broken, Spoilt, http.Unreadable) as why:
                self.spoilt(why)
                spoilt += 1
            finally:
                self.connections.release(connection)
            await asyncio.sleep(RETRY_PACE * (spoilt - 1))
        raise Ended(it.DispatchOutcome.RESET)

    def count_call(self, method: str, entry: Entry) -> None:
        """Count a call to an engine that drains or is gone: polls and cancels of what is out there."""
        if not self.registry.accepts_dispatches(entry.engine.id):
            self.metrics.add(f"calls to engines that drain or are gone: {method}")

    def spoilt(self, why: Exception) -> None:
        self.metrics.add(f"calls without a reply of use: {type(why).__name__}")

    def read(
        self, reply: http.Reply, page: int, connection: Connection, end: End, sent: Sending, batch: Batch
    ) -> None:
        """Take from a reply what must outlive its buffer: report, note, figures, page. Nothing is taken from
        one that can't be the answer to the question: its connection is used no more."""
        try:
            if reply.status == 200:
                rows = self.rows(reply, page, connection, sent)
            elif reply.status not in ((202, 500, 503, 504) if not page else (500,)):
                raise Spoilt(f"status {reply.status}")
        except (Spoilt, http.Unreadable):
            connection.stream.close()
            raise
        end.report = http.parse_load_report(reply.text(b"x-gauges"), self.fields) or end.report
        if reply.status == 202:
            sent.heard = True
            kind, value = PROGRESS_KINDS.get(reply.text(b"x-how")), reply.number(b"reading")
            if kind and value is not None:
                value = min(value, 1.0) if kind is it.ProgressKind.PROGRESS else value
                self.desk.tell(it.ProgressNote(batch.number, end.number, end.engine, kind, value))
        elif reply.status == 200:
            sent.heard = True
            end.true_work = (reply.number(b"elapsed-work") or 0.0) / 1e3 or end.true_work
            end.true_memory = reply.number(b"high-water") or end.true_memory
            end.pages.append(rows)

    def rows(self, reply: http.Reply, page: int, connection: Connection, sent: Sending) -> bytes:
        """The rows of a good end or a further page."""
        told = reply.number(b"chunk" if page else b"chunks")
        if told is None or told % 1 or (told != page if page else not 1 <= told <= MOST_PAGES):
            raise Spoilt("no number of pages, or not the page asked for")
        rows = http.check_page(reply.body)
        if connection.is_repeated(reply):
            raise Spoilt("the same answer twice on one connection")
        if connection.has_surplus and sent.doubts < DOUBTED:
            # Risk: what lies behind may be the rest of these rows, cut off by a length put too low.
            sent.doubts += 1
            raise Spoilt("more than one answer")
        if not page:
            sent.pages = int(told)
        return rows

    async def put(self, batch: Batch, entry: Entry, number: int) -> None:
        try:
            async with asyncio.timeout(NEWS_WITHIN):
                connection = await self.connections.acquire(entry, urgent=False)
                try:
                    path, priority = way(batch, number)[:-1], b"%d" % batch.priority
                    call = http.encode_request("PUT", path, entry.address, {}, priority)
                    self.count_call("PUT", entry)
                    await connection.call(call, WORD_WITHIN)
                finally:
                    self.connections.release(connection)
        except (Refused, Unreached, Short, Broken, Silent, TimeoutError):
            self.metrics.add("PUT failed")

    async def give_up(self, batch: Batch, entry: Entry, sent: Sending) -> None:
        """The DELETE, until the engine has it, or no longer holds the batch anyway: it is dead, or has not
        been asked for it in so long. What a client has left waits behind what others wait for."""
        await self.delete(
            entry, way(batch, sent.number)[:-1], sent.asked + DROPPED_AFTER, lambda: not batch.answered
        )

    async def run_out(self, sent: Sending) -> None:
        """An engine ends what it has not been asked for in so long; a question may lie there as long as news
        may take."""
        if not sent.dead:
            await asyncio.sleep(sent.asked + NEWS_WITHIN + DROPPED_AFTER - clock.now())

    async def call_off(self, entry: Entry, name: DispatchName) -> None:
        await self.delete(entry, f"/fetch/{name.txn}", clock.now() + DROPPED_AFTER, lambda: False)

    async def ask_on(self, entry: Entry, name: DispatchName) -> str:
        try:
            connection = await self.connections.acquire(entry, urgent=False)
            try:
                request = http.encode_request("GET", f"/fetch/{name.txn}/0", entry.address, {})
                reply = await connection.call(request, NEWS_WITHIN)
            finally:
                self.connections.release(connection)
        except Refused:
            return "unknown"
        except (Unreached, Short, Broken, Silent, http.Unreadable):
            return "silent"
        return {200: "over", 202: "running"}.get(reply.status, "unknown")

    async def delete(self, entry: Entry, path: str, till: float, urgent: Callable[[], bool]) -> None:
        while clock.now() < till:
            try:
                connection = await self.connections.acquire(entry, urgent=urgent())
                try:
                    self.count_call("DELETE", entry)
                    await connection.call(http.encode_request("DELETE", path, entry.address, {}), WORD_WITHIN)
                    return
                finally:
                    self.connections.release(connection)
            except Refused:
                break
            # Risk: a connection that comes up late is no dead engine, and the next dispatch a second copy.
            except (Unreached, Broken, Silent, Short):
                await asyncio.sleep(RETRY_PACE)
        self.metrics.add("DELETE failed")

    async def probe(self, entry: Entry) -> tuple[it.DispatchOutcome, tuple[float, ...]]:
        try:
            connection = await self.connection(entry)
            try:
                reply = await connection.call(
                    http.encode_request("GET", "/stats", entry.address, {}), self.probe_limit
                )
                report = http.parse_load_report(reply.text(b"x-gauges"), self.fields)
                return (
                    it.DispatchOutcome.RETURNED if reply.status == 200 else it.DispatchOutcome.ERRORED,
                    report,
                )
            finally:
                self.connections.release(connection)
        except (Refused, Unreached) as why:
            return UNCONNECTED[type(why)], ()
        except Silent:
            return it.DispatchOutcome.TIMED_OUT, ()
        except (Broken, Short):
            return it.DispatchOutcome.ASTRAY, ()


def proven(outcome: it.DispatchOutcome, earlier: int) -> it.DispatchOutcome:
    """An outcome that says that the dispatch never ran, if nothing of it went out before. Risk: a first call
    whose answer was lost may have run; that a second one did not is no proof of it."""
    return it.DispatchOutcome.ASTRAY if earlier > 0 else outcome


def way(batch: Batch, number: int) -> str:
    """Where its engine is asked for a dispatch: under the id that it was begun with, by this front or
    another."""
    return f"/fetch/{batch.dispatch_name(number).txn}/"
