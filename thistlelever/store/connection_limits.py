"""Limits on connections and buffered bytes, derived at start from the configured descriptors and memory."""

from __future__ import annotations

from typing import NamedTuple

# Clients get a third of the descriptors; the rest of CLIENTS_SHARE is for clients that only stay connected.
# OWN_DESCRIPTORS covers the listening ports, the log, the event loop, the second directory socket during a
# change of address, and one connection that is accepted only to be closed.
CLIENTS_SHARE, OWN_DESCRIPTORS = 0.4, 24
# Memory of the process with its libraries and a usual number of batches, and the minimum that is assumed to
# be left for buffers, both in MB.
BASE_MEMORY_MB, MIN_BUFFER_MEMORY_MB = 24.0, 4.0
# Shares of the buffer memory: answers that clients have not read yet, incomplete lines from clients, and open
# requests. The rest is for pages on their way and for what the allocator does not return.
UNREAD_SHARE, UNFINISHED_SHARE, REQUEST_SHARE = 0.4, 0.15, 0.35


class ConnectionLimits(NamedTuple):
    """Maximum connections of clients and to engines; maximum bytes of unread answers, of incomplete lines and
    of open requests, each summed over all clients."""

    client_connections: int
    engine_connections: int
    unread_bytes: int
    unfinished_bytes: int
    request_bytes: int


def connection_limits(sockets: int, memory_mb: float, reserved: int = 0) -> ConnectionLimits:
    """Derive the limits from `sockets` descriptors and `memory_mb` MB.

    `reserved` descriptors are set aside for other servers and engine protocols.
    """
    sockets -= reserved
    client_connections = int(sockets * CLIENTS_SHARE)
    buffer_bytes = max(memory_mb - BASE_MEMORY_MB, MIN_BUFFER_MEMORY_MB) * 1e6
    return ConnectionLimits(
        client_connections,
        max(sockets - client_connections - OWN_DESCRIPTORS, 1),
        int(buffer_bytes * UNREAD_SHARE),
        int(buffer_bytes * UNFINISHED_SHARE),
        int(buffer_bytes * REQUEST_SHARE),
    )
