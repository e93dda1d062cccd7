"""Which records may be published: the bounds of each field, and what must be unique."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from ipaddress import AddressValueError, IPv4Address

from thistlelever.distribution.records import EngineRecord

MOST_NAME_CHARACTERS = 128
MOST_RECORDS = 65_536
MOST_RECORDS_PER_CHANGE = 4_096
HIGHEST_PORT = 65_535


class PublishRefusedError(Exception):
    """A publish was refused and the present version stays. The text names the path of the fault."""


def validate(records: Sequence[EngineRecord], path: str = "engines") -> None:
    """Checks records that are to stand together: each for itself, and that no id and no address comes
    twice. Raises `PublishRefusedError` at the first fault."""
    if len(records) > MOST_RECORDS:
        raise PublishRefusedError(f"{path}: at most {MOST_RECORDS} records expected; found {len(records)}")
    positions_by_id: dict[str, int] = {}
    positions_by_address: dict[str, int] = {}
    for position, record in enumerate(records):
        where = f"{path}[{position}]"
        _validate_record(record, where)
        earlier = positions_by_id.setdefault(record.id, position)
        if earlier != position:
            _refuse(f"{where}.id", f"an id other than that of {path}[{earlier}]", record.id)
        earlier = positions_by_address.setdefault(record.address, position)
        if earlier != position:
            _refuse(f"{where}.address", f"an address other than that of {path}[{earlier}]", record.address)


def validate_removed_ids(removed_ids: Sequence[str], upserted_ids: Collection[str]) -> None:
    """Checks that ids to be removed are ids, come once and are not upserted as well."""
    seen: set[str] = set()
    for position, removed_id in enumerate(removed_ids):
        where = f"removed_ids[{position}]"
        _validate_name(removed_id, where)
        if removed_id in seen:
            _refuse(where, "an id that is not named before", removed_id)
        if removed_id in upserted_ids:
            _refuse(where, "an id that is not upserted as well", removed_id)
        seen.add(removed_id)


def _refuse(path: str, expected: str, found: object) -> None:
    raise PublishRefusedError(f"{path}: {expected} expected; found {found!r}")


def _validate_record(record: EngineRecord, where: str) -> None:
    _validate_name(record.id, f"{where}.id")
    _validate_name(record.zone, f"{where}.zone")
    _validate_name(record.kind, f"{where}.kind")
    if type(record.cell) is not int or record.cell < 0:
        _refuse(f"{where}.cell", "an integer of at least 0", record.cell)
    if not _is_address(record.address):
        _refuse(f"{where}.address", "HOST:PORT", record.address)
    if type(record.draining) is not bool:
        _refuse(f"{where}.draining", "true or false", record.draining)
    _validate_number(record.started, f"{where}.started")
    _validate_number(record.weight, f"{where}.weight")
    if record.in_subset is not True:
        _refuse(f"{where}.in_subset", "true", record.in_subset)


def _validate_name(name: object, where: str) -> None:
    if not isinstance(name, str) or not 1 <= len(name) <= MOST_NAME_CHARACTERS or not name.isprintable():
        _refuse(where, f"1 to {MOST_NAME_CHARACTERS} printable characters", name)


def _validate_number(number: object, where: str) -> None:
    # -0.0 is refused: it equals 0.0 and yet has another digest.
    if type(number) is not float or not math.isfinite(number) or math.copysign(1.0, number) < 0:
        _refuse(where, "a finite float of at least 0.0", number)


def _is_address(address: object) -> bool:
    """Whether this is `HOST:PORT` in its one canonical spelling."""
    if not isinstance(address, str):
        return False
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    if (
        not (port.isascii() and port.isdecimal())
        or port.startswith("0")
        or len(port) > len(str(HIGHEST_PORT))
    ):
        return False
    return int(port) <= HIGHEST_PORT
