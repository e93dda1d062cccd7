"""The latest changes of the whole content, from which a receiver that lags a little gets one delta."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from itertools import islice

from thistlelever.distribution.messages import Delta, Removal
from thistlelever.distribution.records import Record
from thistlelever.distribution.versions import Version

# Default limit of the upserts and removals kept, which bounds memory when single changes are large.
MAX_HISTORY_RECORDS = 65_536


class History:
    """At most `max_changes` consecutive changes with together at most `max_records` upserts and removals."""

    def __init__(self, max_changes: int, max_records: int = MAX_HISTORY_RECORDS) -> None:
        """Creates an empty history; raises `ValueError` if a limit is below 1."""
        if max_changes < 1 or max_records < 1:
            raise ValueError("a history keeps at least one change of one record")
        self._max_changes = max_changes
        self._max_records = max_records
        self._changes: deque[Delta] = deque()
        self._record_count = 0
        # Changes are numbered in the order of `append`; `_first_position` is the number of the oldest one
        # kept.
        self._first_position = 0
        # By base version: the number of the change that starts there, and the digest of that version.
        self._starts: dict[Version, tuple[int, int]] = {}
        self._newest: tuple[Version, int] | None = None

    def __len__(self) -> int:
        """The number of changes kept."""
        return len(self._changes)

    @property
    def record_count(self) -> int:
        """The number of upserts and removals kept."""
        return self._record_count

    def append(self, delta: Delta) -> None:
        """Appends a change that was just applied; raises `ValueError` if it does not follow the newest
        one."""
        base = (delta.base, delta.base_digest)
        if self._newest is not None and base != self._newest:
            raise ValueError(f"a change from {self._newest[0]} expected, found one from {delta.base}")
        self._starts[delta.base] = (self._first_position + len(self._changes), delta.base_digest)
        self._changes.append(delta)
        self._record_count += _record_count_of(delta)
        self._newest = (delta.version, delta.digest)
        while len(self._changes) > self._max_changes or self._record_count > self._max_records:
            self._drop_oldest()

    def since(self, version: Version, digest: int) -> Delta | None:
        """Merges the changes from `version` to the newest version into one delta, which is empty if `version`
        is the newest. Returns None if the version is not kept or has another digest: the receiver then needs
        a snapshot."""
        if self._newest is None:
            return None
        if (version, digest) == self._newest:
            return Delta(version, digest, version, digest, (), ())
        position, kept_digest = self._starts.get(version, (None, None))
        if position is None or kept_digest != digest:
            return None
        return _merge(islice(self._changes, position - self._first_position, None), version, digest)

    def clear(self) -> None:
        """Drops all changes. Needed after a snapshot was applied, as they no longer lead to the content
        held."""
        self._changes.clear()
        self._starts.clear()
        self._record_count = 0
        self._first_position = 0
        self._newest = None

    def _drop_oldest(self) -> None:
        oldest = self._changes.popleft()
        del self._starts[oldest.base]
        self._first_position += 1
        self._record_count -= _record_count_of(oldest)


def _record_count_of(delta: Delta) -> int:
    return len(delta.upserts) + len(delta.removals)


def _merge(changes: Iterable[Delta], base: Version, base_digest: int) -> Delta:
    """Merges consecutive deltas into one; the last change of each id wins."""
    upserts: dict[str, Record] = {}
    removals: dict[str, Removal] = {}
    version, digest = base, base_digest
    for change in changes:
        for removal in change.removals:
            upserts.pop(removal.id, None)
            removals[removal.id] = removal
        for record in change.upserts:
            removals.pop(record.id, None)
            upserts[record.id] = record
        version, digest = change.version, change.digest
    return Delta(base, base_digest, version, digest, tuple(upserts.values()), tuple(removals.values()))
