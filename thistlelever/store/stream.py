"""A TCP stream that retries transient failures of system calls.

On Linux `recv` and `send` may fail for lack of memory although the connection is intact; those calls are
retried. Any other failure closes the stream, and pending and later reads and writes raise Tornado's
`StreamClosedError`.
"""

from __future__ import annotations

import errno
import socket
import struct
from contextlib import suppress

from tornado.iostream import IOStream

# Errors that leave the connection intact: the machine is short of a resource, or the call was interrupted.
TRANSIENT_ERRNOS = frozenset((errno.ENOMEM, errno.ENOBUFS, errno.EINTR))
# Consecutive transient failures, each in its own iteration of the event loop, that close the stream.
MAX_TRANSIENT_FAILURES = 100
# The socket option `SO_LINGER`, on and with no time to linger.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Stream(IOStream):
    """A connection of a client or to a server."""

    # Consecutive transient failures of reads and writes.
    transient_failures = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Return the number of bytes read, 0 at the end of the stream, None when no data is available now."""
        try:
            count = super().read_from_fd(buf)
        except OSError as error:
            if not self.is_transient(error):
                raise
            return None
        self.transient_failures = 0
        return count

    def write_to_fd(self, data: memoryview) -> int:
        """Return the number of bytes written; `BlockingIOError` when none can be written now."""
        try:
            count = super().write_to_fd(data)
        except OSError as error:
            if not self.is_transient(error):
                raise
            raise BlockingIOError(error.errno, error.strerror) from None
        self.transient_failures = 0
        return count

    def is_transient(self, error: OSError) -> bool:
        """Return whether the failed call may be retried, and count the failure if so."""
        if error.errno not in TRANSIENT_ERRNOS or self.transient_failures >= MAX_TRANSIENT_FAILURES:
            return False
        self.transient_failures += 1
        return True

    def close_with_reset(self) -> None:
        """Close the connection, and let the system drop what it has not delivered yet.

        After an orderly close it would go on delivering for minutes, also behind a network that was cut.
        """
        with suppress(OSError):
            if not self.closed():
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.close()

    def _signal_closed(self) -> None:
        """Drop the buffers as well; Tornado keeps the read buffer while the closed stream is referred to."""
        super()._signal_closed()
        self._read_buffer, self._after_user_read_buffer = bytearray(), None

    def close_fd(self) -> None:
        """Close the descriptor. It is released even when `close` fails, so it must not be closed again."""
        with suppress(OSError):
            super().close_fd()
        self.socket = None

    def _is_connreset(self, exc: BaseException) -> bool:
        """Treat every remaining `OSError` as the end of the connection.

        Tornado does so for `ECONNRESET` only; with others, such as `ETIMEDOUT`, the exception would be raised
        in whichever call started the read.
        """
        return isinstance(exc, OSError)
