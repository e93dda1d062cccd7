"""Flight SQL sessions: options that a client sets once for its later calls, bounded in number."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

# Options that may be set, by the names that the fields of a batch have in every protocol.
OPTIONS = ("group", "tenant", "wait_ms", "cost_ms", "need_mb", "retry", "catalog", "schema")
NUMERIC_OPTIONS = ("wait_ms", "cost_ms", "need_mb")
# Numbers are below this one, as in the fields of a batch.
NUMBER_LIMIT = 1e12
MAX_TEXT_LENGTH = 128


@dataclass(slots=True)
class Session:
    """The options of one client by name; `last_used` is the time of the last call in seconds."""

    last_used: float
    options: dict[str, str | float | bool] = field(default_factory=dict)


class Sessions:
    """Sessions by id, least recently used first.

    As with prepared statements, a new session replaces only those that have been idle for `idle` seconds.
    """

    def __init__(self, max_count: int, idle: float) -> None:
        """Hold up to `max_count` sessions; `idle` in seconds."""
        self.max_count, self.idle = max_count, idle
        self.by_id: OrderedDict[str, Session] = OrderedDict()

    def open(self, session_id: str, now: float) -> Session | None:
        """Create a session under a new id; returns None where there is no room."""
        while self.by_id and now - next(iter(self.by_id.values())).last_used >= self.idle:
            self.by_id.popitem(last=False)
        if len(self.by_id) >= self.max_count:
            return None
        self.by_id[session_id] = Session(now)
        return self.by_id[session_id]

    def find(self, session_id: str, now: float) -> Session | None:
        """Return the session with that id and mark it as used now; None where it is missing or expired."""
        found = self.by_id.get(session_id)
        if found and now - found.last_used >= self.idle:
            del self.by_id[session_id]
            return None
        if found:
            found.last_used = now
            self.by_id.move_to_end(session_id)
        return found

    def close(self, session_id: str) -> bool:
        """Remove a session; returns whether there was one."""
        return self.by_id.pop(session_id, None) is not None


def option_error(name: str, value) -> str | None:
    """Check an option: "name" if it is unknown, "value" if its value is invalid, None if it may be set."""
    if name not in OPTIONS:
        return "name"
    if name in NUMERIC_OPTIONS:
        is_valid = is_valid_number(name, value)
    elif name == "retry":
        is_valid = type(value) is bool or value in ("0", "1", "true", "false")
    else:
        is_valid = type(value) is str and 0 < len(value) <= MAX_TEXT_LENGTH
    return None if is_valid else "value"


def is_valid_number(name: str, value) -> bool:
    """Whether a value, as a number or as text, is one that a batch may have in the field of that option."""
    number = value if type(value) in (int, float) else parse_number(value)
    if number is None or not 0 <= number < NUMBER_LIMIT:
        return False
    # A batch that waits for 0 ms is refused.
    return name != "wait_ms" or number > 0


def parse_number(text) -> float | None:
    """Parse a number that came as a string, as all headers do; None for anything else."""
    try:
        return float(text) if type(text) is str and len(text) <= 32 else None
    except ValueError:
        return None
