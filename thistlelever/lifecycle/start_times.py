"""Where the time of a process's start goes: a start that waits is told from one that gets no CPU."""

from __future__ import annotations

import os
from pathlib import Path
from time import CLOCK_BOOTTIME, clock_gettime, process_time

from thistlelever.ground import clock

# The place of the start time among the fields of /proc/self/stat behind the command's name.
START_TIME_FIELD = 19


def process_age() -> float:
    """Seconds since this process was made; 0 where the system does not tell it."""
    try:
        fields = Path("/proc/self/stat").read_text().rpartition(")")[2].split()
        started = int(fields[START_TIME_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (OSError, ValueError, IndexError):
        return 0.0
    return max(clock_gettime(CLOCK_BOOTTIME) - started, 0.0)


class StartTimes:
    """The stages of one start in their order, the first of them since the process was made.

    Each has the seconds that passed in it (`s`) and the seconds of CPU that the process got (`cpu_s`).
    """

    def __init__(self) -> None:
        """Count from the moment at which the process was made."""
        self.stages: dict[str, dict[str, float]] = {}
        self._stage_started_at, self._cpu_at_stage_start = clock.now() - process_age(), 0.0

    def finish_stage(self, stage: str) -> None:
        """The named stage is over; what follows belongs to the next one."""
        now, cpu = clock.now(), process_time()
        self.stages[stage] = {
            "s": round(now - self._stage_started_at, 3),
            "cpu_s": round(cpu - self._cpu_at_stage_start, 3),
        }
        self._stage_started_at, self._cpu_at_stage_start = now, cpu
