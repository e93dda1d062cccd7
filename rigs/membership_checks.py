"""The membership rig's books of what was done to fronts against each front's log."""

from collections import Counter

# A paused or cut front is not at fault in others' eyes for so long after it is back: word has to travel.
BACK = 1.5
# How often one may be doubted in one view over the run; each refutation makes the next doubt last longer.
MOST_DOUBTS = 10
# Of a cut between two, the part for which the one may doubt the other: others see that it lives, and say so.
MOST_DOUBTED = 0.25


def covered(fault, at):
    return fault["from"] - 0.05 <= at <= fault["till"] + BACK


def judged(fleet, play):
    """The books against each other: figures, and what is broken."""
    deaths, own_accusations, flaps = judged_deaths(fleet)
    missed, detected = judged_kills(fleet)
    doubts = most_doubts(fleet)
    cuts = [fault for fault in fleet.faults if fault["kind"] == "pair"]
    broken = list(play.broken)
    if deaths:
        old = any("incarnation" in death["path"] for death in deaths)
        broken.append("false death" + (": an old incarnation" if old else ""))
    if own_accusations:
        broken.append("own health: a front that is cut off held others dead")
    if missed:
        broken.append("a death that some of the living never held")
    if any(doubted(fleet, cut) > 2 or doubted_share(fleet, cut) > MOST_DOUBTED for cut in cuts):
        broken.append("detours: a link broken between two is doubt of one of them")
    if doubts > MOST_DOUBTS:
        broken.append("incarnations: one that refuted is doubted again and again")
    if flaps:
        broken.append("flapping")
    return broken, {
        "false_deaths": len(deaths),
        "false": deaths[:4],
        "missed_deaths": missed,
        "flaps": flaps,
        "most_doubts_of_one_in_one_view": doubts,
        "pairs_cut": [cut["names"] for cut in cuts],
        "doubted_share": [round(doubted_share(fleet, cut), 3) for cut in cuts],
        "detect_p50_s": round(detected[len(detected) // 2], 3) if detected else None,
        "detect_p99_s": round(detected[int(len(detected) * 0.99)], 3) if detected else None,
        "agree_after_s": [round(took, 2) for took in play.healing],
    }


def judged_deaths(fleet):
    """Deaths that fronts came to believe in without a cause, how many a front that was cut off believed in,
    and deaths of one front in one view past those that it suffered."""
    false, own_accusations, flaps = [], 0, 0
    suffered = Counter(n for f in fleet.faults if f["kind"] != "pair" for n in flat(f["names"]))
    for front in fleet.fronts:
        deaths = [line for line in front.lines if line["event"] == "member dead"]
        for line in deaths:
            if is_cut_off(fleet, front, line["at"]):
                own_accusations += 1
            elif not any(explains(fault, front, line) for fault in fleet.faults):
                told = {"at": round(line["at"], 2), "in": front.name, "of": line["member"]}
                false.append(told | {"by": line["by"], "path": line["path"]})
        held_dead = Counter(line["member"] for line in deaths)
        flaps += sum(max(0, many - suffered[name]) for name, many in held_dead.items())
    return false, own_accusations, flaps


def is_cut_off(fleet, front, at):
    """Whether that front reached nobody then."""
    return any(
        fault["kind"] == "cut off" and front.name in fault["names"] and fault["from"] <= at <= fault["till"]
        for fault in fleet.faults
    )


def explains(fault, front, line):
    """Whether a fault is why a front held another dead at that moment."""
    if not covered(fault, line["at"]):
        return False
    if fault["kind"] in ("killed", "stopped", "left", "cut off"):
        return line["member"] in fault["names"]
    sides = fault["names"] if fault["kind"] == "halves" else ()
    return any(front.name in side and line["member"] not in side for side in sides)


def judged_kills(fleet):
    """How many of the living never came to hold a killed front dead in time, and how long the others took."""
    missed, detected = 0, []
    for fault in (f for f in fleet.faults if f["kind"] == "killed"):
        halves = [
            f for f in fleet.faults if f["kind"] == "halves" and f["from"] <= fault["from"] <= f["till"]
        ]
        for front in fleet.fronts:
            if front.name == fault["names"][0] or any(front.name in h["names"][0] for h in halves):
                continue
            at = held_dead_at(front, fault)
            if at is None or at > fault["till"] + BACK:
                missed += 1
            else:
                detected.append(at - fault["from"])
    return missed, sorted(detected)


def held_dead_at(front, fault):
    """When that front first held a killed one dead; None where it never did."""
    found = (
        line["at"]
        for line in front.lines
        if line["event"] == "member dead"
        and line["at"] >= fault["from"]
        and line["member"] == fault["names"][0]
    )
    return next(found, None)


def most_doubts(fleet):
    """How often one front was suspected in one view, at the most."""
    suspected = Counter(
        (front.name, line["member"])
        for front in fleet.fronts
        for line in front.lines
        if line["event"] == "member suspected"
    )
    return max(suspected.values(), default=0)


def flat(names):
    return [n for name in names for n in (name if isinstance(name, list) else [name])]


def doubted(fleet, fault):
    """How often the sender of a cut pair came to doubt its receiver meanwhile."""
    source, target = fault["names"]
    return sum(
        line["event"] == "member suspected"
        and line["member"] == fleet.fronts[target].name
        and line["by"] == fleet.fronts[source].name
        and fault["from"] <= line["at"] <= fault["till"] + 0.2
        for line in fleet.fronts[source].lines
    )


def doubted_share(fleet, fault):
    """For which part of a cut pair's fault the sender's view had its receiver for suspected or dead."""
    source, target = (fleet.fronts[place] for place in fault["names"])
    doubted_since, doubted_for = None, 0.0
    for line in source.lines:
        if line["at"] > fault["till"]:
            break
        if not line["event"].startswith("member ") or line["member"] != target.name:
            continue
        doubts = line["event"] in ("member suspected", "member dead")
        if doubts and doubted_since is None:
            doubted_since = line["at"]
        elif not doubts and doubted_since is not None:
            doubted_for += max(line["at"] - max(doubted_since, fault["from"]), 0.0)
            doubted_since = None
    if doubted_since is not None:
        doubted_for += fault["till"] - max(doubted_since, fault["from"])
    return doubted_for / (fault["till"] - fault["from"])
