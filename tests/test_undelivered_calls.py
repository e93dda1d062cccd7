"""Calls that were given up before the network has delivered them: they do not arrive later."""

import asyncio
import socket
from contextlib import suppress
from types import SimpleNamespace

import pytest

from thistlelever.ground.metrics import Metrics
from thistlelever.store.connections import ConnectionPool, Silent

REQUEST = b"POST /fetch HTTP/1.1\r\nContent-Length: 150000\r\n\r\n" + b"x" * 150_000
RECEIVE_BUFFER_BYTES = 4_096
CALL_LIMIT_S = 0.1


async def read_to_end(peer: socket.socket) -> bytes:
    """Return all bytes that arrive before the connection ends or is reset."""
    loop, found = asyncio.get_running_loop(), b""
    with suppress(ConnectionResetError):
        while data := await loop.sock_recv(peer, 65_536):
            found += data
    return found


async def give_up_a_call(gives_up) -> bytes:
    """Give up a call while its engine reads nothing; returns what the engine reads afterwards."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        entry = SimpleNamespace(address=listener.getsockname(), engine=SimpleNamespace(id=b"a"))
        pool = ConnectionPool(4, 30.0, 1.0, Metrics())
        connection = await pool.acquire(entry, urgent=True)
        peer, _ = await asyncio.get_running_loop().sock_accept(listener)
        with peer:
            peer.setblocking(False)
            await gives_up(connection)
            pool.release(connection)
            async with asyncio.timeout(5.0):
                return await read_to_end(peer)


async def time_out(connection):
    with pytest.raises(Silent):
        await connection.call(REQUEST, CALL_LIMIT_S)


async def cancel(connection):
    call = asyncio.create_task(connection.call(REQUEST, 5.0))
    await asyncio.sleep(CALL_LIMIT_S)
    call.cancel()
    with suppress(asyncio.CancelledError):
        await call


@pytest.mark.parametrize("gives_up", [time_out, cancel])
def test_a_call_that_was_given_up_does_not_arrive_later(gives_up):
    """Guards against a statement that is out twice: its bytes outlived a cut and an orderly close."""
    assert len(asyncio.run(give_up_a_call(gives_up))) < len(REQUEST)
