"""The component of the operator file's section `state`: records on disk, and a start with remembered engines
while discovery is unreachable. Imported only where the section is present."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from contextlib import suppress

from thistlelever.carrier.remembered_outcomes import RememberedOutcomes
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.operator import Operator, State
from thistlelever.ground.config import Config, Entry
from thistlelever.ledger import file, records
from thistlelever.ledger.file import LedgerFile
from thistlelever.ledger.records import (
    BudgetWindow,
    CoolDown,
    IdempotencyRecord,
    LearnedEngine,
    ListedEngine,
    Timestamp,
)
from thistlelever.ledger.writer import LedgerWriter
from thistlelever.lifecycle.components import FrontContext
from thistlelever.recovery.ages import Age, AgeLimits, ClockReading, age
from thistlelever.recovery.restart import RestartRecovery, Stage
from thistlelever.store.batches import DispatchName

# Seconds between two recordings of changed state, and between two rounds of probes where no engine answers.
RECORD_INTERVAL_S, RETRY_INTERVAL_S = 1.0, 1.0
NO_AGE = Age(0.0, 0.0)


def read_boot_id() -> str:
    """The kernel's id of the present boot; empty where it can't be read."""
    with suppress(OSError), open("/proc/sys/kernel/random/boot_id") as boot_id_file:
        return boot_id_file.read().strip()
    return ""


# Read once: the time is needed for each referenced batch.
BOOT_ID = read_boot_id()


def time_now() -> ClockReading:
    """The present time by the wall clock and by the clock since boot, in seconds."""
    return ClockReading(clock.wall(), time.clock_gettime(time.CLOCK_BOOTTIME), BOOT_ID)


def moment_ago(ago: float = 0.0) -> Timestamp:
    """The time `ago` seconds before now, as records store it."""
    now = time_now()
    return Timestamp(now.wall - ago, now.since_boot - ago, now.boot)


def age_of(then: Timestamp) -> Age:
    """The bounds of the time since a stored moment, in seconds."""
    return age(then.wall, then.since_boot, then.boot, time_now())


def local_start(learnt: LearnedEngine) -> float:
    """When an engine started, on this front's clock, from a record of an earlier process; 0.0 for unknown.

    Computed from spans: had the wall clock been stepped between the two processes, the stored start could
    lie in the future, and the engine would count as cold until then.
    """
    if not learnt.started:
        return 0.0
    return clock.now() - max(learnt.at.wall - learnt.started, 0.0) - age_of(learnt.at).least


def configuration_age(path: str | None) -> Age:
    """The bounds of the time since the configuration file was changed; no age without a file."""
    if not path:
        return NO_AGE
    try:
        return age(os.path.getmtime(path), 0.0, "", time_now())
    except OSError:
        return Age(0.0, float("inf"))


class StateComponent:
    """Keeps the engine list, learned state and idempotency keys on disk, and restores them at a start."""

    start_stage = "StateSide"

    def __init__(self, context: FrontContext, section: State, config_path: str | None = None) -> None:
        """Read the store. Remembered engines that are fresh enough are in the registry at once.

        `config_path` is the configuration file, by default the one that BALANCER_CONFIG names.
        """
        self.context, self.section = context, section
        self.loop: asyncio.AbstractEventLoop | None = None
        # Called with the reason when the store begins to fail, and with an empty text when it works again.
        self.on_failing: list[Callable[[str], None]] = []
        self.writer = LedgerWriter(lambda: LedgerFile(section.path), section.every_s, self.on_writer_status)
        self.writer.open()
        config_path = config_path or os.environ.get("BALANCER_CONFIG")
        entries, ages = self.remembered_engines(context.config, configuration_age(config_path))
        self.recovery = RestartRecovery(AgeLimits(section.fresh_s, section.old_s), ages)
        self.entries = entries
        self.fresh_start = len(self.recovery.usable) == len(entries)
        if not self.fresh_start:
            self.use_remembered()
        self.serial, self.recorded_at = context.registry.serial, 0.0
        self.tasks: list[asyncio.Task] = []
        context.batch_tasks.remembered = RememberedOutcomes(
            context.config.settings,
            context.registry,
            context.metrics,
            self.remember_dispatch,
            self.find_dispatch,
        )

    # State of an earlier process.

    def remembered_engines(
        self, config: Config, config_age: Age
    ) -> tuple[dict[bytes, Entry], dict[bytes, Age]]:
        """The ready engines of the configuration and of the store, by id, and their ages.

        Of an engine in both lists the younger entry holds; one that only the older list has is dropped.
        """
        stored = {record.id: record for record in self.writer.records["listed"].values()}
        ages = {engine: age_of(record.confirmed) for engine, record in stored.items()}
        newest = min((stored_age.most for stored_age in ages.values()), default=float("inf"))
        entries: dict[bytes, Entry] = {}
        entry_ages: dict[bytes, Age] = {}
        for entry in config.known:
            if newest >= config_age.most or entry.engine.id in stored:
                entries[entry.engine.id], entry_ages[entry.engine.id] = entry, config_age
        for engine, record in stored.items():
            if ages[engine].most < entry_ages.get(engine, Age(0.0, float("inf"))).most and (
                newest < config_age.most or engine in entries
            ):
                entries[engine], entry_ages[engine] = entry_of(record), ages[engine]
        # Of two engines at one address, the younger entry holds.
        by_address: dict[tuple[str, int], bytes] = {}
        for engine in sorted(entries, key=lambda e: (entry_ages[e].most, e)):
            if by_address.setdefault(entries[engine].address, engine) != engine:
                del entry_ages[engine]
        ready = {e: entries[e] for e in entry_ages if entries[e].engine.state is it.EngineState.READY}
        return ready, {e: entry_ages[e] for e in ready}

    def use_remembered(self) -> None:
        """Put the engines that may be used into the registry. Any answer of the directory replaces them,
        whatever its serial."""
        entries = [self.entries[engine] for engine in sorted(self.recovery.usable)]
        self.context.registry.restore(entries, clock.now())

    def highest_serial(self) -> int:
        """The highest serial among the stored engines; 0 where none is stored."""
        return max((record.serial for record in self.writer.records["listed"].values()), default=0)

    def restore_learned_state(self) -> None:
        """Pass the stored state that an earlier process learned to the decisions, less what has expired."""
        kept = self.writer.records
        cooldowns = [(int(rest.key, 16), rest.left - age_of(rest.at).least) for rest in kept["rest"].values()]
        took: tuple[float, ...] = ()
        extra: tuple[float, ...] = ()
        if window := kept["window"].get(b"window"):
            elapsed = age_of(window.at).least
            took, extra = (tuple(ago + elapsed for ago in times) for times in (window.took, window.extra))
        recent = [
            record for record in kept["learnt"].values() if age_of(record.at).most <= self.section.old_s
        ]
        state = it.LearnedState(
            tuple((record.id, record.bound, record.pace, local_start(record)) for record in recent),
            tuple((key, left) for key, left in cooldowns if left > 0),
            took,
            extra,
        )
        self.context.decisions.add_event(state)

    def remember_dispatch(
        self, idempotency_key: bytes, what: tuple[it.EngineId, DispatchName, float] | None
    ) -> None:
        """Store that the batch of an idempotency key may have run: its engine, its dispatch, and for how many
        seconds repeats are dropped. None removes the key: the batch did not run."""
        if what is None:
            self.writer.drop("mark", idempotency_key)
            return
        engine, name, window = what
        self.writer.put(
            "mark",
            idempotency_key,
            IdempotencyRecord(idempotency_key, engine, name.txn, name.number, window, moment_ago()),
        )

    def find_dispatch(self, idempotency_key: bytes) -> tuple[it.EngineId, DispatchName, float] | None:
        """The engine and the dispatch stored under an idempotency key, and its age in seconds."""
        stored = self.writer.records["mark"].get(idempotency_key)
        # The upper bound of the age: an engine must not be relied on to drop repeats after its window.
        return stored and (stored.engine, DispatchName(stored.txn, stored.number), age_of(stored.ran).most)

    # Start and recording.

    async def open(self) -> dict:
        """Probe remembered engines that are too old to be used unprobed; start with those that answer."""
        self.loop = asyncio.get_running_loop()
        self.writer.start()
        if self.writer.failing:
            self.report_status(self.writer.failing)
        if not self.fresh_start:
            while self.recovery.stage in (Stage.PROBING, Stage.PROBING_OLDEST):
                await self.probe_remembered()
            self.announce_remembered()
        self.restore_learned_state()
        self.tasks = [
            self.loop.create_task(self.record_periodically()),
            self.loop.create_task(self.retry_until_found()),
        ]
        return {"state": self.recovery.stage.value, "engines_remembered": len(self.entries)}

    async def probe_remembered(self) -> None:
        """Probe all engines that are due at once, until all have answered or `within_s` has passed."""

        async def probe(engine: bytes) -> None:
            outcome, _ = await self.context.dispatcher.protocol(self.entries[engine]).probe(
                self.entries[engine]
            )
            self.recovery.record_probe(engine, outcome is it.DispatchOutcome.RETURNED)

        probes = [
            asyncio.ensure_future(probe(engine))
            for engine in sorted(self.recovery.to_probe - self.recovery.answered.keys())
        ]
        if probes:
            _, pending = await asyncio.wait(probes, timeout=self.section.within_s + 0.05)
            for task in pending:
                task.cancel()
        self.recovery.probes_timed_out()

    def announce_remembered(self) -> None:
        """Pass the remembered engines to the decisions, unless discovery has answered meanwhile."""
        if self.recovery.stage is not Stage.LISTED and not self.context.registry.serial:
            self.use_remembered()
            registry = self.context.registry
            self.context.decisions.add_event(
                it.EngineListReceived(it.ListKind.CACHED, registry.serial, registry.engine_list())
            )
            self.context.log("started by what was remembered", **self.recovery.show())

    async def retry_until_found(self) -> None:
        """Where no engine answered, probe again until one does or discovery answers."""
        while not self.fresh_start:
            await asyncio.sleep(RETRY_INTERVAL_S)
            if self.context.registry.serial:
                self.recovery.discovery_returned()
                return
            if self.recovery.retry():
                await self.probe_remembered()
                if self.recovery.usable:
                    self.announce_remembered()

    async def record_periodically(self) -> None:
        """Record changes periodically, until cancelled. Only the writer's thread touches the disk."""
        while True:
            await asyncio.sleep(RECORD_INTERVAL_S)
            self.record_changes()

    def record_changes(self) -> None:
        """Pass the engine list, where discovery confirmed it since, and the learned state to the writer."""
        registry, writer, heard_at = self.context.registry, self.writer, self.context.discovery.heard_at
        if heard_at > self.recorded_at:
            self.recorded_at, at = heard_at, moment_ago(clock.now() - heard_at)
            if self.recovery.stage is not Stage.LISTED:
                self.recovery.discovery_returned()
            for engine in [e for e in writer.records["listed"] if e not in registry.entries]:
                writer.drop("listed", engine)
                writer.drop("learnt", engine)
            for engine, entry in registry.entries.items():
                if entry.engine.state is not it.EngineState.GONE:
                    writer.put("listed", engine, listed_record(entry, registry.serial, at))
        learnt, at = self.context.decisions.front.learned_state(clock.now()), moment_ago()
        for engine, bound, pace, started in learnt.engines:
            if engine in writer.records["listed"]:
                # The front's clock means nothing to another process: the start is stored by the wall clock.
                kept_start = started and at.wall - (clock.now() - started)
                writer.put("learnt", engine, LearnedEngine(engine, bound, pace, kept_start, at))
        for key, left in learnt.cooldowns:
            # A key is a table's name as an integer, often larger than the encoding holds: stored in hex.
            writer.put("rest", b"%x" % key, CoolDown(f"{key:x}", left, at))
        if learnt.received_ago or learnt.retried_ago:
            writer.put("window", b"window", BudgetWindow(learnt.received_ago, learnt.retried_ago, at))
        self.drop_expired()

    def drop_expired(self) -> None:
        """Remove idempotency keys whose repeats no engine drops any more, and cool-downs that are over."""
        for kind, is_expired in (
            ("mark", lambda m: age_of(m.ran).least > 2 * m.window),
            ("rest", lambda r: age_of(r.at).least > r.left),
        ):
            kept = self.writer.records[kind]
            for key in list(kept)[:1_000]:
                if not is_expired(kept[key]):
                    break
                self.writer.drop(kind, key)

    # Failures of the store.

    def on_writer_status(self, failing: str) -> None:
        """Called on the writer's thread: pass a change of its status to the event loop."""
        if self.loop and not self.loop.is_closed():
            with suppress(RuntimeError):
                self.loop.call_soon_threadsafe(self.report_status, failing)

    def report_status(self, failing: str) -> None:
        """Count and log that the store fails, by its reason, or works again; call back who depends on it."""
        self.context.metrics.add(f"state: {failing.partition(':')[0]}" if failing else "state: kept again")
        self.context.log("state not kept" if failing else "state kept again", why=failing)
        for callback in self.on_failing:
            callback(failing)

    def reload(self, operator: Operator, config: Config) -> None:
        """Nothing to do: all keys of the section need a restart."""

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        """The state of the store."""
        return {"state.show": self.show}

    def show(self) -> dict:
        """How the front started, how the writer does, and the number of records by kind."""
        writer = self.writer
        return {
            "path": self.section.path,
            "failing": writer.failing,
            "stuck_s": round(writer.stuck_seconds(), 3),
            "keeps": writer.is_durable(),
            "start": self.recovery.show(),
            "writes": writer.writes,
            "written": writer.records_written,
            "longest_write_s": round(writer.longest_write, 4),
            "waiting": len(writer.dirty),
            "past_bounds": writer.evicted,
            "damaged": len(writer.damaged),
            "bytes": file.size_on_disk(self.section.path),
            "records": {kind: len(kept) for kind, kept in writer.records.items()},
        }

    def begin_shutdown(self) -> None:
        """Record what has changed, as the end may come early."""
        self.record_changes()

    async def close(self, grace: float) -> None:
        """Record the last changes and wait for the writer, up to `grace` seconds."""
        for task in self.tasks:
            task.cancel()
        self.record_changes()
        await asyncio.get_running_loop().run_in_executor(None, self.writer.close, grace)


def listed_record(entry: Entry, serial: int, at: Timestamp) -> ListedEngine:
    """The stored form of an engine, confirmed at that moment by the list of that serial."""
    e = entry.engine
    return ListedEngine(
        e.id, *entry.address, e.zone, e.cell, e.kind, int(e.state), e.started, e.size, serial, at
    )


def entry_of(kept: records.ListedEngine) -> Entry:
    """The registry's entry of a stored engine."""
    engine = it.Engine(
        kept.id, kept.zone, kept.cell, kept.kind, it.EngineState(kept.standing), kept.started, kept.size
    )
    return Entry(engine, (kept.address, kept.port))
