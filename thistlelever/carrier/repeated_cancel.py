"""Repeats the cancel of a dispatch until its engine has confirmed it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from grpc import StatusCode

from thistlelever.ground import clock

# In seconds: delay before a cancel that failed is repeated, and before one without an answer yet is repeated
# beside it, doubled each time.
RETRY_DELAY_S, REPEAT_BESIDE_S = 0.05, 1.0
# Answers that settle a cancel: cancelled, never received, or cancelling is not supported.
SETTLED = frozenset((StatusCode.OK, StatusCode.NOT_FOUND, StatusCode.UNIMPLEMENTED))

# Sends one cancel with a time-out in seconds; returns the engine's status, or None if it was not reached.
SendCancel = Callable[[float], Awaitable[StatusCode | None]]
# Whether the engine certainly runs nothing any more; asked after it was not reached.
IsStopped = Callable[[], Awaitable[bool]]


async def cancel_until_settled(send: SendCancel, is_stopped: IsStopped, deadline: float) -> bool:
    """Repeat a cancel; returns whether it was settled before the engine had stopped or `deadline` passed.

    A cancel without an answer stays open while it is repeated: over a slow link none would arrive if each was
    ended before the next.
    """
    calls: set[asyncio.Task[StatusCode | None]] = set()
    repeat_after = REPEAT_BESIDE_S
    try:
        while (left := deadline - clock.now()) > 0:
            calls.add(asyncio.ensure_future(send(left)))
            done, calls = await asyncio.wait(
                calls, timeout=min(repeat_after, left), return_when=asyncio.FIRST_COMPLETED
            )
            statuses = {status_of(call) for call in done}
            if statuses & SETTLED:
                return True
            if None in statuses and await is_stopped():
                return False
            if done:
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                repeat_after *= 2
    finally:
        for call in calls:
            call.cancel()
    return False


def status_of(call: asyncio.Task[StatusCode | None]) -> StatusCode | None:
    """Return the result of a cancel that is done. gRPC cancels a call whose channel is closed."""
    return StatusCode.CANCELLED if call.cancelled() else call.result()
