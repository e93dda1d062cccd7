"""A client that publishes one new engine after the other, and remembers how each change was answered."""

import asyncio
from collections import Counter
from itertools import count

from rigs.distributor_tier import TRY_EVERY_S

# Engines of the list that a tier starts with.
ENGINES = 2_000
# Slower than the slow disks, so that the queue of updates that wait for the disk stays short.
CHANGE_EVERY_S = 0.75
CONFIRMED, ACCEPTED = 200, 202


def engine(number):
    """The fields of an engine in a publish request."""
    return {
        "id": f"engine-{number:05}",
        "zone": f"zone-{number % 23:02}",
        "kind": "std",
        "address": f"127.{64 + (number >> 14)}.{number >> 7 & 127}.{1 + (number & 127)}:9",
    }


class PublishClient:
    """Publishes to a tier. Every attempt uses an engine of its own, so that each has one answer."""

    def __init__(self, tier):
        self.tier, self.numbers = tier, count(ENGINES)
        # The ids of the engines by how their change was answered.
        self.confirmed, self.accepted = set(), set()
        self.answers = Counter()
        self.stopped = False

    async def publish_list(self, index):
        """Publishes the list that the tier starts with; returns the status."""
        engines = [engine(number) for number in range(ENGINES)]
        status, _ = await self.tier.call(index, "POST", "/v1/publish", {"engines": engines})
        if status == CONFIRMED:
            self.confirmed.update(fields["id"] for fields in engines)
        return status

    async def publish(self, index):
        """Publishes a new engine; returns the status, 0 without an answer."""
        fields = engine(next(self.numbers))
        status, _ = await self.tier.call(index, "POST", "/v1/publish", {"upserts": [fields]})
        self.answers[status] += 1
        if status == CONFIRMED:
            self.confirmed.add(fields["id"])
        if status == ACCEPTED:
            self.accepted.add(fields["id"])
        return status

    async def run(self):
        """Publishes until `stopped` is set, through the distributor that took the last change, or the next
        one after a failure."""
        index = 0
        while not self.stopped:
            if await self.publish(index) in (CONFIRMED, ACCEPTED):
                await asyncio.sleep(CHANGE_EVERY_S)
            else:
                index = (index + 1) % len(self.tier.ports)
                await asyncio.sleep(TRY_EVERY_S)

    def missing(self, catalogs):
        """Returns the ids of confirmed engines that one of the catalogs lacks, sorted."""
        held = [{fields["id"] for fields in catalog.get("engines", ())} for catalog in catalogs]
        return sorted(self.confirmed - set.intersection(*held))
