"""The host loop: frames in, each front's events to its own decisions, one reply a frame."""

from __future__ import annotations

import traceback
from typing import BinaryIO, TextIO

from thistlelever.admission.decide import Front
from thistlelever.wirehost import codec
from thistlelever.ground.settings import ConfigError, parse_settings


class Host:
    """The fronts of this process, which share nothing but the process."""

    def __init__(self) -> None:
        self.reader = codec.Reader()
        self.fronts: dict[int, Front] = {}

    def answer(self, count: int, now: float, body: bytes) -> tuple[int, bytes]:
        """The number and the bytes of the actions that answer one frame."""
        waiting: dict[int, list] = {}
        out: list[bytes] = []
        for front, event in self.reader.frame(count, body):
            if isinstance(event, codec.Started):
                waiting[front] = []
                try:
                    self.fronts[front] = Front(parse_settings(event.conf), event.seed)
                except ConfigError as why:
                    self.fronts.pop(front, None)
                    out.append(codec.fault(front, str(why)))
            elif isinstance(event, codec.Stopped):
                waiting.pop(front, None)
                self.fronts.pop(front, None)
            else:
                waiting.setdefault(front, []).append(event)
        for front, events in waiting.items():
            if front in self.fronts:
                out.extend(self.actions(front, now, events))
        return len(out), b"".join(out)

    def actions(self, front: int, now: float, events: list) -> list[bytes]:
        try:
            return [codec.write(front, action) for action in self.fronts[front].handle(now, events)]
        except Exception as why:
            where = traceback.extract_tb(why.__traceback__)[-1]
            line = f"{type(why).__name__}: {why} ({where.filename.rsplit('/', 1)[-1]}:{where.lineno})"
            return [codec.fault(front, line)]


def whole(stream: BinaryIO, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise codec.Malformed(f"input ended inside {what}: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answer frames until the input ends; 0 at a clean end, 1 where the input is malformed."""
    host = Host()
    number = 0
    try:
        while True:
            start = source.read(codec.FRAME.size)
            if not start:
                return 0
            if len(start) < codec.FRAME.size:
                raise codec.Malformed(f"input ended inside a header: {len(start)} bytes")
            size, count, clock = codec.FRAME.unpack(start)
            rest = size - (codec.FRAME.size - 4)
            if rest < count:
                raise codec.Malformed(f"impossible: {count} records in {rest} bytes")
            done, body = host.answer(count, clock * codec.MICRO, whole(source, rest, "a frame"))
            sink.write(codec.REPLY.pack(done, len(body)) + body)
            sink.flush()
            number += 1
    except codec.Malformed as why:
        errors.write(f"thistlelever.wirehost: frame {number}: {why}\n")
        return 1
