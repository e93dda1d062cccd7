"""The update for a front that connects with content received elsewhere: after a lost connection or a restart
of either side.

The front identifies its content by short digests of its records, about 25 bytes each, so that any distributor
can reply with a delta, regardless of what was sent before and by which one. The time depends on the sizes of
the content held and wanted, not of the whole content.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from thistlelever.distribution.messages import Delta
from thistlelever.distribution.records import DIGEST_BITS, Record, digest_of, record_digest
from thistlelever.distribution.versions import Version
from thistlelever.distribution.views import compute_removals

# Long enough to distinguish two states of one record; the digest of the whole result is checked by the
# receiver.
SHORT_DIGEST_BYTES = 8


def short_digest(record: Record) -> bytes:
    """The first `SHORT_DIGEST_BYTES` bytes of the digest of a record."""
    return record_digest(record).to_bytes(DIGEST_BITS // 8, "big")[:SHORT_DIGEST_BYTES]


class HeldDigests(NamedTuple):
    """The content of a front: its version and digest, and the short digest of each record by id."""

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
    """Computes the delta from the content that a front holds to the `wanted` records at `version`. `exists`
    tells whether an id is in the whole content; a retained engine that no longer exists is reported as
    gone."""
    wanted_ids = {record.id for record in wanted}
    upserts = tuple(record for record in wanted if held.records.get(record.id) != short_digest(record))
    removals = compute_removals(held.records, wanted_ids, exists, retained)
    return Delta(held.version, held.digest, version, digest_of(wanted), upserts, removals)
