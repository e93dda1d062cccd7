"""The whole engine list as one distributor holds it: the newest version, the most recent changes, and the
ring from which subsets are selected."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from thistlelever.distribution.history import History
from thistlelever.distribution.messages import Delta, Snapshot, Update
from thistlelever.distribution.records import DocumentRecord, EngineRecord, Record, engines_of
from thistlelever.distribution.replica import Outcome, Replica
from thistlelever.distribution.versions import Version
from thistlelever.subsetting import EngineRing, SubsetParameters


class Change(NamedTuple):
    """The effect of an update: `engines` are the ids of the records that differ, and `subsets_may_differ` is
    True if an engine was added or removed or changed in a field that decides which fronts hold it."""

    engines: frozenset[str]
    subsets_may_differ: bool


class Catalog:
    """The replica, its history and the ring, kept in step. The callbacks in `on_change` are called after each
    update that was applied."""

    def __init__(self, parameters: SubsetParameters, history: int) -> None:
        """Starts with an empty list. `history` is the number of changes to keep."""
        self.replica = Replica(strict=True)
        self.history = History(history)
        self.ring = EngineRing(parameters)
        # Documents by record id; every front holds all of them.
        self.documents: dict[str, DocumentRecord] = {}
        self.on_change: list[Callable[[Update, Change], None]] = []

    @property
    def version(self) -> Version:
        """The version in force."""
        return self.replica.version

    def engine_records(self, engines: tuple[str, ...]) -> list[EngineRecord]:
        """Returns the records of these engines, in the same order; unknown ids are left out."""
        return list(engines_of(self.records_by_id(engines).values()))

    def receive(
        self, update: Update, apply: Callable[[Replica, Update], Outcome] = Replica.receive
    ) -> Outcome:
        """Applies an update from another distributor and returns its outcome. `apply` is the function that
        passes the update to the replica."""
        before = self.affected_records(update)
        outcome = apply(self.replica, update)
        if outcome is Outcome.APPLIED:
            if isinstance(update, Delta):
                self.history.append(update)
            else:
                self.history.clear()
            self.process_applied(update, before)
        return outcome

    def affected_records(self, update: Update) -> dict[str, Record]:
        """Returns the present records that an update may change: those that a delta names, or all of them for
        a snapshot."""
        if isinstance(update, Snapshot):
            return self.replica.records
        names = [record.id for record in update.upserts] + [removal.id for removal in update.removals]
        return self.records_by_id(names)

    def records_by_id(self, names: Iterable[str]) -> dict[str, Record]:
        """Returns the records with these ids; unknown ids are left out."""
        records = self.replica.records
        return {name: records[name] for name in names if name in records}

    def process_applied(self, update: Update, before: dict[str, Record]) -> None:
        """Updates the ring and the documents after the replica has applied an update, and calls the
        callbacks. `before` holds the records that the update could change, as they were."""
        held = self.replica.records
        named = (*before, *(record.id for record in upserts_of(update)))
        engines = frozenset(engine for engine in named if before.get(engine) != held.get(engine))
        subsets_may_differ = False
        for name in sorted(engines):
            subsets_may_differ |= self.index_record(name, before.get(name), held.get(name))
        change = Change(engines, subsets_may_differ)
        for listener in self.on_change:
            listener(update, change)

    def index_record(self, name: str, old: Record | None, new: Record | None) -> bool:
        """Updates the ring or the documents with one record that changed from `old` to `new`, where None
        means absent. Returns whether subsets may differ."""
        if isinstance(old or new, DocumentRecord):
            self.documents.pop(name, None)
            if new is not None:
                self.documents[name] = new
            return False
        if new is None:
            self.ring.discard(name)
        else:
            self.ring.put(new)
        return old is None or new is None or placement_fields(old) != placement_fields(new)


def upserts_of(update: Update) -> tuple[Record, ...]:
    """Returns the records that an update contains."""
    return update.records if isinstance(update, Snapshot) else update.upserts


def placement_fields(record: EngineRecord) -> tuple[str, int, str, bool]:
    """Returns the fields of a record that decide which fronts hold it."""
    return record.zone, record.cell, record.kind, record.draining
