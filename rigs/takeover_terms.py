"""Settings of the takeover rig: its query classes, and the times of clients and engines in seconds."""

import json

from thistlelever.standins.configuration import GROUP, SETTINGS

# After RESUBMIT_S without an answer a client submits to another front and leaves the first submission open.
RESUBMIT_S, TIME_LIMIT_S, LATENCY_GOAL_S = 0.9, 1.6, 3.0
# After this a client takes the answers received so far as final.
GIVE_UP_S, MAX_SUBMISSIONS = 6.0, 12
# For each query class: its weight, its name, and the shortest and longest run of a batch in seconds.
QUERY_CLASSES = ((6, "lookup", 0.02, 0.15), (3, "load", 0.2, 0.7), (3, "pay", 0.3, 0.8))
ENGINE_DROP_S = 2.0
# A replica is incomplete for the longest time limit plus its retention after its start.
RETENTION_S = 0.5
REPLICAS_COMPLETE_S = 2 * TIME_LIMIT_S + RETENTION_S


def settings():
    """Returns the settings that the directory gives to the fronts."""
    changed = json.loads(json.dumps(SETTINGS))
    limit = {"Deadline": int(TIME_LIMIT_S * 1e6), "Slo": 2_500_000}
    changed["Classes"] = [
        GROUP | limit,
        GROUP | limit | {"Name": "load", "Idempotency": "by_key", "Value": 0.6},
        GROUP | limit | {"Name": "pay", "Idempotency": "once", "Value": 1.0},
    ]
    changed["FamilyInfo"] |= {
        "HoldsTables": [False, False, False],
        "WidthByClass": [1, 1, 1],
        "KindCores": [64],
    }
    return changed
