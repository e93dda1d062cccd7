"""Plays a crowd of bad clients against one front process, beside a usual client: `python -m rigs.crowds`.

The front may not pass the memory of its configuration, nor end by itself; the usual client gets an answer to
each request. With signals, the front gets SIGHUP twice during the crowd and then SIGTERM, and clients go on
using their connections until SIGKILL, which comes as early as the protocol allows.
"""

import asyncio
import json
import signal
import sys
from base64 import b64encode
from contextlib import suppress
from typing import NamedTuple

import click

from rigs.crowd_clients import KINDS, WIDE_TABLE
from rigs.front_process import ROOT, front
from rigs.results import Chance, report_and_exit
from thistlelever.standins.configuration import SETTINGS
from thistlelever.standins.http_engine import Engine, rows

ENGINES = 8
# Bad clients: hundreds, and together with the usual one no more than the front has places for.
CLIENTS, SOCKETS = 380, 1_024
# What the pages name as the least and the most memory of a front, in MB.
LEAST_MEMORY_MB, MOST_MEMORY_MB = 32, 192
SECONDS, REQUEST_INTERVAL_S, WAIT_S = 6.0, 0.05, 4.0
# Open requests of one connection, and how long before its end a request may cross it.
MAX_OPEN_REQUESTS, CROSSING_S = 32, 0.05
# An answer is lost this long after the client has stopped waiting.
LATE_S = 0.5
# When signals come, in seconds from the start of the crowd, and from SIGTERM until requests on open
# connections cease, and until SIGKILL.
HUPS_AT_S, TERM_AT_S, REQUESTS_AFTER_TERM_S, KILL_AFTER_TERM_S = (2.0, 2.1), 4.0, 0.6, 3.7
# The longest result: 48,000 bytes.
WIDE_RESULT = rows("_".join(("x" * 60, "y" * 60, "z" * 57))) * 266
# Share of its requests that the usual client has to be served.
SERVED_SHARE = 0.5


class Play(NamedTuple):
    """What one play consists of."""

    kind: str
    memory_mb: float
    signals: bool = False
    seconds: float = SECONDS


