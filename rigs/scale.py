"""Thousands of fronts before tens of thousands of engines: distributors, hollow fronts and a few real ones as
processes on loopback; changes, a burst, a zone lost and back, deaths, stops, loss, cuts and mass restarts;
then each front's log against the rig's own book.

`python -m rigs.scale --seed 1` plays 300 hollow fronts and 2,000 engines in less than a minute; `--full`
3,200 and 22,000. `--sabotage NAME` takes one guard out. The figures are explained in `docs/CAPACITY.md`.
"""

import asyncio
import sys
import tempfile
from time import monotonic
from typing import NamedTuple

import click

from rigs.results import Chance, report_and_exit
from rigs.scale_before import before
from rigs.scale_book import Catalog
from rigs.scale_figures import broken_rules, comparison_figures, judged, steady_figures
from rigs.scale_real import RealFronts
from rigs.scale_sabotage import ENVIRONMENT_KEY, GUARDS
from rigs.scale_steps import Steps
from rigs.scale_verdict import Content
from rigs.scale_yard import FULL, SMALL, Programs, Size, Yard
from thistlelever.subsetting import FrontIdentity

STEADY_S, STEADY_FULL_S, STEADY_SABOTAGED_S = 5.0, 20.0, 2.0
# How long the front without distribution and what asks the directory in its stead are measured.
DIRECTORY_S = 3.0
FIRST_LIST_WITHIN_S, SUBSCRIBE_EACH_S = 30.0, 0.005
# Two steps in which the publisher breaks: one of them is played, both at the full size.
PUBLISHER_STEPS = ("publisher_killed", "publisher_stopped")
# With a guard taken out, only the fault is played that it is there for.
SHOWN_BY = {
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


def addresses_of(count):
    """An address of loopback for each engine, where nothing listens."""
    return [f"127.{64 + (n >> 14)}.{n >> 7 & 127}.{1 + (n & 127)}:9" for n in range(count)]


def order_of(seed, full):
    """The faults, shuffled by the seed."""
    chance = Chance(seed)
    names = list(FAULTS)
    names += PUBLISHER_STEPS if full else [PUBLISHER_STEPS[chance.below(2, "publisher step")]]
    for place in range(len(names) - 1, 0, -1):
        other = chance.below(place + 1, "order", place)
        names[place], names[other] = names[other], names[place]
    return names


async def open_real(yard, catalog, real):
    """Stand-ins for the engines that the real fronts hold first, under their addresses in the list."""
    content = Content(yard.subset)
    content.apply(catalog.records.values(), ())
    held = {engine for place in yard.real_places for engine in content.subset(FrontIdentity(**place))}
    for engine, address in (await real.open_engines(sorted(held))).items():
        catalog.records[engine] = catalog.records[engine]._replace(address=address)


async def begin(yard, play, real):
    """The first list to every front; what an empty front is, and the bytes of a first list."""
    await play.publish_whole("first list")
    await yard.tier.follow(play.catalog.version, FIRST_LIST_WITHIN_S)
    empty = await yard.make()
    # The mass start that is measured comes later, where it competes with no process that starts.
    await yard.each("subscribe", within=SUBSCRIBE_EACH_S * yard.size.fronts)
    await play.settle("first list", within=FIRST_LIST_WITHIN_S)
    first = await yard.measure()
    await yard.each("freeze")
    await real.start()
    return empty, first


class Run(NamedTuple):
    """What is played: which faults after how long a steady state, and with which programs."""

    seed: int
    size: Size
    steady_s: float
    faults: list[str]
    programs: Programs
    plot: str | None


async def played(run):
    chance, size = Chance(run.seed), run.size
    with tempfile.TemporaryDirectory() as folder:
        yard = Yard(run.seed, size, folder, run.programs)
        catalog = Catalog(chance, size.engines, yard.zones, addresses_of(size.engines))
        real = RealFronts(yard, folder)
        await open_real(yard, catalog, real)
        async with yard:
            play = Steps(yard, catalog, chance)
            try:
                empty, first = await begin(yard, play, real)
                steady = await play.steady(run.steady_s)
                directory_core = asyncio.create_task(real.directory_core(DIRECTORY_S))
                compared = await play.comparison()
                figures = steady_figures(yard, real, empty, first, steady)
                figures |= comparison_figures(yard, real, empty, compared, await directory_core)
                real.traffic()
                for name in run.faults:
                    began = monotonic()
                    await getattr(play, name)()
                    play.moments.append((name, round(monotonic() - began, 2)))
                    print(f"{name}: {play.moments[-1][1]} s", file=sys.stderr)
                figures |= await judged(yard, play, real, run.plot)
            finally:
                await real.close()
            figures |= {"peak_mb": round(yard.peak_mb), "processes": yard.most_processes}
            figures["steps_s"] = dict(play.moments)
            figures["before"] = before(catalog, yard.zones, len(yard.fronts))
    return play.broken, figures


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
    run = Run(seed, size, steady_s, order_of(seed, full), Programs(), plot)
    if sabotage:
        programs = Programs("rigs.scale_sabotage", "rigs.scale_sabotage", {ENVIRONMENT_KEY: sabotage})
        run = run._replace(programs=programs, steady_s=STEADY_SABOTAGED_S, faults=SHOWN_BY[sabotage])
    broken, figures = asyncio.run(played(run))
    figures = {"fronts": size.fronts, "engines": size.engines, "distributors": size.distributors} | figures
    report_and_exit("scale", seed, broken + broken_rules(figures), figures)


if __name__ == "__main__":
    main()
