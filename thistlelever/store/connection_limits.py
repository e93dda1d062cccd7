"""How much of each thing a front may hold, worked out once at its start from the limits it is told."""

from __future__ import annotations

from typing import NamedTuple

# Clients may hold a third of the descriptors; the rest of their share is for those that only stay. Our own
# are for the ports, the log, the loop, a second address of the directory while the first is let go, and a
# connection that is taken only to be closed.
CLIENTS_SHARE, OWN_DESCRIPTORS = 0.4, 24
# The program with its libraries and an ordinary day's batches, in MB, and what is left at the least.
BASE_MEMORY_MB, MIN_BUFFER_MEMORY_MB = 24.0, 4.0
# Shares of the buffer_bytes beside that: answers not yet read by clients, and lines not yet whole.
UNREAD_SHARE, UNFINISHED_SHARE = 0.4, 0.15


class ConnectionLimits(NamedTuple):
    """Connections of clients and to engines; bytes that clients have not read, or not sent whole."""

    client_connections: int
    engine_connections: int
    unread_bytes: int
    unfinished_bytes: int


def connection_limits(sockets: int, memory_mb: float, reserved: int = 0) -> ConnectionLimits:
    """What follows from the limits, where so many descriptors are set aside for other doors and engines."""
    sockets -= reserved
    client_connections = int(sockets * CLIENTS_SHARE)
    buffer_bytes = max(memory_mb - BASE_MEMORY_MB, MIN_BUFFER_MEMORY_MB) * 1e6
    return ConnectionLimits(
        client_connections,
        max(sockets - client_connections - OWN_DESCRIPTORS, 1),
        int(buffer_bytes * UNREAD_SHARE),
        int(buffer_bytes * UNFINISHED_SHARE),
    )
