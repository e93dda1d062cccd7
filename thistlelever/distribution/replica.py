"""The content of one version at one receiver, and which updates it accepts."""

from __future__ import annotations

from enum import Enum

from thistlelever.distribution.messages import Delta, Snapshot, Update
from thistlelever.distribution.records import (
    DIGEST_MASK,
    EMPTY_DIGEST,
    Record,
    digest_of,
    record_digest,
)
from thistlelever.distribution.versions import NO_VERSION, Version


class Outcome(Enum):
    """The result of an update. All but `APPLIED` leave the replica unchanged."""

    # The replica holds the content of the update.
    APPLIED = "applied"
    # The replica held this content already, for example because the update was delivered twice.
    UNCHANGED = "unchanged"
    # Older than the version held or than the floor: the sender is behind, so another one should be asked.
    STALE = "stale"
    # The base of the delta is not the content held: request again with the version and digest held.
    GAP = "gap"
    # The result would not have the announced digest, or ids are repeated: request a snapshot.
    DAMAGED = "damaged"
    # Two contents share one version. Lasts until a newer version arrives; needs the operator's attention.
    CONFLICT = "conflict"


class Replica:
    """The records of one version. An update is applied as a whole or not at all.

    With `strict` the replica holds the whole content, which is unique for each version: other content with
    the version held is a `CONFLICT`. Without it the replica holds the content of one front, which may change
    within a version (when the front retains other engines, or the subset is computed with other parameters).
    A snapshot of the version held is then applied, and so is a delta whose base is exactly the content held.

    Versions older than `floor` are refused. A front that restarts sets it to the last version that it held; a
    distributor raises it when it promises a term (`claim.promise`).
    """

    def __init__(self, *, strict: bool = True, floor: Version = NO_VERSION) -> None:
        """Creates an empty replica."""
        self.strict = strict
        self.floor = floor
        self.version = NO_VERSION
        self.digest = EMPTY_DIGEST
        self.records: dict[str, Record] = {}

    def receive(self, update: Update) -> Outcome:
        """Applies the update if it is newer and matches the content held. The time for a delta depends on its
        size, not on that of the content."""
        if update.version < self.highest():
            return Outcome.STALE
        if isinstance(update, Snapshot):
            return self._receive_snapshot(update)
        return self._receive_delta(update)

    def highest(self) -> Version:
        """The version below which updates are refused: the highest held or promised."""
        return max(self.version, self.floor)

    def snapshot(self) -> Snapshot:
        """The content held, as an update for other receivers."""
        return Snapshot(self.version, self.digest, tuple(self.records.values()))

    def _receive_snapshot(self, snapshot: Snapshot) -> Outcome:
        same_version = snapshot.version == self.version
        if same_version and snapshot.digest == self.digest:
            return Outcome.UNCHANGED
        records = {record.id: record for record in snapshot.records}
        if len(records) != len(snapshot.records):
            return Outcome.DAMAGED
        if digest_of(snapshot.records) != snapshot.digest:
            return Outcome.DAMAGED
        if same_version and self.strict:
            return Outcome.CONFLICT
        self.records = records
        self.version = snapshot.version
        self.digest = snapshot.digest
        return Outcome.APPLIED

    def _receive_delta(self, delta: Delta) -> Outcome:
        same_version = delta.version == self.version
        if same_version and delta.digest == self.digest and not self._carries_changes(delta):
            return Outcome.UNCHANGED
        if same_version and self.strict:
            return Outcome.CONFLICT
        if not self._holds_base(delta):
            return Outcome.GAP
        if _has_duplicate_ids(delta) or self._digest_after(delta) != delta.digest:
            return Outcome.DAMAGED
        for removal in delta.removals:
            self.records.pop(removal.id, None)
        for record in delta.upserts:
            self.records[record.id] = record
        self.version = delta.version
        self.digest = delta.digest
        return Outcome.APPLIED

    def _holds_base(self, delta: Delta) -> bool:
        return delta.base == self.version and delta.base_digest == self.digest

    def _carries_changes(self, delta: Delta) -> bool:
        """Whether a delta whose result is the content held must still be applied: it may report to a front
        that an engine is gone of which the front holds no record."""
        return not self.strict and self._holds_base(delta) and bool(delta.upserts or delta.removals)

    def _digest_after(self, delta: Delta) -> int:
        digest = self.digest
        for removal in delta.removals:
            digest -= self._held_digest(removal.id)
        for record in delta.upserts:
            digest += record_digest(record) - self._held_digest(record.id)
        return digest & DIGEST_MASK

    def _held_digest(self, engine_id: str) -> int:
        held = self.records.get(engine_id)
        return EMPTY_DIGEST if held is None else record_digest(held)


def _has_duplicate_ids(delta: Delta) -> bool:
    ids = {record.id for record in delta.upserts}
    ids.update(removal.id for removal in delta.removals)
    return len(ids) != len(delta.upserts) + len(delta.removals)
