"""The whole engine list as one distributor holds it: the newest version, the last changes, and the ring from
which subsets are taken."""

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
    """What an update changed: engines whose records differ, and whether engines came, went or began or
    ceased to drain, so that subsets may differ."""

    engines: frozenset[str]
    subsets_may_differ: bool


class Catalog:
    """`on_change` is called after each update that is in force here."""

    def __init__(self, parameters: SubsetParameters, history: int) -> None:
        """An empty list; `history` changes are kept."""
        self.replica = Replica(strict=True)
        self.history = History(history)
        self.ring = EngineRing(parameters)
        # The documents, which every front holds.
        self.documents: dict[str, DocumentRecord] = {}
        self.on_change: list[Callable[[Update, Change], None]] = []

    @property
    def version(self) -> Version:
        """The version that is in force."""
        return self.replica.version

    def engine_records(self, engines: tuple[str, ...]) -> list[EngineRecord]:
        """The records of these engines, of those that there are."""
        return list(engines_of(self.records_by_id(engines).values()))

    def receive(
        self, update: Update, apply: Callable[[Replica, Update], Outcome] = Replica.receive
    ) -> Outcome:
        """Take an update from another distributor; `take` says how the replica is given it."""
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
        """What is held now of the engines that an update names; of a snapshot, all that is held."""
        if isinstance(update, Snapshot):
            return self.replica.records
        names = [record.id for record in update.upserts] + [removal.id for removal in update.removals]
        return self.records_by_id(names)

    def records_by_id(self, names: Iterable[str]) -> dict[str, Record]:
        """The records of these ids, of those that there are."""
        records = self.replica.records
        return {name: records[name] for name in names if name in records}

    def process_applied(self, update: Update, before: dict[str, Record]) -> None:
        """Bring the ring up to date with an update that the replica has applied, and tell who listens."""
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
        """Bring ring and documents up to date with one record; whether subsets may differ."""
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
    """The records that an update brings."""
    return update.records if isinstance(update, Snapshot) else update.upserts


def placement_fields(record: EngineRecord) -> tuple[str, int, str, bool]:
    """What of a record decides which fronts hold it."""
    return record.zone, record.cell, record.kind, record.draining
