"""Distribution of the engine list to thousands of fronts. Runs distributors, hollow fronts (fronts without
clients) and a few real fronts as processes on loopback; publishes changes and injects faults: a burst, a lost
zone, killed and stopped distributors, lost answers, cut connections and mass restarts. Then compares the
version log of each front with what was published.

`python -m rigs.scale --seed 1` runs 300 hollow fronts and 2,000 engines in less than a minute; `--full`
3,200 and 22,000. `--sabotage NAME` disables one safeguard. The figures are explained in `docs/CAPACITY.md`.
"""

import asyncio
import sys
import tempfile
from time import monotonic
from typing import NamedTuple

import click

from rigs.scale_before import directory_figures
from rigs.scale_catalog import Catalog
from rigs.scale_deployment import FULL, SMALL, Deployment, Programs, Size
from rigs.scale_figures import broken_rules, comparison_figures, final_figures, steady_figures
from rigs.scale_real import RealFronts
from rigs.scale_sabotage import ENVIRONMENT_KEY, GUARDS
from rigs.scale_steps import Steps
from rigs.scale_verdict import Content
from rigs.results import Chance, report_and_exit
from thistlelever.subsetting import FrontIdentity

STEADY_S, STEADY_FULL_S, STEADY_SABOTAGED_S = 5.0, 20.0, 2.0
# How long the CPU of directory polling is measured, with the front without distribution beside it.
DIRECTORY_S = 3.0
FIRST_LIST_WITHIN_S, SUBSCRIBE_EACH_S = 30.0, 0.005
# The steps in which the publisher fails: one of them runs, drawn by the seed; both at the full size.
PUBLISHER_STEPS = ("publisher_killed", "publisher_stopped")
# With a safeguard disabled, only the fault runs that it protects against.
FAULTS_OF_SABOTAGE = {
    "gap": ["misrouted"],
    "back": ["island"],
    "hash_order": ["distributor_killed"],
    "no_jitter": ["all_restarted"],
}
FAULTS = (
    "zone_lost",
    "burst",
    "distributor_killed",
    "distributor_stopped",
    "loss",
    "misrouted",
    "zone_restarted",
    "cut_off",
    "island",
    "all_restarted",
)


def unused_addresses(count):
    """A loopback address for each engine, where nothing listens."""
    return [f"127.{64 + (n >> 14)}.{n >> 7 & 127}.{1 + (n & 127)}:9" for n in range(count)]


def shuffled_faults(seed, full):
    """The names of the faults to run, in an order drawn by the seed."""
    chance = Chance(seed)
    names = list(FAULTS)
    names += PUBLISHER_STEPS if full else [PUBLISHER_STEPS[chance.below(2, "publisher step")]]
    for place in range(len(names) - 1, 0, -1):
        other = chance.below(place + 1, "order", place)
        names[place], names[other] = names[other], names[place]
    return names


async def start_real_engines(deployment, catalog, real):
    """Starts fake engines for those in the first subsets of the real fronts, and puts their addresses into
    the catalog."""
    content = Content(deployment.subset)
    content.apply(catalog.records.values(), ())
    held = {engine for place in deployment.real_places for engine in content.subset(FrontIdentity(**place))}
    for engine, address in (await real.open_engines(sorted(held))).items():
        catalog.records[engine] = catalog.records[engine]._replace(address=address)


async def send_first_list(deployment, steps, real):
    """Publishes the first list and waits until every hollow front holds it; then starts the real fronts.
    Returns memory and CPU of the empty processes, and the measurements of each process with its first
    list."""
    await steps.publish_whole("first list")
    await deployment.tier.follow(steps.catalog.version, FIRST_LIST_WITHIN_S)
    empty = await deployment.make()
    # The subscriptions begin one after the other: the mass start is measured later (`all_restarted`), when no
    # process that starts competes with it.
    await deployment.each("subscribe", within=SUBSCRIBE_EACH_S * deployment.size.fronts)
    await steps.settle("first list", within=FIRST_LIST_WITHIN_S)
    first = await deployment.measure()
    await deployment.each("freeze")
    await real.start()
    return empty, first


class Run(NamedTuple):
    """What one run consists of: size, seconds of steady state, names of the faults, and programs."""

    seed: int
    size: Size
    steady_s: float
    faults: list[str]
    programs: Programs
    plot: str | None


async def run_rig(run):
    """Runs the rig; returns the broken rules that the steps found and the figures."""
    chance, size = Chance(run.seed), run.size
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(run.seed, size, folder, run.programs)
        catalog = Catalog(chance, size.engines, deployment.zones, unused_addresses(size.engines))
        real = RealFronts(deployment, folder)
        await start_real_engines(deployment, catalog, real)
        async with deployment:
            steps = Steps(deployment, catalog, chance)
            try:
                empty, first = await send_first_list(deployment, steps, real)
                steady = await steps.steady(run.steady_s)
                directory_core = asyncio.create_task(real.directory_core(DIRECTORY_S))
                compared = await steps.comparison()
                figures = steady_figures(deployment, real, empty, first, steady)
                figures |= comparison_figures(deployment, real, empty, compared, await directory_core)
                real.start_clients()
                for name in run.faults:
                    began = monotonic()
                    await getattr(steps, name)()
                    steps.step_durations.append((name, round(monotonic() - began, 2)))
                    print(f"{name}: {steps.step_durations[-1][1]} s", file=sys.stderr)
                figures |= await final_figures(deployment, steps, real, run.plot)
            finally:
                await real.close()
            figures |= {"peak_mb": round(deployment.peak_mb), "processes": deployment.most_processes}
            figures["steps_s"] = dict(steps.step_durations)
            figures["before"] = directory_figures(catalog, deployment.zones, len(deployment.fronts))
    return steps.broken, figures


@click.command()
@click.option("--seed", default=1)
@click.option("--fronts", type=int, help="Hollow fronts.")
@click.option("--engines", type=int)
@click.option("--heartbeat", "heartbeat_s", type=float, help="Seconds; the default of the product is 2.")
@click.option("--full", is_flag=True)
@click.option("--plot", type=click.Path(file_okay=False), help="A picture of the run, into this folder.")
@click.option("--sabotage", type=click.Choice(sorted(GUARDS)))
def main(seed, fronts, engines, heartbeat_s, full, plot, sabotage):
    size = FULL if full else SMALL
    size = size._replace(fronts=fronts or size.fronts, engines=engines or size.engines)
    size = size._replace(heartbeat_s=heartbeat_s or size.heartbeat_s)
    steady_s = STEADY_FULL_S if full else STEADY_S
    run = Run(seed, size, steady_s, shuffled_faults(seed, full), Programs(), plot)
    if sabotage:
        programs = Programs("rigs.scale_sabotage", "rigs.scale_sabotage", {ENVIRONMENT_KEY: sabotage})
        run = run._replace(
            programs=programs, steady_s=STEADY_SABOTAGED_S, faults=FAULTS_OF_SABOTAGE[sabotage]
        )
    broken, figures = asyncio.run(run_rig(run))
    figures = {"fronts": size.fronts, "engines": size.engines, "distributors": size.distributors} | figures
    report_and_exit("scale", seed, broken + broken_rules(figures), figures)


if __name__ == "__main__":
    main()
