"""The takeover rig's books of clients, engines and fronts against each other."""

import asyncio
from collections import Counter, defaultdict

from rigs.takeover_terms import DROPS_AFTER, GOAL, LIMIT

# Of tries without an answer so many are told.
MOST_TOLD = 8

# The counts of log lines among the figures, by the events that they count.
COUNTED = {
    "taken_over": "work taken over",
    "adopted": "work adopted",
    "handed_back": "work handed back",
    "handed_over": "work handed over",
    "lost": "work lost",
    "let_go": "work let go",
    "called_off": "work called off",
}


def judged(fleet, play, engine_runs, clients):
    """Figures, and what is broken."""
    answers, outcomes = judged_answers(fleet, clients)
    twice, most_out, wrongly_harmless, differing = judged_effects(engine_runs, clients)
    events = Counter(line["event"] for front in fleet.fronts for line in front.lines)
    heirs = owners_at_once(fleet)
    broken = list(play.broken) + differing
    if answers["2+"] or answers["0"]:
        broken.append(f"1: one final answer {dict(answers)}")
    if outcomes["unheard"]:
        broken.append("1: requests without an answer")
    if twice:
        broken.append("2: no effect twice")
    if most_out > 1:
        broken.append("2: one dispatch out at a time")
    if wrongly_harmless:
        broken.append("2: told harmless, yet it ran")
    if heirs > 1:
        broken.append("two fronts own one batch")
    if failed := {event: n for event, n in events.items() if event.endswith("failed")}:
        broken.append(f"fronts failed: {failed}")
    return broken, {
        "unanswered": unanswered(fleet, play, clients)[:MOST_TOLD],
        "rig_lag_s": round(clients.lag.worst, 3),
        "front_lag_s": longest_front_lag(fleet),
        "requests": len(clients.requests),
        "outcomes": dict(outcomes),
        "answers": {"0": answers["0"], "2+": answers["2+"]},
        "effects_twice": twice,
        "most_out_at_once": most_out,
        "owners_at_once": heirs,
        "wrongly_harmless": wrongly_harmless,
        **{name: events[event] for name, event in COUNTED.items()},
        **served(play, engine_runs, clients),
    }


def longest_front_lag(fleet):
    """The longest lag of a front's loop by the fronts' own logs, in seconds."""
    return max((line.get("lag", 0.0) for front in fleet.fronts for line in front.lines), default=0.0)


def done(clients):
    """The requests that have come to an outcome."""
    return [asked for asked in clients.requests if asked.over_at is not None]


def living(fleet):
    """Each front that lives, with the number of its life."""
    return {(front, front.starts) for front in fleet.fronts if front.is_running}


def is_owed(one, lives):
    """Whether a try has no answer though its front lived on and its connection stands."""
    return one.answers == 0 and (one.front, one.start_number) in lives and not one.closed


def judged_answers(fleet, clients):
    """How many tries had no answer though their front lived on, or several; and the requests by outcome."""
    answers, outcomes = Counter(), Counter()
    lives = living(fleet)
    for asked in done(clients):
        for one in asked.tries:
            if one.answers > 1:
                answers["2+"] += 1
            elif is_owed(one, lives):
                answers["0"] += 1
        outcomes[asked.outcome] += 1
    return answers, outcomes


def unanswered(fleet, play, clients):
    """Each try without an answer whose front lived on, and each try of a request that nobody answered in its
    time: of which front, when in the run, when its answer came after all, and what was done to fronts from
    then till the end of its time."""
    lives = living(fleet)
    began = clients.requests[0].at if clients.requests else 0.0
    found = []
    for asked in done(clients):
        silent = [one for one in asked.tries if is_owed(one, lives) or asked.outcome == "unheard"]
        for one in silent:
            meanwhile = [name for name, since, till in play.done if since < one.at + LIMIT and till > one.at]
            found.append(
                {
                    "group": asked.group,
                    "mark": asked.mark,
                    "txn": one.txn,
                    "front": one.front.name,
                    "at_s": round(one.at - began, 3),
                    "closed": one.closed,
                    "answered_after_s": one.answered_at and round(one.answered_at - one.at, 3),
                    "tries": len(asked.tries),
                    "outcome": asked.outcome,
                    "given_up_after_s": round(asked.over_at - one.at, 3),
                    "meanwhile": meanwhile,
                }
            )
    return found


