"""A demonstration without configuration: one front on loopback among fake engines and a fake directory."""

from __future__ import annotations

import asyncio
import json
from base64 import b64decode, b64encode
from contextlib import suppress

from thistlelever.ground import config as front_config
from thistlelever.lifecycle.run import FrontServer
from thistlelever.standins import directory
from thistlelever.standins.http_engine import Engine, rows
from thistlelever.standins.configuration import configuration

STATEMENT = "select cargo, weight, port from customs_17.declarations"
RESULT = rows("olive-oil_120_Porto", "cork_75_Catania", "marble_900_Augusta")


class DemoPool:
    """A fake directory, fake engines, and a front."""

    def __init__(self) -> None:
        """Starts nothing: `open` does."""
        self.activity, self.engines, self.server = asyncio.Event(), {}, None
        self.running: asyncio.Task | None = None

    async def open(self, flight: bool) -> dict | None:
        """Start everything. Returns the fields of the front's log event `ready`, or None where the front did
        not start within 10 s."""
        self.engines = {"s-alba": Engine(self.activity), "s-bruma": Engine(self.activity)}
        operator = None
        if flight:
            from thistlelever.ground.operator import Flight, Operator, Table
            from thistlelever.standins.flight_engine import Engine as FlightEngine

            self.engines |= {"f-cala": FlightEngine(self.activity), "f-duna": FlightEngine(self.activity)}
            operator = Operator(
                flight=Flight(
                    listen="127.0.0.1:0",
                    engines=("f-cala", "f-duna"),
                    group="lookup",
                    tenant="acme",
                    tables=(Table("customs_17", "declarations"),),
                )
            )
        for engine in self.engines.values():
            engine.text = RESULT
            await engine.start()
        self.directory, known = await directory.start_directory(self.activity, self.engines)
        config = front_config.read(configuration(known, f"127.0.0.1:{self.directory.port}"), {})
        ready = asyncio.get_running_loop().create_future()

        def log(event, **fields) -> None:
            if event == "ready" and not ready.done():
                ready.set_result(fields)

        self.server = FrontServer(config, log, operator=operator)
        self.running = asyncio.create_task(self.server.run())
        done, _ = await asyncio.wait((ready, self.running), timeout=10, return_when=asyncio.FIRST_COMPLETED)
        return ready.result() if ready in done else None

    async def close(self) -> None:
        """Stop everything."""
        self.server.stop.set()
        with suppress(Exception):
            await self.running
        self.directory.transport.close()
        for engine in self.engines.values():
            await engine.stop()


async def run(seconds: float | None, flight: bool, echo) -> bool:
    """Start everything, run one batch by each protocol, and serve until the seconds are over or ^C.

    Prints by `echo`, one line a call. Returns whether the batches had results.
    """
    pool = DemoPool()
    try:
        ready = await pool.open(flight)
        if ready is None:
            echo("the front did not start")
            return False
        host, port = ready["listen"]
        echo(f"directory  127.0.0.1:{pool.directory.port} (DNS over UDP)")
        for name, engine in pool.engines.items():
            protocol = "HTTP/1.1" if isinstance(engine, Engine) else "Flight SQL"
            echo(f"engine     127.0.0.1:{engine.port} ({name}, {protocol}, a stand-in)")
        echo(f"front      {host}:{port} (JSON-RPC, one message a line)")
        if flight:
            echo(f"front      grpc://{host}:{ready['flight'][1]} (Arrow Flight SQL)")
        returned = await submit_batch(host, port, echo)
        if flight:
            returned &= await submit_flight_batch(ready["flight"], echo)
        if seconds is None:
            echo("serving until ^C")
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await asyncio.shield(pool.running)
        return returned
    finally:
        await pool.close()


async def submit_batch(host: str, port: int, echo) -> bool:
    """Submit a batch as a client would, and print its result and a shell command that does the same.

    Returns whether it had a result.
    """
    params = {
        "id": "00000000000000a1",
        "wait": 3000,
        "tenant": "acme",
        "bytes": b64encode(STATEMENT.encode()).decode(),
    }
    line = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "lookup", "params": params})
    reader, writer = await asyncio.open_connection(host, port, limit=2**20)
    writer.write(line.encode() + b"\n")
    try:
        async with asyncio.timeout(5):
            answer = json.loads(await reader.readline() or b"{}")
    except TimeoutError:
        answer = {}
    writer.close()
    echo(f"statement  {STATEMENT}")
    if "result" not in answer:
        echo(f"answer     {answer.get('error', 'none')}")
        return False
    for row in b64decode(answer["result"]["bytes"]).decode().splitlines():
        echo("returned   " + row.replace("\t", "  "))
    next_line = line.replace("00000000000000a1", "00000000000000a2")
    command = f"exec 3<>/dev/tcp/{host}/{port}; cat >&3; head -1 <&3"
    echo(f"try        echo '{next_line}' | timeout 3 bash -c '{command}'")
    return True


async def submit_flight_batch(address: tuple[str, int], echo) -> bool:
    """The same by Flight SQL, with a client of that protocol."""
    from grpc import aio

    from thistlelever.standins.flight_client import CallError, query

    async with aio.insecure_channel(f"{address[0]}:{address[1]}") as channel:
        try:
            table = await query(channel, STATEMENT, timeout=5)
        except CallError as error:
            echo(f"by Flight  {error}")
            return False
    for row in table.to_pylist():
        echo("by Flight  " + "  ".join(map(str, row.values())))
    echo(f"try        adbc_driver_flightsql.dbapi.connect('grpc://{address[0]}:{address[1]}').cursor()")
    return True
