"""Puts together what the operator's section `takeover` switches on. Imported only where it is there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistlelever.carrier.leases import LeaseService, query_class_policies
from thistlelever.ground import clock
from thistlelever.ground.settings import ConfigError
from thistlelever.ground.operator import Operator, Takeover
from thistlelever.ground.config import Config
from thistlelever.lifecycle.membership import MembershipSide
from thistlelever.lifecycle.parts import Parts
from thistlelever.takeover import views
from thistlelever.takeover.facts import Address, Liveness, TakeoverConfig
from thistlelever.takeover.lease_manager import LeaseManager
from thistlelever.wire.peers import State

# Before a front ends what is out is handed over, with time left to tell its clients.
HAND_OVER = 0.15
GONE = frozenset((State.DEAD, State.LEFT))


def sound(section: Takeover, config: Config) -> None:
    """`ConfigError` with the key where the section can't be kept."""
    known = {query_class.name for query_class in config.settings.tariffs}
    if unknown := sorted(set(section.demand or ()) - known):
        raise ConfigError(
            f"operator file: takeover.demand: service groups of the settings expected; found {unknown[0]!r}"
        )
    if len(config.peers) < 2:
        raise ConfigError(
            "operator file: takeover: two peers or more in the configuration expected; found "
            f"{len(config.peers)}"
        )


class TakeoverSide:
    """Who owns which work, told to the batches' tasks."""

    def __init__(self, parts: Parts, section: Takeover, membership: MembershipSide) -> None:
        config = parts.config
        sound(section, config)
        self.parts, self.members = parts, membership.members.detector
        takeover_config = TakeoverConfig(
            replicas=section.places,
            lease_s=section.lease_s,
            renew_interval_s=section.lease_s * 0.4,
            quorum_timeout_s=section.wait_s,
            retention_s=section.keep_s,
            max_records=section.most_kept,
            max_keep_alives=section.most_taken,
        )
        me = self.members.identity
        self.manager = LeaseManager(
            takeover_config,
            me.address,
            me.life,
            config.peers,
            query_class_policies(config.settings, section.demand),
            config.seed,
            clock.now(),
        )
        successor = self.manager.successor
        successor.liveness, successor.is_alive = self.liveness, self.is_alive
        successor.is_isolated = self.is_isolated
        self.leases = parts.courses.leases = LeaseService(
            self.manager,
            membership.peers,
            config.settings,
            parts.roll,
            lambda entry: parts.dispatcher.speech(entry),
            parts.metrics,
            parts.log,
        )

    def liveness(self, address: Address, life: int) -> Liveness:
        """What membership holds a front in that life for. Another life at its address: that one is gone."""
        if address == self.members.identity.address:
            return Liveness.ALIVE if life == self.members.identity.life else Liveness.GONE
        member = self.members.table.at_address(address)
        if member is None or member.life > life or member.state in GONE:
            return Liveness.GONE
        return Liveness.SUSPECTED if member.state is State.SUSPECTED else Liveness.ALIVE

    def is_alive(self, address: Address) -> bool:
        member = self.members.table.at_address(address)
        return member is not None and member.is_alive

    def is_isolated(self) -> bool:
        return bool(self.members.isolation_reason(clock.now()))

    async def open(self) -> dict:
        others = sorted(self.manager.catchup.other_fronts())
        self.manager.catchup.start(clock.now(), others)
        self.leases.open()
        return {"takeover": len(self.manager.placement.fronts)}

    def renew(self, operator: Operator, config: Config) -> None:
        self.manager.placement.set_fronts((*config.peers, self.members.identity.address))

    def questions(self) -> dict[str, Callable[..., dict]]:
        return {
            "inhand.show": lambda: views.show(self.manager, clock.now())
            | {"waits_ms": self.leases.waits_ms()},
            "inhand.explain": lambda batch: views.explain(self.manager, batch, clock.now()),
        }

    def failing(self, why: str) -> None:
        """This front's store keeps nothing, or does again: as a place it says so and is passed by."""
        self.manager.replica.failure = why

    def stopping(self) -> None:
        at = clock.on_loop(self.parts.intake.stop_at) - HAND_OVER
        asyncio.get_running_loop().call_at(at, self.leases.hand_over)

    async def close(self, grace: float) -> None:
        # What was handed over last may not have been heard yet; nothing is waited for longer than that.
        if self.manager.leases_by_nonce:
            await asyncio.sleep(min(grace, self.manager.config.quorum_timeout_s))
        self.leases.close()
