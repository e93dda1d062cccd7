"""The real fronts of the scale rig: `thistlelever serve` with and without distribution, fake engines for what
they hold, and a few clients."""

import asyncio
import json
import signal
from pathlib import Path

from rigs.fleet import Client
from rigs.scale_child import Child, cpu_seconds, memory_mb
from rigs.scale_front import settings
from thistlelever.standins.configuration import configuration
from thistlelever.standins.directory import Directory
from thistlelever.standins.http_engine import Engine

CLIENT_EVERY_S, CLIENT_WAIT_MS = 0.05, 2_000
ENGINES_WITHOUT = 4
# How many clients poll the directory while the cost of that is measured.
DIRECTORY_CLIENTS = 10


class RealFront:
    """One process of `thistlelever serve`."""

    def __init__(self, place, folder, deployment, distributors):
        self.place, self.folder, self.deployment = place, Path(folder), deployment
        self.distributors = distributors
        self.child, self.directory, self.starts = None, None, 1
        self.host, self.port = "127.0.0.1", 0

    @property
    def process(self):
        """The process, or None before the start."""
        return self.child.process if self.child else None

    @property
    def pid(self):
        """The process id."""
        return self.child.pid

    def cpu(self):
        """CPU seconds so far."""
        return cpu_seconds(self.child.pid)

    def memory_mb(self):
        """Resident memory in MB."""
        return memory_mb(self.child.pid)

    def operator(self):
        """The content of its operator file."""
        if not self.distributors:
            return {}
        addresses = [f"{host}:{port}" for host, port in self.distributors]
        return {
            "distribution": {
                "distributors": addresses,
                "heartbeat_s": self.deployment.size.heartbeat_s,
                "zone_rank": self.place["zone_rank"],
            }
        }

    async def start(self, entries):
        """Starts the front and waits until it is ready. `entries` are the engines, as (name, address), that
        its directory returns where distribution is off."""
        loop = asyncio.get_running_loop()
        _, self.directory = await loop.create_datagram_endpoint(
            lambda: Directory(asyncio.Event()), local_addr=("127.0.0.1", 0)
        )
        self.directory.entries = {
            name: (int(address.rpartition(":")[2]), False, self.deployment.zones[0])
            for name, address in entries
        }
        front_settings = settings(self.deployment.zones, self.place["zone"], len(self.deployment.fronts))
        known = [(name, address, self.deployment.zones[0]) for name, address in entries]
        config = configuration(known, f"127.0.0.1:{self.directory.port}", front_settings)
        config["settings"]["Rank"] = self.place["rank"]
        config["name"] = self.place["name"]
        config_path = self.folder / f"{self.place['name']}-{bool(self.distributors)}.json"
        config_path.write_text(json.dumps(config))
        operator = config_path.with_suffix(".operator.json")
        operator.write_text(json.dumps(self.operator()))
        arguments = ("thistlelever", "serve", "--operator", str(operator))
        self.child = Child(*arguments, environment={"BALANCER_CONFIG": str(config_path)})
        await self.child.start()
        ready = next(line for line in self.child.log if line["event"] == "ready")
        self.host, self.port = ready["listen"]

    async def close(self):
        """Kills the front and ends its directory."""
        if self.child and self.child.process:
            self.child.signal(signal.SIGKILL)
            await self.child.kill()
        if self.directory:
            self.directory.transport.close()


class RealFronts:
    """The real fronts with distribution, one without, and the engines that they reach."""

    def __init__(self, deployment, folder):
        self.deployment, self.folder = deployment, folder
        self.engines, self.fronts, self.without, self.clients = {}, [], None, []

    async def open_engines(self, names):
        """Starts a fake for each of these engines; returns their addresses by name."""
        for name in names:
            self.engines[name] = Engine(asyncio.Event())
            await self.engines[name].start()
        return {name: f"127.0.0.1:{engine.port}" for name, engine in self.engines.items()}

    async def start(self):
        """Starts the fronts; the distributors must run already. Measurements include them once all are
        ready."""
        addresses = await self.deployment.distributor_addresses("real", self.deployment.relays[0])
        places = self.deployment.real_places
        self.fronts = [RealFront(place, self.folder, self.deployment, addresses) for place in places]
        self.without = RealFront(places[0], self.folder, self.deployment, None)
        chosen = list(self.engines.items())[:ENGINES_WITHOUT]
        entries = [(name, f"127.0.0.1:{engine.port}") for name, engine in chosen]
        await asyncio.gather(*(front.start([]) for front in self.fronts), self.without.start(entries))
        self.deployment.real = [*self.fronts, self.without]

    async def directory_core(self, seconds):
        """The cores that one front spends on polling its directory, measured in a process of its own."""
        poller = Child("rigs.scale_hollow")
        await poller.start()
        try:
            port, zones = self.without.directory.port, self.deployment.zones
            return await poller.request(
                "inquire", count=DIRECTORY_CLIENTS, port=port, zones=zones, seconds=max(seconds - 2.0, 1.0)
            )
        finally:
            await poller.kill()

    def start_clients(self):
        """Starts a client at each real front with distribution."""
        for place, front in enumerate(self.fronts):
            front.place = place
        self.clients = [Client(None, front, CLIENT_EVERY_S, CLIENT_WAIT_MS) for front in self.fronts]

    async def answers(self):
        """How many queries had no, one, or more final answers, of those whose deadline has passed; and how
        many were returned."""
        now = asyncio.get_running_loop().time()
        counts = [0, 0, 0]
        for client in self.clients:
            client.task.cancel()
        for client in self.clients:
            for request in client.batches:
                if now - request.at > CLIENT_WAIT_MS / 1e3 + 0.1:
                    counts[min(request.answers, 2)] += 1
        returned = sum(request.what == "returned" for client in self.clients for request in client.batches)
        return {"0": counts[0], "1": counts[1], "2+": counts[2]}, returned

    async def close(self):
        """Ends clients, fronts and fake engines."""
        for client in self.clients:
            client.task.cancel()
        for front in [*self.fronts, self.without]:
            if front:
                await front.close()
        for engine in self.engines.values():
            await engine.stop()
