"""The forms of records on disk: each versioned and under a checksum, older versions brought up to date as
they are read. Pure functions.
"""

from __future__ import annotations

import struct
from zlib import crc32

import msgspec
from msgspec import Struct

# The number of the forms below. An older record is taken through `STEPS`; a newer one is not touched.
SCHEMA = 2
HEAD = struct.Struct(">HI")


class Damaged(Exception):
    """The bytes are no record, or not as they were written."""


class Newer(Exception):
    """A record of a later version than this program's."""


class Listed(Struct, array_like=True, frozen=True):
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
    confirmed: Moment


class Learnt(Struct, array_like=True, frozen=True):
    """What the decisions had learnt of an engine: its bound and its pace, and since when it counts as
    cold."""

    id: bytes
    bound: float
    pace: float
    started: float
    at: Moment


class Mark(Struct, array_like=True, frozen=True):
    """A referenced batch that may have run: at which engine first, under which id and number there, when,
    and for how long its repeats are dropped."""

    reference: bytes
    engine: bytes
    txn: str
    number: int
    window: float
    ran: Moment


class Rest(Struct, array_like=True, frozen=True):
    """A key (in hex) that rests after a batch that may run on: for so long from `at`."""

    key: str
    left: float
    at: Moment


class Window(Struct, array_like=True, frozen=True):
    """Rule 7's window: batches taken and further dispatches, by how long before `at`."""

    took: tuple[float, ...]
    extra: tuple[float, ...]
    at: Moment


class Moment(Struct, array_like=True, frozen=True):
    """A moment by two clocks: the wall's, which jumps, and the machine's since its boot, which dies with
    it."""

    wall: float
    since_boot: float
    boot: str


KINDS: dict[str, type[Struct]] = {
    "listed": Listed,
    "learnt": Learnt,
    "mark": Mark,
    "rest": Rest,
    "window": Window,
}


def from_one(kind: str, fields: list) -> list:
    """Schema 1 had one clock, the wall's: of a moment read from it the other is not known."""
    return [*fields[:-1], [fields[-1], 0.0, ""]]


STEPS = {1: from_one}


def pack(record: Struct) -> bytes:
    """A record as it lies on disk."""
    body = msgspec.msgpack.encode(record)
    return HEAD.pack(SCHEMA, crc32(body)) + body


def unpack(kind: str, data: bytes) -> Struct:
    """The record; `Damaged` or `Newer` where it can't be read."""
    if len(data) < HEAD.size:
        raise Damaged("shorter than a record's head")
    schema, check = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if check != crc32(body):
        raise Damaged("its checksum is another")
    if schema > SCHEMA:
        raise Newer(f"of schema {schema}; this program knows {SCHEMA}")
    try:
        if schema < SCHEMA:
            fields = msgspec.msgpack.decode(body)
            for step in range(schema, SCHEMA):
                fields = STEPS[step](kind, fields)
            return msgspec.convert(fields, KINDS[kind], strict=False)
        return msgspec.msgpack.decode(body, type=KINDS[kind])
    except (msgspec.MsgspecError, KeyError, IndexError) as why:
        raise Damaged(f"not of a record's form: {why}") from None
