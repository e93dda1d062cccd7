"""Child processes of the scale rig: start, requests over JSON lines, signals, CPU time and memory."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]
START_WITHIN_S = 40.0
# The longest reply of a child, in bytes, is the whole version log of its fronts.
MAX_LINE_BYTES = 2**28
NANOSECONDS_PER_S = 1e9


def cpu_seconds(pid):
    """CPU seconds of all threads of a process so far, or 0 where the process no longer exists."""
    total = 0
    try:
        for task in os.listdir(f"/proc/{pid}/task"):
            total += int(Path(f"/proc/{pid}/task/{task}/schedstat").read_text().split()[0])
    except (OSError, ValueError):
        return 0.0
    return total / NANOSECONDS_PER_S


def memory_mb(pid):
    """Resident memory of a process in MB, or 0 where the process no longer exists."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0]) / 1024
    except (OSError, ValueError, IndexError):
        return 0.0


class ChildFailedError(Exception):
    """A child process ended before it was ready, or before it replied to a request."""


class Child:
    """One child process, started as `python -O -m ARGUMENTS`. `log` holds the JSON lines that it wrote other
    than replies."""

    def __init__(self, *arguments, environment=None):
        self.arguments, self.environment = arguments, environment or {}
        self.process, self.log, self.answers = None, [], asyncio.Queue()
        self.reader, self.lock, self.ready = None, asyncio.Lock(), asyncio.Event()

    @property
    def pid(self):
        """The process id."""
        return self.process.pid

    @property
    def running(self):
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(self):
        """Starts the process and waits until it writes the event `ready`.

        Raises ChildFailedError where it ends before, and TimeoutError after `START_WITHIN_S`."""
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
            limit=MAX_LINE_BYTES,
        )
        self.reader = asyncio.create_task(self.read(self.process))
        ready = asyncio.create_task(self.ready.wait())
        async with asyncio.timeout(START_WITHIN_S):
            await asyncio.wait((ready, self.reader), return_when=asyncio.FIRST_COMPLETED)
        if not ready.done():
            ready.cancel()
            raise ChildFailedError(f"{self.arguments} ended before it was ready")

    async def read(self, process):
        """Sorts the lines of standard output into replies and log until the output ends; skips other
        lines."""
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
        """Sends one command with its fields and returns the reply; one request at a time.

        Raises ChildFailedError where the process ends before it replies."""
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
        """Sends a signal, unless the process has ended."""
        if self.running:
            self.process.send_signal(number)

    async def kill(self):
        """Kills the process, also a stopped one, and waits for its end."""
        if self.running:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
        if self.reader:
            await asyncio.wait((self.reader,), timeout=1.0)
            self.reader.cancel()


async def serve_commands(handlers):
    """Runs in the child: reads commands from standard input until it ends, calls the handler (command ->
    async function) of each with its fields, and writes the replies in the same order."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    write_line({"event": "ready"})
    while line := await reader.readline():
        fields = json.loads(line)
        answer = await handlers[fields.pop("do")](**fields)
        write_line({"answer": answer})


def write_line(line):
    """Writes one value as a JSON line to standard output."""
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()
