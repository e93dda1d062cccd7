"""A new file in the place of one whose writes or syncs failed."""

from __future__ import annotations

from collections.abc import Iterable

from thistlelever.ledger import folder
from thistlelever.ledger.file import LedgerError, LedgerFile, ledger_error

Row = tuple[str, bytes, bytes | None]


def replace_file(failed: LedgerFile, rows: Iterable[Row]) -> LedgerFile:
    """Write the rows to a new file, which takes the failed one's name; it is open for the same owner.

    After a failed sync a file is not believed again: pages that were to be written count as written, and the
    next sync succeeds without them. `LedgerError` where the new file can't be written either; the failed one
    stays open and locked, and where it is.
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
