"""A crowd of bad clients, in a process of its own.

`python -m rigs.crowd_clients PORT KIND COUNT SEED SECONDS`. Each client comes again as soon as it is closed.
The last line of output tells, as JSON, how many connections the crowd made and how many of them got neither
an answer nor a close in time.
"""

import asyncio
import json
import sys
from base64 import b64encode
from contextlib import suppress

from rigs.results import Chance

# Seconds from connecting within which a bad client gets an answer, an error or a close.
ANSWER_LIMIT_S = 3.0
LONG_STATEMENT_BYTES = 140_000
SHORT_FIELDS = 24_000
CONNECT_RETRY_S = 0.05
# What a client writes at once, and a slow one, with the seconds in between.
WRITE_BYTES, SLOW_WRITE_BYTES, SLOW_WRITE_S = 16_384, 2_048, 0.05


def long_request(number):
    """Returns a request in good form, close to the longest that a front takes."""
    statement = b64encode(b"select a from sales_17.orders -- ".ljust(LONG_STATEMENT_BYTES, b"x")).decode()
    params = {"id": f"{number:016x}", "wait": 3000, "tenant": "acme", "cost": 60.0, "bytes": statement}
    return json.dumps({"jsonrpc": "2.0", "id": 1, "method": "lookup", "params": params}).encode() + b"\n"


def nested(inner):
    """Returns a request whose parameters are the given JSON."""
    return b'{"jsonrpc":"2.0","id":1,"method":"lookup","params":{%b}}\n' % inner


def short_fields():
    return nested(b",".join(b'"%x":%d' % (n, n % 10) for n in range(SHORT_FIELDS)))


def short_objects():
    return nested(b'"a":[%b]' % b",".join([b'{"b":0}'] * SHORT_FIELDS))


def empty_lists():
    return nested(b'"a":[%b]' % b",".join([b"[]"] * (3 * SHORT_FIELDS)))


def half(line):
    return line[: len(line) // 2]


# What each kind of client sends.
PAYLOADS = {
    "silent": lambda number: b"",
    "half": lambda number: half(long_request(number)),
    "slow": long_request,
    "fields": lambda number: short_fields(),
    "half fields": lambda number: half(short_fields()),
    "objects": lambda number: short_objects(),
    "lists": lambda number: empty_lists(),
}
KINDS = (*PAYLOADS, "mixed")


class Crowd:
    """Bad clients of one kind, or of all kinds mixed."""

    def __init__(self, port, kind, seed):
        self.port, self.kind, self.chance = port, kind, Chance(seed)
        self.connections, self.unanswered = 0, 0
        # Made once: the crowd's own work must not slow it down.
        self.payloads = {kind: make(seed) for kind, make in PAYLOADS.items()}

    async def play(self, count, seconds):
        """Keeps up that many clients for that long, then closes all at once."""
        ends_at = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(self.client(number, ends_at) for number in range(count)))

    async def client(self, number, ends_at):
        kind = self.kind
        if kind == "mixed":
            kind = self.chance.among([(1, each) for each in PAYLOADS], "kind", number)
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(CONNECT_RETRY_S)
                continue
            self.connections += 1
            since = loop.time()
            sending = asyncio.create_task(self.send(writer, kind))
            done, _ = await asyncio.wait(
                {asyncio.create_task(self.read_to_end(reader, loop.time))},
                timeout=max(ends_at - loop.time(), 0),
            )
            answered_at = done.pop().result() if done else loop.time()
            self.unanswered += kind != "slow" and answered_at > since + ANSWER_LIMIT_S
            sending.cancel()
            writer.close()

    async def send(self, writer, kind):
        payload, size = self.payloads[kind], SLOW_WRITE_BYTES if kind == "slow" else WRITE_BYTES
        with suppress(OSError):
            for at in range(0, len(payload), size):
                writer.write(payload[at : at + size])
                await writer.drain()
                await asyncio.sleep(SLOW_WRITE_S if kind == "slow" else 0)

    async def read_to_end(self, reader, now):
        """Reads to the end; returns when the first byte or the end came."""
        first = None
        with suppress(OSError):
            while await reader.read(WRITE_BYTES):
                first = first or now()
        return first or now()


def main(port, kind, count, seed, seconds):
    crowd = Crowd(int(port), kind, int(seed))
    asyncio.run(crowd.play(int(count), float(seconds)))
    print(json.dumps({"connections": crowd.connections, "unanswered": crowd.unanswered}))


if __name__ == "__main__":
    main(*sys.argv[1:])
