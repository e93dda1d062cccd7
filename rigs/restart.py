"""Starts a front from an engine list of some age, part of whose engines are dead, while discovery is
unavailable for some time; each start is compared with the same start without the state kept on disk.

`python -m rigs.restart --seed 1` runs a few cells; `--full` runs lists that are 1 s to a day old, with none
to all of the engines dead, and discovery unavailable for 0, 3 and 30 s.
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

from rigs.results import Chance, report_and_exit
from thistlelever.ledger import records
from thistlelever.ledger.file import LedgerFile
from thistlelever.ledger.records import ListedEngine, Timestamp
from thistlelever.standins.directory import Directory
from thistlelever.standins.http_engine import Engine
from thistlelever.standins.configuration import GROUP, SETTINGS, configuration

ROOT = Path(__file__).parents[1]
ENGINES, SUBMIT_INTERVAL_S, WAIT_LIMIT_S, OBJECTIVE_S, QUERY_S = 10, 0.02, 1.5, 0.6, 0.02
AGES_S = {"1 s": 1, "1 min": 60, "10 min": 600, "1 h": 3_600, "1 day": 86_400}
DEAD_SHARES, OUTAGES_S = (0.0, 0.3, 0.9, 1.0), (0.0, 3.0, 30.0)
# Seconds after the directory's first answer within which a dispatch may still go to an engine that is not on
# its list.
LIST_GRACE_S = 0.25 + 0.1
WINDOW_S, STEADY_SHARE = 0.25, 0.9


def settings():
    """Return the site's settings with this rig's time limit, objective and two query classes."""
    changed = json.loads(json.dumps(SETTINGS))
    limit = {"Deadline": int(WAIT_LIMIT_S * 1e6), "Slo": int(OBJECTIVE_S * 1e6), "AimStretch": 0.0}
    changed["Classes"] = [GROUP | limit, GROUP | limit | {"Name": "load", "Idempotency": "by_key"}]
    changed["FamilyInfo"] |= {
        "HoldsTables": [False, True],
        "WidthByClass": [1, 1],
        "KindCores": [16],
        "YieldsToLoads": [False, False],
    }
    return changed


class SilentServer:
    """A dead engine whose address still accepts connections, but answers nothing."""

    def __init__(self):
        self.posts = []

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Read a connection to its end and record when a POST arrives."""
        with suppress(ConnectionError):
            while data := await reader.read(65_536):
                if b"POST " in data:
                    self.posts.append(asyncio.get_running_loop().time())
        writer.close()

    async def stop(self):
        """Stop listening."""
        self.server.close()


