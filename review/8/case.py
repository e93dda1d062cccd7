"""A referenced batch whose front is killed, taken up by a front that holds it in its team's queue."""

import asyncio
import socket

from stage_2.case import Stage, play
from stage_2.engine import Marks
from stage_2.fronts import free_ports

FRONTS, TRIES = 3, 3
# Seconds: how long engines drop repeats; the time limit; how long the statements run.
WINDOW_S, DEADLINE_S = 5.0, 12.0
LOAD_S, HEAVY_S = 1.0, 4.0
# Seconds after the batch was sent: the kill; the client's retry, which is inside the window.
KILL_AT_S, RETRY_AT_S = 0.4, 2.0


def duration(statement: bytes) -> float:
    """Return how long a statement runs, in seconds."""
    return LOAD_S if statement.startswith(b"insert") else HEAVY_S


def second_runs(stage: Stage) -> list[str]:
    """Return each mark that ran more than once."""
    record, broken = stage.record, []
    for mark in sorted({line["mark"] for line in record.all("run") if line["mark"]}):
        runs = record.all("run", mark=mark)
        if len(runs) > 1:
            where = ", ".join(f"{run['engine']} at {run['at']}" for run in runs)
            tries = ", ".join(f"{s['front']} at {s['at']}" for s in record.all("sent", once=mark))
            broken.append(f"mark {mark} ran {len(runs)} times: {where}; tries of the client: {tries}")
    return broken


async def run(stage: Stage) -> list[str]:
    """Play the case."""
    settings = stage.settings
    settings["Balancers"] = FRONTS
    for group in settings["Classes"]:
        group |= {"Deadline": int(DEADLINE_S * 1e6), "Slo": 8_000_000, "Window": int(WINDOW_S * 1e6)}
    await stage.open_engines(["s-alba", "s-bruma"], Marks(WINDOW_S), duration)
    peers = [f"127.0.0.1:{port}" for port in free_ports(FRONTS, socket.SOCK_DGRAM)]
    budgets = {"brokers": {"rosso": {"teams": {"acme": {"ceiling": 0.1}}}}}
    operator = {"membership": {"tier": "catania"}, "takeover": {}, "budgets": budgets}
    fronts = [
        stage.front(f"n{rank}", operator, peer_listen=peers[rank], peers=peers, seed=f"{rank + 17:x}")
        for rank in range(FRONTS)
    ]
    await asyncio.gather(*(front.start() for front in fronts))
    await asyncio.sleep(3.0)
    first = await stage.client("c0", fronts[0])
    marks = [stage.new_id(32) for _ in range(TRIES)]
    load = {"tenant": "acme", "cost": LOAD_S * 1000}

    def submit(client, mark: str, number: int, wait_s: float, **more):
        statement = f"insert into customs_{number + 1}.declarations values (1, 2, 3)"
        return client.submit("load", stage.new_id(), statement, wait_s * 1000, once=mark, **load, **more)

    futures = [submit(first, marks[0], 0, DEADLINE_S - 2)]
    await asyncio.sleep(KILL_AT_S)
    if stage.trouble:
        await fronts[0].kill()
    await asyncio.sleep(RETRY_AT_S - KILL_AT_S - 0.3)
    second = await stage.client("c1", fronts[1])
    for number in range(4):
        text = f"select a, b, c from customs_{number + 30}.declarations"
        fields = {"tenant": "acme", "cost": HEAVY_S * 1000}
        futures.append(second.submit("lookup", stage.new_id(), text, (DEADLINE_S - 2) * 1000, **fields))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.1)
    if await_answer(futures[0]):
        futures.append(submit(second, marks[0], 0, DEADLINE_S - RETRY_AT_S, retry=1))
    await asyncio.wait(futures, timeout=DEADLINE_S + 1)
    return second_runs(stage)


def await_answer(future: asyncio.Future) -> bool:
    """Whether the first try had no result, so that the client asks again."""
    return not future.done() or future.result() != "returned"


if __name__ == "__main__":
    play(__file__, run)
