"""Puts together what the operator's section `membership` switches on. Imported only where it is there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistlelever.carrier.members import MembershipDriver
from thistlelever.carrier.peers import PeerSocket
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.settings import ConfigError
from thistlelever.ground.operator import Membership, Operator
from thistlelever.ground.config import Config
from thistlelever.lifecycle.parts import Parts
from thistlelever.membership import views
from thistlelever.membership.config import MembershipConfig
from thistlelever.membership.failure_detector import FailureDetector
from thistlelever.membership.service_health import Observation, ServiceHealth
from thistlelever.membership.types import Identity, TierSettings, View

# Lives are counted from here, in eighths of a second: the Unix second of 2020's first.
EPOCH = 1_577_836_800
# How often the front looks whether it serves whom it takes.
LOOK = 0.5


def sound(section: Membership, config: Config) -> None:
    """`ConfigError` with the key where the section can't be kept."""
    if config.peer_listen is None:
        raise ConfigError("operator file: membership: peer_listen in the configuration expected; found none")


class MembershipSide:
    """Who else is alive, told to whoever counts fronts."""

    def __init__(self, parts: Parts, section: Membership) -> None:
        config = parts.config
        sound(section, config)
        self.parts, self.service_health = parts, ServiceHealth()
        # Behind a relay or an address translation others know this front by another address than it binds.
        rank = config.rank
        known_as = config.peers[rank] if 0 <= rank < len(config.peers) else config.peer_listen
        self.peers = PeerSocket(config.peer_listen, section.tier, parts.metrics)
        membership_config = MembershipConfig(
            period=section.period_s,
            suspicion_timeout=section.suspect_s,
            reconnect_interval=section.knock_s,
        )
        identity = Identity(config.name, known_as, int((clock.wall() - EPOCH) * 8))
        tier = TierSettings(config.peers, config.settings.fronts)
        detector = FailureDetector(membership_config, identity, tier, config.seed, clock.now())
        self.members = MembershipDriver(detector, self.peers, parts.metrics, parts.log, self.counted)
        self.fronts, self.task, self.left = config.settings.fronts, None, False

    async def open(self) -> dict:
        self.peers.open()
        self.members.open()
        self.task = asyncio.get_running_loop().create_task(self.looking())
        return {"membership": self.members.detector.identity.address}

    def renew(self, operator: Operator, config: Config) -> None:
        self.members.detector.set_peers(clock.now(), config.peers)

    def questions(self) -> dict[str, Callable[..., dict]]:
        detector = self.members.detector
        return {
            "members.show": lambda: views.show(detector, clock.now()),
            "members.explain": lambda name: views.explain(detector, name, clock.now()),
        }

    def counted(self, view: View) -> None:
        """As many fronts as share the engines: a fact for the decisions and the budgets."""
        if view.fronts != self.fronts:
            self.fronts = view.fronts
            self.parts.log("fronts counted", fronts=view.fronts, alone=view.isolation_reason)
            self.parts.decisions.add_event(it.FrontCountChanged(view.fronts))
            if self.parts.batch_tasks.gate:
                self.parts.batch_tasks.gate.set_front_count(view.fronts)

    async def looking(self) -> None:
        counts, batches = self.parts.metrics.counts, self.parts.batches
        while True:
            await asyncio.sleep(LOOK)
            answered = counts["End"] + counts["PushBack"] + counts["Error"]
            observation = Observation(
                at=clock.now(),
                ready=not self.left,
                received=counts["taken"],
                answered=answered,
                returned=counts["End"],
                open_queries=len(batches.by_number),
            )
            serves = self.service_health.observe(observation)
            self.members.detector.set_serving(clock.now(), serves)

    def stopping(self) -> None:
        self.left = True
        self.members.leave()

    async def close(self, grace: float) -> None:
        if self.task:
            self.task.cancel()
        # Once more, as what was said at the signal may have been lost.
        self.members.leave()
        self.members.close()
        self.peers.close()
