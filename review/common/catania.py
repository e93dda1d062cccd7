"""The settings of catania-porto, with the figures of its brief and of the wire page's example."""

# ruff: noqa: D103, PLR0913

ZONES = ("sala-nord", "sala-centro", "sala-sud")


def settings(fronts: int = 1, zone: int = 0) -> dict:
    def group(name, value, late, slo, stretch, deadline, effect="repeatable", window=5_000_000) -> dict:
        return {
            "Name": name,
            "Value": value,
            "LateShare": late,
            "Slo": slo,
            "AimStretch": stretch,
            "Deadline": deadline,
            "Idempotency": effect,
            "DedupScope": "all",
            "Window": window,
            "Stream": False,
        }

    return {
        "Balancers": fronts,
        "Rank": 0,
        "MyZone": zone,
        "Tick": 5000,
        "Tier": 0,
        "Tiers": ["motori-query"],
        "KindOfService": "queries",
        "CountedBy": "request",
        "Weights": "nominal",
        "RegistryMode": "pushed",
        "OverShareWorth": 0.2,
        "FailureDomains": list(ZONES),
        "Kinds": ["std-16"],
        "Classes": [
            group("lookup", 1.0, 0.1, 800_000, 2.0, 4_000_000),
            group("report", 8.0, 0.3, 3_000_000, 2.5, 15_000_000),
            group("load", 10.0, 0.5, 4_000_000, 3.0, 25_000_000, "by_key", 25_000_000),
        ],
        "Clients": {"MarksRetry": True},
        "FamilyInfo": {
            "GrantCap": 0.4,
            "HoldsTables": [False, False, True],
            "KindCores": [16],
            "MemoryByKindMb": [32768.0],
            "MemoryHeeded": True,
            "NotePeriod": 2_000_000,
            "OutOfMemory": "queue",
            "RanksHeeded": True,
            "SaysCost": True,
            "WidthByClass": [1, 3, 2],
            "YieldsToLoads": [False, False, False],
        },
        "Goal": {"Whole": 0.5, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.2},
        "Invariants": {
            "AnswerSlack": 20_000,
            "ColdShare": 0.3,
            "DrainGrace": 250_000,
            "Fall": 1_000_000,
            "FallMultiple": 3.0,
            "WarmAfter": 14_000_000,
        },
        "Limits": {
            "Cancelling": True,
            "ConnectTimeout": 250_000,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 400_000,
            "Keepalive": 30_000_000,
            "MaxAttempts": 3,
            "MaxOpen": 20_000,
            "MaxRetryAfter": 1_000_000,
            "MaxStreams": 100,
            "MayTell": True,
            "ParallelTries": False,
            "Probes": True,
            "RetryAfter": True,
        },
        "Parties": [
            {"Name": "etna-spedizioni", "QuotaPerS": 62.0, "Share": 0.71},
            {"Name": "mareblu-dogane", "QuotaPerS": 25.0, "Share": 0.29},
        ],
        "Prices": {
            "Connection": 0.0,
            "CrossZone": 0.024,
            "Handshake": 0.0,
            "LateFail": 0.043,
            "Peer": 0.01,
            "Probe": 0.01,
            "Waste": 0.08,
        },
        "Telemetry": {"Fields": ["inflight", "util", "x1"], "How": "piggyback"},
    }
