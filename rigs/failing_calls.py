"""Runs the front with system calls that fail: `python -m rigs.failing_calls serve`.

FAILING_CALL says which call fails, as `CALL:ERROR:NUMBER`: the call with that number of its kind, counted
over all TCP and UDP sockets of the process, raises the error and is not made. The error `SHORT` makes it read
or write one byte. `CALL:ERROR:FROM-TO` fails all calls of that range. CALLS_COUNTED is the path of a file to
which the number of calls of each kind is written at exit.
"""

import atexit
import errno
import json
import os
import socket
from collections import Counter

SHORT = "SHORT"
# Calls that fail or are made in full; the others can also be cut short.
WHOLE_CALLS = ("accept", "bind", "connect", "sendto", "recv", "recvfrom", "setsockopt", "shutdown")


class FailingCalls:
    """Counts calls by kind and decides which of them fail."""

    def __init__(self, call, error, first, last):
        self.call, self.error, self.first, self.last = call, error, first, last
        self.counts = Counter()

    def count_call(self, call):
        """Count a call and return whether it may carry one byte only. Raises OSError if the call is to
        fail."""
        self.counts[call] += 1
        if call != self.call or not self.first <= self.counts[call] <= self.last:
            return False
        if self.error == SHORT:
            return True
        number = getattr(errno, self.error)
        raise OSError(number, os.strerror(number))


def failing_socket(failing):
    """Return a socket class whose calls are counted and may fail."""

    class FailingSocket(socket.socket):
        def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
            if fileno is None and family == socket.AF_INET:
                failing.count_call("socket")
            super().__init__(family, type, proto, fileno)

        def count_call(self, call):
            return self.family == socket.AF_INET and failing.count_call(call)

        def send(self, data, flags=0):
            return super().send(memoryview(data)[:1] if self.count_call("send") else data, flags)

        def recv_into(self, buffer, size=0, flags=0):
            return super().recv_into(buffer, 1 if self.count_call("recv_into") else size, flags)

        def close(self):
            """Close the descriptor even if the call fails, as Linux does."""
            open_still = self.fileno() >= 0
            super().close()
            if open_still:
                self.count_call("close")

    for call in WHOLE_CALLS:
        setattr(FailingSocket, call, counted_call(call))
    return FailingSocket


def counted_call(call):
    """Return a method that counts the call and makes it unless it fails."""
    original = getattr(socket.socket, call)

    def method(self, *arguments):
        self.count_call(call)
        return original(self, *arguments)

    return method


def install(specification, counts_path):
    """Replace `socket.socket`, so that the calls of this process are counted and the specified ones fail."""
    call, error, numbers = specification.split(":")
    first, _, last = numbers.partition("-")
    failing = FailingCalls(call, error, int(first), int(last or first))
    socket.socket = failing_socket(failing)

    def write_counts():
        with open(counts_path, "w") as file:
            json.dump(failing.counts, file)

    atexit.register(write_counts)


if __name__ == "__main__":
    install(os.environ["FAILING_CALL"], os.environ["CALLS_COUNTED"])
    from thistlelever.__main__ import main

    main()
