"""Start, run, reload and shut down one front."""

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
from thistlelever.carrier.directory import DirectoryClient, PeerDatagramSink
from thistlelever.carrier.dispatch import Dispatcher
from thistlelever.carrier.http_engines import HttpEngines
from thistlelever.carrier.validation import RequestValidator
from thistlelever.carrier.loop_lag import LoopLagMonitor
from thistlelever.ground import clock
from thistlelever.ground.log import Log
from thistlelever.ground.settings import ConfigError
from thistlelever.ground.config import Config, load
from thistlelever.lifecycle.memory_monitor import MemoryMonitor
from thistlelever.lifecycle.start_times import StartTimes
from thistlelever.store.batches import Batches
from thistlelever.store.connection_limits import connection_limits
from thistlelever.store.connections import LOCAL_SHORTAGE_ERRNOS, ConnectionPool
from thistlelever.store.engine_registry import EngineRegistry
from thistlelever.ground.metrics import Metrics
from thistlelever.store.request_memory import RequestMemory
from thistlelever.store.result_memory import ResultMemory

if TYPE_CHECKING:
    from thistlelever.ground.operator import Operator, Takeover
    from thistlelever.lifecycle.admin import AdminServer
    from thistlelever.lifecycle.distribution import SubscribedDiscovery
    from thistlelever.lifecycle.flight import FlightComponent
    from thistlelever.lifecycle.membership import MembershipComponent
    from thistlelever.lifecycle.components import Component, FrontContext
    from thistlelever.lifecycle.state import StateComponent
    from thistlelever.lifecycle.takeover import TakeoverComponent

# After SIGTERM, requests go on arriving for 0.6 s. SIGKILL follows 0.7 s after the longest time limit at the
# earliest, of which at most 3 s count; the last answers must be written before.
ACCEPT_AFTER_SIGTERM_S, MAX_DRAIN_S, ANSWER_GRACE_S = 0.75, 3.0, 0.3
# The time in which the last answers leave the connections' buffers.
FLUSH_TIMEOUT_S = 0.2
# Many clients connect at once when a front is added.
BACKLOG = 512
# Fields that SIGHUP reloads, and those used at a start only: a change of them needs no restart.
RELOADED_FIELDS = ("directory", "serial", "known", "seed", "peers")
# The configuration file's keys of fields whose names differ from them.
FILE_KEYS = {name: f"limits.{name}" for name in ("sockets", "memory_mb", "cores")} | dict.fromkeys(
    ("zones", "kinds", "idle", "answer_slack", "settings"), "settings"
)
HOUSEKEEPING_INTERVAL_S, COUNTS_LOG_INTERVAL_S = 0.5, 6.0
# Retries of a start that lacks sockets or memory, and the seconds between them.
MAX_RETRIES, RETRY_INTERVAL_S = 50, 0.1

T = TypeVar("T")


