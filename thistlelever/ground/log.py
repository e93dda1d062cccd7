"""The structured log: one JSON object a line for each event, on standard output."""

from __future__ import annotations

import logging
import sys
from contextlib import suppress
from typing import BinaryIO

import orjson

from thistlelever.ground import clock

# Lines of one event written in a minute. The next line of that event has the number that was left out.
MAX_LINES_A_MINUTE = 30


class Log:
    """Writes events as JSON lines, limited in number a minute for each event.

    The limit keeps the volume low, as some hosts keep the log in the memory of the front.
    """

    def __init__(self, name: str, sink: BinaryIO | None = None) -> None:
        """Log under the front's name, to standard output unless a sink is given."""
        self.name, self.sink = name, sink or sys.stdout.buffer
        # By event: the minute, the lines written in it, and those left out since the last one written.
        self.recent: dict[str, tuple[int, int, int]] = {}

    def __call__(self, event: str, **fields) -> None:
        """Write one event with its fields, unless the event has reached its limit for this minute.

        A field that JSON has no type for is written as its `str`. Errors of the sink are ignored.
        """
        now = clock.now()
        minute, lines, left_out = self.recent.get(event, (0, 0, 0))
        if minute != now // 60:
            minute, lines = now // 60, 0
        if lines >= MAX_LINES_A_MINUTE:
            self.recent[event] = minute, lines, left_out + 1
            return
        self.recent[event] = minute, lines + 1, 0
        line = {"at": round(clock.wall(), 4), "front": self.name, "event": event, **fields}
        if left_out:
            line["left_out"] = left_out
        # The front goes on serving when the reader of its log has gone.
        with suppress(OSError, ValueError):
            self.sink.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
            self.sink.flush()


class LibraryLogHandler(logging.Handler):
    """Writes records of Python's `logging`, which libraries use, as events named `library`."""

    def __init__(self, log: Log) -> None:
        """Handle records of level WARNING and above."""
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, with its traceback in the field `trace`."""
        trace = logging.Formatter().formatException(record.exc_info) if record.exc_info else ""
        self.log("library", source=record.name, text=record.getMessage(), trace=trace)
