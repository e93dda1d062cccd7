"""A directory whose answers come late: what it tells of drains is heeded soon after it was told.

The story. Under fault injection queries went to engines that drain, 0.4 to 1.1 s after the front counted as
told. It counts as told when the directory sends the answer. Seen here: once each answer takes 2 s, the front
knows of a drain a second after that, and where answers take longer than 3.25 s it never hears of one again.
"""

import asyncio

import pytest
from stage import DRAIN_GRACE
from test_moments import served

from thistlelever.carrier import directory

SERVICE_PACE = directory.PACE


@pytest.mark.parametrize("delay", (0.3, 1.0, 2.0, 3.0, 4.0))
def test_a_drain_is_known_soon_after_a_slow_directory_told_it(delay, monkeypatch):
    """Answers begin to be slow just before the drain, at the pace of the service."""

    async def whole():
        async with served("engine a\nengine b\nfront") as stage:
            monkeypatch.setattr(directory, "PACE", SERVICE_PACE)
            loop, office = asyncio.get_running_loop(), stage.office
            await asyncio.sleep(2 * SERVICE_PACE)
            stage.directory.delay = delay
            stage.directory.serial = 4
            stage.directory.entries = {"a": (stage.port("a"), False), "b": (stage.port("b"), True)}
            async with asyncio.timeout(3 * delay + 2.0):
                while office.roll.open_to(b"b"):
                    await asyncio.sleep(0.005)
            assert loop.time() - stage.directory.first_sent[4] < DRAIN_GRACE

    asyncio.run(whole())
