"""A TCP stream on which each failing system call ends as its meaning asks.

Linux lets `recv` and `send` fail for want of memory although the connection stands: they are called again.
Any other failure ends the stream, and whoever reads or writes gets Tornado's `StreamClosedError`, at whatever
moment the call was made.
"""

from __future__ import annotations

import errno
from contextlib import suppress

from tornado.iostream import IOStream

# The connection stands and the call may be made again: the machine is short of something.
TRANSIENT_ERRNOS = frozenset((errno.ENOMEM, errno.ENOBUFS, errno.EINTR))
# So many such failures in a row, each in a turn of the loop of its own, and the stream ends all the same.
MAX_TRANSIENT_FAILURES = 100


class Stream(IOStream):
    """A client's or an engine's connection."""

    # Reads and writes in a row that failed for want of memory.
    transient_failures = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Bytes read, 0 at the end; `None` where nothing can be read now."""
        try:
            count = super().read_from_fd(buf)
        except OSError as error:
            if not self.is_transient(error):
                raise
            return None
        self.transient_failures = 0
        return count

    def write_to_fd(self, data: memoryview) -> int:
        """Bytes written; `BlockingIOError` where none can be written now."""
        try:
            count = super().write_to_fd(data)
        except OSError as error:
            if not self.is_transient(error):
                raise
            raise BlockingIOError(error.errno, error.strerror) from None
        self.transient_failures = 0
        return count

    def is_transient(self, error: OSError) -> bool:
        """Whether a failed call says nothing of the connection."""
        if error.errno not in TRANSIENT_ERRNOS or self.transient_failures >= MAX_TRANSIENT_FAILURES:
            return False
        self.transient_failures += 1
        return True

    def close_fd(self) -> None:
        """Close the descriptor. It is free even where `close` fails, and must not be closed again."""
        with suppress(OSError):
            super().close_fd()
        self.socket = None

    def _is_connreset(self, exc: BaseException) -> bool:
        """Any failed call but those above ends the connection. Tornado's own answer is `ECONNRESET` alone: a
        read that ends by `ETIMEDOUT` raises from wherever the read was begun."""
        return isinstance(exc, OSError)
