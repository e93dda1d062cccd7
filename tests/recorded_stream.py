"""Records events and actions of the decisions in a simulated tier: `python tests/recorded_stream.py FILE`.

`test_recorded_stream.py` replays the recording, to show that code that was renamed or moved still decides the
same. Make a new recording only with a change that is meant to change decisions, and say so in its commit.
"""

import gzip
import heapq
import json
import sys
from enum import Enum
from math import isinf
from zlib import crc32

from thistlelever.admission.decide import Front
from thistlelever.ground import interface as it
from thistlelever.ground.settings import build_settings
from thistlelever.ground.config import ConfigNode, SettingsReader, flatten_settings
from thistlelever.standins.configuration import SETTINGS

EVENTS = (
    it.BatchReceived,
    it.DispatchEnded,
    it.ProgressNote,
    it.ClientLeft,
    it.EngineListReceived,
    it.TimerDue,
    it.ProbeEnded,
    it.FrontCountChanged,
)
ACTIONS = (
    it.Dispatch,
    it.Terms,
    it.PushBack,
    it.Error,
    it.Cancel,
    it.Probe,
    it.Timer,
    it.AskList,
    it.FollowList,
)
STEPS, ENGINES, SEED = 2_000, 12, 7


def settings():
    """Query classes that differ in all that the decisions use, and a limited number of dispatches."""
    document = json.loads(json.dumps(SETTINGS))
    document["Balancers"] = 3
    return build_settings(SettingsReader(flatten_settings(ConfigNode(document, "settings"))))


def plain(value):
    """A value as JSON has it; bytes and infinity are objects, to differ from text."""
    if isinstance(value, bytes):
        return {"bytes": value.decode("latin-1")}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, float) and isinf(value):
        return {"float": "inf"}
    if isinstance(value, tuple):
        return [plain(item) for item in value]
    return value


def numbered(kinds, item):
    """The index of the item's type in `kinds`, and its fields."""
    return [kinds.index(type(item)), *(plain(field) for field in item)]


class Tier:
    """Clients and engines, simulated by the seed alone."""

    def __init__(self):
        self.front, self.now, self.number = Front(settings(), SEED), 100.0, 0
        self.due, self.draws, self.serial = [], 0, 1

    def random(self):
        self.draws += 1
        return crc32(b"%d recorded %d" % (SEED, self.draws)) / 2**32

    def engines(self):
        """The list of engines: at times some are draining, restarted or missing."""
        found = []
        for place in range(ENGINES):
            draw = self.random()
            if draw < 0.05:
                continue
            state = it.EngineState.DRAINING if draw < 0.12 else it.EngineState.READY
            started = self.now - 2.0 if draw > 0.93 else 0.0
            found.append(it.Engine(b"engine-%d" % place, place % 2, place % 3, 0, state, started, 4.0))
        return it.EngineListReceived(it.ListKind.WHOLE, self.serial, tuple(found))

    def batch(self):
        self.number += 1
        query_class, work = int(self.random() * 3), 0.05 + self.random()
        received = it.BatchReceived(
            self.number, query_class, 0, 0, 4.0, work, 8.0, float(int(self.random() * 5)), False
        )
        if self.random() < 0.03:
            self.schedule(self.random(), it.ClientLeft(self.number))
        return received

    def schedule(self, seconds, event):
        heapq.heappush(self.due, (self.now + seconds, self.draws, event))

    def carry_out(self, action):
        """Schedule the events that follow from an action."""
        if type(action) is it.Dispatch:
            self.run_dispatch(action)
        elif type(action) is it.Probe:
            self.schedule(
                0.02, it.ProbeEnded(action.engine, it.DispatchOutcome.RETURNED, 0.02, (2.0, self.random()))
            )
        elif type(action) is it.Timer:
            self.schedule(action.delay, it.TimerDue(action.token))

    def run_dispatch(self, action):
        number = next(
            n
            for n, dispatch in self.front.open_batches[action.batch].open_dispatches.items()
            if dispatch.sent_at == self.now
        )
        outcomes = (it.DispatchOutcome.RETURNED,) * 12 + (
            it.DispatchOutcome.FULL,
            it.DispatchOutcome.RESET,
            it.DispatchOutcome.UNREACHABLE,
            it.DispatchOutcome.ERRORED,
            it.DispatchOutcome.TIMED_OUT,
        )
        outcome, took = outcomes[int(self.random() * len(outcomes))], 0.02 + 0.4 * self.random()
        report = (float(int(8 * self.random())), 1.2 * self.random())
        complete = outcome is it.DispatchOutcome.RETURNED
        end = it.DispatchEnded(action.batch, number, action.engine, outcome, took, complete, 0.3, 9.0, report)
        if self.random() < 0.1:
            note = it.ProgressNote(
                action.batch, number, action.engine, it.ProgressKind.PROGRESS, self.random()
            )
            self.schedule(took / 2, note)
        self.schedule(took, end)

    def events(self):
        """All events that are due by now."""
        found = []
        while self.due and self.due[0][0] <= self.now:
            event = heapq.heappop(self.due)[2]
            if (
                type(event) is it.DispatchEnded
                and (event.batch, event.number) not in self.front.open_dispatches
            ):
                continue
            found.append(event)
        return found

    def step(self, place):
        self.now = round(self.now + 0.02 * self.random(), 6)
        events = self.events()
        if place % 200 == 0:
            self.serial += 1
            events.append(self.engines())
        if place % 700 == 600:
            events.append(it.FrontCountChanged(2 + place % 3))
        if self.random() < 0.8:
            events.append(self.batch())
        actions = self.front.handle(self.now, events)
        recorded_events = [numbered(EVENTS, event) for event in events]
        for action in actions:
            self.carry_out(action)
        return [self.now, recorded_events, [numbered(ACTIONS, action) for action in actions]]


def record():
    """Each step: its moment, the events handed in, the actions returned."""
    tier = Tier()
    return [tier.step(place) for place in range(STEPS)]


if __name__ == "__main__":
    with gzip.GzipFile(sys.argv[1], "wb", mtime=0) as file:
        file.write(json.dumps(record(), separators=(",", ":")).encode())
