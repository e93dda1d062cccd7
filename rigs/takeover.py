"""Work in hand and the loss of its front: fronts killed with batches out, stopped and woken, cut one way,
ended by SIGTERM, killed together with an engine, while clients come back to other fronts with their marks.
Books of clients, engines and fronts, by mark.

`python -m rigs.takeover --seed 1` plays five processes in at most 25 s; `--full` twenty with more traffic,
and the same beside it without takeover. `--sabotage NAME` takes one guard out of all fronts.
"""

import asyncio
import json
import os
import signal
from base64 import b64decode, b64encode
from collections import Counter, defaultdict
from contextlib import suppress
from itertools import count
from pathlib import Path
from time import time

import click

from rigs.fleet import Fleet
from rigs.sabotaged import WORK_GUARDS
from rigs.verdict import Chance, close
from thistlelever.standins.papers import GROUP, SETTINGS
from thistlelever.wire.flight import columns

# A try without an answer for so long is followed by another at another front, and is left open.
PATIENCE, LIMIT, GOAL = 0.9, 1.6, 3.0
# After this a client takes what it has heard for the end.
GIVES_UP, MOST_TRIES = 6.0, 12
# Groups, how often each comes, and how long a batch of it runs, in seconds.
GROUPS = ((6, "lookup", 0.02, 0.15), (3, "load", 0.2, 0.7), (3, "pay", 0.3, 0.8))
DROPS_AFTER = 2.0
# A place is too young to know all for the longest time limit and so long after its start.
KEEP = 0.5
GROWN = 2 * LIMIT + KEEP


def settings():
    told = json.loads(json.dumps(SETTINGS))
    limit = {"Deadline": int(LIMIT * 1e6), "Slo": 2_500_000}
    told["Classes"] = [
        GROUP | limit,
        GROUP | limit | {"Name": "load", "Idempotency": "by_key", "Value": 0.6},
        GROUP | limit | {"Name": "pay", "Idempotency": "once", "Value": 1.0},
    ]
    told["FamilyInfo"] |= {"HoldsTables": [False, False, False], "WidthByClass": [1, 1, 1], "KindCores": [64]}
    return told


class Run:
    """One start of a statement at an engine."""

    __slots__ = ("mark", "txn", "engine", "number", "began", "ended", "repeat")

    def __init__(self, mark, txn, engine, number, began, repeat):
        self.mark, self.txn, self.engine, self.number = mark, txn, engine, number
        self.began, self.ended, self.repeat = began, None, repeat


class Machines:
    """What all engines run, by the marks that statements carry: starts, effects, how many are out at once."""

    def __init__(self, fleet):
        self.fleet, self.runs, self.of_txn = fleet, defaultdict(list), {}
        self.out, self.most_out, self.to_draining = Counter(), Counter(), 0
        self.draining, self.ended = {}, defaultdict(asyncio.Event)
        for name, engine in fleet.engines.items():
            engine.drops_after = DROPS_AFTER
            engine.result = self.columns if name in fleet.flight else self.result
            engine.works = lambda txn, statement, name=name: self.work(name, txn, statement)

    def words(self, statement):
        _, group, mark, seconds, *_ = statement.decode().split()
        return group, mark, float(seconds)

    async def work(self, name, txn, statement):
        group, mark, seconds = self.words(statement)
        now = asyncio.get_running_loop().time()
        if now > self.draining.get(name, float("inf")):
            self.to_draining += 1
        # Engines drop the repeats of a mark that they have seen, and answer as the first did.
        repeat = group == "load" and bool(self.runs[mark])
        run = Run(mark, txn, name, sum(not r.repeat for r in self.runs[mark]), now, repeat)
        self.runs[mark].append(run)
        self.of_txn[txn] = run
        self.out[mark] += 1
        self.most_out[mark] = max(self.most_out[mark], self.out[mark])
        try:
            if repeat and not self.ended[mark].is_set():
                await self.ended[mark].wait()
            elif not repeat:
                await asyncio.sleep(seconds)
            run.ended = asyncio.get_running_loop().time()
        finally:
            self.out[mark] -= 1
            if not repeat:
                self.ended[mark].set()

    def result(self, statement):
        """Which run it is of: two that differ were two runs."""
        group, mark, _ = self.words(statement)
        number = 1 if group == "load" else sum(not r.repeat for r in self.runs[mark])
        # Of several pages, so that a front can be lost between two.
        return f"{mark}\t{number}\t\n" + f"{'x' * 60}\t\t\n" * 400

    def columns(self, statement):
        return columns.of_rows([self.result(statement).encode()])

    async def sweeping(self):
        while True:
            await asyncio.sleep(0.1)
            for engine in self.fleet.engines.values():
                engine.sweep()


