"""Reloads: the engine list of a reread configuration, and a SIGHUP while a front starts."""

import asyncio
import json
import signal

from stage import front_process
from test_moments import instance, moment, play

from thistlelever.standins.directory import Directory
from thistlelever.standins.configuration import configuration

# Seconds: the longest start on a busy machine, the wait before the first signal, and between two signals.
START_TIMEOUT, FIRST_SIGNAL_DELAY, SIGNAL_INTERVAL = 30.0, 0.05, 0.01


@moment("engine a\nengine b\nfront")
async def test_a_drain_that_only_the_reloaded_configuration_names(stage, monkeypatch):
    """The directory at the new address has not answered yet. A later reload with an older list is ignored."""
    await stage.do_moves()
    await stage.do_directory(*["lost"] * 1_000)
    known = stage.config["known"] | {"pos": 4}
    known["entries"].append({"pos": 4, "hosts": {"instances": [instance("b", "Terminating")]}})
    stage.config["known"] = known
    await play(stage, "sighup reloaded\nlisted a")
    stage.config["known"] = {"pos": 3, "entries": known["entries"][:1]}
    await play(stage, "sighup reloaded\nlisted a\nsubmit 1 pay\nanswer 1 result rows\ncalls b POST 0")


async def events_of_start(environ):
    """The front's log events up to `reloaded`; SIGHUP is sent repeatedly until the first of them."""
    process = await front_process(environ)
    events = []

    async def read_events():
        while not events or events[-1]["event"] != "reloaded":
            line = await process.stdout.readline()
            assert line, (process.returncode, events)
            events.append(json.loads(line))

    reading = asyncio.create_task(read_events())
    try:
        async with asyncio.timeout(START_TIMEOUT):
            # The shell needs a moment before it replaces itself with the front.
            await asyncio.sleep(FIRST_SIGNAL_DELAY)
            while not events and not reading.done():
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(SIGNAL_INTERVAL)
            await reading
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
    return [event["event"] for event in events]


def test_a_reload_in_the_midst_of_the_start_is_done_once_the_front_is_up(tmp_path):
    """By its default action SIGHUP would end the process; if it were ignored, the front would keep the old
    directory."""

    async def scenario():
        _, directory = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Directory(asyncio.Event()), local_addr=("127.0.0.1", 0)
        )
        path = tmp_path / "front.json"
        path.write_text(json.dumps(configuration(dns=f"127.0.0.1:{directory.port}")))
        events = await events_of_start({"BALANCER_CONFIG": str(path)})
        assert [e for e in events if e in ("ready", "reloaded")] == ["ready", "reloaded"]
        directory.transport.close()

    asyncio.run(scenario())
