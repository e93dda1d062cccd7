"""A client that reads a large result slowly, for minutes: the front's memory stays flat, its engine is held
back, and others are served as ever."""

import asyncio
import json
from contextlib import AsyncExitStack

import click
import pyarrow as pa
from grpc import aio

from rigs.verdict import close
from rigs.yard import front
from thistlelever.standins import flight_client
from thistlelever.standins.flight_engine import Engine as FlightEngine
from thistlelever.standins.configuration import SETTINGS
from thistlelever.wire.flight import columns

STATEMENT = "select a from sales_17.orders"
MESSAGE, PACE = 60_000, 0.25
# What memory may rise by between the first and the last quarter of the time.
FLAT_MB = 2.0
OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", 65_536),
)


def settings(seconds):
    told = json.loads(json.dumps(SETTINGS))
    for group in told["Classes"]:
        group["Deadline"] = int((seconds + 60) * 1e6)
    return told


async def slow(channel, seen, seconds):
    """One message each quarter of a second; the end that the client makes itself."""
    info = await flight_client.info(channel, STATEMENT, (("x-group", "lookup"),))
    call = channel.unary_stream(flight_client.SERVICE + "DoGet")(info.endpoint[0].ticket.SerializeToString())
    async with asyncio.timeout(seconds + 30):
        async for raw in call:
            seen.append(len(raw))
            await asyncio.sleep(PACE)
            if len(seen) * PACE >= seconds:
                call.cancel()
                return


async def run(seconds):
    big = FlightEngine(asyncio.Event())
    schema, message = columns.encode_table(pa.table({"c": ["x" * MESSAGE]}))
    usual_result = columns.encode_rows([b"a\tb\tc\n"])
    long = [schema] + [message] * int(seconds / PACE * 2 + 400)
    big.result = lambda statement: long if statement == STATEMENT.encode() else usual_result
    await big.start()
    seen, memory, sent, usual = [], [], [], []
    operator = {"flight": {"listen": "127.0.0.1:0", "engines": ["big"], "tenant": "acme"}}
    async with AsyncExitStack() as stack:
        served = await stack.enter_async_context(front({"big": big}, settings(seconds), operator))
        address = f"127.0.0.1:{served.flight[1]}"
        slowly, other = [
            await stack.enter_async_context(aio.insecure_channel(address, options=OPTIONS)) for _ in range(2)
        ]
        reading = asyncio.create_task(slow(slowly, seen, seconds))
        loop = asyncio.get_running_loop()
        while not reading.done():
            await asyncio.sleep(1)
            memory.append(served.memory_mb())
            sent.append(big.sent - sum(seen))
            begun = loop.time()
            table = await flight_client.query(other, "select a from tiny_3.x", (("x-group", "lookup"),))
            usual.append(loop.time() - begun if table.num_rows == 1 else 1e9)
        await reading
    quarter = max(len(memory) // 4, 1)
    first, last = (sum(part) / len(part) for part in (memory[quarter : 2 * quarter], memory[-quarter:]))
    usual.sort()
    return {
        "seconds": seconds,
        "messages_read": len(seen),
        "bytes_read": sum(seen),
        "memory_mb": {
            "second_quarter": round(first, 2),
            "last_quarter": round(last, 2),
            "most": round(max(memory), 2),
        },
        "most_ahead_bytes": max(sent),
        "others_median_ms": round(usual[len(usual) // 2] * 1e3, 1),
        "others_longest_ms": round(usual[-1] * 1e3, 1),
    }


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="Of no effect: nothing here is drawn.")
@click.option("--seconds", type=click.FloatRange(8), default=600, show_default=True)
def main(seed, seconds):
    """Memory flat while a client reads slowly; its engine never further ahead than the bounds say."""
    figures = asyncio.run(run(seconds))
    memory, broken = figures["memory_mb"], []
    if memory["last_quarter"] - memory["second_quarter"] > FLAT_MB:
        broken.append("memory rises")
    if figures["most_ahead_bytes"] > 3_000_000:
        broken.append("the engine is not held back")
    close("flight_slow", seed, broken, figures)


if __name__ == "__main__":
    main()
