"""Frames and records of the wire, to and from the interface's events and actions."""

from __future__ import annotations

from struct import Struct
from typing import NamedTuple

from thistlelever.ground import interface as it

FRAME = Struct("<IIQ")
REPLY = Struct("<II")
MICRO = 1e-6
LONGEST = 2**32 - 1
MEMORY_UNIT_MB = 4
COST_UNIT = 4096
ENTRY = Struct("<HB6sBQHf")
FRONT = Struct("<H")
NEW = Struct("<HQI")
SUBMIT = Struct("<HQHHQIIffB")
ACCEPTED = Struct("<HQB6sI")
INTERIM = Struct("<HQBf6sB")
RETURNED = Struct("<HQB6sBIBIB")
GONE = Struct("<HQ")
DUE = Struct("<HI")
PINGED = Struct("<HI6sBB")
NOTE_FROM = Struct("<HIH")
ROSTER = Struct("<HQHB")
DIRECTORY = Struct("<HI")
GAUGES = tuple(Struct(f"<{n}f") for n in range(256))

REMARK = Struct("<BHH")
FOLLOW = Struct("<BHB")
ALARM = Struct("<BHII")
PUSH_BACK = Struct("<BHQI")
RELAY = Struct("<BHQ6sI")
SOUND_OUT = Struct("<BH6s")
QUERY_ALL = Struct("<BH")
CANCEL = Struct("<BHQB")
END_FAILED = Struct("<BHQ")
ALLOT = Struct("<BHQfB")


class Malformed(Exception):
    """The input is not what the wire's page describes."""


class Started(NamedTuple):
    seed: int
    conf: str


class Stopped(NamedTuple):
    pass


Record = tuple[int, it.Event | Started | Stopped]


class Reader:
    """Turns frames into records; keeps the numbered lists, which belong to the whole process."""

    def __init__(self) -> None:
        self.lists: dict[int, tuple[it.Engine, ...]] = {}
        self.data = b""
        self.at = 0

    def frame(self, count: int, data: bytes) -> list[Record]:
        """The records of one frame's body, in order."""
        self.data, self.at = data, 0
        records: list[Record] = []
        for number in range(count):
            if self.at >= len(data):
                raise Malformed(f"record {number} of {count} lies past the end of its frame")
            code = data[self.at]
            read = READERS.get(code)
            if read is None:
                raise Malformed(f"record {number}: unknown event code {code} at byte {self.at}")
            self.at += 1
            try:
                record = read(self)
            except ValueError as why:
                raise Malformed(f"record {number}, code {code}: {why}") from None
            if record is not None:
                records.append(record)
        if self.at != len(data):
            raise Malformed(f"{len(data) - self.at} bytes left over after {count} records")
        return records

    def take(self, form: Struct) -> tuple:
        end = self.at + form.size
        if end > len(self.data):
            raise Malformed(f"frame cut short: {form.size} bytes wanted at {self.at} of {len(self.data)}")
        values = form.unpack_from(self.data, self.at)
        self.at = end
        return values

    def raw(self, size: int) -> bytes:
        end = self.at + size
        if end > len(self.data):
            raise Malformed(f"frame cut short: {size} bytes wanted at {self.at} of {len(self.data)}")
        piece = self.data[self.at : end]
        self.at = end
        return piece

    def new(self) -> Record:
        front, seed, size = self.take(NEW)
        return front, Started(seed, self.raw(size).decode("utf-8"))

    def stop(self) -> Record:
        return self.take(FRONT)[0], Stopped()

    def directory(self) -> None:
        slot, count = self.take(DIRECTORY)
        body = self.raw(count * ENTRY.size)
        self.lists[slot] = tuple(
            it.Engine(engine, zone, cell, kind, it.EngineState(state), started * MICRO, size)
            for cell, zone, engine, state, started, kind, size in ENTRY.iter_unpack(body)
        )

    def roster(self) -> Record:
        front, version, slot, how = self.take(ROSTER)
        kind = it.ListKind(how)
        if kind is it.ListKind.FAILED:
            return front, it.EngineListReceived(kind, version, ())
        if slot not in self.lists:
            raise Malformed(f"list {slot} was never given")
        return front, it.EngineListReceived(kind, version, self.lists[slot])

    def submit(self) -> Record:
        front, batch, group, owner, key, left, hint, memory, tables, bits = self.take(SUBMIT)
        work = hint * MICRO if bits & 1 else None
        return front, it.BatchReceived(
            batch, group, owner, key, left * MICRO, work, memory, tables, bool(bits & 2)
        )

    def accepted(self) -> Record:
        front, batch, number, engine, _ = self.take(ACCEPTED)
        return front, it.ResponseStarted(batch, number, engine)

    def interim(self) -> Record:
        front, batch, number, value, engine, kind = self.take(INTERIM)
        return front, it.ProgressNote(batch, number, engine, it.ProgressKind(kind), value)

    def returned(self) -> Record:
        front, batch, number, engine, outcome, took, complete, stats, n = self.take(RETURNED)
        return front, it.DispatchEnded(
            batch,
            number,
            engine,
            it.DispatchOutcome(outcome),
            took * MICRO,
            bool(complete),
            stats // COST_UNIT * 1e-3,
            float(stats % COST_UNIT * MEMORY_UNIT_MB),
            self.take(GAUGES[n]),
        )

    def gone(self) -> Record:
        front, batch = self.take(GONE)
        return front, it.ClientLeft(batch)

    def due(self) -> Record:
        front, token = self.take(DUE)
        return front, it.TimerDue(token)

    def pinged(self) -> Record:
        front, took, engine, outcome, n = self.take(PINGED)
        return front, it.ProbeEnded(engine, it.DispatchOutcome(outcome), took * MICRO, self.take(GAUGES[n]))

    def note_from(self) -> Record:
        front, peer, size = self.take(NOTE_FROM)
        return front, it.PeerNote(peer, self.raw(size))


