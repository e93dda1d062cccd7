"""Memory for unfinished lines: half a request of some clients does not cost others theirs."""

import asyncio
import json
from base64 import b64encode
from contextlib import asynccontextmanager

import pytest
from hypothesis import given
from hypothesis import strategies as st
from stage import prepared_stage, short_delays

from thistlelever.carrier import client_session
from thistlelever.store.connection_limits import connection_limits
from thistlelever.store.line_memory import LineAccount, LineMemory
from thistlelever.wire.read_buffer import OutOfMemory, ReadBuffer

LONGEST_LINE, FIRST_SIZE = 262_144, 4_096
HALF_LINE_BYTES, USUAL_STATEMENT_BYTES, LONG_STATEMENT_BYTES = 100_000, 6_000, 100_000


@asynccontextmanager
async def front_with_line_memory(limit: int, connections: int):
    """A front with one engine, and with so many bytes for the unfinished lines of so many connections."""
    with short_delays():
        async with prepared_stage([("setup", ["engine", "a"]), ("setup", ["front"])]) as stage:
            listener = stage.server.client_listener
            listener.line_memory = LineMemory(limit, connections, client_session.MAX_LINE_BYTES)
            yield stage


async def connect(stage):
    connection = await asyncio.open_connection(*stage.writer.get_extra_info("peername"))
    stage.extra_clients.append(connection)
    return connection


def request(stage, number: int, statement_bytes: int) -> bytes:
    statement = b"select a from sales_17.orders -- ".ljust(statement_bytes, b"x")
    return stage.submission(number, "lookup", "wait=8000", "bytes=" + b64encode(statement).decode())


async def answer(reader) -> dict:
    return json.loads(await asyncio.wait_for(reader.readline(), 6.0))


async def send_half_requests(stage, count: int, size: int = HALF_LINE_BYTES) -> list:
    """Send the first part of a long request on so many connections, until the memory for lines is short."""
    crowd = [await connect(stage) for _ in range(count)]
    for _, writer in crowd:
        writer.write(request(stage, 1, HALF_LINE_BYTES)[:size])
        await writer.drain()
    counts = stage.server.metrics.counts
    await stage.poll_until(lambda: counts["lines that waited for memory"] > 0)
    return crowd


def test_half_requests_of_a_crowd_cost_usual_requests_nothing():
    """Guards against a usual request that gets an error and a close over the memory of others (review/6)."""

    async def whole() -> None:
        async with front_with_line_memory(2_000_000, 60) as stage:
            usual = [await connect(stage) for _ in range(10)]
            await send_half_requests(stage, 20)
            await send_half_requests(stage, 30, 5_000)
            for number, (_, writer) in enumerate(usual, 10):
                writer.write(request(stage, number, USUAL_STATEMENT_BYTES))
            for reader, _ in usual:
                assert "result" in await answer(reader)

    asyncio.run(whole())


def test_a_long_request_beside_half_requests_waits_and_is_served():
    """Guards against an error for a request in good form because the memory is with others just now."""

    async def whole() -> None:
        async with front_with_line_memory(1_000_000, 60) as stage:
            crowd = await send_half_requests(stage, 8)
            reader, writer = await connect(stage)
            writer.write(request(stage, 10, LONG_STATEMENT_BYTES))
            for _, half_writer in crowd:
                half_writer.close()
            assert "result" in await answer(reader)

    asyncio.run(whole())


