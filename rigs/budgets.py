"""Teams of several shapes and a flood by one, on stand-in engines over sockets: the victim alone, under the
flood with budgets, and under the same flood without them, in one run.

Engines have so many cores, and a batch takes one for as long as its work; what comes beyond waits in the
engine.
"""

import asyncio
import json
from base64 import b64encode
from collections import Counter, defaultdict
from contextlib import suppress
from math import log
from pathlib import Path

import click

from rigs.verdict import Chance, close
from thistlelever.budgets.wait_estimator import MIN_SCORED_WAIT, WaitEstimator
from thistlelever.ground import config as front_config
from thistlelever.ground.operator import Operator, read
from thistlelever.lifecycle.run import FrontServer
from thistlelever.standins import directory
from thistlelever.standins.http_engine import Engine
from thistlelever.standins.configuration import GROUP, SETTINGS, configuration

CORES, LIMIT, GOAL = 2, 4.0, 0.5
VICTIM, FLOOD = "acme", "marea"
# Batches a second and their work in seconds, by team; `bursts` come in a tenth of each two seconds alone.
TEAMS = {
    VICTIM: (30.0, 0.020, "lookup"),
    FLOOD: (250.0, 0.024, "lookup"),
    "lotti": (20.0, 0.020, "lookup"),
    "grande": (0.7, 0.400, "report"),
    "scoppio": (12.0, 0.030, "lookup"),
}
SECTION = {
    "budgets": {
        "threads_a_core": 1.0,
        "depth": 1.0,
        "waste": 0.05,
        "brokers": {
            "nord": {
                "guarantee": 0.4,
                "teams": {VICTIM: {"guarantee": 0.25, "burst": 0.2}, "lotti": {"guarantee": 0.15}},
            },
            "sud": {
                "guarantee": 0.3,
                "teams": {
                    FLOOD: {"guarantee": 0.1},
                    "grande": {"guarantee": 0.1},
                    "scoppio": {"guarantee": 0.1, "burst": 0.5},
                },
            },
        },
    }
}
# What the claims allow.
WITHIN, POINTS = 0.20, 2.0


def settings(engines):
    told = json.loads(json.dumps(SETTINGS))
    limit = {"Deadline": int(LIMIT * 1e6), "Slo": int(GOAL * 1e6), "AimStretch": 0.0}
    told["Classes"] = [
        GROUP | limit,
        GROUP | limit | {"Name": "report", "Value": 0.2, "Idempotency": "once", "Slo": 4_000_000},
    ]
    told["FamilyInfo"] |= {
        "KindCores": [CORES],
        "WidthByClass": [1, 1],
        "HoldsTables": [False, False],
        "YieldsToLoads": [False, False],
    }
    told["Parties"] = [{"Name": name, "QuotaPerS": 100.0} for name in TEAMS]
    told["Limits"]["MaxRetryAfter"] = 4_000_000
    return told


def seconds_of(statement):
    """A statement's work, which it says itself."""
    return float(statement.split()[1].decode().lstrip("w")) / 1e6


class Machine:
    """The cores of one engine."""

    def __init__(self, engine, chance):
        self.cores, self.chance, self.busy, self.engine = asyncio.Semaphore(CORES), chance, 0, engine

    async def work(self, txn, statement):
        seconds = seconds_of(statement)
        self.busy += 1
        self.tell()
        try:
            async with self.cores:
                await asyncio.sleep(seconds)
        finally:
            self.busy -= 1
            self.tell()

    def tell(self):
        self.engine.extra_headers = {
            "X-Gauges": f"inflight:{self.busy};util:{min(self.busy / CORES, 1.0):.2f}"
        }


class Line:
    """One connection of a team, and since when what is open on it."""

    def __init__(self, reader, writer):
        self.reader, self.writer, self.open, self.hearing = reader, writer, {}, None


