"""Stand-ins on loopback: query engines, the directory, a client and the platform that starts a front.

They follow the operators' pages and nothing else; the cases add the disruption. Everything that is sent,
answered and run goes to a `Record`, one line an event.
"""

# ruff: noqa: D102, D103, D105, D107, PLR0913

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PAGE_BYTES, HOLD_S, DROP_S = 6_000, 0.25, 2.0


class Record:
    """The log of a run, with seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self.file, self.start = (folder / "record.txt").open("w"), time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.start

    def __call__(self, who: str, what: str, /, **facts) -> float:
        at = self.now()
        words = " ".join(f"{name}={value}" for name, value in facts.items())
        self.file.write(f"{at:9.4f} {who:<10} {what} {words}".rstrip() + "\n")
        return at

    def close(self) -> None:
        self.file.close()


class Attempt:
    """One dispatch at an engine: from the whole POST until its end is written or it is given up."""

    def __init__(
        self, txn: str, engine: str, began: float, pages: list[str], work: asyncio.Task, work_ms: float
    ) -> None:
        self.txn, self.engine, self.began, self.pages, self.work = txn, engine, began, pages, work
        self.ended: float | None = None
        # No two queries need exactly the same work.
        self.work_ms = round(work_ms * (0.98 + int.from_bytes(os.urandom(3)) / 2**24 * 0.04), 4)
        self.how = "out"
        self.asked = time.monotonic()


class Engine:
    """A sound query engine. `run_s` gives the seconds that a statement runs, `result` its rows.

    `send(writer, call, data)` writes an answer; a case may replace it to spoil answers.
    """

    def __init__(self, name: str, record: Record, result, run_s, tells_cost: bool = True) -> None:
        self.name, self.record, self.result, self.run_s = name, record, result, run_s
        self.tells_cost, self.known, self.repeated, self.attempts = tells_cost, {}, [], []
        self.threads, self.send = {"lookup": 1, "report": 3, "load": 2}, self.send_plain

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.sweeper = asyncio.create_task(self.sweep())

    def stop(self) -> None:
        if hasattr(self, "server"):
            self.server.close()
            self.sweeper.cancel()

    async def sweep(self) -> None:
        """Drop what has not been asked for in 2 s."""
        while True:
            await asyncio.sleep(0.02)
            for attempt in list(self.known.values()):
                if time.monotonic() - attempt.asked > DROP_S:
                    self.end(attempt, "dropped, not asked for in 2 s")
                    attempt.work.cancel()
                    del self.known[attempt.txn]
            for attempt in list(self.repeated):
                if attempt.work.done() or time.monotonic() - attempt.asked > DROP_S:
                    self.give_up(attempt, "over" if attempt.work.done() else "dropped, not asked for in 2 s")

    def give_up(self, attempt: Attempt, how: str) -> None:
        self.repeated.remove(attempt)
        attempt.work.cancel()
        self.end(attempt, how)

    def end(self, attempt: Attempt, how: str) -> None:
        if attempt.ended is None:
            attempt.how = how
            attempt.ended = self.record(self.name, "end", id=attempt.txn, how=how.replace(" ", "_"))

    async def serve(self, reader, writer) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split()
                fields = {
                    k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)
                }
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                await self.answer(writer, method, path, fields, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method: str, path: str, fields: dict, body: bytes) -> None:
        parts = path.strip("/").split("/")
        if method == "POST":
            attempt = self.begin(fields, body)
            await self.news(writer, attempt.txn, "POST")
        elif method == "GET" and len(parts) == 3:
            if parts[2] == "0":
                await self.news(writer, parts[1], "GET0")
            else:
                await self.page(writer, parts[1], int(parts[2]))
        elif method == "DELETE":
            if attempt := self.known.pop(parts[1], None):
                attempt.work.cancel()
                self.end(attempt, "given up by DELETE")
            for repeated in [one for one in self.repeated if one.txn == parts[1]]:
                self.give_up(repeated, "given up by DELETE")
            await self.reply(writer, "DELETE", parts[1], 204, {}, "")
        elif method == "PUT":
            await self.reply(writer, "PUT", parts[1], 204, {}, "")
        else:
            await self.reply(writer, "probe", "", 200, {}, "")

    def begin(self, fields: dict, body: bytes) -> Attempt:
        txn = fields["x-txn"]
        began = self.record(self.name, "begin", id=txn, lane=fields["x-lane"], limit=fields["x-limit-ms"])
        run_s = self.run_s(body)
        work, threads = asyncio.create_task(asyncio.sleep(run_s)), self.threads[fields["x-lane"]]
        attempt = Attempt(txn, self.name, began, pages_of(self.result(body)), work, run_s * threads * 1e3)
        # A second POST of an id starts the statement again; the first run keeps the id while it is known.
        if txn in self.known:
            self.repeated.append(attempt)
        else:
            self.known[txn] = attempt
        self.attempts.append(attempt)
        return attempt

    async def news(self, writer, txn: str, call: str) -> None:
        attempt = self.known.get(txn)
        if not attempt:
            await self.reply(writer, call, txn, 500, {}, "")
            return
        attempt.asked = time.monotonic()
        await asyncio.wait((attempt.work,), timeout=HOLD_S)
        if self.known.get(txn) is not attempt:
            await self.reply(writer, call, txn, 500, {}, "")
        elif not attempt.work.done():
            await self.reply(writer, call, txn, 202, {}, "")
        else:
            more = {"Chunks": len(attempt.pages)}
            if self.tells_cost:
                more |= {"Elapsed-Work": attempt.work_ms, "High-Water": 64}
            await self.reply(writer, call, txn, 200, more, attempt.pages[0])
            if len(attempt.pages) == 1:
                self.end(attempt, "end written")

    async def page(self, writer, txn: str, number: int) -> None:
        attempt = self.known.get(txn)
        if not attempt or not attempt.work.done() or number >= len(attempt.pages):
            await self.reply(writer, f"GET{number}", txn, 500, {}, "")
            return
        attempt.asked = time.monotonic()
        await self.reply(writer, f"GET{number}", txn, 200, {"Chunk": number}, attempt.pages[number])
        if number == len(attempt.pages) - 1:
            self.end(attempt, "end written")

    async def reply(self, writer, call: str, txn: str, status: int, fields: dict, body: str) -> None:
        running = sum(not attempt.work.done() for attempt in self.known.values())
        report = f"inflight:{running};util:{min(running / 16, 1):.2f};x1:0.20;queue:0;x0:0.20"
        await self.send(writer, call, txn, status, {"X-Gauges": report} | fields, body)

    async def send_plain(self, writer, call: str, txn: str, status: int, fields: dict, body: str) -> None:
        await write(writer, encode(status, fields, body))


def encode(status: int, fields: dict, body: str, length: int | None = None) -> bytes:
    """An answer; `length` replaces the right Content-Length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


