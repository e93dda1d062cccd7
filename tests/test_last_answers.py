"""A request that was read gets its answer before the front ends the connection, whatever follows it."""

import asyncio
import json
import socket
from contextlib import asynccontextmanager, suppress

import pytest
from test_moments import served

from thistlelever.carrier import client_session
from thistlelever.carrier.client_output import PAUSE_BYTES
from thistlelever.store.divided_memory import DividedMemory

# Input behind a request for which the front ends the connection.
BAD_LINES = b"no json\n" * client_session.MAX_BAD_LINES
LONG_LINE = b"x" * (client_session.MAX_LINE_BYTES + 100_000)
FLOOD = b"no json\n" + b"x" * 100 + b"\n" + b"{}\n" * client_session.READ_AHEAD_BYTES


@asynccontextmanager
async def held(*numbers):
    """A front whose engine runs these requests and answers them once it is released."""
    async with served("engine a\nfront") as stage:
        await stage.do_holds("a")
        for number in numbers:
            stage.writer.write(stage.submission(number, "lookup"))
        await stage.do_saw("a", "POST")
        yield stage


@pytest.mark.parametrize("behind", [BAD_LINES, LONG_LINE, FLOOD], ids=["bad lines", "too long", "flood"])
@pytest.mark.parametrize("parts", [1, 2])
def test_what_is_open_is_answered_before_a_connection_ends_for_what_came_behind_it(
    behind, parts, monkeypatch
):
    monkeypatch.setattr(client_session, "BAD_LINE_DELAY_S", 0.001)

    async def whole():
        async with held(*range(1, parts + 1)) as stage:
            stage.writer.write(behind)
            # Long enough for the front to read as much of it as it accepts.
            await asyncio.sleep(0.3)
            stage.engines["a"].released.set()
            for number in range(1, parts + 1):
                await stage.do_answer(str(number), "result", "rows")
            await stage.do_hung_up()
            # Nothing after the bad input is dispatched.
            assert len([call for call, _, _ in stage.engines["a"].calls if call == "POST"]) == parts

    asyncio.run(whole())


def test_nothing_is_taken_behind_what_ends_a_connection():
    async def whole():
        async with held(1) as stage:
            stage.writer.write(LONG_LINE + b"\n" + stage.submission(2, "lookup"))
            await asyncio.sleep(0.3)
            stage.engines["a"].released.set()
            await stage.do_answer("1", "result", "rows")
            await stage.do_hung_up()
            await stage.do_no_answer("2")
            await stage.do_calls("a", "POST", "1")

    asyncio.run(whole())


def test_a_client_that_leaves_is_not_waited_for_by_a_connection_that_is_to_end():
    async def whole():
        async with held(1) as stage:
            stage.writer.write(BAD_LINES)
            await stage.do_counted("clients", "that", "send", "nothing", "of", "use")
            await stage.do_client_leaves()
            await stage.until(lambda: not stage.server.client_listener.sessions)
            stage.engines["a"].released.set()

    asyncio.run(whole())


def test_a_request_past_the_most_open_gets_an_error_and_the_others_their_results():
    async def whole():
        async with served("engine a\nfront") as stage:
            await stage.do_holds("a")
            for number in range(1, client_session.MAX_OPEN_REQUESTS + 2):
                stage.writer.write(stage.submission(number, "lookup"))
            await stage.do_answer(
                str(client_session.MAX_OPEN_REQUESTS + 1), "error", "-32600", "open requests"
            )
            stage.engines["a"].released.set()
            for number in range(1, client_session.MAX_OPEN_REQUESTS + 1):
                await stage.do_answer(str(number), "result", "rows")

    asyncio.run(whole())


def test_a_request_whose_course_fails_in_this_code_gets_an_error(monkeypatch):
    async def whole():
        async with served("engine a\nfront") as stage:

            def fails(*args):
                raise RuntimeError("a fault of this code")

            monkeypatch.setattr(stage.server.dispatcher, "start", fails)
            stage.writer.write(stage.submission(1, "pay"))
            await stage.until(lambda: stage.answers)
            assert "error" in stage.answers[0] and stage.answers[0]["id"] == 1
            assert any(event == "course failed" for event, _ in stage.events)
            # The stage fails at its end if any component logged a failure.
            stage.events.clear()

    asyncio.run(whole())


