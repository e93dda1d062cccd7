"""The log: one JSON line an event, on standard output, written by orjson."""

from __future__ import annotations

import logging
import sys
from contextlib import suppress
from time import time
from typing import BinaryIO

import orjson


class Log:
    """Writes events. Lines are few, as each counts as memory where the log is kept in it."""

    def __init__(self, name: str, sink: BinaryIO | None = None) -> None:
        self.name, self.sink = name, sink or sys.stdout.buffer

    def __call__(self, event: str, **facts) -> None:
        line = {"at": round(time(), 4), "front": self.name, "event": event, **facts}
        # A log that nobody takes any more must not take the front with it.
        with suppress(OSError, ValueError):
            self.sink.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
            self.sink.flush()


class Libraries(logging.Handler):
    """What libraries log, as lines of the same form."""

    def __init__(self, log: Log) -> None:
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        trace = logging.Formatter().formatException(record.exc_info) if record.exc_info else ""
        self.log("library", source=record.name, text=record.getMessage(), trace=trace)
