"""A yard of many processes: real fronts on loopback, stand-in engines and a directory, and between all of
them relays of ours. Every datagram of every ordered pair of fronts passes `Wire`; every connection to an
engine passes a relay of its front's own. Later rigs share it.

A front binds one address and is known to the others by another, which the wire holds: so that what it sends
is told from what it is sent, and nothing goes round the wire.
"""

import asyncio
import json
import os
import resource
import signal
import socket
import sys
import tempfile
from base64 import b64encode
from collections import defaultdict
from contextlib import suppress
from itertools import count
from pathlib import Path
from time import time

from rigs.loopback import HOST, free_port
from rigs.wire import Wire
from thistlelever.lifecycle import admin
from thistlelever.standins.directory import Directory
from thistlelever.standins.http_engine import Engine
from thistlelever.standins.configuration import configuration
from thistlelever.standins.relay import Relay

ROOT = Path(__file__).parents[1]
START_WITHIN = 20.0
# Of a process that ends before it is ready, so many of its last log lines are told.
LAST_LINES = 5


class NotStartedError(Exception):
    """A front's process ended before it was ready, or took too long."""


class Front:
    """One name of the tier, and its process while it lives."""

    def __init__(self, fleet, place):
        self.fleet, self.place, self.name = fleet, place, f"front-{place}"
        self.real = (HOST, free_port(socket.SOCK_DGRAM))
        self.known_as = fleet.wire.add(self.real)
        self.host, self.port = HOST, free_port(socket.SOCK_STREAM)
        self.socket = f"{fleet.folder}/{place}.sock"
        self.operator = Path(fleet.folder) / f"operator-{place}.json"
        self.process, self.ready, self.lines, self.lives = None, None, [], 0
        self.reading, self.relays, self.directory = None, {}, None

    async def open(self):
        """Its own way to the directory and to each engine."""
        loop = asyncio.get_running_loop()
        _, self.directory = await loop.create_datagram_endpoint(
            lambda: Directory(self.fleet.stir), local_addr=("127.0.0.1", 0)
        )
        for name, engine in self.fleet.engines.items():
            self.relays[name] = engine if self.fleet.direct else Relay(engine.port)
            if not self.fleet.direct:
                await self.relays[name].start()
        self.directory.entries = {name: (relay.port, False) for name, relay in self.relays.items()}

    def told(self):
        entries = [(name, f"127.0.0.1:{relay.port}") for name, relay in self.relays.items()]
        config = configuration(entries, f"127.0.0.1:{self.directory.port}", self.fleet.settings)
        config["settings"] |= {"Balancers": len(self.fleet.fronts), "Rank": self.place}
        peers = ["{}:{}".format(*front.known_as) for front in self.fleet.fronts]
        return config | {
            "name": self.name,
            "listen": f"{self.host}:{self.port}",
            "seed": f"{self.place + 1:x}{self.lives:x}",
            "peers": peers,
            "peer_listen": "{}:{}".format(*self.real),
        }

    async def start(self, diskless=False):
        """From nothing, under its name and addresses. `diskless`: no file can be written, no temporary
        folder is there, and its log goes to a device that is always full."""
        self.lives += 1
        config = Path(self.fleet.folder) / f"config-{self.place}.json"
        config.write_text(json.dumps(self.told()))
        self.operator.write_text(json.dumps({"admin": {"socket": self.socket}, **self.fleet.sections}))
        words = [sys.executable, "-O", "-m", *self.fleet.program, "serve", "--operator", str(self.operator)]
        env = os.environ | {"BALANCER_CONFIG": str(config)}
        before = len(self.lines)
        if diskless:
            with open("/dev/full", "wb") as full:
                self.process = await asyncio.create_subprocess_exec(
                    *words, cwd=ROOT, env=env | {"TMPDIR": "/nonexistent"}, stdout=full, preexec_fn=no_files
                )
            await self.until_ready(self.until_it_answers(), before)
            return
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=asyncio.subprocess.PIPE, limit=2**20
        )
        self.ready = asyncio.Event()
        self.reading = asyncio.create_task(self.read(self.process))
        await self.until_ready(self.ready.wait(), before)

    async def until_it_answers(self):
        """Until its administration answers: the way to know of a front whose log goes nowhere."""
        while await self.ask("counts") is None:
            await asyncio.sleep(0.05)

    async def until_ready(self, told, before):
        """Until that is told; `NotStartedError` with what its log said where it ends first or takes too
        long."""
        ready = asyncio.create_task(told)
        ended = asyncio.create_task(self.process.wait())
        try:
            await asyncio.wait((ready, ended), timeout=START_WITHIN, return_when=asyncio.FIRST_COMPLETED)
        finally:
            is_ready = ready.done()
            ready.cancel()
            ended.cancel()
        if not is_ready:
            code = self.process.returncode
            why = "not ready in time" if code is None else f"ended with {code}"
            raise NotStartedError(f"{self.name}: {why}: {self.lines[before:][-LAST_LINES:]}")

    async def read(self, process):
        while line := await process.stdout.readline():
            with suppress(json.JSONDecodeError):
                told = json.loads(line)
                self.lines.append(told)
                if told["event"] == "ready":
                    self.ready.set()
                self.fleet.stir.set()

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        """SIGTERM, and the end that follows."""
        self.signal(signal.SIGTERM)
        await self.process.wait()

    @property
    def lives_on(self):
        return self.process is not None and self.process.returncode is None

    async def ask(self, question, **words):
        """What it answers over its administration's socket, or None."""
        try:
            return (await admin.call(self.socket, question, **words)).get("answer")
        except (OSError, TimeoutError, ValueError):
            return None


