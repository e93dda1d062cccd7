"""Races of input, signals, reloads and engine lists, forced on a whole front with real sockets."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from contextlib import asynccontextmanager, closing, suppress
from pathlib import Path
from types import SimpleNamespace

import pytest
from stage import LONGEST_WAIT, short_delays, prepared_stage

from thistlelever.carrier import client_session, clients, directory
from thistlelever.ground import config as front_config
from thistlelever.lifecycle import run
from thistlelever.standins.http_engine import rows
from thistlelever.standins.configuration import configuration

ROOT = Path(__file__).parents[1]
GOOD_PAGE = b"HTTP/1.1 200 X\r\nChunks: 1\r\nElapsed-Work: 40.2\r\nContent-Length: 6\r\n\r\na\tb\tc\n"


@asynccontextmanager
async def served(script):
    """A front after the steps of the script, one a line."""
    lines = [("setup", line.split()) for line in script.strip().splitlines()]
    with short_delays():
        async with prepared_stage(lines) as stage:
            yield stage


async def play(stage, script):
    for line in script.strip().splitlines():
        await stage.run_step(*line.split())


def moment(script):
    """Decorate a test that gets a stage on which the script was played."""

    def decorated(body):
        def test(monkeypatch):
            async def whole():
                async with served(script) as stage:
                    await body(stage, monkeypatch)

            asyncio.run(whole())

        test.__name__, test.__doc__ = body.__name__, body.__doc__
        return test

    return decorated


async def pace_answers(stage, count):
    """Wait until the directory has received `count` further queries."""
    count += stage.directory.query_count
    await stage.until(lambda: stage.directory.query_count >= count)


# Reloads and lists.


@moment("engine a\nengine b\nfront")
async def test_a_reload_moves_to_a_directory_that_names_drains(stage, monkeypatch):
    """The first answers at the new address are lost; its drain is obeyed within the time for a drain."""
    await stage.do_moves()
    stage.directory.serial = 4
    stage.directory.entries = {"a": (stage.port("a"), False), "b": (stage.port("b"), True)}
    await stage.do_directory("lost", "lost")
    begun = asyncio.get_running_loop().time()
    await play(stage, "sighup reloaded\nlisted a")
    assert asyncio.get_running_loop().time() < begun + 1.5
    await play(
        stage, "submit 1 pay\nanswer 1 result rows\nsubmit 2 pay\nanswer 2 result rows\ncalls b POST 0"
    )


@pytest.mark.parametrize("minutes", (0, 1))
def test_a_way_that_falls_silent_late_is_left_in_time(minutes, monkeypatch):
    """Also after minutes of service, and again on the socket that replaced it."""

    async def whole():
        async with served("engine a\nengine b\nfront") as stage:
            monkeypatch.setattr(directory, "POLL_INTERVAL", 0.005)
            await pace_answers(stage, 200 * minutes + 1)
            for serial, listed in ((4, "a"), (5, "b")):
                await stage.do_deaf_to_asker()
                stage.directory.serial = serial
                stage.directory.entries = {listed: (stage.port(listed), False)}
                begun = asyncio.get_running_loop().time()
                await stage.do_listed(listed)
                assert asyncio.get_running_loop().time() < begun + 1.5

    asyncio.run(whole())


@moment("engine a\nengine b\nfront")
async def test_answers_of_the_directory_that_come_late_are_read(stage, monkeypatch):
    """Each answer comes long after the next query was sent, on a socket that was replaced by then."""
    usual, loop = stage.directory.transport, asyncio.get_running_loop()

    def late(data, address):
        loop.call_later(2 * directory.ANSWER_TIMEOUT, usual.sendto, data, address)

    stage.directory.transport = SimpleNamespace(sendto=late, close=usual.close)
    stage.directory.serial, stage.directory.entries = 4, {"a": (stage.port("a"), False)}
    await stage.do_listed("a")
    # The earlier list is older and must not come back.
    stage.directory.serial, stage.directory.entries = 3, {"a": (stage.port("a"), False), "b": (9, False)}
    await pace_answers(stage, 20)
    await stage.do_listed("a")


@moment("engine a\nengine b\nengine c\nfront\nlist 5 a b\nlisted a b")
async def test_a_list_under_a_serial_that_is_held_or_passed_opens_and_removes_nothing(stage, monkeypatch):
    """A list that differs under an old serial changes nothing: engines that it adds get nothing, none is
    removed. An engine that it does not name as ready gets nothing meanwhile. The next serial is applied."""
    for serial in (5, 4):
        await play(stage, f"list {serial} a c\nlisted a")
        await pace_answers(stage, 10)
        await stage.do_listed("a")
        assert (
            set(stage.server.registry.listed_entries()) == {b"a", b"b"} and stage.server.registry.serial == 5
        )
        await play(stage, "list 5 a b\nlisted a b")
    await play(stage, "list 6 b\nlisted b")


@moment("engine a\nengine b\nfront\nlist 5 a b\nlisted a b")
async def test_one_list_under_an_old_serial_changes_nothing(stage, monkeypatch):
    """A single answer that differs is taken for a late one."""
    stage.directory.former = 4, {"a": (stage.port("a"), False)}
    await stage.do_directory("former")
    asked = stage.directory.query_count
    while stage.directory.query_count < asked + 5:
        await stage.do_listed("a", "b")
        await asyncio.sleep(0.001)


def instance(name, lifecycle="Ready"):
    place = {"instanceId": name, "hostPort": "127.0.0.1:9", "zone": "nord", "machineType": "std"}
    return place | {"lifecycle": lifecycle}


@pytest.mark.parametrize(
    "events, names",
    [
        ([(True, ["a", "b"]), (True, ["c"])], ["c"]),
        ([(False, ["a"]), (False, ["b"])], ["a", "b"]),
        ([(True, ["a"]), (False, ["b"]), (True, ["b", "c"]), (False, ["d"])], ["b", "c", "d"]),
    ],
)
def test_a_whole_list_and_a_change_are_each_taken_for_what_they_are(events, names):
    """A whole list in place of a change, the reverse, and each after the other."""
    told = [
        front_config.ConfigNode({"hosts": {"reset": whole, "instances": [instance(name) for name in listed]}})
        for whole, listed in events
    ]
    assert [e.engine.id.decode() for e in front_config.apply_events(told, ("nord",), ("std",))] == names


def test_a_reload_may_hold_a_whole_list_in_any_event():
    config = configuration([("a", "127.0.0.1:9")])
    config["known"]["entries"].append({"pos": 4, "hosts": {"reset": True, "instances": [instance("b")]}})
    assert [e.engine.id for e in front_config.read(config, {}).known] == [b"b"]


# Shutdown of a front.


async def front_process(config):
    """A front in a process of its own, once it is ready."""
    words, environ = (sys.executable, "-m", "thistlelever", "serve"), os.environ | {"BALANCER_CONFIG": config}
    process = await asyncio.create_subprocess_exec(*words, cwd=ROOT, env=environ, stdout=subprocess.PIPE)
    assert b'"ready"' in await process.stdout.readline()
    return process


def connect(stage, *lines, address=None):
    """Connect a client whose lines are in the socket before the front accepts it."""
    sock = socket.create_connection(address or stage.writer.get_extra_info("peername"))
    for line in lines:
        sock.sendall(line)
    return sock


async def answer_on(sock):
    """Read the next line on a connection; None where it has ended."""
    reader, writer = await asyncio.open_connection(sock=sock)
    with closing(writer):
        line = await asyncio.wait_for(reader.readline(), LONGEST_WAIT)
        return json.loads(line) if line else None


@moment("engine a\nfront")
async def test_sigterm_right_behind_accepts_with_requests_in_the_sockets(stage, monkeypatch):
    """More connections than are accepted in one loop iteration, none accepted before the signal."""
    monkeypatch.setattr(run, "MAX_DRAIN_S", 3.0)
    socks = [connect(stage, stage.submission(100 + n, "lookup")) for n in range(clients.ACCEPTS_PER_TURN + 8)]
    os.kill(os.getpid(), signal.SIGTERM)
    assert all("result" in (answer or ()) for answer in await asyncio.gather(*map(answer_on, socks)))
    await stage.do_stopped()


@moment("engine a\nfront")
async def test_a_connection_that_waits_at_the_port_when_it_is_closed_is_answered(stage, monkeypatch):
    """It arrives in the loop iteration in which the front stops accepting."""
    monkeypatch.setattr(run, "MAX_DRAIN_S", 3.0)
    finish, socks = stage.server.client_listener.finish, []

    def crossing(within):
        socks.append(connect(stage, stage.submission(100, "lookup")))
        return finish(within)

    monkeypatch.setattr(stage.server.client_listener, "finish", crossing)
    await stage.do_sigterm()
    await stage.poll_until(lambda: socks)
    assert "result" in (await answer_on(socks[0]))
    await stage.do_stopped()


@moment("engine a\nfront")
async def test_a_request_in_pieces_across_sigterm_is_answered(stage, monkeypatch):
    """Its last byte comes when everything else is answered."""
    monkeypatch.setattr(run, "MAX_DRAIN_S", 3.0)
    line = stage.submission(1, "lookup")
    stage.writer.write(line[:40])
    await stage.do_sigterm()
    await asyncio.sleep(run.ACCEPT_AFTER_SIGTERM_S + 0.1)
    stage.writer.write(line[40:])
    await play(stage, "answer 1 result rows\nhung_up_in_order\nstopped")


@moment("engine a\nfront")
async def test_half_a_line_does_not_hold_up_the_end_for_good(stage, monkeypatch):
    monkeypatch.setattr(client_session, "SILENT_TIMEOUT_S", 60.0)
    stage.writer.write(b'{"jsonrpc":"2.0",')
    begun = asyncio.get_running_loop().time()
    await play(stage, "sigterm\nhung_up_in_order\nstopped")
    assert asyncio.get_running_loop().time() < begun + LONGEST_WAIT


@moment("engine a\nfront")
async def test_a_front_killed_behind_an_accept_leaves_its_port_to_the_next(stage, monkeypatch):
    """Requests in its sockets get no answer; the next process serves at once."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        address = probe.getsockname()
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(json.dumps(stage.config | {"listen": f"127.0.0.1:{address[1]}"}))
        file.flush()
        for killed in (True, False):
            process = await front_process(file.name)
            # While stopped, its port accepts connections and nothing is read.
            process.send_signal(signal.SIGSTOP if killed else signal.SIGCONT)
            sock = connect(stage, stage.submission(100 + killed, "lookup"), address=address)
            answering = asyncio.create_task(answer_on(sock))
            if not killed:
                assert "result" in (await answering)
            process.kill()
            await process.wait()
            with suppress(ConnectionError):
                assert not killed or await answering is None


