"""Spoilt answers, some with a length that is too small: does a client get a result without all its rows?"""

# ruff: noqa: D102, D103, E402, PLR0913

import asyncio
import random
import re
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import catania
from standins import Client, Engine, Pool, encode, new_id, run_case, trouble, write

# Which share of the good answers and pages arrives spoilt or with more than belongs to it, and how.
SHARE = 0.2
KINDS = ("length too small", "a second copy after", "noise after", "1xx before", "breaks off")
SECONDS, RATE = 85, 40


def facts(text: bytes) -> tuple[int, int, float]:
    found = re.search(rb"first=(\d+) rows=(\d+) run_ms=(\d+)", text)
    return int(found[1]), int(found[2]), int(found[3]) / 1e3


def result(text: bytes) -> list[str]:
    """Short rows: the number of the declaration, a port and a state."""
    first, count, _ = facts(text)
    return [f"{number}\t{'CAP'[number % 3]}\t{number % 7}\n" for number in range(first, first + count)]


class SpoilingEngine(Engine):
    """Some good answers and pages arrive spoilt; asked again, the engine still has them."""

    spoilt = dict.fromkeys(KINDS, 0)

    async def send_spoilt(self, writer, call, txn, status, fields, body):
        data = encode(status, fields, body)
        if status != 200 or call == "probe" or random.random() >= SHARE:
            await write(writer, data)
            return
        kind = random.choice(KINDS)
        SpoilingEngine.spoilt[kind] += 1
        if kind == "length too small":
            length = random.randrange(1, len(body)) if len(body) > 1 else 0
            self.record(self.name, "spoilt", call=call, id=txn, length=f"{length}_of_{len(body)}")
            await write(writer, encode(status, fields, body, length))
        elif kind == "breaks off":
            writer.write(data[: len(data) // 2])
            writer.close()
        elif kind == "1xx before":
            await write(writer, b"HTTP/1.1 102 X\r\n\r\n" + data)
        else:
            noise = data if kind == "a second copy after" else random.randbytes(40)
            self.record(self.name, "spoilt", call=call, id=txn, kind=kind.replace(" ", "_"))
            await write(writer, data + noise)


def engine(record, name):
    made = SpoilingEngine(name, record, result, lambda text: facts(text)[2])
    made.send = made.send_spoilt if trouble() else made.send_plain
    return made


async def one(record, client, ends, broken):
    """Submit one report and compare its result with the statement's own."""
    txn, run_ms = new_id(), random.randint(80, 300)
    first, count = random.randint(1000, 3000), random.randint(4000, 5200)
    table = f"customs_{random.randint(1, 12)}.declarations"
    text = f"select number, port, state from {table} /* first={first} rows={count} run_ms={run_ms} */"
    how, served = await client.submit("report", txn, text, 12, "mareblu-dogane", run_ms * 3)
    ends[how] = ends.get(how, 0) + 1
    own = "".join(result(text.encode())).encode()
    if how == "served" and served != own:
        why = f"{len(served.splitlines())} rows of {count}, {len(served)} bytes of {len(own)}"
        at = record("client", "WRONG", id=txn, why=why.replace(" ", "_"))
        broken.append(f"at {at:.2f} s report {txn} was served {why}")
    if how in ("closed", "silent"):
        broken.append(f"{txn} got no answer: {how}")


async def case(record):
    """Play the load on one front; returns the breaks."""
    random.seed(2)
    broken, ends, tasks = [], {}, []
    async with Pool(record, catania.settings, lambda name: engine(record, name)) as pool:
        clients = [await Client.open(record, pool.fronts[0].port) for _ in range(4)]
        began = record.now()
        while record.now() < began + SECONDS:
            tasks.append(asyncio.create_task(one(record, random.choice(clients), ends, broken)))
            await asyncio.sleep(random.expovariate(RATE))
        await asyncio.gather(*tasks)
        for client in clients:
            broken += [f"a second answer: {str(answer)[:80]}" for answer in client.surplus]
            client.close()
    record("case", "ends", **ends)
    print(ends, SpoilingEngine.spoilt)
    return broken


run_case(HERE, case)
