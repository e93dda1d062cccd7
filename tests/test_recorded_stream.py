"""A recorded stream of events, told to the decisions again, brings the same actions."""

import gzip
import json
from pathlib import Path

from recorded_stream import ACTIONS, EVENTS, SEED, numbered, settings

from thistlelever.admission.decide import Front
from thistlelever.ground import interface as it

RECORDING = Path(__file__).parent / "recorded" / "decisions.json.gz"


def value(field):
    """A field as it was told."""
    if isinstance(field, dict):
        return field["bytes"].encode("latin-1") if "bytes" in field else float(field["float"])
    return tuple(map(value, field)) if isinstance(field, list) else field


def engine(fields):
    known = it.Engine(*fields)
    return known._replace(state=it.EngineState(known.state))


def event(place, *fields):
    """An event as it was told, enums included."""
    kind = EVENTS[place]
    told = kind(*map(value, fields))
    if kind in (it.DispatchEnded, it.ProbeEnded):
        return told._replace(outcome=it.DispatchOutcome(told.outcome))
    if kind is it.ProgressNote:
        return told._replace(kind=it.ProgressKind(told.kind))
    if kind is it.EngineListReceived:
        return told._replace(kind=it.ListKind(told.kind), engines=tuple(map(engine, told.engines)))
    return told


def test_the_same_events_bring_the_same_actions():
    with gzip.open(RECORDING) as file:
        steps = json.load(file)
    front, kinds = Front(settings(), SEED), set()
    for place, (now, events, wanted) in enumerate(steps):
        actions = front.handle(now, [event(*told) for told in events])
        found = json.loads(json.dumps([numbered(ACTIONS, action) for action in actions]))
        assert found == wanted, f"step {place} at {now}"
        kinds |= {action[0] for action in wanted}
    assert len(steps) == 2_000 and len(kinds) >= 5
