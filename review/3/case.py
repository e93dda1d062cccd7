"""Some clients send many requests at once, with long statements: does the front stay inside its memory?"""

# ruff: noqa: D103, E402

import asyncio
import os
import random
import signal
import sys
from base64 import b64encode
from contextlib import suppress
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import catania
import rows
from standins import Client, Engine, Pool, new_id, run_case, trouble

MEMORY_MB, CLIENTS, REQUESTS, STATEMENT_BYTES = 192, 24, 32, 130_000
# For how long the usual clients ask, how often a second, and when the others come.
SECONDS, RATE, BAD_AFTER_S = 14, 20, 4


def anonymous_mb(pid: int) -> float:
    """The memory of a process that is not of files."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def platform(record, front, seen: dict) -> None:
    """Kill the front once it is over its memory limit."""
    while front.process.returncode is None:
        try:
            now = anonymous_mb(front.process.pid)
        except OSError:
            return
        seen["most"] = max(seen.get("most", 0.0), now)
        if now > MEMORY_MB:
            seen["killed_at"] = record(
                "platform", "killed", front=front.name, memory_mb=round(now), limit=MEMORY_MB
            )
            os.kill(front.process.pid, signal.SIGKILL)
            return
        await asyncio.sleep(0.02)


async def read_all(reader) -> None:
    with suppress(OSError):
        while await reader.read(65_536):
            pass


async def many_at_once(record, port: int) -> None:
    """A bad client: requests in good form, all at once, and reads what it is sent."""
    text = rows.statement("report", "many", random.randint(1, 12), 3, 200)
    body = b64encode((text + " -- " + "x" * STATEMENT_BYTES).encode())
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        reading = asyncio.create_task(read_all(reader))
        for number in range(1, REQUESTS + 1):
            writer.write(
                b'{"jsonrpc":"2.0","id":%d,"method":"report","params":{"id":"%s","wait":14000,"cost":600,'
                b'"tenant":"mareblu-dogane","need_mb":64,"bytes":"%b"}}\n' % (number, new_id().encode(), body)
            )
            await writer.drain()
        await reading
        writer.close()
    except OSError as why:
        record("bad", "ended", why=type(why).__name__)


async def one(record, client, ends):
    """Submit one request of a usual client."""
    txn, run_ms = new_id(), random.randint(20, 200)
    text = rows.statement("lookup", txn, random.randint(1, 12), 20, run_ms)
    how, _ = await client.submit("lookup", txn, text, 3.6, "etna-spedizioni", run_ms)
    ends[how] = ends.get(how, 0) + 1


async def case(record):
    """Play usual and bad clients on one front; returns the breaks."""
    random.seed(4)
    ends, seen, tasks, bad = {}, {}, [], []
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}

    def engine(name):
        return Engine(name, record, rows.result, rows.run_s)

    async with Pool(record, catania.settings, engine, 1, limits) as pool:
        front = pool.fronts[0]
        watching = asyncio.create_task(platform(record, front, seen))
        clients = [await Client.open(record, front.port) for _ in range(3)]
        for number in range(SECONDS * RATE):
            if number == BAD_AFTER_S * RATE and trouble():
                record("bad", "begin", clients=CLIENTS, requests=REQUESTS, statement_bytes=STATEMENT_BYTES)
                bad = [asyncio.create_task(many_at_once(record, front.port)) for _ in range(CLIENTS)]
            tasks.append(asyncio.create_task(one(record, random.choice(clients), ends)))
            await asyncio.sleep(1 / RATE)
            if "killed_at" in seen:
                break
        await asyncio.wait(tasks, timeout=6)
        for task in (watching, *bad):
            task.cancel()
        for client in clients:
            client.close()
    record("case", "ends", most_mb=round(seen.get("most", 0)), **ends)
    print(ends, f"most memory {seen.get('most', 0):.0f} MB of {MEMORY_MB}")
    if "killed_at" in seen:
        return [f"the front was over its memory at {seen['killed_at']:.2f} s and was killed"]
    return [f"the front ended with code {front.process.returncode}"] if front.process.returncode else []


run_case(HERE, case)
