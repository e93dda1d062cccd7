"""Checks the takeover of batches whose front fails.

Fronts with dispatched batches are killed, stopped and continued, cut off one way, ended by SIGTERM, or killed
together with an engine, while clients resubmit to other fronts with the same idempotency keys. The records of
clients, engines and fronts are then compared by key.

`python -m rigs.takeover --seed 1` runs five processes for at most 25 s; `--full` runs twenty with more
traffic, then the same without takeover. `--sabotage NAME` disables one safeguard in all fronts.
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
from rigs.results import Chance, report_and_exit
from rigs.sabotaged import WORK_GUARDS
from rigs.takeover_checks import check_run, count_answers
from rigs.takeover_clients import Clients
from rigs.takeover_engines import EngineRuns
from rigs.takeover_terms import GIVE_UP_S, QUERY_CLASSES, REPLICAS_COMPLETE_S, RETENTION_S, settings

# Prefixes of the counters that are shown beside those of takeover.
COUNTED = ("work ", "silent clients closed", "connections past the bound", "idle clients closed")
# Answers that come this long after the run are reported as late.
LATE_ANSWER_S = 3.0
# Longer than any request takes even on a heavily loaded machine.
END_TIMEOUT_S = 30.0


class Play:
    """Injects faults into the fleet in an order that depends on the seed."""

    def __init__(self, fleet, chance, engine_runs, clients, membership=True):
        self.fleet, self.chance, self.engine_runs, self.clients = fleet, chance, engine_runs, clients
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
        if fleet.front_count >= 10:
            self.steps += [self.seven_in_ten, self.each_tenth_leaves]

    async def run(self):
        """Runs one round: each fault once."""
        if await self.fleet.agree(10.0) is None:
            self.broken.append("views never agreed at the start")
        self.round += 1
        order = sorted(self.steps, key=lambda step: self.chance.share("order", self.round, step.__name__))
        network = self.fleet.network
        network.loss, network.double, network.jitter = 0.05, 0.02, 0.005
        loop = asyncio.get_running_loop()
        for step in order:
            await self.wait_for_dispatches(self.draw_front("rest " + step.__name__))
            began = loop.time()
            await step()
            self.done.append((step.__name__, began, loop.time()))
            await self.fleet.agree(5.0)
        network.loss = network.double = network.jitter = 0.0

    def draw_front(self, what):
        """Draws a front; the draw depends on the round and the label."""
        return self.fleet.fronts[self.chance.below(self.fleet.front_count, self.round, what)]

    async def wait_for_dispatches(self, front, minimum=2):
        """Waits until engines run enough batches of a front that are not look-ups, for at most 5 s."""
        engine_runs, stir = self.engine_runs, self.fleet.stir
        with suppress(TimeoutError):
            await asyncio.wait_for(self.poll_dispatches(front, minimum, engine_runs, stir), 5)

    async def poll_dispatches(self, front, minimum, engine_runs, stir):
        while True:
            mine = {
                t.txn
                for r in self.clients.requests[-400:]
                for t in r.submissions
                if t.front is front and r.query_class != "lookup"
            }
            if sum(run.ended is None for txn, run in engine_runs.by_txn.items() if txn in mine) >= minimum:
                return
            stir.clear()
            await stir.wait()

    async def kill_fronts(self, *fronts):
        """Kills fronts at once and records when."""
        at = asyncio.get_running_loop().time()
        for front in fronts:
            self.kills.append((at, front, front.starts))
        await asyncio.gather(*(front.kill() for front in fronts))

    async def kill(self):
        """Kills one front and starts it again after 1.2 s."""
        front = self.draw_front("kill")
        await self.wait_for_dispatches(front)
        await self.kill_fronts(front)
        await asyncio.sleep(1.2)
        await front.start()

    async def kill_two(self):
        """Kills two fronts 0.8 s apart; the second may be the successor of the first."""
        fronts = self.fleet.fronts
        place = self.chance.below(len(fronts), self.round, "two")
        two = fronts[place], fronts[(place + 1) % len(fronts)]
        await self.wait_for_dispatches(two[0])
        await self.kill_fronts(two[0])
        await asyncio.sleep(0.8)
        await self.kill_fronts(two[1])
        await asyncio.sleep(1.0)
        await asyncio.gather(*(front.start() for front in two))

    async def kill_with_engine(self):
        """Kills one front and resets one engine."""
        front = self.draw_front("kill with engine")
        await self.wait_for_dispatches(front)
        names = list(self.fleet.engines)
        name = names[self.chance.below(len(names), self.round, "engine")]
        self.lost_engines.append(name)
        await self.kill_fronts(front)
        await self.lose_engine(name)
        await asyncio.sleep(1.2)
        await front.start()

    async def lose_engine(self, name):
        """Cancels all runs of an engine, discards its results and breaks all connections to it."""
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
        """Kills 70% of the fronts at once under load and restarts them four at a time."""
        fronts = sorted(self.fleet.fronts, key=lambda f: self.chance.share("seven", self.round, f.place))
        dead = fronts[: len(fronts) * 7 // 10]
        await self.wait_for_dispatches(dead[0], 1)
        await self.kill_fronts(*dead)
        await asyncio.sleep(1.5)
        for place in range(0, len(dead), 4):
            await asyncio.gather(*(front.start() for front in dead[place : place + 4]))

    async def each_tenth_leaves(self):
        """Restarts all fronts by SIGTERM, a tenth at a time."""
        fronts, many = self.fleet.fronts, max(len(self.fleet.fronts) // 10, 1)
        for place in range(0, len(fronts), many):
            some = fronts[place : place + many]
            await asyncio.gather(*(front.stop() for front in some))
            await asyncio.gather(*(front.start() for front in some))

    async def pause(self, label, seconds):
        """Stops one front with SIGSTOP for some seconds."""
        front = self.draw_front(label)
        await self.wait_for_dispatches(front)
        front.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        front.signal(signal.SIGCONT)

    async def stop_short(self):
        """Stops one front for 1 s."""
        await self.pause("short", 1.0)

    async def stop_long(self):
        """Stops one front for 3 s."""
        await self.pause("long", 3.0)

    async def cut_off(self, label, pairs):
        """Cuts the pairs that `pairs` returns for one front and each other front, for 1.6 s."""
        front = self.draw_front(label)
        await self.wait_for_dispatches(front)
        others = [other for other in self.fleet.fronts if other is not front]
        self.fleet.network.cuts |= {pair for other in others for pair in pairs(front.place, other.place)}
        await asyncio.sleep(1.6)
        self.fleet.network.cuts.clear()

    async def mute(self):
        """Cuts all datagrams from one front, which still receives those of the others and keeps serving."""
        await self.cut_off("mute", lambda a, b: [(a, b)])

    async def deaf(self):
        """Cuts all datagrams to one front."""
        await self.cut_off("deaf", lambda a, b: [(b, a)])

    async def leave(self):
        """Restarts one front by SIGTERM."""
        front = self.draw_front("leave")
        await self.wait_for_dispatches(front)
        await front.stop()
        await front.start()


def picture(play, clients, folder, name):
    """Plots the time of each request against the seconds to its outcome, with the faults in grey."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    began = clients.requests[0].at
    figure, axes = pyplot.subplots(figsize=(12, 4))
    for step, since, till in play.done:
        axes.axvspan(since - began, till - began, color="lightgrey")
        axes.text(since - began, GIVE_UP_S * 0.95, step, fontsize=7, rotation=90, va="top")
    for (_, query_class, *_), colour in zip(QUERY_CLASSES, ("tab:green", "tab:blue", "tab:red"), strict=True):
        done = [a for a in clients.requests if a.query_class == query_class and a.over_at]
        for outcome, marker in (("returned", "."), ("errored", "x")):
            found = [(a.at - began, a.over_at - a.at) for a in done if a.outcome == outcome]
            if found:
                axes.scatter(
                    *zip(*found, strict=True),
                    s=9,
                    color=colour,
                    marker=marker,
                    label=f"{query_class} {outcome}",
                )
    axes.set_xlabel("seconds; grey: what was done to fronts")
    axes.set_ylabel("seconds to the outcome")
    axes.legend(fontsize=7)
    Path(folder).mkdir(parents=True, exist_ok=True)
    figure.savefig(Path(folder) / f"{name}.png", dpi=120, bbox_inches="tight")


