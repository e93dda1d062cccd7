"""What takeover costs: CPU of the front a batch, bytes between fronts, added latency, at so many batches a
second to one front of five; off, on, and on with places that do not answer, in one run.

`python -m rigs.takeover_cost --rate 500 --seconds 8`. Engines answer at once, so that all the rest is the
front's.
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

TICKS = os.sysconf("SC_CLK_TCK")
# Of ten batches so many carry a mark and may not run twice; and the same where all do.
MIXES = {"none marked": 0.0, "one in five marked": 0.2, "all marked": 1.0}
CONNECTIONS, WAIT_MS = 16, 1_600


def cpu(front):
    """Seconds of CPU that its process has taken."""
    fields = Path(f"/proc/{front.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class Load:
    """Batches to one front at a steady rate over a few connections."""

    def __init__(self, front, chance, marked, life):
        self.front, self.chance, self.marked = front, chance, marked
        self.open, self.took, self.said, self.numbers = {}, {"marked": [], "unmarked": []}, {}, count(1)
        self.life = life

    async def play(self, rate, seconds):
        loop = asyncio.get_running_loop()
        pairs = [
            await asyncio.open_connection(self.front.host, self.front.port, limit=2**20)
            for _ in range(CONNECTIONS)
        ]
        hearing = [loop.create_task(self.hear(reader)) for reader, _ in pairs]
        body = b64encode(b"select a from sales_17.orders").decode()
        began, sent = loop.time(), 0
        while (now := loop.time()) < began + seconds:
            while sent < (now - began) * rate:
                sent += 1
                number = next(self.numbers)
                marked = self.chance.share("marked", number) < self.marked
                group = "pay" if marked else "lookup"
                params = {
                    "id": f"{self.life:04x}{number:012x}",
                    "wait": WAIT_MS,
                    "tenant": "acme",
                    "cost": 1.0,
                    "need_mb": 1,
                    "bytes": body,
                }
                params |= {"once": f"{self.life:08x}{number:024x}"} if marked else {}
                call = {"jsonrpc": "2.0", "id": number, "method": group, "params": params}
                self.open[number] = loop.time(), marked
                pairs[number % CONNECTIONS][1].write(json.dumps(call).encode() + b"\n")
            await asyncio.sleep(0.002)
        await asyncio.sleep(1.0)
        for task, (_, writer) in zip(hearing, pairs, strict=True):
            task.cancel()
            writer.close()
        return sent

    async def hear(self, reader):
        loop = asyncio.get_running_loop()
        while line := await reader.readline():
            told = json.loads(line)
            at, marked = self.open.pop(told["id"])
            self.took["marked" if marked else "unmarked"].append(loop.time() - at)
            what = "returned" if "result" in told else str(told["error"]["code"])
            self.said[what] = self.said.get(what, 0) + 1


def spread(times):
    times = sorted(times)
    return [round(times[int(len(times) * share)] * 1e3, 2) for share in (0.5, 0.99)] if times else None


async def measured(rate, seconds, mix, sections, silent, life):
    async with Fleet(Chance(1), 5, 2, sections, settings(), direct=True) as fleet:
        await fleet.agree(10.0)
        # Places that were started a moment ago would refuse what demands protection.
        await asyncio.sleep(4.0 if "takeover" in sections else 0.2)
        front = fleet.fronts[0]
        load = Load(front, Chance(life), mix, life)
        await load.play(rate, 1.0)
        load.took, load.said = {"marked": [], "unmarked": []}, {}
        if silent:
            fleet.network.cuts |= {(other.place, front.place) for other in fleet.fronts[1:]}
        bytes_before, began = fleet.network.bytes, cpu(front)
        sent = await load.play(rate, seconds)
        spent = cpu(front) - began
        said = await front.ask("inhand.show") if "takeover" in sections else None
        return {
            "waits_ms": said and said["waits_ms"],
            "batches": sent,
            "cpu_ms_a_batch": round(spent / sent * 1e3, 4),
            "bytes_a_batch": round((fleet.network.bytes - bytes_before) / sent, 1),
            "marked_ms": spread(load.took["marked"]),
            "unmarked_ms": spread(load.took["unmarked"]),
            "said": load.said,
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
    figures, life = {}, seed * 100
    for mix, share in MIXES.items():
        for way, (sections, silent) in ways.items():
            life += 1
            found = asyncio.run(measured(rate, seconds, share, sections, silent, life))
            figures[f"{mix}, {way}"] = found
            print(json.dumps({"mix": mix, "way": way, **found}), flush=True)
        off, on = figures[f"{mix}, off"], figures[f"{mix}, on"]
        figures[f"{mix}, cpu on to off"] = round(on["cpu_ms_a_batch"] / off["cpu_ms_a_batch"], 3)
    report_and_exit("takeover_cost", seed, [], figures)


if __name__ == "__main__":
    main()