class FrontServer:
    """One front: builds its objects, opens them, reloads them on SIGHUP, and closes them on SIGTERM."""

    def __init__(
        self,
        config: Config,
        log: Log,
        reread_config: Callable[[], Config] = load,
        operator: Operator | None = None,
        reread_operator: Callable[[], Operator] | None = None,
    ) -> None:
        """Build all objects, without opening a socket.

        The operator file, where there is one, enables the optional components. `reread_config` and
        `reread_operator` read the files again at a reload, and raise `ConfigError` where they are invalid.
        """
        self.config, self.log, self.reread_config = config, log, reread_config
        self.operator, self.reread_operator = operator, reread_operator
        self.metrics, self.batches, self.registry = Metrics(), Batches(), EngineRegistry()
        self.registry.replace(config.serial, list(config.known), clock.now())
        settings = config.settings
        self.decisions = DecisionLoop(
            Front(settings, config.seed), settings.tick, self.batches, self.metrics, log
        )
        flight = operator.flight if operator else None
        limits = connection_limits(config.sockets, config.memory_mb, flight.descriptors if flight else 0)
        self.connections = ConnectionPool(
            limits.engine_connections, config.idle, settings.connect_limit, self.metrics
        )
        self.connections.is_listed = self.registry.is_listed
        self.connections.is_reachable = self.registry.is_reachable
        self.connections.is_taken_over = self.registry.is_taken_over
        over_http = HttpEngines(settings, self.registry, self.connections, self.decisions, self.metrics)
        over_http.result_memory = ResultMemory(limits.result_bytes)
        self.dispatcher = Dispatcher(
            settings, self.registry, lambda entry: over_http, self.decisions, self.metrics, log
        )
        self.flight: FlightComponent | None = None
        self.membership: MembershipComponent | None = None
        self.state: StateComponent | None = None
        self.batch_tasks = BatchTasks(self.decisions, self.dispatcher, self.batches, self.metrics, log)
        request_memory = RequestMemory(limits.request_bytes, limits.client_connections)
        self.batch_tasks.request_memory = request_memory
        self.batch_tasks.retry_after = settings.longest_return if settings.names_return else 0.0
        self.loop_lag = LoopLagMonitor()
        self.validator = RequestValidator(settings, self.loop_lag, self.batches)
        self.client_listener = ClientListener(self.validator, self.batch_tasks, self.metrics, log, limits)
        self.memory = MemoryMonitor(
            config.memory_mb, self.client_listener, request_memory, self.connections, log
        )
        self.discovery = self.build_discovery(operator)
        self.decisions.on_probe = self.dispatcher.probe
        self.decisions.on_ask_list = lambda: self.discovery.poll(requested=True)
        # Optional components, in the order in which they are opened.
        self.components: list[Component] = self.build_components(operator) if operator else []
        if self.flight:
            component = self.flight
            self.dispatcher.protocol = (
                lambda entry: component.engines if component.speaks_flight(entry) else over_http
            )
        self.admin: AdminServer | None = None
        self.stop, self.reload_requested = asyncio.Event(), asyncio.Event()
        self.discovery.on_new_configuration = self.reload_requested.set
        self.tasks: list[asyncio.Task] = []

    def build_discovery(self, operator: Operator | None) -> DirectoryClient | SubscribedDiscovery:
        """The source of the engine list: DNS, or the distributors that the operator file names."""
        config = self.config
        if operator and operator.distribution:
            from thistlelever.lifecycle.distribution import SubscribedDiscovery

            section = operator.distribution
            return SubscribedDiscovery(config, section, self.registry, self.forget, self.decisions)
        return DirectoryClient(
            self.registry, self.forget, self.decisions, self.metrics, config.zones, config.kinds, config.seed
        )

    def component_context(self) -> FrontContext:
        """The objects that optional components receive."""
        from thistlelever.lifecycle.components import FrontContext

        return FrontContext(
            self.config,
            self.log,
            self.metrics,
            self.batches,
            self.registry,
            self.decisions,
            self.validator,
            self.batch_tasks,
            self.dispatcher,
            self.discovery,
        )

    def build_components(self, operator: Operator) -> list[Component]:
        """A component for each section that is present; modules of the others are not imported."""
        context = self.component_context()
        components: list[Component] = []
        if operator.flight:
            from thistlelever.lifecycle.flight import FlightComponent

            self.flight = FlightComponent(context, operator.flight)
            components.append(self.flight)
        if operator.state:
            from thistlelever.lifecycle.state import StateComponent

            self.state = StateComponent(context, operator.state)
            components.append(self.state)
            # Otherwise a restarted front could accept an older list than it had from a lagging distributor.
            self.discovery.resume_from(self.state.highest_serial())
        if operator.budgets:
            from thistlelever.lifecycle.budgets import BudgetsComponent

            components.append(BudgetsComponent(context, operator.budgets))
        if operator.membership:
            from thistlelever.lifecycle.membership import MembershipComponent

            self.membership = MembershipComponent(context, operator.membership)
            components.append(self.membership)
            if operator.takeover:
                components.append(self.build_takeover(context, operator.takeover, self.membership))
        return components

    def build_takeover(
        self, context: FrontContext, section: Takeover, membership: MembershipComponent
    ) -> TakeoverComponent:
        """The component for takeover, connected to the store's failures where the front has a store."""
        from thistlelever.lifecycle.takeover import TakeoverComponent

        takeover = TakeoverComponent(context, section, membership)
        if self.state:
            # A front whose store fails must not promise to keep records for others.
            self.state.on_failing.append(takeover.set_storage_failure)
        return takeover

    def forget(self, engine: it.EngineId) -> None:
        """Close the connections to an engine that is gone or has restarted."""
        self.connections.drop_engine(engine)
        if self.flight:
            self.flight.engines.forget(engine)

    async def open(self, start_times: StartTimes | None = None) -> None:
        """Open everything, and log `ready` once the decisions have the engine list and the port listens.

        Raises `OSError` where an address can't be bound.
        """
        start_times = start_times or StartTimes()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.log_unhandled_exception)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_requested.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        await self.discovery.open(self.config.directory)
        start_times.finish_stage("directory")
        address = self.config.peer_listen
        if address and not self.membership:
            await retry_while_out_of_resources(
                lambda: loop.create_datagram_endpoint(
                    lambda: PeerDatagramSink(self.metrics), local_addr=address
                )
            )
        self.decisions.add_event(
            it.EngineListReceived(it.ListKind.CACHED, self.registry.serial, self.registry.engine_list())
        )
        sock = await retry_while_out_of_resources(lambda: listening_socket(self.config.listen))
        self.client_listener.listen(sock)
        start_times.finish_stage("listening")
        facts: dict = {}
        for component in self.components:
            facts |= await component.open()
            start_times.finish_stage(component.start_stage)
        if self.operator and self.operator.admin:
            from thistlelever.lifecycle.admin import AdminServer

            self.admin = AdminServer(self.operator.admin.socket, self.admin_handlers())
            await self.admin.listen()
        self.client_listener.ready = lambda: not self.stop.is_set()
        coroutines = self.discovery.run(), self.loop_lag.run(), self.housekeeping(), self.reload_on_request()
        self.tasks = [loop.create_task(coroutine) for coroutine in coroutines]
        self.log(
            "ready",
            listen=sock.getsockname(),
            engines=len(self.registry.entries),
            serial=self.registry.serial,
            links=self.connections.limit,
            start=start_times.stages,
            **facts,
        )

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        """The handlers of the admin socket: the counters, and those of discovery and the components."""
        handlers: dict[str, Callable[..., dict]] = {"counts": lambda: dict(self.metrics.counts)}
        for component in (self.discovery, *self.components):
            handlers |= component.admin_handlers()
        return handlers

    async def run(self, start_times: StartTimes | None = None) -> None:
        """Open, serve until SIGTERM, and close. `start_times` has the stages before the call."""
        await self.open(start_times)
        await self.stop.wait()
        await self.close()

    async def close(self) -> None:
        """Accept requests a little longer, answer all that were taken, and stop before SIGKILL."""
        longest_time_limit = max(query_class.time_limit for query_class in self.config.settings.tariffs)
        stop_at = clock.now() + min(longest_time_limit, MAX_DRAIN_S) + ANSWER_GRACE_S
        self.log("stopping", open=len(self.batches.by_number))
        self.validator.stop_at = stop_at
        for component in self.components:
            component.begin_shutdown()
        self.batch_tasks.stop(stop_at)
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        while self.batch_tasks.tasks and clock.now() < stop_at + FLUSH_TIMEOUT_S:
            await asyncio.wait(self.batch_tasks.tasks, timeout=stop_at + FLUSH_TIMEOUT_S - clock.now())
        # The last answers may still lie in the connections' buffers.
        await self.client_listener.finish(FLUSH_TIMEOUT_S)
        for component in self.components:
            await component.close(FLUSH_TIMEOUT_S)
        if self.admin:
            await self.admin.close()
        for task in self.tasks:
            task.cancel()
        self.discovery.close()
        self.metrics.check_invariant(not self.batches.by_number, "all answered at the end")
        self.log("stopped", counts=self.metrics.counts, decisions=self.decisions.front.summary())

    async def reload_on_request(self) -> None:
        """Reread the files at each request, by SIGHUP or by a distributor; invalid ones change nothing."""
        while True:
            await self.reload_requested.wait()
            self.reload_requested.clear()
            if self.stop.is_set():
                continue
            try:
                new_config = self.reread_config()
                operator = self.discovery.overlay(self.reread_operator()) if self.reread_operator else None
                if operator and operator.budgets:
                    from thistlelever.lifecycle.budgets import build_plan

                    build_plan(operator.budgets)
                if new_config.directory != self.config.directory:
                    await self.discovery.open(new_config.directory)
                # At once: waiting for the directory's answer would delay a drain that only the file names.
                self.discovery.adopt_configured(new_config.serial, list(new_config.known))
            except ConfigError as error:
                self.log("reload refused", why=str(error))
                continue
            except OSError as error:
                self.log("reload refused", why=f"dns: can't be reached: {error}")
                continue
            needs_restart = sorted(
                {
                    FILE_KEYS.get(name, name)
                    for name, old_value in self.config._asdict().items()
                    if name not in RELOADED_FIELDS and getattr(new_config, name) != old_value
                }
            )
            self.config = self.config._replace(directory=new_config.directory, peers=new_config.peers)
            needs_restart += self.reload_operator_file(operator)
            self.log("reloaded", dns=new_config.directory, needs_restart=needs_restart)

    def reload_operator_file(self, operator: Operator | None) -> list[str]:
        """Apply what can change without a restart. Returns the changed keys that need one."""
        if operator is None:
            return []
        for component in self.components:
            component.reload(operator, self.config)
        if operator == self.operator:
            return []
        from thistlelever.ground.operator import RELOADABLE_KEYS, changed_keys

        return changed_keys(self.operator, operator, RELOADABLE_KEYS)

    def log_unhandled_exception(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        """Log and count an exception that no task handled; the front goes on."""
        self.metrics.add("unforeseen")
        self.log("unforeseen failed", why=repr(context.get("exception") or context["message"]))

    async def housekeeping(self) -> None:
        """Close idle connections, and log the counters where they have changed; until cancelled."""
        logged, next_log_at = None, clock.now() + COUNTS_LOG_INTERVAL_S
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.connections.close_expired()
            self.client_listener.sweep()
            self.decisions.check_lost_dispatches()
            self.memory.sample()
            if clock.now() >= next_log_at and self.metrics.counts != logged:
                logged = self.metrics.counts.copy()
                self.log(
                    "counts",
                    links=self.connections.count,
                    memory=self.memory.report(),
                    counts=logged,
                    turns=self.decisions.turns,
                    deciding=round(self.decisions.busy_seconds, 3),
                    cpu=round(process_time(), 3),
                    lag=round(self.loop_lag.worst, 4),
                    decisions=self.decisions.front.summary(),
                )
                next_log_at, self.loop_lag.worst = clock.now() + COUNTS_LOG_INTERVAL_S, 0.0


async def serve(
    config: Config,
    log: Log,
    operator: Operator | None = None,
    reread_operator: Callable[[], Operator] | None = None,
    start_times: StartTimes | None = None,
) -> int:
    """Run one front until SIGTERM, and return the exit code.

    Raises `ConfigError` where a section of the operator file does not fit the configuration, and `OSError`
    where an address can't be bound.
    """
    server = FrontServer(config, log, operator=operator, reread_operator=reread_operator)
    # Objects of the start live as long as the front: exclude them from later garbage collections.
    gc.collect()
    gc.freeze()
    start_times = start_times or StartTimes()
    start_times.finish_stage("built")
    await server.run(start_times)
    return 0


async def retry_while_out_of_resources(make: Callable[[], Awaitable[T]]) -> T:
    """The result of `make`, retried while the machine lacks sockets or memory.

    When hundreds of fronts start at the same moment, the shortage is over a moment later; without retries a
    front would exit. Raises the last `OSError`, and others at once.
    """
    for _ in range(MAX_RETRIES):
        try:
            return await make()
        except OSError as error:
            if error.errno not in LOCAL_SHORTAGE_ERRNOS:
                raise
            await asyncio.sleep(RETRY_INTERVAL_S)
    return await make()


async def listening_socket(address: tuple[str, int]) -> socket.socket:
    """A listening TCP socket for clients. Raises `OSError` with the address in its text."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"listen: {address[0]}:{address[1]}: {error.strerror}") from None
    return sock
