"""Fronts as processes of their own, started by the deploy file's command, and their clients."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from base64 import b64encode
from contextlib import suppress
from pathlib import Path

from stage_2.record import Record

ROOT = Path(__file__).resolve().parents[2]
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


class CannotRunError(Exception):
    """The case could not be played."""


def free_ports(count: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[int]:
    """Return ports of the loopback address that are free now."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Front:
    """One front process."""

    def __init__(self, name: str, folder: Path, record: Record, config: dict, operator: dict | None) -> None:
        """Write its files; `config` names the address where it listens."""
        self.name, self.folder, self.record, self.config = name, folder, record, config
        self.port = int(config["listen"].rpartition(":")[2])
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task | None = None
        self.events: list[dict] = []
        self.temporary = folder / f"{name}.tmp"
        self.temporary.mkdir()
        self.path = folder / f"{name}.json"
        self.path.write_text(json.dumps(config))
        self.environment = os.environ | {"BALANCER_CONFIG": str(self.path), "TMPDIR": str(self.temporary)}
        if operator:
            path = folder / f"{name}.operator.json"
            path.write_text(json.dumps(operator))
            self.environment["BALANCER_OPERATOR"] = str(path)

    async def start(self) -> None:
        """Start the process by the command of the deploy file, and wait until it is ready."""
        self.process = await asyncio.create_subprocess_shell(
            RUN, cwd=ROOT, env=self.environment, stdout=asyncio.subprocess.PIPE
        )
        ready = asyncio.get_running_loop().create_future()
        self.reader = asyncio.create_task(self.read_log(ready))
        try:
            async with asyncio.timeout(30):
                await ready
        except TimeoutError:
            raise CannotRunError(f"{self.name} was not ready within 30 s") from None
        self.record.add("front ready", front=self.name)

    async def read_log(self, ready: asyncio.Future) -> None:
        """Read the log until its end."""
        while line := await self.process.stdout.readline():
            with suppress(json.JSONDecodeError):
                event = json.loads(line)
                self.events.append(event)
                if event.get("event") == "ready" and not ready.done():
                    ready.set_result(None)
        if not ready.done():
            ready.set_exception(CannotRunError(f"{self.name} ended before it was ready"))

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.record.add("signal", front=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def end(self) -> None:
        """End the process, by SIGTERM first."""
        if self.process is None:
            return
        if self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.terminate()
            try:
                async with asyncio.timeout(6):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        self.reader.cancel()
        (self.folder / f"{self.name}.log").write_text("".join(json.dumps(e) + "\n" for e in self.events))


class Client:
    """One connection of a client to a front."""

    def __init__(self, name: str, record: Record) -> None:
        """Connect by `open`."""
        self.name, self.record, self.number = name, record, 0
        self.waiting: dict[int, tuple[str, asyncio.Future]] = {}
        # The results by request, in base64.
        self.results: dict[str, str] = {}

    async def open(self, front: Front) -> Client:
        """Connect to a front, and read its answers from then on."""
        self.front = front.name
        self.input, self.writer = await asyncio.open_connection("127.0.0.1", front.port, limit=2**20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reading = asyncio.create_task(self.read())
        return self

    async def read(self) -> None:
        """Read answers until the connection ends; what is open then gets none."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await self.input.readline():
                message = json.loads(line)
                txn, future = self.waiting.pop(message.get("id"), ("", None))
                code = message.get("error", {}).get("code")
                how = "returned" if "result" in message else "pushed back" if code == -32001 else "errored"
                if "result" in message:
                    self.results[txn] = message["result"]["bytes"]
                self.record.add("answer", client=self.name, front=self.front, txn=txn, how=how)
                if future and not future.done():
                    future.set_result(how)
        for txn, future in self.waiting.values():
            self.record.add("answer", client=self.name, front=self.front, txn=txn, how="connection ended")
            if not future.done():
                future.set_result("connection ended")
        self.waiting.clear()

    def submit(self, group: str, txn: str, statement: str, wait_ms: float, **fields) -> asyncio.Future:
        """Send a request; the future gets `returned`, `pushed back`, `errored` or `connection ended`."""
        self.number += 1
        params = {"id": txn, "wait": wait_ms, "bytes": b64encode(statement.encode()).decode(), **fields}
        line = {"jsonrpc": "2.0", "id": self.number, "method": group, "params": params}
        future = asyncio.get_running_loop().create_future()
        self.waiting[self.number] = txn, future
        self.record.add("sent", client=self.name, front=self.front, group=group, txn=txn, **fields)
        self.writer.write(json.dumps(line).encode() + b"\n")
        return future

    async def close(self) -> None:
        """Close the connection."""
        self.writer.close()
        self.reading.cancel()


def statement(group: int, table: str = "declarations") -> str:
    """Return a statement that reads a table."""
    return f"select cargo, weight, port from customs_{group}.{table}"
