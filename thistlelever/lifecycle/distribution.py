"""Puts together what the operator's section `distribution` switches on. Imported only where it is there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from math import isfinite

from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.subscribed_list import KnownNames, SubscribedList
from thistlelever.carrier.subscription import Subscription, SubscriptionTerms
from thistlelever.distribution.records import engines_of
from thistlelever.distribution.versions import unpacked
from thistlelever.ground import interface as it
from thistlelever.ground.operator import Distribution, Operator, parse_address
from thistlelever.ground.config import Config, Entry
from thistlelever.lifecycle.distributed_configuration import DistributedConfiguration
from thistlelever.store.roll import Roll
from thistlelever.subsetting import FrontPlace, Requirement


class SubscribedDiscovery:
    """The engine list from distributors, in place of the DNS inquiry (`carrier.directory.Inquiry`), and
    spoken to as that is."""

    def __init__(
        self,
        config: Config,
        section: Distribution,
        roll: Roll,
        forget: Callable[[it.EngineId], None],
        decisions: DecisionLoop,
    ) -> None:
        """Nothing is asked before `open`."""
        self.roll, self.decisions, self.start_within = roll, decisions, section.start_within_s
        terms = SubscriptionTerms(
            tuple(parse_address(text) for text in section.distributors),
            section.heartbeat_s,
            section.patience_s,
            config.seed,
        )
        self.subscription = Subscription(
            terms,
            place_of(config, section.zone_rank),
            requirements_of(config),
            drops_repeats_by_cell(config),
            self.changed,
        )
        names = KnownNames(config.zones, config.kinds)
        self.list = SubscribedList(self.subscription, roll, forget, decisions, names)
        self.configuration = DistributedConfiguration(self.subscription.replica)
        # Called when the configuration is to be read again.
        self.on_new_configuration: Callable[[], None] = lambda: None
        self.first = asyncio.Event()
        self.subscription.listener, self.subscription.log = self.changed, decisions.log
        self.task: asyncio.Task[None] | None = None

    @property
    def heard_at(self) -> float:
        """When a distributor last answered, on the front's clock."""
        return self.subscription.heard_at

    def changed(self, listing) -> None:
        """Hand a change on."""
        self.list.changed(listing)
        self.first.set()
        if self.configuration.differs():
            self.on_new_configuration()

    def hold(self, serial: int, entries: list[Entry]) -> None:
        """The list of a configuration that was read again; its serials are not the distributors' versions."""

    def overlay(self, operator: Operator) -> Operator:
        """The operator file with the sections that distributors tell; `ConfigError` where these can't be
        used."""
        before = self.configuration.in_force
        found = self.configuration.overlay(operator)
        if self.configuration.in_force != before:
            self.decisions.log("configuration in force", version=str(self.configuration.in_force_since))
        return found

    def accept_from(self, serial: int) -> None:
        """A former life of this front held that version: nothing older is taken."""
        self.subscription.replica.floor = unpacked(serial)

    async def open(self, directory: tuple[str, int]) -> None:
        """Subscribe. A front that knows no engine yet waits a while for its first list; the directory's
        address is not used."""
        if self.task:
            return
        self.task = asyncio.get_running_loop().create_task(self.subscription.run())
        if not self.roll.entries:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.first.wait(), self.start_within)

    def ask(self, by_order: bool) -> None:
        """The list is told as it changes; there is nothing to ask for."""

    async def run(self) -> None:
        """As long as the subscription runs."""
        await self.task

    def close(self) -> None:
        """Subscribe no more."""
        if self.task:
            self.task.cancel()

    def questions(self) -> dict[str, Callable[..., dict]]:
        """What the administration may be asked."""
        return {"engines.show": self.show, "engines.list": self.engines}

    def show(self) -> dict:
        """Which version is in force here, how old it may be, and from where it came."""
        subscription, replica = self.subscription, self.subscription.replica
        age = subscription.age()
        connected = subscription.connected_to
        return {
            "version": str(replica.version),
            "digest": f"{replica.digest:032x}",
            "age_s": round(age, 3) if isfinite(age) else None,
            "distributor": "{}:{}".format(*connected) if connected else None,
            "last_error": subscription.last_error,
            "engines": sum(record.in_subset for record in engines_of(replica.records.values())),
            "retained": list(self.list.retained()),
            "fronts": self.roll.sharing,
            "configuration": self.configuration.show(),
            "counts": dict(sorted(subscription.counts.items())),
        }

    def engines(self) -> dict:
        """Each engine that is held, as the decisions are told it."""
        records = sorted(engines_of(self.subscription.replica.records.values()))
        return {"version": str(self.subscription.replica.version), "engines": [r._asdict() for r in records]}


def place_of(config: Config, zone_rank: int) -> FrontPlace:
    """Which front this is, for its subset."""
    zone = config.settings.zone
    name = config.zones[zone] if zone < len(config.zones) else ""
    return FrontPlace(config.name, name, config.rank, zone_rank)


def requirements_of(config: Config) -> tuple[Requirement, ...]:
    """The zones and kinds that some query class is bound to, each pair once."""
    found = {}
    for query_class in config.settings.tariffs:
        zones, kinds = query_class.zones, query_class.kinds
        if zones is None and kinds is None:
            continue
        requirement = Requirement(
            None if zones is None else frozenset(config.zones[zone] for zone in zones),
            None if kinds is None else frozenset(config.kinds[kind] for kind in kinds),
        )
        found[requirement] = None
    return tuple(found)


def drops_repeats_by_cell(config: Config) -> bool:
    """Whether some class may be retried in the cell of its first attempt alone."""
    return any(
        query_class.repeat is it.Idempotency.DEDUPLICATED and query_class.scope is it.DeduplicationScope.CELL
        for query_class in config.settings.tariffs
    )
