"""Puts together what the operator's section `state` switches on: what is kept on disk, and a start by it.
Imported only where it is there."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from contextlib import suppress

from thistlelever.carrier.recollection import Recollection
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
from thistlelever.lifecycle.parts import Parts
from thistlelever.recovery.ages import Age, AgeLimits, ClockReading, age
from thistlelever.recovery.restart import RestartRecovery, Stage
from thistlelever.store.batches import Name

# What is learnt and confirmed is written down this often, and a start that found nobody is tried again.
NOTE, AGAIN = 1.0, 1.0
ALWAYS = Age(0.0, 0.0)


def boot() -> str:
    with suppress(OSError), open("/proc/sys/kernel/random/boot_id") as told:
        return told.read().strip()
    return ""


# One for the life of a process, which asks for the time at each referenced batch.
BOOT = boot()


def now() -> ClockReading:
    """By both clocks."""
    return ClockReading(clock.wall(), time.clock_gettime(time.CLOCK_BOOTTIME), BOOT)


def moment(ago: float = 0.0) -> Timestamp:
    at = now()
    return Timestamp(at.wall - ago, at.since_boot - ago, at.boot)


def since(then: Timestamp) -> Age:
    return age(then.wall, then.since_boot, then.boot, now())


def start_since(learnt: LearnedEngine) -> float:
    """When an engine of a former life started, on this front's clock; 0.0 for none. Risk: the wall clock was
    stepped between the lives, and a start that seems to lie ahead is cold until then."""
    if not learnt.started:
        return 0.0
    return clock.now() - max(learnt.at.wall - learnt.started, 0.0) - since(learnt.at).least


def written(path: str | None) -> Age:
    """Since when the configuration may be as it is."""
    if not path:
        return ALWAYS
    try:
        return age(os.path.getmtime(path), 0.0, "", now())
    except OSError:
        return Age(0.0, float("inf"))


class StateSide:
    """The store, what goes into it, and the start by what was in it."""

    def __init__(self, parts: Parts, section: State, config_path: str | None = None) -> None:
        self.parts, self.section = parts, section
        self.loop: asyncio.AbstractEventLoop | None = None
        # Who is told when the store begins to fail, and when it does no more.
        self.on_failing: list[Callable[[str], None]] = []
        self.writer = LedgerWriter(lambda: LedgerFile(section.path), section.every_s, self.changed)
        self.writer.open()
        config_path = config_path or os.environ.get("BALANCER_CONFIG")
        entries, ages = self.remembered(parts.config, written(config_path))
        self.recovery = RestartRecovery(AgeLimits(section.fresh_s, section.old_s), ages)
        self.entries = entries
        self.fresh_start = len(self.recovery.usable) == len(entries)
        if not self.fresh_start:
            self.use()
        self.serial, self.written_at = parts.roll.serial, 0.0
        self.tasks: list[asyncio.Task] = []
        parts.courses.memory = Recollection(
            parts.config.settings, parts.roll, parts.metrics, self.remember, self.find
        )

    # What a former life knew.

    def remembered(self, config: Config, config_age: Age) -> tuple[dict[bytes, Entry], dict[bytes, Age]]:
        """Each engine that either list names, with the age of the younger word of it. What the younger of
        the two lists does not name any more is gone."""
        stored = {record.id: record for record in self.writer.records["listed"].values()}
        ages = {engine: since(record.confirmed) for engine, record in stored.items()}
        newest = min((found.most for found in ages.values()), default=float("inf"))
        entries: dict[bytes, Entry] = {}
        found: dict[bytes, Age] = {}
        for entry in config.known:
            if newest >= config_age.most or entry.engine.id in stored:
                entries[entry.engine.id], found[entry.engine.id] = entry, config_age
        for engine, record in stored.items():
            if ages[engine].most < found.get(engine, Age(0.0, float("inf"))).most and (
                newest < config_age.most or engine in entries
            ):
                entries[engine], found[engine] = listed(record), ages[engine]
        # Two under one address: the one that was heard of last is there.
        place: dict[tuple[str, int], bytes] = {}
        for engine in sorted(entries, key=lambda e: (found[e].most, e)):
            if place.setdefault(entries[engine].address, engine) != engine:
                del found[engine]
        ready = {e: entries[e] for e in found if entries[e].engine.state is it.EngineState.READY}
        return ready, {e: found[e] for e in ready}

    def use(self) -> None:
        """Into the list what may be used by now. Any answer of the directory replaces it, whatever its
        serial."""
        entries = [self.entries[engine] for engine in sorted(self.recovery.usable)]
        self.parts.roll.remember(entries, clock.now())

    def highest_serial(self) -> int:
        """The serial of the newest list that is kept; 0 where none is."""
        return max((record.serial for record in self.writer.records["listed"].values()), default=0)

    def recall(self) -> None:
        """What the decisions had learnt, told to them again."""
        kept = self.writer.records
        rests = [(int(rest.key, 16), rest.left - since(rest.at).least) for rest in kept["rest"].values()]
        took: tuple[float, ...] = ()
        extra: tuple[float, ...] = ()
        if window := kept["window"].get(b"window"):
            passed = since(window.at).least
            took, extra = (tuple(ago + passed for ago in times) for times in (window.took, window.extra))
        fresh = [one for one in kept["learnt"].values() if since(one.at).most <= self.section.old_s]
        told = it.LearnedState(
            tuple((one.id, one.bound, one.pace, start_since(one)) for one in fresh),
            tuple((key, left) for key, left in rests if left > 0),
            took,
            extra,
        )
        self.parts.desk.tell(told)

    def remember(self, mark: bytes, what: tuple[it.EngineId, Name, float] | None) -> None:
        if what is None:
            self.writer.drop("mark", mark)
            return
        engine, name, window = what
        self.writer.put(
            "mark", mark, IdempotencyRecord(mark, engine, name.txn, name.number, window, moment())
        )

    def find(self, mark: bytes) -> tuple[it.EngineId, Name, float] | None:
        found = self.writer.records["mark"].get(mark)
        # By the least that it may be its repeats would still be dropped; by the most they are not.
        return found and (found.engine, Name(found.txn, found.number), since(found.ran).most)

    # Its life.

    async def open(self) -> dict:
        """Probe the engines that the recovery has to probe, and start with who answers."""
        self.loop = asyncio.get_running_loop()
        self.writer.start()
        if self.writer.failing:
            self.changed_here(self.writer.failing)
        if not self.fresh_start:
            while self.recovery.stage in (Stage.PROBING, Stage.PROBING_OLDEST):
                await self.asking()
            self.tell_list()
        self.recall()
        self.tasks = [self.loop.create_task(self.noting()), self.loop.create_task(self.finding())]
        return {"state": self.recovery.stage.value, "engines_remembered": len(self.entries)}

    async def asking(self) -> None:
        """One round: all that are to be asked, side by side."""

        async def one(engine: bytes) -> None:
            outcome, _ = await self.parts.dispatcher.speech(self.entries[engine]).probe(self.entries[engine])
            self.recovery.record_probe(engine, outcome is it.DispatchOutcome.RETURNED)

        asked = [
            asyncio.ensure_future(one(e))
            for e in sorted(self.recovery.to_probe - self.recovery.answered.keys())
        ]
        if asked:
            _, late = await asyncio.wait(asked, timeout=self.section.within_s + 0.05)
            for task in late:
                task.cancel()
        self.recovery.probes_timed_out()

    def tell_list(self) -> None:
        if self.recovery.stage is not Stage.LISTED and not self.parts.roll.serial:
            self.use()
            roll = self.parts.roll
            self.parts.desk.tell(it.EngineListReceived(it.ListKind.CACHED, roll.serial, roll.told()))
            self.parts.log("started by what was remembered", **self.recovery.show())

    async def finding(self) -> None:
        """Where nobody answered: again and again, until somebody does or discovery is back."""
        while not self.fresh_start:
            await asyncio.sleep(AGAIN)
            if self.parts.roll.serial:
                self.recovery.discovery_returned()
                return
            if self.recovery.retry():
                await self.asking()
                if self.recovery.usable:
                    self.tell_list()

    async def noting(self) -> None:
        """Write down what is known by now; the disk is the other thread's."""
        while True:
            await asyncio.sleep(NOTE)
            self.note()

    def note(self) -> None:
        roll, writer, heard = self.parts.roll, self.writer, self.parts.inquiry.heard_at
        if heard > self.written_at:
            self.written_at, at = heard, moment(clock.now() - heard)
            if self.recovery.stage is not Stage.LISTED:
                self.recovery.discovery_returned()
            for engine in [e for e in writer.records["listed"] if e not in roll.entries]:
                writer.drop("listed", engine)
                writer.drop("learnt", engine)
            for engine, entry in roll.entries.items():
                if entry.engine.state is not it.EngineState.GONE:
                    writer.put("listed", engine, record(entry, roll.serial, at))
        learnt, at = self.parts.desk.front.learned_state(clock.now()), moment()
        for engine, bound, pace, started in learnt.engines:
            if engine in writer.records["listed"]:
                # A moment of the front's own clock means nothing to another life.
                kept_start = started and at.wall - (clock.now() - started)
                writer.put("learnt", engine, LearnedEngine(engine, bound, pace, kept_start, at))
        for key, left in learnt.cooldowns:
            # A table's name as a number: longer than any field of numbers.
            writer.put("rest", b"%x" % key, CoolDown(f"{key:x}", left, at))
        if learnt.received_ago or learnt.retried_ago:
            writer.put("window", b"window", BudgetWindow(learnt.received_ago, learnt.retried_ago, at))
        self.forget()

    def forget(self) -> None:
        """What can matter no more: marks whose repeats nobody drops, keys that have rested."""
        for kind, over in (
            ("mark", lambda m: since(m.ran).least > 2 * m.window),
            ("rest", lambda r: since(r.at).least > r.left),
        ):
            kept = self.writer.records[kind]
            for key in list(kept)[:1_000]:
                if not over(kept[key]):
                    break
                self.writer.drop(kind, key)

    # Failing.

    def changed(self, failing: str) -> None:
        """On the writing thread."""
        if self.loop and not self.loop.is_closed():
            with suppress(RuntimeError):
                self.loop.call_soon_threadsafe(self.changed_here, failing)

    def changed_here(self, failing: str) -> None:
        self.parts.metrics.add(f"state: {failing.partition(':')[0]}" if failing else "state: kept again")
        self.parts.log("state not kept" if failing else "state kept again", why=failing)
        for told in self.on_failing:
            told(failing)

    def renew(self, operator: Operator, config: Config) -> None:
        """All of it waits for a restart."""

    def questions(self) -> dict[str, Callable[..., dict]]:
        return {"state.show": self.show}

    def show(self) -> dict:
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

    def stopping(self) -> None:
        self.note()

    async def close(self, grace: float) -> None:
        for task in self.tasks:
            task.cancel()
        self.note()
        await asyncio.get_running_loop().run_in_executor(None, self.writer.close, grace)


def record(entry: Entry, serial: int, at: Timestamp) -> ListedEngine:
    e = entry.engine
    return ListedEngine(
        e.id, *entry.address, e.zone, e.cell, e.kind, int(e.state), e.started, e.size, serial, at
    )


def listed(kept: records.ListedEngine) -> Entry:
    engine = it.Engine(
        kept.id, kept.zone, kept.cell, kept.kind, it.EngineState(kept.standing), kept.started, kept.size
    )
    return Entry(engine, (kept.address, kept.port))