# Idle connections.


@moment("engine a\nfront\nsubmit 1 lookup\nanswer 1 result rows")
async def test_a_request_in_pieces_on_a_connection_that_rested(stage, monkeypatch):
    """A connection idle for longer than the partial-line timeout must not be closed over half a request."""
    monkeypatch.setattr(client_session, "SILENT_TIMEOUT_S", 0.3)
    await asyncio.sleep(0.4)
    line = stage.submission(2, "lookup")
    stage.writer.write(line[:40])
    await asyncio.sleep(0.05)
    stage.server.client_listener.sweep()
    await asyncio.sleep(0.05)
    stage.writer.write(line[40:])
    await stage.do_answer(2, "result", "rows")


@moment("engine a\nfront\nsubmit 1 lookup\nanswer 1 result rows\nplaces 1")
async def test_a_rested_connection_with_a_request_on_its_way_makes_no_place(stage, monkeypatch):
    """A new client must not replace a connection whose request is already in its socket."""
    monkeypatch.setattr(client_session, "SILENT_TIMEOUT_S", 0.1)
    await asyncio.sleep(0.2)
    line = stage.submission(2, "lookup")
    stage.writer.write(line[:40])
    await asyncio.sleep(0.02)
    sock = connect(stage, stage.submission(100, "lookup"))
    await asyncio.sleep(0.02)
    stage.writer.write(line[40:])
    await stage.do_answer(2, "result", "rows")
    assert "result" in (await answer_on(sock))


