"""Polls the directory for the engine list over DNS and passes each newer list on to the decisions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING
from zlib import crc32

from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.directory_sockets import DirectorySockets
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.config import Entry
from thistlelever.ground.metrics import Metrics
from thistlelever.store.engine_registry import EngineRegistry, transitions
from thistlelever.store.list_agreement import Answer, ListAgreement, differing_fields
from thistlelever.wire import dns

if TYPE_CHECKING:
    from thistlelever.ground.operator import Operator

SERVICE_NAME = "_api._tcp.svc.local"
# Seconds between queries. A change counts as known to the front 1.5 s after it happened, and dispatches must
# stop about 0.25 s later; at this interval three consecutive datagrams may be lost without being late.
POLL_INTERVAL = 0.3
# Seconds after which an unanswered query is repeated, and further seconds in which its late answer is still
# read for a newer list. Whatever the directory sends counts as known to the front after 7 s.
ANSWER_TIMEOUT, LATE_ANSWER_WINDOW = 0.25, 8.0
# Seconds between attempts to open a socket.
REOPEN_DELAY = 0.1
# Consecutive queries without a usable answer that are repeated at once; then the poll interval applies.
MAX_IMMEDIATE_RETRIES = 8


class DirectoryClient:
    """Polls the directory at a fixed interval, and at once when the decisions request it."""

    def __init__(
        self,
        registry: EngineRegistry,
        drop_connections: Callable[[it.EngineId], None],
        decisions: DecisionLoop,
        metrics: Metrics,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        seed: int,
    ) -> None:
        """Start without a socket; `open` opens one.

        `drop_connections` closes the connections to an engine that is gone or was restarted. `zones` and
        `kinds` are those of the settings, `seed` seeds the query ids.
        """
        self.registry, self.drop_connections = registry, drop_connections
        self.decisions, self.metrics = decisions, metrics
        self.zones = {name: z for z, name in enumerate(zones)}
        self.kinds = {name: k for k, name in enumerate(kinds)}
        self.seed, self.polls = seed, 0
        # Queries by DNS id, each with its sequence number and timer: those that await an answer, and those
        # that timed out, as their answers may arrive late.
        self.awaited: dict[int, tuple[int, asyncio.TimerHandle]] = {}
        self.overdue: dict[int, tuple[int, asyncio.TimerHandle]] = {}
        # The latest query whose answer agreed with the list in force.
        self.agreement, self.last_agreed_query = ListAgreement(), 0
        # Replaced sockets stay open for as long as late answers to them are read.
        self.sockets = DirectorySockets(self.receive, ANSWER_TIMEOUT + LATE_ANSWER_WINDOW, metrics)
        self.renewal: asyncio.Task | None = None
        self.opening: asyncio.Task | None = None
        self.last_answer, self.retries, self.heard_at = b"", 0, 0.0
        # Called when the configuration must be reloaded; never used by this class, as DNS carries no
        # configuration.
        self.on_new_configuration: Callable[[], None] = lambda: None

    async def open(self, address: tuple[str, int]) -> None:
        """Poll at that address from now on, or as soon as a socket can be opened.

        Until then the previous address is polled.
        """
        if self.opening:
            self.opening.cancel()
        if not await self.try_open(address):
            self.opening = asyncio.get_running_loop().create_task(self.open_with_retries(address))

    async def open_with_retries(self, address: tuple[str, int]) -> None:
        """Retry until a socket can be opened.

        Without retries, a reload that moves the directory while the machine is short of sockets would leave
        this front polling an address that is no longer updated.
        """
        while not await self.try_open(address):
            await asyncio.sleep(REOPEN_DELAY)

    async def try_open(self, address: tuple[str, int]) -> bool:
        """Open a socket to that address and poll it; return whether that succeeded.

        Queries to the previous address are dropped: their timeouts or late answers would be taken for those
        of the new one.
        """
        try:
            await self.sockets.open(address)
        except OSError as error:
            self.metrics.add("directory: no socket")
            self.decisions.log("directory can't be asked yet", address=address, why=str(error))
            return False
        self.drop_queries()
        self.retries = 0
        self.poll(requested=False)
        return True

    async def renew(self) -> None:
        """Poll from a new socket."""
        if await self.sockets.renew():
            sockets = len(self.sockets.transports)
            self.metrics.add("directory asked by a new socket")
            self.decisions.log("directory asked by a new socket", asked=self.polls, sockets=sockets)
            self.poll(requested=False)

    def resume_from(self, serial: int) -> None:
        """Ignore the highest serial that a former process of this front had, as the directory may restart its
        serials."""

    def overlay(self, operator: Operator) -> Operator:
        """Return the operator file unchanged, as no part of it comes by DNS."""
        return operator

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        """Return the handlers of administration commands: none."""
        return {}

    def close(self) -> None:
        """Stop polling and close the sockets."""
        if self.opening:
            self.opening.cancel()
        self.drop_queries()
        self.sockets.close()

    def drop_queries(self) -> None:
        """Forget all pending and timed-out queries."""
        for _, timer in (*self.awaited.values(), *self.overdue.values()):
            timer.cancel()
        self.awaited.clear()
        self.overdue.clear()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            self.poll(requested=False)

    def retry_at_once(self) -> None:
        """Repeat a query that brought no usable answer, a limited number of times.

        Waiting for the next interval could make the front learn of a drain too late; unlimited repeats would
        use up a core while the directory keeps failing.
        """
        self.retries += 1
        if self.retries <= MAX_IMMEDIATE_RETRIES:
            self.poll(requested=False)

    def poll(self, requested: bool) -> None:
        """Send a query. Its id must be unpredictable, or any datagram could pass for the answer.

        With `requested` the decisions are notified when it times out.
        """
        self.polls += 1
        number = crc32(b"%d dns %d" % (self.seed, self.polls)) & 0xFFFF
        if number in self.awaited or number in self.overdue:
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ANSWER_TIMEOUT, self.query_timed_out, number, requested)
        self.awaited[number] = self.polls, timer
        self.sockets.send(dns.encode_query(number, SERVICE_NAME))

    def query_timed_out(self, number: int, requested: bool) -> None:
        """Repeat a query that got no answer in time; a late answer to it is still read."""
        loop = asyncio.get_running_loop()
        query, _ = self.awaited.pop(number)
        self.overdue[number] = query, loop.call_later(LATE_ANSWER_WINDOW, self.overdue.pop, number, None)
        self.metrics.add("directory silent")
        if self.sockets.note_timeout():
            self.renewal = loop.create_task(self.renew())
        self.retry_at_once()
        if requested:
            self.decisions.add_event(it.EngineListReceived(it.ListKind.FAILED, 0, ()))

    def receive(self, data: bytes) -> None:
        """Process a datagram: an answer, which may be late, or one without a matching query."""
        self.sockets.note_answer()
        number = int.from_bytes(data[:2], "big")
        in_time = number in self.awaited
        due = self.awaited.pop(number, None) or self.overdue.pop(number, None)
        if due is None:
            self.metrics.add("directory answers unasked for")
            return
        query, timer = due
        timer.cancel()
        try:
            settled = self.apply(data, number, query)
        except (dns.Unreadable, KeyError, ValueError) as error:
            self.metrics.add("directory answers out of form")
            self.decisions.log("directory answer out of form", why=str(error))
            settled = False
        if in_time and settled:
            self.retries, self.heard_at = 0, clock.now()
        elif in_time:
            self.retry_at_once()

    def apply(self, data: bytes, number: int, query: int) -> bool:
        """Compare an answer with the list in force and adopt it if it is newer and confirmed.

        Returns whether no further query is needed at once. Raises `dns.Unreadable`, `KeyError` or
        `ValueError` when the answer is malformed or has unknown zones or kinds.
        """
        if data[2:] == self.last_answer:
            self.last_agreed_query = max(self.last_agreed_query, query)
            return True
        listing = dns.decode_list(data, number, SERVICE_NAME)
        entries = [self.entry(found) for found in listing.engines]
        answer = Answer(listing.serial, {entry.engine.id: entry for entry in entries})
        current = Answer(self.registry.serial, self.registry.listed_entries())
        if answer.serial <= current.serial and query < self.last_agreed_query:
            # The answer to a later query has arrived before it.
            self.metrics.add("directory answers overtaken by later ones")
            return True
        decision = self.agreement.receive(answer, current, clock.now())
        if self.agreement.contradiction is answer:
            self.report_contradiction(answer, current)
        if decision.adopt:
            self.registry.closed_engines = decision.closed
            self.adopt(listing.serial, entries)
        else:
            self.close_engines(decision.closed)
        self.last_answer = data[2:] if decision.settled else b""
        self.last_agreed_query = (
            max(self.last_agreed_query, query) if decision.settled else self.last_agreed_query
        )
        return decision.settled

    def close_engines(self, closed: frozenset[it.EngineId]) -> None:
        """Stop new dispatches to these engines, which are not ready in an unconfirmed answer."""
        if closed != self.registry.closed_engines:
            names = sorted(engine.decode("latin-1") for engine in closed)
            self.decisions.log("engines closed for a doubt", engines=names, serial=self.registry.serial)
            self.registry.closed_engines = closed
            self.notify()

    def report_contradiction(self, answer: Answer, current: Answer) -> None:
        """Count and log an answer that is older than the list in force, or differs under the same serial."""
        listed = {engine: entry.engine.state for engine, entry in answer.entries.items()}
        differing = transitions(self.registry.states(), listed)
        serial, held = answer.serial, self.registry.serial
        what = "older than the list" if serial < held else "that differ under one serial"
        self.metrics.add(f"directory answers {what}")
        fields = differing_fields(answer, current)
        self.decisions.log(
            f"directory answers {what}", serial=serial, held=held, differing=differing, fields=fields
        )

    def adopt_configured(self, serial: int, entries: list[Entry]) -> None:
        """Adopt the list of a reloaded configuration if it is newer than the one in force."""
        if serial > self.registry.serial or not self.registry.entries:
            self.agreement.reset()
            self.last_answer = b""
            self.adopt(serial, entries)

    def adopt(self, serial: int, entries: list[Entry]) -> None:
        """Bring a list into force, close connections to changed engines and notify the decisions."""
        before, previous_serial = self.registry.states(), self.registry.serial
        last_heard = self.heard_at or None
        for engine in self.registry.update(serial, entries, clock.now(), last_heard, clock.wall_ahead()):
            self.drop_connections(engine)
        self.decisions.log(
            "list",
            serial=serial,
            engines=len(entries),
            changed=transitions(before, self.registry.states()),
            after_serial=previous_serial,
            asked=self.polls,
            unheard_s=round(clock.now() - self.heard_at, 3) if self.heard_at else None,
        )
        self.notify()

    def notify(self) -> None:
        """Pass the current list on to the decisions."""
        self.decisions.add_event(
            it.EngineListReceived(it.ListKind.WHOLE, self.registry.serial, self.registry.engine_list())
        )

    def entry(self, found: dns.EngineRecord) -> Entry:
        """Convert an engine of an answer; `KeyError` or `ValueError` when a field is missing or unknown."""
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


class PeerDatagramSink(asyncio.DatagramProtocol):
    """Receives the datagrams of other fronts. The decisions do not use them: they are counted and dropped."""

    def __init__(self, metrics: Metrics) -> None:
        """Count datagrams in `metrics`."""
        self.metrics = metrics

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Count a datagram."""
        self.metrics.add("datagrams of other fronts")
