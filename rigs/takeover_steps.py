"""Each step of a batch's life, and its front killed or stopped just there: what its client hears at another
front, what the engine ran.

`python -m rigs.takeover_steps` plays every step with every fault, once-only batches on five processes, and
prints the table; `--faults kill` and `--steps NAME` narrow it.
"""

import asyncio
import json
import signal
import socket
from base64 import b64decode, b64encode
from contextlib import suppress
from itertools import count

import click

from rigs.fleet import Fleet
from rigs.verdict import Chance, close
from thistlelever.standins.configuration import GROUP, SETTINGS
from thistlelever.takeover.placement import Placement
from thistlelever.wire import peers, work
from thistlelever.wire.work import RunState, Verb

LIMIT, KEEP, PATIENCE, RUNS_FOR = 2.5, 0.5, 0.7, 0.4
# A place knows all that it should only once a life is older than its records.
GROWN = 2 * LIMIT + KEEP
FAULTS = {"kill": 0.0, "stop 1 s": 1.0, "stop 3 s": 3.0}
TIER = "steps"
PAGES = 8
ROWS = "".join(f"{n:03d}\t{'x' * 50}\t\n" for n in range(820))


def settings():
    told = json.loads(json.dumps(SETTINGS))
    limit = {"Deadline": int(LIMIT * 1e6), "Slo": int(LIMIT * 1e6)}
    told["Classes"] = [
        GROUP | limit,
        GROUP | limit | {"Name": "load", "Idempotency": "by_key"},
        GROUP | limit | {"Name": "pay", "Idempotency": "once"},
    ]
    return told


class Case:
    """One batch, the step at which its front is hit, and what came of it."""

    def __init__(self, step, fault, mark, txns):
        self.step, self.fault, self.mark, self.txns = step, fault, mark, txns
        self.hit, self.runs, self.calls, self.first, self.second = asyncio.Event(), 0, 0, "", ""


