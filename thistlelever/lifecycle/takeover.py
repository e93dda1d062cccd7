"""The component of the operator file's section `takeover`. Imported only where the section is present."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistlelever.carrier.leases import LeaseService, query_class_policies
from thistlelever.ground import clock
from thistlelever.ground.settings import ConfigError
from thistlelever.ground.operator import Operator, Takeover
from thistlelever.ground.config import Config
from thistlelever.lifecycle.membership import MembershipComponent
from thistlelever.lifecycle.components import FrontContext
from thistlelever.takeover import views
from thistlelever.takeover.facts import Address, Liveness, TakeoverConfig
from thistlelever.takeover.lease_manager import LeaseManager
from thistlelever.wire.peers import State

# Open batches are handed over this long before the front stops, so that their clients can still be answered.
HAND_OVER_BEFORE_STOP_S = 0.15
GONE_STATES = frozenset((State.DEAD, State.LEFT))


def validate(section: Takeover, config: Config) -> None:
    """Raise `ConfigError` with the key where the section does not fit the configuration."""
    query_classes = {query_class.name for query_class in config.settings.tariffs}
    if unknown := sorted(set(section.demand or ()) - query_classes):
        raise ConfigError(
            f"operator file: takeover.demand: service groups of the settings expected; found {unknown[0]!r}"
        )
    if len(config.peers) < 2:
        raise ConfigError(
            "operator file: takeover: two peers or more in the configuration expected; found "
            f"{len(config.peers)}"
        )


class TakeoverComponent:
    """Which front owns which batch, by leases that a majority of the batch's replicas confirms."""

    start_stage = "TakeoverSide"

    def __init__(self, context: FrontContext, section: Takeover, membership: MembershipComponent) -> None:
        """Raises `ConfigError` as `validate` does. Nothing is sent before `open`."""
        config = context.config
        validate(section, config)
        self.context, self.members = context, membership.members.detector
        takeover_config = TakeoverConfig(
            replicas=section.places,
            lease_s=section.lease_s,
            renew_interval_s=section.lease_s * 0.4,
            quorum_timeout_s=section.wait_s,
            retention_s=section.keep_s,
            max_records=section.most_kept,
            max_keep_alives=section.most_taken,
        )
        identity = self.members.identity
        self.manager = LeaseManager(
            takeover_config,
            identity.address,
            identity.life,
            config.peers,
            query_class_policies(config.settings, section.demand),
            config.seed,
            clock.now(),
        )
        successor = self.manager.successor
        successor.liveness, successor.is_alive = self.liveness, self.is_alive
        successor.is_isolated = self.is_isolated
        self.leases = context.batch_tasks.leases = LeaseService(
            self.manager,
            membership.peers,
            config.settings,
            context.registry,
            lambda entry: context.dispatcher.protocol(entry),
            context.metrics,
            context.log,
        )

    def liveness(self, address: Address, life: int) -> Liveness:
        """The state of a front's process by membership; gone also where a newer process has its address."""
        if address == self.members.identity.address:
            return Liveness.ALIVE if life == self.members.identity.life else Liveness.GONE
        member = self.members.table.at_address(address)
        if member is None or member.life > life or member.state in GONE_STATES:
            return Liveness.GONE
        return Liveness.SUSPECTED if member.state is State.SUSPECTED else Liveness.ALIVE

    def is_alive(self, address: Address) -> bool:
        """Whether membership counts the front at that address as alive."""
        member = self.members.table.at_address(address)
        return member is not None and member.is_alive

    def is_isolated(self) -> bool:
        """Whether membership considers this front isolated from its peers."""
        return bool(self.members.isolation_reason(clock.now()))

    async def open(self) -> dict:
        """Start the exchange with peers, beginning with a catch-up of their records."""
        other_fronts = sorted(self.manager.catchup.other_fronts())
        self.manager.catchup.start(clock.now(), other_fronts)
        self.leases.open()
        return {"takeover": len(self.manager.placement.fronts)}

    def reload(self, operator: Operator, config: Config) -> None:
        """Place records by the changed list of peers."""
        self.manager.placement.set_fronts((*config.peers, self.members.identity.address))

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        """The batches in hand, and what is known of one."""
        return {
            "inhand.show": lambda: views.show(self.manager, clock.now())
            | {"waits_ms": self.leases.waits_ms()},
            "inhand.explain": lambda batch: views.explain(self.manager, batch, clock.now()),
        }

    def set_storage_failure(self, error: str) -> None:
        """Set why this front's store fails; empty where it works. While it fails, this front declines to keep
        records for others, and they pass it over."""
        self.manager.replica.failure = error

    def begin_shutdown(self) -> None:
        """Schedule the hand-over of open batches shortly before the front stops."""
        hand_over_at = clock.on_loop(self.context.validator.stop_at) - HAND_OVER_BEFORE_STOP_S
        asyncio.get_running_loop().call_at(hand_over_at, self.leases.hand_over)

    async def close(self, grace: float) -> None:
        """Wait for acknowledgements of the hand-over, up to `grace` seconds, and stop."""
        # Messages of the hand-over may be unacknowledged; none is waited for longer than `quorum_timeout_s`.
        if self.manager.leases_by_nonce:
            await asyncio.sleep(min(grace, self.manager.config.quorum_timeout_s))
        self.leases.close()
