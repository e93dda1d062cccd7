"""Storage of this distributor's promises, and whether they survived its restart."""

from __future__ import annotations

from thistlelever.distribution.promise_recovery import may_promise_unrecovered
from thistlelever.distribution.replica import Replica
from thistlelever.distribution.versions import NO_VERSION, Version
from thistlelever.distributor.content_writer import ContentWriter

# Why a term is not promised; in errors and log lines.
NOT_RECOVERED = "promises from before the start are not recovered yet"


class PromiseStore:
    """Stores a promise before it is sent. `restored` is whether the store held anything when this process
    started: if it was empty, or if there is none, promises made before the restart may be lost until they
    are recovered from the other distributors."""

    def __init__(self, replica: Replica, writer: ContentWriter | None, restored: bool) -> None:
        """`writer` is None if there is no store."""
        self.replica, self.writer, self.restored = replica, writer, restored
        self.recovered = False

    def is_intact(self) -> bool:
        """Returns whether this distributor's own reply counts in a claim. In a new tier it counts once the
        distributor has promised something since it started."""
        return self.writer is not None and (self.restored or self.replica.floor > NO_VERSION)

    def is_recovered(self) -> bool:
        """Returns whether this distributor remembers its promises, or has promised something since it started
        or recovered what it may have lost. Unlike `is_intact` this doesn't depend on a store: without one it
        holds until the process ends."""
        return self.restored or self.recovered or self.replica.floor > NO_VERSION

    def may_promise(self, term: int) -> bool:
        """Returns whether this distributor may promise the term, as far as it remembers its promises."""
        return self.is_recovered() or may_promise_unrecovered(term)

    def is_content_stored(self) -> bool:
        """Returns whether the content held is on disk, if there is a store."""
        return self.writer is None or not self.writer.pending

    async def recover(self, floor: Version) -> None:
        """Makes `floor`, the highest promise that may have been lost, the lowest floor of the replica, and
        stores it. Raises `StoreError` if that fails; this process then still keeps to it."""
        self.recovered = True
        if floor > self.replica.floor:
            self.replica.floor = floor
            await self.save(floor)

    async def save(self, floor: Version) -> None:
        """Stores a promise, if there is a store. Raises `StoreError` if that fails."""
        if self.writer:
            await self.writer.write_floor(floor)
