"""Ports that rigs and tests choose, and starts that fail.

`rigs.takeover --seed 6002`, six rigs side by side, ended in a bare TimeoutError after 20 s: its front had
said `[Errno 98] listen: 127.0.0.1:33057: Address already in use` and was gone, and the rig waited on. Three
of 24 runs of `rigs.membership` eight at a time ended so. The port was drawn at 127.0.0.1 from the range that
outgoing connections draw theirs from, and any process could take it before the front had bound it.
"""

import asyncio
import socket

import pytest

from rigs.fleet import Fleet, NotStartedError
from rigs.loopback import HOST, free_port
from rigs.verdict import Chance
from thistlelever.standins.papers import SETTINGS


def test_a_port_that_was_chosen_is_taken_by_nobody_else_on_loopback():
    port = free_port(socket.SOCK_STREAM)
    with socket.socket() as other, socket.socket() as own:
        # As another process would: at the address that all connections go out from.
        other.bind(("127.0.0.1", port))
        other.listen()
        own.bind((HOST, port))
        own.listen()


def test_a_front_that_ends_before_it_is_ready_says_why_at_once(capfd):
    async def run():
        fleet = Fleet(Chance(1), 1, 1, {}, SETTINGS)
        async with asyncio.timeout(15):
            with socket.socket() as taken:
                taken.bind((HOST, 0))
                taken.listen()
                await fleet.open()
                fleet.fronts[0].port = taken.getsockname()[1]
                try:
                    await fleet.fronts[0].start()
                finally:
                    await fleet.__aexit__()

    with pytest.raises(NotStartedError, match="front-0: ended with 1"):
        asyncio.run(run())
    assert "Address already in use" in capfd.readouterr().err