@moment("engine a\nfront\nsubmit 1 lookup\nanswer 1 result rows")
async def test_half_a_line_that_never_ends_is_closed_in_time(stage, monkeypatch):
    monkeypatch.setattr(client_session, "SILENT_TIMEOUT_S", 0.2)
    stage.writer.write(b'{"jsonrpc":"2.0",')
    await asyncio.sleep(0.3)
    stage.server.client_listener.sweep()
    await stage.do_hung_up_in_order()


@moment("settings Limits.Keepalive 100000\nengine a\nfront\nsubmit 1 pay\nanswer 1 result rows")
async def test_an_idle_process_still_answers(stage, monkeypatch):
    """All connections to the engine were closed meanwhile, by either side; then the client comes back."""
    stage.writer.close()
    await asyncio.sleep(2 * run.HOUSEKEEPING_INTERVAL_S)
    await play(stage, "hangs_up a")
    status = b'{"jsonrpc":"2.0","id":7,"method":"status"}\n'
    assert (await answer_on(connect(stage, status)))["result"] == {"ready": True}
    assert "result" in (await answer_on(connect(stage, stage.submission(8, "pay"))))
    await play(stage, "calls a POST 2\ncalls a GET0 0")


# Replies of engines.


def endless(head, piece, pause=0.002):
    """A fake engine's reply that begins and never ends."""

    async def send(writer):
        writer.write(head)
        while not writer.is_closing():
            writer.write(piece)
            await asyncio.sleep(pause)

    return send


