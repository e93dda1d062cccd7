"""The stages of a front's start and their times, as the log event `ready` has them."""

import asyncio
import json
import signal
from pathlib import Path
from time import process_time, sleep

import pytest
from stage import front_process, ready_line

from thistlelever.lifecycle import start_times
from thistlelever.lifecycle.start_times import StartTimes
from thistlelever.standins.configuration import configuration

STOPPED_S = 0.6


def test_a_stage_that_waits_is_told_from_one_that_works():
    times = StartTimes()
    times.finish_stage("loaded")
    sleep(0.2)
    times.finish_stage("waits")
    till = process_time() + 0.2
    while process_time() < till:
        pass
    times.finish_stage("works")
    waits, works = times.stages["waits"], times.stages["works"]
    assert waits["s"] >= 0.2 and waits["cpu_s"] < 0.1
    assert works["cpu_s"] >= 0.2


def test_a_process_whose_age_is_not_told_counts_from_now(monkeypatch):
    monkeypatch.setattr(start_times, "Path", lambda name: Path("/nowhere"))
    assert start_times.process_age() == 0.0


async def started(path, stopped_s):
    """The log event `ready` of a front that is stopped for so many seconds as its start begins."""
    process = await front_process({"BALANCER_CONFIG": str(path)})
    try:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(stopped_s)
        process.send_signal(signal.SIGCONT)
        return await ready_line(process)
    finally:
        process.kill()
        await process.wait()


@pytest.mark.parametrize("stopped_s", [0.0, STOPPED_S])
def test_the_ready_line_tells_the_stages_and_a_stop_among_them(tmp_path, stopped_s):
    path = tmp_path / "front.json"
    path.write_text(json.dumps(configuration()))
    stages = asyncio.run(started(path, stopped_s))["start"]
    assert list(stages) == ["loaded", "configured", "built", "directory", "listening"]
    seconds, cpu = (sum(stage[key] for stage in stages.values()) for key in ("s", "cpu_s"))
    # The age of a process is known in ticks of 10 ms.
    assert cpu > 0 and seconds - cpu >= stopped_s - 0.02
