"""Work in hand and the loss of its front: fronts killed with batches out, stopped and woken, cut one way,
ended by SIGTERM, killed together with an engine, while clients come back to other fronts with their marks.
Books of clients, engines and fronts, by mark.

`python -m rigs.takeover --seed 1` plays five processes in at most 25 s; `--full` twenty with more traffic,
and the same beside it without takeover. `--sabotage NAME` takes one guard out of all fronts.
"""

import asyncio
import os
import signal
from collections import Counter
from contextlib import suppress
from pathlib import Path
from time import time

import click

from rigs.fleet import Fleet
from rigs.sabotaged import WORK_GUARDS
from rigs.takeover_clients import Clients
from rigs.takeover_engines import Machines
from rigs.takeover_judge import judged, judged_answers
from rigs.takeover_terms import GIVES_UP, GROUPS, GROWN, KEEP, settings
from rigs.verdict import Chance, close

# Counts of the fronts that are shown, beside takeover's own: by how they begin.
COUNTED = ("work ", "silent clients closed", "connections past the bound", "idle clients closed")
# An answer that comes so long after the run is told as a late one.
LATE_WITHIN = 3.0
# Longer than any request takes on a machine that gives the rig little time; what goes on then never ends.
END_WITHIN = 30.0


class Play:
    """What is done to the fleet, in the order and at the counts that the seed gives."""

    def __init__(self, fleet, chance, machines, clients, membership=True):
        self.fleet, self.chance, self.machines, self.clients = fleet, chance, machines, clients
        self.broken, self.kills, self.lost_engines, self.round = [], [], [], 0
        self.done = []
        self.steps = [
            self.kill,
            self.stop_long,
            self.deaf,
            self.stop_short,
            self.mute,
            self.leave,
            self.kill_with_engine,
            self.kill_two,
        ]
        if fleet.many >= 10:
            self.steps += [self.seven_in_ten, self.each_tenth_leaves]

    async def run(self):
        if await self.fleet.agree(10.0) is None:
            self.broken.append("views never agreed at the start")
        self.round += 1
        order = sorted(self.steps, key=lambda step: self.chance.share("order", self.round, step.__name__))
        wire = self.fleet.wire
        wire.loss, wire.double, wire.jitter = 0.05, 0.02, 0.005
        loop = asyncio.get_running_loop()
        for step in order:
            await self.in_hand(self.one("rest " + step.__name__))
            began = loop.time()
            await step()
            self.done.append((step.__name__, began, loop.time()))
            await self.fleet.agree(5.0)
        wire.loss = wire.double = wire.jitter = 0.0

    def one(self, what):
        return self.fleet.fronts[self.chance.below(self.fleet.many, self.round, what)]

    async def in_hand(self, front, many=2):
        """Until so many batches that may not simply run twice are at work for that front; one that gets few
        has its fault all the same."""
        machines, stir = self.machines, self.fleet.stir
        with suppress(TimeoutError):
            await asyncio.wait_for(self.at_work(front, many, machines, stir), 5)

    async def at_work(self, front, many, machines, stir):
        while True:
            mine = {
                t.txn
                for r in self.clients.requests[-400:]
                for t in r.tries
                if t.front is front and r.group != "lookup"
            }
            if sum(run.ended is None for txn, run in machines.of_txn.items() if txn in mine) >= many:
                return
            stir.clear()
            await stir.wait()

    async def killed(self, *fronts):
        at = asyncio.get_running_loop().time()
        for front in fronts:
            self.kills.append((at, front, front.lives))
        await asyncio.gather(*(front.kill() for front in fronts))

    async def kill(self):
        front = self.one("kill")
        await self.in_hand(front)
        await self.killed(front)
        await asyncio.sleep(1.2)
        await front.start()

    async def kill_two(self):
        """An heir may be among them."""
        fronts = self.fleet.fronts
        place = self.chance.below(len(fronts), self.round, "two")
        two = fronts[place], fronts[(place + 1) % len(fronts)]
        await self.in_hand(two[0])
        await self.killed(two[0])
        await asyncio.sleep(0.8)
        await self.killed(two[1])
        await asyncio.sleep(1.0)
        await asyncio.gather(*(front.start() for front in two))

    async def kill_with_engine(self):
        front = self.one("kill with engine")
        await self.in_hand(front)
        names = list(self.fleet.engines)
        name = names[self.chance.below(len(names), self.round, "engine")]
        self.lost_engines.append(name)
        await self.killed(front)
        await self.lose_engine(name)
        await asyncio.sleep(1.2)
        await front.start()

    async def lose_engine(self, name):
        engine = self.fleet.engines[name]
        if name in self.fleet.flight:
            for work in engine.runs.values():
                work.cancel()
            engine.runs.clear()
        else:
            for work, _, _ in engine.running.values():
                work.cancel()
            engine.running.clear()
            engine.hang_up()
        engine.kept.clear()
        engine.recorder.record_crash()
        for front in self.fleet.fronts:
            front.relays[name].break_all()

    async def seven_in_ten(self):
        """At once, under load, and all back a few at a time."""
        fronts = sorted(self.fleet.fronts, key=lambda f: self.chance.share("seven", self.round, f.place))
        dead = fronts[: len(fronts) * 7 // 10]
        await self.in_hand(dead[0], 1)
        await self.killed(*dead)
        await asyncio.sleep(1.5)
        for place in range(0, len(dead), 4):
            await asyncio.gather(*(front.start() for front in dead[place : place + 4]))

    async def each_tenth_leaves(self):
        fronts, many = self.fleet.fronts, max(len(self.fleet.fronts) // 10, 1)
        for place in range(0, len(fronts), many):
            some = fronts[place : place + many]
            await asyncio.gather(*(front.stop() for front in some))
            await asyncio.gather(*(front.start() for front in some))

    async def stop(self, what, seconds):
        front = self.one(what)
        await self.in_hand(front)
        front.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        front.signal(signal.SIGCONT)

    async def stop_short(self):
        await self.stop("short", 1.0)

    async def stop_long(self):
        await self.stop("long", 3.0)

    async def cut(self, what, pairs):
        front = self.one(what)
        await self.in_hand(front)
        others = [other for other in self.fleet.fronts if other is not front]
        self.fleet.wire.cuts |= {pair for other in others for pair in pairs(front.place, other.place)}
        await asyncio.sleep(1.6)
        self.fleet.wire.cuts.clear()

    async def mute(self):
        """It hears the others, they don't hear it, and it serves on."""
        await self.cut("mute", lambda a, b: [(a, b)])

    async def deaf(self):
        await self.cut("deaf", lambda a, b: [(b, a)])

    async def leave(self):
        front = self.one("leave")
        await self.in_hand(front)
        await front.stop()
        await front.start()


def picture(play, clients, folder, name):
    """When each request was asked, and how long its outcome took; what was done meanwhile in grey."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    began = clients.requests[0].at
    figure, axes = pyplot.subplots(figsize=(12, 4))
    for step, since, till in play.done:
        axes.axvspan(since - began, till - began, color="lightgrey")
        axes.text(since - began, GIVES_UP * 0.95, step, fontsize=7, rotation=90, va="top")
    for (_, group, *_), colour in zip(GROUPS, ("tab:green", "tab:blue", "tab:red"), strict=True):
        done = [a for a in clients.requests if a.group == group and a.over_at]
        for outcome, mark in (("returned", "."), ("errored", "x")):
            found = [(a.at - began, a.over_at - a.at) for a in done if a.outcome == outcome]
            if found:
                axes.scatter(
                    *zip(*found, strict=True), s=9, color=colour, marker=mark, label=f"{group} {outcome}"
                )
    axes.set_xlabel("seconds; grey: what was done to fronts")
    axes.set_ylabel("seconds to the outcome")
    axes.legend(fontsize=7)
    Path(folder).mkdir(parents=True, exist_ok=True)
    figure.savefig(Path(folder) / f"{name}.png", dpi=120, bbox_inches="tight")


async def played(seed, fronts, every, batches, program, takeover=True, plot=None):
    chance = Chance(seed)
    sections = {"membership": {"tier": "yard"}} | ({"takeover": {"keep_s": KEEP}} if takeover else {})
    async with Fleet(chance, fronts, 2, sections, settings(), program, flight=1) as fleet:
        began = time()
        machines = Machines(fleet)
        sweeping = asyncio.create_task(machines.sweeping())
        if takeover:
            # Until all places know all that they should.
            await asyncio.sleep(GROWN)
        clients = Clients(fleet, chance, every)
        play = Play(fleet, chance, machines, clients)
        while True:
            await play.run()
            if len(clients.requests) >= batches:
                break
        clients.stop()
        async with asyncio.timeout(END_WITHIN):
            while any(a.over_at is None or not a.outcome for a in clients.requests) or clients.owed():
                await asyncio.sleep(0.1)
        broken, figures = judged(fleet, play, machines, clients)
        if figures["unanswered"]:
            # Whether those answers were late or never came.
            await asyncio.sleep(LATE_WITHIN)
            silent = judged_answers(fleet, clients)[0]["0"]
            figures["answered_late"] = figures["answers"]["0"] - silent
        if plot:
            picture(play, clients, plot, f"takeover-{seed}{'' if takeover else '-without'}")
        sweeping.cancel()
        for task in list(clients.tasks):
            task.cancel()
        figures["seconds"] = round(time() - began, 1)
        counts = Counter()
        for said in await asyncio.gather(*(front.ask("counts") for front in fleet.fronts)):
            counts.update({k: v for k, v in (said or {}).items() if "takeover" in k or k.startswith(COUNTED)})
        figures["counts"] = dict(sorted(counts.items()))
    return broken, figures


@click.command()
@click.option("--seed", default=1)
@click.option("--fronts", type=int)
@click.option("--every", type=float, help="Seconds between two requests to one front.")
@click.option("--batches", type=int, help="The faults come round after round until so many were asked for.")
@click.option("--full", is_flag=True)
@click.option("--plot", type=click.Path(file_okay=False), help="A picture of the run, into this folder.")
@click.option("--sabotage", type=click.Choice(sorted(WORK_GUARDS)))
def main(seed, fronts, every, batches, full, plot, sabotage):
    fronts, every = fronts or (20 if full else 5), every or (0.25 if full else 0.08)
    batches = batches or (10_000 if full else 0)
    program = ("thistlelever",)
    if sabotage:
        os.environ["SABOTAGE"], program = sabotage, ("rigs.sabotaged",)
    broken, figures = asyncio.run(played(seed, fronts, every, batches, program, plot=plot))
    if full:
        _, without = asyncio.run(played(seed, fronts, every, batches, program, False, plot))
        figures["without"] = {
            name: without[name]
            for name in (
                "in_time",
                "in_time_after_a_kill",
                "hit_by_a_kill",
                "death_to_outcome_s",
                "engine_seconds_wasted",
                "engine_seconds",
                "outcomes",
                "effects_twice",
                "wrongly_harmless",
            )
        }
    close("takeover", seed, broken, {"fronts": fronts, **figures})


if __name__ == "__main__":
    main()
