"""Child processes of the scale rig: started, asked over JSON lines, signalled, and what they take of the
machine."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]
START_WITHIN = 40.0
# The longest line that a child may answer with: the whole log of its fronts.
LONGEST_LINE = 2**28
NANOSECONDS = 1e9


def cpu_seconds(pid):
    """CPU time of all threads of a process so far, or 0 where it is gone."""
    total = 0
    try:
        for task in os.listdir(f"/proc/{pid}/task"):
            total += int(Path(f"/proc/{pid}/task/{task}/schedstat").read_text().split()[0])
    except (OSError, ValueError):
        return 0.0
    return total / NANOSECONDS


def memory_mb(pid):
    """Resident memory of a process, or 0 where it is gone."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0]) / 1024
    except (OSError, ValueError, IndexError):
        return 0.0


class ChildFailedError(Exception):
    """A child process ended while something was asked of it."""


class Child:
    """One process of the rig's own; `log` has the JSON lines that it wrote unasked."""

    def __init__(self, *arguments, environment=None):
        self.arguments, self.environment = arguments, environment or {}
        self.process, self.log, self.answers = None, [], asyncio.Queue()
        self.reader, self.lock, self.ready = None, asyncio.Lock(), asyncio.Event()

    @property
    def pid(self):
        return self.process.pid

    @property
    def running(self):
        return self.process is not None and self.process.returncode is None

    async def start(self):
        self.ready = asyncio.Event()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            *self.arguments,
            cwd=ROOT,
            env=os.environ | self.environment,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LONGEST_LINE,
        )
        self.reader = asyncio.create_task(self.read(self.process))
        ready = asyncio.create_task(self.ready.wait())
        async with asyncio.timeout(START_WITHIN):
            await asyncio.wait((ready, self.reader), return_when=asyncio.FIRST_COMPLETED)
        if not ready.done():
            ready.cancel()
            raise ChildFailedError(f"{self.arguments} ended before it was ready")

    async def read(self, process):
        while line := await process.stdout.readline():
            try:
                message = json.loads(line)
            except json.JSONDecodeError:
                continue
            if "answer" in message:
                self.answers.put_nowait(message["answer"])
                continue
            self.log.append(message)
            if message.get("event") == "ready":
                self.ready.set()

    async def request(self, command, **fields):
        """One command and its answer."""
        async with self.lock:
            self.process.stdin.write(json.dumps({"do": command, **fields}).encode() + b"\n")
            await self.process.stdin.drain()
            answer = asyncio.create_task(self.answers.get())
            await asyncio.wait((answer, self.reader), return_when=asyncio.FIRST_COMPLETED)
            if not answer.done():
                answer.cancel()
                raise ChildFailedError(f"{self.arguments} ended before it answered {command!r}")
            return answer.result()

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)

    async def kill(self):
        if self.running:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
        if self.reader:
            await asyncio.wait((self.reader,), timeout=1.0)
            self.reader.cancel()


async def serve_commands(handlers):
    """The child's side: reads commands from standard input until it ends, and answers each in order."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LONGEST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    write_line({"event": "ready"})
    while line := await reader.readline():
        fields = json.loads(line)
        answer = await handlers[fields.pop("do")](**fields)
        write_line({"answer": answer})


def write_line(line):
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()
