"""The link between a Flight call and the task of its batch."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from thistlelever.carrier.batch_tasks import CLIENT_LEFT
from thistlelever.carrier.dispatch import End
from thistlelever.carrier.result_stream import Begun
from thistlelever.store.batches import Batch

if TYPE_CHECKING:
    from thistlelever.flight.server import FlightServer

CANCELLED_BY_CLIENT = "called off"


class OpenBatch(NamedTuple):
    """A batch whose Flight call is open, and the future of its final answer."""

    batch: Batch
    answer: asyncio.Future


class BatchCall:
    """Context manager that runs a batch for the duration of its Flight call.

    Entering it starts the batch and returns its result, whole or begun; raises `StatusError` where there is
    none. A call that ends early, by a cancel, a lost connection or an error, abandons the batch: it is not
    dispatched again, and its open dispatches are cancelled.
    """

    def __init__(self, server: FlightServer, batch: Batch) -> None:
        """Nothing starts before the context is entered."""
        self.server, self.batch = server, batch

    async def __aenter__(self) -> End | Begun:
        """Start the batch and wait for its result; raises `StatusError`."""
        server, batch = self.server, self.batch
        answer = asyncio.get_running_loop().create_future()

        def set_answer(value) -> None:
            if not answer.done():
                answer.set_result(value)

        server.open_batches[batch.submission.txn] = OpenBatch(batch, answer)
        server.metrics.add("taken")
        server.batch_tasks.start(batch, set_answer)
        try:
            value = await answer
            server.metrics.add(type(value).__name__)
            if type(value) not in (End, Begun):
                raise server.no_result_error(value, batch)
        except BaseException:
            self.abandon()
            raise
        return value

    async def __aexit__(self, kind, why, trace) -> None:
        """Close the batch, or abandon it if the call has failed."""
        if kind:
            self.abandon()
        else:
            self.server.open_batches.pop(self.batch.submission.txn, None)

    def abandon(self) -> None:
        """Tell the batch's task that its client has left."""
        self.server.open_batches.pop(self.batch.submission.txn, None)
        self.batch.inbox.put_nowait(CLIENT_LEFT)