async def write(writer, data: bytes) -> None:
    writer.write(data)
    await writer.drain()


def pages_of(rows: list[str]) -> list[str]:
    """Whole rows in pages of at most 6,000 bytes."""
    pages = [""]
    for row in rows:
        if len(pages[-1]) + len(row) > PAGE_BYTES:
            pages.append("")
        pages[-1] += row
    return pages


class Directory(asyncio.DatagramProtocol):
    """Answers each query by DNS with the whole list; `listed` maps names to (address, zone, state)."""

    NAME = "_api._tcp.svc.local"

    def __init__(self, kind: str) -> None:
        self.kind, self.serial, self.listed = kind, 1, {}

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        self.port = self.transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, address) -> None:
        self.transport.sendto(self.encode(data[:2]), address)

    def encode(self, number: bytes) -> bytes:
        def name(text: str) -> bytes:
            return b"".join(bytes((len(part),)) + part.encode() for part in text.split(".")) + b"\0"

        def record(owner: bytes, kind: int, data: bytes) -> bytes:
            return owner + struct.pack(">HHIH", kind, 1, 0, len(data)) + data

        up = {n: e for n, e in self.listed.items() if e[2] != "Gone"}
        answer = more = b""
        for engine, (port, zone, state) in up.items():
            target = name(f"{engine}.{zone}.hosts")
            answer += record(b"\xc0\x0c", 33, struct.pack(">HHH", int(state != "Ready"), 40, port) + target)
            texts = (f"kind={self.kind}".encode(), b"cell=1", b"started=0")
            more += record(target, 1, bytes((127, 0, 0, 1)))
            more += record(target, 16, b"".join(bytes((len(t),)) + t for t in texts))
        soa = record(b"\xc0\x0c", 6, b"\0\0" + struct.pack(">IIIII", self.serial, 0, 0, 0, 0))
        head = number + struct.pack(">HHHHH", 0x8400, 1, len(up), 1, 2 * len(up))
        return head + name(self.NAME) + struct.pack(">HH", 33, 1) + answer + soa + more

    def known(self) -> dict:
        instances = [
            {
                "instanceId": n,
                "hostPort": f"127.0.0.1:{port}",
                "zone": zone,
                "machineType": self.kind,
                "cell": 1,
                "lifecycle": state,
                "weight": 4,
                "startedAtMs": 0,
            }
            for n, (port, zone, state) in self.listed.items()
        ]
        hosts = {"generation": 1, "reset": True, "instances": instances}
        return {"pos": self.serial, "entries": [{"pos": self.serial, "hosts": hosts}]}


