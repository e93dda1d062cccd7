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
from itertools import count

from rigs.results import Chance

# Seconds from connecting within which a bad client gets an answer, an error or a close.
ANSWER_LIMIT_S = 3.0
LONG_STATEMENT_BYTES = 140_000
SHORT_FIELDS, OPEN_REQUESTS = 24_000, 32
# The table whose results are as long as allowed.
WIDE_TABLE = "wide_17.orders"
CONNECT_RETRY_S = 0.05
# How long a client that reads nothing stays.
UNREAD_S = 2.0
# The kinds that write for longer than that, or do not read.
OWED_NOTHING = ("slow", "unread")
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


def request(number, table="sales_17.orders"):
    """Returns a usual request."""
    statement = b64encode(b"select a from " + table.encode()).decode()
    params = {"id": f"{number:016x}", "wait": 3000, "tenant": "acme", "cost": 60.0, "bytes": statement}
    return json.dumps({"jsonrpc": "2.0", "id": number, "method": "lookup", "params": params}).encode() + b"\n"


def many_requests(client, table="sales_17.orders"):
    """Returns as many requests as a connection may have open, with ids of this client's own."""
    first = (client + 1) * 1_000_000
    return b"".join(request(first + number, table) for number in range(OPEN_REQUESTS))


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
    "requests": many_requests,
    "unread": lambda number: many_requests(number, WIDE_TABLE),
}
KINDS = (*PAYLOADS, "mixed")
# The kinds whose payload is another one for each client and each time; of the others it is made once, so that
# the crowd's own work does not slow it down.
NEW_EACH_TIME = ("requests", "unread")


class Crowd:
    """Bad clients of one kind, or of all kinds mixed."""

    def __init__(self, port, kind, seed):
        self.port, self.kind, self.chance = port, kind, Chance(seed)
        self.connections, self.unanswered, self.numbers = 0, 0, count()
        self.payloads = {kind: make(seed) for kind, make in PAYLOADS.items() if kind not in NEW_EACH_TIME}

    async def play(self, clients, seconds):
        """Keeps up that many clients for that long, then closes all at once."""
        ends_at = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(self.client(number, ends_at) for number in range(clients)))

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
            answered = loop.create_future()
            reading = asyncio.create_task(self.read_to_end(reader, kind, answered))
            await asyncio.wait({reading}, timeout=max(ends_at - loop.time(), 0))
            answered_at = answered.result() if answered.done() else loop.time()
            self.unanswered += kind not in OWED_NOTHING and answered_at > since + ANSWER_LIMIT_S
            reading.cancel()
            sending.cancel()
            writer.close()

    async def send(self, writer, kind):
        payload = self.payloads[kind] if kind in self.payloads else PAYLOADS[kind](next(self.numbers))
        size = SLOW_WRITE_BYTES if kind == "slow" else WRITE_BYTES
        with suppress(OSError):
            for at in range(0, len(payload), size):
                writer.write(payload[at : at + size])
                await writer.drain()
                await asyncio.sleep(SLOW_WRITE_S if kind == "slow" else 0)

    async def read_to_end(self, reader, kind, answered):
        """Reads to the end, or leaves all unread; sets when the first byte or the end came."""
        loop = asyncio.get_running_loop()
        if kind == "unread":
            await asyncio.sleep(UNREAD_S)
            return
        with suppress(OSError):
            while await reader.read(WRITE_BYTES):
                if not answered.done():
                    answered.set_result(loop.time())
        if not answered.done():
            answered.set_result(loop.time())


def main(port, kind, clients, seed, seconds):
    crowd = Crowd(int(port), kind, int(seed))
    asyncio.run(crowd.play(int(clients), float(seconds)))
    print(json.dumps({"connections": crowd.connections, "unanswered": crowd.unanswered}))


if __name__ == "__main__":
    main(*sys.argv[1:])
