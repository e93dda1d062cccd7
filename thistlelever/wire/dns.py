"""DNS (RFC 1035, SRV records by RFC 2782): the query for the engine list, and its answer."""

from __future__ import annotations

from struct import Struct, error
from typing import NamedTuple

HEADER, QUESTION, RECORD = Struct(">HHHHHH"), Struct(">HH"), Struct(">HHIH")
SRV_DATA, SOA_DATA = Struct(">HHH"), Struct(">IIIII")
A, SOA, TXT, SRV, IN = 1, 6, 16, 33, 1
RECURSION_DESIRED, RESPONSE, TRUNCATED, RCODE_MASK = 0x0100, 0x8000, 0x0200, 0x000F
MAX_NAME_BYTES = 255


class Unreadable(Exception):
    """The message is not an answer to the query, or is truncated or malformed."""


class EngineRecord(NamedTuple):
    """An engine as the answer describes it; `facts` holds the `name=value` pairs of its TXT record."""

    id: str
    zone: str
    address: tuple[str, int]
    draining: bool
    weight: float
    facts: dict[str, str]


class EngineList(NamedTuple):
    """The engines of an answer, and the serial number of its SOA record."""

    serial: int
    engines: list[EngineRecord]


def encode_query(number: int, name: str) -> bytes:
    """Encode the query for the SRV records of a name."""
    labels = b"".join(bytes((len(label),)) + label.encode("ascii") for label in name.split("."))
    return HEADER.pack(number, RECURSION_DESIRED, 1, 0, 0, 0) + labels + b"\0" + QUESTION.pack(SRV, IN)


def decode_list(message: bytes, number: int, name: str) -> EngineList:
    """Decode the answer to `encode_query(number, name)`; raises `Unreadable`."""
    try:
        return decode(message, number, name.lower())
    except (error, IndexError, UnicodeDecodeError, ValueError) as why:
        raise Unreadable(f"truncated or malformed: {why}") from None


def decode(message: bytes, number: int, name: str) -> EngineList:
    """Decode an answer; a truncated one may raise any of the errors that `decode_list` converts."""
    given, flags, questions, *counts = HEADER.unpack_from(message)
    if given != number or not flags & RESPONSE:
        raise Unreadable("not an answer to this query")
    if flags & TRUNCATED or flags & RCODE_MASK:
        raise Unreadable(f"truncated by the server, or refused with code {flags & RCODE_MASK}")
    at = HEADER.size
    for _ in range(questions):
        _, at = read_name(message, at)
        at += QUESTION.size
    services, addresses, texts, serial = [], {}, {}, None
    for _ in range(sum(counts)):
        owner, at = read_name(message, at)
        owner = owner.lower()
        kind, _, _, size = RECORD.unpack_from(message, at)
        at += RECORD.size
        end = at + size
        if end > len(message):
            raise Unreadable("record beyond the end of the message")
        if kind == SRV and owner == name:
            priority, weight, port = SRV_DATA.unpack_from(message, at)
            services.append((read_name(message, at + SRV_DATA.size)[0], priority, weight, port))
        elif kind == A:
            if size != 4:
                raise Unreadable("address that is not four bytes long")
            addresses[owner] = ".".join(map(str, message[at:end]))
        elif kind == TXT:
            texts[owner] = texts.get(owner, []) + read_strings(message, at, end)
        elif kind == SOA:
            after = read_name(message, read_name(message, at)[1])[1]
            serial = SOA_DATA.unpack_from(message, after)[0]
        at = end
    if serial is None:
        raise Unreadable("missing SOA record")
    return EngineList(serial, [engine_record(service, addresses, texts) for service in services])


def engine_record(service: tuple[str, int, int, int], addresses: dict, texts: dict) -> EngineRecord:
    """Combine an SRV record with the address and the texts of its target; raises `Unreadable`."""
    target, priority, weight, port = service
    key = target.lower()
    labels = target.split(".")
    if key not in addresses or key not in texts or len(labels) < 2:
        raise Unreadable(f"{target}: missing address, TXT record or zone")
    facts = dict(text.split("=", 1) for text in texts[key] if "=" in text)
    return EngineRecord(labels[0], labels[1], (addresses[key], port), priority > 0, weight / 10, facts)


def read_name(message: bytes, at: int) -> tuple[str, int]:
    """Return the name at an offset and the offset after it; raises `Unreadable`.

    Each compression pointer must point further back than the last one, which rules out loops.
    """
    labels, after, lowest, length = [], None, at, 0
    while True:
        size = message[at]
        if size >= 0xC0:
            target = (size & 0x3F) << 8 | message[at + 1]
            after = at + 2 if after is None else after
            if target >= lowest:
                raise Unreadable("compression pointer that does not point back")
            at = lowest = target
        elif size >= 0x40:
            raise Unreadable("label of unknown type")
        elif size == 0:
            return ".".join(labels), at + 1 if after is None else after
        else:
            label = message[at + 1 : at + 1 + size]
            length += size + 1
            if len(label) < size or length > MAX_NAME_BYTES:
                raise Unreadable("name that is truncated or too long")
            labels.append(label.decode("ascii"))
            at += 1 + size


def read_strings(message: bytes, at: int, end: int) -> list[str]:
    """Return the character strings of a TXT record; raises `Unreadable`."""
    found = []
    while at < end:
        size = message[at]
        if at + 1 + size > end:
            raise Unreadable("text beyond the end of its record")
        found.append(message[at + 1 : at + 1 + size].decode("utf-8"))
        at += 1 + size
    return found
