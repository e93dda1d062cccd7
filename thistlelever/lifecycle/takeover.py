"""Puts together what the operator's section `takeover` switches on. Imported only where it is there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistlelever.carrier.wards import Wards, groups
from thistlelever.ground import clock
from thistlelever.ground.settings import ConfigError
from thistlelever.ground.operator import Operator, Takeover
from thistlelever.ground.config import Config
from thistlelever.lifecycle.membership import MembershipSide
from thistlelever.lifecycle.parts import Parts
from thistlelever.takeover import views
from thistlelever.takeover.facts import Address, Standing, Terms
from thistlelever.takeover.judge import Judge
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
        terms = Terms(
            places=section.places,
            lease=section.lease_s,
            renew=section.lease_s * 0.4,
            wait=section.wait_s,
            keep=section.keep_s,
            most_kept=section.most_kept,
            most_taken=section.most_taken,
        )
        me = self.members.identity
        self.judge = Judge(
            terms,
            me.address,
            me.life,
            config.peers,
            groups(config.settings, section.demand),
            config.seed,
            clock.now(),
        )
        heirs = self.judge.heirs
        heirs.standing, heirs.alive, heirs.alone = self.standing, self.alive, self.alone
        self.wards = parts.batch_tasks.wards = Wards(
            self.judge,
            membership.peers,
            config.settings,
            parts.roll,
            lambda entry: parts.dispatcher.protocol(entry),
            parts.metrics,
            parts.log,
        )

    def standing(self, address: Address, life: int) -> Standing:
        """What membership holds a front in that life for. Another life at its address: that one is gone."""
        if address == self.members.identity.address:
            return Standing.ALIVE if life == self.members.identity.life else Standing.GONE
        member = self.members.table.at_address(address)
        if member is None or member.life > life or member.state in GONE:
            return Standing.GONE
        return Standing.SUSPECTED if member.state is State.SUSPECTED else Standing.ALIVE

    def alive(self, address: Address) -> bool:
        member = self.members.table.at_address(address)
        return member is not None and member.is_alive

    def alone(self) -> bool:
        return bool(self.members.isolation_reason(clock.now()))

    async def open(self) -> dict:
        others = sorted(self.judge.catchup.others())
        self.judge.catchup.begin(clock.now(), others)
        self.wards.open()
        return {"takeover": len(self.judge.places.fronts)}

    def renew(self, operator: Operator, config: Config) -> None:
        self.judge.places.renew((*config.peers, self.members.identity.address))

    def questions(self) -> dict[str, Callable[..., dict]]:
        return {
            "inhand.show": lambda: views.show(self.judge, clock.now()) | {"waits_ms": self.wards.waits_ms()},
            "inhand.explain": lambda batch: views.explain(self.judge, batch, clock.now()),
        }

    def failing(self, why: str) -> None:
        """This front's store keeps nothing, or does again: as a place it says so and is passed by."""
        self.judge.holder.failing = why

    def stopping(self) -> None:
        at = clock.on_loop(self.parts.validator.stop_at) - HAND_OVER
        asyncio.get_running_loop().call_at(at, self.wards.hand_over)

    async def close(self, grace: float) -> None:
        # What was handed over last may not have been heard yet; nothing is waited for longer than that.
        if self.judge.asked:
            await asyncio.sleep(min(grace, self.judge.terms.wait))
        self.wards.close()
