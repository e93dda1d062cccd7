"""Who published when, from the logs of the distributors, and whether each loss of a publisher had exactly one
successor."""

import json
from typing import NamedTuple

SEATED, DEPOSED = "publishes", "superseded"

NO_SUCCESSOR = "no successor after a loss"
TWO_SUCCESSORS = "more than one publisher after a loss"
OTHER_AT_START = "another than the configured publisher at a start"
DEPOSED_WITHOUT_FAULT = "a publisher deposed without a fault"


class RoleEvent(NamedTuple):
    """A distributor takes over the role (`SEATED`) or gives it up (`DEPOSED`), at a wall clock time."""

    at: float
    index: int
    event: str
    term: int


class Loss(NamedTuple):
    """The loss of the publisher `index`. `successor` is the distributor that confirmed the first change
    `seconds` later, or None."""

    at: float
    kind: str
    index: int
    successor: int | None
    seconds: float


def read_events(paths):
    """Returns the role events of all distributors in the order of time; `paths` are their logs by index."""
    events = []
    for index, path in enumerate(paths):
        lines = [json.loads(line) for line in path.read_bytes().splitlines()]
        events += [
            RoleEvent(line["at"], index, line["event"], line["term"])
            for line in lines
            if line["event"] in (SEATED, DEPOSED)
        ]
    return sorted(events)


def seated_between(events, begin, end):
    """Returns the indices of the distributors that took over the role in an interval, in the order of
    time."""
    return [event.index for event in events if event.event == SEATED and begin <= event.at < end]


def seated_by_loss(events, losses):
    """Returns the indices of the distributors that took over before the first loss, and a list of those that
    did after each loss and before the next."""
    begins = [0.0, *(loss.at for loss in losses)]
    ends = [*begins[1:], float("inf")]
    at_start, *after = (seated_between(events, *interval) for interval in zip(begins, ends, strict=True))
    return at_start, after


def deposed_without_fault(events, losses):
    """Returns the events of publishers that were deposed although they had not been lost in that term."""
    lost_terms = {}
    for loss in losses:
        terms = [event.term for event in events if event[1:3] == (loss.index, SEATED) and event.at < loss.at]
        if terms:
            lost_terms[loss.index, terms[-1]] = loss.at
    return [
        event
        for event in events
        if event.event == DEPOSED and event.at < lost_terms.get((event.index, event.term), float("inf"))
    ]


def broken_rules(events, losses):
    """Returns the rules that the role events break."""
    at_start, after = seated_by_loss(events, losses)
    broken = []
    if at_start != [0]:
        broken.append(OTHER_AT_START)
    if not all(after) or any(loss.successor is None for loss in losses):
        broken.append(NO_SUCCESSOR)
    if any(len(seated) > 1 for seated in after):
        broken.append(TWO_SUCCESSORS)
    if deposed_without_fault(events, losses):
        broken.append(DEPOSED_WITHOUT_FAULT)
    return broken
