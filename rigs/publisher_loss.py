"""Automatic failover of the publisher: kills or stops it again and again, and measures the time until another
distributor confirms a change.

`python -m rigs.publisher_loss --seed 1 [--distributors 7] [--losses 6]`. Real processes on loopback. A loss
ends when another distributor answers a publish with 200, that is, a majority holds the change.
"""

import asyncio
import json
import signal
import socket
import sys
import tempfile
from pathlib import Path
from time import monotonic

import click
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from rigs.fleet import ROOT
from rigs.loopback import HOST, free_port
from rigs.results import Chance, report_and_exit

ENGINES, ELECTION_AFTER_S, LONGEST_LOSS_S, CALM_S = 2_000, 5.0, 12.0, 4.0
START_WITHIN_S, TRY_EVERY_S = 20.0, 0.05


def engine(number, started=0.0):
    """The fields of an engine in a publish request."""
    return {
        "id": f"engine-{number:05}",
        "zone": f"zone-{number % 23:02}",
        "kind": "std",
        "address": f"127.{64 + (number >> 14)}.{number >> 7 & 127}.{1 + (number & 127)}:9",
        "started": started,
    }


class Tier:
    """The distributor processes."""

    def __init__(self, count, folder):
        self.ports = [free_port(socket.SOCK_STREAM) for _ in range(count)]
        self.folder, self.processes = Path(folder), {}

    async def start(self, index):
        """Starts one distributor with its own store."""
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
        arguments = [sys.executable, "-m", "thistlelever", "distributor", "serve", "--config", str(config)]
        with open(self.folder / f"{index}.log", "ab") as log:
            self.processes[index] = await asyncio.create_subprocess_exec(*arguments, cwd=ROOT, stdout=log)

    async def call(self, index, method, path, body=None):
        """One HTTP call to a distributor: status and answer, or (0, {}) without an answer."""
        data = None if body is None else json.dumps(body)
        url = f"http://{HOST}:{self.ports[index]}{path}"
        request = HTTPRequest(url, method, body=data, request_timeout=4.0)
        try:
            reply = await AsyncHTTPClient().fetch(request, raise_error=False)
            return reply.code, json.loads(reply.body)
        except (OSError, ValueError):
            return 0, {}

    async def publish_anywhere(self, body, excluding=None, within=START_WITHIN_S):
        """Tries the distributors in turn, without `excluding`, until one confirms the change; returns its
        index, or None after `within` seconds."""
        till = monotonic() + within
        while monotonic() < till:
            for index in (other for other in self.processes if other != excluding):
                status, _ = await self.call(index, "POST", "/v1/publish", body)
                if status == 200:
                    return index
            await asyncio.sleep(TRY_EVERY_S)
        return None

    async def close(self):
        """Terminates every process; returns how many had an exit code other than 0."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        codes = [await process.wait() for process in self.processes.values()]
        return sum(code != 0 for code in codes)


async def cause_loss(tier, chance, number, publisher):
    """Kills or stops the publisher until another distributor has confirmed a change; returns the kind, the
    indices of both (`next` is None where none confirmed it) and the seconds."""
    kind = "stopped" if chance.share("stopped", number) < 0.5 else "killed"
    began = monotonic()
    tier.processes[publisher].send_signal(signal.SIGSTOP if kind == "stopped" else signal.SIGKILL)
    change = {"upserts": [engine(number, float(number + 1))]}
    following = await tier.publish_anywhere(change, publisher, 2 * LONGEST_LOSS_S)
    took = monotonic() - began
    if kind == "killed":
        await tier.processes[publisher].wait()
        await tier.start(publisher)
    else:
        tier.processes[publisher].send_signal(signal.SIGCONT)
    return {"kind": kind, "lost": publisher, "next": following, "seconds": round(took, 2)}


async def run_rig(seed, distributors, losses):
    """Runs the rig; returns the broken rules and the figures."""
    chance, records, broken = Chance(seed), [], []
    with tempfile.TemporaryDirectory() as folder:
        tier = Tier(distributors, folder)
        for index in range(distributors):
            await tier.start(index)
        publisher = await tier.publish_anywhere({"engines": [engine(number) for number in range(ENGINES)]})
        for number in range(losses):
            await asyncio.sleep(CALM_S)
            records.append(await cause_loss(tier, chance, number, publisher))
            if records[-1]["next"] is None:
                broken.append("nobody publishes")
                break
            publisher = records[-1]["next"]
        await asyncio.sleep(CALM_S)
        statuses = [(await tier.call(index, "GET", "/v1/status"))[1] for index in range(distributors)]
        crashed = await tier.close()
    longest = max(loss["seconds"] for loss in records)
    if longest > LONGEST_LOSS_S:
        broken.append(f"a loss of more than {LONGEST_LOSS_S:g} s")
    if len({(status.get("version"), status.get("digest")) for status in statuses}) != 1:
        broken.append("distributors differ after healing")
    if sum(status.get("role") == "publisher" for status in statuses) != 1:
        broken.append("not one publisher at the end")
    if crashed:
        broken.append("a distributor crashed")
    return broken, {"distributors": distributors, "longest_s": longest, "losses": records}


@click.command()
@click.option("--seed", default=1)
@click.option("--distributors", default=7)
@click.option("--losses", default=6)
def main(seed, distributors, losses):
    """Play it and print the verdict."""
    broken, figures = asyncio.run(run_rig(seed, distributors, losses))
    report_and_exit("publisher_loss", seed, broken, figures)


if __name__ == "__main__":
    main()
