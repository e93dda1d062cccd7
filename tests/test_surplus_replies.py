"""Replies with more bytes behind them than their length states: a result is served with all its rows."""

import asyncio
import re
from base64 import b64decode
from collections import Counter
from types import SimpleNamespace
from unittest.mock import patch

import pytest
from stage import prepared_stage, short_delays

from thistlelever.carrier.http_engines import MAX_UNUSABLE_REPLIES
from thistlelever.ground.metrics import Metrics
from thistlelever.store.connections import Connection, ConnectionPool
from thistlelever.wire import http

# Five pages of rows of 9 bytes.
RESULT = "".join(f"{number}\ta\t{number % 7}\n" for number in range(1_000, 4_000))
ROW_BYTES = 9
LAST_PAGE = 4
REST_AFTER_S = 0.005
ONE_ROW = b"HTTP/1.1 200 X\r\nChunks: 1\r\nContent-Length: 9\r\n\r\n1000\ta\t6\n"


def cut(data: bytes, row_count: int = 10) -> bytes:
    """State a length that ends behind some rows; the other rows follow it."""
    return re.sub(rb"Content-Length: \d+", b"Content-Length: %d" % (row_count * ROW_BYTES), data)


def copied(data: bytes) -> bytes:
    return data + data


def followed_by_noise(data: bytes) -> bytes:
    return data + bytes(range(128, 168))


def cut_with_a_late_rest(data: bytes) -> tuple[bytes, bytes]:
    """State a length that ends behind some rows; the other rows follow in a piece of their own."""
    data = cut(data)
    end = data.index(b"\r\n\r\n") + 4 + 10 * ROW_BYTES
    return data[:end], data[end:]


def closed_with_a_late_rest(data: bytes) -> tuple[bytes, bytes]:
    """Do so in an answer that says that it is the last one of its connection."""
    head, rest = cut_with_a_late_rest(data)
    return head.replace(b"\r\n", b"\r\nConnection: close\r\n", 1), rest


class AlteredWriter:
    """Passes what an engine writes through a function; a second part is written `REST_AFTER_S` later."""

    def __init__(self, writer, alter):
        self.writer, self.alter = writer, alter

    def write(self, data: bytes) -> None:
        altered = self.alter(data)
        first, rest = altered if isinstance(altered, tuple) else (altered, b"")
        self.writer.write(first)
        if rest:
            asyncio.get_running_loop().call_later(REST_AFTER_S, self.writer.write, rest)

    def __getattr__(self, name: str):
        return getattr(self.writer, name)


def alter_replies(engine, alterations: dict[str, list]) -> Counter:
    """Alter the first replies to each call, by call; returns how many replies to each were written."""
    act, seen = engine.act, Counter()

    async def altered(writer, call, fields, path, body):
        waiting = alterations.get(call, ())
        if seen[call] < len(waiting):
            writer = AlteredWriter(writer, waiting[seen[call]])
        seen[call] += 1
        return await act(writer, call, fields, path, body)

    engine.act = altered
    return seen


async def ask_one(alterations: dict[str, list], group: str = "lookup"):
    """Submit one batch to an engine with altered replies; returns its answer and the calls."""
    lines = [("setup", ["engine", "a"]), ("setup", ["front"])]
    with short_delays():
        async with prepared_stage(lines) as stage:
            engine = stage.engines["a"]
            engine.text = RESULT
            seen = alter_replies(engine, alterations)
            await stage.do_submit(1, group)
            await stage.until(lambda: stage.answers)
            return stage.answers[0], seen


def text_of(answer: dict) -> str:
    """Return the rows of a result."""
    return b64decode(answer["result"]["bytes"]).decode()


@pytest.mark.parametrize("call", ["POST", "GET1", "GET3", f"GET{LAST_PAGE}"])
@pytest.mark.parametrize("times", [1, MAX_UNUSABLE_REPLIES - 1])
def test_a_page_cut_by_its_length_is_fetched_until_it_is_whole(call, times):
    """Guards against a third such reply in one dispatch being served as a whole page."""
    answer, seen = asyncio.run(ask_one({call: [cut] * times}))
    assert text_of(answer) == RESULT
    assert seen[call] == (1 if call == "POST" else times + 1)


def test_harmless_surplus_on_other_pages_does_not_use_up_the_doubts():
    """Guards against doubts that are counted over the whole dispatch: the cut page was served as whole."""
    alterations = {"POST": [followed_by_noise], "GET1": [copied, followed_by_noise], "GET2": [copied]}
    alterations[f"GET{LAST_PAGE}"] = [cut, cut]
    answer, seen = asyncio.run(ask_one(alterations))
    assert text_of(answer) == RESULT
    assert seen[f"GET{LAST_PAGE}"] == len(alterations[f"GET{LAST_PAGE}"]) + 1


