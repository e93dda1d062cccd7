"""Checks the records of clients, engines and fronts in the takeover rig against each other."""

import asyncio
from collections import Counter, defaultdict

from rigs.takeover_terms import ENGINE_DROP_S, LATENCY_GOAL_S, TIME_LIMIT_S

# How many submissions without an answer the figures list.
MAX_LISTED = 8

# Figures that count log lines, with the event of each.
COUNTED = {
    "taken_over": "work taken over",
    "adopted": "work adopted",
    "handed_back": "work handed back",
    "handed_over": "work handed over",
    "lost": "work lost",
    "let_go": "work let go",
    "called_off": "work called off",
}


def check_run(fleet, play, engine_runs, clients):
    """Returns the broken rules and the figures."""
    answers, outcomes = count_answers(fleet, clients)
    twice, most_out, wrongly_harmless, differing = check_runs(engine_runs, clients)
    events = Counter(line["event"] for front in fleet.fronts for line in front.lines)
    owners = owners_at_once(fleet)
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
    if owners > 1:
        broken.append("two fronts own one batch")
    if failed := {event: n for event, n in events.items() if event.endswith("failed")}:
        broken.append(f"fronts failed: {failed}")
    return broken, {
        "unanswered": unanswered(fleet, play, clients)[:MAX_LISTED],
        "rig_lag_s": round(clients.lag.worst, 3),
        "front_lag_s": longest_front_lag(fleet),
        "requests": len(clients.requests),
        "outcomes": dict(outcomes),
        "answers": {"0": answers["0"], "2+": answers["2+"]},
        "effects_twice": twice,
        "most_out_at_once": most_out,
        "owners_at_once": owners,
        "wrongly_harmless": wrongly_harmless,
        **{name: events[event] for name, event in COUNTED.items()},
        **service_figures(play, engine_runs, clients),
    }


def longest_front_lag(fleet):
    """Returns the longest event loop lag in the logs of the fronts, in seconds."""
    return max((line.get("lag", 0.0) for front in fleet.fronts for line in front.lines), default=0.0)


def finished(clients):
    """Returns the requests that have an outcome."""
    return [request for request in clients.requests if request.over_at is not None]


def running_fronts(fleet):
    """Returns (front, number of its start) for each front that is running."""
    return {(front, front.starts) for front in fleet.fronts if front.is_running}


def lacks_answer(submission, running):
    """Whether a submission has no answer though its front and its connection are still up."""
    return (
        submission.answers == 0
        and (submission.front, submission.start_number) in running
        and not submission.closed
    )


def count_answers(fleet, clients):
    """Counts submissions without an answer from a running front, or with several, and requests by outcome."""
    answers, outcomes = Counter(), Counter()
    running = running_fronts(fleet)
    for request in finished(clients):
        for submission in request.submissions:
            if submission.answers > 1:
                answers["2+"] += 1
            elif lacks_answer(submission, running):
                answers["0"] += 1
        outcomes[request.outcome] += 1
    return answers, outcomes


def unanswered(fleet, play, clients):
    """Returns a record of each submission without an answer.

    Listed are submissions to fronts that are still running, and all of a request that got no answer in time.
    `meanwhile` names the faults injected between the submission and its time limit.
    """
    running = running_fronts(fleet)
    began = clients.requests[0].at if clients.requests else 0.0
    found = []
    for request in finished(clients):
        silent = [
            submission
            for submission in request.submissions
            if lacks_answer(submission, running) or request.outcome == "unheard"
        ]
        for submission in silent:
            meanwhile = [
                name
                for name, since, till in play.done
                if since < submission.at + TIME_LIMIT_S and till > submission.at
            ]
            found.append(
                {
                    "group": request.query_class,
                    "mark": request.key,
                    "txn": submission.txn,
                    "front": submission.front.name,
                    "at_s": round(submission.at - began, 3),
                    "closed": submission.closed,
                    "answered_after_s": submission.answered_at
                    and round(submission.answered_at - submission.at, 3),
                    "tries": len(request.submissions),
                    "outcome": request.outcome,
                    "given_up_after_s": round(request.over_at - submission.at, 3),
                    "meanwhile": meanwhile,
                }
            )
    return found