class Yard:
    """The fleet, its one engine, and the case that is being played."""

    def __init__(self, fleet):
        self.fleet, self.owner, self.other = fleet, fleet.fronts[0], fleet.fronts[1]
        self.engine = fleet.engines["e-0"]
        self.engine.drops_after, self.engine.run_statement = 2.0, self.work
        self.engine.result, self.act = lambda statement: ROWS, self.engine.act
        self.engine.act = self.call
        self.relay, self.case = self.owner.relays["e-0"], None
        fleet.wire.takes = self.datagram
        self.placement = Placement(tuple(f.known_as for f in fleet.fronts), 3)
        self.numbers, self.marks, self.real = count(1), count(1), self.relay.carry
        self.relay.carry = self.bytes_there

    def mark(self):
        """One whose places are neither the owner, which comes and goes, nor the front that is asked next."""
        away = {self.owner.known_as, self.other.known_as}
        return next(
            m
            for m in (f"{n:032x}" for n in self.marks)
            if not away & set(self.placement.replicas_for(bytes.fromhex(m)))
        )

    def reaches(self, step):
        """The batch has come to a step: where it is this case's, the fault comes now."""
        case = self.case
        if case and case.step == step and not case.hit.is_set():
            case.hit.set()
            self.owner.signal(signal.SIGKILL if case.fault == "kill" else signal.SIGSTOP)
            return True
        return False

    async def work(self, txn, statement):
        if self.case and txn in self.case.txns:
            self.case.runs += 1
        await asyncio.sleep(RUNS_FOR)

    async def call(self, writer, call, fields, path, body):
        """Each call that the engine gets, before it answers."""
        txn = fields.get("x-txn") or (path.split("/") + ["", ""])[2]
        if self.case and txn == self.case.txns[0]:
            self.case.calls += 1
            if call == "POST":
                self.reaches("after the request")
            elif call == "GET0":
                self.reaches("a poll is out")
            elif call == "GET2":
                self.reaches("after page 1")
            elif call == f"GET{PAGES - 1}":
                asyncio.get_running_loop().call_later(0.003, self.reaches, "after the last page")
        return await self.act(writer, call, fields, path, body)

    async def bytes_there(self, reader, writer, left):
        """The owner's way to the engine: held up where the fault comes before the request is whole."""
        if self.case and self.case.step == "mid-request" and not self.case.hit.is_set():
            with suppress(ConnectionError):
                data = await reader.read(65_536)
                if data.startswith(b"POST"):
                    writer.write(data[:40])
                    self.reaches("mid-request")
                    await asyncio.sleep(max(FAULTS[self.case.fault], 0.01))
                    data = data[40:]
                writer.write(data)
        await self.real(reader, writer, left)

    def datagram(self, sender, target, data):
        """Whether a datagram between fronts is lost, as the step wants it."""
        case = self.case
        if not case or self.owner.place not in (sender, target):
            return False
        protocol, body = peers.decode_frame(data, peers.tag(TIER))
        if protocol != work.WORK:
            return False
        if case.hit.is_set():
            return False
        for message in work.decode(body):
            if message.key != bytes.fromhex(case.mark):
                continue
            sends, state = sender == self.owner.place, message.value and message.value.state
            if sends and message.verb is Verb.CLAIM and case.step.startswith("claim"):
                return case.step == "claim lost" and self.reaches("claim lost")
            if sends and message.verb is Verb.PUT and state is RunState.OUT and case.step.startswith("word"):
                return case.step == "word lost" and self.reaches("word lost")
            if not sends and message.verb is Verb.YES:
                self.reaches("claim not acknowledged" if message.lease_ms else "word not acknowledged")
            if sends and message.verb is Verb.PUT and state is RunState.RETURNED and not message.lease_ms:
                return self.reaches("before it is taken back")
        return False

    async def without_disks(self):
        """All places of a mark without a file that can be written: its record is kept all the same."""
        for front in self.fleet.fronts[2:]:
            await front.stop()
            await front.start(diskless=True)
        await asyncio.gather(self.fleet.agree(10.0), asyncio.sleep(GROWN + 0.3))

    async def play(self, step, fault):
        mark = self.mark()
        txns = [f"{next(self.numbers):016x}" for _ in range(3)]
        case = self.case = Case(step, fault, mark, txns)
        half = step == "answer half written"
        # A kept connection is past the place where its bytes are looked at.
        self.relay.break_all()
        await asyncio.sleep(0.02)
        first = asyncio.create_task(self.submit(self.owner, txns[0], mark, half))
        async with asyncio.timeout(8):
            if half:
                # The result is in, and more of it is written than the client's side takes.
                while not self.got(f"GET{PAGES - 1}", txns[0]):
                    await asyncio.sleep(0.005)
                await asyncio.sleep(0.03)
                self.reaches(step)
            await case.hit.wait()
        woken = None
        if fault == "kill":
            await self.owner.process.wait()
            await asyncio.sleep(0.05)
        else:
            woken = asyncio.create_task(self.wake(FAULTS[fault]))
            await asyncio.sleep(PATIENCE)
        case.second = await self.submit(self.other, txns[1], mark, again=True)
        if case.second == "not known" and fault != "kill":
            await asyncio.sleep(0.3)
        if woken:
            await woken
        if half:
            self.reading.set()
        case.first = await asyncio.wait_for(first, 8)
        await asyncio.sleep(0.1)
        self.case = None
        if fault == "kill":
            await self.owner.start()
        await self.fleet.agree(6.0)
        # A front that was stopped gives batches less time until its lag is past.
        await asyncio.sleep(0.3 * FAULTS[fault])
        return case

    def got(self, call, txn):
        return self.case.calls >= 2 and any(c == call for c, _, _ in self.engine.calls[-40:])

    async def wake(self, seconds):
        await asyncio.sleep(seconds)
        self.owner.signal(signal.SIGCONT)

    async def submit(self, front, txn, mark, half=False, again=False):
        raw = socket.socket()
        if half:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        raw.setblocking(False)
        await asyncio.get_running_loop().sock_connect(raw, (front.host, front.port))
        reader, writer = await asyncio.open_connection(sock=raw, limit=2_048 if half else 2**20)
        params = {
            "id": txn,
            "wait": LIMIT * 1e3,
            "tenant": "acme",
            "need_mb": 4,
            "cost": RUNS_FOR * 1e3,
            "once": mark,
            "bytes": b64encode(b"insert into sales_17.orders").decode(),
        }
        params |= {"retry": "1"} if again else {}
        call = {"jsonrpc": "2.0", "id": 1, "method": "pay", "params": params}
        writer.write(json.dumps(call).encode() + b"\n")
        if half:
            self.reading = asyncio.Event()
            await self.reading.wait()
        found = bytearray()
        with suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(LIMIT + 4):
                while not found.endswith(b"\n") and (data := await reader.read(65_536)):
                    found += data
        writer.close()
        if not found.endswith(b"\n"):
            return "cut off" if found else "nothing"
        lines = [json.loads(line) for line in found.splitlines()]
        if len(lines) > 1:
            return "two answers"
        if "result" in lines[0]:
            whole = b64decode(lines[0]["result"]["bytes"]) == ROWS.encode()
            return "the outcome" if whole else "another's rows"
        return "harmless" if lines[0]["error"]["code"] == -32001 else "not known"


