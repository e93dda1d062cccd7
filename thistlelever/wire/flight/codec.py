"""Flight's messages as they lie on the wire: parcels of a stream, commands inside `Any`, names of calls."""

from __future__ import annotations

from typing import NamedTuple, TypeVar

from google.protobuf.any_pb2 import Any
from google.protobuf.message import DecodeError, Message

from thistlelever.wire.flight import flight_pb2 as pb
from thistlelever.wire.flight import flight_sql_pb2 as sql

SERVICE = "/arrow.flight.protocol.FlightService/"
TYPE_URL_PREFIX = "type.googleapis.com/"
SQL_PACKAGE = "arrow.flight.protocol.sql."
# A command holds a statement of 190 KB at most, as on the other door, and some words beside it.
MAX_COMMAND_BYTES = 262_144


M = TypeVar("M", bound=Message)


class Unreadable(Exception):
    """The bytes are no message of the kind that is expected here."""


class StreamMessage(NamedTuple):
    """One message of a stream: the IPC message's head and body, and what the sender adds."""

    header: bytes
    body: bytes
    metadata: bytes
    command: bytes


def decode_stream_message(raw: bytes) -> StreamMessage:
    """What a message of a stream holds."""
    data = decode(pb.FlightData, raw)
    return StreamMessage(data.data_header, data.data_body, data.app_metadata, data.flight_descriptor.cmd)


def encode_stream_message(header: bytes, body: bytes = b"", metadata: bytes = b"") -> bytes:
    """One message of a stream as it goes out."""
    return pb.FlightData(data_header=header, data_body=body, app_metadata=metadata).SerializeToString()


def decode(kind: type[M], raw: bytes) -> M:
    try:
        return kind.FromString(raw)
    except DecodeError as why:
        raise Unreadable(f"no {kind.DESCRIPTOR.name}: {why}") from None


def decode_command(raw: bytes) -> Message:
    """The Flight SQL message inside an `Any`, by its type URL."""
    if len(raw) > MAX_COMMAND_BYTES:
        raise Unreadable(f"a command of {len(raw)} bytes")
    envelope = decode(Any, raw)
    prefix, _, name = envelope.type_url.rpartition("/")
    if not name.startswith(SQL_PACKAGE) or not prefix:
        raise Unreadable(f"type URL {envelope.type_url[:80]!r} is none of Flight SQL")
    kind = getattr(sql, name.removeprefix(SQL_PACKAGE), None)
    if kind is None:
        raise UnsupportedCommand(name.removeprefix(SQL_PACKAGE))
    return decode(kind, envelope.value)


class UnsupportedCommand(Exception):
    """A command or action of Flight SQL that is not served here; its name."""


def encode_any(message: Message) -> bytes:
    """A Flight SQL message as `Any`, as commands and the bodies of actions are sent."""
    envelope = Any(type_url=TYPE_URL_PREFIX + message.DESCRIPTOR.full_name, value=message.SerializeToString())
    return envelope.SerializeToString()
