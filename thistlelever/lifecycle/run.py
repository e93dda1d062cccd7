"""How a front comes up, serves, and goes down."""

from __future__ import annotations

import asyncio
import gc
import signal
import socket
from collections.abc import Awaitable, Callable
from time import process_time
from typing import TYPE_CHECKING, TypeVar

from thistlelever.ground import interface as it
from thistlelever.admission.decide import Front
from thistlelever.carrier.clients import ClientListener
from thistlelever.carrier.batch_tasks import BatchTasks
from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.directory import Deaf, Inquiry
from thistlelever.carrier.dispatch import Dispatcher
from thistlelever.carrier.http_engines import HttpEngines
from thistlelever.carrier.validation import RequestValidator
from thistlelever.carrier.loop_lag import LoopLagMonitor
from thistlelever.ground import clock
from thistlelever.ground.log import Log
from thistlelever.ground.settings import ConfigError
from thistlelever.ground.config import Config, load
from thistlelever.lifecycle.start_times import StartTimes
from thistlelever.store.batches import Batches
from thistlelever.store.bounds import bounds
from thistlelever.store.links import OWN_WANT, Links
from thistlelever.store.roll import Roll
from thistlelever.ground.metrics import Metrics

if TYPE_CHECKING:
    from thistlelever.ground.operator import Operator, Takeover
    from thistlelever.lifecycle.admin import Administration
    from thistlelever.lifecycle.distribution import SubscribedDiscovery
    from thistlelever.lifecycle.flight import FlightSide
    from thistlelever.lifecycle.membership import MembershipSide
    from thistlelever.lifecycle.parts import Parts, Side
    from thistlelever.lifecycle.state import StateSide
    from thistlelever.lifecycle.takeover import TakeoverSide

# After a SIGTERM, requests go on coming for 0.6 s; the kill comes no sooner than the longest time limit,
# or 3 s if that is less, and 0.7 s more after it. The last answers are written before.
STILL_COMING, LONGEST_LIMIT, LAST_ANSWER = 0.75, 3.0, 0.3
# What the last answers may take to leave the connections' buffers.
LAST_BYTES = 0.2
# Many clients come at once when a front is taken in.
BACKLOG = 512
# What a SIGHUP renews, and what means something at a start only: neither waits for a restart.
RENEWED = ("directory", "serial", "known", "seed", "peers")
# The keys of the file that hold what goes by another name here.
KEYS = {name: f"limits.{name}" for name in ("sockets", "memory_mb", "cores")} | dict.fromkeys(
    ("zones", "kinds", "idle", "answer_slack", "settings"), "settings"
)
HOUSEKEEPING, COUNTS_EVERY = 0.5, 6.0
# What a start is short of is tried for again so often, this far apart.
MOST_STARTS, START_AGAIN = 50, 0.1

T = TypeVar("T")