def judged_effects(engine_runs, clients):
    """Once-only requests that ran twice, the most runs of one at once, tries that were told harmless though
    they ran, and a line for each request whose results differ."""
    twice, most_out, wrongly_harmless, differing = 0, 0, 0, []
    for asked in done(clients):
        if asked.group == "lookup":
            continue
        if asked.group == "pay":
            twice += sum(not run.repeat for run in engine_runs.runs[asked.mark]) > 1
            most_out = max(most_out, engine_runs.most_out[asked.mark])
            wrongly_harmless += sum(
                t.what == "pushed back" and t.txn in engine_runs.of_txn for t in asked.tries
            )
        if len(asked.results()) > 1:
            differing.append(f"one outcome: {sorted(asked.results())}")
    return twice, most_out, wrongly_harmless, differing


def owners_at_once(fleet):
    """Of each key the most living fronts that held it as heirs at once, by their own logs."""
    lines = sorted(
        (line["at"], front.name, line["event"], line.get("key"))
        for front in fleet.fronts
        for line in front.lines
        if line.get("key")
    )
    heirs, most = {}, 0
    for at, name, event, key in lines:
        if event == "work taken over":
            before = heirs.get(key)
            again = before and before[0] != name and at - before[1] < 0.3
            most = max(most, 2 if again else 1)
            heirs[key] = name, at
    return max(most, 1)


def served(play, engine_runs, clients):
    """What became of requests whose front was killed, and what engines did for nobody."""
    shares, after, beyond = defaultdict(list), [], []
    for asked in clients.requests:
        at = first_hit(play, asked)
        if at is None:
            continue
        good = asked.outcome == "returned"
        shares[asked.group].append(good and asked.over_at - asked.at <= GOAL)
        if not good:
            continue
        after.append(asked.over_at - at)
        ends = [run.ended for run in engine_runs.runs[asked.mark] if run.ended]
        came = [one.at for one in asked.tries if one.at > at]
        if ends and came:
            beyond.append(max(asked.over_at - max(ends[0], came[0]), 0.0))
    wasted, spent = engine_seconds(engine_runs, clients)
    over = done(clients)
    in_time = sum(a.outcome == "returned" and a.over_at - a.at <= GOAL for a in over) / max(len(over), 1)
    return {
        "in_time": round(in_time, 4),
        "in_time_after_a_kill": {g: round(sum(v) / len(v), 3) for g, v in sorted(shares.items())},
        "hit_by_a_kill": {g: len(v) for g, v in sorted(shares.items())},
        "death_to_outcome_s": spread(after),
        "beyond_a_perfect_heir_s": spread(beyond),
        "engine_seconds_wasted": round(wasted, 1),
        "engine_seconds": round(spent, 1),
    }


def first_hit(play, asked):
    """When a kill first met one of the request's tries before its outcome; None where none did."""
    if asked.over_at is None:
        return None
    for at, front, life in play.kills:
        for one in asked.tries:
            open_then = one.at <= at < (one.answered_at or float("inf"))
            if one.front is front and one.start_number == life and open_then and asked.over_at > at:
                return at
    return None


def engine_seconds(engine_runs, clients):
    """What engines worked for nobody, and in all."""
    now = asyncio.get_running_loop().time()
    runs = [run for of_one in engine_runs.runs.values() for run in of_one]
    brought = {
        run.txn for a in clients.requests if a.outcome == "returned" for run in engine_runs.runs[a.mark][-1:]
    }
    wasted = sum(
        (run.ended or min(now, run.began + DROPS_AFTER)) - run.began for run in runs if run.txn not in brought
    )
    return wasted, sum((run.ended or now) - run.began for run in runs)


def spread(times):
    times = sorted(times)
    return (
        {
            "p50": round(times[len(times) // 2], 3),
            "p99": round(times[int(len(times) * 0.99)], 3),
            "most": round(times[-1], 3),
        }
        if times
        else {}
    )
