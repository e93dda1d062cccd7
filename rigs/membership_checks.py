"""Checks each front's log in the membership rig against the faults that were injected.

Faults and log lines carry wall-clock times in seconds.
"""

from collections import Counter

# Deaths reported this soon after a fault is over still count as caused by it, as updates need time to spread.
RECOVERY_S = 1.5
# Suspicions of one front allowed in one view per run; each refutation makes the next suspicion last longer.
MAX_SUSPICIONS = 10
# Share of a cut between two fronts for which one may suspect the other: other fronts still reach it and
# refute the suspicion.
MAX_SUSPECTED_SHARE = 0.25


def is_during(fault, at):
    """Whether a moment lies within a fault or the recovery time after it."""
    return fault["from"] - 0.05 <= at <= fault["till"] + RECOVERY_S


def check_run(fleet, play):
    """Compares injected faults and logs; returns the broken rules and the figures."""
    deaths, own_accusations, flaps = check_deaths(fleet)
    missed, detected = check_kills(fleet)
    suspicions = max_suspicions(fleet)
    cuts = [fault for fault in fleet.faults if fault["kind"] == "pair"]
    broken = list(play.broken)
    if deaths:
        old = any("incarnation" in death["path"] for death in deaths)
        broken.append("false death" + (": an old incarnation" if old else ""))
    if own_accusations:
        broken.append("own health: a front that is cut off held others dead")
    if missed:
        broken.append("a death that some of the living never held")
    if any(
        suspicions_during(fleet, cut) > 2 or suspected_share(fleet, cut) > MAX_SUSPECTED_SHARE for cut in cuts
    ):
        broken.append("detours: a link broken between two is doubt of one of them")
    if suspicions > MAX_SUSPICIONS:
        broken.append("incarnations: one that refuted is doubted again and again")
    if flaps:
        broken.append("flapping")
    return broken, {
        "false_deaths": len(deaths),
        "false": deaths[:4],
        "missed_deaths": missed,
        "flaps": flaps,
        "most_doubts_of_one_in_one_view": suspicions,
        "pairs_cut": [cut["names"] for cut in cuts],
        "doubted_share": [round(suspected_share(fleet, cut), 3) for cut in cuts],
        "detect_p50_s": round(detected[len(detected) // 2], 3) if detected else None,
        "detect_p99_s": round(detected[int(len(detected) * 0.99)], 3) if detected else None,
        "agree_after_s": [round(took, 2) for took in play.healing],
    }


def check_deaths(fleet):
    """Returns false deaths, deaths reported by isolated fronts, and repeated deaths.

    A false death is one that no fault explains; it is returned as a record of when, where and of whom. The
    number of repeated deaths counts those of one front in one view beyond the faults it suffered.
    """
    false, own_accusations, flaps = [], 0, 0
    suffered = Counter(n for f in fleet.faults if f["kind"] != "pair" for n in flat(f["names"]))
    for front in fleet.fronts:
        deaths = [line for line in front.lines if line["event"] == "member dead"]
        for line in deaths:
            if is_cut_off(fleet, front, line["at"]):
                own_accusations += 1
            elif not any(explains(fault, front, line) for fault in fleet.faults):
                record = {"at": round(line["at"], 2), "in": front.name, "of": line["member"]}
                false.append(record | {"by": line["by"], "path": line["path"]})
        held_dead = Counter(line["member"] for line in deaths)
        flaps += sum(max(0, many - suffered[name]) for name, many in held_dead.items())
    return false, own_accusations, flaps


def is_cut_off(fleet, front, at):
    """Whether a front could reach no other front at that moment."""
    return any(
        fault["kind"] == "cut off" and front.name in fault["names"] and fault["from"] <= at <= fault["till"]
        for fault in fleet.faults
    )


def explains(fault, front, line):
    """Whether a fault explains that a front reported another as dead in this log line."""
    if not is_during(fault, line["at"]):
        return False
    if fault["kind"] in ("killed", "stopped", "left", "cut off"):
        return line["member"] in fault["names"]
    sides = fault["names"] if fault["kind"] == "halves" else ()
    return any(front.name in side and line["member"] not in side for side in sides)


def check_kills(fleet):
    """Returns how often a running front missed a kill, and the other detection times, sorted, in seconds."""
    missed, detected = 0, []
    for fault in (f for f in fleet.faults if f["kind"] == "killed"):
        halves = [
            f for f in fleet.faults if f["kind"] == "halves" and f["from"] <= fault["from"] <= f["till"]
        ]
        for front in fleet.fronts:
            if front.name == fault["names"][0] or any(front.name in h["names"][0] for h in halves):
                continue
            at = held_dead_at(front, fault)
            if at is None or at > fault["till"] + RECOVERY_S:
                missed += 1
            else:
                detected.append(at - fault["from"])
    return missed, sorted(detected)


def held_dead_at(front, fault):
    """Returns when a front first reported a killed one as dead, or None."""
    found = (
        line["at"]
        for line in front.lines
        if line["event"] == "member dead"
        and line["at"] >= fault["from"]
        and line["member"] == fault["names"][0]
    )
    return next(found, None)


def max_suspicions(fleet):
    """Returns the highest number of suspicions of one front in one view."""
    suspected = Counter(
        (front.name, line["member"])
        for front in fleet.fronts
        for line in front.lines
        if line["event"] == "member suspected"
    )
    return max(suspected.values(), default=0)


def flat(names):
    """Returns the names of a fault as one list; faults of kind `halves` have a list of names per side."""
    return [n for name in names for n in (name if isinstance(name, list) else [name])]


def suspicions_during(fleet, fault):
    """Counts how often the sender of a cut pair suspected its receiver during the cut."""
    source, target = fault["names"]
    return sum(
        line["event"] == "member suspected"
        and line["member"] == fleet.fronts[target].name
        and line["by"] == fleet.fronts[source].name
        and fault["from"] <= line["at"] <= fault["till"] + 0.2
        for line in fleet.fronts[source].lines
    )


def suspected_share(fleet, fault):
    """Returns the share of a cut for which the sender's view had its receiver as suspected or dead."""
    source, target = (fleet.fronts[place] for place in fault["names"])
    suspected_since, suspected_for = None, 0.0
    for line in source.lines:
        if line["at"] > fault["till"]:
            break
        if not line["event"].startswith("member ") or line["member"] != target.name:
            continue
        is_suspicion = line["event"] in ("member suspected", "member dead")
        if is_suspicion and suspected_since is None:
            suspected_since = line["at"]
        elif not is_suspicion and suspected_since is not None:
            suspected_for += max(line["at"] - max(suspected_since, fault["from"]), 0.0)
            suspected_since = None
    if suspected_since is not None:
        suspected_for += fault["till"] - max(suspected_since, fault["from"])
    return suspected_for / (fault["till"] - fault["from"])
