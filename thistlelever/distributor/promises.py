"""Storage of this distributor's promises, and whether they survived its restart."""

from __future__ import annotations

from thistlelever.distribution.replica import Replica
from thistlelever.distribution.versions import NO_VERSION, Version
from thistlelever.distributor.content_writer import ContentWriter


class PromiseStore:
    """Stores a promise before it is sent. `restored` is whether the store held anything when this process
    started: if it was empty, or if there is none, promises made before the restart may be lost."""

    def __init__(self, replica: Replica, writer: ContentWriter | None, restored: bool) -> None:
        """`writer` is None if there is no store."""
        self.replica, self.writer, self.restored = replica, writer, restored

    def is_intact(self) -> bool:
        """Returns whether this distributor's own reply counts in a claim. In a new tier it counts once the
        distributor has promised something since it started."""
        return self.writer is not None and (self.restored or self.replica.floor > NO_VERSION)

    async def save(self, floor: Version) -> None:
        """Stores a promise, if there is a store. Raises `StoreError` if that fails."""
        if self.writer:
            await self.writer.write_floor(floor)
