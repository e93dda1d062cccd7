"""Teams with different load patterns, one of which overloads the engines, with fake engines over sockets. One
run measures the victim alone, under the overload with budgets, and under the same overload without them.

An engine has CORES cores. A batch occupies one for the duration of its work; further batches wait in the
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

from rigs.results import Chance, report_and_exit
from thistlelever.budgets.wait_estimator import MIN_SCORED_WAIT, WaitEstimator
from thistlelever.ground import config as front_config
from thistlelever.ground.operator import Operator, read
from thistlelever.lifecycle.run import FrontServer
from thistlelever.standins import directory
from thistlelever.standins.http_engine import Engine
from thistlelever.standins.configuration import GROUP, SETTINGS, configuration

CORES, TIME_LIMIT_S, OBJECTIVE_S = 2, 4.0, 0.5
VICTIM, FLOOD = "acme", "marea"
# By team: batches a second, work of a batch in seconds, query class. `scoppio` sends all batches of two
# seconds in the first tenth of them.
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
# Accepted relative error of nine in ten wait estimates, and accepted drop of the victim's share in time, in
# percentage points.
MAX_ESTIMATE_ERROR, MAX_DROP_POINTS = 0.20, 2.0


def settings(engines):
    """Return the site's settings with this rig's engines, classes and teams."""
    config = json.loads(json.dumps(SETTINGS))
    limit = {"Deadline": int(TIME_LIMIT_S * 1e6), "Slo": int(OBJECTIVE_S * 1e6), "AimStretch": 0.0}
    config["Classes"] = [
        GROUP | limit,
        GROUP | limit | {"Name": "report", "Value": 0.2, "Idempotency": "once", "Slo": 4_000_000},
    ]
    config["FamilyInfo"] |= {
        "KindCores": [CORES],
        "WidthByClass": [1, 1],
        "HoldsTables": [False, False],
        "YieldsToLoads": [False, False],
    }
    config["Parties"] = [{"Name": name, "QuotaPerS": 100.0} for name in TEAMS]
    config["Limits"]["MaxRetryAfter"] = 4_000_000
    return config


def declared_work_s(statement):
    """Return the work in seconds that a statement declares."""
    return float(statement.split()[1].decode().lstrip("w")) / 1e6


class EngineCores:
    """The cores of one engine and the queue for them."""

    def __init__(self, engine, chance):
        self.cores, self.chance, self.in_flight, self.engine = asyncio.Semaphore(CORES), chance, 0, engine

    async def work(self, txn, statement):
        """Occupy a core for the statement's work; a batch that finds none free waits."""
        seconds = declared_work_s(statement)
        self.in_flight += 1
        self.publish_load()
        try:
            async with self.cores:
                await asyncio.sleep(seconds)
        finally:
            self.in_flight -= 1
            self.publish_load()

    def publish_load(self):
        """Set the gauges that the engine reports with its answers."""
        self.engine.extra_headers = {
            "X-Gauges": f"inflight:{self.in_flight};util:{min(self.in_flight / CORES, 1.0):.2f}"
        }


class ClientConnection:
    """One connection of a team; `open` maps the number of each open request to the time at which it was
    sent."""

    def __init__(self, reader, writer):
        self.reader, self.writer, self.open, self.reading = reader, writer, {}, None