class Asked:
    """One batch as its client knows it."""

    __slots__ = ("front", "life", "at", "answers", "what", "took")

    def __init__(self, front, at):
        self.front, self.life, self.at = front, front.lives, at
        self.answers, self.what, self.took = 0, "", None


class Client:
    """Submits to one front at a pace, over one connection that it opens again when it ends."""

    def __init__(self, fleet, front, every, wait_ms):
        self.fleet, self.front, self.every, self.wait_ms = fleet, front, every, wait_ms
        self.asked, self.open, self.numbers = [], {}, count(1)
        self.task = asyncio.create_task(self.run())

    async def run(self):
        body = b64encode(b"select a from sales_17.orders").decode()
        loop = asyncio.get_running_loop()
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.front.host, self.front.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            hearing = asyncio.create_task(self.hear(reader))
            try:
                while not hearing.done() and not writer.is_closing():
                    if len(self.open) < 24:
                        number = next(self.numbers)
                        asked = self.open[number] = Asked(self.front, loop.time())
                        self.asked.append(asked)
                        txn = f"{self.front.place + 1:04x}{number:012x}"
                        params = {
                            "id": txn,
                            "wait": self.wait_ms,
                            "tenant": "acme",
                            "cost": 5.0,
                            "need_mb": 4,
                            "bytes": body,
                        }
                        call = {"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}
                        writer.write(json.dumps(call).encode() + b"\n")
                    await asyncio.wait((hearing,), timeout=self.every)
            finally:
                hearing.cancel()
                writer.close()
                self.open.clear()

    async def hear(self, reader):
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                told = json.loads(line)
                asked = self.open.get(told.get("id"))
                if asked is None:
                    continue
                asked.answers += 1
                if asked.answers == 1:
                    asked.took = asyncio.get_running_loop().time() - asked.at
                    asked.what = (
                        "returned"
                        if "result" in told
                        else "pushed back"
                        if (told["error"]["code"] == -32001)
                        else "errored"
                    )
                # A second answer under its number would still be seen.
                if len(self.open) > 4_000:
                    self.open.pop(next(iter(self.open)))
                self.open.pop(told["id"])


class Fleet:
    """All of it: `async with Fleet(...) as fleet`."""

    def __init__(
        self, chance, fronts, engines, sections, settings, program=("thistlelever",), flight=0, direct=False
    ):
        self.chance, self.many, self.sections, self.settings = chance, fronts, sections, settings
        self.program, self.stir, self.engines = program, asyncio.Event(), {}
        # Whether fronts reach engines without a relay between, where nothing is to break there.
        self.direct = direct
        self.names = [f"e-{place}" for place in range(engines)]
        # Engines that speak Flight SQL, beside them.
        self.flight = [f"f-{place}" for place in range(flight)]
        if flight:
            self.sections = sections | {"flight": {"engines": self.flight}}
        self.wire, self.fronts, self.clients, self.faults = Wire(chance), [], [], []
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name

    async def __aenter__(self):
        # Risk: a rig that is ended by a signal, or whose fronts do not start in time, leaves them behind.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def start(self):
        """Engines first, then all fronts at once."""
        await self.open()
        await asyncio.gather(*(front.start() for front in self.fronts))

    async def open(self):
        """The engines, and each front's place and ways; no front's process yet."""
        # Both ends of all that twenty fronts have to engines and clients are in this process.
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
        for name in self.names:
            self.engines[name] = Engine(self.stir)
            await self.engines[name].start()
        for name in self.flight:
            from thistlelever.standins import flight_engine

            self.engines[name] = flight_engine.Engine(self.stir)
            await self.engines[name].start()
        self.fronts = [Front(self, place) for place in range(self.many)]
        for front in self.fronts:
            await front.open()

    async def __aexit__(self, *why):
        for client in self.clients:
            client.task.cancel()
        for front in self.fronts:
            if front.lives_on:
                front.signal(signal.SIGCONT)
                front.signal(signal.SIGKILL)
                await front.process.wait()
            if front.reading:
                front.reading.cancel()
            if front.directory:
                front.directory.transport.close()
            for relay in front.relays.values():
                if not self.direct:
                    await relay.stop()
        for engine in self.engines.values():
            await engine.stop()
        self.wire.close()
        self.temporary.cleanup()

    def traffic(self, every=0.05, wait_ms=2000):
        self.clients = [Client(self, front, every, wait_ms) for front in self.fronts]

    def fault(self, kind, *names):
        """Into the book of what the rig did; `end` closes it."""
        told = {"kind": kind, "names": names, "from": time(), "till": float("inf")}
        self.faults.append(told)
        return told

    @staticmethod
    def end(fault):
        fault["till"] = time()

    async def views(self):
        """What each living front says of the tier."""
        living = [front for front in self.fronts if front.lives_on]
        said = await asyncio.gather(*(front.ask("members.show") for front in living))
        return {front.name: told for front, told in zip(living, said, strict=True)}

    async def agree(self, within, living=None):
        """Until all that live hold just these for alive; how long it took, or None."""
        began = asyncio.get_running_loop().time()
        while (took := asyncio.get_running_loop().time() - began) < within:
            wanted = {f.name for f in self.fronts if f.lives_on} if living is None else set(living)
            views = await self.views()
            if all(
                told
                and not told["alone"]
                and wanted
                == {told["name"]}
                | {m["name"] for m in told["members"] if m["state"] in ("alive", "unfit", "suspected")}
                for name, told in views.items()
                if name in wanted
            ):
                return took
            # Risk: asked as often as five, thirty answer nobody else.
            await asyncio.sleep(max(0.02, 0.005 * len(views)))
        return None

    def answers(self, grace):
        """How often each batch was answered, of fronts that lived till it was over."""
        found = defaultdict(int)
        now = asyncio.get_running_loop().time()
        for client in self.clients:
            for asked in client.asked:
                if asked.life == asked.front.lives and asked.front.lives_on and now - asked.at > grace:
                    found[min(asked.answers, 2)] += 1
        return {"0": found[0], "1": found[1], "2+": found[2]}

    def in_time(self, goal):
        """The share of all batches that were returned within the goal."""
        asked = [a for client in self.clients for a in client.asked]
        return sum(a.what == "returned" and a.took <= goal for a in asked) / max(len(asked), 1)


def no_files():
    """In the process that is started: whatever it writes to a file fails."""
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, 0))
