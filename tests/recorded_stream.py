"""Records what passes between the decisions and a simulated tier: `python tests/recorded_stream.py FILE`.

The recording is replayed by `test_recorded_stream.py`, so that renaming and moving code can be told from
changing what it decides. Record anew only with a change that is meant to change decisions, and say so in
its commit.
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
from thistlelever.standins.papers import SETTINGS

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
    """Classes that differ in all that the decisions look at, and a bounded number of further attempts."""
    told = json.loads(json.dumps(SETTINGS))
    told["Balancers"] = 3
    return build_settings(SettingsReader(flatten_settings(ConfigNode(told, "settings"))))


def plain(value):
    """A value as JSON has it; bytes and infinity told apart from text."""
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
    """The place of a type among its kinds, and the fields."""
    return [kinds.index(type(item)), *(plain(field) for field in item)]


class Tier:
    """Clients and engines that behave by the seed alone."""

    def __init__(self):
        self.front, self.now, self.number = Front(settings(), SEED), 100.0, 0
        self.due, self.draws, self.serial = [], 0, 1

    def chance(self):
        self.draws += 1
        return crc32(b"%d recorded %d" % (SEED, self.draws)) / 2**32

    def engines(self):
        """The list, of which some engines drain, are started anew or are away at times."""
        found = []
        for place in range(ENGINES):
            draw = self.chance()
            if draw < 0.05:
                continue
            state = it.EngineState.DRAINING if draw < 0.12 else it.EngineState.READY
            started = self.now - 2.0 if draw > 0.93 else 0.0
            found.append(it.Engine(b"engine-%d" % place, place % 2, place % 3, 0, state, started, 4.0))
        return it.EngineListReceived(it.ListKind.WHOLE, self.serial, tuple(found))

    def taken(self):
        self.number += 1
        group, work = int(self.chance() * 3), 0.05 + self.chance()
        told = it.BatchReceived(
            self.number, group, 0, 0, 4.0, work, 8.0, float(int(self.chance() * 5)), False
        )
        if self.chance() < 0.03:
            self.later(self.chance(), it.ClientLeft(self.number))
        return told

    def later(self, seconds, event):
        heapq.heappush(self.due, (self.now + seconds, self.draws, event))

    def carry(self, action):
        """What an engine does with what it is sent."""
        if type(action) is it.Dispatch:
            self.attempt(action)
        elif type(action) is it.Probe:
            self.later(
                0.02, it.ProbeEnded(action.engine, it.DispatchOutcome.RETURNED, 0.02, (2.0, self.chance()))
            )
        elif type(action) is it.Timer:
            self.later(action.delay, it.TimerDue(action.token))

    def attempt(self, action):
        number = next(n for n, sent in self.front.open[action.batch].out.items() if sent.at == self.now)
        outcomes = (it.DispatchOutcome.RETURNED,) * 12 + (
            it.DispatchOutcome.FULL,
            it.DispatchOutcome.RESET,
            it.DispatchOutcome.UNREACHABLE,
            it.DispatchOutcome.ERRORED,
            it.DispatchOutcome.TIMED_OUT,
        )
        outcome, took = outcomes[int(self.chance() * len(outcomes))], 0.02 + 0.4 * self.chance()
        report = (float(int(8 * self.chance())), 1.2 * self.chance())
        complete = outcome is it.DispatchOutcome.RETURNED
        end = it.DispatchEnded(action.batch, number, action.engine, outcome, took, complete, 0.3, 9.0, report)
        if self.chance() < 0.1:
            note = it.ProgressNote(
                action.batch, number, action.engine, it.ProgressKind.PROGRESS, self.chance()
            )
            self.later(took / 2, note)
        self.later(took, end)

    def events(self):
        """All that has happened by now."""
        found = []
        while self.due and self.due[0][0] <= self.now:
            event = heapq.heappop(self.due)[2]
            if type(event) is it.DispatchEnded and (event.batch, event.number) not in self.front.sent:
                continue
            found.append(event)
        return found

    def step(self, place):
        self.now = round(self.now + 0.02 * self.chance(), 6)
        events = self.events()
        if place % 200 == 0:
            self.serial += 1
            events.append(self.engines())
        if place % 700 == 600:
            events.append(it.FrontCountChanged(2 + place % 3))
        if self.chance() < 0.8:
            events.append(self.taken())
        actions = self.front.handle(self.now, events)
        told = [numbered(EVENTS, event) for event in events]
        for action in actions:
            self.carry(action)
        return [self.now, told, [numbered(ACTIONS, action) for action in actions]]


def record():
    """Each step: the moment, the events told, the actions that came back."""
    tier = Tier()
    return [tier.step(place) for place in range(STEPS)]


if __name__ == "__main__":
    with gzip.GzipFile(sys.argv[1], "wb", mtime=0) as file:
        file.write(json.dumps(record(), separators=(",", ":")).encode())
