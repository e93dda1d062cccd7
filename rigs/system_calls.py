"""Fault injection into the system calls of a front: one call fails per run, with an error that Linux
documents.

`python -m rigs.system_calls --seed 1` does a short run for each call and each of its occurrences, with the
errors taken in turn; `--share 0.1` does a part of the runs, drawn by the seed; `--all` combines each
occurrence with each error. In a run there are two engines, a directory and clients that keep submitting on
two connections; a reloaded configuration moves discovery to another directory, an engine is drained, and the
front gets SIGTERM. The rules are checked against what the clients and the engines recorded and the front's
exit code.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from base64 import b64encode
from collections import Counter, defaultdict
from pathlib import Path

import click

from rigs.results import Chance, report_and_exit
from thistlelever.standins.directory import start_directory
from thistlelever.standins.http_engine import Engine
from thistlelever.standins.configuration import configuration

ROOT = Path(__file__).parents[1]
ERRORS = {
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "bind": ("ENOMEM", "ENOBUFS"),
    "accept": (
        "ECONNABORTED",
        "EMFILE",
        "ENFILE",
        "ENOBUFS",
        "ENOMEM",
        "EPROTO",
        "ENETUNREACH",
        "EHOSTUNREACH",
    ),
    "connect": ("ECONNREFUSED", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EADDRNOTAVAIL", "EPERM"),
    "send": ("EPIPE", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS", "ENOMEM", "EAGAIN", "SHORT"),
    "recv": ("ECONNRESET", "ENOMEM"),
    "recv_into": ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOMEM", "ENOBUFS", "EAGAIN", "SHORT"),
    "recvfrom": ("ECONNREFUSED", "ENOMEM", "EHOSTUNREACH"),
    "setsockopt": ("ENOMEM", "ENOBUFS", "EINVAL"),
    "shutdown": ("ENOTCONN",),
    "close": ("EIO", "EINTR"),
}
# Errors that end the connection on which they occur; requests open on it get no answer.
FATAL = frozenset(("EPIPE", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH"))
NO_FAILURE = ("none", "EIO", 0)
READY_WITHIN_S, WAIT_LIMIT_S, EXIT_WITHIN_S, DRAIN_GRACE_S = 20.0, 1.5, 4.5, 0.3
QUERY_CLASSES = ("lookup", "load", "pay")
SUBMIT_INTERVAL_S, QUERY_S = 0.04, 0.03
MAX_CONCURRENT_RUNS = 8


class Client:
    """Submits at a fixed interval on one connection, and opens another one when that ends."""

    def __init__(self, listen, number):
        self.listen, self.number = listen, number
        self.submitted, self.answers, self.aborted, self.stopped = [], defaultdict(list), set(), False

    async def run(self):
        """Submit until `stopped`; then wait for the answers still due."""
        sent = 0
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection(*self.listen)
            except OSError:
                await asyncio.sleep(SUBMIT_INTERVAL_S)
                continue
            open_requests = set()
            reading = asyncio.create_task(self.read_answers(reader, open_requests))
            while not self.stopped and not reading.done():
                sent += 1
                txn, query_class = f"{self.number:04x}{sent:012x}", QUERY_CLASSES[sent % len(QUERY_CLASSES)]
                open_requests.add(sent)
                self.submitted.append((sent, txn, query_class))
                writer.write(self.encode_request(sent, txn, query_class))
                await asyncio.sleep(SUBMIT_INTERVAL_S)
            await asyncio.wait((reading,), timeout=WAIT_LIMIT_S + 0.3 if self.stopped else 0)
            self.aborted |= open_requests if reading.done() else set()
            reading.cancel()
            writer.close()

    def encode_request(self, number, txn, query_class):
        """Encode a request as a line of JSON-RPC."""
        statement = b64encode(f"select a from sales_{number % 40}.orders where b = '{txn}'".encode()).decode()
        params = {
            "id": txn,
            "wait": WAIT_LIMIT_S * 1e3,
            "tenant": "acme",
            "cost": QUERY_S * 1e3,
            "need_mb": 4,
        }
        params |= {"bytes": statement} | ({"once": "f" * 16 + txn} if query_class != "lookup" else {})
        request = {"jsonrpc": "2.0", "id": number, "method": query_class, "params": params}
        return json.dumps(request).encode() + b"\n"

    async def read_answers(self, reader, open_requests):
        """Record answers until the connection ends, or until all are there once the client has stopped."""
        try:
            while (line := await reader.readline()).endswith(b"\n"):
                answer = json.loads(line)
                self.answers[answer["id"]].append(answer)
                open_requests.discard(answer["id"])
                if self.stopped and not open_requests:
                    return
        except ConnectionError:
            pass


class FailureRun:
    """One run of a front with one failing call.

    `broken` holds the texts of the rules that were broken, `lines` the front's log, `counts` the calls of
    each kind that the front made.
    """

    def __init__(self, folder, call, error, numbers):
        self.folder, self.call, self.error, self.numbers = Path(folder), call, error, numbers
        self.broken, self.lines, self.counts, self.requests, self.answers = [], [], {}, 0, Counter()
        self.ready_s, self.refused = None, 0

    async def run(self):
        """Start the fakes and the front, drive it to its exit and check the rules; return this run."""
        changed = asyncio.Event()
        self.engines = {name: Engine(changed) for name in ("alder", "birch")}
        for engine in self.engines.values():
            engine.duration = lambda txn: QUERY_S
            await engine.start()
        self.directory, entries = await start_directory(changed, self.engines)
        self.new_directory, _ = await start_directory(changed, self.engines)
        self.path = self.folder / "front.json"
        self.write_config(entries, self.directory)
        process = await self.start_front()
        reading = asyncio.create_task(self.read(process.stdout))
        try:
            await self.drive(process, entries)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            await reading
            for engine in self.engines.values():
                await engine.stop()
            self.directory.transport.close()
            self.new_directory.transport.close()
        self.check()
        return self

    def write_config(self, entries, directory):
        """Write a configuration whose discovery asks that directory."""
        known = configuration(entries, dns=f"127.0.0.1:{directory.port}")
        known["known"]["pos"] = directory.serial
        self.path.write_text(json.dumps(known))

    async def start_front(self):
        """Start the front's process with the failing call installed."""
        numbers = "-".join(map(str, self.numbers)) if isinstance(self.numbers, tuple) else self.numbers
        environ = os.environ | {
            "BALANCER_CONFIG": str(self.path),
            "FAILING_CALL": f"{self.call}:{self.error}:{numbers}",
            "CALLS_COUNTED": str(self.folder / "counts.json"),
        }
        return await asyncio.create_subprocess_exec(
            *(sys.executable, "-O", "-m", "rigs.failing_calls", "serve"),
            cwd=ROOT,
            env=environ,
            stdout=asyncio.subprocess.PIPE,
        )

    async def read(self, stdout):
        """Record the front's log with the time at which each line arrived."""
        while line := await stdout.readline():
            self.lines.append(json.loads(line) | {"heard": time.monotonic()})

    def logged(self, event):
        """Return the log lines with that event."""
        return [line for line in self.lines if line["event"] == event]

    async def wait_until(self, condition, timeout):
        """Wait for a condition; return whether it held within `timeout` seconds."""
        deadline = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.01)
        return True

    async def drive(self, process, entries):
        """Take the front from its start through the reload and the drain to its exit."""
        began = time.monotonic()
        if not await self.wait_until(
            lambda: self.logged("ready") or process.returncode is not None, READY_WITHIN_S
        ):
            self.broken.append("not ready")
        if not self.logged("ready"):
            self.broken.append(f"no start, exit {process.returncode}")
            return
        self.ready_s = time.monotonic() - began
        listen = self.logged("ready")[0]["listen"]
        self.clients = [Client(listen, number) for number in (1, 2)]
        running = [asyncio.create_task(client.run()) for client in self.clients]
        await asyncio.sleep(0.3)
        # The new configuration moves discovery; only the new directory announces the drain.
        self.new_directory.serial, self.new_directory.entries = 9, dict(self.directory.entries)
        self.write_config(entries, self.new_directory)
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.new_directory.serial = 10
        self.new_directory.entries = dict(self.new_directory.entries) | {
            "birch": (self.engines["birch"].port, True)
        }
        if not await self.wait_until(lambda: 10 in self.new_directory.first_sent, 1.5):
            self.broken.append("drain: the directory that discovery was moved to was not asked in 1.5 s")
        await asyncio.sleep(DRAIN_GRACE_S)
        before = self.count_posts("birch")
        await asyncio.sleep(0.3)
        if self.count_posts("birch") > before:
            self.broken.append("drain: sent to a draining engine after the grace")
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        for client in self.clients:
            client.stopped = True
        await asyncio.wait(running, timeout=WAIT_LIMIT_S + 1.0)
        try:
            async with asyncio.timeout(EXIT_WITHIN_S):
                if await process.wait():
                    self.broken.append(f"exit code {process.returncode}")
        except TimeoutError:
            self.broken.append("no end after SIGTERM")
        for task in running:
            task.cancel()

    def count_posts(self, name):
        """Return how many POSTs an engine has received."""
        return sum(verb == "POST" for verb, _, _ in self.engines[name].calls)

    def check(self):
        """Check the log, the engines' records and each client's answers."""
        counts_file = self.folder / "counts.json"
        self.counts = json.loads(counts_file.read_text()) if counts_file.exists() else {}
        # The event loop closes its own sockets and logs a failing close as an unhandled exception.
        harmless = {"unforeseen failed"} if self.call == "close" else set()
        events = [line["event"] for line in self.lines if line["event"].endswith("failed")]
        failures = Counter(event for event in events if event not in harmless)
        if failures:
            reason = next(line["why"] for line in self.lines if line["event"].endswith("failed"))
            self.broken.append(f"parts failed: {dict(failures)}: {reason}")
        starts = Counter()
        for engine in self.engines.values():
            starts.update(f["x-txn"] for verb, f, _ in engine.calls if verb == "POST")
        for client in getattr(self, "clients", ()):
            self.check_client(client, starts)

    def check_client(self, client, starts):
        """Check that each request has one answer, and that no once-only query was started twice."""
        aborted_unanswered = 0
        for number, txn, query_class in client.submitted:
            answers = client.answers[number]
            self.requests += 1
            self.answers["cut" if number in client.aborted and not answers else len(answers)] += 1
            self.refused += any("error" in answer for answer in answers)
            if len(answers) > 1:
                self.broken.append("1: a second answer")
            if not answers and number not in client.aborted:
                self.broken.append("1: no answer")
            aborted_unanswered += not answers and number in client.aborted
            if query_class == "pay" and starts[txn] > 1:
                self.broken.append("2: a once-only query was started twice")
        if aborted_unanswered and not (self.error in FATAL and self.call in ("send", "recv_into")):
            self.broken.append("1: a connection was ended with requests open on it")


