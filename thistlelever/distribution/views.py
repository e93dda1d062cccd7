"""What a distributor remembers of what it told one front, and what it tells it next.

A front holds a subset of the content, and the engines that it retains while queries of its own are still
out there (`EngineRecord.in_subset` False). The caller computes these records; here they are compared with
what the front holds, in time by the size of the two and whatever the size of the content.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from thistlelever.distribution.messages import Delta, Removal, Snapshot, Update
from thistlelever.distribution.records import (
    DIGEST_MASK,
    EMPTY_DIGEST,
    Record,
    digest_of,
)
from thistlelever.distribution.versions import NO_VERSION, Version


class FrontView(NamedTuple):
    """What one front holds after an update. Views share records and may share `records` too: it is never
    changed."""

    version: Version = NO_VERSION
    digest: int = EMPTY_DIGEST
    records: dict[str, Record] = {}

    def is_at(self, version: Version, digest: int) -> bool:
        """Whether a front that holds this version with this digest holds this view."""
        return self.version == version and self.digest == digest

    def after(self, update: Update) -> FrontView:
        """The view of a front that has applied this update, which was made for this view."""
        if isinstance(update, Snapshot):
            records = {record.id: record for record in update.records}
            return FrontView(update.version, update.digest, records)
        if not update.upserts and not update.removals:
            return self._replace(version=update.version)
        records = dict(self.records)
        for removal in update.removals:
            records.pop(removal.id, None)
        for record in update.upserts:
            records[record.id] = record
        return FrontView(update.version, update.digest, records)


class SentViews:
    """The last two views of one front: the one that it is known to hold and the one told since, of which
    nobody knows whether it arrived. With both, a lost answer costs no snapshot."""

    def __init__(self) -> None:
        """Nothing was told yet."""
        self._acknowledged: FrontView | None = None
        self._sent: FrontView | None = None

    def acknowledged(self, version: Version, digest: int) -> FrontView | None:
        """The view that a front holds which names this version and digest; None if neither is it, and the
        front needs a snapshot."""
        for view in (self._sent, self._acknowledged):
            if view is not None and view.is_at(version, digest):
                self._acknowledged = view
                self._sent = None
                return view
        return None

    def sent(self, update: Update) -> None:
        """Remembers what is being sent: a delta from the acknowledged view, or a snapshot."""
        base = self._acknowledged or FrontView()
        if isinstance(update, Delta) and not base.is_at(update.base, update.base_digest):
            raise ValueError(f"a delta from {base.version} expected, found one from {update.base}")
        self._sent = base.after(update)


def difference(
    held: FrontView,
    version: Version,
    wanted: Iterable[Record],
    exists: Callable[[str], bool],
    retained: Iterable[str] = (),
) -> Delta:
    """The delta from what the front holds to the records wanted for it at `version`.

    `exists` tells whether an engine is in the whole content. An engine that is `retained` by the front but
    exists no longer is told as gone, also if the front holds no record of it any more.
    """
    wanted_by_id = {record.id: record for record in wanted}
    removals = compute_removals(held.records, wanted_by_id, exists, retained)
    upserts = tuple(record for record in wanted_by_id.values() if held.records.get(record.id) != record)
    replaced = [held.records[record.id] for record in upserts if record.id in held.records]
    removed = [held.records[removal.id] for removal in removals if removal.id in held.records]
    digest = held.digest + digest_of(upserts) - digest_of(replaced) - digest_of(removed)
    return Delta(held.version, held.digest, version, digest & DIGEST_MASK, upserts, removals)


def compute_removals(
    held: Collection[str],
    wanted: Collection[str],
    exists: Callable[[str], bool],
    retained: Iterable[str],
) -> tuple[Removal, ...]:
    """What a front that holds the ids `held` is to hold no longer, and what it retains that is gone."""
    left = [record_id for record_id in held if record_id not in wanted]
    lost = [
        record_id
        for record_id in dict.fromkeys(retained)
        if record_id not in held and record_id not in wanted and not exists(record_id)
    ]
    return tuple(Removal(record_id, gone=not exists(record_id)) for record_id in left + lost)


def snapshot(version: Version, wanted: Iterable[Record]) -> Snapshot:
    """All the records wanted for a front at `version`."""
    records = tuple(wanted)
    return Snapshot(version, digest_of(records), records)


def smallest_update(full: Snapshot, held_version: Version, held_digest: int) -> Update:
    """What to send of `full` to a front whose view isn't remembered here: if its digest shows that it holds
    these records already, an empty delta that moves its version. Either way `full` is what to remember."""
    if held_digest != full.digest:
        return full
    return Delta(held_version, held_digest, full.version, full.digest, (), ())
