"""Membership reports for the administration socket."""

from __future__ import annotations

from thistlelever.membership.failure_detector import FailureDetector
from thistlelever.membership.member import Member
from thistlelever.membership.types import Change


def show(detector: FailureDetector, now: float) -> dict:
    """The whole view with counters."""
    view = detector.view(now)
    return {
        "name": detector.identity.name,
        "state": detector.local.state.name.lower(),
        "alone": view.isolation_reason,
        "fronts": view.fronts,
        "alive": view.alive,
        "suspected": view.suspected,
        "unfit": view.unfit,
        "incarnation": detector.local.incarnation,
        "health": detector.health.score,
        "digest": f"{detector.table.digest:08x}",
        "members": [describe_member(member, now) for _, member in sorted(detector.members.items())],
        "counts": dict(sorted(detector.counts.items())),
    }


def explain(detector: FailureDetector, name: str, now: float) -> dict:
    """The recorded state changes of one member: who reported them, over which path, how late; none for an
    unknown name.
    """
    member = detector.members.get(name)
    if member is None:
        state = "this front itself" if name == detector.identity.name else "not known here"
        return {"name": name, "state": state, "story": []}
    changes = [describe_change(change, now) for change in member.changes]
    return describe_member(member, now) | {"story": changes}


def describe_member(member: Member, now: float) -> dict:
    """One member: state, address and evidence; times in seconds."""
    answered = round(now - member.answered_at, 3) if member.answered_at > 0 else None
    return {
        "name": member.name,
        "address": "{}:{}".format(*member.address),
        "state": member.state.name.lower(),
        "for_s": round(now - member.since, 3),
        "answered_ago_s": answered,
        "incarnation": member.incarnation,
        "life": member.life,
        "accusers": len(member.accusers),
        "refutals": len(member.refuted_at),
    }


def describe_change(change: Change, now: float) -> dict:
    """One state change of a member; times in seconds."""
    return {
        "ago_s": round(now - change.at, 3),
        "state": change.state.name.lower(),
        "was": change.was.name.lower() if change.was is not None else "",
        "by": change.by,
        "path": change.path,
        "late_s": round(change.late, 3),
    }
