"""Encoding of records on disk, with a schema version and a checksum.

Records of older schemas are migrated as they are read. The module consists of pure functions.
"""

from __future__ import annotations

import struct
from zlib import crc32

import msgspec
from msgspec import Struct

# Schema version of the records below. Older records are migrated; newer ones are refused and left unchanged.
SCHEMA = 2
# Schema version and CRC-32 of the encoded record that follows.
HEADER = struct.Struct(">HI")


class DamagedRecordError(Exception):
    """The bytes are not a record, or differ from what was written."""


class NewerSchemaError(Exception):
    """The record has a newer schema than this program supports."""


class ListedEngine(Struct, array_like=True, frozen=True):
    """An engine of the last list from discovery; `confirmed` is when a list last contained it."""

    id: bytes
    address: str
    port: int
    zone: int
    cell: int
    kind: int
    standing: int
    started: float
    size: float
    serial: int
    confirmed: Timestamp


class LearnedEngine(Struct, array_like=True, frozen=True):
    """What the decisions learned about an engine.

    `bound` is its limit of concurrent work, `pace` its run times relative to the expected ones, `started` the
    wall-clock time of its start, from which it counts as cold, or 0.0.
    """

    id: bytes
    bound: float
    pace: float
    started: float
    at: Timestamp


class IdempotencyRecord(Struct, array_like=True, frozen=True):
    """A batch with an idempotency key (`reference`) that may have run.

    `engine` is where it was first sent, `txn` and `number` identify it there, `ran` is when, and its repeats
    are dropped for `window` seconds.
    """

    reference: bytes
    engine: bytes
    txn: str
    number: int
    window: float
    ran: Timestamp


class CoolDown(Struct, array_like=True, frozen=True):
    """Cool-down of a key (in hex) after a batch that may still be running: `left` seconds from `at`."""

    key: str
    left: float
    at: Timestamp


class BudgetWindow(Struct, array_like=True, frozen=True):
    """Sliding window of the retry budget (rule 7).

    Times of accepted batches (`took`) and of additional dispatches (`extra`), in seconds before `at`.
    """

    took: tuple[float, ...]
    extra: tuple[float, ...]
    at: Timestamp


class Timestamp(Struct, array_like=True, frozen=True):
    """A point in time by two clocks, in seconds.

    `wall` is the wall clock, which may be stepped. `since_boot` is the boot-time clock, which is valid only
    within the boot that `boot` identifies.
    """

    wall: float
    since_boot: float
    boot: str


# The class of each kind of record; kinds are stored as text.
KINDS: dict[str, type[Struct]] = {
    "listed": ListedEngine,
    "learnt": LearnedEngine,
    "mark": IdempotencyRecord,
    "rest": CoolDown,
    "window": BudgetWindow,
}


def migrate_from_1(kind: str, fields: list) -> list:
    """Migrate from schema 1, whose timestamps hold the wall clock only; the boot clock is left unknown."""
    return [*fields[:-1], [fields[-1], 0.0, ""]]


# The function that migrates a record's fields from each schema to the next one.
MIGRATIONS = {1: migrate_from_1}


def pack(record: Struct) -> bytes:
    """Encode a record with its header."""
    body = msgspec.msgpack.encode(record)
    return HEADER.pack(SCHEMA, crc32(body)) + body


def unpack(kind: str, data: bytes) -> Struct:
    """Decode a record; raises `DamagedRecordError` or `NewerSchemaError`."""
    if len(data) < HEADER.size:
        raise DamagedRecordError("shorter than a record's head")
    schema, check = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if check != crc32(body):
        raise DamagedRecordError("its checksum is another")
    if schema > SCHEMA:
        raise NewerSchemaError(f"of schema {schema}; this program knows {SCHEMA}")
    try:
        if schema < SCHEMA:
            fields = msgspec.msgpack.decode(body)
            for step in range(schema, SCHEMA):
                fields = MIGRATIONS[step](kind, fields)
            return msgspec.convert(fields, KINDS[kind], strict=False)
        return msgspec.msgpack.decode(body, type=KINDS[kind])
    except (msgspec.MsgspecError, KeyError, IndexError) as why:
        raise DamagedRecordError(f"not of a record's form: {why}") from None
