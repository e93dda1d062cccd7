"""The distributors of the scale rig: their processes and HTTP calls to them."""

import asyncio
import json
import signal
import socket
from pathlib import Path
from time import monotonic

from rigs.loopback import HOST, free_port
from rigs.scale_child import Child
from thistlelever.distribution.versions import parse

CALL_WITHIN_S = 5.0
OK, ACCEPTED = 200, 202
PUBLISH_WITHIN_S = 8.0


class RefusedError(Exception):
    """A distributor refused a call: its HTTP status and error text."""

    def __init__(self, status, error):
        super().__init__(f"{status}: {error}")
        self.status, self.error = status, error


async def call(address, method, path, value=None, within=CALL_WITHIN_S):
    """Sends one HTTP request on its own connection to a host and port, and returns the JSON of the answer.

    Raises RefusedError for other statuses than 200 and 202, and TimeoutError after `within` seconds."""
    body = b"" if value is None else json.dumps(value).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nConnection: close\r\n"
    head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    async with asyncio.timeout(within):
        reader, writer = await asyncio.open_connection(*address, limit=2**26)
        try:
            writer.write(head.encode() + body)
            raw = await reader.read()
        finally:
            writer.close()
    headers, _, content = raw.partition(b"\r\n\r\n")
    if not headers:
        raise ConnectionError("no answer")
    status = int(headers.split(b" ", 2)[1])
    if b"transfer-encoding: chunked" in headers.lower():
        content = decode_chunked(content)
    answer = json.loads(content) if content else {}
    if status not in (OK, ACCEPTED):
        raise RefusedError(status, answer.get("error", ""))
    return answer


def decode_chunked(content):
    """The body of a response in chunked transfer encoding."""
    found = b""
    while content:
        size, _, content = content.partition(b"\r\n")
        length = int(size, 16)
        found, content = found + content[:length], content[length + 2 :]
        if not length:
            break
    return found


class Distributor:
    """One distributor by its index, and its process."""

    def __init__(self, tier, index):
        self.tier, self.index = tier, index
        self.address = HOST, free_port(socket.SOCK_STREAM)
        self.child, self.publisher = None, False
        # The addresses at which it reaches the others; relays for one that the rig cuts off from them.
        self.peer_addresses = None

    def configuration(self, publisher):
        """The content of its configuration file."""
        addresses = self.peer_addresses or [other.address for other in self.tier.distributors]
        return {
            "name": f"d{self.index}",
            "index": self.index,
            "listen": "{}:{}".format(*self.address),
            "distributors": ["{}:{}".format(*address) for address in addresses],
            "publisher": publisher,
            "store": str(self.tier.folder / f"store-{self.index}"),
            **self.tier.terms,
        }

    async def start(self, publisher=False):
        """Writes the configuration file and starts the process."""
        path = self.tier.folder / f"distributor-{self.index}.json"
        path.write_text(json.dumps(self.configuration(publisher)))
        environment = self.tier.environment | {"PYTHONHASHSEED": str(self.index + 1)}
        self.child = Child(
            self.tier.program, "distributor", "serve", "--config", str(path), environment=environment
        )
        await self.child.start()

    def signal(self, number):
        """Sends a signal to the process."""
        self.child.signal(number)

    async def kill(self):
        """Kills the process and waits for its end."""
        await self.child.kill()

    async def status(self):
        """What it answers to `GET /v1/status`."""
        return await call(self.address, "GET", "/v1/status")

    async def publish(self, expected, upserts, removals):
        """Publishes a change; returns its version, and whether a majority held it by the time of the
        answer."""
        change = {
            "expected": str(expected) if expected else None,
            "upserts": [published_fields(record) for record in upserts],
            "removals": list(removals),
        }
        answer = await call(self.address, "POST", "/v1/publish", change, PUBLISH_WITHIN_S)
        return parse(answer["version"]), answer.get("confirmed", True)

    async def publish_whole(self, expected, records):
        """Publishes a whole list; returns its version."""
        whole = {
            "expected": str(expected) if expected else None,
            "engines": [published_fields(record) for record in records],
        }
        answer = await call(self.address, "POST", "/v1/publish", whole, 60.0)
        return parse(answer["version"])

    async def promote(self):
        """Asks it to become the publisher."""
        return await call(self.address, "POST", "/v1/promote", {})


def published_fields(record):
    """The fields of a record that a publish request has."""
    fields = record._asdict()
    del fields["in_subset"]
    return fields


class Tier:
    """All distributors; one of them is the publisher."""

    def __init__(self, folder, count, terms, program, environment):
        self.folder, self.terms, self.program = Path(folder), terms, program
        self.environment = environment
        self.distributors = [Distributor(self, index) for index in range(count)]
        self.publisher = self.distributors[0]

    async def start(self):
        """Starts all distributors, the publisher last: it claims its term once a majority answers."""
        await asyncio.gather(*(one.start() for one in self.distributors[1:]))
        await self.publisher.start(publisher=True)
        await self.until(self.publisher, lambda status: status["role"] == "publisher")

    async def until(self, distributor, holds, within=10.0):
        """Polls a distributor until `holds(status)` is true and returns the status; TimeoutError after
        `within` seconds."""
        till = monotonic() + within
        while True:
            try:
                status = await distributor.status()
                if holds(status):
                    return status
            except (OSError, TimeoutError, RefusedError, ConnectionError):
                pass
            if monotonic() > till:
                raise TimeoutError(f"d{distributor.index} never came to what was waited for")
            await asyncio.sleep(0.05)

    async def follow(self, version, within=10.0):
        """Waits until every running distributor holds that version or a newer one."""
        for distributor in self.distributors:
            if distributor.child.running:
                await self.until(distributor, lambda s: parse(s["version"]) >= version, within)

    async def close(self):
        """Kills every distributor."""
        for distributor in self.distributors:
            if distributor.child:
                distributor.signal(signal.SIGCONT)
                await distributor.kill()
