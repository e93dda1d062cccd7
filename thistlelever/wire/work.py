"""Words between fronts about work in hand: who owns a batch, and what is known of its fate. Several of them
in one datagram of `wire.peers`, as MessagePack (msgspec). Pure functions: no socket, no clock.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec
from msgspec import Struct

from thistlelever.wire.peers import MAX_BODY_SIZE, InvalidDatagram, encode_frame

# The matter that frames of `wire.peers` name.
WORK = 2
# A word's time in milliseconds, its counters, an engine's name: past these it is none.
MOST_MS, MOST_COUNT, LONGEST_NAME = 86_400_000, 2**32, 64


class Verb(IntEnum):
    """What a word wants, or answers."""

    # May I own this? What is known of it now. I own it no more.
    CLAIM = 0
    PUT = 1
    RELEASE = 2
    # Of the sender's: nobody can come back for it, and it is over.
    DROP = 3
    YES = 4
    NO = 5
    # Of a place that was started again: what do you keep that is mine to keep? A record; the end of a piece.
    CATCH = 6
    KEPT = 7
    END = 8


class State(IntEnum):
    """What is known of a batch's fate."""

    # Nothing of it ever ran.
    HELD = 0
    # It may be running, at the engine and under the id that the record names.
    OUT = 1
    # It has ended there: with a result that lies there for as long as it is asked for, or in another way.
    RETURNED = 2
    UNKNOWN = 3


class Value(Struct, array_like=True, frozen=True):
    """What is known of a batch. `epoch` and `step` order two values, the later outweighs. `left_ms` is what
    its client still waits, `ran_ms` how long ago the first dispatch went out that may have run."""

    epoch: int
    step: int
    state: State
    group: int
    left_ms: int
    engine: str = ""
    txn: bytes = b""
    ran_ms: int = 0
    # Which of its front's dispatches it was.
    number: int = 0

    @property
    def order(self) -> tuple[int, int]:
        return self.epoch, self.step


class Owner(Struct, array_like=True, frozen=True):
    """One submission at one front in one of its lives: a batch that comes again is another owner's."""

    address: bytes
    life: int
    txn: bytes


class Word(Struct, array_like=True, frozen=True):
    """One question or answer. `nonce` ties an answer to its question; an answer names the owner and the epoch
    that its sender has promised itself to, and the value that it keeps."""

    verb: Verb
    nonce: int
    key: bytes
    epoch: int
    owner: Owner
    value: Value | None = None
    lease_ms: int = 0
    # Of a claim or an answer: for an heir, whom no client waits for. Of an answer: a life too young to know.
    heir: bool = False
    young: bool = False


_pack = msgspec.msgpack.Encoder().encode
_words = msgspec.msgpack.Decoder(tuple[Word, ...]).decode


def encode(words: list[Word], tier: int) -> list[bytes]:
    """As few datagrams as hold the words, in their order. Each word is packed once: a list of up to fifteen
    of them is a byte that counts them, and they."""
    found: list[bytes] = []
    some, room = b"", MAX_BODY_SIZE
    count = 0
    for word in words:
        raw = _pack(word)
        if count and (len(raw) > room or count == 15):
            found.append(encode_frame(WORK, tier, bytes((0x90 | count,)) + some))
            some, room, count = b"", MAX_BODY_SIZE, 0
        some += raw
        room -= len(raw)
        count += 1
    if count:
        found.append(encode_frame(WORK, tier, bytes((0x90 | count,)) + some))
    return found


def decode(body: bytes) -> tuple[Word, ...]:
    """The words of one datagram; `InvalidDatagram` where they are out of form."""
    try:
        words = _words(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as why:
        raise InvalidDatagram("out of form") from why
    if not all(sound(word) for word in words):
        raise InvalidDatagram("out of form")
    return words


def sound(word: Word) -> bool:
    """Risk: a figure without measure is kept for ever, or can never be outbid."""
    owner, value = word.owner, word.value
    good = (
        len(word.key) in (8, 16)
        and len(owner.address) == 6
        and len(owner.txn) == 8
        and 0 <= owner.life < MOST_COUNT
        and 0 <= word.nonce < MOST_COUNT
        and 0 <= word.epoch < MOST_COUNT
        and 0 <= word.lease_ms <= MOST_MS
    )
    return good and (
        value is None
        or (
            0 <= value.epoch < MOST_COUNT
            and 0 <= value.step < MOST_COUNT
            and 0 <= value.group < 256
            and 0 <= value.number < 256
            and 0 <= value.left_ms <= MOST_MS
            and 0 <= value.ran_ms <= MOST_MS
            and len(value.engine) <= LONGEST_NAME
            and len(value.txn) in (0, 8)
        )
    )
