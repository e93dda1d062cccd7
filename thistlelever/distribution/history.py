"""The last changes of the whole content, from which a receiver that is a little behind gets one delta."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from itertools import islice

from thistlelever.distribution.messages import Delta, Removal
from thistlelever.distribution.records import Record
from thistlelever.distribution.versions import Version

# A history keeps no more upserts and removals than this, however few its changes are.
MAX_HISTORY_RECORDS = 65_536


class History:
    """The last `max_changes` changes, in order, together of at most `max_records` upserts and removals."""

    def __init__(self, max_changes: int, max_records: int = MAX_HISTORY_RECORDS) -> None:
        """An empty history with these bounds."""
        if max_changes < 1 or max_records < 1:
            raise ValueError("a history keeps at least one change of one record")
        self._max_changes = max_changes
        self._max_records = max_records
        self._changes: deque[Delta] = deque()
        self._record_count = 0
        # Changes are numbered as they are appended; that of the oldest one kept is `_first_position`.
        self._first_position = 0
        # The position of the change that starts at a version, with that version's digest.
        self._starts: dict[Version, tuple[int, int]] = {}
        self._newest: tuple[Version, int] | None = None

    def __len__(self) -> int:
        """How many changes are kept."""
        return len(self._changes)

    @property
    def record_count(self) -> int:
        """How many upserts and removals are kept."""
        return self._record_count

    def append(self, delta: Delta) -> None:
        """Adds the change that was just applied; `ValueError` where it doesn't follow the newest one."""
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
        """One delta from there to the newest version; empty if that is the newest. None where the version is
        not kept, or was kept with another digest: the receiver needs a snapshot."""
        if self._newest is None:
            return None
        if (version, digest) == self._newest:
            return Delta(version, digest, version, digest, (), ())
        position, kept_digest = self._starts.get(version, (None, None))
        if position is None or kept_digest != digest:
            return None
        return _merge(islice(self._changes, position - self._first_position, None), version, digest)

    def clear(self) -> None:
        """Forgets everything: a snapshot was taken, and what was kept no longer leads to what is held."""
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
    """One delta for several that follow each other: the last word on each id counts."""
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
