"""A front is killed and restarted, and its directory once sends an answer from before the restart.

Guards against dispatches to a draining engine, which the old answer still lists as ready. The same case as in
`test_directory_answers.py`, with a front in its own process, SIGKILL, and clients that submit throughout.
"""

import asyncio
import json
from base64 import b64encode

from stage import DRAIN_GRACE, ready_front

from thistlelever.standins.directory import start_directory
from thistlelever.standins.http_engine import Engine
from thistlelever.standins.configuration import configuration

# Seconds: how long clients submit after the old answer, and between two batches.
SUBMITS_AFTER, SUBMIT_INTERVAL = 1.5, 0.02


async def submit(writer, numbers):
    """Submit batches on tables of many groups, until cancelled."""
    for number in numbers:
        statement = b64encode(f"select a from sales_{number % 40}.orders".encode()).decode()
        params = {"id": f"{number:016x}", "wait": 3000, "tenant": "acme", "cost": 50.0, "need_mb": 10}
        call = {"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params | {"bytes": statement}}
        writer.write(json.dumps(call).encode() + b"\n")
        await asyncio.sleep(SUBMIT_INTERVAL)


def posts(engine):
    """The number of dispatches that the engine has received."""
    return sum(verb == "POST" for verb, _, _ in engine.calls)


async def wait_until(condition, timeout=8.0):
    """Poll until the condition holds."""
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_killed_front_that_hears_an_old_answer_sends_nothing_to_a_draining_engine(tmp_path):
    async def scenario():
        stir = asyncio.Event()
        engines = {name: Engine(stir) for name in "ab"}
        for engine in engines.values():
            await engine.start()
        directory, entries = await start_directory(stir, engines)
        known = configuration(entries, dns=f"127.0.0.1:{directory.port}")
        known["known"]["pos"] = directory.serial = 1
        path = tmp_path / "front.json"
        path.write_text(json.dumps(known))
        ready = dict(directory.entries)
        async with ready_front({"BALANCER_CONFIG": str(path)}) as listen:
            # Before its restart the front sees higher serials than afterwards.
            directory.serial, directory.former = 4, (4, ready)
            asked_before = directory.query_count
            await wait_until(lambda: directory.query_count > asked_before + 2)
        directory.serial = 1
        async with ready_front({"BALANCER_CONFIG": str(path)}) as listen:
            _, writer = await asyncio.open_connection(*listen)
            client = asyncio.create_task(submit(writer, range(1, 10_000)))
            await wait_until(lambda: posts(engines["a"]) and posts(engines["b"]))
            directory.serial, directory.entries = 2, ready | {"b": (engines["b"].port, True)}
            await wait_until(lambda: 2 in directory.first_sent)
            await asyncio.sleep(DRAIN_GRACE)
            before, others = posts(engines["b"]), posts(engines["a"])
            directory.steps.append("former")
            await asyncio.sleep(SUBMITS_AFTER)
            assert not directory.steps
            assert posts(engines["b"]) == before
            assert posts(engines["a"]) > others
            client.cancel()
            writer.close()
        directory.transport.close()

    asyncio.run(scenario())
