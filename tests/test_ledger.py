"""Ledger and restart recovery: each write failed in turn, crashes, unusable files of every kind, ages by
clocks that are stepped, starts from a stored engine list, and the commands of `thistlelever state`."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path
from types import SimpleNamespace

import apsw
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from stage import brisk, staged

from thistlelever import __main__ as command
from thistlelever.carrier.remembered_outcomes import RememberedOutcomes
from thistlelever.ground import interface as it
from thistlelever.ledger import records
from thistlelever.ledger.file import LedgerError, LedgerFile, size_on_disk
from thistlelever.ledger.records import (
    BudgetWindow,
    CoolDown,
    DamagedRecordError,
    IdempotencyRecord,
    NewerSchemaError,
    Timestamp,
)
from thistlelever.ledger.writer import LedgerWriter
from thistlelever.recovery.ages import Age, AgeLimits, ClockReading, Grade, age, grade, trust
from thistlelever.recovery.restart import RestartRecovery, Stage
from thistlelever.store.batches import Batch, DispatchName

AT = Timestamp(1e9, 50.0, "boot")
ROOT = Path(__file__).parents[1]


def idempotency_record(n):
    return IdempotencyRecord(b"%016d" % n, b"e-1", f"{n:016x}", 0, 5.0, AT)


class Faults(apsw.VFS):
    """A VFS whose n-th write fails or blocks; with `stays` each write from the n-th on."""

    def __init__(self, name):
        self.writes, self.at, self.stays, self.error, self.waits = 0, None, False, apsw.FullError, None
        super().__init__(name, "")

    def writing(self):
        self.writes += 1
        if self.at is not None and (self.writes == self.at or self.stays and self.writes >= self.at):
            if self.waits:
                self.waits.wait(10)
                return
            raise self.error("as the test says")

    def xOpen(self, name, flags):
        return Faulty(self, name, flags)

    def xDelete(self, name, sync):
        self.writing()
        super().xDelete(name, sync)


class Faulty(apsw.VFSFile):
    def __init__(self, vfs, name, flags):
        self.vfs = vfs
        super().__init__("", name, flags)

    def xWrite(self, data, offset):
        self.vfs.writing()
        super().xWrite(data, offset)

    def xTruncate(self, size):
        self.vfs.writing()
        super().xTruncate(size)

    def xSync(self, flags):
        self.vfs.writing()
        super().xSync(flags)


def read_ledger(path):
    file, damaged = LedgerFile(str(path)), []
    found = {(kind, key): record for kind, key, record in file.read(damaged)}
    wrong = file.verify()
    file.close()
    return found, damaged or wrong


def test_a_record_comes_back_as_it_went_and_says_what_is_wrong_with_it():
    data = records.pack(idempotency_record(1))
    assert records.unpack("mark", data) == idempotency_record(1)
    for spoilt in (data[:-1], data[:4], data[:-1] + bytes((data[-1] ^ 1,)), b""):
        with pytest.raises(DamagedRecordError):
            records.unpack("mark", spoilt)
    _, check = records.HEADER.unpack_from(data)
    later = records.HEADER.pack(records.SCHEMA + 1, check) + data[records.HEADER.size :]
    with pytest.raises(NewerSchemaError):
        records.unpack("mark", later)


def test_a_record_of_the_first_schema_is_brought_up_to_date():
    import zlib

    import msgspec

    body = msgspec.msgpack.encode([[0.5], [], 1e9])
    data = records.HEADER.pack(1, zlib.crc32(body)) + body
    assert records.unpack("window", data) == BudgetWindow((0.5,), (), Timestamp(1e9, 0.0, ""))


@pytest.mark.parametrize("error", [apsw.FullError, apsw.IOError])
@pytest.mark.parametrize("stays", [False, True])
def test_whichever_write_fails_the_store_holds_a_state_that_was_true_once(tmp_path, error, stays):
    name = f"faults-{error.__name__}-{stays}"
    vfs = Faults(name)

    def play(path):
        """Run three transactions and return the states that may be on disk, in order."""
        states, state = [{}], {}
        try:
            file = LedgerFile(str(path), vfs=name)
        except LedgerError:
            return states
        for turn in range(3):
            changes = [
                ("mark", b"%016d" % n, records.pack(idempotency_record(n))) for n in range(turn, turn + 12)
            ]
            changes.append(("mark", b"%016d" % turn, None))
            after = state | {("mark", key): n for n, (_, key, _) in enumerate(changes[:-1], turn)}
            after.pop(("mark", b"%016d" % turn))
            try:
                file.write(changes)
                file.compact(always=turn == 1)
            except LedgerError as why:
                assert why.reason in ("full", "io")
                states.append(after)
                break
            state = after
            states.append(state)
        file.close()
        return states

    vfs.at, begun = None, vfs.writes
    play(tmp_path / "whole.db")
    for n in range(1, vfs.writes - begun + 1):
        path = tmp_path / f"{n}.db"
        vfs.at, vfs.stays, vfs.error, vfs.writes = n, stays, error, 0
        states = play(path)
        vfs.at = None
        found, wrong = read_ledger(path)
        assert not wrong and set(found) in [set(state) for state in states[-2:] or states], n
    assert n > 30


def test_a_kill_loses_no_more_than_the_write_that_was_under_way(tmp_path):
    code = (
        "import sys\n"
        "from thistlelever.ledger.file import LedgerFile\n"
        "from thistlelever.ledger import records\n"
        "from test_ledger import idempotency_record\n"
        "file = LedgerFile(sys.argv[1])\n"
        "n = 0\n"
        "while True:\n"
        "    numbers = range(n, n + 5)\n"
        "    file.write([('mark', b'%016d' % k, records.pack(idempotency_record(k))) for k in numbers])\n"
        "    n += 5\n"
        "    print(n, flush=True)\n"
        "    file.compact(always=n % 50 == 0)\n"
    )
    for turn in range(8):
        path = tmp_path / f"{turn}.db"
        process = subprocess.Popen(
            [sys.executable, "-c", code, str(path)],
            stdout=subprocess.PIPE,
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": f"{ROOT}:{ROOT}/tests"},
        )
        for _ in range(3 + turn * 7):
            committed = int(process.stdout.readline())
        process.send_signal(signal.SIGKILL)
        process.wait()
        rest = process.stdout.read().split()
        process.stdout.close()
        committed = int(rest[-1]) if rest else committed
        found, wrong = read_ledger(path)
        assert not wrong and committed <= len(found) <= committed + 5 and len(found) % 5 == 0


@pytest.mark.parametrize(
    "make, reason",
    [
        (lambda p: p.write_bytes(b"no database at all " * 300), "foreign"),
        (lambda p: foreign(p), "foreign"),
        (lambda p: newer(p), "newer"),
        (lambda p: p.mkdir(), "gone"),
        (lambda p: p.symlink_to("/dev/full"), "full"),
    ],
)
def test_what_is_no_store_of_ours_is_not_written_to(tmp_path, make, reason):
    path = tmp_path / "a.db"
    make(path)
    before = path.read_bytes() if path.is_file() and not path.is_symlink() else b""
    with pytest.raises(LedgerError, match=reason):
        LedgerFile(str(path))
    assert not before or path.read_bytes() == before


def foreign(path):
    base = apsw.Connection(str(path))
    base.execute("create table theirs (x)")
    base.close()


def newer(path):
    LedgerFile(str(path)).close()
    base = apsw.Connection(str(path))
    base.pragma("user_version", 99)
    base.close()


def test_a_damaged_record_costs_itself_alone_and_a_damaged_file_is_said_to_be(tmp_path):
    path = tmp_path / "a.db"
    file = LedgerFile(str(path))
    file.write([("mark", b"%016d" % n, records.pack(idempotency_record(n))) for n in range(400)])
    file.write([("mark", b"%016d" % 7, b"spoilt")])
    file.close()
    found, wrong = read_ledger(path)
    assert len(found) == 399 and len(wrong) == 1
    data = bytearray(path.read_bytes())
    data[4096 * 2 : 4096 * 4] = os.urandom(8192)
    path.write_bytes(data)
    writer = LedgerWriter(lambda: LedgerFile(str(path)))
    writer.open()
    assert writer.failing or writer.damaged
    writer.close(1)


def test_one_owner_at_a_time_and_a_dead_one_leaves_it_free(tmp_path):
    path = str(tmp_path / "a.db")
    code = (
        "import sys, time\nfrom thistlelever.ledger.file import LedgerFile\nf = LedgerFile(sys.argv[1])\n"
        "print('open', flush=True)\ntime.sleep(60)\n"
    )
    process = subprocess.Popen([sys.executable, "-c", code, path], stdout=subprocess.PIPE, cwd=ROOT)
    assert process.stdout.readline() == b"open\n"
    with pytest.raises(LedgerError, match="held"):
        LedgerFile(path)
    process.kill()
    process.wait()
    process.stdout.close()
    LedgerFile(path).close()


def test_nobody_waits_for_a_write_that_takes_long_and_what_failed_is_written_later(tmp_path):
    vfs, reports = Faults("slow"), []
    writer = LedgerWriter(lambda: LedgerFile(str(tmp_path / "a.db"), vfs="slow"), 0.01, reports.append)
    assert not writer.open()
    vfs.at, vfs.waits, vfs.writes = 1, threading.Event(), 0
    writer.start()
    for n in range(100):
        writer.put("mark", b"%016d" % n, idempotency_record(n))
    while not vfs.writes:
        threading.Event().wait(0.005)
    # While the write blocks, records are available in memory at once.
    assert len(writer.records["mark"]) == 100 and writer.writes == 0
    vfs.waits.set()
    while not writer.writes:
        threading.Event().wait(0.005)
    vfs.at, vfs.waits, vfs.stays, vfs.writes = 1, None, True, 0
    writer.put("mark", b"%016d" % 7, idempotency_record(8))
    while not reports:
        threading.Event().wait(0.005)
    assert reports[0].startswith("full") and not writer.is_durable()
    vfs.at = None
    # Writes succeed again without a restart once there is space on the disk.
    while len(reports) < 2:
        threading.Event().wait(0.005)
    assert reports[1] == "" and writer.is_durable()
    writer.close(5)
    found, wrong = read_ledger(tmp_path / "a.db")
    assert not wrong and len(found) == 100 and found["mark", b"%016d" % 7] == idempotency_record(8)


def test_without_a_file_the_front_has_all_of_it_in_memory(tmp_path):
    writer = LedgerWriter(lambda: LedgerFile(str(tmp_path / "none" / "a.db")), 0.01)
    assert writer.open().startswith("gone")
    writer.start()
    writer.put("rest", b"1", CoolDown("1", 2.0, AT))
    assert writer.records["rest"] and not writer.is_durable()
    (tmp_path / "none").mkdir()
    while writer.failing:
        threading.Event().wait(0.005)
    writer.close(5)
    assert len(read_ledger(tmp_path / "none" / "a.db")[0]) == 1


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 9), st.booleans(), st.booleans()), max_size=40))
def test_the_store_is_a_dictionary_that_outlives_its_process(tmp_path_factory, steps):
    path = str(tmp_path_factory.mktemp("d") / "a.db")
    model, writer = {}, LedgerWriter(lambda: LedgerFile(path))
    writer.open()
    for n, puts, restarts in steps:
        key = b"%016d" % n
        if puts:
            model[key] = idempotency_record(n)
            writer.put("mark", key, idempotency_record(n))
        else:
            model.pop(key, None)
            writer.drop("mark", key)
        if restarts:
            writer.write()
            writer.close(1)
            writer = LedgerWriter(lambda: LedgerFile(path))
            assert not writer.open()
        assert writer.records["mark"] == model
    writer.close(1)


# Ages, grades and trust.

HERE = ClockReading(2e9, 1_000.0, "this")


@pytest.mark.parametrize(
    "then, found",
    [
        ((2e9 - 60, 940.0, "this"), Age(60, 60)),
        # The wall clock was set within this boot: the boot-time clock gives the age.
        ((2e9 + 3_600, 940.0, "this"), Age(60, 60)),
        ((2e9 - 86_400, 940.0, "this"), Age(60, 60)),
        ((2e9 - 5_000, 10.0, "that"), Age(5_000, 5_000)),
        # Apparently younger than this boot, or in the future: the age has no upper bound.
        ((2e9 - 10, 10.0, "that"), Age(1_000, float("inf"))),
        ((2e9 + 10, 10.0, "that"), Age(1_000, float("inf"))),
        ((2e9 - 10, 0.0, ""), Age(10, 10)),
        ((2e9 + 10, 0.0, ""), Age(0, float("inf"))),
    ],
)
def test_an_age_is_a_range_and_the_future_is_not_fresh(then, found):
    assert age(*then, HERE) == found
    if found.most == float("inf"):
        assert grade(found, AgeLimits()) is Grade.LAST


@given(st.floats(0, 1e9), st.floats(0, 1e9), st.floats(1, 1e6), st.floats(1, 1e6))
def test_older_is_never_trusted_more(one, other, fresh, old):
    terms = AgeLimits(min(fresh, old), max(fresh, old))
    young, aged = sorted((one, other))
    assert grade(Age(young, young), terms) <= grade(Age(aged, aged), terms)
    assert trust(Age(young, young), terms) >= trust(Age(aged, aged), terms)
    assert trust(Age(0, float("inf")), terms) == 0


def ages(**of):
    return {name.encode(): Age(seconds, seconds) for name, seconds in of.items()}


def test_a_start_uses_fresh_ones_asks_older_ones_and_the_oldest_last():
    recovery = RestartRecovery(AgeLimits(), ages(a=1, b=100, c=90_000))
    assert (recovery.usable, recovery.to_probe, recovery.stage) == ({b"a"}, {b"b"}, Stage.PROBING)
    recovery.record_probe(b"b", True)
    assert (recovery.usable, recovery.stage) == ({b"a", b"b"}, Stage.REMEMBERED)
    recovery = RestartRecovery(AgeLimits(), ages(b=100, c=90_000))
    recovery.probes_timed_out()
    assert (recovery.to_probe, recovery.stage) == ({b"b", b"c"}, Stage.PROBING_OLDEST)
    recovery.record_probe(b"c", True)
    assert (recovery.usable, recovery.stage) == ({b"c"}, Stage.REMEMBERED)


def test_where_nobody_answers_all_are_asked_again_until_discovery_is_back():
    recovery = RestartRecovery(AgeLimits(), ages(b=100, c=90_000))
    recovery.probes_timed_out()
    recovery.probes_timed_out()
    assert recovery.stage is Stage.NO_ANSWER and not recovery.usable
    assert recovery.retry() == {b"b", b"c"} and recovery.stage is Stage.PROBING_OLDEST
    recovery.record_probe(b"b", True)
    recovery.probes_timed_out()
    assert recovery.usable == {b"b"} and not recovery.retry()
    recovery.discovery_returned()
    recovery.record_probe(b"c", True)
    assert recovery.stage is Stage.LISTED and recovery.usable == {b"b"}


@given(st.lists(st.tuples(st.integers(0, 5), st.sampled_from(["yes", "no", "wait", "again"])), max_size=30))
def test_what_is_in_use_was_fresh_or_has_answered(steps):
    names = [b"%d" % n for n in range(6)]
    given = dict(zip(names, (Age(s, s) for s in (1, 10, 100, 1_000, 10_000, 1e6)), strict=True))
    recovery, answered = RestartRecovery(AgeLimits(), given), set()
    for n, what in steps:
        before = set(recovery.usable)
        if what in ("yes", "no"):
            recovery.record_probe(names[n], what == "yes")
            answered |= {names[n]} if what == "yes" else set()
        else:
            {"wait": recovery.probes_timed_out, "again": recovery.retry}[what]()
        assert before <= recovery.usable <= {b"0", b"1"} | answered


# Idempotency keys.


def query_class(scope=it.DeduplicationScope.ALL):
    return it.QueryClass(
        "load",
        1.0,
        0.0,
        1.0,
        0.0,
        4.0,
        it.Idempotency.DEDUPLICATED,
        scope,
        5.0,
        1,
        False,
        False,
        False,
        None,
        None,
    )


@pytest.mark.parametrize(
    "scope, listed, ran, out, answer",
    [
        (it.DeduplicationScope.ALL, True, 1.0, b"e-1", None),
        (it.DeduplicationScope.ALL, False, 1.0, b"", None),
        (it.DeduplicationScope.CELL, False, 1.0, b"", it.Error),
        (it.DeduplicationScope.ALL, True, 5.0, b"", it.Error),
        (it.DeduplicationScope.CELL, True, 1.0, b"e-1", None),
        (it.DeduplicationScope.ALL, True, float("inf"), b"", it.Error),
    ],
)
def test_what_may_have_run_before_a_restart_goes_only_where_its_repeat_is_dropped(
    scope, listed, ran, out, answer
):
    registry = SimpleNamespace(is_listed=lambda engine: listed)
    metrics = SimpleNamespace(add=lambda name: None)
    found = b"e-1", DispatchName("a" * 16, 2), ran
    memory = RememberedOutcomes(
        SimpleNamespace(tariffs=(query_class(scope),)), registry, metrics, None, lambda mark: found
    )
    asked = SimpleNamespace(txn="b" * 16, reference="5" * 32, is_retry=True)
    batch = Batch(1, asked, it.BatchReceived(1, 0, 0, 0, 4.0, None, 0.0, 17.0, True), "load", 1e9)
    action = memory.look_up(batch)
    assert (action and type(action)) == answer and batch.received.running_on == out
    if out:
        assert batch.dispatch_name(0) == DispatchName("a" * 16, 2) and batch.received.running_for == ran


# Commands.


def test_the_commands_on_a_dead_a_damaged_and_a_held_store(tmp_path):
    path = str(tmp_path / "a.db")
    file = LedgerFile(path)
    file.write([("mark", b"%016d" % n, records.pack(idempotency_record(n))) for n in range(30)])
    run = CliRunner().invoke

    def state(*words, **more):
        return run(command.main, ["state", *words], **more)

    assert state("show", path).exit_code == 2 and "held" in state("verify", path).output
    file.close()
    shown = state("show", path, "--json")
    assert shown.exit_code == 0 and json.loads(shown.output)["records"] == {"mark": 30}
    assert state("verify", path).output == "sound\n"
    exported = state("export", path)
    assert exported.exit_code == 0 and len(exported.output.splitlines()) == 30
    other = str(tmp_path / "b.db")
    taken = state("import", other, input=exported.output)
    assert taken.exit_code == 0 and taken.output == "30 records\n", taken.output
    assert read_ledger(other)[0] == read_ledger(path)[0]
    assert state("import", other, input="{}\n").exit_code == 2
    assert state("compact", other).exit_code == 0
    (tmp_path / "c.db").write_bytes(b"nothing of the kind" * 500)
    assert state("verify", str(tmp_path / "c.db")).exit_code == 2
    file = LedgerFile(path)
    file.write([("mark", b"%016d" % 3, b"spoilt")])
    file.close()
    wrong = state("verify", path)
    assert wrong.exit_code == 1 and "checksum" in wrong.output
    assert state("show").exit_code == 2 and size_on_disk(path) > 4096


def test_a_mark_outlives_its_front_and_its_repeat_goes_where_it_is_dropped(tmp_path):
    # A front is restarted with the same ledger; its engine is another process then, under the same id.
    section = f'section state {{"path":"{tmp_path}/a.db"}}'
    first = [
        section,
        "engine a",
        "front",
        f"submit 1 load once={'5a' * 16}",
        "answer 1 result rows",
        f"submit 2 load once={'6a' * 16} table=sales_18.x",
        "answer 2 result rows",
    ]
    again = [
        section,
        "engine a",
        "front",
        f"submit 3 load once={'5a' * 16}",
        "answer 3 result rows",
        "calls a GET0 1",
        "order a GET0 POST",
        f"saw a POST x-dedupe={'5a' * 16}",
        f"submit 4 load once={'7a' * 16} table=sales_18.x",
        "answer 4 result rows",
        "calls a GET0 1",
    ]

    async def run():
        for lines in (first, again):
            with brisk():
                async with staged([(line, line.split()) for line in lines]):
                    pass

    asyncio.run(run())
    assert len([1 for kind, _ in read_ledger(tmp_path / "a.db")[0] if kind == "mark"]) == 3


def test_a_store_that_fails_stops_nobody_and_is_said_once(tmp_path):
    lines = [
        f'section state {{"path":"{tmp_path}/none/a.db","every_s":0.01}}',
        "engine a",
        "front",
        f"submit 1 load once={'5a' * 16}",
        "answer 1 result rows",
    ]

    async def run():
        with brisk():
            async with staged([(line, line.split()) for line in lines]) as stage:
                component = stage.server.state
                await stage.until(lambda: any(e == "state not kept" for e, _ in stage.events))
                assert not component.show()["keeps"] and component.show()["records"]["mark"] == 1
                (tmp_path / "none").mkdir()
                await stage.until(lambda: any(e == "state kept again" for e, _ in stage.events))
                assert component.show()["keeps"]
                reported = [e for e, _ in stage.events if e == "state not kept"]
        return reported

    assert asyncio.run(run()) == ["state not kept"]
    assert ("mark", b"\x5a" * 16) in read_ledger(tmp_path / "none" / "a.db")[0]
