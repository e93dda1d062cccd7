"""Conversion between rows of text and Arrow columns, for engines and clients of different protocols.

Results that go from a Flight SQL engine to a Flight SQL client are passed through without conversion.
"""

from __future__ import annotations

import io
import struct
from collections.abc import Iterable

import pyarrow as pa
from pyarrow import compute, csv, ipc

from thistlelever.wire.flight.codec import Unreadable, decode_stream_message, encode_stream_message

# Column names for rows of text, which carry no names.
NAMES = ("c1", "c2", "c3")
SCHEMA = pa.schema([pa.field(name, pa.string(), nullable=False) for name in NAMES])
# Marker in front of each encapsulated IPC message.
CONTINUATION = b"\xff\xff\xff\xff"
# Limit of a complete result of text in the JSON-RPC interface.
MAX_TEXT_BYTES = 48_000
CSV_OPTIONS = {
    "read_options": csv.ReadOptions(use_threads=False, column_names=list(NAMES)),
    "parse_options": csv.ParseOptions(
        delimiter="\t",
        quote_char=False,
        double_quote=False,
        escape_char=False,
        newlines_in_values=False,
        ignore_empty_lines=False,
    ),
    "convert_options": csv.ConvertOptions(
        column_types=dict.fromkeys(NAMES, pa.string()),
        strings_can_be_null=False,
        quoted_strings_can_be_null=False,
        null_values=[],
    ),
}


def encapsulated(raw: bytes) -> bytes:
    """Convert a message of a stream to an encapsulated IPC message, its header padded to eight bytes."""
    message = decode_stream_message(raw)
    head = message.header + b"\0" * (-len(message.header) % 8)
    return CONTINUATION + struct.pack("<i", len(head)) + head + message.body


def decode_schema(raw: bytes) -> pa.Schema:
    """Decode the schema in the first message of a stream; raises `Unreadable`."""
    try:
        return ipc.read_schema(pa.py_buffer(encapsulated(raw)))
    except (pa.ArrowException, OSError, ValueError) as why:
        raise Unreadable(f"no schema: {why}") from None


def encode_table(table: pa.Table) -> list[bytes]:
    """Encode a table as the messages of a stream, dictionaries included."""
    sink = pa.BufferOutputStream()
    with ipc.new_stream(sink, table.schema) as writer:
        writer.write_table(table)
    messages = ipc.MessageReader.open_stream(sink.getvalue())
    return [
        encode_stream_message(message.metadata.to_pybytes(), message.body.to_pybytes())
        for message in messages
    ]


def encode_rows(pages: Iterable[bytes]) -> list[bytes]:
    """Encode pages of rows as the messages of a stream; raises `Unreadable`.

    Columns are separated by tabs, and a line feed ends each row.
    """
    text = b"".join(pages)
    if not text:
        return encode_table(SCHEMA.empty_table())
    try:
        table = csv.read_csv(io.BytesIO(text), **CSV_OPTIONS)
    except (pa.ArrowException, UnicodeDecodeError) as why:
        raise Unreadable(f"rows that are no UTF-8 text of three columns: {why}") from None
    return encode_table(table.cast(SCHEMA))


def decode_table(stream: Iterable[bytes]) -> pa.Table:
    """Decode the messages of a stream to a table; raises `Unreadable`.

    Dictionaries are resolved, and messages that hold metadata only are skipped.
    """
    messages = [encapsulated(raw) for raw in stream if decode_stream_message(raw).header]
    if not messages:
        raise Unreadable("a stream without a schema")
    try:
        with ipc.open_stream(pa.py_buffer(b"".join(messages) + CONTINUATION + b"\0\0\0\0")) as reader:
            table = reader.read_all()
            table.validate(full=True)
            return table
    except (pa.ArrowException, OSError, ValueError, IndexError) as why:
        raise Unreadable(f"messages that make no table: {why}") from None


def decode_rows(stream: Iterable[bytes]) -> bytes:
    """Convert the messages of a stream to rows of text for clients of JSON-RPC.

    Raises `Unreadable` unless the result has three columns, at most `MAX_TEXT_BYTES` bytes of text, and no
    tab or line feed in a value.
    """
    table = decode_table(stream)
    if table.num_columns != len(NAMES):
        raise Unreadable(f"{table.num_columns} columns; rows of text have three")
    try:
        columns = [as_strings(column.combine_chunks()) for column in table.columns]
        if any(compute.any(compute.match_substring_regex(column, "[\t\n]")).as_py() for column in columns):
            raise Unreadable("a tab or a line feed in a value")
        lines = compute.binary_join_element_wise(*columns, "\t").to_pylist()
    except (pa.ArrowException, TypeError) as why:
        raise Unreadable(f"values that are no text: {why}") from None
    text = "".join(line + "\n" for line in lines).encode()
    if len(text) > MAX_TEXT_BYTES:
        raise Unreadable(f"{len(text)} bytes of rows; {MAX_TEXT_BYTES} at most")
    return text


def as_strings(values: pa.Array) -> pa.Array:
    """Cast an array to strings, with nulls as empty strings."""
    if pa.types.is_dictionary(values.type):
        values = values.dictionary_decode()
    return values.cast(pa.string()).fill_null("")


def decode_parameters(stream: Iterable[bytes], max_rows: int) -> list[tuple]:
    """Decode the rows of parameters that a client binds to Python values; raises `Unreadable`."""
    table = decode_table(stream)
    if table.num_rows > max_rows:
        raise Unreadable(f"{table.num_rows} rows of parameters; {max_rows} at most")
    columns = [column.to_pylist() for column in table.columns]
    return list(zip(*columns, strict=True)) if columns else [()] * table.num_rows
