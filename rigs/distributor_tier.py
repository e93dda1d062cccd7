"""Distributor processes on loopback, for rigs that kill, stop and restart them."""

import asyncio
import json
import os
import signal
import socket
import sys
from contextlib import suppress
from pathlib import Path
from time import monotonic

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from rigs.fleet import ROOT
from rigs.loopback import HOST, free_port
from rigs.slow_disk import SABOTAGE_KEY, SEED_KEY

ELECTION_AFTER_S = 5.0
START_WITHIN_S, STOP_WITHIN_S, TRY_EVERY_S, CALL_TIMEOUT_S = 20.0, 60.0, 0.05, 4.0


class Tier:
    """The distributor processes, each with its own store. Distributor 0 is configured as the publisher.

    With `disk_seed` every write to disk is slow, by draws from that seed. `sabotage` is the name of a
    safeguard that all disable (`rigs.slow_disk.GUARDS`), which needs slow disks.
    """

    def __init__(self, count, folder, disk_seed=None, sabotage=None):
        self.ports = [free_port(socket.SOCK_STREAM) for _ in range(count)]
        self.folder, self.processes = Path(folder), {}
        self.disk_seed, self.sabotage, self.starts = disk_seed, sabotage, 0

    async def start_all(self):
        """Starts all distributors without waiting until they are ready."""
        for index in range(len(self.ports)):
            await self.start(index)

    async def start(self, index):
        """Starts one distributor."""
        addresses = [f"{HOST}:{port}" for port in self.ports]
        config = self.folder / f"{index}.json"
        settings = {
            "name": f"d{index}",
            "index": index,
            "listen": addresses[index],
            "distributors": addresses,
        }
        settings |= {"publisher": index == 0, "store": str(self.folder / f"{index}.db")}
        settings |= {"election_after_s": ELECTION_AFTER_S, "subset": {"fronts": 1}}
        config.write_text(json.dumps(settings))
        module = "thistlelever" if self.disk_seed is None else "rigs.slow_disk"
        arguments = [sys.executable, "-m", module, "distributor", "serve", "--config", str(config)]
        environment = self.environment(index)
        with open(self.log_path(index), "ab") as log:
            self.processes[index] = await asyncio.create_subprocess_exec(
                *arguments, cwd=ROOT, env=environment, stdout=log
            )

    def environment(self, index):
        """Returns the environment of a process that is about to start. Each start has its own disk seed."""
        self.starts += 1
        environment = dict(os.environ)
        if self.disk_seed is not None:
            environment[SEED_KEY] = f"{self.disk_seed} {index} {self.starts}"
        if self.sabotage:
            environment[SABOTAGE_KEY] = self.sabotage
        return environment

    def log_path(self, index):
        """Returns the path of the log of a distributor, to which all its processes append."""
        return self.folder / f"{index}.log"

    async def call(self, index, method, path, body=None):
        """One HTTP call to a distributor: status and answer, or (0, {}) without an answer."""
        data = None if body is None else json.dumps(body)
        url = f"http://{HOST}:{self.ports[index]}{path}"
        request = HTTPRequest(url, method, body=data, request_timeout=CALL_TIMEOUT_S)
        try:
            reply = await AsyncHTTPClient().fetch(request, raise_error=False)
            return reply.code, json.loads(reply.body)
        except (HTTPError, OSError, ValueError):
            return 0, {}

    async def call_all(self, path):
        """Returns the answers of all distributors to a GET request, {} for each without an answer."""
        indices = range(len(self.ports))
        return [answer for _, answer in [await self.call(index, "GET", path) for index in indices]]

    async def confirm_anywhere(self, publish, excluding=None, within=START_WITHIN_S):
        """Awaits `publish(index)`, which returns a status, for one distributor after the other, without
        `excluding`, until one confirms the change with 200. Returns its index, or None after `within`
        seconds."""
        till = monotonic() + within
        while monotonic() < till:
            for index in (other for other in self.processes if other != excluding):
                if await publish(index) == 200:
                    return index
            await asyncio.sleep(TRY_EVERY_S)
        return None

    def take_away(self, index, kind):
        """Kills or stops a distributor; `kind` is "killed" or "stopped"."""
        self.processes[index].send_signal(signal.SIGSTOP if kind == "stopped" else signal.SIGKILL)

    async def bring_back(self, index, kind):
        """Continues or restarts a distributor after `take_away`, and waits until it answers or until
        START_WITHIN_S have passed."""
        if kind == "stopped":
            self.processes[index].send_signal(signal.SIGCONT)
        else:
            await self.processes[index].wait()
            await self.start(index)
        till = monotonic() + START_WITHIN_S
        while not (await self.call(index, "GET", "/v1/status"))[0] and monotonic() < till:
            await asyncio.sleep(TRY_EVERY_S)

    async def close(self):
        """Terminates every process; returns how many had an exit code other than 0. One that does not end
        within STOP_WITHIN_S is killed."""
        for process in self.processes.values():
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        codes = [await stop_code(process) for process in self.processes.values()]
        return sum(code != 0 for code in codes)


async def stop_code(process):
    """Returns the exit code of a process that was told to end."""
    try:
        return await asyncio.wait_for(process.wait(), STOP_WITHIN_S)
    except TimeoutError:
        process.kill()
        return await process.wait()
