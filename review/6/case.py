"""A result page's second copy comes some milliseconds late, while the connection carries the next call."""

import asyncio
import random
from base64 import b64decode

from stage_2.case import Stage, play
from stage_2.engine import Marks

BATCHES, RATE = 2400, 100.0
# Seconds that a look-up runs; the share of the pages that come twice; how late the second copy is at most.
RUN_S, TWICE_SHARE = 0.02, 0.3
LATEST_COPY_S = 0.012
# Seconds in which an engine answers a call for a page.
PAGE_S = (0.001, 0.006)
PAGES, WAIT_MS = 3, 4000


def page_of(txn: str, number: int) -> str:
    """Return the rows of one page of a query: they name it."""
    return "".join(f"{txn}\t{number}\t{row}\n" for row in range(4))


async def run(stage: Stage) -> list[str]:
    """Play the case."""
    chance = random.Random(7)
    await stage.open_engines(["s-alba", "s-bruma", "s-cala"], Marks(25.0), lambda statement: RUN_S)

    def copy_late(data: bytes, writer: asyncio.StreamWriter) -> None:
        if stage.trouble and b"Chunk: " in data and chance.random() < TWICE_SHARE:
            late = chance.uniform(0.001, LATEST_COPY_S)
            asyncio.get_running_loop().call_later(late, again, data, writer)

    def again(data: bytes, writer: asyncio.StreamWriter) -> None:
        if not writer.is_closing():
            stage.record.add("copy", of=data.rpartition(b"\r\n\r\n")[2][:16].decode())
            writer.write(data)

    for engine in stage.engines.values():
        engine.pages, engine.page_of = PAGES, page_of
        engine.page_delay = lambda: chance.uniform(*PAGE_S)
        engine.after_answer = copy_late
    front = stage.front("n0")
    await front.start()
    clients = [await stage.client(f"c{number}", front) for number in range(8)]
    futures, broken = {}, []
    for number in range(BATCHES):
        client, txn = clients[number % len(clients)], stage.new_id()
        text = f"select a, b, c from customs_{number % 40}.declarations"
        futures[txn] = client.submit("lookup", txn, text, WAIT_MS, tenant="acme", cost=RUN_S * 1000)
        await asyncio.sleep(chance.expovariate(RATE))
    await asyncio.wait(futures.values(), timeout=WAIT_MS / 1000 + 1)
    for client in clients:
        for txn, body in client.results.items():
            rows = b64decode(body).decode()
            if rows != "".join(page_of(txn, page) for page in range(PAGES)):
                foreign = sorted({row.split("\t")[0] for row in rows.splitlines()} - {txn})
                stage.record.add("wrong result", txn=txn, rows=rows)
                broken.append(f"{txn} was answered with rows of {foreign or 'other pages'}")
    return broken


if __name__ == "__main__":
    play(__file__, run)
