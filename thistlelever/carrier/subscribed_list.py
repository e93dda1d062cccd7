"""The engine list of a front that subscribes to it: what the subscription holds, told to the engine registry
and to the decisions."""

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
from thistlelever.store.roll import Roll, transitions


class UnknownNameError(Exception):
    """A record names a zone or a kind that this front's settings do not have."""


class KnownNames(NamedTuple):
    """The zones and kinds of the settings, each at its place there."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


class SubscribedList:
    """Hands each change of the subscription on: to the registry (which connections follow) and to the
    decisions, which are told the subset alone.

    An engine that has left the subset while queries of this front are out there is told as draining until
    they have ended, so that they keep their polls, pages and cancels, and nothing new goes there.
    """

    def __init__(
        self,
        subscription: Subscription,
        roll: Roll,
        forget: Callable[[it.EngineId], None],
        decisions: DecisionLoop,
        names: KnownNames,
    ) -> None:
        """`forget` drops the connections to an engine."""
        self.subscription, self.roll, self.forget, self.decisions = subscription, roll, forget, decisions
        self.zones = {name: place for place, name in enumerate(names.zones)}
        self.kinds = {name: place for place, name in enumerate(names.kinds)}
        # Records that have left the subset, of engines that queries are still out at.
        self.leaving: dict[str, EngineRecord] = {}
        # The registry's entries of what is held, made once for each record.
        self.entries: dict[str, tuple[EngineRecord, Entry]] = {}
        subscription.listener = self.changed
        subscription.retained = self.retained

    @property
    def heard_at(self) -> float:
        """When a distributor last answered, on the front's clock."""
        return self.subscription.heard_at

    def retained(self) -> tuple[str, ...]:
        """Engines that queries are out at and that are not in the subset."""
        held = self.held()
        outside = [engine for engine in self.leaving if self.out(engine)]
        outside += [engine for engine, record in held.items() if not record.in_subset and self.out(engine)]
        return tuple(sorted(set(outside)))

    def held(self) -> dict[str, EngineRecord]:
        """The engines that the subscription holds."""
        return {record.id: record for record in engines_of(self.subscription.replica.records.values())}

    def out(self, engine: str) -> bool:
        """Whether queries of this front are out at the engine."""
        return self.roll.out[engine.encode()] > 0

    def changed(self, listing: Listing) -> None:
        """The subscription holds something else than before."""
        self.roll.sharing = listing.fronts
        held = self.held()
        for engine, (record, _) in self.entries.items():
            if engine not in held and engine not in self.leaving and self.out(engine):
                self.leaving[engine] = record._replace(in_subset=False)
        for engine in listing.gone:
            self.leaving.pop(engine, None)
            if self.out(engine):
                self.roll.ended.add(engine.encode())
        self.tell()

    def tell(self) -> None:
        """Tell the registry and the decisions what is held now."""
        held = self.held()
        self.leaving = self.still_leaving(held)
        self.entries = {
            record.id: known
            for record in (*held.values(), *self.leaving.values())
            if (known := self.entry_of(record))
        }
        serial = self.subscription.replica.version.packed()
        entries = [entry for _, entry in self.entries.values()]
        before = self.roll.states()
        last_heard = self.heard_at if isfinite(self.heard_at) else None
        for engine in self.roll.update(serial, entries, clock.now(), last_heard, clock.wall_ahead()):
            self.forget(engine)
        self.decisions.log(
            "list",
            version=str(self.subscription.replica.version),
            engines=len(entries),
            changed=transitions(before, self.roll.states()),
        )
        self.decisions.add_event(
            it.EngineListReceived(it.ListKind.WHOLE, serial, self.roll.told(), self.roll.sharing)
        )

    def still_leaving(self, held: dict[str, EngineRecord]) -> dict[str, EngineRecord]:
        """Of the engines that have left, those that queries are out at and whose address is still theirs."""
        owners = {record.address: record.id for record in held.values()}
        return {
            engine: record
            for engine, record in self.leaving.items()
            if engine not in held and self.out(engine) and record.address not in owners
        }

    def entry_of(self, record: EngineRecord) -> tuple[EngineRecord, Entry] | None:
        """The record with its registry entry; None where this front can't use it."""
        known = self.entries.get(record.id)
        if known and known[0] == record:
            return known
        try:
            return record, self.made(record)
        except (UnknownNameError, ValueError) as error:
            self.decisions.metrics.add("engines of the list that can't be used")
            self.decisions.log("engine not usable", engine=record.id, why=str(error))
            return None

    def made(self, record: EngineRecord) -> Entry:
        """The registry's entry of a record; `UnknownNameError` where its zone or kind is not known here."""
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
