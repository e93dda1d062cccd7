"""Codec of Flight messages: messages of a stream, commands inside `Any`, and the name of the service."""

from __future__ import annotations

from typing import NamedTuple, TypeVar

from google.protobuf.any_pb2 import Any
from google.protobuf.message import DecodeError, Message

from thistlelever.wire.flight import flight_pb2 as pb
from thistlelever.wire.flight import flight_sql_pb2 as sql

SERVICE = "/arrow.flight.protocol.FlightService/"
TYPE_URL_PREFIX = "type.googleapis.com/"
SQL_PACKAGE = "arrow.flight.protocol.sql."
# A command holds a statement of up to 190 KB, the limit that also holds for JSON-RPC, and a few other fields.
MAX_COMMAND_BYTES = 262_144


M = TypeVar("M", bound=Message)


class Unreadable(Exception):
    """The bytes are not a message of the expected type, or its content is malformed."""


class StreamMessage(NamedTuple):
    """A message of a stream: header and body of the IPC message, and the sender's metadata and command."""

    header: bytes
    body: bytes
    metadata: bytes
    command: bytes


def decode_stream_message(raw: bytes) -> StreamMessage:
    """Decode a message of a stream; raises `Unreadable`."""
    data = decode(pb.FlightData, raw)
    return StreamMessage(data.data_header, data.data_body, data.app_metadata, data.flight_descriptor.cmd)


def encode_stream_message(header: bytes, body: bytes = b"", metadata: bytes = b"") -> bytes:
    """Encode a message of a stream."""
    return pb.FlightData(data_header=header, data_body=body, app_metadata=metadata).SerializeToString()


def decode(kind: type[M], raw: bytes) -> M:
    """Decode a Protocol Buffers message of a type; raises `Unreadable`."""
    try:
        return kind.FromString(raw)
    except DecodeError as why:
        raise Unreadable(f"no {kind.DESCRIPTOR.name}: {why}") from None


def decode_command(raw: bytes) -> Message:
    """Decode the Flight SQL message inside an `Any` by its type URL.

    Raises `Unreadable`, or `UnsupportedCommand` with the name of the message.
    """
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
    """A Flight SQL command or action that this program does not support; the argument is its name."""


def encode_any(message: Message) -> bytes:
    """Encode a Flight SQL message as `Any`, the form of commands and of the bodies of actions."""
    envelope = Any(type_url=TYPE_URL_PREFIX + message.DESCRIPTOR.full_name, value=message.SerializeToString())
    return envelope.SerializeToString()
