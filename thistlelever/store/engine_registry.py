"""The engine list in force, by engine id: a new engine may have the address of one that is gone."""

from __future__ import annotations

from collections import Counter

from thistlelever.ground import interface as it
from thistlelever.ground.config import Entry
from thistlelever.store.engine_starts import EngineStarts


class EngineRegistry:
    """The newest engine list. An engine that has left it is kept while it has running dispatches."""

    def __init__(self) -> None:
        """Start without engines."""
        # Number of running dispatches by engine.
        self.dispatches: Counter[it.EngineId] = Counter()
        self.serial = 0
        self.starts = EngineStarts()
        # Number of lists adopted. Serials are assigned by the directory and may restart.
        self.revision = 0
        self.entries: dict[it.EngineId, Entry] = {}
        self.not_ready_since: dict[it.EngineId, float] = {}
        # The listed engine that has an address now.
        self.address_owners: dict[tuple[str, int], it.EngineId] = {}
        # Maximum number of fronts that may send to any one of these engines; 0: all fronts.
        self.sharing_fronts = 0
        # Engines that are ready in the list in force but not in an unconfirmed answer.
        self.closed_engines: frozenset[it.EngineId] = frozenset()
        # Engines whose process has certainly ended: their running dispatches are lost.
        self.ended_engines: set[it.EngineId] = set()

    def replace(self, serial: int, entries: list[Entry], now: float) -> list[it.EngineId] | None:
        """Adopt a list if it is newer than the current one; `now` is in seconds on the front's clock.

        Returns the engines that are gone, moved or restarted, or None if the list was not adopted.
        """
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
        """Adopt a list that is known to be the newest, regardless of its serial.

        Returns as `replace`; `last_heard` and `wall_ahead` are those of `EngineStarts.learn`.
        """
        self.starts.learn((entry.engine for entry in entries), now, last_heard, wall_ahead)
        self.serial, self.revision = serial, self.revision + 1
        self.address_owners = {entry.address: entry.engine.id for entry in entries}
        listed = {entry.engine.id: entry for entry in entries}
        for known, entry in self.entries.items():
            if known not in listed and (
                self.dispatches[known] or entry.engine.state is not it.EngineState.GONE
            ):
                gone = entry.engine._replace(state=it.EngineState.GONE)
                listed[known] = entry._replace(engine=gone)
        # Without this the table, which is walked at each change, would grow when all engines are replaced.
        self.not_ready_since = {engine: at for engine, at in self.not_ready_since.items() if engine in listed}
        for engine, entry in listed.items():
            if entry.engine.state is it.EngineState.READY:
                self.not_ready_since.pop(engine, None)
            else:
                self.not_ready_since.setdefault(engine, now)
        changed = [
            known
            for known, entry in self.entries.items()
            if known not in listed or connection_identity(entry) != connection_identity(listed[known])
        ]
        self.entries = listed
        self.ended_engines &= listed.keys()
        return changed

    def restore(self, entries: list[Entry], now: float) -> None:
        """Adopt a list from stored state; any list from discovery is newer."""
        self.starts.learn((entry.engine for entry in entries), now, None, 0.0)
        self.serial, self.revision = 0, self.revision + 1
        self.entries = {entry.engine.id: entry for entry in entries}

    def states(self) -> dict[it.EngineId, it.EngineState]:
        """Return the state of each known engine."""
        return {engine: entry.engine.state for engine, entry in self.entries.items()}

    def dispatch_started(self, engine: it.EngineId) -> None:
        """Count a dispatch to the engine."""
        self.dispatches[engine] += 1

    def dispatch_ended(self, engine: it.EngineId) -> None:
        """Count the end of a dispatch to the engine."""
        self.dispatches[engine] -= 1
        if not self.dispatches[engine]:
            del self.dispatches[engine]

    def is_listed(self, engine: it.EngineId) -> bool:
        """Return whether the engine is in the list in force."""
        return engine in self.entries and self.entries[engine].engine.state is not it.EngineState.GONE

    def is_reachable(self, entry: Entry) -> bool:
        """Return whether the entry's address still belongs to its engine, as far as is known."""
        return entry.engine.id not in self.ended_engines and not self.is_taken_over(entry)

    def is_taken_over(self, entry: Entry) -> bool:
        """Return whether the entry's address belongs to another engine now."""
        return self.address_owners.get(entry.address, entry.engine.id) != entry.engine.id

    def engine_list(self) -> tuple[it.Engine, ...]:
        """Return the list for the decisions.

        It is without engines that are gone, has closed engines as draining, and start times on this front's
        clock.
        """
        return tuple(self.adjusted(entry.engine) for entry in self.listed_entries().values())

    def adjusted(self, engine: it.Engine) -> it.Engine:
        """Return the engine as it appears in `engine_list`."""
        state = it.EngineState.DRAINING if engine.id in self.closed_engines else engine.state
        started = self.starts.started_at(engine)
        if (state, started) == (engine.state, engine.started):
            return engine
        return engine._replace(state=state, started=started)

    def listed_entries(self) -> dict[it.EngineId, Entry]:
        """Return the list in force as received, without engines that have left it."""
        return {
            engine: entry
            for engine, entry in self.entries.items()
            if entry.engine.state is not it.EngineState.GONE
        }

    def accepts_dispatches(self, engine: it.EngineId) -> bool:
        """Return whether new dispatches may be sent to the engine."""
        return (
            engine in self.entries
            and engine not in self.not_ready_since
            and engine not in self.closed_engines
        )


def transitions(
    before: dict[it.EngineId, it.EngineState],
    after: dict[it.EngineId, it.EngineState],
) -> dict[str, str]:
    """Return the engines whose state differs between two lists, with their new states, for the log."""
    changed = {
        engine: after.get(engine, it.EngineState.GONE)
        for engine in before | after
        if before.get(engine, it.EngineState.GONE) is not after.get(engine, it.EngineState.GONE)
    }
    return {engine.decode("latin-1"): state.name.lower() for engine, state in sorted(changed.items())}


def connection_identity(entry: Entry) -> tuple:
    """Return what identifies a connection's peer: address, start time, and whether the engine is gone."""
    return entry.address, entry.engine.started, entry.engine.state is it.EngineState.GONE
