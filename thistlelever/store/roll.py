"""The list of engines with its serial, by id: a new engine may have the address of a gone one."""

from __future__ import annotations

from collections import Counter
from thistlelever.ground import interface as it
from thistlelever.ground.config import Entry
from thistlelever.store.engine_starts import EngineStarts


class Roll:
    """The newest list. An engine that has left it stays known for as long as something of it is out."""

    def __init__(self) -> None:
        # Engines that a dispatch is out to, with how many.
        self.out: Counter[it.EngineId] = Counter()
        self.serial = 0
        self.starts = EngineStarts()
        # Counts the lists taken. Serials are the directory's, and may begin anew.
        self.revision = 0
        self.entries: dict[it.EngineId, Entry] = {}
        self.left: dict[it.EngineId, float] = {}
        # Which listed engine has an address now.
        self.owners: dict[tuple[str, int], it.EngineId] = {}
        # How many fronts may send to any one of these engines, where that is fewer than all; 0: all.
        self.sharing = 0
        # Engines that the list in force names as ready, and an answer in doubt does not.
        self.closed: frozenset[it.EngineId] = frozenset()
        # Engines whose process has surely ended: what is still out there is lost.
        self.ended: set[it.EngineId] = set()

    def replace(self, serial: int, entries: list[Entry], now: float) -> list[it.EngineId] | None:
        """Take a whole list, unless it is no newer than the one held; the engines that are not what they
        were, gone or started anew."""
        if serial < self.serial or serial == self.serial and self.entries:
            return None
        return self.update(serial, entries, now)

    def update(
        self,
        serial: int,
        entries: list[Entry],
        now: float,
        last_heard: float | None = None,
        wall_ahead: float = 0.0,
    ) -> list[it.EngineId]:
        """As `replace`, of a list that is known to be the newest, whatever its serial. `last_heard` and
        `wall_ahead` as in `EngineStarts.learn`."""
        self.starts.learn((entry.engine for entry in entries), now, last_heard, wall_ahead)
        self.serial, self.revision = serial, self.revision + 1
        self.owners = {entry.address: entry.engine.id for entry in entries}
        listed = {entry.engine.id: entry for entry in entries}
        for known, entry in self.entries.items():
            if known not in listed and (self.out[known] or entry.engine.state is not it.EngineState.GONE):
                gone = entry.engine._replace(state=it.EngineState.GONE)
                listed[known] = entry._replace(engine=gone)
        # Risk: a list that only grows, walked whole at each change, on a day that replaces all engines.
        self.left = {engine: at for engine, at in self.left.items() if engine in listed}
        for engine, entry in listed.items():
            if entry.engine.state is it.EngineState.READY:
                self.left.pop(engine, None)
            else:
                self.left.setdefault(engine, now)
        changed = [
            known
            for known, entry in self.entries.items()
            if known not in listed or place(entry) != place(listed[known])
        ]
        self.entries = listed
        self.ended &= listed.keys()
        return changed

    def remember(self, entries: list[Entry], now: float) -> None:
        """Take a list that the directory did not tell; any answer of the directory is newer."""
        self.starts.learn((entry.engine for entry in entries), now, None, 0.0)
        self.serial, self.revision = 0, self.revision + 1
        self.entries = {entry.engine.id: entry for entry in entries}

    def states(self) -> dict[it.EngineId, it.EngineState]:
        """What each engine that is known is held to be."""
        return {engine: entry.engine.state for engine, entry in self.entries.items()}

    def begin(self, engine: it.EngineId) -> None:
        self.out[engine] += 1

    def end(self, engine: it.EngineId) -> None:
        self.out[engine] -= 1
        if not self.out[engine]:
            del self.out[engine]

    def listed(self, engine: it.EngineId) -> bool:
        return engine in self.entries and self.entries[engine].engine.state is not it.EngineState.GONE

    def reachable(self, entry: Entry) -> bool:
        """Whether the address of the entry still is its engine's, as far as is known."""
        return (
            entry.engine.id not in self.ended
            and self.owners.get(entry.address, entry.engine.id) == entry.engine.id
        )

    def told(self) -> tuple[it.Engine, ...]:
        """The list as the decisions are told it: what is gone has no place in it, what is closed drains, and
        starts are on this front's clock."""
        return tuple(self.told_as(entry.engine) for entry in self.listing().values())

    def told_as(self, engine: it.Engine) -> it.Engine:
        """The engine as the decisions are told it."""
        state = it.EngineState.DRAINING if engine.id in self.closed else engine.state
        started = self.starts.of(engine)
        if (state, started) == (engine.state, engine.started):
            return engine
        return engine._replace(state=state, started=started)

    def listing(self) -> dict[it.EngineId, Entry]:
        """The list in force as it was told, without those that have left it."""
        return {
            engine: entry
            for engine, entry in self.entries.items()
            if entry.engine.state is not it.EngineState.GONE
        }

    def open_to(self, engine: it.EngineId) -> bool:
        """Whether something new may still be sent there."""
        return engine in self.entries and engine not in self.left and engine not in self.closed


def transitions(
    before: dict[it.EngineId, it.EngineState],
    after: dict[it.EngineId, it.EngineState],
) -> dict[str, str]:
    """For the log: the engines whose state has changed between two lists, with the new state of each."""
    changed = {
        engine: after.get(engine, it.EngineState.GONE)
        for engine in before | after
        if before.get(engine, it.EngineState.GONE) is not after.get(engine, it.EngineState.GONE)
    }
    return {engine.decode("latin-1"): state.name.lower() for engine, state in sorted(changed.items())}


def place(entry: Entry) -> tuple:
    """What a connection was made to."""
    return entry.address, entry.engine.started, entry.engine.state is it.EngineState.GONE
