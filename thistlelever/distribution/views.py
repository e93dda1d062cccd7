"""Tracks the content that a distributor sent to one front, and computes the next update for it.

A front holds a subset of the content, and the engines that it retains while they still run its queries
(`EngineRecord.in_subset` is False). The caller selects these records; this module compares them with the
content that the front holds, in time that depends on the sizes of these two and not of the whole content.
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
    """The content of one front after an update. Views share records and may share the dict `records`, which
    is never modified."""

    version: Version = NO_VERSION
    digest: int = EMPTY_DIGEST
    records: dict[str, Record] = {}

    def matches(self, version: Version, digest: int) -> bool:
        """Whether a front with this version and digest holds this view."""
        return self.version == version and self.digest == digest

    def after(self, update: Update) -> FrontView:
        """The view of a front after it applied `update`, which was computed from this view."""
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
    """The last two views of one front: the one that it acknowledged, and the one sent since, which may not
    have arrived. With both, a lost reply does not require a snapshot."""

    def __init__(self) -> None:
        """Starts with no view sent."""
        self._acknowledged: FrontView | None = None
        self._sent: FrontView | None = None

    def acknowledge(self, version: Version, digest: int) -> FrontView | None:
        """Returns the view with this version and digest, which the front reported, and marks it as
        acknowledged. Returns None if neither view matches: the front then needs a snapshot."""
        for view in (self._sent, self._acknowledged):
            if view is not None and view.matches(version, digest):
                self._acknowledged = view
                self._sent = None
                return view
        return None

    def sent(self, update: Update) -> None:
        """Records the update that is being sent: a snapshot, or a delta from the acknowledged view. Raises
        `ValueError` for a delta from another view."""
        base = self._acknowledged or FrontView()
        if isinstance(update, Delta) and not base.matches(update.base, update.base_digest):
            raise ValueError(f"a delta from {base.version} expected, found one from {update.base}")
        self._sent = base.after(update)


def difference(
    held: FrontView,
    version: Version,
    wanted: Iterable[Record],
    exists: Callable[[str], bool],
    retained: Iterable[str] = (),
) -> Delta:
    """Computes the delta from the view that a front holds to the `wanted` records at `version`.

    `exists` tells whether an id is in the whole content. An engine that is `retained` by the front but no
    longer exists is reported as gone, even if the front no longer holds a record of it.
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
    """The removals for a front that holds the ids `held`: ids that are not wanted, and retained engines that
    it does not hold and that no longer exist."""
    unwanted = [record_id for record_id in held if record_id not in wanted]
    gone_unheld = [
        record_id
        for record_id in dict.fromkeys(retained)
        if record_id not in held and record_id not in wanted and not exists(record_id)
    ]
    return tuple(Removal(record_id, gone=not exists(record_id)) for record_id in unwanted + gone_unheld)


def snapshot(version: Version, wanted: Iterable[Record]) -> Snapshot:
    """Creates a snapshot of the records wanted for a front at `version`."""
    records = tuple(wanted)
    return Snapshot(version, digest_of(records), records)


def smallest_update(full: Snapshot, held_version: Version, held_digest: int) -> Update:
    """The update to send to a front whose view is not known here: an empty delta that only changes the
    version if the digest shows that the front holds the records of `full` already, otherwise `full`. In both
    cases `full` is the update to record as sent."""
    if held_digest != full.digest:
        return full
    return Delta(held_version, held_digest, full.version, full.digest, (), ())
