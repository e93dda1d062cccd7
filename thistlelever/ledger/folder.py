"""File names of the ledger, and the replacement of a failed ledger file by a new one.

The new file is complete and synced before anything is renamed. The failed file and its log are then renamed
to a backup name, and the new file takes the original name. The next start completes or undoes a replacement
that a crash interrupted.
"""

from __future__ import annotations

import os
from contextlib import suppress

# Suffixes of the path for the new file, and for the failed file that is kept as a backup.
NEW, FAILED = ".new", ".failed"
# The database file and SQLite's write-ahead log beside it.
SUFFIXES = ("", "-wal")


def discard(path: str) -> None:
    """Remove a database file and its log where they exist."""
    for suffix in SUFFIXES:
        with suppress(FileNotFoundError):
            os.remove(path + suffix)


def put_in_place(path: str) -> None:
    """Rename the failed file and its log to the backup name, and the new file to `path`; raises `OSError`."""
    sync_folder(path)
    for suffix in SUFFIXES:
        with suppress(FileNotFoundError):
            os.replace(path + suffix, path + FAILED + suffix)
    # The old log's rename must be on disk first: a log left under the original name would be replayed into
    # the new file.
    sync_folder(path)
    os.replace(path + NEW, path)
    sync_folder(path)


def finish_replacement(path: str) -> None:
    """Complete an interrupted replacement if the failed file was already renamed, else undo it."""
    if not os.path.exists(path + NEW):
        return
    if os.path.exists(path):
        discard(path + NEW)
    else:
        put_in_place(path)


def sync_folder(path: str) -> None:
    """Sync the directory of `path`, so that renames in it survive a power failure."""
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
