"""What is distributed: one record for each engine, and the digest of a set of records."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

# A digest is a sum of 128-bit hashes, so that one changed record changes it in constant time, whatever the
# order in which records come (the incremental multiset hash AdHash, Bellare and Micciancio 1997). It finds
# faults and lost changes; it is no defence against somebody who forges records.
DIGEST_BITS = 128
DIGEST_MASK = (1 << DIGEST_BITS) - 1
EMPTY_DIGEST = 0
# What the ids of documents begin with.
DOCUMENT_PREFIX = "document:"
# A distributor compares the same records for one front after the other: so many digests are remembered,
# those of all engines and of some that changed, at some 300 bytes each.
DIGEST_CACHE_SIZE = 32_768


class EngineRecord(NamedTuple):
    """One engine. `started` is in Unix seconds, 0.0 for unknown; `address` is IPv4 `HOST:PORT`.

    `in_subset` is True wherever the whole content is held. A front also holds records of engines that are no
    longer in its subset while queries of its own are still out there: those have it False.
    """

    id: str
    zone: str
    cell: int
    kind: str
    address: str
    draining: bool
    started: float
    weight: float
    in_subset: bool = True


class DocumentRecord(NamedTuple):
    """A document that every front holds, such as a configuration. `id` begins with `DOCUMENT_PREFIX`, which
    no engine's does; `content` is its text."""

    id: str
    content: str

    @property
    def name(self) -> str:
        """The name that it was published under."""
        return self.id.removeprefix(DOCUMENT_PREFIX)


Record = EngineRecord | DocumentRecord


def document(name: str, content: str) -> DocumentRecord:
    """The record of a document."""
    return DocumentRecord(DOCUMENT_PREFIX + name, content)


def engines_of(records: Iterable[Record]) -> Iterator[EngineRecord]:
    """The engines among some records, in their order."""
    return (record for record in records if isinstance(record, EngineRecord))


def documents_of(records: Iterable[Record]) -> Iterator[DocumentRecord]:
    """The documents among some records, in their order."""
    return (record for record in records if isinstance(record, DocumentRecord))


@lru_cache(maxsize=DIGEST_CACHE_SIZE)
def record_digest(record: Record) -> int:
    """The 128-bit hash of one record. Texts go in with their lengths, so that no two records read alike."""
    text = _document_text(record) if isinstance(record, DocumentRecord) else _engine_text(record)
    return int.from_bytes(blake2b(text.encode(), digest_size=DIGEST_BITS // 8).digest(), "big")


def _document_text(record: DocumentRecord) -> str:
    return f"document{len(record.id)}:{record.id}{len(record.content)}:{record.content}"


def _engine_text(record: EngineRecord) -> str:
    return (
        f"{len(record.id)}:{record.id}"
        f"{len(record.zone)}:{record.zone}"
        f"{len(record.kind)}:{record.kind}"
        f"{len(record.address)}:{record.address}"
        f"{record.cell}:{record.draining:d}:{record.in_subset:d}:"
        f"{record.started.hex()}:{record.weight.hex()}"
    )


def digest_of(records: Iterable[Record]) -> int:
    """The digest of a set of records."""
    return sum(map(record_digest, records)) & DIGEST_MASK
