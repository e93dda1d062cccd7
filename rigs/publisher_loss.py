"""Automatic failover of the publisher: kills or stops it again and again, and measures the time until another
distributor confirms a change.

`python -m rigs.publisher_loss --seed 1 [--distributors 7] [--losses 6] [--starts 0] [--slow-disks]`. Real
processes on loopback. A loss ends when another distributor answers a publish with 200, that is, a majority
holds the change. A client publishes all the time. With `--slow-disks` every write to disk takes 0.1 to 0.9 s.
`--starts` tiers are started anew before, each without a loss. `--folder` keeps the logs and stores.

Rules: exactly one publisher takes over after each loss, and only the configured one at a start; no publisher
is deposed without a fault; every change that was answered 200 is in all catalogs at the end; a change is
confirmed within LONGEST_LOSS_S of each loss and start.
"""

import asyncio
import tempfile
from math import ceil
from pathlib import Path
from statistics import median
from time import monotonic, time

import click

from rigs import succession
from rigs.distributor_tier import Tier
from rigs.publish_client import PublishClient
from rigs.results import Chance, report_and_exit
from rigs.slow_disk import GUARDS

LONGEST_LOSS_S = 12.0
# Shortest time between the end of a loss and the next one; the longest is twice that.
CALM_S = 4.0
# Longer than any follower that lost contact at the start waits before it claims.
WATCH_START_S = 8.0
DISTRIBUTORS, DISTRIBUTORS_WITH_SLOW_DISKS = 7, 5
# Changes published right before a loss, one directly after the other.
CHANGES_BEFORE_LOSS = 2
REPORTED_IDS = 10


class Play:
    """One tier from its start to its end, with the client that publishes to it."""

    def __init__(self, tier):
        self.tier, self.client = tier, PublishClient(tier)
        self.losses, self.broken = [], set()
        self.start_s, self.events, self.missing = None, [], []

    async def run(self, chance, losses):
        """Starts the tier, loses its publisher `losses` times, and judges it."""
        try:
            await self.start()
            client = asyncio.create_task(self.client.run())
            try:
                await self.lose_publishers(chance, losses)
            finally:
                self.client.stopped = True
                await client
            await asyncio.sleep(CALM_S)
            await self.judge_healed()
        finally:
            crashed = await self.tier.close()
        if crashed:
            self.broken.add("a distributor crashed")
        self.judge_succession()

    async def start(self):
        """Starts the tier and measures the time to the first confirmed change."""
        began = monotonic()
        await self.tier.start_all()
        if await self.tier.confirm_anywhere(self.client.publish_list) is None:
            self.broken.add("no change confirmed after a start")
        self.start_s = round(monotonic() - began, 2)

    async def lose_publishers(self, chance, losses):
        """Causes the losses one after the other, or only watches the tier if there are none."""
        if not losses:
            await asyncio.sleep(WATCH_START_S)
        for number in range(losses):
            await asyncio.sleep(CALM_S * (1 + chance.share("calm", number)))
            publisher = await self.tier.confirm_anywhere(self.client.publish)
            if publisher is None:
                self.broken.add("no change confirmed between losses")
                return
            kind = "stopped" if chance.share("stopped", number) < 0.5 else "killed"
            self.losses.append(await self.cause_loss(publisher, kind))
            await self.tier.bring_back(publisher, kind)

    async def cause_loss(self, publisher, kind):
        """Takes the publisher away until another distributor has confirmed a change; returns the loss."""
        for _ in range(CHANGES_BEFORE_LOSS):
            await self.client.publish(publisher)
        at, began = time(), monotonic()
        self.tier.take_away(publisher, kind)
        successor = await self.tier.confirm_anywhere(self.client.publish, publisher, 2 * LONGEST_LOSS_S)
        return succession.Loss(at, kind, publisher, successor, round(monotonic() - began, 2))

    async def judge_healed(self):
        """Compares the distributors after the last loss."""
        statuses = await self.tier.call_all("/v1/status")
        if len({(status.get("version"), status.get("digest")) for status in statuses}) != 1:
            self.broken.add("distributors differ after healing")
        if sum(status.get("role") == "publisher" for status in statuses) != 1:
            self.broken.add("not one publisher at the end")
        self.missing = self.client.missing(await self.tier.call_all("/v1/catalog"))
        if self.missing:
            self.broken.add("a confirmed change is missing")

    def judge_succession(self):
        """Checks who published when, and the times to a confirmed change."""
        logs = [self.tier.log_path(index) for index in range(len(self.tier.ports))]
        self.events = succession.read_events(logs)
        self.broken.update(succession.broken_rules(self.events, self.losses))
        if any(loss.seconds > LONGEST_LOSS_S for loss in self.losses):
            self.broken.add(f"a loss of more than {LONGEST_LOSS_S:g} s")
        if self.start_s > LONGEST_LOSS_S:
            self.broken.add(f"a start of more than {LONGEST_LOSS_S:g} s")

    def figures(self):
        """Returns what was measured, without the losses."""
        at_start, _ = succession.seated_by_loss(self.events, self.losses)
        deposed = succession.deposed_without_fault(self.events, self.losses)
        return {
            "start_s": self.start_s,
            "seated_at_start": at_start,
            "deposed_without_fault": [{"index": event.index, "term": event.term} for event in deposed],
            "confirmed": len(self.client.confirmed),
            "missing": self.missing[:REPORTED_IDS],
            "answers": dict(sorted(self.client.answers.items())),
            "broken_rules": sorted(self.broken),
        }

    def loss_figures(self):
        """Returns the figures of each loss; `seated` are all that took over before the next one."""
        _, after = succession.seated_by_loss(self.events, self.losses)
        return [
            {
                "kind": loss.kind,
                "lost": loss.index,
                "next": loss.successor,
                "seconds": loss.seconds,
                "seated": seated,
            }
            for loss, seated in zip(self.losses, after, strict=True)
        ]


