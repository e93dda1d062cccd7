"""Keeps the content on disk behind the event loop's back. Where the disk fails the distributor goes on
without it and says so; what was missed is made up for by writing the whole content."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor

from thistlelever.distribution.messages import Update
from thistlelever.distribution.replica import Replica
from thistlelever.distribution.versions import Version
from thistlelever.distributor.store import ContentStore, StoreError
from thistlelever.ground.log import Log

# Updates that may wait for the disk; beyond it the whole content is written instead.
MAX_PENDING_UPDATES = 1_000
# Between two attempts after one that failed.
RETRY_DELAY_S = 1.0


class ContentWriter:
    """One thread that writes updates in order."""

    def __init__(self, store: ContentStore, replica: Replica, log: Log) -> None:
        """Nothing is written before `run`."""
        self.store, self.replica, self.log = store, replica, log
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="content-store")
        self.pending: list[Update] = []
        self.needs_snapshot, self.failure = False, ""
        self.wakeup = asyncio.Event()
        self.written = 0

    def enqueue(self, update: Update) -> None:
        """Write an update soon."""
        if len(self.pending) >= MAX_PENDING_UPDATES:
            # The first one may be under way.
            del self.pending[1:]
            self.needs_snapshot = True
        self.pending.append(update)
        self.wakeup.set()

    async def write_floor(self, floor: Version) -> None:
        """Return once a promise is on disk; `StoreError` where it can't be kept."""
        await asyncio.get_running_loop().run_in_executor(self.executor, self.store.write_floor, floor)

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self.wakeup.wait()
            self.wakeup.clear()
            if not await self.write_pending():
                await asyncio.sleep(RETRY_DELAY_S)
                self.wakeup.set()

    async def write_pending(self) -> bool:
        """Write what waits; whether the disk took it. An update leaves the queue once it is written: one that
        a cancellation interrupts is written again, which changes nothing."""
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
        """Say once that the disk fails, and once that it does no more."""
        if bool(failure) != bool(self.failure):
            self.log("content not kept" if failure else "content kept again", why=failure)
        self.failure = failure

    async def close(self) -> None:
        """Write what waits, once, and release the file."""
        await self.write_pending()
        await asyncio.get_running_loop().run_in_executor(self.executor, self.store.close)
        self.executor.shutdown(wait=False)
