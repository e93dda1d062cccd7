"""What a front is told that comes with content from elsewhere: after a cut or a restart of either side.

It names what it holds by short digests of its records, some 25 bytes each, so that any distributor can answer
with a delta, whatever was told by whom before. Cost: the size of the two, whatever the size of the content.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from thistlelever.distribution.messages import Delta
from thistlelever.distribution.records import DIGEST_BITS, Record, digest_of, record_digest
from thistlelever.distribution.versions import Version
from thistlelever.distribution.views import compute_removals

# Enough to tell two states of one engine apart; a digest of all that is held is compared in the end.
SHORT_DIGEST_BYTES = 8


def short_digest(record: Record) -> bytes:
    """The first bytes of a record's digest."""
    return record_digest(record).to_bytes(DIGEST_BITS // 8, "big")[:SHORT_DIGEST_BYTES]


class HeldDigests(NamedTuple):
    """What a front holds: version and digest of all, and the short digest of each record by its id."""

    version: Version
    digest: int
    records: Mapping[str, bytes]


def difference_from_digests(
    held: HeldDigests,
    version: Version,
    wanted: Collection[Record],
    exists: Callable[[str], bool],
    retained: tuple[str, ...],
) -> Delta:
    """The delta from what a front holds to the records wanted for it at `version`. An engine that it
    retains and that exists no more is told as gone."""
    wanted_ids = {record.id for record in wanted}
    upserts = tuple(record for record in wanted if held.records.get(record.id) != short_digest(record))
    removals = compute_removals(held.records, wanted_ids, exists, retained)
    return Delta(held.version, held.digest, version, digest_of(wanted), upserts, removals)
