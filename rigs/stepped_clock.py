"""A front whose wall clock is stepped: `python -m rigs.stepped_clock serve`.

The environment variable WALL_STEPS lists the steps as `SECONDS:BY,...`: SECONDS after the start the wall
clock jumps by BY seconds, which may be negative. Monotonic clocks are not affected.
"""

import os
import time


def parse_steps(text):
    """Parses WALL_STEPS into pairs (seconds since the start, seconds to step by); raises ValueError."""
    pairs = (step.split(":") for step in text.split(",") if step)
    return [(float(at), float(by)) for at, by in pairs]


def step_wall_clock(steps):
    """Patches the module `time` so that its wall-clock functions apply the steps, counted from now."""
    began = time.monotonic()
    true_time, true_gettime = time.time, time.clock_gettime

    def offset():
        elapsed = time.monotonic() - began
        return sum(by for at, by in steps if elapsed >= at)

    def gettime(clock):
        return true_gettime(clock) + (offset() if clock == time.CLOCK_REALTIME else 0.0)

    time.time = lambda: true_time() + offset()
    time.time_ns = lambda: int(time.time() * 1e9)
    time.clock_gettime = gettime
    time.clock_gettime_ns = lambda clock: int(gettime(clock) * 1e9)


if __name__ == "__main__":
    step_wall_clock(parse_steps(os.environ["WALL_STEPS"]))
    from thistlelever.__main__ import main

    main()
