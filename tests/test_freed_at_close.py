"""What has ended is freed at once: the limits on memory count it as given back from then on."""

import asyncio
import gc
from contextlib import asynccontextmanager, suppress

import pytest
from stage import prepared_stage, short_delays

from thistlelever.carrier.client_session import ClientSession
from thistlelever.store.batches import Batch
from thistlelever.store.connections import Connection
from thistlelever.store.stream import Stream
from thistlelever.wire.read_buffer import ReadBuffer

HELD_TYPES = (ClientSession, Batch, Connection, Stream, ReadBuffer)


def held():
    """The objects alive that hold memory which a limit accounts for."""
    return [each for each in gc.get_objects() if type(each) in HELD_TYPES]


@asynccontextmanager
async def front_without_collector():
    with short_delays():
        async with prepared_stage([("setup", ["engine", "a"]), ("setup", ["front"])]) as stage:
            gc.collect()
            gc.disable()
            try:
                yield stage
            finally:
                gc.enable()


async def connect(stage):
    return await asyncio.open_connection(*stage.writer.get_extra_info("peername"))


async def assert_all_freed(stage, before):
    known = {id(each) for each in before}
    sessions = stage.server.client_listener.sessions
    await stage.poll_until(lambda: len(sessions) <= 1)
    await asyncio.sleep(0.3)
    left = [type(each).__name__ for each in held() if id(each) not in known]
    assert not left


CLIENT_DATA = {
    "silent": lambda request: b"",
    "half a line": lambda request: request[:100],
    "half a long line": lambda request: request + b"x" * 100_000,
    "whole": lambda request: request,
    "no JSON": lambda request: b"{\n" + request[:50],
}


@pytest.mark.parametrize("who_closes", ["client", "front"])
@pytest.mark.parametrize("what", CLIENT_DATA)
def test_a_closed_client_connection_is_freed_without_the_garbage_collector(what, who_closes):
    async def whole() -> None:
        async with front_without_collector() as stage:
            before = held()
            reader, writer = await connect(stage)
            writer.write(CLIENT_DATA[what](stage.submission(1, "lookup")))
            await writer.drain()
            await asyncio.sleep(0.1)
            if who_closes == "front":
                next(reversed(stage.server.client_listener.sessions)).end()
                with suppress(ConnectionError):
                    await asyncio.wait_for(reader.read(), 3.0)
            writer.close()
            # The connection to the engine stays open for the next call.
            stage.server.forget(b"a")
            await assert_all_freed(stage, before)

    asyncio.run(whole())


def test_a_batch_whose_client_has_left_is_freed_without_the_garbage_collector():
    async def whole() -> None:
        async with front_without_collector() as stage:
            before = held()
            stage.engines["a"].holds_posts = True
            _, writer = await connect(stage)
            writer.write(stage.submission(1, "lookup"))
            await stage.do_posted("a", 1)
            writer.close()
            await stage.poll_until(lambda: not stage.server.batch_tasks.tasks)
            stage.engines["a"].released.set()
            await asyncio.sleep(0.5)
            stage.server.forget(b"a")
            await assert_all_freed(stage, before)

    asyncio.run(whole())


@pytest.mark.parametrize(
    "step", [("reset",), ("silent",), ("raw", "no_HTTP\\r\\n\\r\\n")], ids=lambda s: s[0]
)
def test_a_failed_call_to_an_engine_is_freed_without_the_garbage_collector(step):
    async def whole() -> None:
        async with front_without_collector() as stage:
            before = held()
            await stage.do_on("a", "POST", *step)
            reader, writer = await connect(stage)
            writer.write(stage.submission(1, "lookup"))
            await asyncio.wait_for(reader.readline(), 6.0)
            writer.close()
            await asyncio.sleep(0.5)
            stage.server.forget(b"a")
            await assert_all_freed(stage, before)

    asyncio.run(whole())


def test_a_dispatch_to_an_engine_that_is_gone_is_freed_without_the_garbage_collector():
    async def whole() -> None:
        async with front_without_collector() as stage:
            before = held()
            await stage.do_dead("a")
            reader, writer = await connect(stage)
            writer.write(stage.submission(1, "lookup", "wait=600"))
            await asyncio.wait_for(reader.readline(), 6.0)
            writer.close()
            await assert_all_freed(stage, before)

    asyncio.run(whole())


def test_withdrawn_batches_are_freed_without_the_garbage_collector():
    async def whole() -> None:
        async with front_without_collector() as stage:
            before = held()
            stage.engines["a"].holds_posts = True
            _, writer = await connect(stage)
            for number in range(1, 33):
                writer.write(stage.submission(number, "lookup"))
            await stage.do_posted("a", 5)
            for number in range(1, 33):
                params = b'"params":{"id":"%016x"}' % number
                writer.write(b'{"jsonrpc":"2.0","method":"withdraw",%b}\n' % params)
            await stage.poll_until(lambda: not stage.server.batch_tasks.tasks)
            writer.close()
            stage.engines["a"].released.set()
            await asyncio.sleep(0.5)
            stage.server.forget(b"a")
            await assert_all_freed(stage, before)

    asyncio.run(whole())
