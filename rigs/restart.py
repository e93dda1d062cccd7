"""One front started by a list of some age, part of whose engines are dead, with discovery away for a while;
beside it in the same run the same start without what is kept on disk.

`python -m rigs.restart --seed 1` plays a few cells; `--full` lists of 1 s to a day, none to all of them
dead, discovery away for 0, 3 and 30 s.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from base64 import b64encode
from contextlib import suppress
from itertools import count, product
from pathlib import Path

import click

from rigs.verdict import Chance, close
from thistlelever.ledger import records
from thistlelever.ledger.file import LedgerFile
from thistlelever.ledger.records import ListedEngine, Timestamp
from thistlelever.standins.directory import Directory
from thistlelever.standins.http_engine import Engine
from thistlelever.standins.configuration import GROUP, SETTINGS, configuration

ROOT = Path(__file__).parents[1]
ENGINES, EVERY, WAIT, GOAL, WORK = 10, 0.02, 1.5, 0.6, 0.02
AGES = {"1 s": 1, "1 min": 60, "10 min": 600, "1 h": 3_600, "1 day": 86_400}
DEAD, AWAY = (0.0, 0.3, 0.9, 1.0), (0.0, 3.0, 30.0)
# After the directory's first answer nothing new goes to who is not on it, but for this.
GRACE = 0.25 + 0.1
WINDOW, NINE = 0.25, 0.9


def settings():
    told = json.loads(json.dumps(SETTINGS))
    limit = {"Deadline": int(WAIT * 1e6), "Slo": int(GOAL * 1e6), "AimStretch": 0.0}
    told["Classes"] = [GROUP | limit, GROUP | limit | {"Name": "load", "Idempotency": "by_key"}]
    told["FamilyInfo"] |= {
        "HoldsTables": [False, True],
        "WidthByClass": [1, 1],
        "KindCores": [16],
        "YieldsToLoads": [False, False],
    }
    return told


class Silent:
    """What is left of an engine behind an address that still takes connections, and answers nothing."""

    def __init__(self):
        self.posts = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        with suppress(ConnectionError):
            while data := await reader.read(65_536):
                if b"POST " in data:
                    self.posts.append(asyncio.get_running_loop().time())
        writer.close()

    async def stop(self):
        self.server.close()


class Cell:
    """One start: of so old a list, so many of its engines dead, discovery away for so long."""

    def __init__(self, chance, age, dead, away, kept):
        self.chance, self.age, self.dead, self.away, self.kept = chance, age, dead, away, kept
        self.asked, self.stir, self.lines = [], asyncio.Event(), []

    async def play(self):
        """The figures of this start."""
        loop = asyncio.get_running_loop()
        gone = round(ENGINES * self.dead)
        living, dead = [Engine(self.stir) for _ in range(ENGINES)], [Silent() for _ in range(gone)]
        for one in (*living, *dead):
            await one.start()
        for engine in living:
            engine.run_statement = lambda txn, statement: asyncio.sleep(WORK)
        # Of those that the list names the dead come first; as many others have taken their place since.
        known = {f"old-{n}": one.port for n, one in enumerate(dead)}
        known |= {f"e-{n}": living[n].port for n in range(gone, ENGINES)}
        # Every other dead one refuses: nothing listens there any more.
        for one in dead[::2]:
            await one.stop()
        _, directory = await loop.create_datagram_endpoint(
            lambda: Directory(self.stir), local_addr=("127.0.0.1", 0)
        )
        # Past what the configuration knows, and far behind what a former life wrote down: it may have gone
        # back.
        directory.serial = 9
        directory.entries = {f"e-{n}": (engine.port, False) for n, engine in enumerate(living)}
        if self.away:
            answers, directory.datagram_received = directory.datagram_received, lambda data, address: None
            loop.call_later(self.away, lambda: setattr(directory, "datagram_received", answers))
        with tempfile.TemporaryDirectory() as folder:
            process = await self.start(Path(folder), known, directory.port)
            try:
                await self.clients()
                figures = self.judged(directory, dead)
                process.send_signal(signal.SIGTERM)
                with suppress(TimeoutError):
                    await asyncio.wait_for(process.wait(), 6)
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
                self.reading.cancel()
                directory.transport.close()
                for one in (*living, *dead):
                    await one.stop()
        return figures

    async def start(self, folder, known, port):
        config, operator = folder / "config.json", folder / "operator.json"
        entries = [(name, f"127.0.0.1:{at}") for name, at in known.items()]
        told = configuration(entries, f"127.0.0.1:{port}", settings())
        config.write_text(json.dumps(told))
        then = time.time() - self.age
        os.utime(config, (then, then))
        sections = {}
        if self.kept:
            path = str(folder / "state.db")
            file = LedgerFile(path)
            file.write(
                [
                    (
                        "listed",
                        name.encode(),
                        records.pack(
                            ListedEngine(
                                name.encode(),
                                "127.0.0.1",
                                at,
                                0,
                                1,
                                0,
                                1,
                                0.0,
                                4.0,
                                900,
                                Timestamp(then, 0.0, ""),
                            )
                        ),
                    )
                    for name, at in known.items()
                ]
            )
            file.close()
            sections = {"state": {"path": path}}
        operator.write_text(json.dumps(sections))
        self.begun = asyncio.get_running_loop().time()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "thistlelever",
            "serve",
            "--operator",
            str(operator),
            cwd=ROOT,
            env=os.environ | {"BALANCER_CONFIG": str(config)},
            stdout=asyncio.subprocess.PIPE,
            limit=2**20,
        )
        self.ready = asyncio.Event()
        self.reading = asyncio.create_task(self.read(process))
        async with asyncio.timeout(20):
            await self.ready.wait()
        return process

    async def read(self, process):
        while line := await process.stdout.readline():
            told = json.loads(line)
            self.lines.append(told)
            if told["event"] == "ready":
                self.port = told["listen"][1]
                self.ready_at = asyncio.get_running_loop().time()
                self.ready.set()

    async def clients(self):
        """A batch every so often from the moment that it is ready, over a few connections."""
        loop = asyncio.get_running_loop()
        pairs = [await asyncio.open_connection("127.0.0.1", self.port) for _ in range(8)]
        waiting = {}

        async def hear(reader):
            while line := await reader.readline():
                told = json.loads(line)
                one = waiting.pop(told["id"])
                one["took"], one["answers"] = loop.time() - one["at"], one["answers"] + 1
                one["what"] = "returned" if "result" in told else str(told["error"]["code"])

        hearing = [loop.create_task(hear(reader)) for reader, _ in pairs]
        body, till = b64encode(b"select a from sales_17.orders").decode(), self.ready_at + self.away + 2.5
        for number in count(1):
            if loop.time() >= till:
                break
            one = waiting[number] = {"at": loop.time(), "took": None, "what": "", "answers": 0}
            self.asked.append(one)
            params = {
                "id": f"{number:016x}",
                "wait": WAIT * 1e3,
                "tenant": "acme",
                "cost": WORK * 1e3,
                "need_mb": 1,
                "bytes": body,
            }
            call = {"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}
            pairs[number % len(pairs)][1].write(json.dumps(call).encode() + b"\n")
            await asyncio.sleep(EVERY)
        await asyncio.sleep(WAIT + 0.1)
        for task, (_, writer) in zip(hearing, pairs, strict=True):
            task.cancel()
            writer.close()

    def judged(self, directory, dead):
        good = [one["what"] == "returned" and one["took"] <= GOAL for one in self.asked]
        many = max(int(WINDOW / EVERY), 1)
        shares = [sum(good[n : n + many]) / len(good[n : n + many]) for n in range(0, len(good), many)]
        steady = next((n for n in range(len(shares)) if all(s >= NINE for s in shares[n:])), len(shares))
        told = min(directory.first_sent.values(), default=float("inf")) + GRACE
        faults = [line["event"] for line in self.lines if "failed" in line["event"]]
        return {
            "answerless": sum(one["answers"] != 1 for one in self.asked),
            "to_gone": sum(at > told for one in dead for at in one.posts),
            "in_time": round(sum(good) / len(good), 4),
            "batches": len(good),
            "ready_s": round(self.ready_at - self.begun, 3),
            "steady_s": round(steady * WINDOW, 2),
            "faults": faults,
        }


async def both(chance, where, some):
    """The same cell with what is kept and as a front starts today, one after the other."""
    age, dead, away = where
    async with some:
        kept = await Cell(chance, AGES[age], dead, away, True).play()
        today = await Cell(chance, AGES[age], dead, away, False).play()
    return where, kept, today


async def played(chance, cells):
    some = asyncio.Semaphore(3)
    return await asyncio.gather(*(both(chance, where, some) for where in cells))


def wrong(where, kept, today):
    age, dead, away = where
    found = []
    for name, said in (("kept", kept), ("today", today)):
        found += [f"1: {said['answerless']} without one answer ({name})"] * bool(said["answerless"])
        found += [f"fronts failed: {said['faults']}"] * bool(said["faults"])
    if kept["to_gone"]:
        found.append("3: something new to who is gone")
    if kept["in_time"] < today["in_time"] - 0.02:
        found.append(f"fewer in time than today: {kept['in_time']} of {today['in_time']}")
    return [f"{age}, {dead:.0%} dead, away {away:g} s: {one}" for one in found]


@click.command()
@click.option("--seed", default=1)
@click.option("--full", is_flag=True)
def main(seed, full):
    cells = list(product(AGES, DEAD, AWAY)) if full else list(product(("1 s", "1 h"), (0.3, 0.9), (0.0, 2.0)))
    broken, rows = [], asyncio.run(played(Chance(seed), cells))
    for where, kept, today in rows:
        broken += wrong(where, kept, today)
        cell = dict(zip(("age", "dead", "away_s"), where, strict=True))
        print(json.dumps(cell | {"kept": kept, "today": today}))
    old = [(k, t) for (age, dead, _), k, t in rows if AGES[age] > 30 and dead]
    close(
        "restart",
        seed,
        broken,
        {
            "cells": len(rows),
            "answerless": sum(k["answerless"] for _, k, _ in rows),
            "to_gone": sum(k["to_gone"] for _, k, _ in rows),
            "in_time_old": [
                round(sum(x["in_time"] for x in side) / len(side), 4) for side in zip(*old, strict=True)
            ],
            "steady_s_old": [
                round(sum(x["steady_s"] for x in side) / len(side), 3) for side in zip(*old, strict=True)
            ],
        },
    )


if __name__ == "__main__":
    main()
