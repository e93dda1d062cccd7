"""Checks membership under faults: fronts are killed, stopped, restarted and cut off, one way or in halves.

Datagrams are lost, duplicated, delayed and reordered meanwhile. The faults are then compared with the log and
the view of each front.

`python -m rigs.membership --seed 1` runs five processes for at most 25 s; `--full` runs thirty, then the same
faults without membership to compare the share of batches in time. `--sabotage NAME` disables one safeguard in
all fronts.
"""

import asyncio
import json
import os
import signal
import sys
from collections import Counter
from pathlib import Path
from time import time

import click

from rigs.fleet import ROOT, Fleet
from rigs.membership_checks import check_run, flat
from rigs.results import Chance, report_and_exit
from rigs.sabotaged import GUARDS
from thistlelever.standins.configuration import SETTINGS

LATENCY_GOAL_S, TIME_LIMIT_MS = 2.0, 2_000
# How long views may take to agree after a fault is over.
AGREEMENT_S = 5.0
# Datagrams that each front sends per second at the simulated loss.
DATAGRAMS_PER_SECOND = 90


class Play:
    """One run: injects faults in an order and after numbers of datagrams that depend on the seed."""

    def __init__(self, fleet, chance):
        self.fleet, self.chance, self.broken, self.healing = fleet, chance, [], []
        self.steps = [
            self.one_way,
            self.short_pause,
            self.kill,
            self.long_pause,
            self.one_to_all,
            self.leave,
            self.halves,
        ]

    async def run(self):
        """Injects each fault once and records broken rules and the seconds until views agree again."""
        fleet, network = self.fleet, self.fleet.network
        if await fleet.agree(10.0) is None:
            self.broken.append("views never agreed at the start")
        # Enough late copies that in each run some updates of earlier incarnations arrive.
        network.loss, network.double, network.jitter, network.late = 0.2, 0.05, 0.02, 0.04
        order = list(self.steps)
        for place in range(len(order) - 1, 0, -1):
            other = self.chance.below(place + 1, "order", place)
            order[place], order[other] = order[other], order[place]
        for step in order:
            await network.after(20 + self.chance.below(60, "rest", step.__name__))
            await step()
            if (took := await fleet.agree(AGREEMENT_S)) is None:
                self.broken.append(f"views do not agree after: {step.__name__}")
            else:
                self.healing.append(took)
        for name in ("loss", "double", "jitter", "late"):
            setattr(network, name, 0.0)

    def draw_front(self, what):
        """Draws a front."""
        return self.fleet.fronts[self.chance.below(self.fleet.front_count, what)]

    def datagrams(self, seconds):
        """Converts seconds into the number of datagrams the fleet sends in about that time."""
        return int(DATAGRAMS_PER_SECOND * self.fleet.front_count * seconds)

    async def one_way(self):
        """Cuts one pair one way, which must cause no death and no long suspicion."""
        a, b = self.draw_front("one way from").place, self.draw_front("one way to").place
        b = (b + (a == b)) % self.fleet.front_count
        fault = self.fleet.fault("pair", a, b)
        self.fleet.network.cuts.add((a, b))
        # Long enough that one late datagram does not decide the share of time under suspicion.
        await self.fleet.network.after(self.datagrams(3.0))
        self.fleet.network.cuts.clear()
        self.fleet.end(fault)

    async def pause(self, kind, seconds):
        """Stops the process of one front with SIGSTOP for some seconds."""
        front = self.draw_front(kind)
        fault = self.fleet.fault("stopped", front.name)
        front.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        front.signal(signal.SIGCONT)
        self.fleet.end(fault)

    async def short_pause(self):
        """Stops one front for 0.3 s."""
        await self.pause("short pause", 0.3)

    async def long_pause(self):
        """Stops one front for 2.5 s."""
        await self.pause("long pause", 2.5)

    async def kill(self):
        """Kills one front, waits until the others have noticed, and starts it again."""
        front = self.draw_front("kill")
        fault = self.fleet.fault("killed", front.name)
        await front.kill()
        living = [f.name for f in self.fleet.fronts if f is not front]
        if await self.fleet.agree(AGREEMENT_S, living) is None:
            self.broken.append("a death was not known to all the living")
        await front.start()
        self.fleet.end(fault)

    async def leave(self):
        """Stops one front with SIGTERM and starts it again."""
        front = self.draw_front("leave")
        fault = self.fleet.fault("left", front.name)
        await front.stop()
        await front.start()
        self.fleet.end(fault)

    async def one_to_all(self):
        """Cuts all datagrams from one front; it has to detect its own isolation."""
        front = self.draw_front("one to all")
        fault = self.fleet.fault("cut off", front.name)
        others = [other for other in self.fleet.fronts if other is not front]
        self.fleet.network.cuts |= {(front.place, other.place) for other in others}
        await self.fleet.network.after(self.datagrams(1.5))
        if not ((await front.ask("members.show")) or {}).get("alone"):
            self.broken.append("own health: a front that nobody answers does not say that it is alone")
        self.fleet.network.cuts.clear()
        self.fleet.end(fault)

    async def halves(self):
        """Partitions the fleet into two sides and kills a front of one side meanwhile."""
        fronts = self.fleet.fronts
        few = max(2, len(fronts) * 2 // 5)
        one, other = fronts[:few], fronts[few:]
        fault = self.fleet.fault("halves", [f.name for f in one], [f.name for f in other])
        for a in one:
            for b in other:
                self.fleet.network.cuts |= {(a.place, b.place), (b.place, a.place)}
        await self.fleet.network.after(self.datagrams(0.8))
        victim = other[self.chance.below(len(other), "halves' victim")]
        death = self.fleet.fault("killed", victim.name)
        await victim.kill()
        await self.fleet.network.after(self.datagrams(0.8))
        self.fleet.network.cuts.clear()
        self.fleet.end(fault)
        await victim.start()
        self.fleet.end(death)


async def show_members(front):
    """Returns the output of `members show --json`, run as an operator would."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "thistlelever",
        "members",
        "show",
        "--json",
        "--operator",
        str(front.operator),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return json.loads(output)


def picture(fleet, folder, seed):
    """Plots one row per member: faults as bars, and as markers when each other front changed its state."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = {front.name: place for place, front in enumerate(fleet.fronts)}
    begun = min(line["at"] for front in fleet.fronts for line in front.lines)
    figure, axes = pyplot.subplots(figsize=(12, 1 + 0.6 * len(rows)))
    marks = {
        "suspected": ("tab:orange", "|"),
        "dead": ("tab:red", "x"),
        "alive": ("tab:green", "."),
        "left": ("tab:blue", "v"),
        "unfit": ("tab:purple", "s"),
    }
    for fault in fleet.faults:
        names = [fleet.fronts[n].name for n in fault["names"]] if fault["kind"] == "pair" else fault["names"]
        for name in flat(names):
            axes.barh(
                rows[name],
                fault["till"] - fault["from"],
                left=fault["from"] - begun,
                height=0.7,
                color="lightgrey",
            )
            axes.text(fault["from"] - begun, rows[name] + 0.36, fault["kind"], fontsize=7)
    for state, (colour, mark) in marks.items():
        found = [
            (line["at"] - begun, rows[line["member"]] - 0.25 + 0.5 * place / len(rows))
            for place, front in enumerate(fleet.fronts)
            for line in front.lines
            if line["event"] == f"member {state}" and line["member"] in rows
        ]
        if found:
            axes.scatter(*zip(*found, strict=True), color=colour, marker=mark, s=18, label=state)
    axes.set_yticks(list(rows.values()), list(rows))
    axes.set_xlabel("seconds; bars: what was done to a front; marks: what each other came to believe of it")
    axes.legend(loc="upper right", fontsize=7)
    Path(folder).mkdir(parents=True, exist_ok=True)
    figure.savefig(Path(folder) / f"membership-{seed}.png", dpi=120, bbox_inches="tight")


async def run_fleet(seed, fronts, program, membership=True, plot=None):
    """Runs the faults against a new fleet; returns the broken rules and the figures."""
    chance = Chance(seed)
    sections = {"membership": {"tier": "yard"}} if membership else {}
    async with Fleet(chance, fronts, 3, sections, SETTINGS, program) as fleet:
        # The total load is that of five fronts at any size: engines, clients and network share a process.
        fleet.traffic(0.01 * fronts, TIME_LIMIT_MS)
        play = Play(fleet, chance)
        if not membership:
            fleet.agree = lambda within, living=None: asyncio.sleep(0.5, 0.5)
            fleet.network.after = lambda datagrams: asyncio.sleep(datagrams / DATAGRAMS_PER_SECOND / fronts)
        began = time()
        await play.run()
        await asyncio.sleep(0.3)
        broken, figures = check_run(fleet, play) if membership else ([], {})
        figures |= {"seconds": round(time() - began, 1), "in_time": round(fleet.in_time(LATENCY_GOAL_S), 4)}
        if membership:
            # One at a time: on a small machine, many interpreters starting at once would slow the fronts down
            # and change the views that are compared here.
            views = [await show_members(front) for front in fleet.fronts[:8]]
            alive_counts, isolation = {view["alive"] for view in views}, {view["alone"] for view in views}
            figures["views_agree"] = alive_counts == {fronts} and isolation == {""}
            if not figures["views_agree"]:
                broken.append("views do not agree at the end")
            network = fleet.network
            figures |= {"datagrams": network.passed, "lost": network.lost, "longest": network.longest}
            if fleet.network.longest > 256:
                broken.append("a datagram of more than 256 bytes")
        for client in fleet.clients:
            client.task.cancel()
        await asyncio.sleep(TIME_LIMIT_MS / 1e3)
        figures["answers"] = fleet.answers(TIME_LIMIT_MS / 1e3 + 0.1)
        if plot:
            picture(fleet, plot, seed)
        faults = Counter(line["event"] for f in fleet.fronts for line in f.lines if "failed" in line["event"])
        if faults:
            broken.append(f"fronts failed: {dict(faults)}")
    return broken, figures


@click.command()
@click.option("--seed", default=1)
@click.option("--fronts", type=int)
@click.option("--full", is_flag=True)
@click.option("--plot", type=click.Path(file_okay=False), help="A picture of the run, into this folder.")
@click.option("--sabotage", type=click.Choice(sorted(GUARDS)))
def main(seed, fronts, full, plot, sabotage):
    fronts = fronts or (30 if full else 5)
    program = ("thistlelever",)
    if sabotage:
        os.environ["SABOTAGE"], program = sabotage, ("rigs.sabotaged",)
    broken, figures = asyncio.run(run_fleet(seed, fronts, program, plot=plot))
    if figures["answers"]["0"] or figures["answers"]["2+"]:
        broken.append("1: one final answer")
    if full:
        _, without = asyncio.run(run_fleet(seed, fronts, program, membership=False))
        figures["in_time_without"] = without["in_time"]
        if figures["in_time"] < without["in_time"] - 0.01:
            broken.append("fewer batches in time than without membership")
    report_and_exit("membership", seed, broken, {"fronts": fronts, **figures})


if __name__ == "__main__":
    main()
