"""Measures the cost of takeover: CPU per batch, bytes between fronts and added latency.

One front of five gets a steady load with takeover off, on, and on with replicas that do not answer.

`python -m rigs.takeover_cost --rate 500 --seconds 8`. Engines answer at once, so that the time measured is
that of the front.
"""

import asyncio
import json
import os
from base64 import b64encode
from itertools import count
from pathlib import Path

import click

from rigs.fleet import Fleet
from rigs.results import Chance, report_and_exit
from rigs.takeover_terms import settings

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Share of the batches that have an idempotency key and must not run twice.
MIXES = {"none marked": 0.0, "one in five marked": 0.2, "all marked": 1.0}
CONNECTIONS, WAIT_MS = 16, 1_600


def cpu(front):
    """Returns the CPU time of a front's process, user and system, in seconds."""
    fields = Path(f"/proc/{front.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


class Load:
    """Submits batches to one front at a steady rate over a few connections.

    `marked` is the share of batches with a key, `run` a number that keeps keys and ids of runs apart.
    """

    def __init__(self, front, chance, marked, run):
        self.front, self.chance, self.marked = front, chance, marked
        self.open, self.took, self.answers, self.numbers = {}, {"marked": [], "unmarked": []}, {}, count(1)
        self.run = run

    async def play(self, rate, seconds):
        """Submits `rate` batches per second; returns their number."""
        loop = asyncio.get_running_loop()
        pairs = [
            await asyncio.open_connection(self.front.host, self.front.port, limit=2**20)
            for _ in range(CONNECTIONS)
        ]
        receiving = [loop.create_task(self.receive(reader)) for reader, _ in pairs]
        body = b64encode(b"select a from sales_17.orders").decode()
        began, sent = loop.time(), 0
        while (now := loop.time()) < began + seconds:
            while sent < (now - began) * rate:
                sent += 1
                number = next(self.numbers)
                marked = self.chance.share("marked", number) < self.marked
                group = "pay" if marked else "lookup"
                params = {
                    "id": f"{self.run:04x}{number:012x}",
                    "wait": WAIT_MS,
                    "tenant": "acme",
                    "cost": 1.0,
                    "need_mb": 1,
                    "bytes": body,
                }
                params |= {"once": f"{self.run:08x}{number:024x}"} if marked else {}
                call = {"jsonrpc": "2.0", "id": number, "method": group, "params": params}
                self.open[number] = loop.time(), marked
                pairs[number % CONNECTIONS][1].write(json.dumps(call).encode() + b"\n")
            await asyncio.sleep(0.002)
        await asyncio.sleep(1.0)
        for task, (_, writer) in zip(receiving, pairs, strict=True):
            task.cancel()
            writer.close()
        return sent

    async def receive(self, reader):
        """Records the answers on a connection."""
        loop = asyncio.get_running_loop()
        while line := await reader.readline():
            answer = json.loads(line)
            at, marked = self.open.pop(answer["id"])
            self.took["marked" if marked else "unmarked"].append(loop.time() - at)
            what = "returned" if "result" in answer else str(answer["error"]["code"])
            self.answers[what] = self.answers.get(what, 0) + 1


def spread(times):
    """Returns median and 99th percentile in milliseconds, or None for no times."""
    times = sorted(times)
    return [round(times[int(len(times) * share)] * 1e3, 2) for share in (0.5, 0.99)] if times else None


async def measure(rate, seconds, mix, sections, silent, run):
    """Measures one load on a new fleet; with `silent` the other fronts do not answer. Returns the figures."""
    async with Fleet(Chance(1), 5, 2, sections, settings(), direct=True) as fleet:
        await fleet.agree(10.0)
        # Replicas are incomplete right after their start, and batches that require protection are refused.
        await asyncio.sleep(4.0 if "takeover" in sections else 0.2)
        front = fleet.fronts[0]
        load = Load(front, Chance(run), mix, run)
        await load.play(rate, 1.0)
        load.took, load.answers = {"marked": [], "unmarked": []}, {}
        if silent:
            fleet.network.cuts |= {(other.place, front.place) for other in fleet.fronts[1:]}
        bytes_before, began = fleet.network.bytes, cpu(front)
        sent = await load.play(rate, seconds)
        spent = cpu(front) - began
        view = await front.ask("inhand.show") if "takeover" in sections else None
        return {
            "waits_ms": view and view["waits_ms"],
            "batches": sent,
            "cpu_ms_a_batch": round(spent / sent * 1e3, 4),
            "bytes_a_batch": round((fleet.network.bytes - bytes_before) / sent, 1),
            "marked_ms": spread(load.took["marked"]),
            "unmarked_ms": spread(load.took["unmarked"]),
            "said": load.answers,
        }


@click.command()
@click.option("--seed", default=1)
@click.option("--rate", default=500)
@click.option("--seconds", default=8.0)
def main(seed, rate, seconds):
    members = {"membership": {"tier": "yard"}}
    ways = {
        "off": (members, False),
        "on": (members | {"takeover": {"keep_s": 0.5}}, False),
        "places silent": (members | {"takeover": {"keep_s": 0.5, "demand": []}}, True),
    }
    figures, run = {}, seed * 100
    for mix, share in MIXES.items():
        for way, (sections, silent) in ways.items():
            run += 1
            found = asyncio.run(measure(rate, seconds, share, sections, silent, run))
            figures[f"{mix}, {way}"] = found
            print(json.dumps({"mix": mix, "way": way, **found}), flush=True)
        off, on = figures[f"{mix}, off"], figures[f"{mix}, on"]
        figures[f"{mix}, cpu on to off"] = round(on["cpu_ms_a_batch"] / off["cpu_ms_a_batch"], 3)
    report_and_exit("takeover_cost", seed, [], figures)


if __name__ == "__main__":
    main()
