"""Drives the failure detector of membership: its clock, its datagrams, and the reporting of changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistlelever.carrier.peers import PeerSocket
from thistlelever.ground import clock
from thistlelever.ground.log import Log
from thistlelever.ground.metrics import Metrics
from thistlelever.membership.failure_detector import FailureDetector
from thistlelever.membership.types import Send, View
from thistlelever.wire import peers as wire


class MembershipDriver:
    """One failure detector on the event loop. `on_view` is called whenever its view has changed."""

    def __init__(
        self,
        detector: FailureDetector,
        peers: PeerSocket,
        metrics: Metrics,
        log: Log,
        on_view: Callable[[View], None],
    ) -> None:
        """Register with the peer socket for datagrams of membership."""
        self.detector, self.peers, self.metrics, self.log, self.on_view = (
            detector,
            peers,
            metrics,
            log,
            on_view,
        )
        self.timer: asyncio.TimerHandle | None = None
        self.last_view: View | None = None
        peers.handlers[wire.MEMBERSHIP] = self.handle_datagram
        peers.is_backlog_current = self.is_backlog_current

    def open(self) -> None:
        """Start ticking; needs a running event loop."""
        self.detector.last_tick_at = clock.now()
        self.tick()

    def close(self) -> None:
        """Stop ticking."""
        if self.timer:
            self.timer.cancel()

    def is_backlog_current(self) -> bool:
        """Whether waiting datagrams may be read; False if the process was paused."""
        return not self.detector.check_for_pause(clock.now())

    def tick(self) -> None:
        """Read waiting datagrams, let the detector do what is due, and schedule the next tick."""
        # Datagrams that already wait at the socket arrived before this moment. If the tick came first,
        # acknowledgements among them would count as missing.
        self.peers.read()
        now = clock.now()
        self.deliver(self.detector.tick(now))
        view = self.detector.view(now)
        if view != self.last_view:
            self.last_view = view
            self.on_view(view)
        at = max(self.detector.next_tick_at(), now + 0.001)
        self.timer = asyncio.get_running_loop().call_at(clock.on_loop(at), self.tick)

    def handle_datagram(self, source: tuple[str, int], body: bytes) -> None:
        """Hand a membership message to the detector; `InvalidDatagram` if it is malformed."""
        message, updates = wire.decode(body)
        self.deliver(self.detector.handle_message(clock.now(), source, message, updates))

    def leave(self) -> None:
        """Announce to other fronts that this one leaves."""
        self.deliver(self.detector.leave(clock.now()))

    def deliver(self, sends: list[Send]) -> None:
        """Send messages, and count and log the state changes that came with them."""
        for send in sends:
            self.peers.send(send.address, wire.encode(send.message, self.peers.tier))
        for change in self.detector.changes:
            own, state = change.name == self.detector.identity.name, change.state.name.lower()
            self.metrics.add(f"membership: {change.path}" if own else f"members: {state}")
            # One event name per state: the log limits lines per event, so frequent suspicions cannot suppress
            # deaths.
            self.log(
                "membership" if own else f"member {state}",
                member=change.name,
                by=change.by,
                was=change.was.name.lower() if change.was is not None else "",
                path=change.path,
                late=round(change.late, 3),
            )
        self.detector.changes.clear()
