"""A configuration for one front with fake engines and a fake directory."""

import json

GROUP = {
    "Name": "lookup",
    "Value": 1.0,
    "LateShare": 0.1,
    "Slo": 2000000,
    "AimStretch": 2.0,
    "Deadline": 4000000,
    "Idempotency": "repeatable",
    "DedupScope": "all",
    "Window": 5000000,
}
SETTINGS = {
    "Balancers": 1,
    "MyZone": 0,
    "OverShareWorth": 0.2,
    "Tick": 5000,
    "Weights": "nominal",
    "RegistryMode": "pushed",
    "FailureDomains": ["nord", "sud"],
    "Kinds": ["std"],
    "Classes": [
        GROUP,
        GROUP | {"Name": "load", "Idempotency": "by_key"},
        GROUP | {"Name": "pay", "Idempotency": "once"},
    ],
    "Parties": [{"Name": "acme", "QuotaPerS": 62.0}],
    "FamilyInfo": {
        "GrantCap": 0.4,
        "HoldsTables": [False, True, False],
        "KindCores": [16],
        "MemoryByKindMb": [32768.0],
        "MemoryHeeded": True,
        "NotePeriod": 2000000,
        "OutOfMemory": "queue",
        "RanksHeeded": True,
        "SaysCost": True,
        "WidthByClass": [1, 2, 1],
        "YieldsToLoads": [False, False, False],
    },
    "Invariants": {
        "AnswerSlack": 20000,
        "ColdShare": 0.3,
        "DrainGrace": 250000,
        "Fall": 1000000,
        "FallMultiple": 3.0,
        "WarmAfter": 14000000,
    },
    "Limits": {
        "Cancelling": True,
        "ConnectTimeout": 250000,
        "Keepalive": 30000000,
        "MaxAttempts": 2,
        "MaxRetryAfter": 1000000,
        "ParallelTries": False,
        "Probes": True,
        "RetryAfter": True,
    },
    "Prices": {"CrossZone": 0.0, "Probe": 0.01},
    "Telemetry": {"Fields": ["inflight", "util"], "How": "piggyback"},
}


def configuration(entries=(), dns="127.0.0.1:9", settings=SETTINGS):
    """Return the configuration as a dict; `entries` are of (name, address) or (name, address, zone)."""
    instances = [
        {
            "instanceId": name,
            "hostPort": address,
            "zone": (*zone, "nord")[0],
            "machineType": "std",
            "cell": 1,
            "lifecycle": "Ready",
            "weight": 4,
            "startedAtMs": 0,
        }
        for name, address, *zone in entries
    ]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "8c1f",
        "dns": dns,
        "limits": {"sockets": 1024},
        "known": {"pos": 3, "entries": [{"pos": 1, "hosts": {"instances": instances}}]},
        "settings": json.loads(json.dumps(settings)),
    }
