"""The file: one SQLite database in write-ahead mode with one owner at a time. Everything that SQLite or the
machine says no to comes out as `Failing`, with a word for what it is.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from contextlib import suppress

import apsw
from msgspec import Struct

from thistlelever.ledger import records
from thistlelever.ledger.folder import finish_replacement
from thistlelever.ledger.records import Damaged, Newer

# The file's mark (PRAGMA application_id), so that a foreign database is not written to; and its own layout.
OURS, LAYOUT = 0x74686C76, 1
# Past so many pages of the log the file takes them over; so many may lie free before it is packed.
LOG_PAGES, FREE_PAGES = 256, 1_024
# So many records of each kind are kept, some 150 bytes each.
MOST = {"listed": 10_000, "learnt": 10_000, "mark": 200_000, "rest": 100_000, "window": 1}
WORDS = {
    apsw.FullError: "full",
    apsw.IOError: "io",
    apsw.ReadOnlyError: "read-only",
    apsw.CantOpenError: "gone",
    apsw.CorruptError: "damaged",
    apsw.NotADBError: "foreign",
    apsw.BusyError: "held by another process",
    apsw.LockedError: "held by another process",
    apsw.PermissionsError: "read-only",
}


class Failing(Exception):
    """The store can't be used; `word` says what it is, for people and counters."""

    def __init__(self, word: str, why: str = "") -> None:
        super().__init__(f"{word}: {why}" if why else word)
        self.word = word


def said(why: Exception) -> Failing:
    """An error of SQLite's or the machine's as `Failing`."""
    word = next((word for kind, word in WORDS.items() if isinstance(why, kind)), "")
    if not word and isinstance(why, OSError):
        word = "gone" if isinstance(why, FileNotFoundError | NotADirectoryError) else "io"
    return Failing(word or "failing", str(why))


class File:
    """Open for one owner until it is closed or its process dies. Not for several threads at once."""

    def __init__(self, path: str, vfs: str | None = None, read_only: bool = False) -> None:
        flags = (
            apsw.SQLITE_OPEN_READONLY if read_only else (apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_CREATE)
        )
        self.path, self.vfs, self.read_only = path, vfs, read_only
        # Pages in the log since it was last taken over.
        self.log_pages = 0
        try:
            if not read_only:
                finish_replacement(path)
            self.base = apsw.Connection(path, flags=flags, vfs=vfs)
        except (apsw.Error, OSError) as why:
            raise said(why) from None
        try:
            self.prepare()
        except Failing:
            self.abandon()
            raise
        except (apsw.Error, OSError) as why:
            self.abandon()
            raise said(why) from None

    def prepare(self) -> None:
        base = self.base
        base.set_busy_timeout(0)
        # One owner: the lock is the machine's own on the file, and is gone with its process. Without a
        # second one there is no shared memory either.
        if not self.read_only:
            base.pragma("locking_mode", "exclusive")
        mark, layout = base.pragma("application_id"), base.pragma("user_version")
        tables = base.execute("select count(*) from sqlite_master").get
        if mark != OURS and (mark or tables):
            raise Failing("foreign", "a database of another program")
        if layout > LAYOUT:
            raise Failing("newer", f"of layout {layout}; this program knows {LAYOUT}")
        if self.read_only:
            return
        base.pragma("journal_mode", "wal")
        base.pragma("synchronous", "normal")
        # Risk: SQLite drops the errors of checkpoints that it makes by itself, and of the one at its close.
        base.wal_autocheckpoint(0)
        base.set_wal_hook(self.note_log)
        base.config(apsw.SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 1)
        if mark != OURS or not tables:
            with base:
                base.pragma("application_id", OURS)
                base.pragma("user_version", LAYOUT)
                base.execute(
                    "create table if not exists records (kind text, key blob, data blob, "
                    "primary key (kind, key)) without rowid"
                )
        # The lock is taken by the first write, and kept.
        with base:
            base.execute("delete from records where kind = ''")

    def read(
        self,
        damaged: list[tuple[str, bytes, str]] | None = None,
    ) -> Iterator[tuple[str, bytes, Struct]]:
        """All records that can be read; the others into `damaged`, with why."""
        try:
            for kind, key, data in self.base.execute("select kind, key, data from records"):
                try:
                    yield kind, key, records.unpack(kind, data)
                except (Damaged, Newer) as why:
                    if damaged is not None:
                        damaged.append((kind, key, str(why)))
        except apsw.Error as why:
            raise said(why) from None

    def write(self, changes: Iterable[tuple[str, bytes, bytes | None]]) -> None:
        """All of it or nothing: each kind and key with its data, or None to drop it."""
        try:
            with self.base:
                for kind, key, data in changes:
                    if data is None:
                        self.base.execute("delete from records where kind = ? and key = ?", (kind, key))
                    else:
                        row = kind, key, data
                        self.base.execute("insert or replace into records values (?, ?, ?)", row)
            if self.log_pages >= LOG_PAGES:
                self.checkpoint()
        except (apsw.Error, OSError) as why:
            raise said(why) from None

    def note_log(self, base: apsw.Connection, name: str, pages: int) -> int:
        """SQLite tells how long the log is after each commit."""
        self.log_pages = pages
        return apsw.SQLITE_OK

    def checkpoint(self) -> None:
        """Take the log over into the file and sync both; `apsw.Error` where the disk refuses."""
        self.base.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_TRUNCATE)
        self.log_pages = 0

    def verify(self) -> list[str]:
        """What is wrong with the file and its records; nothing where all is well."""
        try:
            found = [row[0] for row in self.base.execute("pragma integrity_check(20)") if row[0] != "ok"]
            damaged: list[tuple[str, bytes, str]] = []
            for _ in self.read(damaged):
                pass
            return found + [f"{kind} {key.hex()}: {why}" for kind, key, why in damaged]
        except apsw.Error as why:
            return [str(said(why))]
        except Failing as why:
            return [str(why)]

    def compact(self, always: bool = False) -> bool:
        """Give back what lies free, once that is much; whether it did."""
        try:
            if not always and self.base.pragma("freelist_count") < FREE_PAGES:
                return False
            self.base.execute("vacuum")
            self.checkpoint()
            return True
        except apsw.Error as why:
            raise said(why) from None

    def finish(self) -> None:
        """Take the log over and close; `Failing` where the disk refuses, and the file stays open then."""
        try:
            if not self.read_only:
                self.checkpoint()
                self.base.config(apsw.SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 0)
        except (apsw.Error, OSError) as why:
            raise said(why) from None
        self.abandon()

    def abandon(self) -> None:
        """Close without another word to the disk."""
        with suppress(apsw.Error):
            self.base.close(True)

    def close(self) -> None:
        """Close for good; what can't be taken over stays in the log."""
        try:
            self.finish()
        except Failing:
            self.abandon()


def size(path: str) -> int:
    """Bytes on disk, the log included."""
    found = 0
    for name in (path, path + "-wal"):
        with suppress(OSError):
            found += os.path.getsize(name)
    return found
