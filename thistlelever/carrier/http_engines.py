"""The HTTP/1.1 protocol of engines: a POST starts a batch, GETs poll its progress and fetch its pages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import ceil, inf

from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.dispatch import End, NoResultError, DispatchProgress
from thistlelever.carrier.result_fetch import ResultFetch
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
from thistlelever.store.result_memory import ResultMemory
from thistlelever.wire import http

# Time-outs in seconds: of polls and of the call that starts a batch, and of other calls. Engines answer the
# former within 250 ms and the latter at once. With longer time-outs a short batch whose answer was lost would
# be given up and run again before its engine is polled once more.
POLL_TIMEOUT_S, CALL_TIMEOUT_S = 0.35, 0.15
# A dispatch that starts later than this after it was requested is logged, in seconds.
LATE_START_S = 0.1
# Engines drop a batch that was not polled for this long, in seconds.
DROP_AFTER_S = 2.0
# Delay in seconds before a call without connection or answer is repeated; grows with each unusable reply.
RETRY_DELAY_S = 0.02
# Consecutive unusable replies to a poll after which the dispatch is given up.
MAX_UNUSABLE_REPLIES = 8
# Statuses that, with the header x-unrun, prove that the batch never ran.
NEVER_RAN = {503: it.DispatchOutcome.FULL, 504: it.DispatchOutcome.UNSENT}
# Outcomes of failed connections that tell something about the engine; other failures are this front's own.
CONNECT_FAILURES = {Refused: it.DispatchOutcome.UNREACHABLE, Unreached: it.DispatchOutcome.LATE}
PROGRESS_KINDS = {
    "advance": it.ProgressKind.PROGRESS,
    "disk": it.ProgressKind.SPILL,
    "stall": it.ProgressKind.WAITING,
}
# Results have up to 48,000 bytes in pages of 6,000; a page count far above that is invalid.
MAX_PAGES = 64


class Spoilt(Exception):
    """A reply that is valid HTTP but not the answer to the request; the engine still has the right one.

    The class name is written in a counter.
    """


class Repeated(Spoilt):
    """A reply that equals the last one on its connection, and may be a late copy of it."""


class HttpEngines:
    """The platform's own protocol for engines; implements `EngineProtocol` of `dispatch.py`."""

    def __init__(
        self,
        settings: it.Settings,
        registry: EngineRegistry,
        connections: ConnectionPool,
        decisions: DecisionLoop,
        metrics: Metrics,
    ) -> None:
        """Use connections of the pool for all calls."""
        self.fields, self.probe_limit = settings.report_fields, settings.connect_limit
        self.non_idempotent = frozenset(
            t.name for t in settings.tariffs if t.repeat is it.Idempotency.NON_IDEMPOTENT
        )
        # Query classes for which a wrong report that the batch never ran does harm, as they may not be
        # dispatched to any engine after that.
        self.needs_proof = self.non_idempotent | {
            t.name
            for t in settings.tariffs
            if t.repeat is it.Idempotency.DEDUPLICATED and t.scope is not it.DeduplicationScope.ALL
        }
        self.registry, self.connections, self.decisions, self.metrics = (
            registry,
            connections,
            decisions,
            metrics,
        )
        self.result_memory = ResultMemory(inf)

    async def run_dispatch(
        self, batch: Batch, entry: Entry, end: End, progress: DispatchProgress, deadline: float
    ) -> None:
        """Implement `EngineProtocol.run_dispatch`."""
        path = dispatch_path(batch, end.number)
        end.outcome = it.DispatchOutcome.ASTRAY
        while end.outcome is it.DispatchOutcome.ASTRAY:
            end.outcome = await self.post_until_over(path, batch, entry, end, progress, deadline)
            # The engine does not know the batch, so it is sent there again; not if it is not idempotent: the
            # engine may have had it and dropped it meanwhile, and it would run twice.
            if (
                batch.class_name in self.non_idempotent
                or progress.posts >= MAX_UNUSABLE_REPLIES
                or not progress.may_start()
            ):
                break
        await self.fetch_pages(path, batch, entry, end, progress)

    async def post_until_over(
        self,
        path: str,
        batch: Batch,
        entry: Entry,
        end: End,
        progress: DispatchProgress,
        deadline: float,
    ) -> it.DispatchOutcome:
        """Send the call that starts the batch, and poll until the batch is over; returns the outcome."""
        reply = await self.post(batch, entry, end, progress, deadline)
        if reply is None or reply.status == 202:
            reply = await self.poll_until_over(path, 0, entry, end, progress, batch)
        return self.outcome(reply, progress)

    async def resume(
        self, batch: Batch, entry: Entry, end: End, progress: DispatchProgress, deadline: float
    ) -> None:
        """Implement `EngineProtocol.resume`."""
        path, progress.started = dispatch_path(batch, end.number), True
        end.outcome = self.outcome(await self.poll_until_over(path, 0, entry, end, progress, batch), progress)
        await self.fetch_pages(path, batch, entry, end, progress)

    async def fetch_pages(
        self, path: str, batch: Batch, entry: Entry, end: End, progress: DispatchProgress
    ) -> None:
        """Fetch the pages after the first; raises `NoResultError` if one of them is never whole."""

        async def fetch_page(page: int) -> it.DispatchOutcome:
            reply = await self.poll_until_over(path, page, entry, end, progress, batch)
            return self.outcome(reply, progress)

        await ResultFetch(end, progress, fetch_page, self.result_memory, self.metrics).run()

    async def post(
        self,
        batch: Batch,
        entry: Entry,
        end: End,
        progress: DispatchProgress,
        deadline: float,
    ) -> http.Reply | None:
        """Send the call that starts the batch; returns its reply, or None if there was no usable one.

        Raises `NoResultError` if nothing was sent.
        """
        try:
            connection = await self.urgent_connection(entry, batch.class_name in self.needs_proof)
        except (Refused, Unreached, Broken, Short) as why:
            raise NoResultError(
                proven_unrun(CONNECT_FAILURES.get(type(why), it.DispatchOutcome.UNSENT), progress.posts)
            ) from None
        if not progress.may_start():
            self.connections.release(connection)
            raise NoResultError(proven_unrun(it.DispatchOutcome.UNSENT, progress.posts))
        progress.started, progress.last_call_at, progress.posts = True, clock.now(), progress.posts + 1
        self.count_call("POST", entry)
        waited = progress.last_call_at - progress.ordered_at
        if waited > LATE_START_S:
            engine = entry.engine.id.decode("latin-1")
            self.decisions.log(
                "dispatch begun late", id=batch.submission.txn, engine=engine, waited=round(waited, 4)
            )
        try:
            reply = await connection.call(self.request(batch, entry.address, deadline), POLL_TIMEOUT_S)
            self.take_reply(reply, 0, connection, end, progress, batch)
            progress.acknowledged = True
            return reply
        except (Broken, Silent, Spoilt, http.Unreadable) as why:
            self.count_unusable(why)
            return None
        finally:
            self.connections.release(connection)

    async def urgent_connection(self, entry: Entry, unused: bool = False) -> Connection:
        """Take a connection for a call that must not wait.

        A reset while connecting says nothing about the engine, so another attempt is made.
        """
        for _ in range(MAX_UNUSABLE_REPLIES):
            try:
                return await self.connections.acquire(entry, urgent=True, unused=unused)
            except Broken as why:
                self.count_unusable(why)
        raise Broken("each new connection is reset")

    def request(self, batch: Batch, address: tuple[str, int], deadline: float) -> bytes:
        """Encode the call that starts the batch, with the time left until `deadline` in milliseconds."""
        submission = batch.submission
        left = max(ceil((deadline - clock.now()) * 1e3), 1)
        fields = {"X-Txn": submission.txn, "X-Lane": batch.class_name, "X-Limit-Ms": str(left)}
        if submission.reference:
            fields["X-Dedupe"] = submission.reference
        if batch.grant >= 1:
            fields["Pool-Mb"] = str(round(batch.grant))
        if batch.priority is not None:
            fields["Pool-Rank"] = str(batch.priority)
        return http.encode_request("POST", "/fetch", address, fields, submission.statement)

    def outcome(self, reply: http.Reply, progress: DispatchProgress) -> it.DispatchOutcome:
        """Return the outcome that a reply stands for; raises `NoResultError` if that proves nothing."""
        if reply.status == 200:
            return it.DispatchOutcome.RETURNED
        unrun = reply.text(b"x-unrun") == "1"
        if unrun and reply.status in NEVER_RAN:
            outcome = proven_unrun(NEVER_RAN[reply.status], progress.posts - 1)
            if outcome is it.DispatchOutcome.ASTRAY:
                raise NoResultError(outcome)
            return outcome
        # An engine that never got the batch must not be reported as failing; when connections break, all
        # engines would be taken for unhealthy.
        return it.DispatchOutcome.ERRORED if progress.acknowledged else it.DispatchOutcome.ASTRAY

    async def poll_until_over(
        self,
        path: str,
        page: int,
        entry: Entry,
        end: End,
        progress: DispatchProgress,
        batch: Batch,
    ) -> http.Reply:
        """Fetch the state or a page of a batch until the batch is over."""
        while (reply := await self.poll(path, page, entry, end, progress, batch)).status == 202:
            pass
        return reply

    async def poll(
        self,
        path: str,
        page: int,
        entry: Entry,
        end: End,
        progress: DispatchProgress,
        batch: Batch,
    ) -> http.Reply:
        """Fetch the state or a page of a batch, on new connections until there is a usable reply.

        A poll is not bound to a connection and the engine keeps the result, so repeating it is not another
        dispatch. A silent engine is polled until the dispatch times out. Raises `NoResultError` with `RESET`
        if the engine is dead or sends `MAX_UNUSABLE_REPLIES` unusable replies.
        """
        unusable, unused = 0, False
        while unusable < MAX_UNUSABLE_REPLIES:
            try:
                connection = await self.connections.acquire(
                    entry, urgent=False, patient=not page, unused=unused, starts_nothing=True
                )
            except Refused:
                progress.engine_dead = True
                break
            except (Unreached, Short, Broken):
                # Without a pause a network that fails at once would take all of the CPU.
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            try:
                progress.last_call_at = clock.now()
                self.count_call("GET", entry)
                request = http.encode_request("GET", f"{path}{page}", entry.address, {})
                reply = await connection.call(request, CALL_TIMEOUT_S if page else POLL_TIMEOUT_S)
                self.take_reply(reply, page, connection, end, progress, batch)
                if (
                    reply.status in NEVER_RAN
                    and batch.class_name in self.needs_proof
                    and connection.calls > 1
                ):
                    # The reply may be a late copy of the answer to an earlier call on this connection. Only
                    # on an unused connection is it proof that this batch never ran.
                    unused = True
                    connection.stream.close()
                    raise Spoilt("no proof on a connection that carried others")
                # An error of the batch is answered alike.
                end.engine_forgot = end.engine_forgot or reply.status == 500
                return reply
            except Silent as why:
                self.count_unusable(why)
            except (Broken, Spoilt, http.Unreadable) as why:
                self.count_unusable(why)
                unusable += 1
                # On a connection that has carried nothing, no reply is a copy of an earlier one.
                unused = unused or isinstance(why, Repeated)
            finally:
                self.connections.release(connection)
            await asyncio.sleep(RETRY_DELAY_S * (unusable - 1))
        raise NoResultError(it.DispatchOutcome.RESET)

    def count_call(self, method: str, entry: Entry) -> None:
        """Count a call to an engine that drains or is no longer listed, such as a poll or a cancel."""
        if not self.registry.accepts_dispatches(entry.engine.id):
            self.metrics.add(f"calls to engines that drain or are gone: {method}")

    def count_unusable(self, why: Exception) -> None:
        """Count a call without a usable reply, by the class of the exception."""
        self.metrics.add(f"calls without a reply of use: {type(why).__name__}")

    def take_reply(
        self,
        reply: http.Reply,
        page: int,
        connection: Connection,
        end: End,
        progress: DispatchProgress,
        batch: Batch,
    ) -> None:
        """Take what is needed out of a reply before its buffer is reused: load, progress, cost and rows.

        Raises `Spoilt` or `http.Unreadable` and closes the connection if it cannot be the answer to the
        request; nothing is taken from it then.
        """
        try:
            if reply.status == 200:
                rows = self.rows(reply, page, connection, progress)
            elif reply.status not in ((202, 500, 503, 504) if not page else (500,)):
                raise Spoilt(f"status {reply.status}")
            elif reply.status in NEVER_RAN:
                # A copy of it would tell of the next batch that it never ran.
                connection.keeps_alive = False
        except (Spoilt, http.Unreadable):
            connection.stream.close()
            raise
        end.report = http.parse_load_report(reply.text(b"x-gauges"), self.fields) or end.report
        if reply.status == 202:
            progress.acknowledged = True
            kind, value = PROGRESS_KINDS.get(reply.text(b"x-how")), reply.number(b"reading")
            if kind and value is not None:
                value = min(value, 1.0) if kind is it.ProgressKind.PROGRESS else value
                self.decisions.add_event(it.ProgressNote(batch.number, end.number, end.engine, kind, value))
        elif reply.status == 200:
            progress.acknowledged = True
            end.true_work = (reply.number(b"elapsed-work") or 0.0) / 1e3 or end.true_work
            end.true_memory = reply.number(b"high-water") or end.true_memory
            end.pages[page : page + 1] = [rows]
            progress.page_watches[page] = self.connections.watch(connection)

    def rows(self, reply: http.Reply, page: int, connection: Connection, progress: DispatchProgress) -> bytes:
        """Return the rows of a page; raises `Spoilt` for a reply that cannot be the requested page."""
        page_field = reply.number(b"chunk" if page else b"chunks")
        if (
            page_field is None
            or page_field % 1
            or (page_field != page if page else not 1 <= page_field <= MAX_PAGES)
        ):
            raise Spoilt("no number of pages, or not the page asked for")
        rows = http.check_page(reply.body)
        # First pages tell the work, which differs between any two queries, except where engines do not report
        # it: results are often equal there.
        if (page or b"elapsed-work" in reply.fields) and connection.is_repeated(reply):
            raise Repeated("the same answer twice on one connection")
        if connection.has_surplus:
            # The surplus may be the rest of these rows, cut off by a length that is too small.
            raise Spoilt("more than one answer")
        if not page:
            progress.pages = int(page_field)
        return rows

    async def set_priority(self, batch: Batch, entry: Entry, number: int) -> None:
        """Implement `EngineProtocol.set_priority`."""
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                connection = await self.connections.acquire(entry, urgent=False)
                try:
                    path, priority = dispatch_path(batch, number)[:-1], b"%d" % batch.priority
                    call = http.encode_request("PUT", path, entry.address, {}, priority)
                    self.count_call("PUT", entry)
                    await connection.call(call, CALL_TIMEOUT_S)
                finally:
                    self.connections.release(connection)
        except (Refused, Unreached, Short, Broken, Silent, TimeoutError):
            self.metrics.add("PUT failed")

    async def cancel_dispatch(self, batch: Batch, entry: Entry, progress: DispatchProgress) -> None:
        """Send DELETE until the engine has confirmed it, is dead, or must have dropped the batch.

        If the batch's client has left, the call yields connections to batches that clients wait for. Nothing
        is sent where another dispatch of the batch is out at the same address, as it has the same name there.
        """
        if self.has_other_dispatch_at(batch, entry.address, progress.number):
            self.metrics.add("DELETE left to another dispatch")
            return
        await self.delete(
            entry,
            dispatch_path(batch, progress.number)[:-1],
            progress.last_call_at + DROP_AFTER_S,
            lambda: not batch.answered,
        )

    def has_other_dispatch_at(self, batch: Batch, address: tuple[str, int], number: int) -> bool:
        """Return whether the batch has another dispatch at an address that two engines may have had."""
        for other, task in batch.dispatch_tasks.items():
            entry = self.registry.entries.get(batch.engines[other])
            is_out = other != number and not task.done() and not task.cancelling()
            if is_out and entry and entry.address == address:
                return True
        return False

    async def wait_until_stopped(self, progress: DispatchProgress) -> None:
        """Wait until the engine has dropped the batch: `DROP_AFTER_S` after the last poll, which may be held
        there for `POLL_TIMEOUT_S`."""
        if not progress.engine_dead:
            await asyncio.sleep(progress.last_call_at + POLL_TIMEOUT_S + DROP_AFTER_S - clock.now())

    async def cancel_by_name(self, entry: Entry, name: DispatchName) -> None:
        """Implement `EngineProtocol.cancel_by_name`."""
        await self.delete(entry, f"/fetch/{name.txn}", clock.now() + DROP_AFTER_S, lambda: False)

    async def query_status(self, entry: Entry, name: DispatchName) -> str:
        """Implement `EngineProtocol.query_status`; a late copy of another reply is not taken for it."""
        try:
            connection = await self.connections.acquire(entry, urgent=False, unused=True, starts_nothing=True)
            try:
                request = http.encode_request("GET", f"/fetch/{name.txn}/0", entry.address, {})
                reply = await connection.call(request, POLL_TIMEOUT_S)
            finally:
                self.connections.release(connection)
        except Refused:
            return "unknown"
        except (Unreached, Short, Broken, Silent, http.Unreadable):
            return "silent"
        return {200: "over", 202: "running"}.get(reply.status, "unknown")

    async def delete(self, entry: Entry, path: str, deadline: float, urgent: Callable[[], bool]) -> None:
        """Send DELETE until it is answered, the engine refuses connections, or `deadline` has passed."""
        while clock.now() < deadline:
            try:
                connection = await self.connections.acquire(entry, urgent=urgent(), starts_nothing=True)
                try:
                    self.count_call("DELETE", entry)
                    await connection.call(
                        http.encode_request("DELETE", path, entry.address, {}), CALL_TIMEOUT_S
                    )
                    # A copy of the reply would confirm the next cancel before its engine has got it.
                    connection.keeps_alive = False
                    return
                finally:
                    self.connections.release(connection)
            except Refused:
                break
            # A slow connection does not mean that the engine is dead; without the cancel the next dispatch
            # would run beside this one.
            except (Unreached, Broken, Silent, Short):
                await asyncio.sleep(RETRY_DELAY_S)
        self.metrics.add("DELETE failed")

    async def probe(self, entry: Entry) -> tuple[it.DispatchOutcome, tuple[float, ...]]:
        """Implement `EngineProtocol.probe`."""
        try:
            connection = await self.urgent_connection(entry)
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
            return CONNECT_FAILURES[type(why)], ()
        except Silent:
            return it.DispatchOutcome.TIMED_OUT, ()
        except (Broken, Short):
            return it.DispatchOutcome.ASTRAY, ()


def proven_unrun(outcome: it.DispatchOutcome, earlier: int) -> it.DispatchOutcome:
    """Return an outcome that says that the dispatch never ran, or `ASTRAY` if `earlier` calls were sent.

    An earlier call whose answer was lost may have run the batch even if the last one did not.
    """
    return it.DispatchOutcome.ASTRAY if earlier > 0 else outcome


def dispatch_path(batch: Batch, number: int) -> str:
    """Return the path of a dispatch at its engine, under the id with which this or another front began it."""
    return f"/fetch/{batch.dispatch_name(number).txn}/"
