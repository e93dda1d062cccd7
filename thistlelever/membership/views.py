"""What a front says of its tier to those who ask it."""

from __future__ import annotations

from thistlelever.membership.facts import Change, Member
from thistlelever.membership.judge import Judge


def show(judge: Judge, now: float) -> dict:
    """The whole view, with counts."""
    view = judge.view(now)
    return {
        "name": judge.me.name,
        "state": judge.state.name.lower(),
        "alone": view.alone,
        "fronts": view.fronts,
        "alive": view.alive,
        "suspected": view.suspected,
        "unfit": view.unfit,
        "incarnation": judge.incarnation,
        "health": judge.score,
        "digest": f"{judge.digest:08x}",
        "members": [one(m, now) for _, m in sorted(judge.members.items())],
        "counts": dict(sorted(judge.counts.items())),
    }


def one(member: Member, now: float) -> dict:
    heard = round(now - member.heard_at, 3) if member.heard_at > 0 else None
    return {
        "name": member.name,
        "address": "{}:{}".format(*member.address),
        "state": member.state.name.lower(),
        "for_s": round(now - member.since, 3),
        "answered_ago_s": heard,
        "incarnation": member.incarnation,
        "life": member.life,
        "accusers": len(member.accusers),
        "refutals": len(member.refutals),
    }


def explain(judge: Judge, name: str, now: float) -> dict:
    """Why a member is held to be what it is: who said so, over which path, how late."""
    member = judge.members.get(name)
    if member is None:
        return {
            "name": name,
            "state": "this front itself" if name == judge.me.name else "not known here",
            "story": [],
        }
    return one(member, now) | {"story": [told(change, now) for change in member.story]}


def told(change: Change, now: float) -> dict:
    return {
        "ago_s": round(now - change.at, 3),
        "state": change.state.name.lower(),
        "was": change.was.name.lower() if change.was is not None else "",
        "by": change.by,
        "path": change.path,
        "late_s": round(change.late, 3),
    }
