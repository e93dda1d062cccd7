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
MOST_WAITING = 1_000
# Between two attempts after one that failed.
RETRY_PAUSE = 1.0


class ContentWriter:
    """One thread that writes updates in order."""

    def __init__(self, store: ContentStore, replica: Replica, log: Log) -> None:
        """Nothing is written before `run`."""
        self.store, self.replica, self.log = store, replica, log
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="content-store")
        self.waiting: list[Update] = []
        self.incomplete, self.failing = False, ""
        self.changed = asyncio.Event()
        self.written = 0

    def put(self, update: Update) -> None:
        """Write an update soon."""
        if len(self.waiting) >= MOST_WAITING:
            # The first one may be under way.
            del self.waiting[1:]
            self.incomplete = True
        self.waiting.append(update)
        self.changed.set()

    async def keep_floor(self, floor: Version) -> None:
        """Return once a promise is on disk; `StoreError` where it can't be kept."""
        await asyncio.get_running_loop().run_in_executor(self.executor, self.store.write_floor, floor)

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            if not await self.write_waiting():
                await asyncio.sleep(RETRY_PAUSE)
                self.changed.set()

    async def write_waiting(self) -> bool:
        """Write what waits; whether the disk took it. An update leaves the queue once it is written: one that
        a cancellation interrupts is written again, which changes nothing."""
        loop = asyncio.get_running_loop()
        try:
            while self.waiting:
                if self.incomplete:
                    self.waiting, self.incomplete = [self.replica.snapshot()], False
                await loop.run_in_executor(self.executor, self.store.write, self.waiting[0])
                del self.waiting[0]
                self.written += 1
        except StoreError as error:
            self.incomplete = True
            self.report(str(error))
            return False
        self.report("")
        return True

    def report(self, failing: str) -> None:
        """Say once that the disk fails, and once that it does no more."""
        if bool(failing) != bool(self.failing):
            self.log("content not kept" if failing else "content kept again", why=failing)
        self.failing = failing

    async def close(self) -> None:
        """Write what waits, once, and release the file."""
        await self.write_waiting()
        await asyncio.get_running_loop().run_in_executor(self.executor, self.store.close)
        self.executor.shutdown(wait=False)
