"""Plots how long changes took to be in force during a run of the scale rig, one curve for each step."""

from collections import defaultdict
from math import isinf
from pathlib import Path

IN_FORCE_LIMIT_S = 9.0


def plot_in_force(times, folder, seed):
    """Writes `scale-SEED.png` into `folder`: for each step the cumulative distribution of the time in force,
    in seconds, over all pairs of change and front, with the limit as a vertical line. `times` are `InForce`;
    pairs that never came into force are left out."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    by_step = defaultdict(list)
    for one in times:
        if not isinf(one.seconds):
            by_step[one.step].append(one.seconds)
    figure, axes = pyplot.subplots(figsize=(10, 6))
    for step, found in by_step.items():
        found.sort()
        shares = [(place + 1) / len(found) for place in range(len(found))]
        axes.plot(found, shares, label=step, linewidth=1)
    axes.axvline(IN_FORCE_LIMIT_S, color="black", linestyle="--", label="limit")
    axes.set_xlabel("seconds from the publish call until a front held the change")
    axes.set_ylabel("share of changes and fronts")
    axes.legend(fontsize=7, loc="lower right")
    Path(folder).mkdir(parents=True, exist_ok=True)
    figure.savefig(Path(folder) / f"scale-{seed}.png", dpi=120, bbox_inches="tight")