class Try:
    """One submission."""

    __slots__ = ("txn", "front", "life", "at", "answers", "what", "result", "answered_at", "closed")

    def __init__(self, txn, front, at):
        self.txn, self.front, self.life, self.at = txn, front, front.lives, at
        self.answers, self.what, self.result, self.answered_at, self.closed = 0, "", None, None, False


class Request:
    """One logical request: all that its client submits under one mark."""

    def __init__(self, group, mark, seconds, at):
        self.group, self.mark, self.seconds, self.at, self.tries = group, mark, seconds, at, []
        self.over_at, self.outcome = None, ""

    def results(self):
        return {t.result for t in self.tries if t.what == "returned"}


class Clients:
    """Submit to a front at a pace, and come back to another with the same mark where there is no answer."""

    def __init__(self, fleet, chance, every):
        self.fleet, self.chance, self.every = fleet, chance, every
        self.requests, self.numbers, self.marks = [], count(1), count(1)
        self.tasks, self.connections = set(), set()
        self.pacing = [asyncio.create_task(self.pace(front)) for front in fleet.fronts]

    async def pace(self, front):
        for number in count():
            await asyncio.sleep(self.every * (0.5 + self.chance.share("pace", front.place, number)))
            self.aside(self.request(front, number))

    def aside(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop(self):
        for task in self.pacing:
            task.cancel()

    async def request(self, home, number):
        where = home.place, number
        _, group, low, high = self.chance.among([(g[0], g) for g in GROUPS], "group", *where)
        seconds = low + (high - low) * self.chance.share("seconds", *where)
        loop = asyncio.get_running_loop()
        mark = f"{next(self.marks):032x}"
        asked = Request(group, mark, seconds, loop.time())
        self.requests.append(asked)
        front, after, heard = home, 0.0, []
        while len(asked.tries) < MOST_TRIES and loop.time() < asked.at + GIVES_UP:
            one = Try(f"{next(self.numbers):016x}", front, loop.time())
            asked.tries.append(one)
            heard.append(self.aside(self.submit(asked, one, len(asked.tries) > 1)))
            await asyncio.wait(heard, timeout=PATIENCE, return_when=asyncio.FIRST_COMPLETED)
            heard = [task for task in heard if not task.done()]
            if self.settled(asked):
                break
            last = next((t for t in reversed(asked.tries) if t.what or t.closed), None)
            after = 0.05 if last is one or last is None else 0.0
            await asyncio.sleep(after)
            others = [f for f in self.fleet.fronts if f is not front]
            front = others[self.chance.below(len(others), "next", *where, len(asked.tries))]
        # What is still open may bring the outcome.
        while heard and not self.settled(asked) and loop.time() < asked.at + GIVES_UP:
            await asyncio.wait(heard, timeout=0.5, return_when=asyncio.FIRST_COMPLETED)
            heard = [task for task in heard if not task.done()]
        asked.over_at = asked.over_at or loop.time()
        asked.outcome = (
            "returned"
            if asked.results()
            else "errored"
            if any(t.what == "errored" for t in asked.tries)
            else "pushed back"
            if any(t.what for t in asked.tries)
            else "unheard"
        )

    def owed(self):
        """Whether a try may still be answered."""
        now = asyncio.get_running_loop().time()
        return any(
            not t.answers and not t.closed and now < t.at + LIMIT + 0.3
            for a in self.requests[-800:]
            for t in a.tries
        )

    def settled(self, asked):
        if asked.results():
            return True
        # An honest 'not known' of what may not run twice is an outcome once it was heard more than once.
        return asked.group != "lookup" and sum(t.what == "errored" for t in asked.tries) >= 3

    async def submit(self, asked, one, again):
        loop = asyncio.get_running_loop()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", one.front.port)
        except OSError:
            one.closed = True
            return
        self.connections.add(writer)
        text = f"/*{asked.mark}*/ {asked.group} {asked.mark} {asked.seconds:.3f} sales_17.orders"
        params = {
            "id": one.txn,
            "wait": LIMIT * 1e3,
            "tenant": "acme",
            "need_mb": 4,
            "cost": asked.seconds * 1e3,
            "bytes": b64encode(text.encode()).decode(),
        }
        # A look-up carries no mark: nobody can come back for it.
        params |= {"once": asked.mark} if asked.group != "lookup" else {}
        params |= {"retry": "1"} if again else {}
        call = {"jsonrpc": "2.0", "id": 1, "method": asked.group, "params": params}
        try:
            writer.write(json.dumps(call).encode() + b"\n")
            while line := await reader.readline():
                if not line.endswith(b"\n"):
                    break
                told = json.loads(line)
                one.answers += 1
                if one.answers > 1:
                    continue
                one.answered_at = loop.time()
                if "result" in told:
                    rows = b64decode(told["result"]["bytes"]).split(b"\n", 1)[0]
                    one.what, one.result = "returned", rows.decode()
                    asked.over_at = asked.over_at or loop.time()
                else:
                    one.what = "pushed back" if told["error"]["code"] == -32001 else "errored"
                # A second answer would still be seen for a while.
                asyncio.get_running_loop().call_later(1.0, writer.close)
                self.aside(self.listen(reader, one))
                return
        except (ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        one.closed = True
        writer.close()

    async def listen(self, reader, one):
        with suppress(ConnectionError, ValueError):
            while line := await reader.readline():
                one.answers += line.endswith(b"\n")


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
        engine.book.dies()
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


def judged(fleet, play, machines, clients):
    """The books against each other: figures, and what is broken."""
    broken, answers, logical = list(play.broken), Counter(), Counter()
    wrongly, twice, most = 0, 0, 0
    lives = {(front, front.lives) for front in fleet.fronts if front.lives_on}
    for asked in clients.requests:
        if asked.over_at is None:
            continue
        for one in asked.tries:
            if one.answers > 1 or (one.answers == 0 and (one.front, one.life) in lives and not one.closed):
                answers["2+" if one.answers > 1 else "0"] += 1
        logical[asked.outcome] += 1
        if asked.group == "lookup":
            continue
        runs = [run for run in machines.runs[asked.mark] if not run.repeat]
        if asked.group == "pay":
            twice += len(runs) > 1
            most = max(most, machines.most_out[asked.mark])
            wrongly += sum(t.what == "pushed back" and t.txn in machines.of_txn for t in asked.tries)
        if len(asked.results()) > 1:
            broken.append(f"one outcome: {sorted(asked.results())}")
    events = Counter(line["event"] for front in fleet.fronts for line in front.lines)
    heirs = owners_at_once(fleet)
    if answers["2+"] or answers["0"]:
        broken.append(f"1: one final answer {dict(answers)}")
    if logical["unheard"]:
        broken.append("1: requests without an answer")
    if twice:
        broken.append("2: no effect twice")
    if most > 1:
        broken.append("2: one dispatch out at a time")
    if wrongly:
        broken.append("2: told harmless, yet it ran")
    if heirs > 1:
        broken.append("two fronts own one batch")
    if failed := {event: n for event, n in events.items() if event.endswith("failed")}:
        broken.append(f"fronts failed: {failed}")
    return broken, {
        "requests": len(clients.requests),
        "outcomes": dict(logical),
        "answers": {"0": answers["0"], "2+": answers["2+"]},
        "effects_twice": twice,
        "most_out_at_once": most,
        "owners_at_once": heirs,
        "wrongly_harmless": wrongly,
        "taken_over": events["work taken over"],
        "adopted": events["work adopted"],
        "handed_back": events["work handed back"],
        "handed_over": events["work handed over"],
        "lost": events["work lost"],
        "let_go": events["work let go"],
        "called_off": events["work called off"],
        **served(play, machines, clients),
    }


def owners_at_once(fleet):
    """Of each key the most living fronts that held it as heirs at once, by their own logs."""
    lines = sorted(
        (line["at"], front.name, line["event"], line.get("key"))
        for front in fleet.fronts
        for line in front.lines
        if line.get("key")
    )
    heirs, most = {}, 0
    for at, name, event, key in lines:
        if event == "work taken over":
            before = heirs.get(key)
            again = before and before[0] != name and at - before[1] < 0.3
            most = max(most, 2 if again else 1)
            heirs[key] = name, at
    return max(most, 1)


def served(play, machines, clients):
    """What became of requests whose front was killed, and what engines did for nobody."""
    shares, after, beyond = defaultdict(list), [], []
    for asked in clients.requests:
        hit = [
            (at, t)
            for at, front, life in play.kills
            for t in asked.tries
            if t.front is front and t.life == life and t.at <= at and (t.answered_at or 1e18) > at
        ]
        hit = [(at, t) for at, t in hit if asked.over_at is not None and asked.over_at > at]
        if not hit:
            continue
        at, _ = hit[0]
        good = asked.outcome == "returned"
        shares[asked.group].append(good and asked.over_at - asked.at <= GOAL)
        if good:
            after.append(asked.over_at - at)
            ends = [r.ended for r in machines.runs[asked.mark] if r.ended]
            came = [t.at for t in asked.tries if t.at > at]
            if ends and came:
                beyond.append(max(asked.over_at - max(ends[0], came[0]), 0.0))
    now = asyncio.get_running_loop().time()
    got = {run.txn for a in clients.requests if a.outcome == "returned" for run in machines.runs[a.mark][-1:]}
    wasted = sum(
        (run.ended or min(now, run.began + DROPS_AFTER)) - run.began
        for runs in machines.runs.values()
        for run in runs
        if run.txn not in got
    )
    spent = sum((run.ended or now) - run.began for runs in machines.runs.values() for run in runs)
    done = [a for a in clients.requests if a.over_at is not None]
    in_time = sum(a.outcome == "returned" and a.over_at - a.at <= GOAL for a in done) / max(len(done), 1)
    return {
        "in_time": round(in_time, 4),
        "in_time_after_a_kill": {g: round(sum(v) / len(v), 3) for g, v in sorted(shares.items())},
        "hit_by_a_kill": {g: len(v) for g, v in sorted(shares.items())},
        "death_to_outcome_s": spread(after),
        "beyond_a_perfect_heir_s": spread(beyond),
        "engine_seconds_wasted": round(wasted, 1),
        "engine_seconds": round(spent, 1),
    }


def spread(times):
    times = sorted(times)
    return (
        {
            "p50": round(times[len(times) // 2], 3),
            "p99": round(times[int(len(times) * 0.99)], 3),
            "most": round(times[-1], 3),
        }
        if times
        else {}
    )


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
        async with asyncio.timeout(GIVES_UP + 5):
            while any(a.over_at is None or not a.outcome for a in clients.requests) or clients.owed():
                await asyncio.sleep(0.1)
        broken, figures = judged(fleet, play, machines, clients)
        if plot:
            picture(play, clients, plot, f"takeover-{seed}{'' if takeover else '-without'}")
        sweeping.cancel()
        for task in list(clients.tasks):
            task.cancel()
        figures["seconds"] = round(time() - began, 1)
        counts = Counter()
        for said in await asyncio.gather(*(front.ask("counts") for front in fleet.fronts)):
            counts.update({k: v for k, v in (said or {}).items() if "takeover" in k or k.startswith("work ")})
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
