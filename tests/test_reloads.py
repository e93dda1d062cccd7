"""Reloads: the list that a configuration read again holds, and one that comes while a front starts."""

import asyncio
import json
import signal

from stage import front_process
from test_moments import instance, moment, play

from thistlelever.standins.directory import Directory
from thistlelever.standins.configuration import configuration

# Seconds: a start on a busy machine, before the first signal, and between two.
LONGEST_START, SHELL, PAUSE = 30.0, 0.05, 0.01


@moment("engine a\nengine b\nfront")
async def test_a_drain_that_only_the_reloaded_configuration_names(stage, monkeypatch):
    """Its directory says nothing yet; an older list in a configuration read again is no news."""
    await stage.do_moves()
    await stage.do_directory(*["lost"] * 1_000)
    known = stage.config["known"] | {"pos": 4}
    known["entries"].append({"pos": 4, "hosts": {"instances": [instance("b", "Terminating")]}})
    stage.config["known"] = known
    await play(stage, "sighup reloaded\nlisted a")
    stage.config["known"] = {"pos": 3, "entries": known["entries"][:1]}
    await play(stage, "sighup reloaded\nlisted a\nsubmit 1 pay\nanswer 1 result rows\ncalls b POST 0")


async def events_of_start(environ):
    """The front's log lines up to `reloaded`, where it got one SIGHUP after the other until it was ready."""
    process = await front_process(environ)
    events = []

    async def hear():
        while not events or events[-1]["event"] != "reloaded":
            line = await process.stdout.readline()
            assert line, (process.returncode, events)
            events.append(json.loads(line))

    hearing = asyncio.create_task(hear())
    try:
        async with asyncio.timeout(LONGEST_START):
            # The shell has its own time to set what it hands on.
            await asyncio.sleep(SHELL)
            while not events and not hearing.done():
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(PAUSE)
            await hearing
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
    return [event["event"] for event in events]


def test_a_reload_in_the_midst_of_the_start_is_done_once_the_front_is_up(tmp_path):
    """Risk: the default action of SIGHUP ends the process; one ignored leaves it at the old directory."""

    async def whole():
        _, directory = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Directory(asyncio.Event()), local_addr=("127.0.0.1", 0)
        )
        path = tmp_path / "front.json"
        path.write_text(json.dumps(configuration(dns=f"127.0.0.1:{directory.port}")))
        events = await events_of_start({"BALANCER_CONFIG": str(path)})
        assert [e for e in events if e in ("ready", "reloaded")] == ["ready", "reloaded"]
        directory.transport.close()

    asyncio.run(whole())
