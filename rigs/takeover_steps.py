"""Kills or stops a front at each step of a batch; checks the answer at another front and the engine's runs.

`python -m rigs.takeover_steps` combines every step with every fault, with batches that must not run twice on
five processes, and prints a table; `--faults kill` and `--steps NAME` restrict it.
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
from rigs.results import Chance, report_and_exit
from thistlelever.standins.configuration import GROUP, SETTINGS
from thistlelever.takeover.placement import Placement
from thistlelever.wire import peers, work
from thistlelever.wire.work import RunState, Verb

TIME_LIMIT_S, RETENTION_S, RESUBMIT_S, RUN_S = 2.5, 0.5, 0.7, 0.4
# A replica is complete only when it has run for longer than its records are kept.
REPLICAS_COMPLETE_S = 2 * TIME_LIMIT_S + RETENTION_S
# How long the front is stopped, in seconds; a kill ends it.
FAULTS = {"kill": 0.0, "stop 1 s": 1.0, "stop 3 s": 3.0}
TIER = "steps"
PAGES = 8
ROWS = "".join(f"{n:03d}\t{'x' * 50}\t\n" for n in range(820))


def settings():
    """Returns the settings that the directory gives to the fronts."""
    changed = json.loads(json.dumps(SETTINGS))
    limit = {"Deadline": int(TIME_LIMIT_S * 1e6), "Slo": int(TIME_LIMIT_S * 1e6)}
    changed["Classes"] = [
        GROUP | limit,
        GROUP | limit | {"Name": "load", "Idempotency": "by_key"},
        GROUP | limit | {"Name": "pay", "Idempotency": "once"},
    ]
    return changed


class Case:
    """One batch, the step at which the fault is injected, and the answers at the first and second front."""

    def __init__(self, step, fault, key, txns):
        self.step, self.fault, self.key, self.txns = step, fault, key, txns
        self.hit, self.runs, self.calls, self.first, self.second = asyncio.Event(), 0, 0, "", ""


class Environment:
    """The fleet, its one engine, and the current case.

    Hooks into the engine, the relay of the owner and the network detect when the batch reaches a step.
    """

    def __init__(self, fleet):
        self.fleet, self.owner, self.other = fleet, fleet.fronts[0], fleet.fronts[1]
        self.engine = fleet.engines["e-0"]
        self.engine.drops_after, self.engine.run_statement = 2.0, self.work
        self.engine.result, self.engine_act = lambda statement: ROWS, self.engine.act
        self.engine.act = self.observe_call
        self.relay, self.case = self.owner.relays["e-0"], None
        fleet.network.takes = self.drops_datagram
        self.placement = Placement(tuple(f.known_as for f in fleet.fronts), 3)
        self.numbers, self.keys, self.relay_connection = count(1), count(1), self.relay.carry
        self.relay.carry = self.relay_bytes

    def new_key(self):
        """Returns a key whose replicas are neither the owner, which is restarted, nor the second front."""
        excluded = {self.owner.known_as, self.other.known_as}
        return next(
            m
            for m in (f"{n:032x}" for n in self.keys)
            if not excluded & set(self.placement.replicas_for(bytes.fromhex(m)))
        )

    def reach(self, step):
        """Injects the fault if this is the step of the case; returns whether it did."""
        case = self.case
        if case and case.step == step and not case.hit.is_set():
            case.hit.set()
            self.owner.signal(signal.SIGKILL if case.fault == "kill" else signal.SIGSTOP)
            return True
        return False

    async def work(self, txn, statement):
        """Runs a statement and counts the runs of the case; called by the fake engine."""
        if self.case and txn in self.case.txns:
            self.case.runs += 1
        await asyncio.sleep(RUN_S)

    async def observe_call(self, writer, call, fields, path, body):
        """Handles a call at the engine and detects the steps between calls."""
        txn = fields.get("x-txn") or (path.split("/") + ["", ""])[2]
        if self.case and txn == self.case.txns[0]:
            self.case.calls += 1
            if call == "POST":
                self.reach("after the request")
            elif call == "GET0":
                self.reach("a poll is out")
            elif call == "GET2":
                self.reach("after page 1")
            elif call == f"GET{PAGES - 1}":
                asyncio.get_running_loop().call_later(0.003, self.reach, "after the last page")
        return await self.engine_act(writer, call, fields, path, body)

    async def relay_bytes(self, reader, writer, left):
        """Relays the owner's connection to the engine; `mid-request` first forwards a part of the request."""
        if self.case and self.case.step == "mid-request" and not self.case.hit.is_set():
            with suppress(ConnectionError):
                data = await reader.read(65_536)
                if data.startswith(b"POST"):
                    writer.write(data[:40])
                    self.reach("mid-request")
                    await asyncio.sleep(max(FAULTS[self.case.fault], 0.01))
                    data = data[40:]
                writer.write(data)
        await self.relay_connection(reader, writer, left)

    def drops_datagram(self, sender, target, data):
        """Whether a datagram between fronts is dropped for the current step; detects steps of takeover."""
        case = self.case
        if not case or self.owner.place not in (sender, target):
            return False
        protocol, body = peers.decode_frame(data, peers.tag(TIER))
        if protocol != work.WORK:
            return False
        if case.hit.is_set():
            return False
        for message in work.decode(body):
            if message.key != bytes.fromhex(case.key):
                continue
            sends, state = sender == self.owner.place, message.value and message.value.state
            if sends and message.verb is Verb.CLAIM and case.step.startswith("claim"):
                return case.step == "claim lost" and self.reach("claim lost")
            if sends and message.verb is Verb.PUT and state is RunState.OUT and case.step.startswith("word"):
                return case.step == "word lost" and self.reach("word lost")
            if not sends and message.verb is Verb.YES:
                self.reach("claim not acknowledged" if message.lease_ms else "word not acknowledged")
            if sends and message.verb is Verb.PUT and state is RunState.RETURNED and not message.lease_ms:
                return self.reach("before it is taken back")
        return False

    async def restart_diskless(self):
        """Restarts all replicas without writable files, to check that records do not depend on files."""
        for front in self.fleet.fronts[2:]:
            await front.stop()
            await front.start(diskless=True)
        await asyncio.gather(self.fleet.agree(10.0), asyncio.sleep(REPLICAS_COMPLETE_S + 0.3))

    async def play(self, step, fault):
        """Runs one case and returns it; raises TimeoutError when its step is not reached within 8 s."""
        key = self.new_key()
        txns = [f"{next(self.numbers):016x}" for _ in range(3)]
        case = self.case = Case(step, fault, key, txns)
        slow_reader = step == "answer half written"
        # Only the first bytes of a connection pass the hook, so that open connections are closed first.
        self.relay.break_all()
        await asyncio.sleep(0.02)
        first = asyncio.create_task(self.submit(self.owner, txns[0], key, slow_reader))
        async with asyncio.timeout(8):
            if slow_reader:
                # The result has arrived, and more of it was written than the client's buffers take.
                while not self.was_called(f"GET{PAGES - 1}", txns[0]):
                    await asyncio.sleep(0.005)
                await asyncio.sleep(0.03)
                self.reach(step)
            await case.hit.wait()
        resuming = None
        if fault == "kill":
            await self.owner.process.wait()
            await asyncio.sleep(0.05)
        else:
            resuming = asyncio.create_task(self.resume_owner(FAULTS[fault]))
            await asyncio.sleep(RESUBMIT_S)
        case.second = await self.submit(self.other, txns[1], key, is_retry=True)
        if case.second == "not known" and fault != "kill":
            await asyncio.sleep(0.3)
        if resuming:
            await resuming
        if slow_reader:
            self.reading.set()
        case.first = await asyncio.wait_for(first, 8)
        await asyncio.sleep(0.1)
        self.case = None
        if fault == "kill":
            await self.owner.start()
        await self.fleet.agree(6.0)
        # A front that was stopped reduces the time of batches until its measured lag has decreased.
        await asyncio.sleep(0.3 * FAULTS[fault])
        return case

    def was_called(self, call, txn):
        """Whether the engine has received a call recently."""
        return self.case.calls >= 2 and any(c == call for c, _, _ in self.engine.calls[-40:])

    async def resume_owner(self, seconds):
        """Continues the stopped owner after some seconds."""
        await asyncio.sleep(seconds)
        self.owner.signal(signal.SIGCONT)

    async def submit(self, front, txn, key, slow_reader=False, is_retry=False):
        raw = socket.socket()
        if slow_reader:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        raw.setblocking(False)
        await asyncio.get_running_loop().sock_connect(raw, (front.host, front.port))
        reader, writer = await asyncio.open_connection(sock=raw, limit=2_048 if slow_reader else 2**20)
        params = {
            "id": txn,
            "wait": TIME_LIMIT_S * 1e3,
            "tenant": "acme",
            "need_mb": 4,
            "cost": RUN_S * 1e3,
            "once": key,
            "bytes": b64encode(b"insert into sales_17.orders").decode(),
        }
        params |= {"retry": "1"} if is_retry else {}
        call = {"jsonrpc": "2.0", "id": 1, "method": "pay", "params": params}
        writer.write(json.dumps(call).encode() + b"\n")
        if slow_reader:
            self.reading = asyncio.Event()
            await self.reading.wait()
        found = bytearray()
        with suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(TIME_LIMIT_S + 4):
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
# From these steps on the outcome is known to the replicas, and a resubmission must return it.
STEPS_WITH_KNOWN_OUTCOME = STEPS[5:]


