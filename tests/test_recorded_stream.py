"""The decisions return the same actions for a recorded stream of events."""

import gzip
import json
from pathlib import Path

from recorded_stream import ACTIONS, EVENTS, SEED, numbered, settings

from thistlelever.admission.decide import Front
from thistlelever.ground import interface as it

RECORDING = Path(__file__).parent / "recorded" / "decisions.json.gz"


def value(field):
    """A field as it was before it was recorded."""
    if isinstance(field, dict):
        return field["bytes"].encode("latin-1") if "bytes" in field else float(field["float"])
    return tuple(map(value, field)) if isinstance(field, list) else field


def engine(fields):
    entry = it.Engine(*fields)
    return entry._replace(state=it.EngineState(entry.state))


def event(index, *fields):
    """An event as it was before it was recorded, enums included."""
    event_type = EVENTS[index]
    recorded = event_type(*map(value, fields))
    if event_type in (it.DispatchEnded, it.ProbeEnded):
        return recorded._replace(outcome=it.DispatchOutcome(recorded.outcome))
    if event_type is it.ProgressNote:
        return recorded._replace(kind=it.ProgressKind(recorded.kind))
    if event_type is it.EngineListReceived:
        return recorded._replace(
            kind=it.ListKind(recorded.kind), engines=tuple(map(engine, recorded.engines))
        )
    return recorded


def test_the_same_events_bring_the_same_actions():
    with gzip.open(RECORDING) as file:
        steps = json.load(file)
    front, kinds = Front(settings(), SEED), set()
    for place, (now, events, wanted) in enumerate(steps):
        actions = front.handle(now, [event(*recorded) for recorded in events])
        found = json.loads(json.dumps([numbered(ACTIONS, action) for action in actions]))
        assert found == wanted, f"step {place} at {now}"
        kinds |= {action[0] for action in wanted}
    assert len(steps) == 2_000 and len(kinds) >= 5
