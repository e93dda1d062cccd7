"""Clients that send half a request: do usual clients with lines longer than 4 KB keep their answers?"""

import asyncio
import json
from contextlib import suppress

from stage_2.case import Stage, play
from stage_2.engine import Marks
from stage_2.fronts import Client, Front

# Of each crowd: how many clients send so many bytes of a request, without its end, and close after a second.
LARGE, SMALL = (200, 100_000), (60, 5_000)
HALF_OPEN_S, CROWDS, BETWEEN_CROWDS_S = 1.2, 3, 5.0
# The usual clients: how many, how long their long statements are, how long they wait, and when they ask.
USUAL, STATEMENT_BYTES, WAIT_MS = 30, 6_000, 2_000
USUAL_AFTER_S, USUAL_EVERY_S = 0.4, 0.02


async def half_request(front: Front, size: int) -> None:
    """Send half a request at full speed, and close a little later."""
    with suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", front.port)
        line = json.dumps(
            {"jsonrpc": "2.0", "id": 1, "method": "lookup", "params": {"bytes": "A" * 2 * size}}
        )
        writer.write(line[:size].encode())
        with suppress(TimeoutError):
            async with asyncio.timeout(HALF_OPEN_S):
                await reader.read()
        writer.close()


def long_statement(number: int) -> str:
    """Return a usual statement of some thousand bytes: a look-up of many declarations by their numbers."""
    listed = ", ".join(f"{number * 1000 + each:012d}" for each in range(STATEMENT_BYTES // 14))
    return f"select cargo, weight, port from customs_{number % 40}.declarations where id in ({listed})"


async def run(stage: Stage) -> list[str]:
    """Play the case."""
    await stage.open_engines(["s-alba", "s-bruma"], Marks(25.0), lambda statement: 0.05)
    front = stage.front("n0", limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024})
    await front.start()
    asked: list[tuple[str, asyncio.Future]] = []

    def ask(client: Client, statement: str) -> None:
        txn = stage.new_id()
        fields = {"tenant": "acme", "cost": 50.0}
        asked.append((txn, client.submit("lookup", txn, statement, WAIT_MS, **fields)))

    for crowd_number in range(CROWDS):
        # Each connection has been served once before the crowd comes.
        clients = [await stage.client(f"c{crowd_number}.{number}", front) for number in range(USUAL)]
        for number, client in enumerate(clients):
            ask(client, f"select cargo from customs_{number}.declarations")
        await asyncio.sleep(0.5)
        crowd = []
        if stage.trouble:
            stage.record.add("crowd", large=LARGE, small=SMALL)
            crowd = [asyncio.create_task(half_request(front, LARGE[1])) for _ in range(LARGE[0])]
            await asyncio.sleep(0.2)
            crowd += [asyncio.create_task(half_request(front, SMALL[1])) for _ in range(SMALL[0])]
        await asyncio.sleep(USUAL_AFTER_S - 0.2)
        for number, client in enumerate(clients):
            ask(client, long_statement(number))
            await asyncio.sleep(USUAL_EVERY_S)
        await asyncio.gather(*crowd)
        await asyncio.sleep(BETWEEN_CROWDS_S - HALF_OPEN_S)
    await asyncio.sleep(WAIT_MS / 1000 + 0.5)
    broken = []
    for txn, answer in asked:
        if not answer.done() or answer.result() == "connection ended":
            sent = stage.record.all("sent", txn=txn)[0]
            how = answer.result() if answer.done() else "none"
            broken.append(f"{txn} of {sent['client']}, sent at {sent['at']}, got no answer: {how}")
    return broken


if __name__ == "__main__":
    play(__file__, run)