class UsualClient:
    """Asks at a steady rate on one connection; counts how its requests ended.

    A request that crossed the end of the connection is sent again on a new one, once.
    """

    def __init__(self, address, chance):
        self.address, self.chance, self.ends, self.slowest = address, chance, {}, 0.0
        self.lost = []
        # By number: when the request was sent, and whether for the second time.
        self.waiting, self.writer, self.asked, self.connected = {}, None, 0, False

    async def connect(self):
        reader, self.writer = await asyncio.open_connection(*self.address)
        self.connected = True
        self.reading = asyncio.create_task(self.read(reader))

    def ask(self):
        """Sends a request unless too many are open or it connects; its end is counted once it is known."""
        if len(self.waiting) < MAX_OPEN_REQUESTS and self.connected:
            self.asked += 1
            self.send(self.asked, False)

    def send(self, number, again):
        txn = f"{int(self.chance.share('id', number, again) * 2**64):016x}"
        statement = b64encode(b"select a from sales_17.orders").decode()
        params = {"id": txn, "wait": int(WAIT_S * 1e3), "tenant": "acme", "cost": 60.0, "bytes": statement}
        call = {"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}
        self.waiting[number] = asyncio.get_running_loop().time(), again
        self.writer.write(json.dumps(call).encode() + b"\n")

    async def read(self, reader):
        with suppress(OSError):
            while line := await reader.readline():
                answer = json.loads(line)
                if answer["id"] not in self.waiting:
                    self.count("stray")
                    continue
                since, _ = self.waiting.pop(answer["id"])
                took = asyncio.get_running_loop().time() - since
                self.slowest = max(self.slowest, took)
                end = "result" if "result" in answer else f"error {answer['error']['code']}"
                self.count(end if took <= WAIT_S + LATE_S else "late")
        self.connected = False
        self.writer.close()
        await self.connect_again(asyncio.get_running_loop().time())

    async def connect_again(self, ended_at):
        """Connects anew, and repeats what crossed the end of the connection; the rest is lost."""
        crossed, self.waiting = self.waiting, {}
        with suppress(OSError):
            await self.connect()
        for number, (since, again) in crossed.items():
            if again or not self.connected or since < ended_at - CROSSING_S:
                self.lose(since, ended_at)
            else:
                self.count("repeated")
                self.send(number, True)

    def lose(self, since, ended_at):
        """Counts a request without an answer, and notes its times in seconds on the clock of the loop."""
        self.count("lost")
        self.lost.append((round(since, 3), round(ended_at, 3)))

    def count(self, end):
        self.ends[end] = self.ends.get(end, 0) + 1

    async def finish(self):
        """Waits for the last answers; what has none is lost."""
        with suppress(TimeoutError):
            async with asyncio.timeout(WAIT_S + LATE_S):
                while self.waiting:
                    await asyncio.sleep(0.01)
        for since, _ in self.waiting.values():
            self.lose(since, asyncio.get_running_loop().time())
        self.reading.cancel()
        self.writer.close()


async def send_signals(process, begin):
    """Sends the series of signals; returns whether the front ended in time."""
    loop = asyncio.get_running_loop()
    for at in HUPS_AT_S:
        await asyncio.sleep(max(begin + at - loop.time(), 0))
        process.send_signal(signal.SIGHUP)
    await asyncio.sleep(max(begin + TERM_AT_S - loop.time(), 0))
    process.terminate()
    try:
        await asyncio.wait_for(process.wait(), KILL_AFTER_TERM_S)
    except TimeoutError:
        process.kill()
        return False
    return True


async def run_play(play, seed, clients=CLIENTS):
    """Returns the broken rules and the figures of one play."""
    chance, engines = Chance(seed), {f"engine{number}": Engine(asyncio.Event()) for number in range(ENGINES)}
    for engine in engines.values():
        engine.result = lambda statement: WIDE_RESULT if WIDE_TABLE.encode() in statement else rows("rows")
        await engine.start()
    loop, broken = asyncio.get_running_loop(), []
    limits = {"cores": 1.0, "memory_mb": play.memory_mb, "sockets": SOCKETS}
    async with front(engines, SETTINGS, limits=limits) as running:
        process, port = running.process, running.listen[1]
        at_rest_mb, peak_mb = running.memory_mb(), 0.0
        usual = UsualClient(running.listen, chance)
        await usual.connect()
        arguments = (port, play.kind, clients, seed, play.seconds)
        crowd = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "rigs.crowd_clients", *map(str, arguments)),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        begin = loop.time()
        signals = asyncio.create_task(send_signals(process, begin)) if play.signals else None
        asking_s = TERM_AT_S + REQUESTS_AFTER_TERM_S if play.signals else play.seconds
        while process.returncode is None and not (signals and signals.done()):
            with suppress(OSError, IndexError):
                peak_mb = max(peak_mb, running.memory_mb("VmHWM"))
            if crowd.returncode is not None and not signals:
                break
            if loop.time() < begin + asking_s:
                usual.ask()
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await usual.finish()
        if not signals and process.returncode is None:
            peak_mb = max(peak_mb, running.memory_mb("VmHWM"))
        if signals and not await signals:
            broken.append("stop: not ended before SIGKILL")
        if process.returncode:
            broken.append(f"crash: exit code {process.returncode}")
        output, _ = await crowd.communicate()
    figures = json.loads(output) | {"at_rest_mb": round(at_rest_mb, 1), "peak_mb": round(peak_mb, 1)}
    figures |= {
        "lost_at": [(s - begin, e - begin) for s, e in usual.lost],
        "usual": usual.ends,
        "slowest_s": round(usual.slowest, 2),
    } | play._asdict()
    if peak_mb > play.memory_mb:
        broken.append(f"memory: {peak_mb:.1f} MB of {play.memory_mb}")
    if lost := usual.ends.get("lost", 0) + usual.ends.get("late", 0):
        broken.append(f"lost: {lost} requests of the usual client")
    if strays := usual.ends.get("stray", 0):
        broken.append(f"answers: {strays} to no open request")
    if usual.ends.get("result", 0) < SERVED_SHARE * usual.asked:
        broken.append(f"served: {usual.ends.get('result', 0)} of {usual.asked}")
    return broken, figures


def drawn_play(seed):
    """Returns the play of a seed: its kind of crowd, its memory, and whether signals come."""
    chance = Chance(seed)
    kind = chance.among([(1, kind) for kind in KINDS], "kind")
    memory_mb = chance.among([(2, LEAST_MEMORY_MB), (1, 64), (1, MOST_MEMORY_MB)], "memory")
    return Play(kind, memory_mb, chance.share("signals") < 0.3)


@click.command()
@click.option("--seed", default=1, help="Draws the crowd, the memory and the signals.")
@click.option("--kind", type=click.Choice(KINDS), help="This kind of crowd, without signals.")
@click.option("--memory-mb", default=LEAST_MEMORY_MB, help="With --kind: the memory of the front.")
def main(seed, kind, memory_mb):
    """Play one crowd."""
    play = Play(kind, memory_mb) if kind else drawn_play(seed)
    broken, figures = asyncio.run(run_play(play, seed))
    report_and_exit("crowds", seed, broken, figures)


if __name__ == "__main__":
    main()
