"""Elapsed and CPU time of each stage of a process's start: they tell waiting from computing."""

from __future__ import annotations

import os
from pathlib import Path
from time import CLOCK_BOOTTIME, clock_gettime, process_time

from thistlelever.ground import clock

# Index of the start time among the fields of /proc/self/stat that follow the command's name.
START_TIME_FIELD = 19


def process_age() -> float:
    """Seconds since this process was created; 0 where the system does not provide it."""
    try:
        fields = Path("/proc/self/stat").read_text().rpartition(")")[2].split()
        started = int(fields[START_TIME_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (OSError, ValueError, IndexError):
        return 0.0
    return max(clock_gettime(CLOCK_BOOTTIME) - started, 0.0)


class StartTimes:
    """The stages of one start in order; the first begins with the creation of the process.

    Each has its elapsed seconds (`s`) and the CPU seconds that the process used in it (`cpu_s`).
    """

    def __init__(self) -> None:
        """The first stage begins when the process was created."""
        self.stages: dict[str, dict[str, float]] = {}
        self._stage_started_at, self._cpu_at_stage_start = clock.now() - process_age(), 0.0

    def finish_stage(self, stage: str) -> None:
        """Record the stage that ends now; the next one begins."""
        now, cpu = clock.now(), process_time()
        self.stages[stage] = {
            "s": round(now - self._stage_started_at, 3),
            "cpu_s": round(cpu - self._cpu_at_stage_start, 3),
        }
        self._stage_started_at, self._cpu_at_stage_start = now, cpu
