"""A test environment of several processes: real fronts on loopback, fake engines and fake directories.

Every datagram between two fronts passes through `Network`; every connection to an engine passes through a
relay of its front. A front binds one address and is known to the others by another, which `Network` holds:
this tells the datagrams that it sends from those that it receives, and none can bypass the network.
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
from rigs.network import Network
from thistlelever.lifecycle import admin
from thistlelever.standins.directory import Directory
from thistlelever.standins.http_engine import Engine
from thistlelever.standins.configuration import configuration
from thistlelever.standins.relay import Relay

ROOT = Path(__file__).parents[1]
START_TIMEOUT_S = 20.0
# Log lines shown of a process that ends before it is ready.
LAST_LINES = 5


class NotStartedError(Exception):
    """The process of a front exited before it was ready, or did not become ready in time."""


class Front:
    """One member of the tier, by name, and its process while one is running."""

    def __init__(self, fleet, place):
        self.fleet, self.place, self.name = fleet, place, f"front-{place}"
        self.real = (HOST, free_port(socket.SOCK_DGRAM))
        self.known_as = fleet.network.add(self.real)
        self.host, self.port = HOST, free_port(socket.SOCK_STREAM)
        self.socket = f"{fleet.folder}/{place}.sock"
        self.operator = Path(fleet.folder) / f"operator-{place}.json"
        self.process, self.ready, self.lines, self.starts = None, None, [], 0
        self.reading, self.relays, self.directory = None, {}, None

    async def open(self):
        """Opens the directory of this front and its relay to each engine."""
        loop = asyncio.get_running_loop()
        _, self.directory = await loop.create_datagram_endpoint(
            lambda: Directory(self.fleet.stir), local_addr=("127.0.0.1", 0)
        )
        for name, engine in self.fleet.engines.items():
            self.relays[name] = engine if self.fleet.direct else Relay(engine.port)
            if not self.fleet.direct:
                await self.relays[name].start()
        self.directory.entries = {name: (relay.port, False) for name, relay in self.relays.items()}

    def config(self):
        """Returns the configuration of the front; its seed changes with each start."""
        entries = [(name, f"127.0.0.1:{relay.port}") for name, relay in self.relays.items()]
        config = configuration(entries, f"127.0.0.1:{self.directory.port}", self.fleet.settings)
        config["settings"] |= {"Balancers": len(self.fleet.fronts), "Rank": self.place}
        peers = ["{}:{}".format(*front.known_as) for front in self.fleet.fronts]
        return config | {
            "name": self.name,
            "listen": f"{self.host}:{self.port}",
            "seed": f"{self.place + 1:x}{self.starts:x}",
            "peers": peers,
            "peer_listen": "{}:{}".format(*self.real),
        }

    async def start(self, diskless=False):
        """Starts a new process under the same name and addresses and waits until it is ready.

        With `diskless` the process can write no file, has no temporary folder, and its log goes to a device
        that is always full. Raises NotStartedError.
        """
        self.starts += 1
        config = Path(self.fleet.folder) / f"config-{self.place}.json"
        config.write_text(json.dumps(self.config()))
        self.operator.write_text(json.dumps({"admin": {"socket": self.socket}, **self.fleet.sections}))
        command = [sys.executable, "-O", "-m", *self.fleet.program, "serve", "--operator", str(self.operator)]
        env = os.environ | {"BALANCER_CONFIG": str(config)}
        before = len(self.lines)
        if diskless:
            with open("/dev/full", "wb") as full:
                self.process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=env | {"TMPDIR": "/nonexistent"}, stdout=full, preexec_fn=no_files
                )
            await self.wait_until_ready(self.wait_for_admin(), before)
            return
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=asyncio.subprocess.PIPE, limit=2**20
        )
        self.ready = asyncio.Event()
        self.reading = asyncio.create_task(self.read(self.process))
        await self.wait_until_ready(self.ready.wait(), before)

    async def wait_for_admin(self):
        """Waits until the admin socket answers, which shows readiness when the log cannot be read."""
        while await self.ask("counts") is None:
            await asyncio.sleep(0.05)

    async def wait_until_ready(self, condition, before):
        """Waits for `condition`, a coroutine.

        Raises NotStartedError with the last log lines after number `before` when the process exits first or
        the time is up.
        """
        ready = asyncio.create_task(condition)
        ended = asyncio.create_task(self.process.wait())
        try:
            await asyncio.wait((ready, ended), timeout=START_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        finally:
            is_ready = ready.done()
            ready.cancel()
            ended.cancel()
        if not is_ready:
            code = self.process.returncode
            why = "not ready in time" if code is None else f"ended with {code}"
            raise NotStartedError(f"{self.name}: {why}: {self.lines[before:][-LAST_LINES:]}")

    async def read(self, process):
        """Collects the log of a process; lines that are not JSON are skipped."""
        while line := await process.stdout.readline():
            with suppress(json.JSONDecodeError):
                entry = json.loads(line)
                self.lines.append(entry)
                if entry["event"] == "ready":
                    self.ready.set()
                self.fleet.stir.set()

    def signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    async def kill(self):
        """Sends SIGKILL and waits for the process to exit."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        """Sends SIGTERM and waits for the process to exit."""
        self.signal(signal.SIGTERM)
        await self.process.wait()

    @property
    def is_running(self):
        """Whether the process has been started and has not exited."""
        return self.process is not None and self.process.returncode is None

    async def ask(self, command, **arguments):
        """Sends a command to the admin socket; returns the answer, or None when there is none."""
        try:
            return (await admin.call(self.socket, command, **arguments)).get("answer")
        except (OSError, TimeoutError, ValueError):
            return None


class SubmittedBatch:
    """One batch as its client knows it: times in seconds, number of answers, kind of the first answer."""

    __slots__ = ("front", "start_number", "at", "answers", "what", "took")

    def __init__(self, front, at):
        self.front, self.start_number, self.at = front, front.starts, at
        self.answers, self.what, self.took = 0, "", None


class Client:
    """Submits batches to one front at a fixed interval, over one connection that is reopened when it ends.

    `every` is the interval in seconds, `wait_ms` the time limit of each batch.
    """

    def __init__(self, fleet, front, every, wait_ms):
        self.fleet, self.front, self.every, self.wait_ms = fleet, front, every, wait_ms
        self.batches, self.open, self.numbers = [], {}, count(1)
        self.task = asyncio.create_task(self.run())

    async def run(self):
        """Submits until cancelled, with at most 24 unanswered batches at a time."""
        body = b64encode(b"select a from sales_17.orders").decode()
        loop = asyncio.get_running_loop()
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.front.host, self.front.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            receiving = asyncio.create_task(self.receive(reader))
            try:
                while not receiving.done() and not writer.is_closing():
                    if len(self.open) < 24:
                        number = next(self.numbers)
                        batch = self.open[number] = SubmittedBatch(self.front, loop.time())
                        self.batches.append(batch)
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
                    await asyncio.wait((receiving,), timeout=self.every)
            finally:
                receiving.cancel()
                writer.close()
                self.open.clear()

    async def receive(self, reader):
        """Records the answers on a connection until it ends."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                answer = json.loads(line)
                batch = self.open.get(answer.get("id"))
                if batch is None:
                    continue
                batch.answers += 1
                if batch.answers == 1:
                    batch.took = asyncio.get_running_loop().time() - batch.at
                    batch.what = (
                        "returned"
                        if "result" in answer
                        else "pushed back"
                        if (answer["error"]["code"] == -32001)
                        else "errored"
                    )
                # Recent entries stay, so that a second answer to the same number is noticed.
                if len(self.open) > 4_000:
                    self.open.pop(next(iter(self.open)))
                self.open.pop(answer["id"])


