"""Where membership is on: hands datagrams, turns and facts to its judge, and carries out what it says."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistlelever.carrier.peers import Peers
from thistlelever.ground import clock
from thistlelever.ground.log import Log
from thistlelever.ground.metrics import Metrics
from thistlelever.membership.facts import Send, View
from thistlelever.membership.judge import Judge
from thistlelever.wire import peers as wire


class Members:
    """One judge on the loop's clock. `on_view` is told whenever what others may act on has changed."""

    def __init__(
        self, judge: Judge, peers: Peers, metrics: Metrics, log: Log, on_view: Callable[[View], None]
    ) -> None:
        self.judge, self.peers, self.metrics, self.log, self.on_view = judge, peers, metrics, log, on_view
        self.timer: asyncio.TimerHandle | None = None
        self.told: View | None = None
        peers.matters[wire.MEMBERSHIP] = self.heard
        peers.fresh = self.fresh

    def open(self) -> None:
        self.judge.turned_at = clock.now()
        self.turn()

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()

    def fresh(self) -> bool:
        return not self.judge.awake(clock.now())

    def turn(self) -> None:
        # What waits at the socket came before this moment: read after the timers, answers that are there
        # would count as missing.
        self.peers.read()
        now = clock.now()
        self.carry(self.judge.turn(now))
        view = self.judge.view(now)
        if view != self.told:
            self.told = view
            self.on_view(view)
        at = max(self.judge.due(), now + 0.001)
        self.timer = asyncio.get_running_loop().call_at(clock.on_loop(at), self.turn)

    def heard(self, source: tuple[str, int], body: bytes) -> None:
        message, rumours = wire.decode(body)
        self.carry(self.judge.heard(clock.now(), source, message, rumours))

    def leave(self) -> None:
        self.carry(self.judge.leave(clock.now()))

    def carry(self, sends: list[Send]) -> None:
        for send in sends:
            self.peers.send(send.address, wire.encode(send.message, self.peers.tier))
        for change in self.judge.changes:
            mine, state = change.name == self.judge.me.name, change.state.name.lower()
            self.metrics.add(f"membership: {change.path}" if mine else f"members: {state}")
            # A kind of line for each state: the log bounds lines by kind, and doubts must not crowd out
            # deaths.
            self.log(
                "membership" if mine else f"member {state}",
                member=change.name,
                by=change.by,
                was=change.was.name.lower() if change.was is not None else "",
                path=change.path,
                late=round(change.late, 3),
            )
        self.judge.changes.clear()
