"""A batch from its taking to the end of its Flight call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from thistlelever.carrier.batch_tasks import CLIENT_LEFT
from thistlelever.carrier.dispatch import End
from thistlelever.carrier.result_stream import Begun
from thistlelever.store.batches import Batch

if TYPE_CHECKING:
    from thistlelever.flight.door import Door

CALLED_OFF = "called off"


class Open(NamedTuple):
    """A batch that is open at this door, and where its answer is awaited."""

    batch: Batch
    told: asyncio.Future


class Taking:
    """A batch from its taking to the end of its call: the result, or `Refusal`. Whoever leaves early, by a
    cancel, a lost connection or a fault, leaves the batch: no further dispatch, and what is out is called
    off."""

    def __init__(self, door: Door, batch: Batch) -> None:
        self.door, self.batch = door, batch

    async def __aenter__(self) -> End | Begun:
        door, batch = self.door, self.batch
        told = asyncio.get_running_loop().create_future()

        def answer(said) -> None:
            if not told.done():
                told.set_result(said)

        door.open[batch.submission.txn] = Open(batch, told)
        door.metrics.add("taken")
        door.batch_tasks.start(batch, answer)
        try:
            said = await told
            door.metrics.add(type(said).__name__)
            if type(said) not in (End, Begun):
                raise door.meaning(said, batch)
        except BaseException:
            self.leave()
            raise
        return said

    async def __aexit__(self, kind, why, trace) -> None:
        if kind:
            self.leave()
        else:
            self.door.open.pop(self.batch.submission.txn, None)

    def leave(self) -> None:
        self.door.open.pop(self.batch.submission.txn, None)
        self.batch.inbox.put_nowait(CLIENT_LEFT)