READERS = {
    10: Reader.submit,
    20: Reader.directory,
    30: Reader.accepted,
    40: Reader.interim,
    50: Reader.note_from,
    60: Reader.stop,
    70: Reader.roster,
    80: Reader.gone,
    90: Reader.due,
    100: Reader.new,
    110: Reader.pinged,
    120: Reader.returned,
}


def micros(seconds: float) -> int:
    """Seconds as the wire's u32; what is too long for it is as long as it goes."""
    return min(max(round(seconds / MICRO), 0), LONGEST)


def text(code: int, front: int, line: str) -> bytes:
    body = line.encode("utf-8")[:65535]
    return REMARK.pack(code, front, len(body)) + body


WRITERS = {
    it.Remark: lambda f, a: text(10, f, a.text),
    it.FollowList: lambda f, a: FOLLOW.pack(30, f, 1),
    it.Timer: lambda f, a: ALARM.pack(50, f, micros(a.delay), a.token),
    it.PushBack: lambda f, a: PUSH_BACK.pack(60, f, a.batch, micros(a.return_in)),
    it.Dispatch: lambda f, a: RELAY.pack(70, f, a.batch, a.engine, micros(a.time_out)),
    it.Probe: lambda f, a: SOUND_OUT.pack(90, f, a.engine),
    it.AskList: lambda f, a: QUERY_ALL.pack(100, f),
    it.Cancel: lambda f, a: CANCEL.pack(110, f, a.batch, a.number),
    it.Error: lambda f, a: END_FAILED.pack(120, f, a.batch),
    it.Terms: lambda f, a: ALLOT.pack(130, f, a.batch, a.grant, a.priority),
}


def write(front: int, action: it.Action) -> bytes:
    """The record of one action."""
    return WRITERS[type(action)](front, action)


def fault(front: int, line: str) -> bytes:
    """The record that ends the day: the decisions failed."""
    return text(40, front, line)
