"""One front among stand-ins on loopback, for whoever has just cloned: no configuration, one batch at once."""

from __future__ import annotations

import asyncio
import json
from base64 import b64decode, b64encode
from contextlib import suppress

from thistlelever.ground import config as front_config
from thistlelever.lifecycle.run import Office
from thistlelever.standins import directory
from thistlelever.standins.http_engine import Engine, rows
from thistlelever.standins.configuration import configuration

STATEMENT = "select cargo, weight, port from customs_17.declarations"
RESULT = rows("olive-oil_120_Porto", "cork_75_Catania", "marble_900_Augusta")


class Yard:
    """A directory and engines, and the front among them."""

    def __init__(self) -> None:
        self.stir, self.engines, self.office = asyncio.Event(), {}, None
        self.running: asyncio.Task | None = None

    async def open(self, flight: bool) -> dict | None:
        """Start all; what the front says of where it listens, or None where it did not start."""
        self.engines = {"s-alba": Engine(self.stir), "s-bruma": Engine(self.stir)}
        operator = None
        if flight:
            from thistlelever.ground.operator import Flight, Operator, Table
            from thistlelever.standins.flight_engine import Engine as FlightEngine

            self.engines |= {"f-cala": FlightEngine(self.stir), "f-duna": FlightEngine(self.stir)}
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
        self.directory, known = await directory.start_directory(self.stir, self.engines)
        told = front_config.read(configuration(known, f"127.0.0.1:{self.directory.port}"), {})
        ready = asyncio.get_running_loop().create_future()

        def log(event, **facts) -> None:
            if event == "ready" and not ready.done():
                ready.set_result(facts)

        self.office = Office(told, log, operator=operator)
        self.running = asyncio.create_task(self.office.run())
        done, _ = await asyncio.wait((ready, self.running), timeout=10, return_when=asyncio.FIRST_COMPLETED)
        return ready.result() if ready in done else None

    async def close(self) -> None:
        self.office.stop.set()
        with suppress(Exception):
            await self.running
        self.directory.transport.close()
        for engine in self.engines.values():
            await engine.stop()


async def play(seconds: float | None, flight: bool, say) -> bool:
    """Start everything, return one batch by each door, and serve until the seconds are over or ^C; whether
    the batches were returned. `say` gets lines of text."""
    yard = Yard()
    try:
        ready = await yard.open(flight)
        if ready is None:
            say("the front did not start")
            return False
        host, port = ready["listen"]
        say(f"directory  127.0.0.1:{yard.directory.port} (DNS over UDP)")
        for name, engine in yard.engines.items():
            speaks = "HTTP/1.1" if isinstance(engine, Engine) else "Flight SQL"
            say(f"engine     127.0.0.1:{engine.port} ({name}, {speaks}, a stand-in)")
        say(f"front      {host}:{port} (JSON-RPC, one message a line)")
        if flight:
            say(f"front      grpc://{host}:{ready['flight'][1]} (Arrow Flight SQL)")
        returned = await one_batch(host, port, say)
        if flight:
            returned &= await one_batch_by_flight(ready["flight"], say)
        if seconds is None:
            say("serving until ^C")
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await asyncio.shield(yard.running)
        return returned
    finally:
        await yard.close()


async def one_batch(host: str, port: int, say) -> bool:
    """Submit a batch as a client would, show the line that did it and what came back."""
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
    say(f"statement  {STATEMENT}")
    if "result" not in answer:
        say(f"answer     {answer.get('error', 'none')}")
        return False
    for row in b64decode(answer["result"]["bytes"]).decode().splitlines():
        say("returned   " + row.replace("\t", "  "))
    again = line.replace("00000000000000a1", "00000000000000a2")
    talk = f"exec 3<>/dev/tcp/{host}/{port}; cat >&3; head -1 <&3"
    say(f"try        echo '{again}' | timeout 3 bash -c '{talk}'")
    return True


async def one_batch_by_flight(address: tuple[str, int], say) -> bool:
    """The same by the other door, as any Flight SQL client would."""
    from grpc import aio

    from thistlelever.standins.flight_client import CallError, query

    async with aio.insecure_channel(f"{address[0]}:{address[1]}") as channel:
        try:
            table = await query(channel, STATEMENT, timeout=5)
        except CallError as why:
            say(f"by Flight  {why}")
            return False
    for row in table.to_pylist():
        say("by Flight  " + "  ".join(map(str, row.values())))
    say(f"try        adbc_driver_flightsql.dbapi.connect('grpc://{address[0]}:{address[1]}').cursor()")
    return True
