"""The forms of records on disk: each versioned and under a checksum, older versions brought up to date as
they are read. Pure functions.
"""

from __future__ import annotations

import struct
from zlib import crc32

import msgspec
from msgspec import Struct

# The number of the forms below. An older record is taken through `MIGRATIONS`; a newer one is not touched.
SCHEMA = 2
HEADER = struct.Struct(">HI")


class DamagedRecordError(Exception):
    """The bytes are no record, or not as they were written."""


class NewerSchemaError(Exception):
    """A record of a later version than this program's."""


class ListedEngine(Struct, array_like=True, frozen=True):
    """An engine as the list last had it; `confirmed` is the moment at which a list last said so."""

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
    """What the decisions had learnt of an engine: its bound and its pace, and since when it counts as
    cold."""

    id: bytes
    bound: float
    pace: float
    started: float
    at: Timestamp


class IdempotencyRecord(Struct, array_like=True, frozen=True):
    """A referenced batch that may have run: at which engine first, under which id and number there, when,
    and for how long its repeats are dropped."""

    reference: bytes
    engine: bytes
    txn: str
    number: int
    window: float
    ran: Timestamp


class CoolDown(Struct, array_like=True, frozen=True):
    """A key (in hex) that rests after a batch that may run on: for so long from `at`."""

    key: str
    left: float
    at: Timestamp


class BudgetWindow(Struct, array_like=True, frozen=True):
    """Rule 7's window: batches taken and further dispatches, by how long before `at`."""

    took: tuple[float, ...]
    extra: tuple[float, ...]
    at: Timestamp


class Timestamp(Struct, array_like=True, frozen=True):
    """A moment by two clocks: the wall's, which jumps, and the machine's since its boot, which dies with
    it."""

    wall: float
    since_boot: float
    boot: str


KINDS: dict[str, type[Struct]] = {
    "listed": ListedEngine,
    "learnt": LearnedEngine,
    "mark": IdempotencyRecord,
    "rest": CoolDown,
    "window": BudgetWindow,
}


def migrate_from_1(kind: str, fields: list) -> list:
    """Schema 1 had one clock, the wall's: of a moment read from it the other is not known."""
    return [*fields[:-1], [fields[-1], 0.0, ""]]


MIGRATIONS = {1: migrate_from_1}


def pack(record: Struct) -> bytes:
    """A record as it lies on disk."""
    body = msgspec.msgpack.encode(record)
    return HEADER.pack(SCHEMA, crc32(body)) + body


def unpack(kind: str, data: bytes) -> Struct:
    """The record; `DamagedRecordError` or `NewerSchemaError` where it can't be read."""
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
