"""Codec of the benchmark's binary protocol: frames of records to events, and actions to records.

All integers are little-endian. Times on the wire are in microseconds, times of events and actions in seconds.
"""

from __future__ import annotations

from struct import Struct
from typing import NamedTuple

from thistlelever.ground import interface as it

# Header of a frame: bytes that follow the length field, number of records, time in microseconds.
FRAME = Struct("<IIQ")
# Header of a reply: number of records, bytes of the body.
REPLY = Struct("<II")
MICROSECOND = 1e-6
MAX_U32 = 2**32 - 1
# The cost of a returned batch is one integer: milliseconds of work times `COST_UNIT`, plus its memory in
# units of `MEMORY_UNIT_MB`.
MEMORY_UNIT_MB = 4
COST_UNIT = 4096

# Records from the benchmark, without the byte of their code.
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

# Records to the benchmark: the byte of the code and the number of the front come first.
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
    """The input violates the protocol."""


class Started(NamedTuple):
    """A new front, with the seed of its random numbers and the text of its settings."""

    seed: int
    conf: str


class Stopped(NamedTuple):
    """The end of a front."""


# The number of a front and what happened at it.
Record = tuple[int, it.Event | Started | Stopped]


class FrameReader:
    """Decodes frames into records and keeps the numbered engine lists, which all fronts share."""

    def __init__(self) -> None:
        """Start without engine lists."""
        self.lists: dict[int, tuple[it.Engine, ...]] = {}
        self.data = b""
        self.offset = 0

    def read_frame(self, count: int, data: bytes) -> list[Record]:
        """Decode the `count` records of a frame's body, in order; raises `MalformedInputError`."""
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
        """Unpack the next fields of the frame."""
        end = self.offset + layout.size
        if end > len(self.data):
            raise MalformedInputError(
                f"frame cut short: {layout.size} bytes wanted at {self.offset} of {len(self.data)}"
            )
        values = layout.unpack_from(self.data, self.offset)
        self.offset = end
        return values

    def take_bytes(self, size: int) -> bytes:
        """Return the next `size` bytes of the frame."""
        end = self.offset + size
        if end > len(self.data):
            raise MalformedInputError(
                f"frame cut short: {size} bytes wanted at {self.offset} of {len(self.data)}"
            )
        piece = self.data[self.offset : end]
        self.offset = end
        return piece

    def new(self) -> Record:
        """Decode the start of a front."""
        front, seed, size = self.unpack(NEW)
        return front, Started(seed, self.take_bytes(size).decode("utf-8"))

    def stop(self) -> Record:
        """Decode the end of a front."""
        return self.unpack(FRONT)[0], Stopped()

    def directory(self) -> None:
        """Store a numbered engine list; it yields no record."""
        slot, count = self.unpack(DIRECTORY)
        body = self.take_bytes(count * ENTRY.size)
        self.lists[slot] = tuple(
            it.Engine(engine, zone, cell, kind, it.EngineState(state), started * MICROSECOND, size)
            for cell, zone, engine, state, started, kind, size in ENTRY.iter_unpack(body)
        )

    def roster(self) -> Record:
        """Decode the result of an engine list request, which refers to a stored list."""
        front, version, slot, how = self.unpack(ROSTER)
        kind = it.ListKind(how)
        if kind is it.ListKind.FAILED:
            return front, it.EngineListReceived(kind, version, ())
        if slot not in self.lists:
            raise MalformedInputError(f"list {slot} was never given")
        return front, it.EngineListReceived(kind, version, self.lists[slot])

    def submit(self) -> Record:
        """Decode a new batch; bit 0 says whether the work is known, bit 1 whether it is a repeat."""
        front, batch, query_class, owner, key, left, hint, memory, tables, bits = self.unpack(SUBMIT)
        work = hint * MICROSECOND if bits & 1 else None
        return front, it.BatchReceived(
            batch, query_class, owner, key, left * MICROSECOND, work, memory, tables, bool(bits & 2)
        )

    def accepted(self) -> Record:
        """Decode the start of an engine's response."""
        front, batch, number, engine, _ = self.unpack(ACCEPTED)
        return front, it.ResponseStarted(batch, number, engine)

    def interim(self) -> Record:
        """Decode a progress note of a dispatch."""
        front, batch, number, value, engine, kind = self.unpack(INTERIM)
        return front, it.ProgressNote(batch, number, engine, it.ProgressKind(kind), value)

    def returned(self) -> Record:
        """Decode the end of a dispatch with its load report."""
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
        """Decode the departure of a client."""
        front, batch = self.unpack(GONE)
        return front, it.ClientLeft(batch)

    def due(self) -> Record:
        """Decode an expired timer."""
        front, token = self.unpack(DUE)
        return front, it.TimerDue(token)

    def pinged(self) -> Record:
        """Decode the result of a probe with its load report."""
        front, took, engine, outcome, n = self.unpack(PINGED)
        return front, it.ProbeEnded(
            engine, it.DispatchOutcome(outcome), took * MICROSECOND, self.unpack(GAUGES[n])
        )

    def note_from(self) -> Record:
        """Decode a note of another front."""
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
    """Convert seconds to whole microseconds, clamped to the range of an unsigned 32-bit integer."""
    return min(max(round(seconds / MICROSECOND), 0), MAX_U32)


def encode_text(code: int, front: int, line: str) -> bytes:
    """Encode a record of text, truncated to the 65,535 bytes that its length field can hold."""
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
    """Encode the record of an action."""
    return WRITERS[type(action)](front, action)


def encode_fault(front: int, line: str) -> bytes:
    """Encode the record that reports a failure of the decisions and ends the benchmark's run."""
    return encode_text(40, front, line)
