"""Writes behind the loop's back: what is put here is in memory at once and on disk a moment later, by a
thread of its own. Nobody ever waits for it; where the disk fails the front goes on as without one, says so,
and writes what it has once the disk takes it again.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from time import monotonic

from msgspec import Struct

from thistlelever.ledger import records
from thistlelever.ledger.file import MAX_RECORDS, LedgerError, LedgerFile
from thistlelever.ledger.replacement import replace_file

# Between two writes, and the longest pause after one that failed. What a kill loses is what came since the
# last write began: `WRITE_INTERVAL` and the write itself.
WRITE_INTERVAL, MAX_RETRY_PAUSE = 0.2, 2.0
# A write that is under way for so long is said to be stuck.
STUCK_AFTER = 1.0

RecordKey = tuple[str, bytes]


def encode_changes(changes: dict[RecordKey, Struct | None]) -> Iterator[tuple[str, bytes, bytes | None]]:
    """Changes as the file takes them."""
    for (kind, key), record in changes.items():
        yield kind, key, record and records.pack(record)


class LedgerWriter:
    """`put` and `drop` from the loop's thread alone; the other thread takes what has changed, whole."""

    def __init__(
        self,
        open_file: Callable[[], LedgerFile],
        interval: float = WRITE_INTERVAL,
        on_status_change: Callable[[str], None] = lambda failing: None,
    ) -> None:
        self.open_file, self.interval, self.on_status_change = open_file, interval, on_status_change
        # What the file has, or will have: by kind the records by key; and what of it is not written yet.
        self.records: dict[str, dict[bytes, Struct]] = {kind: {} for kind in records.KINDS}
        self.dirty: dict[RecordKey, Struct | None] = {}
        self.lock, self.wake, self.closing = threading.Lock(), threading.Event(), False
        self.file: LedgerFile | None = None
        # Whether a write or a sync of the file failed: what it seems to hold may not be on the disk.
        self.unsynced = False
        self.thread: threading.Thread | None = None
        self.failing, self.damaged = "not open yet", []
        self.writes, self.records_written, self.longest_write, self.evicted = 0, 0, 0.0, 0
        self.writing_since = 0.0

    # On the loop's thread.

    def open(self) -> str:
        """Read what is there; why it can't be used, or nothing. Called once, before the front serves."""
        try:
            self.file = self.open_file()
            for kind, key, record in self.file.read(self.damaged):
                if kind in self.records:
                    self.records[kind][key] = record
            self.failing = ""
        except LedgerError as why:
            self.failing = str(why)
        return self.failing

    def start(self) -> None:
        self.thread = threading.Thread(target=self.run, name="ledger", daemon=True)
        self.thread.start()

    def put(self, kind: str, key: bytes, record: Struct) -> None:
        records_of_kind = self.records[kind]
        if key not in records_of_kind and len(records_of_kind) >= MAX_RECORDS[kind]:
            # The oldest goes: of marks and rests those that matter least by now.
            self.evicted += 1
            self.drop(kind, next(iter(records_of_kind)))
        records_of_kind.pop(key, None)
        records_of_kind[key] = record
        with self.lock:
            self.dirty[kind, key] = record

    def drop(self, kind: str, key: bytes) -> None:
        if self.records[kind].pop(key, None) is not None:
            with self.lock:
                self.dirty[kind, key] = None

    def is_durable(self) -> bool:
        """Whether what is put here is on disk a moment later."""
        return not self.failing and not self.stuck_seconds()

    def stuck_seconds(self) -> float:
        """For how long the write that is under way has been, where that is long."""
        since = self.writing_since
        late = monotonic() - since if since else 0.0
        return late if late > STUCK_AFTER else 0.0

    def close(self, grace: float) -> None:
        """Write what is left, within the grace."""
        self.closing = True
        self.wake.set()
        if self.thread:
            self.thread.join(grace)
        if self.file and not (self.thread and self.thread.is_alive()):
            self.close_file()

    # On its own thread.

    def run(self) -> None:
        pause = self.interval
        while True:
            self.wake.wait(pause)
            self.wake.clear()
            last = self.closing
            pause = self.interval if self.write() else min(pause * 2, MAX_RETRY_PAUSE)
            if last:
                return

    def write(self) -> bool:
        """One transaction of all that has changed; whether it held."""
        with self.lock:
            changes, self.dirty = self.dirty, {}
        if not changes and not self.failing:
            return True
        begun = self.writing_since = monotonic()
        try:
            reopened = self.file is None
            if reopened:
                self.file = self.open_file()
            if reopened or self.unsynced:
                # Whatever is there now, memory is what holds.
                changes = self.snapshot() | changes
            if self.unsynced:
                self.file = replace_file(self.file, encode_changes(changes))
                self.unsynced = False
            elif changes:
                self.file.write(encode_changes(changes))
                self.file.compact()
        except LedgerError as why:
            self.requeue(changes, str(why))
            return False
        finally:
            self.writing_since = 0.0
        self.writes, self.records_written = self.writes + 1, self.records_written + len(changes)
        self.longest_write = max(self.longest_write, monotonic() - begun)
        self.report("")
        return True

    def snapshot(self) -> dict[RecordKey, Struct | None]:
        """All that memory holds, as changes. Taken by the other thread while the loop goes on: a dictionary
        that changes under it is taken again."""
        while True:
            try:
                return {
                    (kind, key): record
                    for kind, records_of_kind in self.records.items()
                    for key, record in records_of_kind.items()
                }
            except RuntimeError:
                continue

    def requeue(self, changes: dict[RecordKey, Struct | None], why: str) -> None:
        """Not written: it waits for the next time, but for what has changed since."""
        with self.lock:
            self.dirty = changes | self.dirty
        if self.file and why.startswith("io"):
            self.unsynced = True
        elif self.file and not why.startswith(("full", "held")):
            # A file that is gone, read-only or spoilt is opened anew.
            self.file.close_unchecked()
            self.file = None
        self.report(why)

    def close_file(self) -> None:
        """Close the file; where that fails, once more by a new one."""
        try:
            self.file.checkpoint_and_close()
        except LedgerError as why:
            self.requeue({}, str(why))
            self.write()
            if self.file:
                self.file.close()

    def report(self, failing: str) -> None:
        if failing.partition(":")[0] != self.failing.partition(":")[0]:
            self.failing = failing
            self.on_status_change(failing)
