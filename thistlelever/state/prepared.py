"""Prepared statements of Flight SQL clients, bounded in number and in bytes."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

# Statements and bound parameters of all clients together, in bytes.
MAX_BYTES = 8_000_000


@dataclass(slots=True)
class PreparedStatement:
    """A prepared statement with the parameter rows bound to it.

    `last_used` is the time of its last use in seconds, `size` the bytes of statement and rows together.
    """

    statement: bytes
    last_used: float
    rows: list[tuple] = field(default_factory=list)
    size: int = 0


class PreparedStatements:
    """Prepared statements by handle, least recently used first.

    A new statement replaces only those that have been idle for `idle` seconds. Where that leaves no room it
    is rejected, so that a client that prepares without end can't evict statements in use.
    """

    def __init__(self, max_count: int, idle: float, max_bytes: int = MAX_BYTES) -> None:
        """Hold up to `max_count` statements and `max_bytes` bytes; `idle` in seconds."""
        self.max_count, self.idle, self.max_bytes, self.bytes = max_count, idle, max_bytes, 0
        self.by_handle: OrderedDict[str, PreparedStatement] = OrderedDict()

    def add(self, handle: str, statement: bytes, now: float) -> bool:
        """Store a statement under a new handle; returns False where there is no room."""
        self.sweep(now)
        if len(self.by_handle) >= self.max_count or self.bytes + len(statement) > self.max_bytes:
            return False
        self.by_handle[handle] = PreparedStatement(statement, now, size=len(statement))
        self.bytes += len(statement)
        return True

    def find(self, handle: str, now: float) -> PreparedStatement | None:
        """Return the statement under a handle and mark it as used now; None where there is none."""
        found = self.by_handle.get(handle)
        if found:
            found.last_used = now
            self.by_handle.move_to_end(handle)
        return found

    def bind(self, handle: str, rows: list[tuple], size: int, now: float) -> bool:
        """Replace the parameter rows of a statement by rows of `size` bytes.

        Returns False where there is no such statement or no room for the rows.
        """
        found = self.find(handle, now)
        if found is None or self.bytes - found.size + len(found.statement) + size > self.max_bytes:
            return False
        self.bytes += len(found.statement) + size - found.size
        found.rows, found.size = rows, len(found.statement) + size
        return True

    def drop(self, handle: str) -> bool:
        """Remove a statement; returns whether there was one."""
        found = self.by_handle.pop(handle, None)
        self.bytes -= found.size if found else 0
        return found is not None

    def sweep(self, now: float) -> None:
        """Remove the statements that have been idle for `idle` seconds."""
        while self.by_handle:
            handle, oldest = next(iter(self.by_handle.items()))
            if now - oldest.last_used < self.idle:
                return
            self.drop(handle)