class Day:
    """One front, its engines, and the teams' batches for some seconds."""

    def __init__(self, chance, seconds, teams, section):
        self.chance, self.seconds, self.teams, self.section = chance, seconds, teams, section
        self.stir, self.engines, self.answers = asyncio.Event(), {}, Counter()
        self.took, self.ends, self.late = defaultdict(list), defaultdict(Counter), 0
        self.shares, self.waits = [], []

    async def open(self):
        for name in ("a", "b"):
            engine = self.engines[name] = Engine(self.stir)
            engine.run_statement = Machine(engine, self.chance).work
            engine.cost = lambda statement: seconds_of(statement) * 1e3
            await engine.start()
        self.directory, known = await directory.start_directory(self.stir, self.engines)
        told = front_config.read(configuration(known, f"127.0.0.1:{self.directory.port}", settings(2)), {})
        ready = asyncio.get_running_loop().create_future()
        self.failures = []

        def heard(event, **facts):
            if event == "ready":
                ready.set_result(facts["listen"])
            elif event.endswith("failed"):
                self.failures.append((event, facts))

        operator = read(json.dumps(self.section).encode()) if self.section else Operator()
        self.server = FrontServer(told, heard, operator=operator)
        self.running = asyncio.create_task(self.server.run())
        self.listen = await ready

    async def play(self):
        await self.open()
        clients = [asyncio.create_task(self.team(name)) for name in self.teams]
        watch = asyncio.create_task(self.watch())
        await asyncio.gather(*clients)
        watch.cancel()
        self.server.stop.set()
        await self.running
        for engine in self.engines.values():
            await engine.stop()
        self.directory.transport.close()
        return self

    async def watch(self):
        """Who has how many threads, ten times a second: for the picture."""
        begun = asyncio.get_running_loop().time()
        while self.section:
            await asyncio.sleep(0.1)
            fair_queue = self.server.batch_tasks.gate.fair_queue
            out = Counter()
            for batch in fair_queue.running.values():
                out[batch.spec.team] += batch.spec.width
            self.shares.append((asyncio.get_running_loop().time() - begun, dict(out)))

    async def team(self, name):
        """One team's connections; its batches come by chance at its rate, each answered in its time."""
        rate, work, group = TEAMS[name]
        lines, loop, number = [], asyncio.get_running_loop(), 0
        begun = at = loop.time()
        # The flood comes into usual load, and ends before it, so that what it left is seen off beside that.
        at += self.seconds / 4 if name == FLOOD else 0
        until = begun + self.seconds * (0.75 if name == FLOOD else 1)
        while at < until:
            number += 1
            at += -log(1 - self.chance.share(name, "gap", number)) / rate
            if name == "scoppio":
                # All of two seconds' batches in their first tenth.
                at = begun + (at - begun) // 2 * 2 + min((at - begun) % 2, 0.2)
                at = at if number % int(2 * rate) else begun + ((at - begun) // 2 + 1) * 2
            await asyncio.sleep(max(at - loop.time(), 0))
            # One that idled may have been closed, as a front may.
            line = next((line for line in lines if len(line.open) < 30 and not line.hearing.done()), None)
            if line is None:
                line = Line(*await asyncio.open_connection(*self.listen, limit=2**20))
                line.hearing = asyncio.create_task(self.hear(name, line))
                lines.append(line)
            took = work * (0.5 + self.chance.share(name, "work", number))
            self.ask(name, group, number, took, line)
        with suppress(TimeoutError):
            async with asyncio.timeout(LIMIT + 1):
                while any(line.open for line in lines):
                    await asyncio.sleep(0.02)
        self.late += sum(len(line.open) for line in lines)
        for line in lines:
            line.hearing.cancel()
            line.writer.close()

    def ask(self, name, group, number, took, line):
        team = list(TEAMS).index(name)
        text = f"select w{int(took * 1e6)} from sales_{number % 50}.orders"
        params = {
            "id": f"{team:04x}{number:012x}",
            "wait": LIMIT * 1e3,
            "tenant": name,
            "cost": took * 1e3,
            "need_mb": 4,
            "bytes": b64encode(text.encode()).decode(),
        }
        line.open[number] = asyncio.get_running_loop().time()
        call = {"jsonrpc": "2.0", "id": number, "method": group, "params": params}
        line.writer.write(json.dumps(call).encode() + b"\n")

    async def hear(self, name, line):
        with suppress(ConnectionError):
            while text := await line.reader.readline():
                said = json.loads(text)
                since = line.open.pop(said["id"], None)
                self.answers["1" if since is not None else "2+"] += 1
                if since is None:
                    continue
                took = asyncio.get_running_loop().time() - since
                self.took[name].append(took if "result" in said else None)
                code = said.get("error", {}).get("code")
                self.ends[name][{None: "returned", -32001: "pushed back"}.get(code, "errored")] += 1

    def in_time(self, name):
        """The share of its batches that were returned within the goal, in hundredths."""
        took = self.took[name]
        return 100 * sum(t is not None and t <= GOAL for t in took) / max(len(took), 1)


async def run(seed, seconds, plot):
    chance = Chance(seed)
    recorded, record = [], WaitEstimator.record

    def recording(self, path, estimated, uncorrected, naive, actual):
        recorded.append((path[1], estimated, actual, naive))
        record(self, path, estimated, uncorrected, naive, actual)

    alone = await Day(chance, seconds / 2, [VICTIM], SECTION).play()
    WaitEstimator.record = recording
    flooded = await Day(chance, seconds, list(TEAMS), SECTION).play()
    WaitEstimator.record = record
    without = await Day(chance, seconds, list(TEAMS), None).play()
    waited = [r for r in recorded if r[2] >= MIN_SCORED_WAIT]
    errors = {
        f"{name}p{share}": percentile([abs(r[place] - r[2]) / r[2] for r in waited], share)
        for name, place in (("", 1), ("naive_", 3))
        for share in (50, 90, 99)
    }
    fair_queue = flooded.server.batch_tasks.gate.fair_queue
    shares = {
        "alone": alone.in_time(VICTIM),
        "with_budgets": flooded.in_time(VICTIM),
        "without_budgets": without.in_time(VICTIM),
    }
    broken = []
    if shares["with_budgets"] < shares["alone"] - POINTS:
        broken.append("the victim's share in time falls under the flood")
    if errors["p90"] > WITHIN:
        broken.append("estimates are not within a fifth for nine in ten")
    for name, day in (("alone", alone), ("flooded", flooded), ("without", without)):
        if day.late or day.answers["2+"]:
            broken.append(f"{name}: one final answer")
        broken += [f"{name}: {n}" for n in day.server.metrics.counts if n.startswith("broken")]
        broken += [f"{name}: {event}" for event, _ in day.failures]
    if not fair_queue.is_conserved() or fair_queue.batches:
        broken.append("something is still held")
    figures = {
        "seconds": seconds,
        "in_time": {name: round(share, 1) for name, share in shares.items()},
        "estimate_errors": errors,
        "waits_judged": len(waited),
        "starved": flooded.late,
        "answers": {
            "0": alone.late + flooded.late + without.late,
            "1": sum(day.answers["1"] for day in (alone, flooded, without)),
            "2+": sum(day.answers["2+"] for day in (alone, flooded, without)),
        },
        "ends_with": {name: dict(ends) for name, ends in flooded.ends.items()},
        "ends_without": {name: dict(ends) for name, ends in without.ends.items()},
        "counts": fair_queue.counts,
        "thrown_away_core_s": round(fair_queue.wasted_work, 3),
    }
    if plot:
        picture(Path(plot), seed, flooded, recorded)
    return broken, figures


def percentile(found, share):
    ordered = sorted(found)
    return round(ordered[min(len(ordered) * share // 100, len(ordered) - 1)], 3) if ordered else 0.0


def picture(folder, seed, day, recorded):
    """Threads by team over time, and waits as told beside as they were."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(13, 5))
    times = [at for at, _ in day.shares]
    left.stackplot(times, [[out.get(name, 0) for _, out in day.shares] for name in TEAMS], labels=list(TEAMS))
    left.set(xlabel="seconds", ylabel="threads out", title="Threads by team (stand-in engines)")
    left.legend(loc="lower right")
    for name in TEAMS:
        points = [(was, told) for team, told, was, _ in recorded if team == name and was >= MIN_SCORED_WAIT]
        if points:
            right.scatter(*zip(*points, strict=True), s=4, label=name)
    most = max((was for _, _, was, _ in recorded), default=1.0)
    right.plot([0, most], [0, most], "k-", lw=0.8)
    right.plot([0, most], [0, 1.2 * most], "k:", lw=0.8)
    right.plot([0, most], [0, 0.8 * most], "k:", lw=0.8)
    right.set(xlabel="seconds waited", ylabel="seconds told", title="Waits, told and actual; dotted: 20%")
    right.legend()
    figure.tight_layout()
    figure.savefig(folder / f"budgets-{seed}.png", dpi=90)


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=click.FloatRange(2), default=16.0, show_default=True)
@click.option("--full", is_flag=True, help="40 seconds of each day.")
@click.option("--plot", type=click.Path(file_okay=False), help="A folder for the picture.")
def main(seed, seconds, full, plot):
    """A victim's look-ups under another's flood, with budgets and without; waits as told beside as they
    were."""
    broken, figures = asyncio.run(run(seed, 40.0 if full else seconds, plot))
    close("budgets", seed, broken, figures)


if __name__ == "__main__":
    main()
