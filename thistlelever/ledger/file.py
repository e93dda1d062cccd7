"""The ledger file: an SQLite database in write-ahead mode with a single owner at a time.

Every error of SQLite or of the operating system is raised as `LedgerError` with a short reason.
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

# PRAGMA application_id, by which the database of another program is recognized and not written to, and
# PRAGMA user_version, the version of the table layout.
APPLICATION_ID, LAYOUT_VERSION = 0x74686C76, 1
# Pages of the write-ahead log that trigger a checkpoint, and free pages that trigger a vacuum.
CHECKPOINT_LOG_PAGES, VACUUM_FREE_PAGES = 256, 1_024
# Records kept of each kind, at about 150 bytes each.
MAX_RECORDS = {"listed": 10_000, "learnt": 10_000, "mark": 200_000, "rest": 100_000, "window": 1}
# The reason that is reported for each class of SQLite errors.
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
    """The ledger file can't be used; `reason` is the short text that goes into messages and counters."""

    def __init__(self, reason: str, why: str = "") -> None:
        """Take the reason, and the detail that follows it in the message."""
        super().__init__(f"{reason}: {why}" if why else reason)
        self.reason = reason


def ledger_error(why: Exception) -> LedgerError:
    """Convert an error of SQLite or of the operating system to `LedgerError`."""
    reason = next((reason for kind, reason in REASONS.items() if isinstance(why, kind)), "")
    if not reason and isinstance(why, OSError):
        reason = "gone" if isinstance(why, FileNotFoundError | NotADirectoryError) else "io"
    return LedgerError(reason or "failing", str(why))


class LedgerFile:
    """An open ledger file, locked by this process until it is closed or the process dies.

    Not safe for concurrent use by several threads.
    """

    def __init__(self, path: str, vfs: str | None = None, read_only: bool = False) -> None:
        """Open the file, create it where it is missing, and take its lock; raises `LedgerError`.

        A replacement that a crash interrupted is completed or undone first, unless `read_only` is set.
        """
        flags = (
            apsw.SQLITE_OPEN_READONLY if read_only else (apsw.SQLITE_OPEN_READWRITE | apsw.SQLITE_OPEN_CREATE)
        )
        self.path, self.vfs, self.read_only = path, vfs, read_only
        # Pages in the write-ahead log since the last checkpoint.
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
        """Check owner and layout of the database, configure SQLite, create the table and take the lock."""
        connection = self.connection
        connection.set_busy_timeout(0)
        # The lock is an operating system lock on the file and ends with the process. As no second process
        # can open the file, SQLite needs no shared memory for the log's index either.
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
        # SQLite drops the errors of automatic checkpoints and of the one at close, so both are switched off
        # and checkpoints are made explicitly.
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
        # In exclusive mode the first write takes the lock, which is then held until close.
        with connection:
            connection.execute("delete from records where kind = ''")

    def read(
        self,
        damaged: list[tuple[str, bytes, str]] | None = None,
    ) -> Iterator[tuple[str, bytes, Struct]]:
        """Yield the kind, key and value of each readable record; raises `LedgerError`.

        Records that can't be read are appended to `damaged` with the error.
        """
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
        """Write all changes in one transaction; raises `LedgerError`.

        A change is a kind, a key and the encoded record, or None to delete it. Makes a checkpoint when the
        log has grown to `CHECKPOINT_LOG_PAGES`.
        """
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
        """Record the length of the log in pages; SQLite calls this after each commit."""
        self.log_pages = pages
        return apsw.SQLITE_OK

    def checkpoint(self) -> None:
        """Copy the log into the database and sync both; raises `apsw.Error` on a disk error."""
        self.connection.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_TRUNCATE)
        self.log_pages = 0

    def verify(self) -> list[str]:
        """Return the faults found in the file and in its records; an empty list when there are none."""
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
        """Release free pages to the file system and return whether it was done; raises `LedgerError`.

        Does nothing below `VACUUM_FREE_PAGES` unless `always` is set.
        """
        try:
            if not always and self.connection.pragma("freelist_count") < VACUUM_FREE_PAGES:
                return False
            self.connection.execute("vacuum")
            self.checkpoint()
            return True
        except apsw.Error as why:
            raise ledger_error(why) from None

    def checkpoint_and_close(self) -> None:
        """Make a checkpoint and close; on an error raise `LedgerError` and leave the file open."""
        try:
            if not self.read_only:
                self.checkpoint()
                self.connection.config(apsw.SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 0)
        except (apsw.Error, OSError) as why:
            raise ledger_error(why) from None
        self.close_unchecked()

    def close_unchecked(self) -> None:
        """Close without a checkpoint and ignore errors."""
        with suppress(apsw.Error):
            self.connection.close(True)

    def close(self) -> None:
        """Close; when the checkpoint fails, the changes stay in the log."""
        try:
            self.checkpoint_and_close()
        except LedgerError:
            self.close_unchecked()


def size_on_disk(path: str) -> int:
    """Return the size of the file and of its log in bytes."""
    found = 0
    for name in (path, path + "-wal"):
        with suppress(OSError):
            found += os.path.getsize(name)
    return found
