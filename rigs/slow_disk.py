"""Runs a distributor whose disk is slow: `python -m rigs.slow_disk` in place of `python -m thistlelever`.

The environment variable SLOW_DISK_SEED determines the duration of each write. Optionally
PUBLISHER_LOSS_SABOTAGE names a safeguard to disable, to test that the rig reports the broken rule; an unknown
name raises KeyError.
"""

import asyncio
import os
from itertools import count
from time import sleep

from rigs.results import Chance
from thistlelever.__main__ import main as command_line
from thistlelever.carrier.distributor_connection import DistributorConnection
from thistlelever.distribution.election import Election
from thistlelever.distributor.follower import FOLLOW_PATH
from thistlelever.distributor.publishing import PublisherRole
from thistlelever.distributor.store import ContentStore

SEED_KEY, SABOTAGE_KEY = "SLOW_DISK_SEED", "PUBLISHER_LOSS_SABOTAGE"
SHORTEST_WRITE_S, LONGEST_WRITE_S = 0.1, 0.9
# Delay before each poll of a follower under the sabotage `unconfirmed`.
POLL_DELAY_S = 0.5


def slow_down_writes(seed):
    """Makes every write of the store take longer: half of the time passes before the data is on disk, and
    half before the call returns."""
    chance, numbers = Chance(seed), count()

    def slowed(write):
        def slow_write(self, value):
            share = chance.share("write", next(numbers))
            duration = SHORTEST_WRITE_S + share * (LONGEST_WRITE_S - SHORTEST_WRITE_S)
            sleep(duration / 2)
            write(self, value)
            sleep(duration / 2)

        return slow_write

    ContentStore.write = slowed(ContentStore.write)
    ContentStore.write_floor = slowed(ContentStore.write_floor)


def usurp():
    """Distributors claim the role although the publisher is alive."""
    Election.is_due = lambda self, now, age, highest: bool(highest.term) and now >= self.not_before
    Election.is_publisher_alive = lambda self, ages: False


def unconfirmed():
    """The publisher confirms a change that nobody else holds yet; followers poll with a delay."""
    call = DistributorConnection.call

    async def call_later(self, path, *arguments):
        if path == FOLLOW_PATH:
            await asyncio.sleep(POLL_DELAY_S)
        return await call(self, path, *arguments)

    async def confirmed_at_once(self, version):
        return True

    DistributorConnection.call = call_later
    PublisherRole.wait_confirmed = confirmed_at_once


GUARDS = {"usurp": usurp, "unconfirmed": unconfirmed}

if __name__ == "__main__":
    slow_down_writes(os.environ[SEED_KEY])
    if sabotage := os.environ.get(SABOTAGE_KEY):
        GUARDS[sabotage]()
    command_line()
