"""Sends the headers of a streamed response so that a time limit cannot interrupt them."""

from __future__ import annotations

import asyncio

from grpc import aio


class ResponseHeaders:
    """The headers of one call, sent by a task of their own.

    gRPC sends headers with the first message. If that write is cancelled, gRPC does not record them as sent:
    `abort` sends them again, which fails, and the client gets no status. Writes after the headers may be
    cancelled.
    """

    def __init__(self, context: aio.ServicerContext) -> None:
        """Start to send the headers."""
        self.sending = asyncio.ensure_future(context.send_initial_metadata(()))
        # Errors are raised by `wait`; a call that its client has ended does not wait for them.
        self.sending.add_done_callback(lambda sending: sending.cancelled() or sending.exception())

    async def wait(self) -> None:
        """Wait until the headers are sent; raises `aio.InternalError` if the client has ended the call."""
        await asyncio.shield(self.sending)
