"""DNS (RFC 1035, SRV by RFC 2782): the query for the list of engines, and its answer."""

from __future__ import annotations

from struct import Struct, error
from typing import NamedTuple

HEADER, QUESTION, RECORD = Struct(">HHHHHH"), Struct(">HH"), Struct(">HHIH")
SRV_DATA, SOA_DATA = Struct(">HHH"), Struct(">IIIII")
A, SOA, TXT, SRV, IN = 1, 6, 16, 33, 1
RECURSE, IS_ANSWER, CUT, RCODE = 0x0100, 0x8000, 0x0200, 0x000F
LONGEST_NAME = 255


class Unreadable(Exception):
    """The message is no answer to the query, or not a whole one."""


class Found(NamedTuple):
    """One engine of the list, in the wire's words."""

    id: str
    zone: str
    address: tuple[str, int]
    draining: bool
    weight: float
    facts: dict[str, str]


class Listing(NamedTuple):
    serial: int
    engines: list[Found]


def query(number: int, name: str) -> bytes:
    """The query for the SRV records of a name."""
    labels = b"".join(bytes((len(label),)) + label.encode("ascii") for label in name.split("."))
    return HEADER.pack(number, RECURSE, 1, 0, 0, 0) + labels + b"\0" + QUESTION.pack(SRV, IN)


def listing(message: bytes, number: int, name: str) -> Listing:
    """The list that an answer to `query(number, name)` holds."""
    try:
        return read(message, number, name.lower())
    except (error, IndexError, UnicodeDecodeError, ValueError) as why:
        raise Unreadable(f"cut short or out of form: {why}") from None


def read(message: bytes, number: int, name: str) -> Listing:
    given, flags, questions, *counts = HEADER.unpack_from(message)
    if given != number or not flags & IS_ANSWER:
        raise Unreadable("no answer to this query")
    if flags & CUT or flags & RCODE:
        raise Unreadable(f"cut by its sender, or refused with code {flags & RCODE}")
    at = HEADER.size
    for _ in range(questions):
        _, at = name_at(message, at)
        at += QUESTION.size
    services, addresses, texts, serial = [], {}, {}, None
    for _ in range(sum(counts)):
        owner, at = name_at(message, at)
        owner = owner.lower()
        kind, _, _, size = RECORD.unpack_from(message, at)
        at += RECORD.size
        end = at + size
        if end > len(message):
            raise Unreadable("a record past the end")
        if kind == SRV and owner == name:
            priority, weight, port = SRV_DATA.unpack_from(message, at)
            services.append((name_at(message, at + SRV_DATA.size)[0], priority, weight, port))
        elif kind == A:
            if size != 4:
                raise Unreadable("an address that has not four bytes")
            addresses[owner] = ".".join(map(str, message[at:end]))
        elif kind == TXT:
            texts[owner] = texts.get(owner, []) + strings(message, at, end)
        elif kind == SOA:
            after = name_at(message, name_at(message, at)[1])[1]
            serial = SOA_DATA.unpack_from(message, after)[0]
        at = end
    if serial is None:
        raise Unreadable("no SOA record")
    return Listing(serial, [found(service, addresses, texts) for service in services])


def found(service: tuple[str, int, int, int], addresses: dict, texts: dict) -> Found:
    target, priority, weight, port = service
    key = target.lower()
    labels = target.split(".")
    if key not in addresses or key not in texts or len(labels) < 2:
        raise Unreadable(f"{target}: no address, no text or no zone")
    facts = dict(text.split("=", 1) for text in texts[key] if "=" in text)
    return Found(labels[0], labels[1], (addresses[key], port), priority > 0, weight / 10, facts)


def name_at(message: bytes, at: int) -> tuple[str, int]:
    """The name at a place, and the place after it. Each jump must go back, so none can go round."""
    labels, after, lowest, length = [], None, at, 0
    while True:
        size = message[at]
        if size >= 0xC0:
            target = (size & 0x3F) << 8 | message[at + 1]
            after = at + 2 if after is None else after
            if target >= lowest:
                raise Unreadable("a pointer that does not go back")
            at = lowest = target
        elif size >= 0x40:
            raise Unreadable("a label of unknown form")
        elif size == 0:
            return ".".join(labels), at + 1 if after is None else after
        else:
            label = message[at + 1 : at + 1 + size]
            length += size + 1
            if len(label) < size or length > LONGEST_NAME:
                raise Unreadable("a name cut short or too long")
            labels.append(label.decode("ascii"))
            at += 1 + size


def strings(message: bytes, at: int, end: int) -> list[str]:
    found = []
    while at < end:
        size = message[at]
        if at + 1 + size > end:
            raise Unreadable("a text past its record")
        found.append(message[at + 1 : at + 1 + size].decode("utf-8"))
        at += 1 + size
    return found