class Phase:
    """One measurement: a front, its engines, and the teams' batches for some seconds."""

    def __init__(self, chance, seconds, teams, section):
        self.chance, self.seconds, self.teams, self.section = chance, seconds, teams, section
        self.changed, self.engines, self.answers = asyncio.Event(), {}, Counter()
        self.took, self.ends, self.unanswered = defaultdict(list), defaultdict(Counter), 0
        self.shares, self.waits = [], []

    async def open(self):
        """Start the engines, the directory and the front; wait until the front is ready."""
        for name in ("a", "b"):
            engine = self.engines[name] = Engine(self.changed)
            engine.run_statement = EngineCores(engine, self.chance).work
            engine.cost = lambda statement: declared_work_s(statement) * 1e3
            await engine.start()
        self.directory, known = await directory.start_directory(self.changed, self.engines)
        config = front_config.read(configuration(known, f"127.0.0.1:{self.directory.port}", settings(2)), {})
        ready = asyncio.get_running_loop().create_future()
        self.failures = []

        def on_log(event, **facts):
            if event == "ready":
                ready.set_result(facts["listen"])
            elif event.endswith("failed"):
                self.failures.append((event, facts))

        operator = read(json.dumps(self.section).encode()) if self.section else Operator()
        self.server = FrontServer(config, on_log, operator=operator)
        self.running = asyncio.create_task(self.server.run())
        self.listen = await ready

    async def play(self):
        """Run the teams' clients to their end, then stop everything; return this phase."""
        await self.open()
        clients = [asyncio.create_task(self.run_team(name)) for name in self.teams]
        sampling = asyncio.create_task(self.sample_threads())
        await asyncio.gather(*clients)
        sampling.cancel()
        self.server.stop.set()
        await self.running
        for engine in self.engines.values():
            await engine.stop()
        self.directory.transport.close()
        return self

    async def sample_threads(self):
        """Record the threads of each team ten times a second, for the plot."""
        begun = asyncio.get_running_loop().time()
        while self.section:
            await asyncio.sleep(0.1)
            fair_queue = self.server.batch_tasks.gate.fair_queue
            threads = Counter()
            for batch in fair_queue.running.values():
                threads[batch.spec.team] += batch.spec.width
            self.shares.append((asyncio.get_running_loop().time() - begun, dict(threads)))

    async def run_team(self, name):
        """Submit one team's batches at random intervals at its rate, and wait for their answers."""
        rate, work, query_class = TEAMS[name]
        connections, loop, number = [], asyncio.get_running_loop(), 0
        begun = at = loop.time()
        # The overload starts after the usual load and ends before it, so that its backlog is worked off under
        # that load.
        at += self.seconds / 4 if name == FLOOD else 0
        until = begun + self.seconds * (0.75 if name == FLOOD else 1)
        while at < until:
            number += 1
            at += -log(1 - self.chance.share(name, "gap", number)) / rate
            if name == "scoppio":
                # All batches of two seconds come in the first tenth of them.
                at = begun + (at - begun) // 2 * 2 + min((at - begun) % 2, 0.2)
                at = at if number % int(2 * rate) else begun + ((at - begun) // 2 + 1) * 2
            await asyncio.sleep(max(at - loop.time(), 0))
            # The front may have closed an idle connection.
            connection = next((c for c in connections if len(c.open) < 30 and not c.reading.done()), None)
            if connection is None:
                connection = ClientConnection(*await asyncio.open_connection(*self.listen, limit=2**20))
                connection.reading = asyncio.create_task(self.read_answers(name, connection))
                connections.append(connection)
            took = work * (0.5 + self.chance.share(name, "work", number))
            self.submit(name, query_class, number, took, connection)
        with suppress(TimeoutError):
            async with asyncio.timeout(TIME_LIMIT_S + 1):
                while any(connection.open for connection in connections):
                    await asyncio.sleep(0.02)
        self.unanswered += sum(len(connection.open) for connection in connections)
        for connection in connections:
            connection.reading.cancel()
            connection.writer.close()

    def submit(self, name, query_class, number, took, connection):
        """Send one batch and record when."""
        team_number = list(TEAMS).index(name)
        text = f"select w{int(took * 1e6)} from sales_{number % 50}.orders"
        params = {
            "id": f"{team_number:04x}{number:012x}",
            "wait": TIME_LIMIT_S * 1e3,
            "tenant": name,
            "cost": took * 1e3,
            "need_mb": 4,
            "bytes": b64encode(text.encode()).decode(),
        }
        connection.open[number] = asyncio.get_running_loop().time()
        call = {"jsonrpc": "2.0", "id": number, "method": query_class, "params": params}
        connection.writer.write(json.dumps(call).encode() + b"\n")

    async def read_answers(self, name, connection):
        """Record the answers of a connection until it ends."""
        with suppress(ConnectionError):
            while text := await connection.reader.readline():
                answer = json.loads(text)
                since = connection.open.pop(answer["id"], None)
                self.answers["1" if since is not None else "2+"] += 1
                if since is None:
                    continue
                took = asyncio.get_running_loop().time() - since
                self.took[name].append(took if "result" in answer else None)
                code = answer.get("error", {}).get("code")
                self.ends[name][{None: "returned", -32001: "pushed back"}.get(code, "errored")] += 1

    def in_time(self, name):
        """Return the percentage of its batches that were returned within the latency objective."""
        took = self.took[name]
        return 100 * sum(t is not None and t <= OBJECTIVE_S for t in took) / max(len(took), 1)


async def run(seed, seconds, plot):
    """Run the three phases; return the broken rules and the figures."""
    chance = Chance(seed)
    recorded, record = [], WaitEstimator.record

    def record_and_keep(self, path, estimated, uncorrected, naive, actual):
        recorded.append((path[1], estimated, actual, naive))
        record(self, path, estimated, uncorrected, naive, actual)

    alone = await Phase(chance, seconds / 2, [VICTIM], SECTION).play()
    WaitEstimator.record = record_and_keep
    flooded = await Phase(chance, seconds, list(TEAMS), SECTION).play()
    WaitEstimator.record = record
    without = await Phase(chance, seconds, list(TEAMS), None).play()
    scored_waits = [r for r in recorded if r[2] >= MIN_SCORED_WAIT]
    errors = {
        f"{name}p{share}": percentile([abs(r[column] - r[2]) / r[2] for r in scored_waits], share)
        for name, column in (("", 1), ("naive_", 3))
        for share in (50, 90, 99)
    }
    fair_queue = flooded.server.batch_tasks.gate.fair_queue
    shares = {
        "alone": alone.in_time(VICTIM),
        "with_budgets": flooded.in_time(VICTIM),
        "without_budgets": without.in_time(VICTIM),
    }
    broken = []
    if shares["with_budgets"] < shares["alone"] - MAX_DROP_POINTS:
        broken.append("the victim's share in time falls under the flood")
    if errors["p90"] > MAX_ESTIMATE_ERROR:
        broken.append("estimates are not within a fifth for nine in ten")
    for name, phase in (("alone", alone), ("flooded", flooded), ("without", without)):
        if phase.unanswered or phase.answers["2+"]:
            broken.append(f"{name}: one final answer")
        broken += [f"{name}: {n}" for n in phase.server.metrics.counts if n.startswith("broken")]
        broken += [f"{name}: {event}" for event, _ in phase.failures]
    if not fair_queue.is_conserved() or fair_queue.batches:
        broken.append("something is still held")
    figures = {
        "seconds": seconds,
        "in_time": {name: round(share, 1) for name, share in shares.items()},
        "estimate_errors": errors,
        "waits_judged": len(scored_waits),
        "starved": flooded.unanswered,
        "answers": {
            "0": alone.unanswered + flooded.unanswered + without.unanswered,
            "1": sum(phase.answers["1"] for phase in (alone, flooded, without)),
            "2+": sum(phase.answers["2+"] for phase in (alone, flooded, without)),
        },
        "ends_with": {name: dict(ends) for name, ends in flooded.ends.items()},
        "ends_without": {name: dict(ends) for name, ends in without.ends.items()},
        "counts": fair_queue.counts,
        "thrown_away_core_s": round(fair_queue.wasted_work, 3),
    }
    if plot:
        draw_plot(Path(plot), seed, flooded, recorded)
    return broken, figures


def percentile(values, share):
    """Return the percentile `share` of the values, 0.0 if there are none."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) * share // 100, len(ordered) - 1)], 3) if ordered else 0.0


def draw_plot(folder, seed, phase, recorded):
    """Plot threads by team over time, and estimated waits against actual ones."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(13, 5))
    times = [at for at, _ in phase.shares]
    left.stackplot(
        times, [[threads.get(name, 0) for _, threads in phase.shares] for name in TEAMS], labels=list(TEAMS)
    )
    left.set(xlabel="seconds", ylabel="threads out", title="Threads by team (stand-in engines)")
    left.legend(loc="lower right")
    for name in TEAMS:
        points = [
            (actual, estimated)
            for team, estimated, actual, _ in recorded
            if team == name and actual >= MIN_SCORED_WAIT
        ]
        if points:
            right.scatter(*zip(*points, strict=True), s=4, label=name)
    most = max((actual for _, _, actual, _ in recorded), default=1.0)
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
    report_and_exit("budgets", seed, broken, figures)


if __name__ == "__main__":
    main()
