"""Asks the directory for the list of engines and tells the decisions of each newer one."""

from __future__ import annotations

import asyncio
from zlib import crc32

from thistlelever.admission import interface as it
from thistlelever.carrier.desk import Desk
from thistlelever.lifecycle import clock
from thistlelever.store.links import Links
from thistlelever.store.roll import Entry, Roll
from thistlelever.store.tally import Tally
from thistlelever.wire import dns

NAME = "_api._tcp.svc.local"
# An event counts as told 1.5 s after it happened, and sends must cease 0.25 s or so later: asked this
# often, three datagrams in a row may be lost before that is late.
PACE = 0.3
# No answer in this time is none; a later one is still read, if it is newer.
PATIENCE = 0.25


class Inquiry(asyncio.DatagramProtocol):
    """One socket to the directory; asks at a steady pace, and at once where the decisions want it."""

    def __init__(self, roll: Roll, links: Links, desk: Desk, tally: Tally, zones: tuple[str, ...],
                 kinds: tuple[str, ...], seed: int) -> None:
        self.roll, self.links, self.desk, self.tally = roll, links, desk, tally
        self.zones = {name: z for z, name in enumerate(zones)}
        self.kinds = {name: k for k, name in enumerate(kinds)}
        self.seed, self.asked = seed, 0
        self.awaited: dict[int, asyncio.TimerHandle] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.last = b""

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def error_received(self, why: OSError) -> None:
        self.tally.add("directory out of reach")

    async def run(self) -> None:
        while True:
            self.ask(by_order=False)
            await asyncio.sleep(PACE)

    def ask(self, by_order: bool) -> None:
        """Send a query. Its number is not to be guessed, or any datagram could pass for the answer."""
        self.asked += 1
        number = crc32(b"%d dns %d" % (self.seed, self.asked)) & 0xFFFF
        if number in self.awaited:
            return
        loop = asyncio.get_running_loop()
        self.awaited[number] = loop.call_later(PATIENCE, self.unanswered, number, by_order)
        self.transport.sendto(dns.query(number, NAME))

    def unanswered(self, number: int, by_order: bool) -> None:
        self.awaited.pop(number, None)
        self.tally.add("directory silent")
        if by_order:
            self.desk.tell(it.ListTold(it.ListKind.FAILED, 0, ()))

    def datagram_received(self, data: bytes, address: tuple) -> None:
        number = int.from_bytes(data[:2], "big")
        timer = self.awaited.pop(number, None)
        if timer is None:
            self.tally.add("directory answers unasked for")
            return
        timer.cancel()
        if data[2:] == self.last:
            return
        try:
            listing = dns.listing(data, number, NAME)
            entries = [self.entry(found) for found in listing.engines]
        except (dns.Unreadable, KeyError, ValueError) as why:
            self.tally.add("directory answers out of form")
            self.desk.log("directory answer out of form", why=str(why))
            return
        self.last = data[2:]
        changed = self.roll.replace(listing.serial, entries, clock.now())
        if changed is not None:
            for engine in changed:
                self.links.forget(engine)
            self.desk.log("list", serial=listing.serial, engines=len(entries))
            self.desk.tell(it.ListTold(it.ListKind.WHOLE, listing.serial, self.roll.told()))

    def entry(self, found: dns.Found) -> Entry:
        facts = found.facts
        engine = it.Engine(
            found.id.encode(), self.zones[found.zone], int(facts["cell"]), self.kinds[facts["kind"]],
            it.Standing.DRAINING if found.draining else it.Standing.READY,
            float(facts["started"]) / 1e3, found.weight,
        )
        return Entry(engine, found.address)


class Deaf(asyncio.DatagramProtocol):
    """Where other fronts' datagrams arrive. The decisions use none: they are dropped and counted."""

    def __init__(self, tally: Tally) -> None:
        self.tally = tally

    def datagram_received(self, data: bytes, address: tuple) -> None:
        self.tally.add("datagrams of other fronts")
