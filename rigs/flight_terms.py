"""The terms of the Flight rig: its engines, the faults of their calls, and what its clients do."""

import json

from thistlelever.standins.configuration import GROUP, SETTINGS

# How many batches clients have under way at once, and how large a result is held before it goes on.
MOST_OPEN_BATCHES, HELD_BYTES = 24, 16_384
# How long a key rests after an attempt that may still run; after a drain is told, how long sends go on, and
# how much later the rig may see one.
KEY_REST_S, DRAIN_GRACE_S, DRAIN_SEEN_LATE_S = 0.1, 0.25, 0.15
# The budget of further dispatches: so many, and a share of what was taken in the window.
RETRY_FLOOR, RETRY_SHARE, RETRY_WINDOW_S = 20.0, 0.5, 2.0
# The time limit of each batch, the rows of a long result, and how many are long.
LIMIT_MS, ROWS_LONG, LONG_SHARE = 1_500, 900, 0.15
# The engines by the protocol that they speak, and their zones.
ZONES = {"h-alba": "nord", "h-bruma": "sud", "f-cala": "nord", "f-duna": "sud"}
# Faults by call, with how often each comes; the rest of calls go as usual.
HTTP_FAULTS = {
    "POST": [
        (2, "full"),
        (1, "unsent"),
        (1, "error"),
        (2, "reset"),
        (1, "ran reset"),
        (0.4, "silent"),
        (93, ""),
    ],
    "GET0": [(3, "reset"), (97, "")],
    "GET1": [(2, "500"), (2, "reset"), (96, "")],
    "DELETE": [(5, "reset"), (95, "")],
}
FLIGHT_FAULTS = {
    "GetFlightInfo": [
        (2, "full"),
        (1, "unsent"),
        (1, "error"),
        (1, "lost"),
        (1, "ran lost"),
        (0.4, "silent"),
        (94, ""),
    ],
    "DoGet": [
        (1, "cut 0"),
        (1, "cut 1"),
        (1, "cut 2"),
        (8, "cut 7"),
        (1, "cut 99"),
        (0.3, "silent"),
        (1, "empty"),
        (1, "error"),
        (2, "notes advance=0.2 advance=0.7"),
        (0.5, "raw 1204ffffffff"),
        (83, ""),
    ],
    "DoPut": [(2, "full"), (1, "lost"), (1, "ran lost"), (96, "")],
    "CancelFlightInfo": [(5, "lost"), (95, "")],
}
DOORS = [(50, "rpc"), (50, "flight")]
GROUPS = [(55, "lookup"), (25, "load"), (20, "pay")]
MANNERS = {
    "rpc": [(90, "usual"), (6, "withdraws"), (4, "hangs up")],
    "flight": [
        (66, "usual"),
        (5, "update"),
        (5, "prepared"),
        (5, "cancels"),
        (4, "calls off"),
        (4, "hangs up"),
        (4, "reads slowly"),
        (2, "never redeems"),
        (3, "redeems twice"),
        (2, "forges"),
    ],
}


def settings():
    """Three groups: look-ups that may be repeated, loads in order by key whose repeats one zone drops, and
    payments that run once."""
    told = json.loads(json.dumps(SETTINGS))
    limit = {"Deadline": LIMIT_MS * 1000, "Slo": 800_000}
    told["Classes"] = [
        GROUP | limit,
        GROUP
        | limit
        | {"Name": "load", "Value": 0.8, "Idempotency": "by_key", "DedupScope": "zone", "Sequential": True},
        GROUP | limit | {"Name": "pay", "Value": 0.6, "Idempotency": "once"},
    ]
    told["Limits"]["MaxAttempts"] = 4
    told["Invariants"] |= {
        "KeyRest": int(KEY_REST_S * 1e6),
        "ExtraFloor": RETRY_FLOOR,
        "ResendRatio": RETRY_SHARE,
        "LookBack": int(RETRY_WINDOW_S * 1e6),
    }
    return told
