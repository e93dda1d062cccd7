"""The engine list of a subscribing front: passes the subscription's records to the engine registry and to the
decisions."""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import NamedTuple

from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.subscription import Listing, Subscription
from thistlelever.distribution.records import EngineRecord, engines_of
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.config import Entry
from thistlelever.store.engine_registry import EngineRegistry, transitions


class UnknownNameError(Exception):
    """A record has a zone or a kind that is not in this front's settings."""


class KnownNames(NamedTuple):
    """The zones and kinds of the settings, in the order of the settings."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


class SubscribedList:
    """Passes each change of the subscription to the registry (which connections follow) and to the decisions.

    An engine that has left the subset while queries of this front run on it is listed as draining until they
    have ended: they can still be polled, paged and cancelled, and no new dispatch goes there.
    """

    def __init__(
        self,
        subscription: Subscription,
        registry: EngineRegistry,
        drop_connections: Callable[[it.EngineId], None],
        decisions: DecisionLoop,
        names: KnownNames,
    ) -> None:
        """Listen to `subscription`; `drop_connections` closes the connections to an engine."""
        self.subscription, self.registry, self.drop_connections, self.decisions = (
            subscription,
            registry,
            drop_connections,
            decisions,
        )
        self.zones = {name: index for index, name in enumerate(names.zones)}
        self.kinds = {name: index for index, name in enumerate(names.kinds)}
        # Records that have left the subset, of engines with running queries of this front.
        self.leaving: dict[str, EngineRecord] = {}
        # The registry's entries of the records, built once for each record.
        self.entries: dict[str, tuple[EngineRecord, Entry]] = {}
        subscription.listener = self.changed
        subscription.retained = self.retained

    @property
    def heard_at(self) -> float:
        """Time of the last answer of a distributor, in seconds on the front's clock."""
        return self.subscription.heard_at

    def retained(self) -> tuple[str, ...]:
        """Return the engines outside the subset that run queries of this front."""
        records = self.engine_records()
        outside = [engine for engine in self.leaving if self.has_dispatches(engine)]
        outside += [
            engine
            for engine, record in records.items()
            if not record.in_subset and self.has_dispatches(engine)
        ]
        return tuple(sorted(set(outside)))

    def engine_records(self) -> dict[str, EngineRecord]:
        """Return the engines of the subscription by id."""
        return {record.id: record for record in engines_of(self.subscription.replica.records.values())}

    def has_dispatches(self, engine: str) -> bool:
        """Return whether the engine runs queries of this front."""
        return self.registry.dispatches[engine.encode()] > 0

    def changed(self, listing: Listing) -> None:
        """Process a change of the subscription's records."""
        self.registry.sharing_fronts = listing.fronts
        records = self.engine_records()
        for engine, (record, _) in self.entries.items():
            if engine not in records and engine not in self.leaving and self.has_dispatches(engine):
                self.leaving[engine] = record._replace(in_subset=False)
        for engine in listing.gone:
            self.leaving.pop(engine, None)
            if self.has_dispatches(engine):
                self.registry.ended_engines.add(engine.encode())
        self.notify()

    def notify(self) -> None:
        """Update the registry and notify the decisions."""
        records = self.engine_records()
        self.leaving = self.retained_records(records)
        self.entries = {
            record.id: cached
            for record in (*records.values(), *self.leaving.values())
            if (cached := self.entry_for(record))
        }
        serial = self.subscription.replica.version.packed()
        entries = [entry for _, entry in self.entries.values()]
        before = self.registry.states()
        last_heard = self.heard_at if isfinite(self.heard_at) else None
        for engine in self.registry.update(serial, entries, clock.now(), last_heard, clock.wall_ahead()):
            self.drop_connections(engine)
        self.decisions.log(
            "list",
            version=str(self.subscription.replica.version),
            engines=len(entries),
            changed=transitions(before, self.registry.states()),
        )
        self.decisions.add_event(
            it.EngineListReceived(
                it.ListKind.WHOLE, serial, self.registry.engine_list(), self.registry.sharing_fronts
            )
        )

    def retained_records(self, records: dict[str, EngineRecord]) -> dict[str, EngineRecord]:
        """Return the engines that have left, still run queries and whose address no other engine has."""
        owners = {record.address: record.id for record in records.values()}
        return {
            engine: record
            for engine, record in self.leaving.items()
            if engine not in records and self.has_dispatches(engine) and record.address not in owners
        }

    def entry_for(self, record: EngineRecord) -> tuple[EngineRecord, Entry] | None:
        """Return the record with its registry entry, or None when this front cannot use it."""
        cached = self.entries.get(record.id)
        if cached and cached[0] == record:
            return cached
        try:
            return record, self.build_entry(record)
        except (UnknownNameError, ValueError) as error:
            self.decisions.metrics.add("engines of the list that can't be used")
            self.decisions.log("engine not usable", engine=record.id, why=str(error))
            return None

    def build_entry(self, record: EngineRecord) -> Entry:
        """Build the registry entry of a record.

        Raises `UnknownNameError` when its zone or kind is not in the settings, `ValueError` when its address
        has no port number.
        """
        if record.zone not in self.zones or record.kind not in self.kinds:
            raise UnknownNameError(f"zone {record.zone!r} or kind {record.kind!r} is not in the settings")
        host, _, port = record.address.rpartition(":")
        drains = record.draining or not record.in_subset
        engine = it.Engine(
            record.id.encode(),
            self.zones[record.zone],
            record.cell,
            self.kinds[record.kind],
            it.EngineState.DRAINING if drains else it.EngineState.READY,
            record.started,
            record.weight,
        )
        return Entry(engine, (host, int(port)))
