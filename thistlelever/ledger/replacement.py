"""Replacement of a ledger file whose writes or syncs failed."""

from __future__ import annotations

from collections.abc import Iterable

from thistlelever.ledger import folder
from thistlelever.ledger.file import LedgerError, LedgerFile, ledger_error

Row = tuple[str, bytes, bytes | None]


def replace_file(failed: LedgerFile, rows: Iterable[Row]) -> LedgerFile:
    """Write the rows to a new file, rename it to the failed file's path and return it, open and locked.

    After a failed sync a file can't be trusted: the kernel marks the unwritten pages as clean, so the next
    sync succeeds without writing them. Raises `LedgerError` when the new file can't be written either; the
    failed file then stays open, locked and under its name.
    """
    path = failed.path + folder.NEW
    try:
        folder.discard(path)
        fresh = LedgerFile(path, failed.vfs)
        try:
            fresh.write(rows)
            fresh.checkpoint_and_close()
        except LedgerError:
            fresh.close_unchecked()
            folder.discard(path)
            raise
        folder.put_in_place(failed.path)
    except OSError as why:
        raise ledger_error(why) from None
    failed.close_unchecked()
    return LedgerFile(failed.path, failed.vfs)
