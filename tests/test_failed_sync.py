"""Guards against corruption of the ledger by a power failure after a failed sync.

After a failed sync the kernel treats the unwritten pages as written, so the next sync succeeds without them.
When the ledger went on with the same file after its log failed to sync (SQLite drops the errors of automatic
checkpoints, and a failed write reopened the file), a checkpoint overwrote pages of the database from a log
that was not on the disk. A power failure at that point left the database "malformed". Each sync of a short
run fails here in turn (0: none), and the power fails before each later one, when any prefix of the unsynced
writes of each file may be on the disk.
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
# Simulated power failures before each sync.
CUTS = 3


class Disk(apsw.VFS):
    """A VFS that also tracks what each file would hold after a power failure."""

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
            # The pending writes are lost, and later syncs report no error.
            raise apsw.IOError("as the test says")
        self.durable[inode] = applied(self.durable.get(inode, b""), pending)

    def image(self, inode, chance):
        """A file's content after a power failure, with a random prefix of the unsynced writes."""
        pending = self.written[inode]
        return applied(self.durable.get(inode, b""), pending[: chance.randint(0, len(pending))])


def applied(image, changes):
    """Apply writes, and truncations, whose data is None, to the bytes of a file."""
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
    """Run a writer without its thread, and close it as a front does when it stops."""
    writer = LedgerWriter(lambda: LedgerFile(str(path), vfs=name))
    writer.open()
    for turn in range(TURNS):
        for number in range(MARKS_A_TURN):
            # Keys are spread over the table, so that each turn changes pages of the previous one.
            key = number * TURNS + turn
            writer.put("mark", b"%016d" % key, idempotency_record(key))
        writer.write()
    writer.write()
    writer.close(1.0)
    return writer


def turns_of(folder):
    """Return how many turns a ledger holds; they must be complete and consecutive."""
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
    directory = tmp_path / "place"
    directory.mkdir()

    def cut(disk):
        """Fail the power: the ledger must be valid and hold no less than at the failed sync."""
        if disk.syncs < disk.fails_at:
            return
        for _ in range(CUTS):
            after = tmp_path / f"after-{next(cuts)}"
            after.mkdir()
            for entry in os.scandir(directory):
                (after / entry.name).write_bytes(disk.image(entry.inode(), chance))
            turns = turns_of(after)
            assert turns >= least[0]
        if disk.syncs == disk.fails_at:
            least[0] = synced_turns(disk)

    def synced_turns(disk):
        """Return the turns on the disk without any unsynced write."""
        after = tmp_path / "synced"
        after.mkdir()
        for entry in os.scandir(directory):
            (after / entry.name).write_bytes(disk.durable.get(entry.inode(), b""))
        return turns_of(after)

    name = f"disk-{fails_at}"
    disk = Disk(name, fails_at, cut)
    writer = play(directory / "state.db", name)
    assert not writer.failing
    assert turns_of(directory) == TURNS
    assert disk.syncs


class Killed(BaseException):
    """Simulates the end of the process."""


@pytest.mark.parametrize("step", range(7))
def test_a_kill_within_the_replacement_is_finished_or_undone_by_the_next_start(tmp_path, monkeypatch, step):
    path = tmp_path / "state.db"
    failed = LedgerFile(str(path))
    failed.write([("mark", b"old", records.pack(idempotency_record(1)))])
    steps = count()

    def killed_at_step(call):
        def called(*arguments):
            if next(steps) == step:
                raise Killed
            return call(*arguments)

        return called

    with monkeypatch.context() as patch:
        patch.setattr(folder.os, "replace", killed_at_step(os.replace))
        patch.setattr(folder, "sync_folder", killed_at_step(folder.sync_folder))
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