class Office:
    """The parts of one front, put together."""

    def __init__(
        self,
        config: Config,
        log: Log,
        read_again: Callable[[], Config] = load,
        operator: Operator | None = None,
        operator_again: Callable[[], Operator] | None = None,
    ) -> None:
        self.config, self.log, self.read_again = config, log, read_again
        # The operator file, where there is one: what is switched on beyond the platform's own front.
        self.operator, self.operator_again = operator, operator_again
        self.metrics, self.batches, self.roll = Metrics(), Batches(), Roll()
        self.roll.replace(config.serial, list(config.known), clock.now())
        settings = config.settings
        self.decisions = DecisionLoop(
            Front(settings, config.seed), settings.tick, self.batches, self.metrics, log
        )
        flight = operator.flight if operator else None
        limits = bounds(config.sockets, config.memory_mb, flight.descriptors if flight else 0)
        self.links = Links(limits.links, config.idle, settings.connect_limit, self.metrics)
        self.links.listed = self.roll.listed
        self.links.reachable = self.roll.reachable
        over_http = HttpEngines(settings, self.roll, self.links, self.decisions, self.metrics)
        self.dispatcher = Dispatcher(
            settings, self.roll, lambda entry: over_http, self.decisions, self.metrics, log
        )
        self.flight: FlightSide | None = None
        self.membership: MembershipSide | None = None
        self.state: StateSide | None = None
        self.batch_tasks = BatchTasks(self.decisions, self.dispatcher, self.batches, self.metrics, log)
        self.loop_lag = LoopLagMonitor()
        self.validator = RequestValidator(settings, self.loop_lag, self.batches)
        self.client_listener = ClientListener(self.validator, self.batch_tasks, self.metrics, log, limits)
        self.inquiry = self.discovery(operator)
        self.decisions.on_probe = self.dispatcher.probe
        self.decisions.on_ask_list = lambda: self.inquiry.ask(by_order=True)
        # What the operator file switches on beside that, in the order in which it is opened.
        self.sides: list[Side] = self.switched_on(operator) if operator else []
        if self.flight:
            side = self.flight
            self.dispatcher.protocol = lambda entry: side.engines if side.speaks(entry) else over_http
        self.admin: Administration | None = None
        self.stop, self.renew = asyncio.Event(), asyncio.Event()
        self.inquiry.on_new_configuration = self.renew.set
        self.tasks: list[asyncio.Task] = []

    def discovery(self, operator: Operator | None) -> Inquiry | SubscribedDiscovery:
        """Where the list of engines comes from: DNS, or distributors where the operator file names them."""
        config = self.config
        if operator and operator.distribution:
            from thistlelever.lifecycle.distribution import SubscribedDiscovery

            section = operator.distribution
            return SubscribedDiscovery(config, section, self.roll, self.forget, self.decisions)
        return Inquiry(
            self.roll, self.forget, self.decisions, self.metrics, config.zones, config.kinds, config.seed
        )

    def parts(self) -> Parts:
        """What further parts are handed."""
        from thistlelever.lifecycle.parts import Parts

        return Parts(
            self.config,
            self.log,
            self.metrics,
            self.batches,
            self.roll,
            self.decisions,
            self.validator,
            self.batch_tasks,
            self.dispatcher,
            self.inquiry,
        )

    def switched_on(self, operator: Operator) -> list[Side]:
        """Each section that is there, put together; the others are not even imported."""
        parts = self.parts()
        sides: list[Side] = []
        if operator.flight:
            from thistlelever.lifecycle.flight import FlightSide

            self.flight = FlightSide(parts, operator.flight)
            sides.append(self.flight)
        if operator.state:
            from thistlelever.lifecycle.state import StateSide

            self.state = StateSide(parts, operator.state)
            sides.append(self.state)
            # Risk: a front that starts again takes an older list than it had, of a distributor that is
            # behind.
            self.inquiry.accept_from(self.state.highest_serial())
        if operator.budgets:
            from thistlelever.lifecycle.budgets import BudgetsSide

            sides.append(BudgetsSide(parts, operator.budgets))
        if operator.membership:
            from thistlelever.lifecycle.membership import MembershipSide

            self.membership = MembershipSide(parts, operator.membership)
            sides.append(self.membership)
            if operator.takeover:
                sides.append(self.takeover(parts, operator.takeover, self.membership))
        return sides

    def takeover(self, parts: Parts, section: Takeover, membership: MembershipSide) -> TakeoverSide:
        """Takeover, which hears of it where the front keeps nothing on disk."""
        from thistlelever.lifecycle.takeover import TakeoverSide

        takeover = TakeoverSide(parts, section, membership)
        if self.state:
            # A front that keeps nothing does not promise others to.
            self.state.on_failing.append(takeover.failing)
        return takeover

    def forget(self, engine: it.EngineId) -> None:
        """Connections to an engine that is gone or was started anew."""
        self.links.forget(engine)
        if self.flight:
            self.flight.engines.forget(engine)

    async def open(self, start_times: StartTimes | None = None) -> None:
        """Ready only when the list is read, the decisions are made and the port listens."""
        start_times = start_times or StartTimes()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.unforeseen)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.renew.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        await self.inquiry.open(self.config.directory)
        start_times.reached("directory")
        address = self.config.peer_listen
        if address and not self.membership:
            await patiently(
                lambda: loop.create_datagram_endpoint(lambda: Deaf(self.metrics), local_addr=address)
            )
        self.decisions.add_event(
            it.EngineListReceived(it.ListKind.CACHED, self.roll.serial, self.roll.told())
        )
        raw = await patiently(lambda: listener(self.config.listen))
        self.client_listener.listen(raw)
        start_times.reached("listening")
        further: dict = {}
        for side in self.sides:
            further |= await side.open()
            start_times.reached(type(side).__name__)
        if self.operator and self.operator.admin:
            from thistlelever.lifecycle.admin import Administration

            self.admin = Administration(self.operator.admin.socket, self.questions())
            await self.admin.listen()
        self.client_listener.ready = lambda: not self.stop.is_set()
        works = self.inquiry.run(), self.loop_lag.run(), self.housekeeping(), self.renewing()
        self.tasks = [loop.create_task(work) for work in works]
        self.log(
            "ready",
            listen=raw.getsockname(),
            engines=len(self.roll.entries),
            serial=self.roll.serial,
            links=self.links.most,
            start=start_times.stages,
            **further,
        )

    def questions(self) -> dict[str, Callable[..., dict]]:
        """What the administration may be asked, by the parts that are on."""
        asked: dict[str, Callable[..., dict]] = {"counts": lambda: dict(self.metrics.counts)}
        for part in (self.inquiry, *self.sides):
            asked |= part.questions()
        return asked

    async def run(self, start_times: StartTimes | None = None) -> None:
        """From the start to the end; `start_times` has the stages that were before."""
        await self.open(start_times)
        await self.stop.wait()
        await self.close()

    async def close(self) -> None:
        """Take what still comes, answer all that was taken, and be gone before the kill."""
        longest = max(query_class.time_limit for query_class in self.config.settings.tariffs)
        stop_at = clock.now() + min(longest, LONGEST_LIMIT) + LAST_ANSWER
        self.log("stopping", open=len(self.batches.by_number))
        self.validator.stop_at = stop_at
        for side in self.sides:
            side.stopping()
        self.batch_tasks.stop(stop_at)
        await asyncio.sleep(STILL_COMING)
        while self.batch_tasks.tasks and clock.now() < stop_at + LAST_BYTES:
            await asyncio.wait(self.batch_tasks.tasks, timeout=stop_at + LAST_BYTES - clock.now())
        # The last answers may still lie in the connections' buffers.
        await self.client_listener.finish(LAST_BYTES)
        for side in self.sides:
            await side.close(LAST_BYTES)
        if self.admin:
            await self.admin.close()
        for task in self.tasks:
            task.cancel()
        self.inquiry.close()
        self.metrics.check_invariant(not self.batches.by_number, "all answered at the end")
        self.log("stopped", counts=self.metrics.counts)

    async def renewing(self) -> None:
        """At each SIGHUP the configuration is read again; what can't be used leaves the old one in force."""
        while True:
            await self.renew.wait()
            self.renew.clear()
            if self.stop.is_set():
                continue
            try:
                new = self.read_again()
                operator = self.inquiry.overlay(self.operator_again()) if self.operator_again else None
                if operator and operator.budgets:
                    from thistlelever.lifecycle.budgets import plan

                    plan(operator.budgets)
                if new.directory != self.config.directory:
                    await self.inquiry.open(new.directory)
                # Risk: a drain that it names is known only once the directory's new address has answered.
                self.inquiry.hold(new.serial, list(new.known))
            except ConfigError as why:
                self.log("reload refused", why=str(why))
                continue
            except OSError as why:
                self.log("reload refused", why=f"dns: can't be reached: {why}")
                continue
            waiting = sorted(
                {
                    KEYS.get(name, name)
                    for name, was in self.config._asdict().items()
                    if name not in RENEWED and getattr(new, name) != was
                }
            )
            self.config = self.config._replace(directory=new.directory, peers=new.peers)
            waiting += self.renewed(operator)
            self.log("reloaded", dns=new.directory, needs_restart=waiting)

    def renewed(self, new: Operator | None) -> list[str]:
        """Take from the operator file what can change at once; the keys that wait for a restart."""
        if new is None:
            return []
        for side in self.sides:
            side.renew(new, self.config)
        if new == self.operator:
            return []
        from thistlelever.ground.operator import RELOADABLE_KEYS, changed_keys

        return changed_keys(self.operator, new, RELOADABLE_KEYS)

    def unforeseen(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """What no task heeded: logged and counted, and the front goes on."""
        self.metrics.add("unforeseen")
        self.log("unforeseen failed", why=repr(context.get("exception") or context["message"]))

    async def housekeeping(self) -> None:
        """Closes what idles and writes the counters where they have changed."""
        written, due = None, clock.now() + COUNTS_EVERY
        while True:
            await asyncio.sleep(HOUSEKEEPING)
            self.links.sweep()
            self.client_listener.sweep()
            if clock.now() >= due and self.metrics.counts != written:
                written = self.metrics.counts.copy()
                self.log(
                    "counts",
                    links=self.links.count,
                    counts=written,
                    turns=self.decisions.turns,
                    deciding=round(self.decisions.busy_seconds, 3),
                    cpu=round(process_time(), 3),
                    lag=round(self.loop_lag.worst, 4),
                )
                due, self.loop_lag.worst = clock.now() + COUNTS_EVERY, 0.0


async def serve(
    config: Config,
    log: Log,
    operator: Operator | None = None,
    operator_again: Callable[[], Operator] | None = None,
    start_times: StartTimes | None = None,
) -> int:
    """Serve until SIGTERM and all that was taken is answered."""
    office = Office(config, log, operator=operator, operator_again=operator_again)
    # What was made at the start lives as long as the front: no collection need look at it again.
    gc.collect()
    gc.freeze()
    start_times = start_times or StartTimes()
    start_times.reached("built")
    await office.run(start_times)
    return 0


async def patiently(make: Callable[[], Awaitable[T]]) -> T:
    """What `make` makes, tried for again while the machine is short of sockets or memory. Risk: a front that
    starts beside hundreds of others in one moment ends for want of what is there in the next."""
    for _ in range(MOST_STARTS):
        try:
            return await make()
        except OSError as why:
            if why.errno not in OWN_WANT:
                raise
            await asyncio.sleep(START_AGAIN)
    return await make()


async def listener(address: tuple[str, int]) -> socket.socket:
    """The socket that listens for clients."""
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.setblocking(False)
        raw.bind(address)
        raw.listen(BACKLOG)
    except OSError as why:
        raw.close()
        raise OSError(why.errno, f"listen: {address[0]}:{address[1]}: {why.strerror}") from None
    return raw
