"""A real front, killed and started again beside a directory that answers once as before the restart.

The story is that of `test_directory_answers.py`; here it is played by a process of its own that is ended by
SIGKILL, with clients that go on asking all the while.
"""

import asyncio
import json
from base64 import b64encode

from stage import DRAIN_GRACE, ready_front

from thistlelever.standins.directory import start_directory
from thistlelever.standins.http_engine import Engine
from thistlelever.standins.configuration import configuration

# How long clients go on after the old answer, and their pace.
GOES_ON, CLIENT_PACE = 1.5, 0.02


async def submit(writer, numbers):
    """Queries on tables of many groups, until it is cancelled."""
    for number in numbers:
        statement = b64encode(f"select a from sales_{number % 40}.orders".encode()).decode()
        params = {"id": f"{number:016x}", "wait": 3000, "tenant": "acme", "cost": 50.0, "need_mb": 10}
        call = {"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params | {"bytes": statement}}
        writer.write(json.dumps(call).encode() + b"\n")
        await asyncio.sleep(CLIENT_PACE)


def posts(engine):
    """How many dispatches have come to the engine."""
    return sum(verb == "POST" for verb, _, _ in engine.calls)


async def looked(holds, within=8.0):
    """Looks until it holds."""
    async with asyncio.timeout(within):
        while not holds():
            await asyncio.sleep(0.01)


def test_a_killed_front_that_hears_an_old_answer_sends_nothing_to_a_draining_engine(tmp_path):
    async def whole():
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
            # In its first life the front has heard of more lists than it will have in its second.
            directory.serial, directory.former = 4, (4, ready)
            heard = directory.query_count
            await looked(lambda: directory.query_count > heard + 2)
        directory.serial = 1
        async with ready_front({"BALANCER_CONFIG": str(path)}) as listen:
            _, writer = await asyncio.open_connection(*listen)
            client = asyncio.create_task(submit(writer, range(1, 10_000)))
            await looked(lambda: posts(engines["a"]) and posts(engines["b"]))
            directory.serial, directory.entries = 2, ready | {"b": (engines["b"].port, True)}
            await looked(lambda: 2 in directory.first_sent)
            await asyncio.sleep(DRAIN_GRACE)
            before, others = posts(engines["b"]), posts(engines["a"])
            directory.steps.append("former")
            await asyncio.sleep(GOES_ON)
            assert not directory.steps
            assert posts(engines["b"]) == before
            assert posts(engines["a"]) > others
            client.cancel()
            writer.close()
        directory.transport.close()

    asyncio.run(whole())
