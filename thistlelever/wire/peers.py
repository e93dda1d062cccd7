"""Datagrams between fronts: frames of 256 bytes at most, and the messages of membership in them.

A frame is its version, the matter that it is about, the tier's tag, a CRC-32 of all that (zlib) and a body. A
body of membership is one `Message` as MessagePack (msgspec), with as many updates behind it as the frame has
room for. Pure functions: no socket, no clock.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from zlib import crc32

import msgspec
from msgspec import Raw, Struct

# The most that a datagram between fronts may hold on the platform; longer ones are neither sent nor read.
MAX_DATAGRAM_SIZE = 256
VERSION = 1
HEADER = struct.Struct(">BBII")
MEMBERSHIP = 1


class InvalidDatagram(Exception):
    """A datagram that is no word of this tier; `kind` says why, and is what is counted."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class MessageKind(IntEnum):
    """What a message of membership wants."""

    PING = 0
    ACK = 1
    # Please ping another for me; and: it did not answer me either.
    PING_REQUEST = 2
    NACK = 3
    # The records after a name, whole; and a piece of them.
    LIST_REQUEST = 4
    LIST = 5


class State(IntEnum):
    """What is said of a member. At one incarnation a later one outweighs an earlier one."""

    ALIVE = 0
    # It answers probes and serves nobody, by its own word.
    UNFIT = 1
    SUSPECTED = 2
    DEAD = 3
    LEFT = 4


class GossipUpdate(Struct, array_like=True, frozen=True):
    """What is said of one member: its address as four bytes and a port, and of a suspicion the tag of who
    accuses."""

    name: str
    address: bytes
    incarnation: int
    life: int
    state: State
    accuser: int = 0


class Message(Struct, array_like=True, frozen=True):
    """One word of membership. `count` numbers the sender's datagrams from 1, `nonce` ties an answer to its
    question, `digest` is that of the sender's view, `place` a member or where in the list to go on."""

    kind: MessageKind
    name: str
    life: int
    incarnation: int
    count: int
    nonce: int
    digest: int
    place: str = ""
    updates: tuple[Raw, ...] = msgspec.field(default=(), name="rumours")


_pack = msgspec.msgpack.Encoder().encode
_message = msgspec.msgpack.Decoder(Message).decode
_update = msgspec.msgpack.Decoder(GossipUpdate).decode
# An array of more than 15 updates has a longer head; no frame has room for so many that it matters.
MAX_BODY_SIZE = MAX_DATAGRAM_SIZE - HEADER.size - 2


def tag(name: str) -> int:
    """A word's 32 bits: of a tier's name, or of an accuser's."""
    return crc32(name.encode())


def encode_frame(protocol: int, tier: int, body: bytes) -> bytes:
    """The datagram; `ValueError` where the body is too long for one."""
    if HEADER.size + len(body) > MAX_DATAGRAM_SIZE:
        raise ValueError(f"{HEADER.size + len(body)} bytes in a datagram of {MAX_DATAGRAM_SIZE}")
    check = crc32(body, crc32(HEADER.pack(VERSION, protocol, tier, 0)))
    return HEADER.pack(VERSION, protocol, tier, check) + body


def decode_frame(data: bytes, tier: int) -> tuple[int, bytes]:
    """The matter and the body of a datagram; `InvalidDatagram` where it is not of this tier or not whole."""
    if len(data) > MAX_DATAGRAM_SIZE:
        raise InvalidDatagram("too long")
    if len(data) < HEADER.size:
        raise InvalidDatagram("too short")
    version, protocol, whose, check = HEADER.unpack_from(data)
    if version != VERSION:
        raise InvalidDatagram("of another version")
    if whose != tier:
        raise InvalidDatagram("of another tier")
    body = data[HEADER.size :]
    if check != crc32(body, crc32(HEADER.pack(version, protocol, whose, 0))):
        raise InvalidDatagram("damaged")
    return protocol, body


def encode_update(update: GossipUpdate) -> Raw:
    """An update as it goes on the wire, made once and sent often."""
    return Raw(_pack(update))


def encoded_size(message: Message) -> int:
    """Bytes of a message without updates."""
    return len(_pack(message))


def encode(message: Message, tier: int) -> bytes:
    return encode_frame(MEMBERSHIP, tier, _pack(message))


def decode(body: bytes) -> tuple[Message, tuple[GossipUpdate, ...]]:
    """A message and its updates; `InvalidDatagram` where either is out of form."""
    try:
        message = _message(body)
        updates = tuple(_update(raw) for raw in message.updates)
    except (msgspec.DecodeError, UnicodeDecodeError) as why:
        raise InvalidDatagram("out of form") from why
    numbers = (message.life, message.incarnation, message.count, message.nonce, message.digest)
    bad = not is_valid(message.name, *numbers) or any(
        not is_valid(u.name, u.incarnation, u.life, u.accuser) or len(u.address) != 6 for u in updates
    )
    if bad:
        raise InvalidDatagram("out of form")
    return message, updates


def is_valid(name: str, *numbers: int) -> bool:
    """Risk: an incarnation without measure can never be outbid, and its member never refute anything."""
    return 0 < len(name) <= 64 and all(0 <= number < 2**32 for number in numbers)


def address_bytes(address: tuple[str, int]) -> bytes:
    host, port = address
    return bytes(int(part) for part in host.split(".")) + port.to_bytes(2, "big")


def address_of(data: bytes) -> tuple[str, int]:
    return ".".join(map(str, data[:4])), int.from_bytes(data[4:], "big")
