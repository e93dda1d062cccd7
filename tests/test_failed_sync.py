"""A store whose file could not be synced.

A sync that fails leaves pages behind that the machine takes for written: the next sync succeeds without
them. After a failed sync of its log the store went on with the same file: SQLite drops the errors of the
take-over that it does by itself, and a failed write closed the file and opened it again. The next sync was
believed, the pages of the file were written over from a log that was not on the disk, and where the power
went then the store was "malformed" when it was opened. Each sync of a small life fails here in turn (0 is
none), and the power goes before each later one, with any first part of what was not synced on the disk.
"""

import os
from collections import defaultdict
from itertools import count
from random import Random

import apsw
import pytest

from thistlelever.ledger import file as files
from thistlelever.ledger import folder, records
from thistlelever.ledger.file import LedgerFile
from thistlelever.ledger.records import IdempotencyRecord, Timestamp
from thistlelever.ledger.replacement import replace_file
from thistlelever.ledger.writer import LedgerWriter

AT = Timestamp(1e9, 50.0, "boot")
TURNS, MARKS_A_TURN = 6, 120
# How often the power goes before each sync.
CUTS = 3


class Disk(apsw.VFS):
    """The machine's files, and beside them what of each would be there after the power went."""

    def __init__(self, name, fails_at, before_sync):
        self.syncs, self.fails_at, self.before_sync = 0, fails_at, before_sync
        self.written, self.durable = defaultdict(list), {}
        super().__init__(name, "")

    def xOpen(self, name, flags):
        return DiskFile(self, name, flags)

    def sync(self, inode):
        self.syncs += 1
        self.before_sync(self)
        pending, self.written[inode] = self.written[inode], []
        if self.syncs == self.fails_at:
            # What was to be written is dropped, and nobody is told again.
            raise apsw.IOError("as the test says")
        self.durable[inode] = applied(self.durable.get(inode, b""), pending)

    def image(self, inode, chance):
        """What the disk has of a file when the power goes: of what was not synced any first part."""
        pending = self.written[inode]
        return applied(self.durable.get(inode, b""), pending[: chance.randint(0, len(pending))])


def applied(image, changes):
    """Bytes of a file after writes, and truncations, whose data is None."""
    image = bytearray(image)
    for offset, data in changes:
        if data is None:
            del image[offset:]
            continue
        image.extend(bytes(max(offset + len(data) - len(image), 0)))
        image[offset : offset + len(data)] = data
    return bytes(image)


class DiskFile(apsw.VFSFile):
    def __init__(self, vfs, name, flags):
        self.vfs = vfs
        super().__init__("", name, flags)
        found = os.stat(name.filename() if isinstance(name, apsw.URIFilename) else name)
        self.inode = found.st_ino
        if not found.st_size:
            vfs.durable.pop(self.inode, None)
            vfs.written.pop(self.inode, None)

    def xWrite(self, data, offset):
        super().xWrite(data, offset)
        self.vfs.written[self.inode].append((offset, bytes(data)))

    def xTruncate(self, size):
        super().xTruncate(size)
        self.vfs.written[self.inode].append((size, None))

    def xSync(self, flags):
        self.vfs.sync(self.inode)


def idempotency_record(number):
    return IdempotencyRecord(b"%016d" % number, b"e-1", f"{number:016x}", 0, 5.0, AT)


def play(path, name):
    """A writer's life, its thread's turns played here; it is closed as at a front's end."""
    writer = LedgerWriter(lambda: LedgerFile(str(path), vfs=name))
    writer.open()
    for turn in range(TURNS):
        for number in range(MARKS_A_TURN):
            # Over the whole table, so that each turn changes pages of the one before.
            key = number * TURNS + turn
            writer.put("mark", b"%016d" % key, idempotency_record(key))
        writer.write()
    writer.write()
    writer.close(1.0)
    return writer


def turns_of(folder):
    """How many turns' marks a store has, which must be whole and in order."""
    file, damaged = LedgerFile(str(folder / "state.db")), []
    found = {int(key) for kind, key, _ in file.read(damaged) if kind == "mark"}
    wrong = file.verify()
    file.close()
    assert not damaged and not wrong, (damaged, wrong)
    turns = len(found) // MARKS_A_TURN
    assert found == {number * TURNS + turn for turn in range(turns) for number in range(MARKS_A_TURN)}
    return turns


@pytest.mark.parametrize("fails_at", range(31))
def test_a_power_cut_after_a_failed_sync_finds_a_store_that_was_true_once(tmp_path, monkeypatch, fails_at):
    monkeypatch.setattr(files, "CHECKPOINT_LOG_PAGES", 4)
    chance, cuts, least = Random(fails_at), count(), [0]
    place = tmp_path / "place"
    place.mkdir()

    def cut(disk):
        """The power goes now: what is there must be true, and no less than when the sync failed."""
        if disk.syncs < disk.fails_at:
            return
        for _ in range(CUTS):
            after = tmp_path / f"after-{next(cuts)}"
            after.mkdir()
            for entry in os.scandir(place):
                (after / entry.name).write_bytes(disk.image(entry.inode(), chance))
            turns = turns_of(after)
            assert turns >= least[0]
        if disk.syncs == disk.fails_at:
            least[0] = synced_turns(disk)

    def synced_turns(disk):
        """What is there when nothing that was not synced came to the disk."""
        after = tmp_path / "synced"
        after.mkdir()
        for entry in os.scandir(place):
            (after / entry.name).write_bytes(disk.durable.get(entry.inode(), b""))
        return turns_of(after)

    name = f"disk-{fails_at}"
    disk = Disk(name, fails_at, cut)
    writer = play(place / "state.db", name)
    assert not writer.failing
    assert turns_of(place) == TURNS
    assert disk.syncs


class Killed(BaseException):
    """Stands for the end of the process."""


@pytest.mark.parametrize("step", range(7))
def test_a_kill_within_the_replacement_is_finished_or_undone_by_the_next_start(tmp_path, monkeypatch, step):
    path = tmp_path / "state.db"
    failed = LedgerFile(str(path))
    failed.write([("mark", b"old", records.pack(idempotency_record(1)))])
    steps = count()

    def dies(call):
        def told(*words):
            if next(steps) == step:
                raise Killed
            return call(*words)

        return told

    with monkeypatch.context() as patch:
        patch.setattr(folder.os, "replace", dies(os.replace))
        patch.setattr(folder, "sync_folder", dies(folder.sync_folder))
        try:
            rows = [
                ("mark", b"old", records.pack(idempotency_record(1))),
                ("mark", b"new", records.pack(idempotency_record(2))),
            ]
            replace_file(failed, rows).close()
        except Killed:
            failed.close_unchecked()
    survivor = LedgerFile(str(path))
    found = {key for _, key, _ in survivor.read()}
    assert found in ({b"old"}, {b"old", b"new"}) and not survivor.verify()
    survivor.close()
    assert not os.path.exists(str(path) + folder.NEW)
