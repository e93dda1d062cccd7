"""Messages between fronts about open batches: who owns a batch, and what is known of its outcome.

Several messages share one datagram of `wire.peers`, as MessagePack (msgspec). Pure functions: no socket, no
clock.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec
from msgspec import Struct

from thistlelever.wire.peers import MAX_BODY_SIZE, InvalidDatagram, encode_frame

# The type of these datagrams in the frame of `wire.peers`.
WORK = 2
# Bounds of a valid message: its times in milliseconds, its counters (exclusive), the length of an engine's
# name.
MAX_DURATION_MS, COUNTER_LIMIT, MAX_ENGINE_NAME = 86_400_000, 2**32, 64


class Verb(IntEnum):
    """The kind of a message: a request to a replica or its reply."""

    # Requests of an owner: to own the batch; to store its latest status; to end its lease.
    CLAIM = 0
    PUT = 1
    RELEASE = 2
    # To delete the record of a finished batch that has no idempotency key.
    DROP = 3
    # Replies of a replica: accepted, refused.
    YES = 4
    NO = 5
    # Catch-up of a replica that restarted: the request for the records that it should hold, one record, and
    # the end of a page of records.
    CATCH = 6
    KEPT = 7
    END = 8


class RunState(IntEnum):
    """The state of a batch, or of its latest dispatch."""

    # It never ran.
    HELD = 0
    # It may be running, at the engine and under the id that the status names.
    OUT = 1
    # The dispatch has ended: with a result that the engine keeps while it is polled for it, or in an
    # unknown way.
    RETURNED = 2
    UNKNOWN = 3


class RunStatus(Struct, array_like=True, frozen=True):
    """The status of a batch, the value that replicas store. Of two, the one with the higher `epoch`, then
    `step`, is the later and replaces the other.

    `group` is the index of the query class, `left_ms` the time until the time limit of the batch, `ran_ms`
    the time since the first dispatch that may have run; `txn` is the id of the batch at the engine.
    """

    epoch: int
    step: int
    state: RunState
    group: int
    left_ms: int
    engine: str = ""
    txn: bytes = b""
    ran_ms: int = 0
    # The number of the dispatch at its front.
    number: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: a later status compares greater."""
        return self.epoch, self.step


class Owner(Struct, array_like=True, frozen=True):
    """One submission of a batch at one process of a front: a batch that is submitted again has another owner.

    `address` is the front's, in six bytes; `life` tells the processes behind one address apart; `txn` is
    the id of the submission.
    """

    address: bytes
    life: int
    txn: bytes


class Message(Struct, array_like=True, frozen=True):
    """One request or reply. `nonce` ties a reply to its request; 0 asks for none. `key` is an idempotency
    key of 16 bytes, or a batch id of 8.

    A reply names the epoch that its sender has promised and the value that it stores; a refusal also names
    the owner that it promised the epoch to, and how long the lease still runs.
    """

    verb: Verb
    nonce: int
    key: bytes
    epoch: int
    owner: Owner
    value: RunStatus | None = None
    lease_ms: int = 0
    # `heir`, in a claim or a reply: the claimant is the successor of a lost front, and no client waits for
    # it. `young`, in a reply: the replica restarted too recently to know all records.
    heir: bool = False
    young: bool = False


_pack = msgspec.msgpack.Encoder().encode
_decode_messages = msgspec.msgpack.Decoder(tuple[Message, ...]).decode


def encode(messages: list[Message], tier: int) -> list[bytes]:
    """Pack messages into as few datagrams as hold them in their order; `tier` is the tag of the tier.

    Each message is packed once: a MessagePack array of up to fifteen elements is one byte with their count,
    followed by the elements.
    """
    datagrams: list[bytes] = []
    body, room = b"", MAX_BODY_SIZE
    count = 0
    for message in messages:
        raw = _pack(message)
        if count and (len(raw) > room or count == 15):
            datagrams.append(encode_frame(WORK, tier, bytes((0x90 | count,)) + body))
            body, room, count = b"", MAX_BODY_SIZE, 0
        body += raw
        room -= len(raw)
        count += 1
    if count:
        datagrams.append(encode_frame(WORK, tier, bytes((0x90 | count,)) + body))
    return datagrams


def decode(body: bytes) -> tuple[Message, ...]:
    """Unpack the messages of one datagram; raises `InvalidDatagram` when one of them is malformed."""
    try:
        messages = _decode_messages(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as why:
        raise InvalidDatagram("out of form") from why
    if not all(is_valid(message) for message in messages):
        raise InvalidDatagram("out of form")
    return messages


def is_valid(message: Message) -> bool:
    """Whether all fields are within their bounds. A time or counter without a bound would keep a record for
    ever, or give it an epoch that no claim can exceed."""
    owner, value = message.owner, message.value
    header_ok = (
        len(message.key) in (8, 16)
        and len(owner.address) == 6
        and len(owner.txn) == 8
        and 0 <= owner.life < COUNTER_LIMIT
        and 0 <= message.nonce < COUNTER_LIMIT
        and 0 <= message.epoch < COUNTER_LIMIT
        and 0 <= message.lease_ms <= MAX_DURATION_MS
    )
    return header_ok and (
        value is None
        or (
            0 <= value.epoch < COUNTER_LIMIT
            and 0 <= value.step < COUNTER_LIMIT
            and 0 <= value.group < 256
            and 0 <= value.number < 256
            and 0 <= value.left_ms <= MAX_DURATION_MS
            and 0 <= value.ran_ms <= MAX_DURATION_MS
            and len(value.engine) <= MAX_ENGINE_NAME
            and len(value.txn) in (0, 8)
        )
    )
