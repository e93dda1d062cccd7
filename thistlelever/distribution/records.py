"""The distributed records, engines and documents, and the digest of a set of records."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

# A digest is the sum of 128-bit hashes (the incremental multiset hash AdHash, Bellare and Micciancio 1997): a
# changed record updates it in constant time, and it does not depend on the order of the records. It detects
# faults and lost changes but does not protect against forged records.
DIGEST_BITS = 128
DIGEST_MASK = (1 << DIGEST_BITS) - 1
EMPTY_DIGEST = 0
# Prefix of the ids of documents.
DOCUMENT_PREFIX = "document:"
# A distributor compares the same records for each front in turn, so digests are cached: those of all engines
# and of some changed records, at about 300 bytes each.
DIGEST_CACHE_SIZE = 32_768


class EngineRecord(NamedTuple):
    """One engine. `started` is in Unix seconds, 0.0 if unknown; `address` is IPv4 `HOST:PORT`.

    `in_subset` is True wherever the whole content is held. A front also holds records of engines that have
    left its subset while they still run its queries; in those it is False.
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
    """A document that every front holds, such as a configuration. `id` begins with `DOCUMENT_PREFIX`, as no
    id of an engine does; `content` is its text."""

    id: str
    content: str

    @property
    def name(self) -> str:
        """The name under which it was published: `id` without the prefix."""
        return self.id.removeprefix(DOCUMENT_PREFIX)


Record = EngineRecord | DocumentRecord


def document(name: str, content: str) -> DocumentRecord:
    """Creates the record of a document."""
    return DocumentRecord(DOCUMENT_PREFIX + name, content)


def engines_of(records: Iterable[Record]) -> Iterator[EngineRecord]:
    """Yields the engines among `records`, in their order."""
    return (record for record in records if isinstance(record, EngineRecord))


def documents_of(records: Iterable[Record]) -> Iterator[DocumentRecord]:
    """Yields the documents among `records`, in their order."""
    return (record for record in records if isinstance(record, DocumentRecord))


@lru_cache(maxsize=DIGEST_CACHE_SIZE)
def record_digest(record: Record) -> int:
    """The 128-bit hash of one record. Strings are length-prefixed, so that the hashed text is unambiguous."""
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
    """The digest of a set of records, modulo 2**128."""
    return sum(map(record_digest, records)) & DIGEST_MASK