@pytest.mark.parametrize("spoil", [cut, copied, followed_by_noise])
def test_a_page_that_never_comes_alone_is_not_served(spoil):
    """Guards against rows that may be missing: the dispatch has no result, and the next one serves."""
    alterations = {"GET2": [spoil] * MAX_UNUSABLE_REPLIES}
    answer, seen = asyncio.run(ask_one(alterations))
    assert text_of(answer) == RESULT
    assert seen["POST"] == 2


@pytest.mark.parametrize("call", ["POST", "GET1", "GET3", f"GET{LAST_PAGE}"])
@pytest.mark.parametrize("spoil", [cut_with_a_late_rest, closed_with_a_late_rest])
@pytest.mark.parametrize("group", ["lookup", "pay"])
def test_a_page_whose_rest_comes_late_is_fetched_again(call, spoil, group):
    """Guards against a look for surplus in the moment alone in which the stated length is there."""
    answer, seen = asyncio.run(ask_one({call: [spoil]}, group))
    assert text_of(answer) == RESULT
    assert seen[call] == (1 if call == "POST" else 2)


@pytest.mark.parametrize("call", ["GET2", f"GET{LAST_PAGE}"])
def test_a_page_whose_rest_always_comes_late_is_not_served(call):
    """Guards against rows that may be missing: the dispatch has no result, and the next one serves."""
    answer, seen = asyncio.run(ask_one({call: [cut_with_a_late_rest] * MAX_UNUSABLE_REPLIES}))
    assert text_of(answer) == RESULT
    assert seen["POST"] == 2


def test_a_page_at_the_end_of_its_connection_is_taken():
    """Guards against the end of a connection being taken for data that follows a page."""
    last = [lambda data: data.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)]
    answer, seen = asyncio.run(ask_one({"POST": last, f"GET{LAST_PAGE}": last}))
    assert text_of(answer) == RESULT
    assert (seen["GET0"], seen[f"GET{LAST_PAGE}"]) == (0, 1)


def test_a_once_only_batch_whose_page_never_comes_alone_is_errored():
    """Guards against a part of a result, and against a second run for the sake of a whole one."""
    answer, seen = asyncio.run(ask_one({"GET2": [cut] * MAX_UNUSABLE_REPLIES}, "pay"))
    assert answer["error"]["code"] == -32000
    assert seen["POST"] == 1


def test_an_empty_page_before_its_rows_is_fetched_again():
    """Guards against a length of 0: the rows behind it are not taken for surplus of an empty result."""
    answer, _ = asyncio.run(ask_one({"POST": [lambda data: cut(data, 0)], "GET0": [followed_by_noise]}))
    assert text_of(answer) == RESULT


async def call_with(on_read, reply: bytes) -> tuple[http.Reply, Connection]:
    """Call a server that has sent `reply`; `on_read(writer, connection)` runs right before it is parsed."""
    accepted = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(lambda _, writer: accepted.set_result(writer), "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    entry = SimpleNamespace(address=address, engine=SimpleNamespace(id=b"a"))
    connection = await ConnectionPool(4, 30.0, 1.0, Metrics()).connect(entry)
    writer, read_reply = await accepted, http.read_reply

    def act_and_read(buffer):
        on_read(writer, connection)
        return read_reply(buffer)

    writer.write(reply)
    with patch.object(http, "read_reply", act_and_read):
        found = await connection.call(b"GET / HTTP/1.1\r\n\r\n", 1.0)
    connection.stream.close()
    writer.close()
    server.close()
    return found, connection


@pytest.mark.parametrize("rest", [b"", b"1001\ta\t0\n"])
def test_rows_that_wait_at_the_socket_are_surplus(rest):
    """Guards against a cut page whose other rows came in a segment of their own and were not read yet."""
    _, connection = asyncio.run(call_with(lambda writer, connection: writer.write(rest), ONE_ROW))
    assert connection.has_surplus == bool(rest)


def test_a_reply_before_the_end_of_its_connection_is_taken():
    """Guards against a look at the socket of a connection that was closed right behind its reply."""
    reply, connection = asyncio.run(call_with(lambda writer, connection: connection.stream.close(), ONE_ROW))
    assert reply.status == 200
    assert not connection.has_surplus
