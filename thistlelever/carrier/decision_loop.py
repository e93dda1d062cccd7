"""Passes events to the decisions in batches and carries out the actions that they return."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from time import perf_counter

from thistlelever.ground import interface as it
from thistlelever.admission.decide import Front
from thistlelever.admission.turn_failures import TurnFailedError
from thistlelever.ground import clock
from thistlelever.ground.log import Log
from thistlelever.store.batches import Batches
from thistlelever.ground.metrics import Metrics


class DecisionLoop:
    """Collects events, passes them to the decisions together and carries out the actions in order.

    `tick` is the shortest time between two turns in seconds. `turns` and `busy_seconds` count the turns and
    the time that they took. A failure of the decisions is logged and counted.
    """

    def __init__(self, front: Front, tick: float, batches: Batches, metrics: Metrics, log: Log) -> None:
        """Pass events to `front`; `on_probe` and `on_ask_list` carry out those two actions."""
        self.front, self.batches, self.metrics, self.log = front, batches, metrics, log
        self.tick, self.next_turn_at = tick, 0.0
        self.events: list[it.Event] = []
        self.turns, self.busy_seconds = 0, 0.0
        # The dispatches that the last check found to be lost.
        self.known_lost: set[tuple[int, int]] = set()
        self.on_probe: Callable[[it.Probe], None] = lambda action: None
        self.on_ask_list: Callable[[], None] = lambda: None

    def add_event(self, event: it.Event) -> None:
        """Queue an event for the next turn, which is scheduled if it is not yet."""
        if not self.events:
            loop = asyncio.get_running_loop()
            if loop.time() >= self.next_turn_at:
                loop.call_soon(self.run_turn)
            else:
                loop.call_at(self.next_turn_at, self.run_turn)
        self.events.append(event)

    def run_turn(self) -> None:
        """Pass the queued events to the decisions.

        The next turn starts a tick after this one at the earliest, and no sooner after its end than it took:
        under overload the decisions leave half of the core to reading and answering.
        """
        events, self.events = self.events, []
        started = perf_counter()
        actions, failures = self.decide(events)
        for action in actions:
            self.execute(action)
        elapsed = perf_counter() - started
        self.turns += 1
        self.busy_seconds += elapsed
        self.next_turn_at = asyncio.get_running_loop().time() + max(self.tick - elapsed, elapsed)
        self.report_failures(failures)

    def decide(self, events: list[it.Event]) -> tuple[list[it.Action], list[Exception]]:
        """Return the actions of a turn, and what has failed in it."""
        try:
            return self.front.handle(clock.now(), events), []
        except TurnFailedError as turn:
            return turn.actions, turn.failures
        except Exception as failure:
            # Open batches are still answered, by their backstop timers at the time limit.
            return [], [failure]

    def report_failures(self, failures: list[Exception]) -> None:
        """Log and count what has failed in a turn, each failure by itself."""
        for failure in failures:
            self.metrics.add("decisions failed")
            trace = "".join(traceback.format_exception(failure))
            self.log("decisions failed", why=repr(failure), trace=trace)
        if __debug__ and failures:
            raise failures[0]

    def execute(self, action: it.Action) -> None:
        """Carry out one action, or put it into the inbox of its batch."""
        kind = type(action)
        if kind is it.Timer:
            loop = asyncio.get_running_loop()
            loop.call_later(action.delay, self.add_event, it.TimerDue(action.token))
        elif kind is it.Probe:
            self.on_probe(action)
        elif kind is it.AskList:
            self.on_ask_list()
        elif kind is it.Remark:
            self.log("remark", text=action.text)
        elif kind is not it.FollowList:
            batch = self.batches.by_number.get(action.batch)
            if batch is None:
                # Its client left, or its backstop fired, while the decisions were running.
                self.metrics.add("actions for what is over")
                if kind is it.Dispatch:
                    self.end_lost_dispatches(action.batch, it.DispatchOutcome.UNSENT)
            else:
                batch.inbox.put_nowait(action)

    def lost_dispatches(self) -> set[tuple[int, int]]:
        """Return the dispatches that the decisions hold for batches that are over, by batch and number.

        Those whose end waits for the next turn are left out.
        """
        lost = {key for key in self.front.open_dispatches if key[0] not in self.batches.by_number}
        return lost - {
            (event.batch, event.number) for event in self.events if type(event) is it.DispatchEnded
        }

    def end_lost_dispatches(self, batch: int, outcome: it.DispatchOutcome) -> None:
        """Report the end of the dispatches that the decisions hold for a batch which is over."""
        for key in sorted(self.lost_dispatches()):
            if key[0] == batch:
                engine = self.front.engine_ids[self.front.open_dispatches[key].engine]
                self.add_event(it.DispatchEnded(*key, engine, outcome, 0.0, True, 0.0, 0.0, ()))

    def check_lost_dispatches(self) -> None:
        """Log and count dispatches whose end the decisions would wait for in vain, each of them once."""
        lost = self.lost_dispatches()
        for batch, number in sorted(lost - self.known_lost):
            self.log("dispatch held for a batch that is over", batch=batch, number=number)
        none_new = lost <= self.known_lost
        self.known_lost = lost
        self.metrics.check_invariant(none_new, "no dispatch is held for a batch that is over")
