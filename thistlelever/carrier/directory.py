"""Asks the directory for the list of engines and tells the decisions of each newer one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING
from zlib import crc32

from thistlelever.ground import interface as it
from thistlelever.carrier.desk import Desk
from thistlelever.carrier.directory_sockets import DirectorySockets
from thistlelever.ground import clock
from thistlelever.ground.config import Entry
from thistlelever.store.list_agreement import Answer, ListAgreement
from thistlelever.store.roll import Roll, transitions
from thistlelever.ground.metrics import Metrics
from thistlelever.wire import dns

if TYPE_CHECKING:
    from thistlelever.ground.operator import Operator

NAME = "_api._tcp.svc.local"
# An event counts as told 1.5 s after it happened, and sends must cease 0.25 s or so later: asked this
# often, three datagrams in a row may be lost before that is late.
PACE = 0.3
# Without an answer in this time a query is put again; an answer that comes later, within the second time, is
# still read for what is newer. What the directory tells counts as told after 7 s, whatever became of it.
PATIENCE, READ_LATE = 0.25, 8.0
# A socket that can't be had is tried for again after this.
OPEN_AGAIN = 0.1
# So many times in a row what is no news is asked again at once; after that the pace holds.
MOST_AT_ONCE = 8


class Inquiry:
    """Asks the directory at a steady pace, and at once where the decisions want it."""

    def __init__(
        self,
        roll: Roll,
        forget: Callable[[it.EngineId], None],
        desk: Desk,
        metrics: Metrics,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        seed: int,
    ) -> None:
        # What drops connections to an engine that is gone or was started anew.
        self.roll, self.forget, self.desk, self.metrics = roll, forget, desk, metrics
        self.zones = {name: z for z, name in enumerate(zones)}
        self.kinds = {name: k for k, name in enumerate(kinds)}
        self.seed, self.asked = seed, 0
        # Queries by the number that they carry, each with its place in the order of asking: those that an
        # answer is due to, and those given up, as it may be late.
        self.awaited: dict[int, tuple[int, asyncio.TimerHandle]] = {}
        self.overdue: dict[int, tuple[int, asyncio.TimerHandle]] = {}
        # The latest query whose answer agreed with the list in force.
        self.agreement, self.settled_by = ListAgreement(), 0
        # Sockets are listened to for as long as late answers on their way to them would be read.
        self.sockets = DirectorySockets(self.answered, PATIENCE + READ_LATE, metrics)
        self.renewal: asyncio.Task | None = None
        self.opening: asyncio.Task | None = None
        self.last, self.misses, self.heard_at = b"", 0, 0.0
        # Called where the configuration is to be read again; nothing that comes by DNS asks for that.
        self.on_new_configuration: Callable[[], None] = lambda: None

    async def open(self, address: tuple[str, int]) -> None:
        """Ask at that address from now on, or as soon as a socket can be had. Until then the address before
        it is asked."""
        if self.opening:
            self.opening.cancel()
        if not await self.opened(address):
            self.opening = asyncio.get_running_loop().create_task(self.open_later(address))

    async def open_later(self, address: tuple[str, int]) -> None:
        """Try again until a socket can be had. Risk: a configuration that moves discovery in the moment in
        which the machine is short of sockets leaves this front at an address that nobody keeps up."""
        while not await self.opened(address):
            await asyncio.sleep(OPEN_AGAIN)

    async def opened(self, address: tuple[str, int]) -> bool:
        """Whether a socket asks at that address by now. Risk: a timer or a late answer of an address that is
        left would pass for word of the next."""
        try:
            await self.sockets.open(address)
        except OSError as why:
            self.metrics.add("directory: no socket")
            self.desk.log("directory can't be asked yet", address=address, why=str(why))
            return False
        self.drop_queries()
        self.misses = 0
        self.ask(by_order=False)
        return True

    async def renew(self) -> None:
        """Ask by a new socket."""
        if await self.sockets.renew():
            sockets = len(self.sockets.transports)
            self.metrics.add("directory asked by a new socket")
            self.desk.log("directory asked by a new socket", asked=self.asked, sockets=sockets)
            self.ask(by_order=False)

    def accept_from(self, serial: int) -> None:
        """A former life held that serial. The directory may begin anew: its newest answer is believed."""

    def overlay(self, operator: Operator) -> Operator:
        """The operator file, of which nothing comes by DNS."""
        return operator

    def questions(self) -> dict[str, Callable[..., dict]]:
        """What the administration may be asked."""
        return {}

    def close(self) -> None:
        """Ask no more."""
        if self.opening:
            self.opening.cancel()
        self.drop_queries()
        self.sockets.close()

    def drop_queries(self) -> None:
        """No answer is due any more."""
        for _, timer in (*self.awaited.values(), *self.overdue.values()):
            timer.cancel()
        self.awaited.clear()
        self.overdue.clear()

    async def run(self) -> None:
        while True:
            await asyncio.sleep(PACE)
            self.ask(by_order=False)

    def missed(self) -> None:
        """What came was no news. Risk: a pace later a drain is known late; asked again without pause, a
        directory that says no each time takes the core."""
        self.misses += 1
        if self.misses <= MOST_AT_ONCE:
            self.ask(by_order=False)

    def ask(self, by_order: bool) -> None:
        """Send a query. Its number is not to be guessed, or any datagram could pass for the answer."""
        self.asked += 1
        number = crc32(b"%d dns %d" % (self.seed, self.asked)) & 0xFFFF
        if number in self.awaited or number in self.overdue:
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(PATIENCE, self.unanswered, number, by_order)
        self.awaited[number] = self.asked, timer
        self.sockets.send(dns.encode_query(number, NAME))

    def unanswered(self, number: int, by_order: bool) -> None:
        loop = asyncio.get_running_loop()
        query, _ = self.awaited.pop(number)
        self.overdue[number] = query, loop.call_later(READ_LATE, self.overdue.pop, number, None)
        self.metrics.add("directory silent")
        if self.sockets.unanswered():
            self.renewal = loop.create_task(self.renew())
        self.missed()
        if by_order:
            self.desk.tell(it.EngineListReceived(it.ListKind.FAILED, 0, ()))

    def answered(self, data: bytes) -> None:
        """Take what an answer tells, also a late one."""
        self.sockets.answered()
        number = int.from_bytes(data[:2], "big")
        in_time = number in self.awaited
        due = self.awaited.pop(number, None) or self.overdue.pop(number, None)
        if due is None:
            self.metrics.add("directory answers unasked for")
            return
        query, timer = due
        timer.cancel()
        try:
            settled = self.take(data, number, query)
        except (dns.Unreadable, KeyError, ValueError) as why:
            self.metrics.add("directory answers out of form")
            self.desk.log("directory answer out of form", why=str(why))
            settled = False
        if in_time and settled:
            self.misses, self.heard_at = 0, clock.now()
        elif in_time:
            self.missed()

    def take(self, data: bytes, number: int, query: int) -> bool:
        """Compare an answer with the list in force, and put it in its place where it is newer and confirmed;
        whether nothing is left to ask again at once."""
        if data[2:] == self.last:
            self.settled_by = max(self.settled_by, query)
            return True
        listing = dns.decode_list(data, number, NAME)
        entries = [self.entry(found) for found in listing.engines]
        answer = Answer(listing.serial, {entry.engine.id: entry for entry in entries})
        held = Answer(self.roll.serial, self.roll.listing())
        if answer.serial <= held.serial and query < self.settled_by:
            # It was overtaken on its way by one to a later query.
            self.metrics.add("directory answers overtaken by later ones")
            return True
        step = self.agreement.heard(answer, held, clock.now())
        if self.agreement.contrary is answer:
            self.report_contrary(answer)
        if step.adopt:
            self.roll.closed = step.closed
            self.adopt(listing.serial, entries)
        else:
            self.close_engines(step.closed)
        self.last = data[2:] if step.settled else b""
        self.settled_by = max(self.settled_by, query) if step.settled else self.settled_by
        return step.settled

    def close_engines(self, closed: frozenset[it.EngineId]) -> None:
        """Send nothing new to these engines, which an answer in doubt does not name as ready."""
        if closed != self.roll.closed:
            names = sorted(engine.decode("latin-1") for engine in closed)
            self.desk.log("engines closed for a doubt", engines=names, serial=self.roll.serial)
            self.roll.closed = closed
            self.tell()

    def report_contrary(self, answer: Answer) -> None:
        """Count and log an answer older than the list held, or one that differs from it under its serial."""
        listed = {engine: entry.engine.state for engine, entry in answer.entries.items()}
        differing = transitions(self.roll.states(), listed)
        serial, held = answer.serial, self.roll.serial
        what = "older than the list" if serial < held else "that differ under one serial"
        self.metrics.add(f"directory answers {what}")
        self.desk.log(f"directory answers {what}", serial=serial, held=held, differing=differing)

    def hold(self, serial: int, entries: list[Entry]) -> None:
        """Take the list of a configuration that was read again, if it is newer than the one in force."""
        if serial > self.roll.serial or not self.roll.entries:
            self.agreement.forget()
            self.last = b""
            self.adopt(serial, entries)

    def adopt(self, serial: int, entries: list[Entry]) -> None:
        """The list is in force from now on."""
        before, held = self.roll.states(), self.roll.serial
        last_heard = self.heard_at or None
        for engine in self.roll.update(serial, entries, clock.now(), last_heard, clock.wall_ahead()):
            self.forget(engine)
        self.desk.log(
            "list",
            serial=serial,
            engines=len(entries),
            changed=transitions(before, self.roll.states()),
            after_serial=held,
            asked=self.asked,
            unheard_s=round(clock.now() - self.heard_at, 3) if self.heard_at else None,
        )
        self.tell()

    def tell(self) -> None:
        """Tell the decisions the list as it is held now."""
        self.desk.tell(it.EngineListReceived(it.ListKind.WHOLE, self.roll.serial, self.roll.told()))

    def entry(self, found: dns.EngineRecord) -> Entry:
        facts = found.facts
        engine = it.Engine(
            found.id.encode(),
            self.zones[found.zone],
            int(facts["cell"]),
            self.kinds[facts["kind"]],
            it.EngineState.DRAINING if found.draining else it.EngineState.READY,
            float(facts["started"]) / 1e3,
            found.weight,
        )
        return Entry(engine, found.address)


class Deaf(asyncio.DatagramProtocol):
    """Where other fronts' datagrams arrive. The decisions use none: they are dropped and counted."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def datagram_received(self, data: bytes, address: tuple) -> None:
        self.metrics.add("datagrams of other fronts")
