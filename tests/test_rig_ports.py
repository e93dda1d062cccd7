"""Ports that rigs and tests choose, starts that fail, and what a client says as it connects.

`rigs.takeover --seed 6002`, six rigs side by side, ended in a bare TimeoutError after 20 s: its front had
said `[Errno 98] listen: 127.0.0.1:33057: Address already in use` and was gone, and the rig waited on. Three
of 24 runs of `rigs.membership` eight at a time ended so. The port was drawn at 127.0.0.1 from the range that
outgoing connections draw theirs from, and any process could take it before the front had bound it.

`rigs.takeover`, twelve at a time beside eight busy processes: 9 of 24 runs had requests that nobody answered.
Their lines had left 1.55 to 2.66 s after the connection came up, as the rig's loop lagged up to 1.8 s, and a
front closes a client that has said nothing for 1.5 s.
"""

import asyncio
import socket

import pytest

from rigs.fleet import Fleet, NotStartedError
from rigs.loopback import HOST, connect_and_send, free_port
from rigs.verdict import Chance
from thistlelever.standins.configuration import SETTINGS


def test_a_port_that_was_chosen_is_taken_by_nobody_else_on_loopback():
    port = free_port(socket.SOCK_STREAM)
    with socket.socket() as other, socket.socket() as own:
        # As another process would: at the address that all connections go out from.
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
    # One that may write no file has no way to say why: what it says is caught in one here.
    assert diskless or "Address already in use" in capfd.readouterr().err


def listening():
    raw = socket.socket()
    raw.setblocking(False)
    raw.bind((HOST, 0))
    raw.listen()
    return raw


def test_a_line_leaves_in_the_turn_of_the_loop_that_connects():
    async def run():
        with listening() as port:
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
        with listening() as port:
            address = port.getsockname()
        with pytest.raises(OSError):
            await connect_and_send(address, b"a line\n")

    asyncio.run(run())
