"""One dispatch: the call that starts it, the polls for its news, its pages, and how it ended."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from math import ceil

from thistlelever.admission import interface as it
from thistlelever.carrier.desk import Desk
from thistlelever.lifecycle import clock
from thistlelever.lifecycle.log import Log
from thistlelever.store.batches import Batch
from thistlelever.store.links import Broken, Links, Refused, Silent, Unreached
from thistlelever.store.roll import Entry, Roll
from thistlelever.store.tally import Tally
from thistlelever.wire import http

# News comes after 250 ms at the latest; what takes this long is silent. Below the 2 s after which an
# engine drops a batch that is not asked for, with time for a new connection.
SILENCE = 1.0
# A poll that found no way is tried again after this long.
RETRY_PACE = 0.05
# So many connections in a row may break under one question before the engine is taken to have died.
BREAKS = 3
TIDINGS = {"advance": it.Tidings.PROGRESS, "disk": it.Tidings.SPILL, "stall": it.Tidings.WAITING}
# A DELETE gets this long before another dispatch of its batch may go; an engine that hears nothing ends
# the batch by its own X-Limit-Ms.
GIVE_UP = 0.05
# A result holds 48,000 bytes in pages of 6,000; a count far past that is no count.
MOST_PAGES = 64


@dataclass(slots=True)
class End:
    """How a dispatch ended, with its pages where it was returned."""

    number: int
    engine: it.EngineId
    fate: it.Fate = it.Fate.ERRORED
    took: float = 0.0
    true_work: float = 0.0
    true_memory: float = 0.0
    report: tuple[float, ...] = ()
    pages: list[bytes] = field(default_factory=list)

    def event(self, batch: int, complete: bool) -> it.DispatchEnded:
        return it.DispatchEnded(
            batch, self.number, self.engine, self.fate, self.took, complete, self.true_work,
            self.true_memory, self.report,
        )


class Dispatcher:
    """Starts dispatches and probes, and gives up on them."""

    def __init__(self, manifest: it.Manifest, roll: Roll, links: Links, desk: Desk, tally: Tally,
                 log: Log) -> None:
        self.fields, self.cancels = manifest.report_fields, manifest.cancel
        self.probe_limit = manifest.connect_limit
        self.roll, self.links, self.desk, self.tally, self.log = roll, links, desk, tally, log
        self.asides: set[asyncio.Task] = set()

    def start(self, batch: Batch, number: int, order: it.Dispatch) -> asyncio.Task:
        batch.engines[number] = order.engine
        return asyncio.get_running_loop().create_task(self.dispatch(batch, number, order))

    async def dispatch(self, batch: Batch, number: int, order: it.Dispatch) -> None:
        """One dispatch from its first byte to its end, which goes to the batch's task."""
        begun = clock.now()
        till = min(begun + order.time_out, batch.limit_at) if order.time_out > 0 else batch.limit_at
        end, sent = End(number, order.engine), Sending()
        try:
            if batch.answered or till <= begun:
                end.fate = it.Fate.UNSENT
            else:
                async with asyncio.timeout_at(clock.on_loop(till)) as batch.limits[number]:
                    await self.converse(batch, end, sent, till)
        except TimeoutError:
            # Risk: a wait for a connection of our own, told as an engine out of reach, makes that one cold.
            end.fate = it.Fate.TIMED_OUT if sent.begun else it.Fate.UNSENT
        except asyncio.CancelledError:
            end.fate = it.Fate.CANCELLED
        except http.Unreadable:
            self.tally.add("answers out of form")
        except Exception as why:
            self.tally.add("dispatch failed")
            self.log("dispatch failed", why=repr(why))
            end.fate = it.Fate.ERRORED
        end.took = clock.now() - begun
        batch.limits.pop(number, None)
        if sent.whole and self.cancels and end.fate in (it.Fate.TIMED_OUT, it.Fate.CANCELLED):
            given_up = self.aside(self.delete(batch.asked.txn, order.engine))
            if till < batch.limit_at or end.fate is it.Fate.CANCELLED:
                # Risk: a further dispatch that comes before the DELETE makes two out at once.
                await asyncio.wait((given_up,), timeout=GIVE_UP)
        batch.inbox.put_nowait(end)

    async def converse(self, batch: Batch, end: End, sent: Sending, till: float) -> None:
        entry = self.roll.entries[end.engine]
        path = f"/fetch/{batch.asked.txn}/"
        reply = None
        try:
            link = await self.links.take(entry, urgent=True)
        except (Refused, Unreached):
            end.fate = it.Fate.UNREACHABLE
            return
        # The list may have changed while a connection came up; a drain counts from the first byte.
        if not self.roll.open_to(end.engine):
            self.links.give_back(link)
            end.fate = it.Fate.UNSENT
            return
        sent.begun = True
        try:
            request = self.request(batch, entry.address, till)
            reply = await link.call(request, SILENCE)
            self.read(reply, end, batch)
        except (Broken, Silent):
            sent.broken = True
        finally:
            sent.whole = link.whole
            self.links.give_back(link)
        while reply is None or reply.status == 202:
            reply = await self.ask(path + "0", entry, end, sent, batch)
            if reply is None:
                return
        if reply.status != 200:
            end.fate = self.fate(reply, sent)
            return
        count = reply.number(b"chunks")
        if not count or not 1 <= count <= MOST_PAGES or count % 1:
            self.tally.add("answers out of form")
            return
        for page in range(1, int(count)):
            reply = await self.ask(path + str(page), entry, end, sent, batch)
            if reply is None:
                return
            if reply.status != 200 or reply.number(b"chunk") != page:
                end.fate = self.fate(reply, sent)
                return
        end.fate = it.Fate.RETURNED

    def request(self, batch: Batch, address: tuple[str, int], till: float) -> bytes:
        asked = batch.asked
        left = max(ceil((till - clock.now()) * 1e3), 1)
        fields = {"X-Txn": asked.txn, "X-Lane": batch.lane, "X-Limit-Ms": str(left)}
        if asked.reference:
            fields["X-Dedupe"] = asked.reference
        if batch.grant >= 1:
            fields["Pool-Mb"] = str(round(batch.grant))
        if batch.priority is not None:
            fields["Pool-Rank"] = str(batch.priority)
        return http.call("POST", "/fetch", address, fields, asked.statement)

    def fate(self, reply: http.Reply, sent: Sending) -> it.Fate:
        unrun = reply.text(b"x-unrun") == "1"
        if reply.status == 503 and unrun:
            return it.Fate.FULL
        if reply.status == 504 and unrun:
            return it.Fate.UNSENT
        # After a break, an engine that no longer knows the batch was started anew.
        return it.Fate.RESET if sent.broken else it.Fate.ERRORED

    async def ask(self, path: str, entry: Entry, end: End, sent: Sending, batch: Batch) -> http.Reply | None:
        """One question about a batch that is out, on new connections until it is answered.

        A poll or a page belongs to no connection, so asking again is no further dispatch. None: the
        engine has died, or breaks every connection. A silent one is asked until the dispatch times out.
        """
        breaks = 0
        while breaks < BREAKS:
            try:
                link = await self.links.take(entry, urgent=False)
            except Refused:
                break
            except Unreached:
                # Risk: a network that says no at once, asked again at once, takes the whole core.
                await asyncio.sleep(RETRY_PACE)
                continue
            try:
                request = http.call("GET", path, entry.address, {})
                reply = await link.call(request, SILENCE)
                self.read(reply, end, batch)
                return reply
            except Silent:
                self.tally.add("silent polls")
            except Broken:
                sent.broken = True
                breaks += 1
                self.tally.add("broken polls")
            finally:
                self.links.give_back(link)
        end.fate = it.Fate.RESET
        return None

    def read(self, reply: http.Reply, end: End, batch: Batch) -> None:
        """Take from a reply what must outlive its buffer: report, note, figures, page."""
        try:
            report = http.gauges(reply.text(b"x-gauges"), self.fields)
            end.report = report or end.report
            if reply.status == 202:
                tidings = TIDINGS.get(reply.text(b"x-how"))
                value = reply.number(b"reading")
                if tidings and value is not None:
                    note = it.ProgressNote(batch.number, end.number, end.engine, tidings, value)
                    self.desk.tell(note)
            elif reply.status == 200:
                end.true_work = (reply.number(b"elapsed-work") or 0.0) / 1e3 or end.true_work
                end.true_memory = reply.number(b"high-water") or end.true_memory
                end.pages.append(bytes(reply.body))
        except http.Unreadable as why:
            raise Broken(str(why)) from None

    def reprioritise(self, batch: Batch) -> None:
        """The batch's priority also holds for what is out."""
        for number in batch.out:
            self.aside(self.put(batch.asked.txn, batch.engines[number], str(batch.priority).encode()))

    async def put(self, txn: str, engine: it.EngineId, priority: bytes) -> None:
        await self.once(engine, "PUT", f"/fetch/{txn}", priority)

    async def delete(self, txn: str, engine: it.EngineId) -> None:
        await self.once(engine, "DELETE", f"/fetch/{txn}")

    async def once(self, engine: it.EngineId, verb: str, path: str, body: bytes = b"") -> None:
        """A call whose loss costs little: it is made once, and a failure is counted."""
        entry = self.roll.entries[engine]
        try:
            async with asyncio.timeout(SILENCE):
                link = await self.links.take(entry, urgent=True)
                try:
                    await link.call(http.call(verb, path, entry.address, {}, body), SILENCE)
                finally:
                    self.links.give_back(link)
        except (Refused, Unreached, Broken, Silent, TimeoutError):
            self.tally.add(f"{verb} failed")

    def probe(self, action: it.Probe) -> None:
        self.aside(self.probing(action.engine))

    async def probing(self, engine: it.EngineId) -> None:
        begun, report, entry = clock.now(), (), self.roll.entries[engine]
        try:
            link = await self.links.take(entry, urgent=True)
            try:
                reply = await link.call(http.call("GET", "/stats", entry.address, {}), self.probe_limit)
                report = http.gauges(reply.text(b"x-gauges"), self.fields)
                fate = it.Fate.RETURNED if reply.status == 200 else it.Fate.ERRORED
            finally:
                self.links.give_back(link)
        except (Refused, Unreached):
            fate = it.Fate.UNREACHABLE
        except Silent:
            fate = it.Fate.TIMED_OUT
        except (Broken, http.Unreadable):
            fate = it.Fate.RESET
        self.desk.tell(it.ProbeEnded(engine, fate, clock.now() - begun, report))

    def aside(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.asides.add(task)
        task.add_done_callback(self.asides.discard)
        return task


@dataclass(slots=True)
class Sending:
    """What has gone out of one dispatch, for the meaning of how it ended."""

    begun: bool = False
    whole: bool = False
    broken: bool = False