STEPS = (
    "claim lost",
    "claim not acknowledged",
    "word lost",
    "word not acknowledged",
    "mid-request",
    "after the request",
    "a poll is out",
    "after page 1",
    "after the last page",
    "answer half written",
    "before it is taken back",
)
# Where the batch's fate is known, the client that comes back has to hear it.
KNOWN = STEPS[5:]


def judged(case):
    """What is wrong with a case."""
    wrong = []
    if case.runs > 1:
        wrong.append("2: ran twice")
    if "two answers" in (case.first, case.second):
        wrong.append("1: two answers")
    if "another's rows" in (case.first, case.second):
        wrong.append("1: rows of another run")
    if case.second == "nothing" or case.first == "nothing" and case.fault != "kill":
        wrong.append("1: no answer")
    if case.second == "harmless" and case.runs:
        wrong.append("2: told harmless, yet it ran")
    if case.step in KNOWN and case.second != "the outcome":
        wrong.append("the outcome is known, and not told")
    return wrong


async def played(steps, faults):
    sections = {"membership": {"tier": TIER}, "takeover": {"keep_s": KEEP}}
    async with Fleet(Chance(1), 5, 1, sections, settings()) as fleet:
        yard, cases, broken = Yard(fleet), [], []
        await asyncio.gather(fleet.agree(10.0), asyncio.sleep(GROWN + 0.3))
        for fault in faults:
            for step in steps:
                case = await yard.play(step, fault)
                cases.append(case)
                broken += [f"{step}, {fault}: {why}" for why in judged(case)]
                print(
                    f"{fault:10} {step:26} ran {case.runs}  there: {case.first:12} back: {case.second}",
                    flush=True,
                )
        await yard.without_disks()
        case = await yard.play("after the request", "kill")
        print(f"kill       {'places without disks':26} ran {case.runs}  back: {case.second}", flush=True)
        broken += [f"places without disks: {why}" for why in judged(case)]
        return broken, [*cases, case]


@click.command()
@click.option("--seed", default=1, help="As the other rigs have it; each fault comes at its step.")
@click.option("--steps", type=click.Choice(STEPS), multiple=True)
@click.option("--faults", type=click.Choice(sorted(FAULTS)), multiple=True)
def main(seed, steps, faults):
    broken, cases = asyncio.run(played(steps or STEPS, faults or FAULTS))
    close("takeover_steps", seed, broken, {"cases": len(cases), "ran": sum(c.runs for c in cases)})


if __name__ == "__main__":
    main()
