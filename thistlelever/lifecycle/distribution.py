"""Discovery through distributors, by the operator file's section `distribution`. Imported only where the
section is present."""

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
from thistlelever.store.engine_registry import EngineRegistry
from thistlelever.subsetting import FrontIdentity, Requirement


class SubscribedDiscovery:
    """The engine list from distributors. It has the interface of discovery by DNS
    (`carrier.directory.DirectoryClient`), which it replaces."""

    def __init__(
        self,
        config: Config,
        section: Distribution,
        registry: EngineRegistry,
        forget: Callable[[it.EngineId], None],
        decisions: DecisionLoop,
    ) -> None:
        """Nothing is sent before `open`."""
        self.registry, self.decisions, self.first_list_timeout = registry, decisions, section.start_within_s
        terms = SubscriptionTerms(
            tuple(parse_address(text) for text in section.distributors),
            section.heartbeat_s,
            section.patience_s,
            config.seed,
        )
        self.subscription = Subscription(
            terms,
            front_place(config, section.zone_rank),
            engine_requirements(config),
            deduplicates_by_cell(config),
            self.on_list_change,
        )
        names = KnownNames(config.zones, config.kinds)
        self.list = SubscribedList(self.subscription, registry, forget, decisions, names)
        self.configuration = DistributedConfiguration(self.subscription.replica)
        # Called when the operator document has changed: the front reloads.
        self.on_new_configuration: Callable[[], None] = lambda: None
        self.first_list = asyncio.Event()
        self.subscription.listener, self.subscription.log = self.on_list_change, decisions.log
        self.task: asyncio.Task[None] | None = None

    @property
    def heard_at(self) -> float:
        """When a distributor last answered, in seconds on the front's clock."""
        return self.subscription.heard_at

    def on_list_change(self, listing) -> None:
        """The subscription's replica has changed: update the engine list, and reload a changed document."""
        self.list.changed(listing)
        self.first_list.set()
        if self.configuration.has_changed():
            self.on_new_configuration()

    def adopt_configured(self, serial: int, entries: list[Entry]) -> None:
        """Nothing to do: serials of a reread configuration do not compare with the distributors' versions."""

    def overlay(self, operator: Operator) -> Operator:
        """The operator file with the sections that distributors publish in place of its own.

        Raises `ConfigError` where these are invalid.
        """
        previous = self.configuration.in_force
        overlaid = self.configuration.overlay(operator)
        if self.configuration.in_force != previous:
            self.decisions.log("configuration in force", version=str(self.configuration.in_force_since))
        return overlaid

    def resume_from(self, serial: int) -> None:
        """Accept no version older than `serial`, which this front had before its restart."""
        self.subscription.replica.floor = unpacked(serial)

    async def open(self, directory: tuple[str, int]) -> None:
        """Subscribe. A front that knows no engine waits up to `start_within_s` for its first list. The
        address of the DNS directory is not used."""
        if self.task:
            return
        self.task = asyncio.get_running_loop().create_task(self.subscription.run())
        if not self.registry.entries:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.first_list.wait(), self.first_list_timeout)

    def poll(self, requested: bool) -> None:
        """Nothing to do: distributors push each change."""

    async def run(self) -> None:
        """Wait for the end of the subscription's task."""
        await self.task

    def close(self) -> None:
        """Cancel the subscription."""
        if self.task:
            self.task.cancel()

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        """Handlers of the admin socket: the state of the subscription, and the engines."""
        return {"engines.show": self.show, "engines.list": self.engines}

    def show(self) -> dict:
        """The version in force, its age in seconds, its source, and counters of the subscription."""
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
            "fronts": self.registry.sharing_fronts,
            "configuration": self.configuration.show(),
            "counts": dict(sorted(subscription.counts.items())),
        }

    def engines(self) -> dict:
        """Each engine record of the replica."""
        records = sorted(engines_of(self.subscription.replica.records.values()))
        return {"version": str(self.subscription.replica.version), "engines": [r._asdict() for r in records]}


def front_place(config: Config, zone_rank: int) -> FrontIdentity:
    """The identity of this front by which its subset of the engines is chosen."""
    zone = config.settings.zone
    name = config.zones[zone] if zone < len(config.zones) else ""
    return FrontIdentity(config.name, name, config.rank, zone_rank)


def engine_requirements(config: Config) -> tuple[Requirement, ...]:
    """The distinct pairs of zones and kinds that query classes are restricted to."""
    requirements: dict[Requirement, None] = {}
    for query_class in config.settings.tariffs:
        zones, kinds = query_class.zones, query_class.kinds
        if zones is None and kinds is None:
            continue
        requirement = Requirement(
            None if zones is None else frozenset(config.zones[zone] for zone in zones),
            None if kinds is None else frozenset(config.kinds[kind] for kind in kinds),
        )
        requirements[requirement] = None
    return tuple(requirements)


def deduplicates_by_cell(config: Config) -> bool:
    """Whether some query class may be retried only within the cell of its first attempt."""
    return any(
        query_class.repeat is it.Idempotency.DEDUPLICATED and query_class.scope is it.DeduplicationScope.CELL
        for query_class in config.settings.tariffs
    )
