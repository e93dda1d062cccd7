"""The clocks of a front.

`now` measures intervals: it starts at Unix time and never goes back. The wall clock may be stepped at any
moment, so it is read only in this module, for timestamps that others read or that outlive the process.
"""

from __future__ import annotations

from time import monotonic, time

# Seconds between the zero points of the Unix clock and the monotonic clock, as of the start of the process.
BASE = time() - monotonic()


def now() -> float:
    """Monotonic time in seconds, offset so that it was equal to Unix time at the start of the process."""
    return BASE + monotonic()


def wall() -> float:
    """Unix time in seconds as the machine's wall clock has it now."""
    return time()


def wall_ahead() -> float:
    """Seconds by which the wall clock was stepped forward since the start: its lead over `now`."""
    return time() - now()


def on_loop(when: float) -> float:
    """Convert a time of `now` to the time of the asyncio event loop, both in seconds."""
    return when - BASE