async def run_fleet(seed, fronts, every, batches, program, takeover=True, plot=None):
    """Runs rounds of faults until `batches` requests were made; returns broken rules and figures."""
    chance = Chance(seed)
    sections = {"membership": {"tier": "yard"}} | ({"takeover": {"keep_s": RETENTION_S}} if takeover else {})
    async with Fleet(chance, fronts, 2, sections, settings(), program, flight=1) as fleet:
        began = time()
        engine_runs = EngineRuns(fleet)
        sweeps = asyncio.create_task(engine_runs.run_sweeps())
        if takeover:
            # Until all replicas are complete.
            await asyncio.sleep(REPLICAS_COMPLETE_S)
        clients = Clients(fleet, chance, every)
        play = Play(fleet, chance, engine_runs, clients)
        while True:
            await play.run()
            if len(clients.requests) >= batches:
                break
        clients.stop()
        async with asyncio.timeout(END_TIMEOUT_S):
            while any(a.over_at is None or not a.outcome for a in clients.requests) or clients.has_pending():
                await asyncio.sleep(0.1)
        broken, figures = check_run(fleet, play, engine_runs, clients)
        if figures["unanswered"]:
            # Tells late answers from those that never come.
            await asyncio.sleep(LATE_ANSWER_S)
            silent = count_answers(fleet, clients)[0]["0"]
            figures["answered_late"] = figures["answers"]["0"] - silent
        if plot:
            picture(play, clients, plot, f"takeover-{seed}{'' if takeover else '-without'}")
        sweeps.cancel()
        for task in list(clients.tasks):
            task.cancel()
        figures["seconds"] = round(time() - began, 1)
        counts = Counter()
        for answer in await asyncio.gather(*(front.ask("counts") for front in fleet.fronts)):
            counts.update(
                {k: v for k, v in (answer or {}).items() if "takeover" in k or k.startswith(COUNTED)}
            )
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
    broken, figures = asyncio.run(run_fleet(seed, fronts, every, batches, program, plot=plot))
    if full:
        _, without = asyncio.run(run_fleet(seed, fronts, every, batches, program, False, plot))
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
    report_and_exit("takeover", seed, broken, {"fronts": fronts, **figures})


if __name__ == "__main__":
    main()
