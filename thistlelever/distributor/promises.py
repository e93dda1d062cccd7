"""Whether this distributor remembers what it promised, and how it keeps a promise."""

from __future__ import annotations

from thistlelever.distribution.replica import Replica
from thistlelever.distribution.versions import NO_VERSION, Version
from thistlelever.distributor.content_writer import ContentWriter


class PromiseStore:
    """A promise is on disk before it is told. `restored` is whether the store held anything when this process
    started: with an empty one, or with none, promises of a former life may be forgotten."""

    def __init__(self, replica: Replica, writer: ContentWriter | None, restored: bool) -> None:
        """`writer` is None where there is no store."""
        self.replica, self.writer, self.restored = replica, writer, restored

    def is_intact(self) -> bool:
        """Whether this distributor's own answer counts in a claim. In a new tier it does once it has promised
        something in this life."""
        return self.writer is not None and (self.restored or self.replica.floor > NO_VERSION)

    async def save(self, floor: Version) -> None:
        """Keep a promise; `StoreError` where the disk does not take it."""
        if self.writer:
            await self.writer.write_floor(floor)