def test_a_client_that_takes_no_answers_is_left_and_others_are_served():
    async def whole():
        async with served("engine a\nfront") as stage:
            client_listener = stage.server.client_listener
            client_listener.unread_memory = DividedMemory(10, 1)
            reading, left = await connect_reader_of_little(stage)
            stage.engines["a"].text = rows_of(40_000)
            for number in range(1, client_session.MAX_OPEN_REQUESTS + 1):
                left.write(stage.submission(number, "lookup"))
            await stage.do_counted("clients", "that", "do", "not", "read")
            # The others are not even short of memory, as they take their answers at once.
            await stage.do_submit(2, "lookup")
            await stage.until(lambda: stage.answers)
            assert "result" in stage.answers[0]
            # The end of the connection is behind what it had taken.
            with suppress(ConnectionError):
                while await asyncio.wait_for(reading.read(65_536), 3.0):
                    pass

    asyncio.run(whole())


async def connect_reader_of_little(stage):
    """Connect a client whose connection takes little while it does not read."""
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    raw.setblocking(False)
    listener = stage.server.client_listener
    before = set(listener.sessions)
    await asyncio.get_running_loop().sock_connect(raw, stage.writer.get_extra_info("peername"))
    await stage.poll_until(lambda: set(listener.sessions) - before)
    (session,) = set(listener.sessions) - before
    session.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    connection = await asyncio.open_connection(sock=raw, limit=1_024)
    stage.extra_clients.append(connection)
    return connection


def rows_of(size: int) -> str:
    return "".join(f"{number:06}\ta\tb\n" for number in range(size // 11))


def status_calls(numbers: range) -> bytes:
    """Calls that open no batch, under the given numbers."""
    return b"".join(b'{"jsonrpc":"2.0","id":%d,"method":"status"}\n' % number for number in numbers)


def test_a_client_that_does_not_read_is_not_read_from_and_loses_nothing():
    """Guards against memory that grows with the unread answers to small calls until the process is killed."""

    async def whole():
        async with served("engine a\nfront") as stage:
            reader, writer = await connect_reader_of_little(stage)
            count, handled = 30_000, stage.server.metrics.counts
            writer.write(status_calls(range(1, count + 1)))
            await stage.do_counted("clients paused until they read")
            memory = stage.server.client_listener.unread_memory
            assert memory.held < 2 * PAUSE_BYTES
            # Another client is served beside it.
            await stage.do_submit(1, "lookup")
            await stage.until(lambda: stage.answers)
            assert "result" in stage.answers[0]
            assert memory.held < 2 * PAUSE_BYTES
            for number in range(1, count + 1):
                answer = json.loads(await asyncio.wait_for(reader.readline(), 3.0))
                assert answer == {"jsonrpc": "2.0", "id": number, "result": {"ready": True}}
            assert not handled["clients that do not read"]
            await stage.poll_until(lambda: not memory.held)

    asyncio.run(whole())


def test_what_a_client_leaves_unread_is_given_back_when_it_leaves():
    """Guards against a share that stays taken, and against batches that begin for a client that has left."""

    async def whole():
        async with served("engine a\nfront") as stage:
            reader, writer = await connect_reader_of_little(stage)
            writer.write(status_calls(range(1, 30_001)) + stage.submission(40_000, "lookup"))
            await stage.do_counted("clients paused until they read")
            writer.transport.abort()
            await stage.poll_until(lambda: len(stage.server.client_listener.sessions) == 1)
            assert not stage.server.client_listener.unread_memory.held
            assert not stage.server.metrics.counts["taken"]

    asyncio.run(whole())


@pytest.mark.parametrize("ended", ["write_eof", "close"])
def test_nothing_begins_for_a_client_that_has_closed_one_way_or_both(ended):
    async def whole():
        async with served("engine a\nfront") as stage:
            await stage.do_directory(*["lost"] * 99)
            await stage.do_holds("a")
            stage.writer.write(stage.submission(1, "lookup"))
            await stage.do_saw("a", "POST")
            for number in range(2, 20):
                stage.writer.write(stage.submission(number, "lookup"))
            await stage.writer.drain()
            getattr(stage.writer, ended)()
            await asyncio.sleep(0.1)
            begun = len(stage.engines["a"].calls)
            stage.engines["a"].released.set()
            await asyncio.sleep(0.3)
            posts = [call for call, _, _ in stage.engines["a"].calls[begun:] if call == "POST"]
            assert not posts

    asyncio.run(whole())
