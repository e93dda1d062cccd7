"""A batch from its taking to the end of its Flight call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from thistlelever.carrier.course import LEFT
from thistlelever.carrier.dispatch import End
from thistlelever.carrier.flow import Begun
from thistlelever.store.batches import Batch

if TYPE_CHECKING:
    from thistlelever.flight.server import FlightServer

CANCELLED_BY_CLIENT = "called off"


class OpenBatch(NamedTuple):
    """A batch that is open at this server, and where its answer is awaited."""

    batch: Batch
    answered: asyncio.Future


class BatchCall:
    """A batch from its taking to the end of its call: the result, or `StatusError`. Whoever leaves early, by
    a cancel, a lost connection or a fault, leaves the batch: no further dispatch, and what is out is called
    off."""

    def __init__(self, server: FlightServer, batch: Batch) -> None:
        self.server, self.batch = server, batch

    async def __aenter__(self) -> End | Begun:
        server, batch = self.server, self.batch
        answered = asyncio.get_running_loop().create_future()

        def set_answer(value) -> None:
            if not answered.done():
                answered.set_result(value)

        server.open_batches[batch.asked.txn] = OpenBatch(batch, answered)
        server.metrics.add("taken")
        server.courses.start(batch, set_answer)
        try:
            value = await answered
            server.metrics.add(type(value).__name__)
            if type(value) not in (End, Begun):
                raise server.no_result_error(value, batch)
        except BaseException:
            self.abandon()
            raise
        return value

    async def __aexit__(self, kind, why, trace) -> None:
        if kind:
            self.abandon()
        else:
            self.server.open_batches.pop(self.batch.asked.txn, None)

    def abandon(self) -> None:
        self.server.open_batches.pop(self.batch.asked.txn, None)
        self.batch.inbox.put_nowait(LEFT)