def check_case(case):
    """Returns the rules that a case breaks."""
    broken = []
    if case.runs > 1:
        broken.append("2: ran twice")
    if "two answers" in (case.first, case.second):
        broken.append("1: two answers")
    if "another's rows" in (case.first, case.second):
        broken.append("1: rows of another run")
    if case.second == "nothing" or case.first == "nothing" and case.fault != "kill":
        broken.append("1: no answer")
    if case.second == "harmless" and case.runs:
        broken.append("2: told harmless, yet it ran")
    if case.step in STEPS_WITH_KNOWN_OUTCOME and case.second != "the outcome":
        broken.append("the outcome is known, and not told")
    return broken


async def run_cases(steps, faults):
    """Runs all cases on one fleet; returns the broken rules and the cases."""
    sections = {"membership": {"tier": TIER}, "takeover": {"keep_s": RETENTION_S}}
    async with Fleet(Chance(1), 5, 1, sections, settings()) as fleet:
        environment, cases, broken = Environment(fleet), [], []
        await asyncio.gather(fleet.agree(10.0), asyncio.sleep(REPLICAS_COMPLETE_S + 0.3))
        for fault in faults:
            for step in steps:
                case = await environment.play(step, fault)
                cases.append(case)
                broken += [f"{step}, {fault}: {why}" for why in check_case(case)]
                print(
                    f"{fault:10} {step:26} ran {case.runs}  there: {case.first:12} back: {case.second}",
                    flush=True,
                )
        await environment.restart_diskless()
        case = await environment.play("after the request", "kill")
        print(f"kill       {'places without disks':26} ran {case.runs}  back: {case.second}", flush=True)
        broken += [f"places without disks: {why}" for why in check_case(case)]
        return broken, [*cases, case]


@click.command()
@click.option("--seed", default=1, help="As the other rigs have it; each fault comes at its step.")
@click.option("--steps", type=click.Choice(STEPS), multiple=True)
@click.option("--faults", type=click.Choice(sorted(FAULTS)), multiple=True)
def main(seed, steps, faults):
    broken, cases = asyncio.run(run_cases(steps or STEPS, faults or FAULTS))
    report_and_exit("takeover_steps", seed, broken, {"cases": len(cases), "ran": sum(c.runs for c in cases)})


if __name__ == "__main__":
    main()
