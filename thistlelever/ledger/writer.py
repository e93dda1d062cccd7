"""Write-behind storage: records are kept in memory and written to the ledger file by a background thread.

No caller waits for the disk. When writes fail, the front goes on with the records in memory, reports the
error, and writes all records once the disk accepts writes again.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from time import monotonic

from msgspec import Struct

from thistlelever.ledger import records
from thistlelever.ledger.file import MAX_RECORDS, LedgerError, LedgerFile
from thistlelever.ledger.replacement import replace_file

# Seconds between writes, and the maximum pause after failed ones. A crash loses the changes made since the
# last write began: `WRITE_INTERVAL` plus the duration of that write.
WRITE_INTERVAL, MAX_RETRY_PAUSE = 0.2, 2.0
# Seconds after which a write in progress is reported as stuck.
STUCK_AFTER = 1.0

# Kind and key of a record.
RecordKey = tuple[str, bytes]


def encode_changes(changes: dict[RecordKey, Struct | None]) -> Iterator[tuple[str, bytes, bytes | None]]:
    """Yield changes in the form that `LedgerFile.write` takes."""
    for (kind, key), record in changes.items():
        yield kind, key, record and records.pack(record)


class LedgerWriter:
    """The records in memory and the thread that writes their changes.

    `put` and `drop` may be called from the event loop's thread only. Each write takes all pending changes.
    """

    def __init__(
        self,
        open_file: Callable[[], LedgerFile],
        interval: float = WRITE_INTERVAL,
        on_status_change: Callable[[str], None] = lambda failing: None,
    ) -> None:
        """Take the function that opens the file, the seconds between writes, and a callback.

        The callback runs on the writing thread, with the error text or with "" once writes succeed again.
        """
        self.open_file, self.interval, self.on_status_change = open_file, interval, on_status_change
        # All records by kind and key, and the changes that are not written yet.
        self.records: dict[str, dict[bytes, Struct]] = {kind: {} for kind in records.KINDS}
        self.dirty: dict[RecordKey, Struct | None] = {}
        self.lock, self.wake, self.closing = threading.Lock(), threading.Event(), False
        self.file: LedgerFile | None = None
        # Whether a write or a sync of the file failed, so that its content may not be on the disk.
        self.unsynced = False
        self.thread: threading.Thread | None = None
        self.failing, self.damaged = "not open yet", []
        self.writes, self.records_written, self.longest_write, self.evicted = 0, 0, 0.0, 0
        self.writing_since = 0.0

    # Called on the event loop's thread.

    def open(self) -> str:
        """Open the file and load its records; return the error text, or "" on success.

        Called once, before the front serves requests.
        """
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
        """Start the writing thread."""
        self.thread = threading.Thread(target=self.run, name="ledger", daemon=True)
        self.thread.start()

    def put(self, kind: str, key: bytes, record: Struct) -> None:
        """Store a record; the oldest of its kind is dropped at the limit of `MAX_RECORDS`."""
        records_of_kind = self.records[kind]
        if key not in records_of_kind and len(records_of_kind) >= MAX_RECORDS[kind]:
            # The oldest record goes: among idempotency keys and cool-downs it matters least.
            self.evicted += 1
            self.drop(kind, next(iter(records_of_kind)))
        records_of_kind.pop(key, None)
        records_of_kind[key] = record
        with self.lock:
            self.dirty[kind, key] = record

    def drop(self, kind: str, key: bytes) -> None:
        """Delete a record if it exists."""
        if self.records[kind].pop(key, None) is not None:
            with self.lock:
                self.dirty[kind, key] = None

    def is_durable(self) -> bool:
        """Return whether changes reach the disk: no error is reported and no write is stuck."""
        return not self.failing and not self.stuck_seconds()

    def stuck_seconds(self) -> float:
        """Return the duration of the write in progress in seconds, or 0.0 up to `STUCK_AFTER`."""
        since = self.writing_since
        late = monotonic() - since if since else 0.0
        return late if late > STUCK_AFTER else 0.0

    def close(self, grace: float) -> None:
        """Write the pending changes and close the file, waiting at most `grace` seconds for the thread."""
        self.closing = True
        self.wake.set()
        if self.thread:
            self.thread.join(grace)
        if self.file and not (self.thread and self.thread.is_alive()):
            self.close_file()

    # Called on the writing thread.

    def run(self) -> None:
        """Write changes at each interval until `close`; double the pause after each failed write."""
        pause = self.interval
        while True:
            self.wake.wait(pause)
            self.wake.clear()
            last = self.closing
            pause = self.interval if self.write() else min(pause * 2, MAX_RETRY_PAUSE)
            if last:
                return

    def write(self) -> bool:
        """Write all pending changes in one transaction and return whether it succeeded."""
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
                # The content of this file is unknown, so all records in memory are written again.
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
        """Return all records in memory as changes.

        The event loop may change a dictionary meanwhile, which raises RuntimeError here; the copy is retried.
        """
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
        """Put changes of a failed write back, except where a newer change of the same record is pending."""
        with self.lock:
            self.dirty = changes | self.dirty
        if self.file and why.startswith("io"):
            self.unsynced = True
        elif self.file and not why.startswith(("full", "held")):
            # A missing, read-only or corrupt file is opened again by the next write.
            self.file.close_unchecked()
            self.file = None
        self.report(why)

    def close_file(self) -> None:
        """Close the file; when its checkpoint fails, write the records to the disk once more and close."""
        try:
            self.file.checkpoint_and_close()
        except LedgerError as why:
            self.requeue({}, str(why))
            self.write()
            if self.file:
                self.file.close()

    def report(self, failing: str) -> None:
        """Store the error text, "" for none, and call `on_status_change` when its reason changed."""
        if failing.partition(":")[0] != self.failing.partition(":")[0]:
            self.failing = failing
            self.on_status_change(failing)
