"""A new file in the place of one whose writes or syncs failed."""

from __future__ import annotations

from collections.abc import Iterable

from thistlelever.ledger import folder
from thistlelever.ledger.file import Failing, File, said

Row = tuple[str, bytes, bytes | None]


def replaced(failed: File, rows: Iterable[Row]) -> File:
    """Write the rows to a new file, which takes the failed one's name; it is open for the same owner.

    After a failed sync a file is not believed again: pages that were to be written count as written, and the
    next sync succeeds without them. `Failing` where the new file can't be written either; the failed one
    stays open and locked, and where it is.
    """
    path = failed.path + folder.NEW
    try:
        folder.discard(path)
        fresh = File(path, failed.vfs)
        try:
            fresh.write(rows)
            fresh.finish()
        except Failing:
            fresh.abandon()
            folder.discard(path)
            raise
        folder.put_in_place(failed.path)
    except OSError as why:
        raise said(why) from None
    failed.abandon()
    return File(failed.path, failed.vfs)
