"""The component of the operator file's section `membership`. Imported only where the section is present."""

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

# The number of a process's life is its start in eighths of a second after this Unix time, 2020-01-01.
LIFE_EPOCH_S = 1_577_836_800
# Seconds between two observations of whether the front returns the batches that it takes.
SERVICE_CHECK_INTERVAL_S = 0.5


def validate(section: Membership, config: Config) -> None:
    """Raise `ConfigError` with the key where the section does not fit the configuration."""
    if config.peer_listen is None:
        raise ConfigError("operator file: membership: peer_listen in the configuration expected; found none")


class MembershipComponent:
    """Runs the failure detector, and passes the number of live fronts to the decisions and the budgets."""

    start_stage = "MembershipSide"

    def __init__(self, context: FrontContext, section: Membership) -> None:
        """Raises `ConfigError` as `validate` does. Nothing is sent before `open`."""
        config = context.config
        validate(section, config)
        self.context, self.service_health = context, ServiceHealth()
        # Behind a relay or an address translation, peers reach this front at another address than it binds.
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
        """Open the socket, join the tier, and start observing this front's service."""
        self.peers.open()
        self.members.open()
        self.task = asyncio.get_running_loop().create_task(self.observe_service())
        return {"membership": self.members.detector.identity.address}

    def reload(self, operator: Operator, config: Config) -> None:
        """Take over a changed list of peers."""
        self.members.detector.set_peers(clock.now(), config.peers)

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        """The view of all members, and the history of one."""
        detector = self.members.detector
        return {
            "members.show": lambda: views.show(detector, clock.now()),
            "members.explain": lambda name: views.explain(detector, name, clock.now()),
        }

    def on_view_change(self, view: View) -> None:
        """Pass a changed number of fronts, which share the engines, to the decisions and the budgets."""
        if view.fronts != self.fronts:
            self.fronts = view.fronts
            self.context.log("fronts counted", fronts=view.fronts, alone=view.isolation_reason)
            self.context.decisions.add_event(it.FrontCountChanged(view.fronts))
            if self.context.batch_tasks.gate:
                self.context.batch_tasks.gate.set_front_count(view.fronts)

    async def observe_service(self) -> None:
        """Tell the failure detector periodically whether this front serves, until cancelled."""
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
        """Announce that this front leaves; peers count it no more."""
        self.leaving = True
        self.members.leave()

    async def close(self, grace: float) -> None:
        """Stop, and close the socket."""
        if self.task:
            self.task.cancel()
        # Repeated, as the datagrams of the first announcement may have been lost.
        self.members.leave()
        self.members.close()
        self.peers.close()