ENDLESS = {
    "chunks": endless(
        b"HTTP/1.1 200 X\r\nChunks: 1\r\nTransfer-Encoding: chunked\r\n\r\n", b"6\r\na\tb\tc\n\r\n"
    ),
    "one byte at a time": endless(b"HTTP/1.1 200 X\r\nChunks: 1\r\nContent-Length: 6000\r\n\r\n", b"a"),
    "head": endless(b"HTTP/1.1 200 X\r\n", b"X-More: 1\r\n"),
    "interim answers": endless(b"", b"HTTP/1.1 100 X\r\n\r\n"),
    "all at once": endless(
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", b"fff\r\n" + b"x" * 40_000, 0
    ),
    "trailers": endless(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-More: 1\r\n"),
}


def sends_once(stage, name, call, send):
    """The engine answers one such call with `send` in place of its proper answer, later ones as usual."""
    engine = stage.engines[name]
    usual, used = engine.act, []

    async def act(writer, made, fields, path, body):
        if made != call or used:
            return await usual(writer, made, fields, path, body)
        used.append(made)
        if made == "POST":
            engine.healthy_answer(made, (fields["x-txn"], "", fields["x-lane"]), body)
        await send(writer)
        return False

    engine.act = act


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("call", ("POST", "GET0", "GET1"))
def test_an_answer_that_never_ends_is_asked_for_again(kind, call):
    async def whole():
        async with served("engine a\nfront") as stage:
            if call == "GET0":
                await stage.do_on("a", "POST", "ran", "202")
            if call == "GET1":
                stage.engines["a"].text = "a\tb\tc\n" * 1_200
            sends_once(stage, "a", call, ENDLESS[kind])
            await stage.do_submit(1, "pay")
            await stage.until(lambda: stage.answers)
            assert "result" in stage.answers[0], stage.answers
            await play(stage, "calls a POST 1")
            # The connection with the endless reply is closed.
            await stage.poll_until(lambda: stage.server.connections.count == len(stage.engines["a"].writers))

    asyncio.run(whole())


@moment("engine a\nfront")
async def test_pages_without_end_are_no_result(stage, monkeypatch):
    await play(stage, "on a POST ran 200 Chunks=1000000\nsubmit 1 pay\nanswer 1 result rows\ncalls a GET1 0")


@pytest.mark.parametrize("late", (0.0, 0.003, 0.008, 0.03))
def test_a_second_answer_that_comes_late_is_nobodys(late):
    """A copy of an answer comes `late` seconds later on its connection, while the next request is sent."""

    async def whole():
        async with served("engine a\nfront") as stage:
            copied = []

            async def twice(writer):
                writer.write(GOOD_PAGE)
                await asyncio.sleep(late)
                writer.write(GOOD_PAGE)
                copied.append(writer)
                await asyncio.sleep(LONGEST_WAIT)

            stage.engines["a"].text = rows("a_b_c")
            sends_once(stage, "a", "POST", twice)
            await play(stage, "submit 1 lookup\nanswer 1 result a_b_c")
            stage.engines["a"].text = rows("rows")
            await asyncio.sleep(max(late - 0.015, 0.0))
            await play(stage, "submit 2 lookup\nanswer 2 result rows")
            await stage.poll_until(lambda: copied)

    asyncio.run(whole())
