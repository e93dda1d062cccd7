"""One dispatch: the call that starts it, the polls for its news, its pages, and how it ended."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from math import ceil

from thistlelever.admission import interface as it
from thistlelever.carrier.desk import Desk
from thistlelever.lifecycle import clock
from thistlelever.lifecycle.log import Log
from thistlelever.store.batches import Batch
from thistlelever.store.links import Broken, Link, Links, Refused, Short, Silent, Unreached
from thistlelever.store.roll import Entry, Roll
from thistlelever.store.tally import Tally
from thistlelever.wire import http

# News comes after 250 ms at the latest, other answers at once; what takes this long is silent. Risk: a short
# batch whose answer got lost is given up and run again before its engine was asked for it once more.
NEWS_WITHIN, WORD_WITHIN = 0.35, 0.15
# An engine drops a batch that it has not been asked for in this time.
DROPPED_AFTER = 2.0
# A question that found no way or no answer is put again after this long, longer each time.
RETRY_PACE = 0.02
# So many times in a row a question may go without an answer that can be used before the dispatch is lost.
MOST_SPOILT = 8
# An answer with more behind it may be cut by a wrong length: so often it is asked for once more.
DOUBTED = 2
TIDINGS = {"advance": it.Tidings.PROGRESS, "disk": it.Tidings.SPILL, "stall": it.Tidings.WAITING}
# After these the engine may hold the batch still.
MAY_RUN_ON = frozenset((it.Fate.TIMED_OUT, it.Fate.CANCELLED, it.Fate.RESET))
# A result holds 48,000 bytes in pages of 6,000; a count far past that is no count.
MOST_PAGES = 64


class Ended(Exception):
    """The dispatch is over without an answer."""

    def __init__(self, fate: it.Fate) -> None:
        super().__init__(fate.name)
        self.fate = fate


class Spoilt(Exception):
    """The reply is HTTP, and yet not what was asked for: the batch has run, and the reply is there still."""


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
        self.once_only = frozenset(t.name for t in manifest.tariffs if t.repeat is it.Repeat.ONCE_ONLY)
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
        self.roll.begin(order.engine)
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
        except Ended as why:
            end.fate = why.fate
        except Exception as why:
            self.tally.add("dispatch failed")
            self.log("dispatch failed", why=repr(why), trace=traceback.format_exc())
            end.fate = it.Fate.ERRORED
        end.took = clock.now() - begun
        batch.limits.pop(number, None)
        if sent.begun and self.cancels and end.fate in MAY_RUN_ON:
            given_up = self.aside(self.give_up(batch, order.engine, sent.asked))
            if end.fate is not it.Fate.TIMED_OUT or till < batch.limit_at:
                # Risk: a further dispatch that comes before the DELETE makes two out at once, and an end
                # that a second order to give up swallows leaves the batch open for good.
                with suppress(asyncio.CancelledError):
                    await asyncio.wait((given_up,), timeout=max(batch.limit_at - clock.now(), 0.0))
        self.roll.end(order.engine)
        self.tally.add(f"dispatches {end.fate.name.lower()}")
        batch.inbox.put_nowait(end)

    async def converse(self, batch: Batch, end: End, sent: Sending, till: float) -> None:
        entry, path = self.roll.entries.get(end.engine), f"/fetch/{batch.asked.txn}/"
        if entry is None:
            raise Ended(it.Fate.UNSENT)
        end.fate = it.Fate.ASTRAY
        while end.fate is it.Fate.ASTRAY:
            reply = await self.post(batch, entry, end, sent, till)
            while reply is None or reply.status == 202:
                reply = await self.ask(path, 0, entry, end, sent, batch)
            end.fate = self.fate(reply, sent)
            # What its engine never got was no dispatch so far, and goes there again. Of a once-only batch
            # that the engine does not know of it is not proof enough.
            if batch.lane in self.once_only or sent.posts >= MOST_SPOILT:
                break
        for page in range(1, sent.pages if end.fate is it.Fate.RETURNED else 0):
            reply = await self.ask(path, page, entry, end, sent, batch)
            end.fate = self.fate(reply, sent)
            if end.fate is not it.Fate.RETURNED:
                return

    async def post(self, batch: Batch, entry: Entry, end: End, sent: Sending, till: float,
                   ) -> http.Reply | None:
        """The call that starts it, and its reply if it got one of use."""
        try:
            link = await self.link(entry)
        except (Refused, Unreached):
            raise Ended(it.Fate.UNREACHABLE) from None
        except (Broken, Short):
            raise Ended(it.Fate.UNSENT) from None
        # The list may have changed while a connection came up; a drain counts from the first byte.
        if not self.roll.open_to(end.engine):
            self.links.give_back(link)
            raise Ended(it.Fate.UNSENT)
        sent.begun, sent.asked, sent.posts = True, clock.now(), sent.posts + 1
        try:
            reply = await link.call(self.request(batch, entry.address, till), NEWS_WITHIN)
            self.read(reply, 0, link, end, sent, batch)
            sent.heard = True
            return reply
        except (Broken, Silent, Spoilt, http.Unreadable) as why:
            self.spoilt(why)
            return None
        finally:
            self.links.give_back(link)

    async def link(self, entry: Entry) -> Link:
        """A link for what must not wait. A reset as it comes up is news of that connection alone."""
        for _ in range(MOST_SPOILT):
            try:
                return await self.links.take(entry, urgent=True)
            except Broken as why:
                self.spoilt(why)
        raise Broken("each new connection is reset")

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
        if reply.status == 200:
            return it.Fate.RETURNED
        unrun = reply.text(b"x-unrun") == "1"
        if reply.status == 503 and unrun:
            return it.Fate.FULL
        if reply.status == 504 and unrun:
            return it.Fate.UNSENT
        # Risk: an engine that never got the batch, told as one that errs, is taken for ill; so are all on a
        # day when connections break.
        return it.Fate.ERRORED if sent.heard else it.Fate.ASTRAY

    async def ask(self, path: str, page: int, entry: Entry, end: End, sent: Sending, batch: Batch,
                  ) -> http.Reply:
        """One question about a batch that is out, on new connections until it is answered.

        A poll or a page belongs to no connection, and a result lies at its engine until it is dropped, so
        asking again is no further dispatch. It ends with an engine that has died or gives nothing that can be
        used; a silent one is asked until the dispatch times out.
        """
        spoilt = 0
        while spoilt < MOST_SPOILT:
            try:
                link = await self.links.take(entry, urgent=False)
            except Refused:
                break
            except (Unreached, Short, Broken):
                # Risk: a network that says no at once, asked again at once, takes the whole core.
                await asyncio.sleep(RETRY_PACE)
                continue
            try:
                sent.asked = clock.now()
                request = http.call("GET", f"{path}{page}", entry.address, {})
                reply = await link.call(request, WORD_WITHIN if page else NEWS_WITHIN)
                self.read(reply, page, link, end, sent, batch)
                return reply
            except Silent as why:
                self.spoilt(why)
            except (Broken, Spoilt, http.Unreadable) as why:
                self.spoilt(why)
                spoilt += 1
            finally:
                self.links.give_back(link)
            await asyncio.sleep(RETRY_PACE * (spoilt - 1))
        raise Ended(it.Fate.RESET)

    def spoilt(self, why: Exception) -> None:
        self.tally.add(f"calls without a reply of use: {type(why).__name__}")

    def read(self, reply: http.Reply, page: int, link: Link, end: End, sent: Sending, batch: Batch) -> None:
        """Take from a reply what must outlive its buffer: report, note, figures, page. Nothing is taken from
        one that can't be the answer to the question: its connection is used no more."""
        try:
            if reply.status == 200:
                rows = self.rows(reply, page, link, sent)
            elif reply.status not in ((202, 500, 503, 504) if not page else (500,)):
                raise Spoilt(f"status {reply.status}")
        except (Spoilt, http.Unreadable):
            link.stream.close()
            raise
        end.report = http.gauges(reply.text(b"x-gauges"), self.fields) or end.report
        if reply.status == 202:
            sent.heard = True
            tidings, value = TIDINGS.get(reply.text(b"x-how")), reply.number(b"reading")
            if tidings and value is not None:
                value = min(value, 1.0) if tidings is it.Tidings.PROGRESS else value
                self.desk.tell(it.ProgressNote(batch.number, end.number, end.engine, tidings, value))
        elif reply.status == 200:
            sent.heard = True
            end.true_work = (reply.number(b"elapsed-work") or 0.0) / 1e3 or end.true_work
            end.true_memory = reply.number(b"high-water") or end.true_memory
            end.pages.append(rows)

    def rows(self, reply: http.Reply, page: int, link: Link, sent: Sending) -> bytes:
        """The rows of a good end or a further page."""
        told = reply.number(b"chunk" if page else b"chunks")
        if told is None or told % 1 or (told != page if page else not 1 <= told <= MOST_PAGES):
            raise Spoilt("no number of pages, or not the page asked for")
        rows = http.page(reply.body)
        if link.surplus and sent.doubts < DOUBTED:
            # Risk: what lies behind may be the rest of these rows, cut off by a length put too low.
            sent.doubts += 1
            raise Spoilt("more than one answer")
        if not page:
            sent.pages = int(told)
        return rows

    def reprioritise(self, batch: Batch) -> None:
        """The batch's priority also holds for what is out."""
        for number in batch.out:
            self.aside(self.put(batch.asked.txn, batch.engines[number], str(batch.priority).encode()))

    async def put(self, txn: str, engine: it.EngineId, priority: bytes) -> None:
        """A call whose loss costs little: it is made once, and a failure is counted."""
        entry = self.roll.entries.get(engine)
        if entry is None:
            return
        try:
            async with asyncio.timeout(NEWS_WITHIN):
                link = await self.links.take(entry, urgent=False)
                try:
                    call = http.call("PUT", f"/fetch/{txn}", entry.address, {}, priority)
                    await link.call(call, WORD_WITHIN)
                finally:
                    self.links.give_back(link)
        except (Refused, Unreached, Short, Broken, Silent, TimeoutError):
            self.tally.add("PUT failed")

    async def give_up(self, batch: Batch, engine: it.EngineId, asked: float) -> None:
        """The DELETE, until the engine has it, or no longer holds the batch anyway: it is dead, out of reach,
        or has not been asked for it in so long. What a client has left waits behind what others wait for."""
        entry, path = self.roll.entries.get(engine), f"/fetch/{batch.asked.txn}"
        while entry and clock.now() < asked + DROPPED_AFTER:
            try:
                link = await self.links.take(entry, urgent=not batch.answered)
                try:
                    await link.call(http.call("DELETE", path, entry.address, {}), WORD_WITHIN)
                    return
                finally:
                    self.links.give_back(link)
            except (Refused, Unreached):
                break
            except (Broken, Silent, Short):
                await asyncio.sleep(RETRY_PACE)
        self.tally.add("DELETE failed")

    def probe(self, action: it.Probe) -> None:
        self.aside(self.probing(action.engine))

    async def probing(self, engine: it.EngineId) -> None:
        begun, report, entry = clock.now(), (), self.roll.entries.get(engine)
        if entry is None:
            self.desk.tell(it.ProbeEnded(engine, it.Fate.UNREACHABLE, 0.0, ()))
            return
        try:
            link = await self.link(entry)
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
        except (Broken, Short):
            fate = it.Fate.ASTRAY
        self.desk.tell(it.ProbeEnded(engine, fate, clock.now() - begun, report))

    def aside(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.asides.add(task)
        task.add_done_callback(self.asides.discard)
        return task


@dataclass(slots=True)
class Sending:
    """How far a dispatch has come, for the meaning of how it ended."""

    begun: bool = False
    # When the engine was last asked for the batch; whether it has ever said that it knows it.
    asked: float = 0.0
    heard: bool = False
    doubts: int = 0
    posts: int = 0
    pages: int = 0
