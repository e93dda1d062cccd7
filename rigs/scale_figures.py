"""The figures of a run of the scale rig, and the limits that they must keep."""

from collections import defaultdict
from math import inf, isinf

from rigs.scale_plot import plot_in_force
from rigs.scale_verdict import (
    check_final_state,
    count_content_mismatches,
    count_version_regressions,
    last_in_force,
    logs_of,
    quantile,
    rounded_or_none,
    times_in_force,
)
from thistlelever.distribution.versions import parse

# The operators' requirements: what a front may spend on its engine list (cores, MB, bytes per second), and
# the seconds until a change is in force.
MAX_CONTROL_CORE, MAX_CONTROL_MB, MAX_CONTROL_BYTES_S = 0.049, 32.0, 18_000
MAX_IN_FORCE_S = 9.0
# Connections that a front may open in a mass restart, and in one second of it, on average. With backoff and
# jitter it opens about two, as each whole subset that is not admitted costs one more.
MAX_CONNECTIONS_EACH, MAX_CONNECTIONS_PEAK = 3.5, 2.5


def steady_figures(deployment, real, empty, first, steady):
    """What a front and a distributor cost without faults: cores, MB and bytes per second."""
    before, after, cores = steady
    hollow_mb, real_mb = hollow_memory(deployment, first, empty[0]), real_memory(real)
    seconds = after[0]["at"] - before[0]["at"]
    bytes_s = [
        (total_bytes(b) - total_bytes(a)) / seconds
        for was, now in zip(before, after, strict=True)
        for a, b in zip(was["counts"], now["counts"], strict=True)
    ]
    return {
        "control_core": round(hollow_cores(deployment, before, after, empty[1]), 6),
        # A hollow front shares its modules with the others of its process, so the larger value counts.
        "control_mb": round(max(hollow_mb, real_mb), 3),
        "control_bytes_s": round(max(bytes_s)),
        "control_bytes_s_mean": round(sum(bytes_s) / len(bytes_s)),
        "steady_s": round(seconds, 1),
        "distributor_core": round(max(cores.values()), 4),
        "snapshot_bytes": mean_first_list_bytes(first),
    }


def comparison_figures(deployment, real, empty, compared, directory_core):
    """Compares a hollow front with a real one while changes concern every front."""
    before, after, real_cores = compared
    hollow_core = hollow_cores(deployment, before, after, empty[1])
    with_on, with_off = sum(real_cores[:-1]) / len(real_cores[:-1]), real_cores[-1]
    # The front without distribution polls the directory, which the others do not: its cost is left out.
    real_core = with_on - (with_off - directory_core)
    hollow_mb = hollow_memory(deployment, compared[0], empty[0])
    return {
        "hollow_to_real": {"cpu": ratio(hollow_core, real_core), "mb": ratio(hollow_mb, real_memory(real))},
        "compared": {
            "hollow_core": round(hollow_core, 6),
            "real_core": round(real_core, 6),
            "real_core_off": round(with_off, 6),
            "directory_core": round(directory_core, 6),
            "hollow_mb": round(hollow_mb, 3),
            "real_mb": round(real_memory(real), 3),
        },
        "delta_bytes": mean_delta_bytes(before, after),
    }


def real_memory(real):
    """Memory in MB that distribution adds to a real front."""
    with_on = sum(front.memory_mb() for front in real.fronts) / len(real.fronts)
    return with_on - real.without.memory_mb()


def mean_first_list_bytes(first):
    """The mean number of bytes that a front receives for its first list."""
    received = [counts["bytes_received"] for reply in first for counts in reply["counts"]]
    return round(sum(received) / len(received))


def mean_delta_bytes(before, after):
    """The mean number of bytes that a front receives for one delta; includes watches that end without one,
    which are few in that step."""
    grown = {"bytes_received": 0, "deltas": 0}
    for was, now in zip(before, after, strict=True):
        for a, b in zip(was["counts"], now["counts"], strict=True):
            for key in grown:
                grown[key] += b.get(key, 0) - a.get(key, 0)
    return round(grown["bytes_received"] / max(grown["deltas"], 1))


def ratio(hollow, real):
    """The cost of a hollow front relative to a real one; None where the real one cost nothing."""
    return round(hollow / real, 3) if real > 0 else None


def hollow_cores(deployment, before, after, idle):
    """Cores of one hollow front above those of an idle process, in the process with the highest value. The
    last process, whose few fronts are suspended at times, is left out."""
    cores = []
    for hollow, was, now, rest in zip(deployment.hollows, before, after, idle, strict=True):
        busy = (now["cpu"] - was["cpu"]) / (now["at"] - was["at"])
        cores.append((busy - rest) / len(hollow.fronts))
    return max(cores[:-1])


