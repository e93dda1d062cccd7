"""Watches the memory of the process, and reports what the front's own limits account for."""

from __future__ import annotations

import os
from pathlib import Path

from thistlelever.carrier.clients import ClientListener
from thistlelever.ground.log import Log
from thistlelever.store.connections import ConnectionPool
from thistlelever.store.request_memory import RequestMemory

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM = Path("/proc/self/statm")
# Part of the configured memory past which the front logs what it holds.
HIGH_PART = 0.9


def resident_mb() -> float:
    """Return the resident memory of the process in MiB, or 0 where the system does not tell it."""
    try:
        return int(STATM.read_bytes().split()[1]) * PAGE_BYTES / 2**20
    except (OSError, ValueError, IndexError):
        return 0.0


class MemoryMonitor:
    """Samples the resident memory; keeps the highest sample since the last report."""

    def __init__(
        self,
        limit_mb: float,
        clients: ClientListener,
        requests: RequestMemory,
        connections: ConnectionPool,
        log: Log,
    ) -> None:
        """Report on what these objects hold, against the configured memory of the process in MB."""
        self.limit_mb, self.log, self.highest_mb = limit_mb, log, 0.0
        self.clients, self.requests, self.connections = clients, requests, connections

    def sample(self) -> None:
        """Take a sample; logs it if it is close to the limit."""
        resident = resident_mb()
        self.highest_mb = max(self.highest_mb, resident)
        if resident > HIGH_PART * self.limit_mb:
            self.log("memory high", limit_mb=self.limit_mb, **self.holdings(resident))

    def report(self) -> dict:
        """Return the holdings with the highest sample since the last report."""
        highest, self.highest_mb = self.highest_mb, 0.0
        return self.holdings(highest)

    def holdings(self, resident: float) -> dict:
        """Return the resident memory, and in bytes and numbers what the limits account for."""
        clients = self.clients
        return {
            "resident_mb": round(resident, 1),
            "clients": len(clients.sessions),
            "connections": self.connections.count,
            "line_bytes": clients.line_memory.divided.held,
            "unread_bytes": clients.unread_memory.held,
            "request_bytes": self.requests.held,
        }
