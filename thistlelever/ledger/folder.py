"""The names under which a store lies in its folder, and how a new file takes the place of a failed one.

The new file is whole and synced before any name changes. Then the old file goes aside, its log with it, and
the new one takes its name. A kill in between is finished, or undone, by the next start.
"""

from __future__ import annotations

import os
from contextlib import suppress

# What is appended to the store's path for a file that is to take its place, and for one that was set aside.
NEW, FAILED = ".new", ".failed"
# The file of a path, and SQLite's log beside it.
SUFFIXES = ("", "-wal")


def discard(path: str) -> None:
    """Remove a file and its log, where they are there."""
    for suffix in SUFFIXES:
        with suppress(FileNotFoundError):
            os.remove(path + suffix)


def put_in_place(path: str) -> None:
    """Set the file of a path aside, and give its name to the new one; `OSError` where a step fails."""
    sync_folder(path)
    for suffix in SUFFIXES:
        with suppress(FileNotFoundError):
            os.replace(path + suffix, path + FAILED + suffix)
    # Risk: a log that outlives its file would be read into the new one.
    sync_folder(path)
    os.replace(path + NEW, path)
    sync_folder(path)


def finish_replacement(path: str) -> None:
    """What a kill left of a replacement: finished where the old file had gone aside, else undone."""
    if not os.path.exists(path + NEW):
        return
    if os.path.exists(path):
        discard(path + NEW)
    else:
        put_in_place(path)


def sync_folder(path: str) -> None:
    """Names that were changed in the path's folder are on the disk."""
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