def check_runs(engine_runs, clients):
    """Checks the runs of batches that must not run twice, and the results of all requests.

    Returns the number of requests that ran twice, the highest number of simultaneous runs of one request, the
    number of submissions refused as not run although they ran, and a line per request whose results differ.
    """
    twice, most_out, wrongly_harmless, differing = 0, 0, 0, []
    for request in finished(clients):
        if request.query_class == "lookup":
            continue
        if request.query_class == "pay":
            twice += sum(not run.repeat for run in engine_runs.runs[request.key]) > 1
            most_out = max(most_out, engine_runs.most_out[request.key])
            wrongly_harmless += sum(
                t.what == "pushed back" and t.txn in engine_runs.by_txn for t in request.submissions
            )
        if len(request.results()) > 1:
            differing.append(f"one outcome: {sorted(request.results())}")
    return twice, most_out, wrongly_harmless, differing


def owners_at_once(fleet):
    """Returns the highest number of fronts that owned one key at once, by their logs.

    Two takeovers of a key by different fronts within 0.3 s count as two owners at once.
    """
    lines = sorted(
        (line["at"], front.name, line["event"], line.get("key"))
        for front in fleet.fronts
        for line in front.lines
        if line.get("key")
    )
    owners, most = {}, 0
    for at, name, event, key in lines:
        if event == "work taken over":
            before = owners.get(key)
            again = before and before[0] != name and at - before[1] < 0.3
            most = max(most, 2 if again else 1)
            owners[key] = name, at
    return max(most, 1)


def service_figures(play, engine_runs, clients):
    """Returns figures on requests whose front was killed, and on engine time without use."""
    shares, after, beyond = defaultdict(list), [], []
    for request in clients.requests:
        at = first_hit(play, request)
        if at is None:
            continue
        good = request.outcome == "returned"
        shares[request.query_class].append(good and request.over_at - request.at <= LATENCY_GOAL_S)
        if not good:
            continue
        after.append(request.over_at - at)
        ends = [run.ended for run in engine_runs.runs[request.key] if run.ended]
        came = [submission.at for submission in request.submissions if submission.at > at]
        if ends and came:
            beyond.append(max(request.over_at - max(ends[0], came[0]), 0.0))
    wasted, spent = engine_seconds(engine_runs, clients)
    over = finished(clients)
    in_time = sum(a.outcome == "returned" and a.over_at - a.at <= LATENCY_GOAL_S for a in over) / max(
        len(over), 1
    )
    return {
        "in_time": round(in_time, 4),
        "in_time_after_a_kill": {g: round(sum(v) / len(v), 3) for g, v in sorted(shares.items())},
        "hit_by_a_kill": {g: len(v) for g, v in sorted(shares.items())},
        "death_to_outcome_s": spread(after),
        "beyond_a_perfect_heir_s": spread(beyond),
        "engine_seconds_wasted": round(wasted, 1),
        "engine_seconds": round(spent, 1),
    }


def first_hit(play, request):
    """Returns when the first kill hit an open submission of the request, or None."""
    if request.over_at is None:
        return None
    for at, front, start_number in play.kills:
        for submission in request.submissions:
            open_then = submission.at <= at < (submission.answered_at or float("inf"))
            if (
                submission.front is front
                and submission.start_number == start_number
                and open_then
                and request.over_at > at
            ):
                return at
    return None


def engine_seconds(engine_runs, clients):
    """Returns the engine seconds whose result no client got, and all engine seconds."""
    now = asyncio.get_running_loop().time()
    runs = [run for of_one in engine_runs.runs.values() for run in of_one]
    brought = {
        run.txn for a in clients.requests if a.outcome == "returned" for run in engine_runs.runs[a.key][-1:]
    }
    wasted = sum(
        (run.ended or min(now, run.began + ENGINE_DROP_S)) - run.began
        for run in runs
        if run.txn not in brought
    )
    return wasted, sum((run.ended or now) - run.began for run in runs)


def spread(times):
    """Returns median, 99th percentile and maximum; empty for no times."""
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
