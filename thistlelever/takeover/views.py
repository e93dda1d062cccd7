"""What a front says of work in hand to those who ask it."""

from __future__ import annotations

from thistlelever.takeover.facts import Liveness
from thistlelever.takeover.lease import Lease
from thistlelever.takeover.lease_manager import LeaseManager
from thistlelever.takeover.replica import Record
from thistlelever.wire.peers import address_of


def show(judge: LeaseManager, now: float) -> dict:
    """Counts of what is its own, kept for others and taken over, and each that is taken over."""
    wards = judge.wards.values()
    mine = [w for w in wards if w.marked and not w.heir]
    return {
        "own": len(mine),
        "protected": sum(w.holds(now) and not w.bare for w in mine),
        "unprotected": sum(bool(w.bare) for w in mine),
        "lazy": sum(not w.marked for w in wards),
        "kept": len(judge.holder.kept),
        "young": judge.holder.young(now),
        "failing": judge.holder.failing,
        "taken": [taken(t, now) for _, t in sorted(judge.heirs.taken.items())],
    }


def taken(one, now: float) -> dict:
    return {
        "key": one.key.hex(),
        "batch": one.txn.hex(),
        "engine": one.engine,
        "owner": "{}:{}".format(*address_of(one.owner.address)),
        "for_s": round(now - one.since, 3),
        "claimed": one.claimed,
        "engine_says": one.word,
    }


def explain(judge: LeaseManager, batch: str, now: float) -> dict:
    """All that is known here of a batch, by its id or its mark."""
    try:
        key = bytes.fromhex(batch)
    except ValueError:
        return {"batch": batch, "found": False}
    wards = [w for w in judge.wards.values() if key in (w.key, w.owner.txn)]
    kept = [k for k in judge.holder.kept.values() if key == k.key or k.value and key == k.value.txn]
    inherited = [t for t in judge.heirs.taken.values() if key in (t.key, t.txn)]
    return {
        "batch": batch,
        "found": bool(wards or kept or inherited),
        "own": [own(judge, w, now) for w in wards],
        "kept": [record(judge, k, now) for k in kept],
        "taken": [taken(t, now) for t in inherited],
    }


def own(judge: LeaseManager, ward: Lease, now: float) -> dict:
    return {
        "batch": ward.owner.txn.hex(),
        "key": ward.key.hex(),
        "phase": ward.phase.value,
        "epoch": ward.epoch,
        "state": ward.state.name.lower(),
        "engine": ward.engine,
        "unprotected": ward.bare,
        "sure_for_s": round(max(ward.lease_till - now, 0.0), 3),
        "places": ["{}:{}".format(*place) for place in ward.places],
    }


def record(judge: LeaseManager, kept: Record, now: float) -> dict:
    value, owner = kept.value, kept.behind
    standing = judge.heirs.standing(address_of(owner.address), owner.life) if owner else Liveness.GONE
    return {
        "key": kept.key.hex(),
        "epoch": kept.epoch,
        "heir": kept.heir,
        "lease_s": round(kept.left(now), 3),
        "owner": "{}:{}".format(*address_of(owner.address)) if owner else "",
        "owner_is": standing.name.lower(),
        "heard_ago_s": round(now - kept.heard_at, 3),
        "state": value.state.name.lower() if value else "",
        "engine": value.engine if value else "",
        "batch": value.txn.hex() if value else "",
    }