class Front:
    """A front as its own process, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, name: str, directory: Directory, settings: dict, limits=None) -> None:
        self.record, self.name, self.port = record, name, free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "dns": f"127.0.0.1:{directory.port}",
            "known": directory.known(),
            "settings": settings,
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        (self.folder / "tmp").mkdir()
        environment = os.environ | {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": f"127.0.0.1:{self.port}",
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder / "tmp"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log = (self.folder / "log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            deploy["run"],
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record(self.name, "started", port=self.port)
        for _ in range(300):
            if self.process.returncode is not None:
                raise RuntimeError(
                    "the front ended at its start: " + (self.folder / "log").read_text()[-2000:]
                )
            try:
                client = await Client.open(self.record, self.port)
                ready = await client.call("status", {}, 1.0)
                client.close()
                if ready and ready.get("result", {}).get("ready"):
                    self.record(self.name, "ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("the front was not ready in 30 s")

    async def stop(self) -> None:
        if not hasattr(self, "process"):
            return
        with suppress(ProcessLookupError):
            if self.process.returncode is None:
                os.kill(self.process.pid, signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 6)
            except TimeoutError:
                os.kill(self.process.pid, signal.SIGKILL)
        await self.process.wait()
        self.record(self.name, "ended", code=self.process.returncode)
        self.log.close()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copy(self.folder / "log", f"{keep}-{self.name}.log")
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One client connection: JSON-RPC, one message a line; up to 32 open requests are the caller's affair."""

    @classmethod
    async def open(cls, record: Record, port: int) -> Client:
        self = cls()
        self.record, self.numbers, self.waiting, self.surplus = record, 0, {}, []
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        self.task = asyncio.create_task(self.read())
        return self

    async def read(self) -> None:
        try:
            while line := await self.reader.readline():
                answer = json.loads(line)
                future = self.waiting.pop(answer.get("id"), None)
                if future and not future.done():
                    future.set_result(answer)
                elif not future:
                    self.surplus.append(answer)
        except (ConnectionError, ValueError):
            pass
        for future in self.waiting.values():
            if not future.done():
                future.set_result({"closed": True})

    async def call(self, method: str, params: dict, within: float) -> dict | None:
        """The answer, {"closed": True} where the connection ended, or None after `within` seconds."""
        self.numbers += 1
        number, future = self.numbers, asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        message = {"jsonrpc": "2.0", "id": number, "method": method, "params": params}
        self.writer.write(json.dumps(message).encode() + b"\n")
        done, _ = await asyncio.wait((future,), timeout=within)
        return future.result() if done else None

    async def submit(
        self, group: str, txn: str, statement: str, wait_s: float, tenant: str, cost_ms: float, once: str = ""
    ) -> tuple[str, bytes]:
        """Submit a request; returns how it ended (served, refused, failed, closed, silent) and its rows."""
        params = {
            "id": txn,
            "wait": round(wait_s * 1e3),
            "tenant": tenant,
            "cost": cost_ms,
            "need_mb": 64,
            "bytes": b64encode(statement.encode()).decode(),
        }
        if once:
            params["once"] = once
        self.record("client", "sent", id=txn, group=group, wait=params["wait"])
        answer = await self.call(group, params, wait_s + 0.57)
        rows = b""
        if answer is None:
            how = "silent"
        elif answer.get("closed"):
            how = "closed"
        elif "result" in answer:
            how, rows = "served", b64decode(answer["result"]["bytes"])
        else:
            how = "refused" if answer["error"]["code"] == -32001 else "failed"
        self.record("client", "answered", id=txn, how=how, bytes=len(rows))
        return how, rows

    def close(self) -> None:
        self.task.cancel()
        self.writer.close()


class Pool:
    """A directory, three engines, one in each hall, and some fronts; stopped at the end of an `async with`.

    `engine` makes an engine by its name; `limits` are those of each front's configuration.
    """

    def __init__(self, record: Record, settings, engine, fronts: int = 1, limits: dict | None = None) -> None:
        self.record, self.directory = record, Directory("std-16")
        self.engines = [engine(f"s-{n}") for n in range(3)]
        self.settings, self.count, self.limits, self.fronts = settings, fronts, limits, []

    async def __aenter__(self) -> Pool:
        try:
            await self.directory.start()
            for engine, zone in zip(self.engines, self.settings()["FailureDomains"], strict=True):
                await engine.start()
                self.directory.listed[engine.name] = engine.port, zone, "Ready"
            for n in range(self.count):
                own = self.settings(self.count, n)
                self.fronts.append(Front(self.record, f"n{n}", self.directory, own, self.limits))
                await self.fronts[-1].start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *why) -> None:
        for front in self.fronts:
            await front.stop()
        for engine in self.engines:
            engine.stop()


def free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


def new_id() -> str:
    return os.urandom(8).hex()


def trouble() -> bool:
    """Whether the disruption is on."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, case) -> None:
    """Run `case(record)`, which returns the broken rules found, and exit with 1, 0 or 2."""
    record = Record(folder)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 110))
    except BaseException as why:
        record("case", "could not run", why=repr(why))
        print(f"could not run: {why!r}")
        record.close()
        raise SystemExit(2) from None
    for line in broken[:20]:
        record("case", "BROKEN", why=line)
        print("BROKEN", line)
    record("case", "verdict", broken=len(broken))
    record.close()
    print(f"{len(broken)} breaks")
    raise SystemExit(1 if broken else 0)
