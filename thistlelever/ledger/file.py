"""The file: one SQLite database in write-ahead mode with one owner at a time. Everything that SQLite or the
machine says no to comes out as `LedgerError`, with a reason for what it is.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from contextlib import suppress

import apsw
from msgspec import Struct

from thistlelever.ledger import records
from thistlelever.ledger.folder import finish_replacement
from thistlelever.ledger.records import DamagedRecordError, NewerSchemaError

# The file's mark (PRAGMA application_id), so that a foreign database is not written to; and its own layout.
APPLICATION_ID, LAYOUT_VERSION = 0x74686C76, 1
# Past so many pages of the log the file takes them over; so many may lie free before it is packed.
CHECKPOINT_LOG_PAGES, VACUUM_FREE_PAGES = 256, 1_024
# So many records of each kind are kept, some 150 bytes each.
MAX_RECORDS = {"listed": 10_000, "learnt": 10_000, "mark": 200_000, "rest": 100_000, "window": 1}
REASONS = {
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


class LedgerError(Exception):
    """The store can't be used; `reason` says what it is, for people and counters."""

    def __init__(self, reason: str, why: str = "") -> None:
        super().__init__(f"{reason}: {why}" if why else reason)
        self.reason = reason


def ledger_error(why: Exception) -> LedgerError:
    """An error of SQLite's or the machine's as `LedgerError`."""
    reason = next((reason for kind, reason in REASONS.items() if isinstance(why, kind)), "")
    if not reason and isinstance(why, OSError):
        reason = "gone" if isinstance(why, FileNotFoundError | NotADirectoryError) else "io"
    return LedgerError(reason or "failing", str(why))


class LedgerFile:
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
            self.connection = apsw.Connection(path, flags=flags, vfs=vfs)
        except (apsw.Error, OSError) as why:
            raise ledger_error(why) from None
        try:
            self.prepare()
        except LedgerError:
            self.close_unchecked()
            raise
        except (apsw.Error, OSError) as why:
            self.close_unchecked()
            raise ledger_error(why) from None

    def prepare(self) -> None:
        connection = self.connection
        connection.set_busy_timeout(0)
        # One owner: the lock is the machine's own on the file, and is gone with its process. Without a
        # second one there is no shared memory either.
        if not self.read_only:
            connection.pragma("locking_mode", "exclusive")
        application_id, layout = connection.pragma("application_id"), connection.pragma("user_version")
        tables = connection.execute("select count(*) from sqlite_master").get
        if application_id != APPLICATION_ID and (application_id or tables):
            raise LedgerError("foreign", "a database of another program")
        if layout > LAYOUT_VERSION:
            raise LedgerError("newer", f"of layout {layout}; this program knows {LAYOUT_VERSION}")
        if self.read_only:
            return
        connection.pragma("journal_mode", "wal")
        connection.pragma("synchronous", "normal")
        # Risk: SQLite drops the errors of checkpoints that it makes by itself, and of the one at its close.
        connection.wal_autocheckpoint(0)
        connection.set_wal_hook(self.count_log_pages)
        connection.config(apsw.SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 1)
        if application_id != APPLICATION_ID or not tables:
            with connection:
                connection.pragma("application_id", APPLICATION_ID)
                connection.pragma("user_version", LAYOUT_VERSION)
                connection.execute(
                    "create table if not exists records (kind text, key blob, data blob, "
                    "primary key (kind, key)) without rowid"
                )
        # The lock is taken by the first write, and kept.
        with connection:
            connection.execute("delete from records where kind = ''")

    def read(
        self,
        damaged: list[tuple[str, bytes, str]] | None = None,
    ) -> Iterator[tuple[str, bytes, Struct]]:
        """All records that can be read; the others into `damaged`, with why."""
        try:
            for kind, key, data in self.connection.execute("select kind, key, data from records"):
                try:
                    yield kind, key, records.unpack(kind, data)
                except (DamagedRecordError, NewerSchemaError) as why:
                    if damaged is not None:
                        damaged.append((kind, key, str(why)))
        except apsw.Error as why:
            raise ledger_error(why) from None

    def write(self, changes: Iterable[tuple[str, bytes, bytes | None]]) -> None:
        """All of it or nothing: each kind and key with its data, or None to drop it."""
        try:
            with self.connection:
                for kind, key, data in changes:
                    if data is None:
                        self.connection.execute("delete from records where kind = ? and key = ?", (kind, key))
                    else:
                        row = kind, key, data
                        self.connection.execute("insert or replace into records values (?, ?, ?)", row)
            if self.log_pages >= CHECKPOINT_LOG_PAGES:
                self.checkpoint()
        except (apsw.Error, OSError) as why:
            raise ledger_error(why) from None

    def count_log_pages(self, connection: apsw.Connection, name: str, pages: int) -> int:
        """SQLite tells how long the log is after each commit."""
        self.log_pages = pages
        return apsw.SQLITE_OK

    def checkpoint(self) -> None:
        """Take the log over into the file and sync both; `apsw.Error` where the disk refuses."""
        self.connection.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_TRUNCATE)
        self.log_pages = 0

    def verify(self) -> list[str]:
        """What is wrong with the file and its records; nothing where all is well."""
        try:
            found = [
                row[0] for row in self.connection.execute("pragma integrity_check(20)") if row[0] != "ok"
            ]
            damaged: list[tuple[str, bytes, str]] = []
            for _ in self.read(damaged):
                pass
            return found + [f"{kind} {key.hex()}: {why}" for kind, key, why in damaged]
        except apsw.Error as why:
            return [str(ledger_error(why))]
        except LedgerError as why:
            return [str(why)]

    def compact(self, always: bool = False) -> bool:
        """Give back what lies free, once that is much; whether it did."""
        try:
            if not always and self.connection.pragma("freelist_count") < VACUUM_FREE_PAGES:
                return False
            self.connection.execute("vacuum")
            self.checkpoint()
            return True
        except apsw.Error as why:
            raise ledger_error(why) from None

    def checkpoint_and_close(self) -> None:
        """Take the log over and close; `LedgerError` where the disk refuses, and the file stays open then."""
        try:
            if not self.read_only:
                self.checkpoint()
                self.connection.config(apsw.SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 0)
        except (apsw.Error, OSError) as why:
            raise ledger_error(why) from None
        self.close_unchecked()

    def close_unchecked(self) -> None:
        """Close without another reason to the disk."""
        with suppress(apsw.Error):
            self.connection.close(True)

    def close(self) -> None:
        """Close for good; what can't be taken over stays in the log."""
        try:
            self.checkpoint_and_close()
        except LedgerError:
            self.close_unchecked()


def size_on_disk(path: str) -> int:
    """Bytes on disk, the log included."""
    found = 0
    for name in (path, path + "-wal"):
        with suppress(OSError):
            found += os.path.getsize(name)
    return found
