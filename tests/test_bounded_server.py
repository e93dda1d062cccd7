"""Bounds on requests to a distributor: half bodies, long heads and many connections cost others nothing."""

import asyncio
from contextlib import suppress

import pytest
from distributor_stage import HOST, engine, tier

from thistlelever.distributor import bounded_server
from thistlelever.distributor.bounded_server import MAX_HEAD_BYTES
from thistlelever.distributor.config import ConfigError, read
from thistlelever.distributor.handlers import PUBLISH_PATH

LIMITS = {"publish_body_mb": 0.5, "request_memory_mb": 2.0, "connections": 40}
# The body of a half request, and how much of it is sent.
STATED_BYTES, SENT_BYTES = 400_000, 300_000


def head(path: str, length: int) -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (path.encode(), length)


async def send(stage, data: bytes):
    reader, writer = await asyncio.open_connection(HOST, stage.ports[0])
    writer.write(data)
    return reader, writer


async def status_line(reader) -> bytes:
    """Return the first line of what comes until the connection ends."""
    with suppress(ConnectionError):
        return (await asyncio.wait_for(reader.read(), 5.0)).split(b"\r\n")[0]
    return b""


def play(scenario) -> None:
    """Run a scenario with one distributor that holds three engines."""

    async def whole() -> None:
        async with tier(1, engines=3, **LIMITS) as stage:
            await asyncio.wait_for(scenario(stage, stage.running[0]), 20.0)

    asyncio.run(whole())


@pytest.mark.parametrize("path, length", [(PUBLISH_PATH, 90_000_000), ("/v1/watch", 70_000)])
def test_a_body_that_is_said_to_be_too_long_is_refused_before_it_comes(path, length):
    """Guards against memory for 100 MB a connection, whatever the route."""

    async def scenario(stage, distributor) -> None:
        reader, _ = await send(stage, head(path, length))
        assert await status_line(reader) == b"HTTP/1.1 413 Request Entity Too Large"
        assert distributor.counts["requests refused: 413"] == 1

    play(scenario)


def test_a_chunked_body_that_becomes_too_long_is_refused():
    """Guards against a body without a stated length that has no end."""

    async def scenario(stage, distributor) -> None:
        chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        start = b"POST /v1/watch HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        await send(stage, start + 2 * chunk)
        await stage.until(lambda: distributor.counts["requests refused: 413"] == 1)
        assert distributor.server.held_by_all == 0

    play(scenario)


def test_half_bodies_stay_in_the_memory_for_them_and_others_are_served():
    """Guards against half requests of a crowd that take all memory (40 to 625 MB by 300 of 2 MB)."""

    async def scenario(stage, distributor) -> None:
        crowd = [await send(stage, head(PUBLISH_PATH, STATED_BYTES) + b" " * SENT_BYTES) for _ in range(20)]
        await stage.until(lambda: distributor.counts["requests refused: 503"] > 0)
        assert distributor.server.held_by_all <= LIMITS["request_memory_mb"] * 1e6
        status, answer = await stage.call(0, "GET", "/v1/status")
        assert (status, answer["engines"]) == (200, 3)
        for _, writer in crowd:
            writer.close()
        await stage.until(lambda: distributor.server.held_by_all == 0)
        await stage.publish(upserts=[engine(7)])
        await stage.until(lambda: distributor.server.held_by_all == 0)

    play(scenario)


def test_a_body_that_does_not_come_whole_in_time_ends_its_connection(monkeypatch):
    """Guards against memory that is held for as long as a client stays connected."""
    monkeypatch.setattr(bounded_server, "BODY_TIMEOUT_S", 0.2)

    async def scenario(stage, distributor) -> None:
        reader, _ = await send(stage, head(PUBLISH_PATH, STATED_BYTES) + b" " * SENT_BYTES)
        assert await status_line(reader) == b"HTTP/1.1 408 Request Timeout"
        assert distributor.counts["requests refused: 408"] == 1
        await stage.until(lambda: distributor.server.held_by_all == 0)

    play(scenario)


@pytest.mark.parametrize(
    "fields", [b"a: b\r\n" * MAX_HEAD_BYTES, b"a" * 2 * MAX_HEAD_BYTES], ids=["many", "one"]
)
def test_a_head_that_is_too_long_ends_its_connection(fields):
    """Guards against heads of very many short fields, and of one that has no end."""

    async def scenario(stage, distributor) -> None:
        reader, _ = await send(stage, b"GET /v1/status HTTP/1.1\r\n" + fields)
        assert not await status_line(reader)
        assert (await stage.call(0, "GET", "/v1/status"))[0] == 200

    play(scenario)


def test_connections_past_the_bound_are_closed_and_those_that_end_make_room():
    """Guards against a crowd of silent connections that takes all descriptors."""

    async def scenario(stage, distributor) -> None:
        crowd = [await send(stage, b"") for _ in range(LIMITS["connections"] + 5)]
        await stage.until(lambda: distributor.counts["connections refused"] >= 5)
        for _, writer in crowd:
            writer.close()
        await stage.until(lambda: distributor.server.connection_count <= 1)
        assert (await stage.call(0, "GET", "/v1/status"))[0] == 200

    play(scenario)


def test_a_memory_that_holds_no_change_of_the_largest_size_is_refused():
    text = (
        b'{"name":"a","index":0,"listen":"127.0.0.1:1","distributors":["127.0.0.1:1"],"subset":{"fronts":1},'
    )
    with pytest.raises(ConfigError, match="request_memory_mb"):
        read(text + b'"publish_body_mb":8,"request_memory_mb":15}')
