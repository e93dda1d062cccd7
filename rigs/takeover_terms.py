"""The terms of the takeover rig: its service groups, and the times of clients and engines in seconds."""

import json

from thistlelever.standins.configuration import GROUP, SETTINGS

# A try without an answer for so long is followed by another at another front, and is left open.
PATIENCE, LIMIT, GOAL = 0.9, 1.6, 3.0
# After this a client takes what it has heard for the end.
GIVES_UP, MOST_TRIES = 6.0, 12
# Groups, how often each comes, and how long a batch of it runs, in seconds.
GROUPS = ((6, "lookup", 0.02, 0.15), (3, "load", 0.2, 0.7), (3, "pay", 0.3, 0.8))
DROPS_AFTER = 2.0
# A place is too young to know all for the longest time limit and so long after its start.
KEEP = 0.5
GROWN = 2 * LIMIT + KEEP


def settings():
    told = json.loads(json.dumps(SETTINGS))
    limit = {"Deadline": int(LIMIT * 1e6), "Slo": 2_500_000}
    told["Classes"] = [
        GROUP | limit,
        GROUP | limit | {"Name": "load", "Idempotency": "by_key", "Value": 0.6},
        GROUP | limit | {"Name": "pay", "Idempotency": "once", "Value": 1.0},
    ]
    told["FamilyInfo"] |= {"HoldsTables": [False, False, False], "WidthByClass": [1, 1, 1], "KindCores": [64]}
    return told