class Fleet:
    """The whole environment: `async with Fleet(...) as fleet`.

    `engines` and `flight` are numbers of engines that speak HTTP and Flight SQL, `sections` extends the
    operator file, `settings` goes into the configuration, and `program` is the module that
    fronts run.
    """

    def __init__(
        self, chance, fronts, engines, sections, settings, program=("thistlelever",), flight=0, direct=False
    ):
        self.chance, self.front_count, self.sections, self.settings = chance, fronts, sections, settings
        self.program, self.stir, self.engines = program, asyncio.Event(), {}
        # Whether fronts connect to engines directly, for rigs that inject no fault there.
        self.direct = direct
        self.names = [f"e-{place}" for place in range(engines)]
        # Engines that speak Flight SQL.
        self.flight = [f"f-{place}" for place in range(flight)]
        if flight:
            self.sections = sections | {"flight": {"engines": self.flight}}
        self.network, self.fronts, self.clients, self.faults = Network(chance), [], [], []
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name

    async def __aenter__(self):
        # A rig that is ended by SIGTERM, or whose fronts fail to start, must not leave processes behind.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def start(self):
        """Starts the engines, then all fronts at once; raises NotStartedError."""
        await self.open()
        await asyncio.gather(*(front.start() for front in self.fronts))

    async def open(self):
        """Starts the engines, directories and relays, but no front process."""
        # Engines, relays and clients of up to twenty fronts hold all their sockets in this process.
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
        for name in self.names:
            self.engines[name] = Engine(self.stir)
            await self.engines[name].start()
        for name in self.flight:
            from thistlelever.standins import flight_engine

            self.engines[name] = flight_engine.Engine(self.stir)
            await self.engines[name].start()
        self.fronts = [Front(self, place) for place in range(self.front_count)]
        for front in self.fronts:
            await front.open()

    async def __aexit__(self, *why):
        for client in self.clients:
            client.task.cancel()
        for front in self.fronts:
            if front.is_running:
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
        self.network.close()
        self.temporary.cleanup()

    def traffic(self, every=0.05, wait_ms=2000):
        """Starts one client for each front."""
        self.clients = [Client(self, front, every, wait_ms) for front in self.fronts]

    def fault(self, kind, *names):
        """Records the start of an injected fault and returns the record; `end` completes it."""
        record = {"kind": kind, "names": names, "from": time(), "till": float("inf")}
        self.faults.append(record)
        return record

    @staticmethod
    def end(fault):
        """Records that a fault is over."""
        fault["till"] = time()

    async def views(self):
        """Returns the membership view of each running front by name; None where it did not answer."""
        living = [front for front in self.fronts if front.is_running]
        views = await asyncio.gather(*(front.ask("members.show") for front in living))
        return {front.name: view for front, view in zip(living, views, strict=True)}

    async def agree(self, within, living=None):
        """Waits until all running fronts regard exactly `living` (default: those running) as alive.

        Returns the seconds it took, or None after `within` seconds.
        """
        began = asyncio.get_running_loop().time()
        while (took := asyncio.get_running_loop().time() - began) < within:
            wanted = {f.name for f in self.fronts if f.is_running} if living is None else set(living)
            views = await self.views()
            if all(
                view
                and not view["alone"]
                and wanted
                == {view["name"]}
                | {m["name"] for m in view["members"] if m["state"] in ("alive", "unfit", "suspected")}
                for name, view in views.items()
                if name in wanted
            ):
                return took
            # Thirty fronts polled at the interval for five would be too busy to answer each other.
            await asyncio.sleep(max(0.02, 0.005 * len(views)))
        return None

    def answers(self, grace):
        """Counts batches by number of answers: none, one, or several.

        Only batches older than `grace` seconds count, and only if their front process is still running.
        """
        found = defaultdict(int)
        now = asyncio.get_running_loop().time()
        for client in self.clients:
            for batch in client.batches:
                if (
                    batch.start_number == batch.front.starts
                    and batch.front.is_running
                    and now - batch.at > grace
                ):
                    found[min(batch.answers, 2)] += 1
        return {"0": found[0], "1": found[1], "2+": found[2]}

    def in_time(self, goal):
        """Returns the share of all batches that returned a result within `goal` seconds."""
        batch = [a for client in self.clients for a in client.batches]
        return sum(a.what == "returned" and a.took <= goal for a in batch) / max(len(batch), 1)


def no_files():
    """Makes every write to a file fail; runs in the new process before it executes the front."""
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, 0))
