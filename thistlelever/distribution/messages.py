"""Updates from a sender to a receiver: the whole content of a version, or the difference between two."""

from __future__ import annotations

from typing import NamedTuple

from thistlelever.distribution.records import Record
from thistlelever.distribution.versions import Version


class Removal(NamedTuple):
    """A record that the receiver must drop. `gone` is True if it was removed from the whole content, False if
    it only left the part of the content that this receiver is sent."""

    id: str
    gone: bool


class Delta(NamedTuple):
    """The difference between the content of a receiver and `version`. It applies only to the content with
    version `base` and digest `base_digest`; the resulting content has the digest `digest`."""

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