def distribution(seconds):
    """Returns median, 90th percentile and maximum of some durations, None without any."""
    if not seconds:
        return None
    ordered = sorted(seconds)
    p90 = ordered[ceil(0.9 * len(ordered)) - 1]
    return {"median": round(median(ordered), 2), "p90": p90, "max": ordered[-1]}


async def run_rig(seed, distributors, losses, starts, slow_disks, sabotage, folder):
    """Runs the rig; returns the broken rules and the figures."""
    chance, plays = Chance(seed), []
    for number in range(starts + bool(losses)):
        subfolder = Path(folder) / f"tier-{number}"
        subfolder.mkdir(parents=True)
        disk_seed = f"{seed} {number}" if slow_disks else None
        plays.append(Play(Tier(distributors, subfolder, disk_seed, sabotage)))
        await plays[-1].run(chance, losses if number == starts else 0)
    broken = sorted(set().union(*(play.broken for play in plays)))
    loss_figures = [loss for play in plays for loss in play.loss_figures()]
    seconds = [loss["seconds"] for loss in loss_figures]
    figures = {
        "distributors": distributors,
        "slow_disks": slow_disks,
        "longest_s": max(seconds, default=None),
        "loss_s": distribution(seconds),
        "start_s": distribution([play.start_s for play in plays]),
        "losses": loss_figures,
        "tiers": [play.figures() for play in plays],
    }
    return broken, figures


@click.command()
@click.option("--seed", default=1)
@click.option("--distributors", type=int, help="7, or 5 with slow disks")
@click.option("--losses", default=6)
@click.option("--starts", default=0)
@click.option("--slow-disks", is_flag=True)
@click.option("--sabotage", type=click.Choice(list(GUARDS)), help="needs --slow-disks")
@click.option("--folder", type=click.Path(file_okay=False), help="a new folder for logs and stores")
def main(seed, distributors, losses, starts, slow_disks, sabotage, folder):
    """Play it and print the verdict."""
    if sabotage and not slow_disks:
        raise click.UsageError("--sabotage needs --slow-disks")
    if losses + starts < 1:
        raise click.UsageError("--losses or --starts expected")
    distributors = distributors or (DISTRIBUTORS_WITH_SLOW_DISKS if slow_disks else DISTRIBUTORS)
    with tempfile.TemporaryDirectory() as temporary:
        options = (seed, distributors, losses, starts, slow_disks, sabotage, folder or temporary)
        broken, figures = asyncio.run(run_rig(*options))
    report_and_exit("publisher_loss", seed, broken, figures)


if __name__ == "__main__":
    main()
