"""MessagePack encoding of the distribution protocol's requests, updates and replies. Pure functions.

A digest is encoded as 16 bytes, since MessagePack integers have at most 64 bits. A record is encoded as an
array of the fields of `EngineRecord` or `DocumentRecord`, in their order.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec
from msgspec import Struct

from thistlelever.distribution.messages import Delta, Removal, Snapshot, Update
from thistlelever.distribution.records import (
    DIGEST_BITS,
    DocumentRecord,
    EngineRecord,
    documents_of,
    engines_of,
)
from thistlelever.distribution.versions import Version

DIGEST_BYTES = DIGEST_BITS // 8


class ProtocolError(Exception):
    """The body is not a valid message of this protocol."""


class HeldRecord(Struct, array_like=True, frozen=True):
    """The id and the short digest of a record that a front holds (`reconnect.short_digest`)."""

    id: str
    digest: bytes


class RequirementField(Struct, array_like=True, frozen=True):
    """Zones and kinds of engines that a query class may run on, sorted; None for any."""

    zones: tuple[str, ...] | None
    kinds: tuple[str, ...] | None


class WatchRequest(Struct, array_like=True, frozen=True):
    """A long poll of a front for the difference to the content that it holds; the distributor replies after
    `wait` seconds at the latest.

    `held` is sent with the first request of a connection. It is None in later requests, which means that the
    front holds what this distributor sent last. `retained` lists the engines that still run queries of this
    front, whether or not they are in its subset.
    """

    front: str
    zone: str
    rank: int
    zone_rank: int
    version: Version
    digest: bytes
    wait: float
    held: tuple[HeldRecord, ...] | None = None
    retained: tuple[str, ...] = ()
    requirements: tuple[RequirementField, ...] = ()
    whole_cells: bool = False


class FollowRequest(Struct, array_like=True, frozen=True):
    """A long poll of a distributor to another for the difference to the whole content that it holds. `index`
    is the sender's index among the distributors; it accepts no version below `floor`."""

    index: int
    version: Version
    digest: bytes
    floor: Version
    wait: float


class AnnounceRequest(Struct, array_like=True, frozen=True):
    """A publisher announces the version that it holds, so that distributors that follow another one learn of
    it."""

    index: int
    version: Version


class HighestRequest(Struct, array_like=True, frozen=True):
    """First phase of a claim: requests the highest version that the receiver has held or promised."""

    index: int


class PromiseRequest(Struct, array_like=True, frozen=True):
    """Second phase of a claim: requests a promise to accept nothing of an earlier term than `term`."""

    index: int
    term: int


class VersionReply(Struct, array_like=True, frozen=True):
    """The reply to a claimant or an announcement: the version held, the highest version held or promised, and
    whether the request is granted."""

    held: Version
    highest: Version
    # Seconds since the content was last known to be the newest.
    age: float
    granted: bool = True


class DeltaBody(Struct, array_like=True, frozen=True, tag="delta"):
    """The encoded form of `messages.Delta`."""

    base: Version
    base_digest: bytes
    version: Version
    digest: bytes
    upserts: tuple[EngineRecord, ...]
    removals: tuple[Removal, ...]
    documents: tuple[DocumentRecord, ...] = ()


class SnapshotBody(Struct, array_like=True, frozen=True, tag="snapshot"):
    """The encoded form of `messages.Snapshot`."""

    version: Version
    digest: bytes
    records: tuple[EngineRecord, ...]
    documents: tuple[DocumentRecord, ...] = ()


class Reply(Struct, array_like=True, frozen=True):
    """The reply to `WatchRequest` and `FollowRequest`. `update` is None if neither content nor version differ
    from what is held. `age` is the number of seconds since the sender last knew its content to be the newest.
    `fronts`, in a reply to a front, is the largest number of fronts, itself included, that may send queries
    to any one of its engines."""

    update: DeltaBody | SnapshotBody | None
    age: float
    fronts: int = 0


_encode = msgspec.msgpack.Encoder().encode
_decoders = {
    kind: msgspec.msgpack.Decoder(kind).decode
    for kind in (
        WatchRequest,
        FollowRequest,
        AnnounceRequest,
        HighestRequest,
        PromiseRequest,
        Reply,
        VersionReply,
    )
}

Request = WatchRequest | FollowRequest | AnnounceRequest | HighestRequest | PromiseRequest
Body = Request | Reply | VersionReply
Kind = TypeVar(
    "Kind",
    WatchRequest,
    FollowRequest,
    AnnounceRequest,
    HighestRequest,
    PromiseRequest,
    Reply,
    VersionReply,
)


def encode(body: Body) -> bytes:
    """Encodes a request or a reply."""
    return _encode(body)


def decode(data: bytes | memoryview, kind: type[Kind]) -> Kind:
    """Decodes a request or a reply of the given class; raises `ProtocolError` if the bytes are not valid."""
    try:
        return _decoders[kind](data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ProtocolError(f"no {kind.__name__}: {error}") from None


def digest_bytes(digest: int) -> bytes:
    """Encodes a digest as `DIGEST_BYTES` bytes, big-endian."""
    return digest.to_bytes(DIGEST_BYTES, "big")


def digest_from(data: bytes) -> int:
    """Decodes a digest; the inverse of `digest_bytes`."""
    return int.from_bytes(data, "big")


def update_to_body(update: Update) -> DeltaBody | SnapshotBody:
    """Converts an update to its encoded form, with engines and documents apart."""
    if isinstance(update, Snapshot):
        engines, documents = tuple(engines_of(update.records)), tuple(documents_of(update.records))
        return SnapshotBody(update.version, digest_bytes(update.digest), engines, documents)
    return DeltaBody(
        update.base,
        digest_bytes(update.base_digest),
        update.version,
        digest_bytes(update.digest),
        tuple(engines_of(update.upserts)),
        update.removals,
        tuple(documents_of(update.upserts)),
    )


def update_from_body(body: DeltaBody | SnapshotBody) -> Update:
    """Converts the encoded form to an update; the inverse of `update_to_body`."""
    if isinstance(body, SnapshotBody):
        return Snapshot(body.version, digest_from(body.digest), (*body.records, *body.documents))
    return Delta(
        body.base,
        digest_from(body.base_digest),
        body.version,
        digest_from(body.digest),
        (*body.upserts, *body.documents),
        body.removals,
    )
