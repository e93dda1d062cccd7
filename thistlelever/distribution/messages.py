"""What a sender tells a receiver of the content: a whole version, or the difference between two."""

from __future__ import annotations

from typing import NamedTuple

from thistlelever.distribution.records import Record
from thistlelever.distribution.versions import Version


class Removal(NamedTuple):
    """An engine that the receiver shall no longer hold. `gone`: it has left the content altogether; otherwise
    it only left what this receiver is told."""

    id: str
    gone: bool


class Delta(NamedTuple):
    """The difference between what the receiver holds and `version`. It applies to nothing but the content
    whose version is `base` and whose digest is `base_digest`; afterwards the digest is `digest`."""

    base: Version
    base_digest: int
    version: Version
    digest: int
    upserts: tuple[Record, ...]
    removals: tuple[Removal, ...]


class Snapshot(NamedTuple):
    """The whole content at `version`."""

    version: Version
    digest: int
    records: tuple[Record, ...]


Update = Delta | Snapshot
