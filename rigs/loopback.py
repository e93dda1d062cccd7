"""Addresses on loopback that no other process takes between a rig's choice and the bind that follows, and
connections there that say their first words as they come up."""

import asyncio
import errno
import os
import socket
from collections import defaultdict


def own_host():
    """A loopback address of this process alone: 127.64.0.0 and the 22 bits of its number.

    A port chosen there is taken neither by another rig nor by a connection that goes out, as those come
    from 127.0.0.1 and draw their ports from the same range.
    """
    number = os.getpid()
    return f"127.{64 + (number >> 16 & 63)}.{number >> 8 & 255}.{number & 255}"


HOST = own_host()
_told = defaultdict(set)


def free_port(kind, host=HOST):
    """A port of a kind of socket that is free there, told once: who starts again binds it again."""
    while True:
        with socket.socket(socket.AF_INET, kind) as raw:
            raw.bind((host, 0))
            port = raw.getsockname()[1]
        if port not in _told[kind]:
            _told[kind].add(port)
            return port


async def connect_and_send(address, data):
    """A reader and a writer of a connection whose first bytes leave in the same turn of the loop.

    `asyncio.open_connection` gives the loop back before its caller can write; where that loop lags, the other
    side has closed a client that said nothing by then. Raises OSError where nobody listens.
    """
    raw = socket.socket()
    try:
        raw.setblocking(False)
        failed = raw.connect_ex(address)
        if failed not in (0, errno.EINPROGRESS):
            raise OSError(failed, os.strerror(failed))
        try:
            sent = raw.send(data)
        except BlockingIOError:
            sent = 0
            # On Linux a second call tells how the first ended.
            await asyncio.get_running_loop().sock_connect(raw, address)
        await asyncio.get_running_loop().sock_sendall(raw, data[sent:])
        return await asyncio.open_connection(sock=raw)
    except BaseException:
        raw.close()
        raise
