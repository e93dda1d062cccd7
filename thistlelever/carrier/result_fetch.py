"""Fetches the pages of one result from an HTTP engine, within the memory for results."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from thistlelever.carrier.dispatch import DispatchProgress, End, NoResultError
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.store.result_memory import ResultMemory
from thistlelever.wire import http

# How often a result that waits for memory is polled, as its engine would drop it otherwise, in seconds.
WAITING_POLL_INTERVAL_S = 1.0
# How often pages that data has followed are fetched again.
MAX_FETCHES = 8


class ResultFetch:
    """The pages of one dispatch. `fetch_page` adds a page to `end.pages` and returns what its reply means."""

    def __init__(
        self,
        end: End,
        progress: DispatchProgress,
        fetch_page: Callable[[int], Awaitable[it.DispatchOutcome]],
        memory: ResultMemory,
        metrics: Metrics,
    ) -> None:
        """Take a dispatch whose first page has been fetched, or which has none."""
        self.end, self.progress, self.fetch_page = end, progress, fetch_page
        self.memory, self.metrics = memory, metrics

    async def run(self) -> None:
        """Fetch the pages after the first once there is memory for the whole result.

        Raises `NoResultError` if one of the pages is never whole.
        """
        size = (self.progress.pages - 1) * http.MAX_PAGE_BYTES
        if size <= 0 or self.end.outcome is not it.DispatchOutcome.RETURNED:
            await self.fetch_missing_pages()
            return
        has_first_page = self.memory.reserve_now(size)
        if not has_first_page:
            await self.wait_for_memory(size)
        try:
            if not has_first_page:
                self.end.outcome = await self.fetch_page(0)
            await self.fetch_missing_pages()
        finally:
            self.memory.release(size)

    async def wait_for_memory(self, size: int) -> None:
        """Drop the first page, which its engine gives again, and wait for memory for the whole result."""
        self.metrics.add("results that waited for memory")
        while True:
            self.end.pages.clear()
            self.progress.page_watches.clear()
            try:
                async with asyncio.timeout(WAITING_POLL_INTERVAL_S):
                    await self.memory.reserve(size)
                return
            except TimeoutError:
                await self.fetch_page(0)

    async def fetch_missing_pages(self) -> None:
        """Fetch the pages after the first, and once more each page that data has followed."""
        missing = range(1, self.progress.pages)
        for _ in range(MAX_FETCHES):
            for page in missing:
                if self.end.outcome is not it.DispatchOutcome.RETURNED:
                    return
                self.end.outcome = await self.fetch_page(page)
            missing = await self.cut_pages()
            if not missing:
                return
        raise NoResultError(it.DispatchOutcome.RESET)

    async def cut_pages(self) -> list[int]:
        """Wait until each page is known to be whole or not; returns those that are not."""
        watches, self.progress.page_watches = self.progress.page_watches, {}
        cut = [page for page, watch in watches.items() if not await watch]
        for _ in cut:
            self.metrics.add("pages followed by data")
        return cut
