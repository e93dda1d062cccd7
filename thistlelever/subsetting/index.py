"""All engines by zone, by cell, and by the requirements of query classes."""

from __future__ import annotations

from typing import TypeVar

from thistlelever.subsetting.ring import Ring, engine_positions
from thistlelever.subsetting.types import ANY_ENGINE, Engine, Requirement

Key = TypeVar("Key")


class EngineIndex:
    """The engines on a ring of all, a ring for each zone and each cell, and, for each requirement that was
    looked up, a ring of the engines that meet it and are not draining."""

    def __init__(self) -> None:
        """Creates an empty index."""
        # Incremented by each change that can alter a subset; other changes of a record do not count.
        self.revision = 0
        # The number of engines that are not alone in their cell.
        self.engines_sharing_cell = 0
        self.records: dict[str, Engine] = {}
        self.positions: dict[str, int] = {}
        self.all = Ring()
        self.zones: dict[str, Ring] = {}
        self._cells: dict[tuple[str, int], Ring] = {}
        self._matching: dict[Requirement, Ring] = {ANY_ENGINE: Ring()}

    def put(self, record: Engine) -> None:
        """Adds an engine, or replaces its record."""
        before = self.records.get(record.id)
        if before is not None:
            if _placement_fields(before) == _placement_fields(record):
                self.records[record.id] = record
                return
            self.discard(record.id)
        position, cell_position = engine_positions(record.id)
        self.revision += 1
        self.records[record.id], self.positions[record.id] = record, position
        self.all.add(position, record.id)
        self.zones.setdefault(record.zone, Ring()).add(position, record.id)
        cell = self._cells.setdefault((record.zone, record.cell), Ring())
        cell.add(cell_position, record.id)
        self.engines_sharing_cell += _sharing_change(len(cell))
        for requirement, ring in self._matching.items():
            if not record.draining and requirement.matches(record):
                ring.add(position, record.id)

    def discard(self, engine_id: str) -> None:
        """Removes an engine; does nothing if it is not in the index."""
        record = self.records.pop(engine_id, None)
        if record is None:
            return
        position, cell_position = engine_positions(engine_id)
        self.revision += 1
        del self.positions[engine_id]
        self.all.remove(position, engine_id)
        _remove_from_ring(self.zones, record.zone, position, engine_id)
        self.engines_sharing_cell -= _sharing_change(len(self._cells[record.zone, record.cell]))
        _remove_from_ring(self._cells, (record.zone, record.cell), cell_position, engine_id)
        for requirement, ring in self._matching.items():
            if not record.draining and requirement.matches(record):
                ring.remove(position, engine_id)

    def matching(self, requirement: Requirement) -> Ring:
        """The ring of the engines that meet a requirement and are not draining."""
        ring = self._matching.get(requirement)
        if ring is None:
            ring = self._matching[requirement] = Ring()
            for engine_id, record in self.records.items():
                if not record.draining and requirement.matches(record):
                    ring.add(self.positions[engine_id], engine_id)
        return ring

    def next_in_cell(self, engine_id: str) -> str:
        """The engine after this one in its cell; itself if it is alone."""
        return self._cell_ring(engine_id).successor(engine_positions(engine_id)[1], engine_id)

    def previous_in_cell(self, engine_id: str) -> str:
        """The engine before this one in its cell; itself if it is alone."""
        return self._cell_ring(engine_id).predecessor(engine_positions(engine_id)[1], engine_id)

    def _cell_ring(self, engine_id: str) -> Ring:
        record = self.records[engine_id]
        return self._cells[record.zone, record.cell]


def _sharing_change(members: int) -> int:
    """The change of `engines_sharing_cell` by the engine that brings a cell to `members` engines."""
    return {1: 0, 2: 2}.get(members, 1)


def _placement_fields(record: Engine) -> tuple[str, int, str, bool]:
    """The fields of a record that subsets depend on, besides its id."""
    return record.zone, record.cell, record.kind, record.draining


def _remove_from_ring(rings: dict[Key, Ring], key: Key, position: int, engine_id: str) -> None:
    """Removes an engine from the ring at `key`, and that ring if it is then empty."""
    ring = rings[key]
    ring.remove(position, engine_id)
    if not ring:
        del rings[key]
