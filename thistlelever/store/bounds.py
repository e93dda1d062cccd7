"""How much of each thing a front may hold, worked out once at its start from the limits it is told."""

from __future__ import annotations

from typing import NamedTuple

# Clients may hold a third of the descriptors; the rest of their share is for those that only stay. Our own
# are for the ports, the log, the loop, a second address of the directory while the first is let go, and a
# connection that is taken only to be closed.
CLIENTS_SHARE, OWN_DESCRIPTORS = 0.4, 24
# The program with its libraries and an ordinary day's batches, in MB, and what is left at the least.
AT_REST, LEAST_ROOM = 24.0, 4.0
# Shares of the room beside that: answers not yet read by clients, and lines not yet whole.
UNREAD_SHARE, UNFINISHED_SHARE = 0.4, 0.15


class Bounds(NamedTuple):
    """Connections of clients and to engines; bytes that clients have not read, or not sent whole."""

    sessions: int
    connections: int
    unread: int
    unfinished: int


def bounds(sockets: int, memory_mb: float, elsewhere: int = 0) -> Bounds:
    """What follows from the limits, where so many descriptors are set aside for other doors and engines."""
    sockets -= elsewhere
    sessions = int(sockets * CLIENTS_SHARE)
    room = max(memory_mb - AT_REST, LEAST_ROOM) * 1e6
    return Bounds(
        sessions,
        max(sockets - sessions - OWN_DESCRIPTORS, 1),
        int(room * UNREAD_SHARE),
        int(room * UNFINISHED_SHARE),
    )
