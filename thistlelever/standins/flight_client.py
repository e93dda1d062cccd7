"""An Arrow Flight SQL client on plain gRPC calls, so that tests see each message of a response."""

from __future__ import annotations

import asyncio

import pyarrow as pa
from grpc import aio

from thistlelever.wire.flight import columns
from thistlelever.wire.flight import flight_pb2 as pb
from thistlelever.wire.flight import flight_sql_pb2 as sql
from thistlelever.wire.flight.codec import SERVICE, decode, decode_stream_message, encode_any


class CallError(Exception):
    """A call ended with a status other than OK; `code` is its name."""

    def __init__(self, why: aio.AioRpcError) -> None:
        """Keep code, details and trailing metadata."""
        super().__init__(f"{why.code().name}: {why.details()}")
        self.code, self.details = why.code().name, why.details()
        self.trailers = dict(why.trailing_metadata() or ())


def descriptor(message) -> pb.FlightDescriptor:
    """Return the descriptor of a Flight SQL command."""
    return pb.FlightDescriptor(type=pb.FlightDescriptor.CMD, cmd=encode_any(message))


async def unary(channel, method: str, request, metadata=(), timeout=None) -> bytes:
    """Return the response of a unary call; raises `CallError`."""
    try:
        return await channel.unary_unary(SERVICE + method)(
            request.SerializeToString(), metadata=tuple(metadata), timeout=timeout
        )
    except aio.AioRpcError as why:
        raise CallError(why) from None


async def info(channel, statement: str, metadata=(), timeout=None) -> pb.FlightInfo:
    """Return the FlightInfo of a statement; raises `CallError`."""
    asked = descriptor(sql.CommandStatementQuery(query=statement))
    return decode(pb.FlightInfo, await unary(channel, "GetFlightInfo", asked, metadata, timeout))


async def get(
    channel,
    ticket: pb.Ticket,
    metadata=(),
    timeout=None,
    seen: list | None = None,
    pause: asyncio.Event | None = None,
) -> pa.Table:
    """Return the table of a ticket; raises `CallError`.

    The messages are appended to `seen` as they arrive; reading waits for the event `pause` after each.
    """
    messages = seen if seen is not None else []
    call = channel.unary_stream(SERVICE + "DoGet")(
        ticket.SerializeToString(), metadata=tuple(metadata), timeout=timeout
    )
    try:
        async for raw in call:
            messages.append(raw)
            if pause:
                await pause.wait()
    except aio.AioRpcError as why:
        raise CallError(why) from None
    finally:
        call.cancel()
    return columns.decode_table(messages)


async def query(channel, statement: str, metadata=(), timeout=None) -> pa.Table:
    """Return the table of a statement by GetFlightInfo and DoGet; raises `CallError`."""
    found = await info(channel, statement, metadata, timeout)
    return await get(channel, found.endpoint[0].ticket, metadata, timeout)


async def put(channel, message, table: pa.Table | None = None, metadata=(), timeout=None) -> bytes:
    """Return the metadata of a DoPut's result, with an optional table of parameters; raises `CallError`."""
    asked = pb.FlightData(flight_descriptor=descriptor(message)).SerializeToString()
    sent = [asked]
    if table is not None:
        first, *rest = columns.encode_table(table)
        head = pb.FlightData(
            flight_descriptor=descriptor(message), data_header=decode_stream_message(first).header
        )
        sent = [head.SerializeToString(), *rest]
    call = channel.stream_stream(SERVICE + "DoPut")(metadata=tuple(metadata), timeout=timeout)
    try:
        for raw in sent:
            await call.write(raw)
        await call.done_writing()
        found = b""
        async for raw in call:
            found = decode(pb.PutResult, raw).app_metadata
        return found
    except aio.AioRpcError as why:
        raise CallError(why) from None
    except asyncio.InvalidStateError:
        code = await call.code()
        raise CallError(
            aio.AioRpcError(
                code, await call.initial_metadata(), await call.trailing_metadata(), await call.details()
            )
        ) from None


async def update(channel, statement: str, metadata=(), timeout=None) -> int:
    """Run an update; returns the rows changed, or raises `CallError`."""
    said = await put(channel, sql.CommandStatementUpdate(query=statement), None, metadata, timeout)
    return decode(sql.DoPutUpdateResult, said).record_count


async def action(channel, kind: str, body: bytes, metadata=(), timeout=None) -> tuple[bytes, dict]:
    """Return an action's first result and the call's initial metadata; raises `CallError`."""
    call = channel.unary_stream(SERVICE + "DoAction")(
        pb.Action(type=kind, body=body).SerializeToString(), metadata=tuple(metadata), timeout=timeout
    )
    found = b""
    try:
        async for raw in call:
            found = found or decode(pb.Result, raw).body
        return found, dict(await call.initial_metadata())
    except aio.AioRpcError as why:
        raise CallError(why) from None
