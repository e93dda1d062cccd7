"""What a front is told that comes with content from elsewhere: after a cut or a restart of either side.

It names what it holds by short digests of its records, some 25 bytes each, so that any distributor can answer
with a delta, whatever was told by whom before. Cost: the size of the two, whatever the size of the content.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from thistlelever.distribution.messages import Delta, Removal
from thistlelever.distribution.records import DIGEST_BITS, Record, digest_of, record_digest
from thistlelever.distribution.versions import Version

# Enough to tell two states of one engine apart; a digest of all that is held is compared in the end.
SHORT_DIGEST_BYTES = 8


def short_digest(record: Record) -> bytes:
    """The first bytes of a record's digest."""
    return record_digest(record).to_bytes(DIGEST_BITS // 8, "big")[:SHORT_DIGEST_BYTES]


def difference_from_digests(
    base: tuple[Version, int],
    held: Mapping[str, bytes],
    version: Version,
    wanted: Collection[Record],
    exists: Callable[[str], bool],
    retained: tuple[str, ...],
) -> Delta:
    """The delta from what a front holds (`base`: version and digest; `held`: short digests by engine) to the
    records wanted for it at `version`. An engine that it retains and that exists no more is told as gone."""
    wanted_ids = {record.id for record in wanted}
    upserts = tuple(record for record in wanted if held.get(record.id) != short_digest(record))
    left = [engine for engine in held if engine not in wanted_ids]
    left += [
        engine
        for engine in dict.fromkeys(retained)
        if engine not in held and engine not in wanted_ids and not exists(engine)
    ]
    removals = tuple(Removal(engine, gone=not exists(engine)) for engine in left)
    return Delta(*base, version, digest_of(wanted), upserts, removals)
