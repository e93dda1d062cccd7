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
from thistlelever.ledger.file import MOST, Failing, File
from thistlelever.ledger.replacement import replaced

# Between two writes, and the longest pause after one that failed. What a kill loses is what came since the
# last write began: `EVERY` and the write itself.
EVERY, LONGEST_PAUSE = 0.2, 2.0
# A write that is under way for so long is said to be stuck.
STUCK = 1.0

Change = tuple[str, bytes]


def packed(changes: dict[Change, Struct | None]) -> Iterator[tuple[str, bytes, bytes | None]]:
    """Changes as the file takes them."""
    for (kind, key), record in changes.items():
        yield kind, key, record and records.pack(record)


class Keeper:
    """`put` and `drop` from the loop's thread alone; the other thread takes what has changed, whole."""

    def __init__(
        self,
        open_file: Callable[[], File],
        every: float = EVERY,
        on_change: Callable[[str], None] = lambda failing: None,
    ) -> None:
        self.open_file, self.every, self.on_change = open_file, every, on_change
        # What the file has, or will have: by kind the records by key; and what of it is not written yet.
        self.records: dict[str, dict[bytes, Struct]] = {kind: {} for kind in records.KINDS}
        self.dirty: dict[Change, Struct | None] = {}
        self.lock, self.wake, self.ended = threading.Lock(), threading.Event(), False
        self.file: File | None = None
        # Whether a write or a sync of the file failed: what it seems to hold may not be on the disk.
        self.doubted = False
        self.thread: threading.Thread | None = None
        self.failing, self.damaged = "not open yet", []
        self.writes, self.written, self.longest, self.full = 0, 0, 0.0, 0
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
        except Failing as why:
            self.failing = str(why)
        return self.failing

    def start(self) -> None:
        self.thread = threading.Thread(target=self.run, name="ledger", daemon=True)
        self.thread.start()

    def put(self, kind: str, key: bytes, record: Struct) -> None:
        kept = self.records[kind]
        if key not in kept and len(kept) >= MOST[kind]:
            # The oldest goes: of marks and rests those that matter least by now.
            self.full += 1
            self.drop(kind, next(iter(kept)))
        kept.pop(key, None)
        kept[key] = record
        with self.lock:
            self.dirty[kind, key] = record

    def drop(self, kind: str, key: bytes) -> None:
        if self.records[kind].pop(key, None) is not None:
            with self.lock:
                self.dirty[kind, key] = None

    def keeps(self) -> bool:
        """Whether what is put here is on disk a moment later."""
        return not self.failing and not self.stuck()

    def stuck(self) -> float:
        """For how long the write that is under way has been, where that is long."""
        since = self.writing_since
        late = monotonic() - since if since else 0.0
        return late if late > STUCK else 0.0

    def close(self, grace: float) -> None:
        """Write what is left, within the grace."""
        self.ended = True
        self.wake.set()
        if self.thread:
            self.thread.join(grace)
        if self.file and not (self.thread and self.thread.is_alive()):
            self.finish()

    # On its own thread.

    def run(self) -> None:
        pause = self.every
        while True:
            self.wake.wait(pause)
            self.wake.clear()
            last = self.ended
            pause = self.every if self.write() else min(pause * 2, LONGEST_PAUSE)
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
            if reopened or self.doubted:
                # Whatever is there now, memory is what holds.
                changes = self.whole() | changes
            if self.doubted:
                self.file = replaced(self.file, packed(changes))
                self.doubted = False
            elif changes:
                self.file.write(packed(changes))
                self.file.compact()
        except Failing as why:
            self.give_back(changes, str(why))
            return False
        finally:
            self.writing_since = 0.0
        self.writes, self.written = self.writes + 1, self.written + len(changes)
        self.longest = max(self.longest, monotonic() - begun)
        self.tell("")
        return True

    def whole(self) -> dict[Change, Struct | None]:
        """All that memory holds, as changes. Taken by the other thread while the loop goes on: a dictionary
        that changes under it is taken again."""
        while True:
            try:
                return {
                    (kind, key): record for kind, kept in self.records.items() for key, record in kept.items()
                }
            except RuntimeError:
                continue

    def give_back(self, changes: dict[Change, Struct | None], why: str) -> None:
        """Not written: it waits for the next time, but for what has changed since."""
        with self.lock:
            self.dirty = changes | self.dirty
        if self.file and why.startswith("io"):
            self.doubted = True
        elif self.file and not why.startswith(("full", "held")):
            # A file that is gone, read-only or spoilt is opened anew.
            self.file.abandon()
            self.file = None
        self.tell(why)

    def finish(self) -> None:
        """Close the file; where that fails, once more by a new one."""
        try:
            self.file.finish()
        except Failing as why:
            self.give_back({}, str(why))
            self.write()
            if self.file:
                self.file.close()

    def tell(self, failing: str) -> None:
        if failing.partition(":")[0] != self.failing.partition(":")[0]:
            self.failing = failing
            self.on_change(failing)
