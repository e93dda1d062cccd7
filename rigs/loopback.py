"""Loopback addresses that no other process can take before a rig binds them, and connections that send their
first bytes as soon as they are established."""

import asyncio
import errno
import os
import socket
from collections import defaultdict


def own_host():
    """Returns a loopback address of this process alone: 127.64.0.0 plus the low 22 bits of its process id.

    A port chosen there cannot be taken by another rig or by an outgoing connection: those use 127.0.0.1 and
    draw their ports from the same ephemeral range.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 16 & 63)}.{pid >> 8 & 255}.{pid & 255}"


HOST = own_host()
_issued = defaultdict(set)


def free_port(kind, host=HOST):
    """Returns a free port for a kind of socket (SOCK_STREAM or SOCK_DGRAM) on `host`.

    Each port is issued once, so that a front that restarts can bind its port again.
    """
    while True:
        with socket.socket(socket.AF_INET, kind) as raw:
            raw.bind((host, 0))
            port = raw.getsockname()[1]
        if port not in _issued[kind]:
            _issued[kind].add(port)
            return port


async def connect_and_send(address, data):
    """Connects and sends `data` in the same iteration of the event loop; returns a reader and a writer.

    `asyncio.open_connection` yields to the loop before its caller can write. When the loop lags, the server
    may by then have closed the connection because the client sent nothing. Raises OSError when the
    connection fails.
    """
    raw = socket.socket()
    try:
        raw.setblocking(False)
        code = raw.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, os.strerror(code))
        try:
            sent = raw.send(data)
        except BlockingIOError:
            sent = 0
            # On Linux a second connect() reports the result of the first.
            await asyncio.get_running_loop().sock_connect(raw, address)
        await asyncio.get_running_loop().sock_sendall(raw, data[sent:])
        return await asyncio.open_connection(sock=raw)
    except BaseException:
        raw.close()
        raise