class Cell:
    """One start: the list is `age` seconds old, a share `dead` of its engines is dead, and discovery is
    unavailable for `away` seconds. With `kept` the front has its state on disk."""

    def __init__(self, chance, age, dead, away, kept):
        self.chance, self.age, self.dead, self.away, self.kept = chance, age, dead, away, kept
        self.requests, self.changed, self.lines = [], asyncio.Event(), []

    async def play(self):
        """Run the start with its clients and return its figures."""
        loop = asyncio.get_running_loop()
        dead_count = round(ENGINES * self.dead)
        living, dead = (
            [Engine(self.changed) for _ in range(ENGINES)],
            [SilentServer() for _ in range(dead_count)],
        )
        for server in (*living, *dead):
            await server.start()
        for engine in living:
            engine.run_statement = lambda txn, statement: asyncio.sleep(QUERY_S)
        # The list names the dead engines first; the same number of new engines has replaced them since.
        known = {f"old-{n}": server.port for n, server in enumerate(dead)}
        known |= {f"e-{n}": living[n].port for n in range(dead_count, ENGINES)}
        # Every other dead engine refuses connections: nothing listens there any more.
        for server in dead[::2]:
            await server.stop()
        _, directory = await loop.create_datagram_endpoint(
            lambda: Directory(self.changed), local_addr=("127.0.0.1", 0)
        )
        # Above the serial in the configuration and far below the one that an earlier process stored: the
        # directory may have restarted its serials.
        directory.serial = 9
        directory.entries = {f"e-{n}": (engine.port, False) for n, engine in enumerate(living)}
        if self.away:
            answers, directory.datagram_received = directory.datagram_received, lambda data, address: None
            loop.call_later(self.away, lambda: setattr(directory, "datagram_received", answers))
        with tempfile.TemporaryDirectory() as folder:
            process = await self.start(Path(folder), known, directory.port)
            try:
                await self.run_clients()
                figures = self.figures(directory, dead)
                process.send_signal(signal.SIGTERM)
                with suppress(TimeoutError):
                    await asyncio.wait_for(process.wait(), 6)
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
                self.reading.cancel()
                directory.transport.close()
                for server in (*living, *dead):
                    await server.stop()
        return figures

    async def start(self, folder, known, port):
        """Write the configuration and the kept state, start the front and wait until it is ready."""
        config, operator = folder / "config.json", folder / "operator.json"
        entries = [(name, f"127.0.0.1:{at}") for name, at in known.items()]
        contents = configuration(entries, f"127.0.0.1:{port}", settings())
        config.write_text(json.dumps(contents))
        written_at = time.time() - self.age
        os.utime(config, (written_at, written_at))
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
                                Timestamp(written_at, 0.0, ""),
                            )
                        ),
                    )
                    for name, at in known.items()
                ]
            )
            file.close()
            sections = {"state": {"path": path}}
        operator.write_text(json.dumps(sections))
        self.started_at = asyncio.get_running_loop().time()
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
        """Record the front's log; the ready line gives the port and the time."""
        while line := await process.stdout.readline():
            entry = json.loads(line)
            self.lines.append(entry)
            if entry["event"] == "ready":
                self.port = entry["listen"][1]
                self.ready_at = asyncio.get_running_loop().time()
                self.ready.set()

    async def run_clients(self):
        """Submit a batch every SUBMIT_INTERVAL_S once the front is ready, over a few connections."""
        loop = asyncio.get_running_loop()
        pairs = [await asyncio.open_connection("127.0.0.1", self.port) for _ in range(8)]
        waiting = {}

        async def read_answers(reader):
            while line := await reader.readline():
                answer = json.loads(line)
                request = waiting.pop(answer["id"])
                request["took"], request["answers"] = loop.time() - request["at"], request["answers"] + 1
                request["outcome"] = "returned" if "result" in answer else str(answer["error"]["code"])

        readers = [loop.create_task(read_answers(reader)) for reader, _ in pairs]
        body, deadline = b64encode(b"select a from sales_17.orders").decode(), self.ready_at + self.away + 2.5
        for number in count(1):
            if loop.time() >= deadline:
                break
            request = {"at": loop.time(), "took": None, "outcome": "", "answers": 0}
            waiting[number] = request
            self.requests.append(request)
            params = {
                "id": f"{number:016x}",
                "wait": WAIT_LIMIT_S * 1e3,
                "tenant": "acme",
                "cost": QUERY_S * 1e3,
                "need_mb": 1,
                "bytes": body,
            }
            message = {"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}
            pairs[number % len(pairs)][1].write(json.dumps(message).encode() + b"\n")
            await asyncio.sleep(SUBMIT_INTERVAL_S)
        await asyncio.sleep(WAIT_LIMIT_S + 0.1)
        for task, (_, writer) in zip(readers, pairs, strict=True):
            task.cancel()
            writer.close()

    def figures(self, directory, dead):
        """Return the figures of this start; `steady_s` is the time from which on all windows are good."""
        in_time = [r["outcome"] == "returned" and r["took"] <= OBJECTIVE_S for r in self.requests]
        per_window = max(int(WINDOW_S / SUBMIT_INTERVAL_S), 1)
        shares = [
            sum(in_time[n : n + per_window]) / len(in_time[n : n + per_window])
            for n in range(0, len(in_time), per_window)
        ]
        steady = next(
            (n for n in range(len(shares)) if all(s >= STEADY_SHARE for s in shares[n:])), len(shares)
        )
        list_in_force = min(directory.first_sent.values(), default=float("inf")) + LIST_GRACE_S
        faults = [line["event"] for line in self.lines if "failed" in line["event"]]
        return {
            "answerless": sum(request["answers"] != 1 for request in self.requests),
            "to_gone": sum(at > list_in_force for server in dead for at in server.posts),
            "in_time": round(sum(in_time) / len(in_time), 4),
            "batches": len(in_time),
            "ready_s": round(self.ready_at - self.started_at, 3),
            "steady_s": round(steady * WINDOW_S, 2),
            "faults": faults,
        }


async def run_pair(chance, conditions, slots):
    """Run the same cell with the state on disk and then without it."""
    age, dead, away = conditions
    async with slots:
        kept = await Cell(chance, AGES_S[age], dead, away, True).play()
        today = await Cell(chance, AGES_S[age], dead, away, False).play()
    return conditions, kept, today


async def run_cells(chance, cells):
    """Run all cells, three at a time."""
    slots = asyncio.Semaphore(3)
    return await asyncio.gather(*(run_pair(chance, conditions, slots) for conditions in cells))


def broken_rules(conditions, kept, today):
    """Return the texts of the rules that a cell broke."""
    age, dead, away = conditions
    found = []
    for name, figures in (("kept", kept), ("today", today)):
        found += [f"1: {figures['answerless']} without one answer ({name})"] * bool(figures["answerless"])
        found += [f"fronts failed: {figures['faults']}"] * bool(figures["faults"])
    if kept["to_gone"]:
        found.append("3: something new to who is gone")
    if kept["in_time"] < today["in_time"] - 0.02:
        found.append(f"fewer in time than today: {kept['in_time']} of {today['in_time']}")
    return [f"{age}, {dead:.0%} dead, away {away:g} s: {rule}" for rule in found]


@click.command()
@click.option("--seed", default=1)
@click.option("--full", is_flag=True)
def main(seed, full):
    cells = (
        list(product(AGES_S, DEAD_SHARES, OUTAGES_S))
        if full
        else list(product(("1 s", "1 h"), (0.3, 0.9), (0.0, 2.0)))
    )
    broken, rows = [], asyncio.run(run_cells(Chance(seed), cells))
    for conditions, kept, today in rows:
        broken += broken_rules(conditions, kept, today)
        cell = dict(zip(("age", "dead", "away_s"), conditions, strict=True))
        print(json.dumps(cell | {"kept": kept, "today": today}))
    old = [(k, t) for (age, dead, _), k, t in rows if AGES_S[age] > 30 and dead]
    report_and_exit(
        "restart",
        seed,
        broken,
        {
            "cells": len(rows),
            "answerless": sum(k["answerless"] for _, k, _ in rows),
            "to_gone": sum(k["to_gone"] for _, k, _ in rows),
            "in_time_old": [
                round(sum(x["in_time"] for x in variant) / len(variant), 4)
                for variant in zip(*old, strict=True)
            ],
            "steady_s_old": [
                round(sum(x["steady_s"] for x in variant) / len(variant), 3)
                for variant in zip(*old, strict=True)
            ],
        },
    )


if __name__ == "__main__":
    main()
