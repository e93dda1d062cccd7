"""A directory: answers DNS queries for the list of engines (RFC 1035, SRV by RFC 2782)."""

import asyncio
import struct
from collections import deque

NAME = "_api._tcp.svc.local"


def label(name):
    return b"".join(bytes((len(part),)) + part.encode() for part in name.split("."))


def dns_answer(number, serial, entries, starts=()):
    """A whole list; targets are compressed against the question's name. `starts` has the Unix milliseconds of
    late starts."""
    head = struct.pack(">HHHHHH", number, 0x8400, 1, len(entries), 1, 2 * len(entries))
    question = label(NAME) + b"\0" + struct.pack(">HH", 33, 1)
    pointer = b"\xc0\x0c"

    def record(owner, kind, data):
        return owner + struct.pack(">HHIH", kind, 1, 0, len(data)) + data

    answer, more = b"", b""
    for name, (port, draining, *zone) in entries.items():
        target = label(f"{name}.{(*zone, 'nord')[0]}.hosts") + b"\0"
        answer += record(pointer, 33, struct.pack(">HHH", int(draining), 40, port) + target)
        started = b"started=%d" % dict(starts).get(name, 0)
        texts = b"".join(bytes((len(t),)) + t for t in (b"kind=std", b"cell=1", started))
        more += record(target, 1, bytes((127, 0, 0, 1))) + record(target, 16, texts)
    soa = record(pointer, 6, b"\0\0" + struct.pack(">IIIII", serial, 0, 0, 0, 0))
    return head + question + answer + soa + more


class Directory(asyncio.DatagramProtocol):
    """Answers each query with its list, or as its steps say: lost, fails, cut, foreign, older, former."""

    def __init__(self, stir):
        self.stir, self.serial, self.entries, self.query_count, self.query_ids = stir, 3, {}, 0, []
        self.steps = deque()
        # The Unix milliseconds of late starts, by engine.
        self.starts = {}
        # For the step `former`: an answer that was made for this front before it was started again.
        self.former = 9, {}
        # An address that it gets nothing from any more.
        self.ignored_address = None
        # Seconds that it takes to answer a query; an answer holds the list of the moment in which it is sent.
        self.delay = 0.0
        # When each serial was first told, on the loop's clock.
        self.first_sent = {}

    def connection_made(self, transport):
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data, address):
        if address == self.ignored_address:
            return
        number, step = int.from_bytes(data[:2], "big"), self.steps.popleft() if self.steps else ""
        self.query_ids.append(number)
        self.last_address = address
        if self.delay:
            asyncio.get_running_loop().call_later(self.delay, self.answer_late, number, step, address)
        else:
            self.answer(number, step, address)

    def answer_late(self, number, step, address):
        if not self.transport.is_closing():
            self.answer(number, step, address)

    def answer(self, number, step, address):
        stale = {"older": (1, {}), "former": self.former}
        serial, entries = stale.get(step, (self.serial, self.entries))
        answer = dns_answer(number ^ (step == "foreign"), serial, entries, self.starts)
        if step == "fails":
            answer = answer[:3] + bytes((answer[3] | 2,)) + answer[4:]
        if not step:
            self.first_sent.setdefault(serial, asyncio.get_running_loop().time())
        if step != "lost":
            self.transport.sendto(answer[: len(answer) // 2] if step == "cut" else answer, address)
        self.query_count += 1
        self.stir.set()


async def start_directory(stir, engines):
    """A directory that lists these engines, by name, and the entries that a front among them knows at its
    start."""
    _, directory = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Directory(stir), local_addr=("127.0.0.1", 0)
    )
    directory.entries = {name: (engine.port, False) for name, engine in engines.items()}
    return directory, [(name, f"127.0.0.1:{engine.port}") for name, engine in engines.items()]
