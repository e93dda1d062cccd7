"""Reports of a front on its open batches, for the commands `inhand show` and `inhand explain`."""

from __future__ import annotations

from thistlelever.takeover.facts import Liveness
from thistlelever.takeover.lease import Lease
from thistlelever.takeover.lease_manager import LeaseManager
from thistlelever.takeover.replica import Record
from thistlelever.wire.peers import address_of


def show(manager: LeaseManager, now: float) -> dict:
    """Counts of own batches and of records kept for other fronts, and each run that this front took over."""
    leases = manager.leases.values()
    own = [w for w in leases if w.recoverable and not w.as_successor]
    return {
        "own": len(own),
        "protected": sum(w.is_held(now) and not w.unprotected_reason for w in own),
        "unprotected": sum(bool(w.unprotected_reason) for w in own),
        "lazy": sum(not w.recoverable for w in leases),
        "kept": len(manager.replica.records),
        "young": manager.replica.is_incomplete(now),
        "failing": manager.replica.failure,
        "taken": [run_view(t, now) for _, t in sorted(manager.successor.inherited.items())],
    }


def run_view(run, now: float) -> dict:
    """One run that this front keeps alive for a lost one; `for_s` is how long, in seconds."""
    return {
        "key": run.key.hex(),
        "batch": run.txn.hex(),
        "engine": run.engine,
        "owner": "{}:{}".format(*address_of(run.owner.address)),
        "for_s": round(now - run.since, 3),
        "claimed": run.claim_status,
        "engine_says": run.engine_status,
    }


def explain(manager: LeaseManager, batch: str, now: float) -> dict:
    """All that this front knows of a batch, given its id or idempotency key in hexadecimal."""
    try:
        key = bytes.fromhex(batch)
    except ValueError:
        return {"batch": batch, "found": False}
    leases = [w for w in manager.leases.values() if key in (w.key, w.owner.txn)]
    records = [k for k in manager.replica.records.values() if key == k.key or k.value and key == k.value.txn]
    runs = [t for t in manager.successor.inherited.values() if key in (t.key, t.txn)]
    return {
        "batch": batch,
        "found": bool(leases or records or runs),
        "own": [lease_view(manager, w, now) for w in leases],
        "kept": [record_view(manager, k, now) for k in records],
        "taken": [run_view(t, now) for t in runs],
    }


def lease_view(manager: LeaseManager, lease: Lease, now: float) -> dict:
    """A batch of this front; `sure_for_s` is how long its lease still runs, in seconds."""
    return {
        "batch": lease.owner.txn.hex(),
        "key": lease.key.hex(),
        "phase": lease.phase.value,
        "epoch": lease.epoch,
        "state": lease.state.name.lower(),
        "engine": lease.engine,
        "unprotected": lease.unprotected_reason,
        "sure_for_s": round(max(lease.expires_at - now, 0.0), 3),
        "places": ["{}:{}".format(*replica) for replica in lease.replicas],
    }


def record_view(manager: LeaseManager, record: Record, now: float) -> dict:
    """A record kept for another front; times in seconds."""
    value, owner = record.value, record.responsible_owner
    liveness = manager.successor.liveness(address_of(owner.address), owner.life) if owner else Liveness.GONE
    return {
        "key": record.key.hex(),
        "epoch": record.epoch,
        "heir": record.by_successor,
        "lease_s": round(record.lease_left(now), 3),
        "owner": "{}:{}".format(*address_of(owner.address)) if owner else "",
        "owner_is": liveness.name.lower(),
        "heard_ago_s": round(now - record.heard_at, 3),
        "state": value.state.name.lower() if value else "",
        "engine": value.engine if value else "",
        "batch": value.txn.hex() if value else "",
    }
