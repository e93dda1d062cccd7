"""Which records may be published: the limits of each field, and what must be unique."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple, NoReturn

from thistlelever.distribution.records import DOCUMENT_PREFIX, DocumentRecord, EngineRecord

MAX_NAME_CHARACTERS = 128
MAX_RECORDS = 65_536
MAX_RECORDS_PER_CHANGE = 4_096
# Each change of a document sends all of it to every front: one of this size that changes every 3 s takes 5.5
# KB/s.
MAX_DOCUMENT_BYTES = 16_384
MAX_DOCUMENTS = 16

# Canonical IPv4 `HOST:PORT`: four octets of 0 to 255 and a port of 1 to 65535, without leading zeros.
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = r"(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
_ADDRESS = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}")


class PublishRefusedError(Exception):
    """A change was refused and the present version stays. The message begins with the path of the invalid
    value."""


def validate(records: Sequence[EngineRecord], path: str = "engines") -> None:
    """Checks each of the records, and that their ids and addresses are unique. Raises `PublishRefusedError`
    at the first fault; `path` is the name of the list in the message."""
    if len(records) > MAX_RECORDS:
        raise PublishRefusedError(f"{path}: at most {MAX_RECORDS} records expected; found {len(records)}")
    positions_by_id: dict[str, int] = {}
    positions_by_address: dict[str, int] = {}
    for position, record in enumerate(records):
        _validate_record(record, path, position)
        if record.id.startswith(DOCUMENT_PREFIX):
            _refuse(f"{path}[{position}].id", f"no id that begins with {DOCUMENT_PREFIX!r}", record.id)
        earlier = positions_by_id.setdefault(record.id, position)
        if earlier != position:
            _refuse(f"{path}[{position}].id", f"an id other than that of {path}[{earlier}]", record.id)
        earlier = positions_by_address.setdefault(record.address, position)
        if earlier != position:
            expected = f"an address other than that of {path}[{earlier}]"
            _refuse(f"{path}[{position}].address", expected, record.address)


def validate_documents(documents: Sequence[DocumentRecord]) -> None:
    """Checks the names and sizes of documents; their content is not checked here. Raises
    `PublishRefusedError` at the first fault."""
    names: set[str] = set()
    for record in documents:
        path = f"documents.{record.name}"
        if not _is_name(record.name):
            _refuse(path, _NAME_EXPECTED, record.name)
        if record.name in names:
            _refuse(path, "a name that comes once", record.name)
        names.add(record.name)
        size = len(record.content.encode())
        if size > MAX_DOCUMENT_BYTES:
            _refuse(path, f"at most {MAX_DOCUMENT_BYTES} bytes", size)


def validate_removed_ids(removed_ids: Sequence[str], upserted_ids: Collection[str]) -> None:
    """Checks that the ids to remove are valid, unique and not upserted by the same change. Raises
    `PublishRefusedError` at the first fault."""
    seen: set[str] = set()
    for position, removed_id in enumerate(removed_ids):
        path = f"removed_ids[{position}]"
        if not _is_name(removed_id):
            _refuse(path, _NAME_EXPECTED, removed_id)
        if removed_id in seen:
            _refuse(path, "an id that is not named before", removed_id)
        if removed_id in upserted_ids:
            _refuse(path, "an id that is not upserted as well", removed_id)
        seen.add(removed_id)


def _refuse(path: str, expected: str, found: object) -> NoReturn:
    raise PublishRefusedError(f"{path}: {expected} expected; found {found!r}")


def _validate_record(record: EngineRecord, path: str, position: int) -> None:
    for rule, value in zip(_RULES, record, strict=True):
        if not rule.holds(value):
            _refuse(f"{path}[{position}].{rule.field}", rule.expected, value)


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 1 <= len(value) <= MAX_NAME_CHARACTERS and value.isprintable()


def _is_cell(value: object) -> bool:
    return type(value) is int and value >= 0


def _is_address(value: object) -> bool:
    return isinstance(value, str) and _ADDRESS.fullmatch(value) is not None


def _is_number(value: object) -> bool:
    # -0.0 is refused: it equals 0.0 but has a different digest.
    return type(value) is float and math.isfinite(value) and math.copysign(1.0, value) > 0


class _Rule(NamedTuple):
    """The constraint of one field of `EngineRecord`."""

    field: str
    holds: Callable[[object], bool]
    expected: str


_NAME_EXPECTED = f"1 to {MAX_NAME_CHARACTERS} printable characters"
_NUMBER_EXPECTED = "a finite float of at least 0.0"
# In the order of the fields of `EngineRecord`, with which they are zipped.
_RULES = (
    _Rule("id", _is_name, _NAME_EXPECTED),
    _Rule("zone", _is_name, _NAME_EXPECTED),
    _Rule("cell", _is_cell, "an integer of at least 0"),
    _Rule("kind", _is_name, _NAME_EXPECTED),
    _Rule("address", _is_address, "HOST:PORT"),
    _Rule("draining", lambda value: type(value) is bool, "true or false"),
    _Rule("started", _is_number, _NUMBER_EXPECTED),
    _Rule("weight", _is_number, _NUMBER_EXPECTED),
    _Rule("in_subset", lambda value: value is True, "true"),
)