def describe(run):
    """Return a failed run as it is printed among the figures."""
    return {
        "call": run.call,
        "error": run.error,
        "number": run.numbers,
        "broken": sorted(set(run.broken)),
    }


async def run_one(folder, slots, call, error, numbers):
    """Run one case in a folder of its own, once a slot is free."""
    async with slots:
        with tempfile.TemporaryDirectory(dir=folder) as run_folder:
            return await FailureRun(run_folder, call, error, numbers).run()


def plan_sweep(counts, chance, share, all_errors):
    """Return (call, error, number) for each occurrence of each call, or for the share that the seed draws.

    `counts` holds how often each call is made in a run without failures.
    """
    plan = []
    for call, errors in ERRORS.items():
        for number in range(1, counts.get(call, 0) + 1):
            chosen = errors if all_errors else (errors[number % len(errors)],)
            plan += [(call, error, number) for error in chosen]
    return [case for case in plan if chance.share(*case) < share]


async def run_sweep(seed, share, all_errors):
    """Run the baseline and the planned cases; return the broken rules and the figures."""
    chance = Chance(seed)
    with tempfile.TemporaryDirectory() as folder:
        slots = asyncio.Semaphore(MAX_CONCURRENT_RUNS)
        baseline = await run_one(folder, slots, *NO_FAILURE)
        plan = plan_sweep(baseline.counts, chance, share, all_errors)
        runs = await asyncio.gather(*(run_one(folder, slots, *case) for case in plan))
    failed_runs = [describe(run) for run in (baseline, *runs) if run.broken]
    answers = sum((run.answers for run in runs), Counter())
    figures = {
        "plays": len(runs),
        "calls": baseline.counts,
        "requests": sum(run.requests for run in runs),
        "answers": {str(number): count for number, count in sorted(answers.items(), key=str)},
        "no_result": sum(run.refused for run in runs),
        "ready_most_s": round(max((run.ready_s or 0.0 for run in runs), default=0.0), 2),
        "broken_plays": failed_runs,
    }
    return sorted({rule for run in failed_runs for rule in run["broken"]}), figures


@click.command()
@click.option("--seed", default=1)
@click.option("--share", default=1.0, help="The part of all runs that is played.")
@click.option("--all", "all_errors", is_flag=True, help="Each number of each call with each error.")
@click.option("--only", help="One run: CALL:ERROR:NUMBER.")
def main(seed, share, all_errors, only):
    if only:
        call, error, number = only.split(":")
        with tempfile.TemporaryDirectory() as folder:
            run = asyncio.run(run_one(folder, asyncio.Semaphore(1), call, error, number))
        for line in run.lines:
            print(json.dumps(line))
        report_and_exit(
            "system_calls", seed, run.broken, {"answers": {str(k): v for k, v in run.answers.items()}}
        )
    broken, figures = asyncio.run(run_sweep(seed, share, all_errors))
    report_and_exit("system_calls", seed, broken, figures)


if __name__ == "__main__":
    main()