def hollow_memory(deployment, first, empty):
    """MB that a subscription and its list add to an empty hollow front, in the process with the highest
    value. The last process, whose few fronts are suspended at times, is left out."""
    grown = [
        (now["memory_mb"] - was) / len(hollow.fronts)
        for hollow, now, was in zip(deployment.hollows, first, empty, strict=True)
    ]
    return max(grown[:-1])


def total_bytes(counts):
    """Bytes received and sent."""
    return counts["bytes_received"] + counts["bytes_sent"]


async def final_figures(deployment, steps, real, plot):
    """Waits until all faults are repaired, compares the fronts' logs with what was published, and returns all
    figures. Draws the plot into the folder `plot`, if any."""
    await steps.whole()
    await steps.settle("the end")
    await check_distributors(deployment, steps)
    collected = await deployment.each("collect")
    holdings = [one for reply in await deployment.each("holdings") for one in reply]
    answers, returned = await real.answers()
    logs = logs_of(deployment.hollows, collected)
    mixed, checked, content = count_content_mismatches(logs, steps.catalog, deployment.subset)
    times = times_in_force(logs, steps.catalog, steps.outages)
    figures = in_force_figures(times) | {"last_in_force": last_in_force(times, logs)}
    if plot:
        plot_in_force(times, plot, deployment.seed)
    figures |= check_final_state(holdings, steps.catalog, content, logs)
    figures |= {"went_back": count_version_regressions(logs), "mixed": mixed, "checked": checked}
    figures |= {"log_entries_left_out": sum(reply["left_out"] for reply in collected)}
    figures["relayed_fronts"] = sum(len(hollow.fronts) for hollow in deployment.relayed)
    figures |= {"answers": answers, "returned": returned, "changes": len(steps.catalog.publications)}
    figures["unconfirmed"] = steps.unconfirmed
    return steps.figures | figures


async def check_distributors(deployment, steps):
    """Checks that every distributor holds the newest version with the catalog's digest."""
    digest = f"{steps.catalog.digest():032x}"
    for distributor in deployment.tier.distributors:
        status = await distributor.status()
        if parse(status["version"]) != steps.catalog.version or status["digest"] != digest:
            steps.record_violation(f"a distributor holds something else at the end: {status['version']}")


def in_force_figures(times):
    """Quantiles of the time in force over all changes, and the maximum of each step, in seconds."""
    seconds = sorted(one.seconds for one in times)
    longest = defaultdict(float)
    for one in times:
        longest[one.step] = max(longest[one.step], one.seconds)
    return {
        "in_force_p50_s": rounded_or_none(quantile(seconds, 0.5)),
        "in_force_p99_s": rounded_or_none(quantile(seconds, 0.99)),
        "in_force_max_s": rounded_or_none(seconds[-1] if seconds else inf),
        "in_force_never": sum(map(isinf, seconds)),
        "in_force_max_by_step_s": {step: rounded_or_none(found) for step, found in longest.items()},
    }


def broken_rules(figures):
    """The texts of the rules that the figures break."""
    limits = (
        ("control_core", MAX_CONTROL_CORE, "a front's CPU for control"),
        ("control_mb", MAX_CONTROL_MB, "a front's memory for control"),
        ("control_bytes_s", MAX_CONTROL_BYTES_S, "a front's bytes for control"),
        ("in_force_max_s", MAX_IN_FORCE_S, "a change in force everywhere"),
    )
    broken = [
        f"{rule} over {limit:g}"
        for key, limit, rule in limits
        if figures[key] is None or figures[key] > limit
    ]
    zeros = (
        ("went_back", "a front went back to an older version"),
        ("mixed", "a front held at a version what is not its content"),
        ("versions_differ", "versions differ at the end"),
        ("subsets_differ", "same subset everywhere: a front's engines are not those of its place"),
        ("lists_differ", "the list that decisions are told is not what the subscription holds"),
        ("gone_held", "an engine that is gone is still held"),
        ("log_entries_left_out", "the rig's own log was full"),
    )
    broken += [rule for key, rule in zeros if figures[key]]
    if figures["answers"]["0"] or figures["answers"]["2+"]:
        broken.append("1: one final answer")
    if not figures["answers"]["1"]:
        broken.append("the real fronts answered nothing")
    relayed = figures["relayed_fronts"]
    each, peak = MAX_CONNECTIONS_EACH * relayed, MAX_CONNECTIONS_PEAK * relayed
    if figures.get("restart_connections", 0) > each or figures.get("restart_peak_per_s", 0) > peak:
        broken.append("a mass restart without backoff")
    return broken