def test_long_requests_of_many_at_once_are_all_served():
    """Guards against connections that each hold a part of a line and wait for each other."""

    async def whole() -> None:
        async with front_with_line_memory(600_000, 400) as stage:
            connections = [await connect(stage) for _ in range(12)]
            lines = [request(stage, number, 190_000) for number in range(10, 22)]
            for line, (_, writer) in zip(lines, connections, strict=True):
                writer.write(line[:HALF_LINE_BYTES])
            counts = stage.server.metrics.counts
            await stage.poll_until(lambda: counts["lines that waited for memory"] > 0)
            for line, (_, writer) in zip(lines, connections, strict=True):
                writer.write(line[HALF_LINE_BYTES:])
            answers = [await answer(reader) for reader, _ in connections]
            assert all("result" in each for each in answers)
            # The clients stay connected, and what comes next is read as before.
            memory = stage.server.client_listener.line_memory
            assert (memory.divided.held, memory.borrower, memory.waiting) == (0, None, {})
            for number, (_, writer) in enumerate(connections, 30):
                writer.write(request(stage, number, 100) + request(stage, number + 20, 5_000)[:3_000])
            assert all(["result" in await answer(reader) for reader, _ in connections])
            for number, (_, writer) in enumerate(connections, 30):
                writer.write(request(stage, number + 20, 5_000)[3_000:])
            assert all(["result" in await answer(reader) for reader, _ in connections])

    asyncio.run(whole())


def test_a_line_that_never_gets_memory_is_ended_with_an_error_in_time():
    """Guards against a client that gets neither a reply nor a close within 3 s."""

    async def whole() -> None:
        async with front_with_line_memory(0, 1) as stage:
            stage.server.client_listener.line_memory.borrower = object()
            reader, writer = await connect(stage)
            writer.write(request(stage, 10, USUAL_STATEMENT_BYTES))
            refused = json.loads(await asyncio.wait_for(reader.readline(), 3.0))
            assert refused["error"]["code"] == -32600
            assert not await asyncio.wait_for(reader.read(), 1.0)

    asyncio.run(whole())


@pytest.mark.parametrize("memory_mb", [64, 192])
def test_a_crowd_on_every_connection_leaves_each_room_for_a_usual_line(memory_mb):
    limits = connection_limits(1_024, memory_mb)
    memory = LineMemory(limits.unfinished_bytes, limits.client_connections, LONGEST_LINE)
    for _ in range(limits.client_connections - 1):
        grow(ReadBuffer(FIRST_SIZE, LONGEST_LINE, LineAccount(memory)))
    usual = ReadBuffer(FIRST_SIZE, LONGEST_LINE, LineAccount(memory))
    usual.advance(len(usual.writable()))
    assert usual.writable()


def grow(buffer: ReadBuffer) -> bool:
    """Fill a buffer as far as its limit allows; returns whether it holds a longest line."""
    try:
        while buffer.end < LONGEST_LINE:
            buffer.advance(len(buffer.writable()))
    except OutOfMemory:
        return False
    return True


@given(st.lists(st.tuples(st.integers(0, 7), st.booleans()), max_size=60), st.integers(262_144, 1_500_000))
def test_what_is_held_stays_in_the_limit_and_one_can_always_go_on(steps, limit):
    """Lines grow by one step or end, in any order; then all go on to their end, whoever waits."""

    async def whole() -> None:
        memory = LineMemory(limit, 8, LONGEST_LINE)
        accounts = [LineAccount(memory) for _ in range(8)]
        buffers = [ReadBuffer(FIRST_SIZE, LONGEST_LINE, account) for account in accounts]
        for index, ends in steps:
            buffer = buffers[index]
            if ends:
                accounts[index].stop_waiting()
                buffer.discard()
                buffer.writable()
            elif buffer.end < LONGEST_LINE:
                try:
                    buffer.advance(len(buffer.writable()))
                except OutOfMemory:
                    await accounts[index].wait(0.0)
            assert sum(len(each.data) - FIRST_SIZE for each in buffers) <= max(limit, LONGEST_LINE)
        unfinished = dict(enumerate(buffers))
        while unfinished:
            done = [index for index, buffer in unfinished.items() if grow(buffer)]
            assert done
            for index in done:
                unfinished.pop(index).release()
        assert memory.divided.held == 0
        assert (memory.borrower, memory.waiting) == (None, {})

    asyncio.run(whole())
