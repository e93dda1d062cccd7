"""Host loop: reads frames, passes events to the decisions of each front and writes one reply per frame."""

from __future__ import annotations

import traceback
from typing import BinaryIO, TextIO

from thistlelever.admission.decide import Front
from thistlelever.admission.turn_failures import TurnFailedError
from thistlelever.wirehost import codec
from thistlelever.ground.settings import ConfigError, parse_settings


class Host:
    """The fronts of this process; they share only the engine lists of the reader."""

    def __init__(self) -> None:
        """Start without fronts."""
        self.reader = codec.FrameReader()
        self.fronts: dict[int, Front] = {}

    def handle_frame(self, count: int, now: float, body: bytes) -> tuple[int, bytes]:
        """Process the `count` records of a frame at time `now` in seconds.

        Returns the number of action records and their bytes; raises `MalformedInputError`.
        """
        pending: dict[int, list] = {}
        out: list[bytes] = []
        for front, event in self.reader.read_frame(count, body):
            if isinstance(event, codec.Started):
                pending[front] = []
                try:
                    self.fronts[front] = Front(parse_settings(event.conf), event.seed)
                except ConfigError as why:
                    self.fronts.pop(front, None)
                    out.append(codec.encode_fault(front, str(why)))
            elif isinstance(event, codec.Stopped):
                pending.pop(front, None)
                self.fronts.pop(front, None)
            else:
                pending.setdefault(front, []).append(event)
        for front, events in pending.items():
            if front in self.fronts:
                out.extend(self.run_front(front, now, events))
        return len(out), b"".join(out)

    def run_front(self, front: int, now: float, events: list) -> list[bytes]:
        """Return the encoded actions of a front, or a fault record when its decisions raise an exception."""
        try:
            return [codec.encode_action(front, action) for action in self.fronts[front].handle(now, events)]
        except Exception as failed:
            why = failed.failures[0] if isinstance(failed, TurnFailedError) else failed
            where = traceback.extract_tb(why.__traceback__)[-1]
            line = f"{type(why).__name__}: {why} ({where.filename.rsplit('/', 1)[-1]}:{where.lineno})"
            return [codec.encode_fault(front, line)]


def read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    """Read `size` bytes; raises `MalformedInputError` when the input ends earlier."""
    data = stream.read(size)
    if len(data) < size:
        raise codec.MalformedInputError(f"input ended inside {what}: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answer frames until the input ends; return 0 at a clean end and 1 when the input is malformed."""
    host = Host()
    number = 0
    try:
        while True:
            start = source.read(codec.FRAME.size)
            if not start:
                return 0
            if len(start) < codec.FRAME.size:
                raise codec.MalformedInputError(f"input ended inside a header: {len(start)} bytes")
            size, count, clock = codec.FRAME.unpack(start)
            rest = size - (codec.FRAME.size - 4)
            if rest < count:
                raise codec.MalformedInputError(f"impossible: {count} records in {rest} bytes")
            done, body = host.handle_frame(
                count, clock * codec.MICROSECOND, read_exactly(source, rest, "a frame")
            )
            sink.write(codec.REPLY.pack(done, len(body)) + body)
            sink.flush()
            number += 1
    except codec.MalformedInputError as why:
        errors.write(f"thistlelever.wirehost: frame {number}: {why}\n")
        return 1
