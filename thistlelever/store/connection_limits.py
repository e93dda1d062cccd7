"""Limits on connections and buffered bytes, derived at start from the configured descriptors and memory."""

from __future__ import annotations

from typing import NamedTuple

# Clients get a third of the descriptors; the rest of CLIENTS_SHARE is for clients that only stay connected.
# OWN_DESCRIPTORS covers the listening ports, the log, the event loop, the second directory socket during a
# change of address, and one connection that is accepted only to be closed.
CLIENTS_SHARE, OWN_DESCRIPTORS = 0.4, 24
# Memory of the process with its libraries, before it has connections, and the minimum that is assumed to be
# left for all else, both in MB.
BASE_MEMORY_MB, MIN_BUFFER_MEMORY_MB = 24.5, 4.0
# What a connection holds in bytes: one of a client beside its read buffer, and one to an engine with its
# buffer and the reply at hand.
CLIENT_CONNECTION_BYTES, ENGINE_CONNECTION_BYTES = 5_632, 16_384
# Size in bytes of a client's read buffer while no line is longer; most lines have a few hundred bytes.
MAX_READ_BYTES, MIN_READ_BYTES = 4_096, 512
# Shares of the memory beside the base: connections of clients and their read buffers, connections to engines.
CLIENT_MEMORY_SHARE, READ_MEMORY_SHARE, ENGINE_MEMORY_SHARE = 0.4, 0.1, 0.12
# Share of what the connections leave that is for open requests; the bytes that they get even if that is less,
# so that a client alone can have its longest statement open, but no more than the second share.
REQUEST_SHARE, LEAST_REQUEST_BYTES, MAX_REQUEST_SHARE = 0.4, 2_650_000, 0.7
# Shares of what remains then: answers that clients have not read yet, incomplete lines from clients, and
# results whose pages are being fetched. The rest is for what the allocator does not return.
UNREAD_SHARE, UNFINISHED_SHARE, RESULT_SHARE = 0.4, 0.3, 0.2


class ConnectionLimits(NamedTuple):
    """Maximum connections of clients and to engines; the size of a client's read buffer in bytes; maximum
    bytes of unread answers, of incomplete lines, of open requests and of results that are being fetched, each
    summed over all clients."""

    client_connections: int
    engine_connections: int
    read_bytes: int
    unread_bytes: int
    unfinished_bytes: int
    request_bytes: int
    result_bytes: int


def connection_limits(sockets: int, memory_mb: float, reserved: int = 0) -> ConnectionLimits:
    """Derive the limits from `sockets` descriptors and `memory_mb` MB.

    `reserved` descriptors are set aside for other servers and engine protocols.
    """
    sockets -= reserved
    memory = max(memory_mb - BASE_MEMORY_MB, MIN_BUFFER_MEMORY_MB) * 1e6
    clients = min(int(sockets * CLIENTS_SHARE), int(memory * CLIENT_MEMORY_SHARE / CLIENT_CONNECTION_BYTES))
    engines = min(
        sockets - clients - OWN_DESCRIPTORS, int(memory * ENGINE_MEMORY_SHARE / ENGINE_CONNECTION_BYTES)
    )
    engines = max(engines, 1)
    read_bytes = read_buffer_size(memory * READ_MEMORY_SHARE / max(clients, 1))
    connections = clients * (CLIENT_CONNECTION_BYTES + read_bytes) + engines * ENGINE_CONNECTION_BYTES
    buffers = max(memory - connections, 0.0)
    requests = min(max(buffers * REQUEST_SHARE, LEAST_REQUEST_BYTES), buffers * MAX_REQUEST_SHARE)
    buffers -= requests
    return ConnectionLimits(
        clients,
        engines,
        read_bytes,
        int(buffers * UNREAD_SHARE),
        int(buffers * UNFINISHED_SHARE),
        int(requests),
        int(buffers * RESULT_SHARE),
    )


def read_buffer_size(most: float) -> int:
    """Return the largest power of two up to `most` bytes, within the limits for a read buffer."""
    size = MAX_READ_BYTES
    while size > max(most, MIN_READ_BYTES):
        size //= 2
    return size
