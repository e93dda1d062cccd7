"""A fake directory: answers DNS queries for the list of engines (RFC 1035, SRV by RFC 2782)."""

import asyncio
import struct
from collections import deque

NAME = "_api._tcp.svc.local"


def label(name):
    """Return a DNS name as labels, without the final zero byte."""
    return b"".join(bytes((len(part),)) + part.encode() for part in name.split("."))


def dns_answer(number, serial, entries, starts=()):
    """Return the DNS answer with a whole list; its names are compressed against the question's name.

    `entries` maps engine names to (port, draining) or (port, draining, zone); `starts` has the start times of
    engines that started late, in Unix milliseconds.
    """
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
    """Answers each query with the list `entries` at `serial`, or as the next of its `steps` says.

    Steps: `lost` sends nothing, `fails` an error code, `cut` half of the answer, `foreign` a wrong query id,
    `older` an older serial, `former` the answer in `former`.
    """

    def __init__(self, stir):
        """Take the event to set after each query."""
        self.stir, self.serial, self.entries, self.query_count, self.query_ids = stir, 3, {}, 0, []
        self.steps = deque()
        # Start times of engines that started late, in Unix milliseconds.
        self.starts = {}
        # Serial and entries for the step `former`: an answer to a query from before the front's restart.
        self.former = 9, {}
        # Queries from this address are dropped.
        self.ignored_address = None
        # Seconds until a query is answered; an answer holds the list at the time when it is sent.
        self.delay = 0.0
        # When each serial was first sent, on the loop's clock.
        self.first_sent = {}

    def connection_made(self, transport):
        """Note the port."""
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data, address):
        """Answer a query, after `delay` seconds."""
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
        """Answer a delayed query unless the directory has been closed."""
        if not self.transport.is_closing():
            self.answer(number, step, address)

    def answer(self, number, step, address):
        """Send the answer that the step asks for."""
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
    """Start a directory that lists these engines; returns it and their (name, address) entries."""
    _, directory = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Directory(stir), local_addr=("127.0.0.1", 0)
    )
    directory.entries = {name: (engine.port, False) for name, engine in engines.items()}
    return directory, [(name, f"127.0.0.1:{engine.port}") for name, engine in engines.items()]
