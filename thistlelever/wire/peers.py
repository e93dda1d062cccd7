"""Datagrams between fronts: the frame common to all peer protocols, and the messages of membership.

A frame has at most 256 bytes: version, protocol number, tag of the tier, CRC-32 of all that and the body
(zlib), then the body. The body of the membership protocol is one `Message` in MessagePack (msgspec), with as
many gossip updates as fit. Pure functions without I/O or clock.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from zlib import crc32

import msgspec
from msgspec import Raw, Struct

# Maximum size in bytes of a datagram between fronts on the platform; longer ones are neither sent nor read.
MAX_DATAGRAM_SIZE = 256
VERSION = 1
HEADER = struct.Struct(">BBII")
MEMBERSHIP = 1


class InvalidDatagram(Exception):
    """A datagram that is not valid in this tier; `reason` is a short text, also used as the name of a
    counter.
    """

    def __init__(self, reason: str) -> None:
        """`reason` says what is wrong, such as "damaged"."""
        super().__init__(reason)
        self.reason = reason


class MessageKind(IntEnum):
    """The purpose of a membership message."""

    PING = 0
    ACK = 1
    # A request to ping another member (ping-req in SWIM), and the reply that it did not acknowledge.
    PING_REQUEST = 2
    NACK = 3
    # A request for a page of the member list, and such a page.
    LIST_REQUEST = 4
    LIST = 5


class State(IntEnum):
    """The state of a member. At the same incarnation a higher value outweighs a lower one."""

    ALIVE = 0
    # Acknowledges probes but does not serve clients, as it announces itself.
    UNFIT = 1
    SUSPECTED = 2
    DEAD = 3
    LEFT = 4


class GossipUpdate(Struct, array_like=True, frozen=True):
    """The state of one member. `address` is four bytes and a port in big-endian order; `accuser` is the tag
    of the front that suspects the member, or 0.
    """

    name: str
    address: bytes
    incarnation: int
    life: int
    state: State
    accuser: int = 0


class Message(Struct, array_like=True, frozen=True):
    """One membership message, with encoded gossip updates.

    `count` is the sequence number of the datagram, from 1; `nonce` ties a reply to its request; `digest` is
    that of the sender's view. `place` is the name of a member: the one to probe, or the last one of a page.
    """

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
# Bytes for a message with its updates. The 2 bytes cover the longer array header from 16 updates up, which no
# frame has room for anyway.
MAX_BODY_SIZE = MAX_DATAGRAM_SIZE - HEADER.size - 2


def tag(name: str) -> int:
    """The 32-bit hash of the name of a tier or a front."""
    return crc32(name.encode())


def encode_frame(protocol: int, tier: int, body: bytes) -> bytes:
    """The datagram with that body; `ValueError` if it is longer than `MAX_DATAGRAM_SIZE`."""
    if HEADER.size + len(body) > MAX_DATAGRAM_SIZE:
        raise ValueError(f"{HEADER.size + len(body)} bytes in a datagram of {MAX_DATAGRAM_SIZE}")
    check = crc32(body, crc32(HEADER.pack(VERSION, protocol, tier, 0)))
    return HEADER.pack(VERSION, protocol, tier, check) + body


def decode_frame(data: bytes, tier: int) -> tuple[int, bytes]:
    """The protocol number and the body; `InvalidDatagram` if the frame is damaged or of another tier or
    version.
    """
    if len(data) > MAX_DATAGRAM_SIZE:
        raise InvalidDatagram("too long")
    if len(data) < HEADER.size:
        raise InvalidDatagram("too short")
    version, protocol, frame_tier, check = HEADER.unpack_from(data)
    if version != VERSION:
        raise InvalidDatagram("of another version")
    if frame_tier != tier:
        raise InvalidDatagram("of another tier")
    body = data[HEADER.size :]
    if check != crc32(body, crc32(HEADER.pack(version, protocol, frame_tier, 0))):
        raise InvalidDatagram("damaged")
    return protocol, body


def encode_update(update: GossipUpdate) -> Raw:
    """The update in MessagePack, encoded once and sent several times."""
    return Raw(_pack(update))


def encoded_size(message: Message) -> int:
    """The size of a message without updates, in bytes."""
    return len(_pack(message))


def encode(message: Message, tier: int) -> bytes:
    """The datagram of a membership message; `ValueError` if it is too long."""
    return encode_frame(MEMBERSHIP, tier, _pack(message))


def decode(body: bytes) -> tuple[Message, tuple[GossipUpdate, ...]]:
    """The message in a body and its updates; `InvalidDatagram` if either is malformed."""
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
    """Whether a name has 1 to 64 characters and all numbers fit into 32 bits.

    Without the bound a forged incarnation could not be exceeded, and its member could never refute anything.
    """
    return 0 < len(name) <= 64 and all(0 <= number < 2**32 for number in numbers)


def address_bytes(address: tuple[str, int]) -> bytes:
    """An IPv4 address and port as six bytes."""
    host, port = address
    return bytes(int(part) for part in host.split(".")) + port.to_bytes(2, "big")


def address_of(data: bytes) -> tuple[str, int]:
    """The IPv4 address and port from six bytes."""
    return ".".join(map(str, data[:4])), int.from_bytes(data[4:], "big")
