"""Port conflicts, failed starts of fronts, and clients that send too late.

A port chosen at 127.0.0.1 can be taken by any process, also for an outgoing connection, before the front
binds it. The front then exits with `Address already in use` while the rig waits until its timeout of 20 s.
This ended three of 24 runs of `rigs.membership`, eight at a time, and `rigs.takeover --seed 6002`, six
rigs at a time.

A front closes a client that has sent nothing for 1.5 s. When the event loop of the rig lagged by up to 1.8 s,
requests left 1.55 to 2.66 s after the connection was established and got no answer: in 9 of 24 runs of
`rigs.takeover`, twelve at a time beside eight busy processes.
"""

import asyncio
import socket

import pytest

from rigs.fleet import Fleet, NotStartedError
from rigs.loopback import HOST, connect_and_send, free_port
from rigs.results import Chance
from thistlelever.standins.configuration import SETTINGS


def test_a_port_that_was_chosen_is_taken_by_nobody_else_on_loopback():
    port = free_port(socket.SOCK_STREAM)
    with socket.socket() as other, socket.socket() as own:
        # Another process would bind the address that outgoing connections use.
        other.bind(("127.0.0.1", port))
        other.listen()
        own.bind((HOST, port))
        own.listen()


@pytest.mark.parametrize("diskless", [False, True])
def test_a_front_that_ends_before_it_is_ready_says_why_at_once(capfd, diskless):
    async def run():
        fleet = Fleet(Chance(1), 1, 1, {}, SETTINGS)
        async with asyncio.timeout(15):
            with socket.socket() as taken:
                taken.bind((HOST, 0))
                taken.listen()
                await fleet.open()
                fleet.fronts[0].port = taken.getsockname()[1]
                try:
                    await fleet.fronts[0].start(diskless)
                finally:
                    await fleet.__aexit__()

    with pytest.raises(NotStartedError, match="front-0: ended with 1"):
        asyncio.run(run())
    # A diskless front cannot report the reason: the output is captured in a file, and it may write none.
    assert diskless or "Address already in use" in capfd.readouterr().err


def listening_socket():
    raw = socket.socket()
    raw.setblocking(False)
    raw.bind((HOST, 0))
    raw.listen()
    return raw


def test_a_line_leaves_in_the_turn_of_the_loop_that_connects():
    async def run():
        with listening_socket() as port:
            opening = asyncio.create_task(connect_and_send(port.getsockname(), b"a line\n"))
            await asyncio.sleep(0)
            taken = port.accept()[0]
            assert taken.recv(100, socket.MSG_DONTWAIT) == b"a line\n"
            reader, writer = await opening
            taken.sendall(b"an answer\n")
            assert await reader.readline() == b"an answer\n"
            writer.close()
            taken.close()

    asyncio.run(run())


def test_a_connection_where_nobody_listens_is_refused():
    async def run():
        with listening_socket() as port:
            address = port.getsockname()
        with pytest.raises(OSError):
            await connect_and_send(address, b"a line\n")

    asyncio.run(run())
