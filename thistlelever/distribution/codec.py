"""The bodies of the distribution protocol as MessagePack: requests, updates and replies. Pure functions.

A digest travels as 16 bytes, as MessagePack's integers end at 64 bits; a record is an array in the order of
the fields of `EngineRecord`.
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
    """A body that is not of this protocol."""


class HeldRecord(Struct, array_like=True, frozen=True):
    """A record that a front holds, told by its short digest (`reconnect`)."""

    id: str
    digest: bytes


class RequirementField(Struct, array_like=True, frozen=True):
    """Zones and kinds that some query class may run on, sorted; None for any."""

    zones: tuple[str, ...] | None
    kinds: tuple[str, ...] | None


class WatchRequest(Struct, array_like=True, frozen=True):
    """A front asks for what differs from what it holds, and waits `wait` seconds at most for a difference.

    `held` is told on the first request of a connection; afterwards it is None, which means: as this
    distributor told it last. `retained` are engines that the front still has queries at, whether or not
    they are in its subset.
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
    """A distributor asks another for what differs from the whole content that it holds. `index` is its place
    among the distributors; below `floor` it accepts nothing."""

    index: int
    version: Version
    digest: bytes
    floor: Version
    wait: float


class AnnounceRequest(Struct, array_like=True, frozen=True):
    """A publisher tells which version it holds, so that whoever follows another learns of it."""

    index: int
    version: Version


class HighestRequest(Struct, array_like=True, frozen=True):
    """A claimant of the publisher's role asks for the highest version that the other has held or promised."""

    index: int


class PromiseRequest(Struct, array_like=True, frozen=True):
    """A claimant asks the other to accept nothing of an earlier term any more."""

    index: int
    term: int


class VersionReply(Struct, array_like=True, frozen=True):
    """The answer to a claimant and to an announcement: the version held, the highest that was held or
    promised, and whether what was asked for is granted."""

    held: Version
    highest: Version
    # How many seconds ago the content was known to be the newest.
    age: float
    granted: bool = True


class DeltaBody(Struct, array_like=True, frozen=True, tag="delta"):
    """`Delta` on the wire."""

    base: Version
    base_digest: bytes
    version: Version
    digest: bytes
    upserts: tuple[EngineRecord, ...]
    removals: tuple[Removal, ...]
    documents: tuple[DocumentRecord, ...] = ()


class SnapshotBody(Struct, array_like=True, frozen=True, tag="snapshot"):
    """`Snapshot` on the wire."""

    version: Version
    digest: bytes
    records: tuple[EngineRecord, ...]
    documents: tuple[DocumentRecord, ...] = ()


class Reply(Struct, array_like=True, frozen=True):
    """The answer to a watch or to a follow. `update` is None where nothing differs and the version is the
    one held. `age` says how many seconds ago the sender last knew its content to be the newest; `fronts`,
    to a front, how many fronts may send queries to any one of its engines, itself included."""

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
    """The bytes of a request or of a reply."""
    return _encode(body)


def decode(data: bytes | memoryview, kind: type[Kind]) -> Kind:
    """The request or reply that the bytes hold; `ProtocolError` where they hold none."""
    try:
        return _decoders[kind](data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ProtocolError(f"no {kind.__name__}: {error}") from None


def digest_bytes(digest: int) -> bytes:
    """A digest as it travels."""
    return digest.to_bytes(DIGEST_BYTES, "big")


def digest_from(data: bytes) -> int:
    """The digest that `digest_bytes` made `data` of."""
    return int.from_bytes(data, "big")


def update_to_body(update: Update) -> DeltaBody | SnapshotBody:
    """An update as it travels."""
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
    """The update that travelled as `body`."""
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
