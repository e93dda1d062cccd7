"""Parameters of the rig `flight`: engines, faults of their calls, and behaviours of clients."""

import json

from thistlelever.standins.configuration import GROUP, SETTINGS

# The most batches open at once, and the bytes of a result that the front buffers before it streams it.
MAX_OPEN_BATCHES, MAX_BUFFERED_BYTES = 24, 16_384
# The cool-down of a key after a dispatch that may still run; how long dispatches continue after a list with a
# drain was sent, and how much later one may arrive at the engine.
KEY_COOL_DOWN_S, DRAIN_GRACE_S, DRAIN_OBSERVATION_DELAY_S = 0.1, 0.25, 0.15
# The retry budget: a fixed number of dispatches, and a share of the batches received in the window.
RETRY_BUDGET_FLOOR, RETRY_BUDGET_SHARE, RETRY_WINDOW_S = 20.0, 0.5, 2.0
# The deadline of each batch, the rows of a long result, and the share of long results.
DEADLINE_MS, LONG_RESULT_ROWS, LONG_RESULT_SHARE = 1_500, 900, 0.15
# The share of look-ups over JSON-RPC of which one dispatch, if it goes to an engine with Flight, runs on
# there after its call broke.
DETACHED_SHARE = 0.3
# The zone of each engine. Names with h- speak HTTP, names with f- Flight.
ZONES = {"h-alba": "nord", "h-bruma": "sud", "f-cala": "nord", "f-duna": "sud"}
# The weighted faults of each call; an empty name is a call without a fault.
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
INTERFACES = [(50, "rpc"), (50, "flight")]
QUERY_CLASSES = [(55, "lookup"), (25, "load"), (20, "pay")]
BEHAVIOURS = {
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
    """Settings with three query classes: idempotent look-ups, sequential loads that the engines of a zone
    deduplicate by idempotency key, and non-idempotent payments."""
    result = json.loads(json.dumps(SETTINGS))
    deadline = {"Deadline": DEADLINE_MS * 1000, "Slo": 800_000}
    result["Classes"] = [
        GROUP | deadline,
        GROUP
        | deadline
        | {"Name": "load", "Value": 0.8, "Idempotency": "by_key", "DedupScope": "zone", "Sequential": True},
        GROUP | deadline | {"Name": "pay", "Value": 0.6, "Idempotency": "once"},
    ]
    result["Limits"]["MaxAttempts"] = 4
    result["Invariants"] |= {
        "KeyRest": int(KEY_COOL_DOWN_S * 1e6),
        "ExtraFloor": RETRY_BUDGET_FLOOR,
        "ResendRatio": RETRY_BUDGET_SHARE,
        "LookBack": int(RETRY_WINDOW_S * 1e6),
    }
    return result
