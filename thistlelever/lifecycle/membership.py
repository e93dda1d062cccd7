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
from thistlelever.lifecycle.components import FrontContext
from thistlelever.membership import views
from thistlelever.membership.config import MembershipConfig
from thistlelever.membership.failure_detector import FailureDetector
from thistlelever.membership.service_health import Observation, ServiceHealth
from thistlelever.membership.types import Identity, TierSettings, View

# Lives are counted from here, in eighths of a second: the Unix second of 2020's first.
LIFE_EPOCH_S = 1_577_836_800
# How often the front looks whether it serves whom it takes.
SERVICE_CHECK_INTERVAL_S = 0.5


def validate(section: Membership, config: Config) -> None:
    """`ConfigError` with the key where the section can't be kept."""
    if config.peer_listen is None:
        raise ConfigError("operator file: membership: peer_listen in the configuration expected; found none")


class MembershipComponent:
    """Who else is alive, told to whoever counts fronts."""

    start_stage = "MembershipSide"

    def __init__(self, context: FrontContext, section: Membership) -> None:
        config = context.config
        validate(section, config)
        self.context, self.service_health = context, ServiceHealth()
        # Behind a relay or an address translation others know this front by another address than it binds.
        rank = config.rank
        advertised_address = config.peers[rank] if 0 <= rank < len(config.peers) else config.peer_listen
        self.peers = PeerSocket(config.peer_listen, section.tier, context.metrics)
        membership_config = MembershipConfig(
            period=section.period_s,
            suspicion_timeout=section.suspect_s,
            reconnect_interval=section.knock_s,
        )
        identity = Identity(config.name, advertised_address, int((clock.wall() - LIFE_EPOCH_S) * 8))
        tier = TierSettings(config.peers, config.settings.fronts)
        detector = FailureDetector(membership_config, identity, tier, config.seed, clock.now())
        self.members = MembershipDriver(
            detector, self.peers, context.metrics, context.log, self.on_view_change
        )
        self.fronts, self.task, self.leaving = config.settings.fronts, None, False

    async def open(self) -> dict:
        self.peers.open()
        self.members.open()
        self.task = asyncio.get_running_loop().create_task(self.observe_service())
        return {"membership": self.members.detector.identity.address}

    def reload(self, operator: Operator, config: Config) -> None:
        self.members.detector.set_peers(clock.now(), config.peers)

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        detector = self.members.detector
        return {
            "members.show": lambda: views.show(detector, clock.now()),
            "members.explain": lambda name: views.explain(detector, name, clock.now()),
        }

    def on_view_change(self, view: View) -> None:
        """As many fronts as share the engines: a fact for the decisions and the budgets."""
        if view.fronts != self.fronts:
            self.fronts = view.fronts
            self.context.log("fronts counted", fronts=view.fronts, alone=view.isolation_reason)
            self.context.desk.tell(it.FrontCountChanged(view.fronts))
            if self.context.courses.gate:
                self.context.courses.gate.set_front_count(view.fronts)

    async def observe_service(self) -> None:
        counts, batches = self.context.metrics.counts, self.context.batches
        while True:
            await asyncio.sleep(SERVICE_CHECK_INTERVAL_S)
            answered = counts["End"] + counts["PushBack"] + counts["Error"]
            observation = Observation(
                at=clock.now(),
                ready=not self.leaving,
                received=counts["taken"],
                answered=answered,
                returned=counts["End"],
                open_queries=len(batches.by_number),
            )
            serving = self.service_health.observe(observation)
            self.members.detector.set_serving(clock.now(), serving)

    def begin_shutdown(self) -> None:
        self.leaving = True
        self.members.leave()

    async def close(self, grace: float) -> None:
        if self.task:
            self.task.cancel()
        # Once more, as what was said at the signal may have been lost.
        self.members.leave()
        self.members.close()
        self.peers.close()
