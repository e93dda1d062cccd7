"""A directory with late answers: the front learns of a drain soon after the directory sent it.

Guards against queries to draining engines 0.4 to 1.1 s after the front counted as informed, which is the
moment when the directory sends the answer. Observed under fault injection: with answers delayed by 2 s the
front learned of a drain a second after that, and with delays over 3.25 s it never learned of another drain.
"""

import asyncio

import pytest
from stage import DRAIN_GRACE
from test_moments import served

from thistlelever.carrier import directory

SERVICE_INTERVAL = directory.POLL_INTERVAL


@pytest.mark.parametrize("delay", (0.3, 1.0, 2.0, 3.0, 4.0))
def test_a_drain_is_known_soon_after_a_slow_directory_sent_it(delay, monkeypatch):
    """Answers become slow just before the drain, at the poll interval used in production."""

    async def scenario():
        async with served("engine a\nengine b\nfront") as stage:
            monkeypatch.setattr(directory, "POLL_INTERVAL", SERVICE_INTERVAL)
            loop, server = asyncio.get_running_loop(), stage.server
            await asyncio.sleep(2 * SERVICE_INTERVAL)
            stage.directory.delay = delay
            stage.directory.serial = 4
            stage.directory.entries = {"a": (stage.port("a"), False), "b": (stage.port("b"), True)}
            async with asyncio.timeout(3 * delay + 2.0):
                while server.registry.accepts_dispatches(b"b"):
                    await asyncio.sleep(0.005)
            assert loop.time() - stage.directory.first_sent[4] < DRAIN_GRACE

    asyncio.run(scenario())
