"""The list of engines with its serial, by id: a new engine may have the address of a gone one."""

from __future__ import annotations

from typing import NamedTuple

from thistlelever.admission import interface as it


class Entry(NamedTuple):
    """An engine and where it listens."""

    engine: it.Engine
    address: tuple[str, int]


class Roll:
    """The newest list. An engine that has left it stays known, as its dispatches may still be out."""

    def __init__(self) -> None:
        self.serial = 0
        self.entries: dict[it.EngineId, Entry] = {}
        self.left: dict[it.EngineId, float] = {}

    def replace(self, serial: int, entries: list[Entry], now: float) -> list[it.EngineId] | None:
        """Take a whole list, unless it is no newer than the one held; the engines that are not what they
        were, gone or started anew."""
        if serial < self.serial or serial == self.serial and self.entries:
            return None
        self.serial = serial
        listed = {entry.engine.id: entry for entry in entries}
        for known, entry in self.entries.items():
            if known not in listed:
                gone = entry.engine._replace(standing=it.Standing.GONE)
                listed[known] = entry._replace(engine=gone)
        for engine, entry in listed.items():
            if entry.engine.standing is it.Standing.READY:
                self.left.pop(engine, None)
            else:
                self.left.setdefault(engine, now)
        changed = [known for known, entry in self.entries.items() if place(entry) != place(listed[known])]
        self.entries = listed
        return changed

    def told(self) -> tuple[it.Engine, ...]:
        """The list as the decisions are told it: what is gone has no place in it."""
        engines = (entry.engine for entry in self.entries.values())
        return tuple(e for e in engines if e.standing is not it.Standing.GONE)

    def open_to(self, engine: it.EngineId) -> bool:
        """Whether something new may still be sent there."""
        return engine not in self.left


def place(entry: Entry) -> tuple:
    """What a connection was made to."""
    return entry.address, entry.engine.started, entry.engine.standing is it.Standing.GONE
