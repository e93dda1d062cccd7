"""Frames and records of the wire, to and from the interface's events and actions."""

from __future__ import annotations

from struct import Struct
from typing import NamedTuple

from thistlelever.ground import interface as it

FRAME = Struct("<IIQ")
REPLY = Struct("<II")
MICROSECOND = 1e-6
MAX_U32 = 2**32 - 1
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


class MalformedInputError(Exception):
    """The input is not what the wire's page describes."""


class Started(NamedTuple):
    seed: int
    conf: str


class Stopped(NamedTuple):
    pass


Record = tuple[int, it.Event | Started | Stopped]


class FrameReader:
    """Turns frames into records; keeps the numbered lists, which belong to the whole process."""

    def __init__(self) -> None:
        self.lists: dict[int, tuple[it.Engine, ...]] = {}
        self.data = b""
        self.offset = 0

    def read_frame(self, count: int, data: bytes) -> list[Record]:
        """The records of one frame's body, in order."""
        self.data, self.offset = data, 0
        records: list[Record] = []
        for number in range(count):
            if self.offset >= len(data):
                raise MalformedInputError(f"record {number} of {count} lies past the end of its frame")
            code = data[self.offset]
            read = READERS.get(code)
            if read is None:
                raise MalformedInputError(f"record {number}: unknown event code {code} at byte {self.offset}")
            self.offset += 1
            try:
                record = read(self)
            except ValueError as why:
                raise MalformedInputError(f"record {number}, code {code}: {why}") from None
            if record is not None:
                records.append(record)
        if self.offset != len(data):
            raise MalformedInputError(f"{len(data) - self.offset} bytes left over after {count} records")
        return records

    def unpack(self, layout: Struct) -> tuple:
        end = self.offset + layout.size
        if end > len(self.data):
            raise MalformedInputError(
                f"frame cut short: {layout.size} bytes wanted at {self.offset} of {len(self.data)}"
            )
        values = layout.unpack_from(self.data, self.offset)
        self.offset = end
        return values

    def take_bytes(self, size: int) -> bytes:
        end = self.offset + size
        if end > len(self.data):
            raise MalformedInputError(
                f"frame cut short: {size} bytes wanted at {self.offset} of {len(self.data)}"
            )
        piece = self.data[self.offset : end]
        self.offset = end
        return piece

    def new(self) -> Record:
        front, seed, size = self.unpack(NEW)
        return front, Started(seed, self.take_bytes(size).decode("utf-8"))

    def stop(self) -> Record:
        return self.unpack(FRONT)[0], Stopped()

    def directory(self) -> None:
        slot, count = self.unpack(DIRECTORY)
        body = self.take_bytes(count * ENTRY.size)
        self.lists[slot] = tuple(
            it.Engine(engine, zone, cell, kind, it.EngineState(state), started * MICROSECOND, size)
            for cell, zone, engine, state, started, kind, size in ENTRY.iter_unpack(body)
        )

    def roster(self) -> Record:
        front, version, slot, how = self.unpack(ROSTER)
        kind = it.ListKind(how)
        if kind is it.ListKind.FAILED:
            return front, it.EngineListReceived(kind, version, ())
        if slot not in self.lists:
            raise MalformedInputError(f"list {slot} was never given")
        return front, it.EngineListReceived(kind, version, self.lists[slot])

    def submit(self) -> Record:
        front, batch, query_class, owner, key, left, hint, memory, tables, bits = self.unpack(SUBMIT)
        work = hint * MICROSECOND if bits & 1 else None
        return front, it.BatchReceived(
            batch, query_class, owner, key, left * MICROSECOND, work, memory, tables, bool(bits & 2)
        )

    def accepted(self) -> Record:
        front, batch, number, engine, _ = self.unpack(ACCEPTED)
        return front, it.ResponseStarted(batch, number, engine)

    def interim(self) -> Record:
        front, batch, number, value, engine, kind = self.unpack(INTERIM)
        return front, it.ProgressNote(batch, number, engine, it.ProgressKind(kind), value)

    def returned(self) -> Record:
        front, batch, number, engine, outcome, took, complete, stats, n = self.unpack(RETURNED)
        return front, it.DispatchEnded(
            batch,
            number,
            engine,
            it.DispatchOutcome(outcome),
            took * MICROSECOND,
            bool(complete),
            stats // COST_UNIT * 1e-3,
            float(stats % COST_UNIT * MEMORY_UNIT_MB),
            self.unpack(GAUGES[n]),
        )

    def gone(self) -> Record:
        front, batch = self.unpack(GONE)
        return front, it.ClientLeft(batch)

    def due(self) -> Record:
        front, token = self.unpack(DUE)
        return front, it.TimerDue(token)

    def pinged(self) -> Record:
        front, took, engine, outcome, n = self.unpack(PINGED)
        return front, it.ProbeEnded(
            engine, it.DispatchOutcome(outcome), took * MICROSECOND, self.unpack(GAUGES[n])
        )

    def note_from(self) -> Record:
        front, peer, size = self.unpack(NOTE_FROM)
        return front, it.PeerNote(peer, self.take_bytes(size))


READERS = {
    10: FrameReader.submit,
    20: FrameReader.directory,
    30: FrameReader.accepted,
    40: FrameReader.interim,
    50: FrameReader.note_from,
    60: FrameReader.stop,
    70: FrameReader.roster,
    80: FrameReader.gone,
    90: FrameReader.due,
    100: FrameReader.new,
    110: FrameReader.pinged,
    120: FrameReader.returned,
}


def to_microseconds(seconds: float) -> int:
    """Seconds as the wire's u32; what is too long for it is as long as it goes."""
    return min(max(round(seconds / MICROSECOND), 0), MAX_U32)


def encode_text(code: int, front: int, line: str) -> bytes:
    body = line.encode("utf-8")[:65535]
    return REMARK.pack(code, front, len(body)) + body


WRITERS = {
    it.Remark: lambda f, a: encode_text(10, f, a.text),
    it.FollowList: lambda f, a: FOLLOW.pack(30, f, 1),
    it.Timer: lambda f, a: ALARM.pack(50, f, to_microseconds(a.delay), a.token),
    it.PushBack: lambda f, a: PUSH_BACK.pack(60, f, a.batch, to_microseconds(a.return_in)),
    it.Dispatch: lambda f, a: RELAY.pack(70, f, a.batch, a.engine, to_microseconds(a.time_out)),
    it.Probe: lambda f, a: SOUND_OUT.pack(90, f, a.engine),
    it.AskList: lambda f, a: QUERY_ALL.pack(100, f),
    it.Cancel: lambda f, a: CANCEL.pack(110, f, a.batch, a.number),
    it.Error: lambda f, a: END_FAILED.pack(120, f, a.batch),
    it.Terms: lambda f, a: ALLOT.pack(130, f, a.batch, a.grant, a.priority),
}


def encode_action(front: int, action: it.Action) -> bytes:
    """The record of one action."""
    return WRITERS[type(action)](front, action)


def encode_fault(front: int, line: str) -> bytes:
    """The record that ends the day: the decisions failed."""
    return encode_text(40, front, line)
