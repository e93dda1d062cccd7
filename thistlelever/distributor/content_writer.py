"""Writes the content to disk on a thread of its own. If the disk fails, the distributor continues without it
and logs the failure; once the disk works again, the whole content is written to make up for the updates
missed."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor

from thistlelever.distribution.messages import Update
from thistlelever.distribution.replica import Replica
from thistlelever.distribution.versions import Version
from thistlelever.distributor.store import ContentStore, StoreError
from thistlelever.ground.log import Log

# Maximum length of the queue; beyond it the whole content is written instead.
MAX_PENDING_UPDATES = 1_000
# Delay after a failed write before the next attempt.
RETRY_DELAY_S = 1.0


class ContentWriter:
    """Writes updates in order, on one thread."""

    def __init__(self, store: ContentStore, replica: Replica, log: Log) -> None:
        """Writes nothing before `run`."""
        self.store, self.replica, self.log = store, replica, log
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="content-store")
        self.pending: list[Update] = []
        self.needs_snapshot, self.failure = False, ""
        self.wakeup = asyncio.Event()
        self.written = 0

    def enqueue(self, update: Update) -> None:
        """Queues an update for writing."""
        if len(self.pending) >= MAX_PENDING_UPDATES:
            # The first one may already be in progress on the writer thread.
            del self.pending[1:]
            self.needs_snapshot = True
        self.pending.append(update)
        self.wakeup.set()

    async def write_floor(self, floor: Version) -> None:
        """Stores a promise and returns once it is on disk. Raises `StoreError` if that fails."""
        await asyncio.get_running_loop().run_in_executor(self.executor, self.store.write_floor, floor)

    async def run(self) -> None:
        """Writes until cancelled."""
        while True:
            await self.wakeup.wait()
            self.wakeup.clear()
            if not await self.write_pending():
                await asyncio.sleep(RETRY_DELAY_S)
                self.wakeup.set()

    async def write_pending(self) -> bool:
        """Writes the queued updates and returns whether that succeeded. An update leaves the queue only after
        it was written. If a cancellation interrupts the wait, the same update is written again later, which
        is idempotent."""
        loop = asyncio.get_running_loop()
        try:
            while self.pending:
                if self.needs_snapshot:
                    self.pending, self.needs_snapshot = [self.replica.snapshot()], False
                await loop.run_in_executor(self.executor, self.store.write, self.pending[0])
                del self.pending[0]
                self.written += 1
        except StoreError as error:
            self.needs_snapshot = True
            self.report_failure(str(error))
            return False
        self.report_failure("")
        return True

    def report_failure(self, failure: str) -> None:
        """Records the present failure (empty if there is none) and logs each change between failing and
        working once."""
        if bool(failure) != bool(self.failure):
            self.log("content not kept" if failure else "content kept again", why=failure)
        self.failure = failure

    async def close(self) -> None:
        """Tries once to write the queued updates, and closes the file."""
        await self.write_pending()
        await asyncio.get_running_loop().run_in_executor(self.executor, self.store.close)
        self.executor.shutdown(wait=False)
