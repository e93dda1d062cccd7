"""System calls of a front that fail as Linux documents, one after the other.

`python -m rigs.system_calls --seed 1` plays a small run for each number of each call, with the errors taken
in turns; `--share 0.1` a part of them, drawn by the seed; `--all` each number with each error. A run: two
engines, a directory, clients that go on asking on two connections, a configuration read again that moves
discovery, a drain, SIGTERM. The books are the clients', the engines' and the front's exit.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from base64 import b64encode
from collections import Counter, defaultdict
from pathlib import Path

import click

from rigs.verdict import Chance, close
from thistlelever.standins.directory import start_directory
from thistlelever.standins.http_engine import Engine
from thistlelever.standins.configuration import configuration

ROOT = Path(__file__).parents[1]
ERRORS = {
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "bind": ("ENOMEM", "ENOBUFS"),
    "accept": (
        "ECONNABORTED",
        "EMFILE",
        "ENFILE",
        "ENOBUFS",
        "ENOMEM",
        "EPROTO",
        "ENETUNREACH",
        "EHOSTUNREACH",
    ),
    "connect": ("ECONNREFUSED", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EADDRNOTAVAIL", "EPERM"),
    "send": ("EPIPE", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS", "ENOMEM", "EAGAIN", "SHORT"),
    "recv": ("ECONNRESET", "ENOMEM"),
    "recv_into": ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOMEM", "ENOBUFS", "EAGAIN", "SHORT"),
    "recvfrom": ("ECONNREFUSED", "ENOMEM", "EHOSTUNREACH"),
    "setsockopt": ("ENOMEM", "ENOBUFS", "EINVAL"),
    "shutdown": ("ENOTCONN",),
    "close": ("EIO", "EINTR"),
}
# Errors after which the connection that they befall is gone: what is open on it has no answer.
FATAL = frozenset(("EPIPE", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH"))
NOTHING = ("none", "EIO", 0)
READY_WITHIN, WAITS, ENDS_WITHIN, DRAIN_GRACE = 20.0, 1.5, 4.5, 0.3
GROUPS = ("lookup", "load", "pay")
PACE, RUNS = 0.04, 0.03
PLAYS_AT_ONCE = 8


class Client:
    """Submits at a pace on one connection, and opens another where that one ends."""

    def __init__(self, listen, number):
        self.listen, self.number = listen, number
        self.submitted, self.answers, self.cut, self.stopped = [], defaultdict(list), set(), False

    async def run(self):
        sent = 0
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection(*self.listen)
            except OSError:
                await asyncio.sleep(PACE)
                continue
            open_here = set()
            hearing = asyncio.create_task(self.hear(reader, open_here))
            while not self.stopped and not hearing.done():
                sent += 1
                txn, group = f"{self.number:04x}{sent:012x}", GROUPS[sent % len(GROUPS)]
                open_here.add(sent)
                self.submitted.append((sent, txn, group))
                writer.write(self.call(sent, txn, group))
                await asyncio.sleep(PACE)
            await asyncio.wait((hearing,), timeout=WAITS + 0.3 if self.stopped else 0)
            self.cut |= open_here if hearing.done() else set()
            hearing.cancel()
            writer.close()

    def call(self, number, txn, group):
        statement = b64encode(f"select a from sales_{number % 40}.orders where b = '{txn}'".encode()).decode()
        params = {"id": txn, "wait": WAITS * 1e3, "tenant": "acme", "cost": RUNS * 1e3, "need_mb": 4}
        params |= {"bytes": statement} | ({"once": "f" * 16 + txn} if group != "lookup" else {})
        call = {"jsonrpc": "2.0", "id": number, "method": group, "params": params}
        return json.dumps(call).encode() + b"\n"

    async def hear(self, reader, open_here):
        try:
            while (line := await reader.readline()).endswith(b"\n"):
                told = json.loads(line)
                self.answers[told["id"]].append(told)
                open_here.discard(told["id"])
                if self.stopped and not open_here:
                    return
        except ConnectionError:
            pass


class Play:
    """One run of a front under one failing call."""

    def __init__(self, folder, call, error, numbers):
        self.folder, self.call, self.error, self.numbers = Path(folder), call, error, numbers
        self.broken, self.lines, self.counts, self.requests, self.answers = [], [], {}, 0, Counter()
        self.ready_s, self.refused = None, 0

    async def run(self):
        stir = asyncio.Event()
        self.engines = {name: Engine(stir) for name in ("alder", "birch")}
        for engine in self.engines.values():
            engine.duration = lambda txn: RUNS
            await engine.start()
        self.directory, entries = await start_directory(stir, self.engines)
        self.moved, _ = await start_directory(stir, self.engines)
        self.path = self.folder / "front.json"
        self.configured(entries, self.directory)
        process = await self.started()
        reading = asyncio.create_task(self.read(process.stdout))
        try:
            await self.played(process, entries)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            await reading
            for engine in self.engines.values():
                await engine.stop()
            self.directory.transport.close()
            self.moved.transport.close()
        self.judge()
        return self

    def configured(self, entries, directory):
        known = configuration(entries, dns=f"127.0.0.1:{directory.port}")
        known["known"]["pos"] = directory.serial
        self.path.write_text(json.dumps(known))

    async def started(self):
        numbers = "-".join(map(str, self.numbers)) if isinstance(self.numbers, tuple) else self.numbers
        environ = os.environ | {
            "BALANCER_CONFIG": str(self.path),
            "FAILING_CALL": f"{self.call}:{self.error}:{numbers}",
            "CALLS_COUNTED": str(self.folder / "counts.json"),
        }
        return await asyncio.create_subprocess_exec(
            *(sys.executable, "-O", "-m", "rigs.failing_calls", "serve"),
            cwd=ROOT,
            env=environ,
            stdout=asyncio.subprocess.PIPE,
        )

    async def read(self, stdout):
        while line := await stdout.readline():
            self.lines.append(json.loads(line) | {"heard": time.monotonic()})

    def said(self, event):
        return [line for line in self.lines if line["event"] == event]

    async def until(self, holds, within):
        till = time.monotonic() + within
        while not holds():
            if time.monotonic() > till:
                return False
            await asyncio.sleep(0.01)
        return True

    async def played(self, process, entries):
        began = time.monotonic()
        if not await self.until(lambda: self.said("ready") or process.returncode is not None, READY_WITHIN):
            self.broken.append("not ready")
        if not self.said("ready"):
            self.broken.append(f"no start, exit {process.returncode}")
            return
        self.ready_s = time.monotonic() - began
        listen = self.said("ready")[0]["listen"]
        self.clients = [Client(listen, number) for number in (1, 2)]
        running = [asyncio.create_task(client.run()) for client in self.clients]
        await asyncio.sleep(0.3)
        # A new configuration moves discovery; the next drain is told there alone.
        self.moved.serial, self.moved.entries = 9, dict(self.directory.entries)
        self.configured(entries, self.moved)
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.moved.serial = 10
        self.moved.entries = dict(self.moved.entries) | {"birch": (self.engines["birch"].port, True)}
        if not await self.until(lambda: 10 in self.moved.first_sent, 1.5):
            self.broken.append("drain: the directory that discovery was moved to was not asked in 1.5 s")
        await asyncio.sleep(DRAIN_GRACE)
        before = self.posts("birch")
        await asyncio.sleep(0.3)
        if self.posts("birch") > before:
            self.broken.append("drain: sent to a draining engine after the grace")
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        for client in self.clients:
            client.stopped = True
        await asyncio.wait(running, timeout=WAITS + 1.0)
        try:
            async with asyncio.timeout(ENDS_WITHIN):
                if await process.wait():
                    self.broken.append(f"exit code {process.returncode}")
        except TimeoutError:
            self.broken.append("no end after SIGTERM")
        for task in running:
            task.cancel()

    def posts(self, name):
        return sum(verb == "POST" for verb, _, _ in self.engines[name].calls)

    def judge(self):
        counted = self.folder / "counts.json"
        self.counts = json.loads(counted.read_text()) if counted.exists() else {}
        # The event loop's own sockets are closed by itself; it logs what it makes of a failing close.
        harmless = {"unforeseen failed"} if self.call == "close" else set()
        events = [line["event"] for line in self.lines if line["event"].endswith("failed")]
        failed = Counter(event for event in events if event not in harmless)
        if failed:
            why = next(line["why"] for line in self.lines if line["event"].endswith("failed"))
            self.broken.append(f"parts failed: {dict(failed)}: {why}")
        starts = Counter()
        for engine in self.engines.values():
            starts.update(f["x-txn"] for verb, f, _ in engine.calls if verb == "POST")
        for client in getattr(self, "clients", ()):
            self.judge_client(client, starts)

    def judge_client(self, client, starts):
        cuts = 0
        for number, txn, group in client.submitted:
            answers = client.answers[number]
            self.requests += 1
            self.answers["cut" if number in client.cut and not answers else len(answers)] += 1
            self.refused += any("error" in told for told in answers)
            if len(answers) > 1:
                self.broken.append("1: a second answer")
            if not answers and number not in client.cut:
                self.broken.append("1: no answer")
            cuts += not answers and number in client.cut
            if group == "pay" and starts[txn] > 1:
                self.broken.append("2: a once-only query was started twice")
        if cuts and not (self.error in FATAL and self.call in ("send", "recv_into")):
            self.broken.append("1: a connection was ended with requests open on it")


def described(play):
    return {
        "call": play.call,
        "error": play.error,
        "number": play.numbers,
        "broken": sorted(set(play.broken)),
    }


async def one(folder, gate, call, error, numbers):
    async with gate:
        with tempfile.TemporaryDirectory(dir=folder) as own:
            return await Play(own, call, error, numbers).run()


def planned(counts, chance, share, all_errors):
    """Each number of each call with an error: all, or a part drawn by the seed."""
    plan = []
    for call, errors in ERRORS.items():
        for number in range(1, counts.get(call, 0) + 1):
            chosen = errors if all_errors else (errors[number % len(errors)],)
            plan += [(call, error, number) for error in chosen]
    return [what for what in plan if chance.share(*what) < share]


async def whole(seed, share, all_errors):
    chance = Chance(seed)
    with tempfile.TemporaryDirectory() as folder:
        gate = asyncio.Semaphore(PLAYS_AT_ONCE)
        plain = await one(folder, gate, *NOTHING)
        plan = planned(plain.counts, chance, share, all_errors)
        plays = await asyncio.gather(*(one(folder, gate, *what) for what in plan))
    bad = [described(play) for play in (plain, *plays) if play.broken]
    answers = sum((play.answers for play in plays), Counter())
    figures = {
        "plays": len(plays),
        "calls": plain.counts,
        "requests": sum(play.requests for play in plays),
        "answers": {str(number): many for number, many in sorted(answers.items(), key=str)},
        "no_result": sum(play.refused for play in plays),
        "ready_most_s": round(max((play.ready_s or 0.0 for play in plays), default=0.0), 2),
        "broken_plays": bad,
    }
    return sorted({rule for play in bad for rule in play["broken"]}), figures


@click.command()
@click.option("--seed", default=1)
@click.option("--share", default=1.0, help="The part of all runs that is played.")
@click.option("--all", "all_errors", is_flag=True, help="Each number of each call with each error.")
@click.option("--only", help="One run: CALL:ERROR:NUMBER.")
def main(seed, share, all_errors, only):
    if only:
        call, error, number = only.split(":")
        with tempfile.TemporaryDirectory() as folder:
            play = asyncio.run(one(folder, asyncio.Semaphore(1), call, error, number))
        for line in play.lines:
            print(json.dumps(line))
        close("system_calls", seed, play.broken, {"answers": {str(k): v for k, v in play.answers.items()}})
    broken, figures = asyncio.run(whole(seed, share, all_errors))
    close("system_calls", seed, broken, figures)


if __name__ == "__main__":
    main()
