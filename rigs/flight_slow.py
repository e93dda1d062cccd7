"""A client reads a large result slowly, for minutes: the front's memory must stay flat, and backpressure must
reach the engine. Also measures the latency of other clients meanwhile."""

import asyncio
import json
from contextlib import AsyncExitStack

import click
import pyarrow as pa
from grpc import aio

from rigs.front_process import front
from rigs.results import report_and_exit
from thistlelever.standins import flight_client
from thistlelever.standins.flight_engine import Engine as FlightEngine
from thistlelever.standins.configuration import SETTINGS
from thistlelever.wire.flight import columns

STATEMENT = "select a from sales_17.orders"
# The bytes of each message of the large result, and the time between two reads of the slow client.
MESSAGE_BYTES, READ_INTERVAL_S = 60_000, 0.25
# The most growth of memory between the second and the last quarter of the time.
MAX_GROWTH_MB = 2.0
# The most bytes that the engine may have sent and the slow client not yet read.
MAX_AHEAD_BYTES = 3_000_000
OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", 65_536),
)


def settings(seconds):
    """Settings with a deadline past the end of the run."""
    result = json.loads(json.dumps(SETTINGS))
    for query_class in result["Classes"]:
        query_class["Deadline"] = int((seconds + 60) * 1e6)
    return result


async def read_slowly(channel, message_sizes, seconds):
    """Reads one message each `READ_INTERVAL_S`, and cancels the call after `seconds`."""
    info = await flight_client.info(channel, STATEMENT, (("x-group", "lookup"),))
    call = channel.unary_stream(flight_client.SERVICE + "DoGet")(info.endpoint[0].ticket.SerializeToString())
    async with asyncio.timeout(seconds + 30):
        async for raw in call:
            message_sizes.append(len(raw))
            await asyncio.sleep(READ_INTERVAL_S)
            if len(message_sizes) * READ_INTERVAL_S >= seconds:
                call.cancel()
                return


async def run(seconds):
    """Runs the slow client beside a usual one; returns the figures."""
    big = FlightEngine(asyncio.Event())
    schema, message = columns.encode_table(pa.table({"c": ["x" * MESSAGE_BYTES]}))
    small_result = columns.encode_rows([b"a\tb\tc\n"])
    large_result = [schema] + [message] * int(seconds / READ_INTERVAL_S * 2 + 400)
    big.result = lambda statement: large_result if statement == STATEMENT.encode() else small_result
    await big.start()
    message_sizes, memory, ahead, latencies = [], [], [], []
    operator = {"flight": {"listen": "127.0.0.1:0", "engines": ["big"], "tenant": "acme"}}
    async with AsyncExitStack() as stack:
        served = await stack.enter_async_context(front({"big": big}, settings(seconds), operator))
        address = f"127.0.0.1:{served.flight[1]}"
        slow_channel, other_channel = [
            await stack.enter_async_context(aio.insecure_channel(address, options=OPTIONS)) for _ in range(2)
        ]
        reader = asyncio.create_task(read_slowly(slow_channel, message_sizes, seconds))
        loop = asyncio.get_running_loop()
        while not reader.done():
            await asyncio.sleep(1)
            memory.append(served.memory_mb())
            ahead.append(big.sent - sum(message_sizes))
            started = loop.time()
            table = await flight_client.query(
                other_channel, "select a from tiny_3.x", (("x-group", "lookup"),)
            )
            latencies.append(loop.time() - started if table.num_rows == 1 else 1e9)
        await reader
    quarter = max(len(memory) // 4, 1)
    first, last = (sum(part) / len(part) for part in (memory[quarter : 2 * quarter], memory[-quarter:]))
    latencies.sort()
    return {
        "seconds": seconds,
        "messages_read": len(message_sizes),
        "bytes_read": sum(message_sizes),
        "memory_mb": {
            "second_quarter": round(first, 2),
            "last_quarter": round(last, 2),
            "most": round(max(memory), 2),
        },
        "most_ahead_bytes": max(ahead),
        "others_median_ms": round(latencies[len(latencies) // 2] * 1e3, 1),
        "others_longest_ms": round(latencies[-1] * 1e3, 1),
    }


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="Of no effect: nothing here is drawn.")
@click.option("--seconds", type=click.FloatRange(8), default=600, show_default=True)
def main(seed, seconds):
    """Memory flat while a client reads slowly; its engine never further ahead than the bounds say."""
    figures = asyncio.run(run(seconds))
    memory, broken = figures["memory_mb"], []
    if memory["last_quarter"] - memory["second_quarter"] > MAX_GROWTH_MB:
        broken.append("memory rises")
    if figures["most_ahead_bytes"] > MAX_AHEAD_BYTES:
        broken.append("the engine is not held back")
    report_and_exit("flight_slow", seed, broken, figures)


if __name__ == "__main__":
    main()
