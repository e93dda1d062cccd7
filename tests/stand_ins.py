"""Stand-ins on loopback for what a front talks to, and the stage that a scenario plays them on."""

import asyncio
import json
import os
import signal
import socket
import struct
from base64 import b64decode, b64encode
from collections import defaultdict, deque
from contextlib import suppress

from thistlelever.carrier import directory
from thistlelever.lifecycle import papers, run

GROUP = {
    "Name": "lookup", "Value": 1.0, "LateShare": 0.1, "Slo": 2000000, "AimStretch": 2.0, "Deadline": 4000000,
    "Idempotency": "repeatable", "DedupScope": "all", "Window": 5000000,
}
SETTINGS = {
    "Balancers": 1, "MyZone": 0, "OverShareWorth": 0.2, "Tick": 5000, "Weights": "nominal",
    "RegistryMode": "pushed", "FailureDomains": ["nord", "sud"], "Kinds": ["std"],
    "Classes": [GROUP, GROUP | {"Name": "load", "Idempotency": "by_key"}, GROUP | {
        "Name": "pay", "Idempotency": "once"}],
    "Parties": [{"Name": "acme", "QuotaPerS": 62.0}],
    "FamilyInfo": {
        "GrantCap": 0.4, "HoldsTables": [False, True, False], "KindCores": [16], "MemoryByKindMb": [32768.0],
        "MemoryHeeded": True, "NotePeriod": 2000000, "OutOfMemory": "queue", "RanksHeeded": True,
        "SaysCost": True, "WidthByClass": [1, 2, 1], "YieldsToLoads": [False, False, False],
    },
    "Invariants": {"AnswerSlack": 20000, "ColdShare": 0.3, "DrainGrace": 250000, "Fall": 1000000,
                   "FallMultiple": 3.0, "WarmAfter": 14000000},
    "Limits": {"Cancelling": True, "ConnectTimeout": 250000, "Keepalive": 30000000, "MaxAttempts": 2,
               "MaxRetryAfter": 1000000, "ParallelTries": False, "Probes": True, "RetryAfter": True},
    "Prices": {"CrossZone": 0.0, "Probe": 0.01},
    "Telemetry": {"Fields": ["inflight", "util"], "How": "piggyback"},
}
TXN = "0000000000000000"
LONGEST_WAIT = 8.0


def configuration(entries=(), dns="127.0.0.1:9", settings=SETTINGS):
    instances = [{"instanceId": name, "hostPort": address, "zone": "nord", "machineType": "std", "cell": 1,
                  "lifecycle": "Ready", "weight": 4, "startedAtMs": 0} for name, address in entries]
    return {"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f", "dns": dns, "limits": {"sockets": 1024},
            "known": {"pos": 3, "entries": [{"pos": 1, "hosts": {"instances": instances}}]},
            "settings": json.loads(json.dumps(settings))}


def label(name):
    return b"".join(bytes((len(part),)) + part.encode() for part in name.split("."))


def dns_answer(number, serial, entries):
    """A whole list; targets are compressed against the question's name."""
    head = struct.pack(">HHHHHH", number, 0x8400, 1, len(entries), 1, 2 * len(entries))
    question = label(directory.NAME) + b"\0" + struct.pack(">HH", 33, 1)
    pointer = b"\xc0\x0c"

    def record(owner, kind, data):
        return owner + struct.pack(">HHIH", kind, 1, 0, len(data)) + data

    answer, more = b"", b""
    for name, (port, draining) in entries.items():
        target = label(f"{name}.nord.hosts") + b"\0"
        answer += record(pointer, 33, struct.pack(">HHH", int(draining), 40, port) + target)
        texts = b"".join(bytes((len(t),)) + t for t in (b"kind=std", b"cell=2", b"started=0"))
        more += record(target, 1, bytes((127, 0, 0, 1))) + record(target, 16, texts)
    soa = record(pointer, 6, b"\0\0" + struct.pack(">IIIII", serial, 0, 0, 0, 0))
    return head + question + answer + soa + more


def unescaped(words):
    return " ".join(words).encode().decode("unicode_escape").encode("latin-1")


def rows(*words):
    """Each word a row of three columns, `_` between."""
    return "".join("\t".join((word.split("_") + ["", ""])[:3]) + "\n" for word in words)


class Engine:
    """Answers each call by what its script says next for it, else as a healthy engine."""

    def __init__(self, stir):
        self.stir, self.steps, self.calls = stir, defaultdict(deque), []
        self.holds = False
        self.released, self.writers, self.connections = asyncio.Event(), [], 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.append(writer)
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                verb, path, _ = head[0].split()
                fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                self.calls.append((verb + path.rpartition("/")[2] if verb == "GET" else verb, fields, body))
                self.stir.set()
                if not await self.act(writer, self.calls[-1][0]):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def act(self, writer, call):
        if call == "POST" and self.holds:
            await self.released.wait()
        steps = self.steps[call]
        usual = {"POST": ["200", "Chunks=1", "body=rows"], "DELETE": ["204"], "PUT": ["204"]}
        what, *words = steps.popleft() if steps else usual.get(call, ["200"])
        if what == "hold":
            await self.released.wait()
            what, *words = words
        if what == "reset":
            writer.transport.abort()
            return False
        if what == "raw":
            writer.write(unescaped(words))
        elif what != "silent":
            pairs = dict(word.split("=", 1) for word in words)
            body = rows(pairs.pop("body")) if "body" in pairs else ""
            head = "".join(f"{name}: {value}\r\n" for name, value in pairs.items())
            length = "" if what == "204" else f"Content-Length: {len(body)}\r\n"
            writer.write(f"HTTP/1.1 {what} X\r\n{head}{length}\r\n{body}".encode())
        return True

    def hang_up(self):
        for writer in self.writers:
            writer.close()
        self.writers.clear()


class Directory(asyncio.DatagramProtocol):
    """Answers each query with its list, or as its steps say: lost, fails, cut, foreign, older."""

    def __init__(self, stir):
        self.stir, self.serial, self.entries, self.asked, self.numbers = stir, 3, {}, 0, []
        self.steps = deque()

    def connection_made(self, transport):
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data, address):
        number, step = int.from_bytes(data[:2], "big"), self.steps.popleft() if self.steps else ""
        self.numbers.append(number)
        self.asker = address
        serial, entries = (1, {}) if step == "older" else (self.serial, self.entries)
        answer = dns_answer(number ^ (step == "foreign"), serial, entries)
        if step == "fails":
            answer = answer[:3] + bytes((answer[3] | 2,)) + answer[4:]
        if step != "lost":
            self.transport.sendto(answer[:len(answer) // 2] if step == "cut" else answer, address)
        self.asked += 1
        self.stir.set()


class Stage:
    """One front, run in this process, with its stand-ins."""

    def __init__(self):
        self.stir, self.engines, self.answers, self.events = asyncio.Event(), {}, [], []
        self.settings, self.office, self.running = json.loads(json.dumps(SETTINGS)), None, None
        self.crowd, self.config = [], {}

    async def until(self, holds):
        """Looks again whenever something happens; what never comes fails."""
        async with asyncio.timeout(LONGEST_WAIT):
            while not holds():
                self.stir.clear()
                await self.stir.wait()

    def log(self, event, **facts):
        self.events.append((event, facts))
        self.stir.set()

    async def line(self, verb, *words):
        await getattr(self, "do_" + verb)(*words)

    async def do_settings(self, path, value):
        part, *rest = path.split(".")
        place = self.settings
        for step in rest:
            place, part = place[int(part) if part.isdigit() else part], step
        place[int(part) if part.isdigit() else part] = json.loads(value)

    async def do_engine(self, name):
        self.engines[name] = Engine(self.stir)
        await self.engines[name].start()

    async def do_holds(self, name):
        self.engines[name].holds = True

    async def do_dead(self, name):
        self.engines[name].server.close()

    async def do_on(self, name, call, *step):
        self.engines[name].steps[call].append(step)

    async def open_directory(self):
        _, self.directory = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Directory(self.stir), local_addr=("127.0.0.1", 0))
        self.directory.entries = {name: (engine.port, False) for name, engine in self.engines.items()}
        self.config["dns"] = f"127.0.0.1:{self.directory.port}"

    async def do_front(self, sockets="1024"):
        entries = [(name, f"127.0.0.1:{engine.port}") for name, engine in self.engines.items()]
        self.config = configuration(entries, settings=self.settings)
        await self.open_directory()
        told = papers.read(self.config, {})._replace(sockets=int(sockets))
        self.office = run.Office(told, self.log, lambda: papers.read(self.config, {}))
        self.running = asyncio.create_task(self.office.run())
        await self.until(lambda: any(event == "ready" for event, _ in self.events))
        listen = next(facts["listen"] for event, facts in self.events if event == "ready")
        self.reader, self.writer = await asyncio.open_connection(*listen, limit=2**20)
        self.hearing = asyncio.create_task(self.hear())

    async def hear(self):
        with suppress(ConnectionError):
            while line := await self.reader.readline():
                self.answers.append(json.loads(line))
                self.stir.set()

    async def do_submit(self, number, group, *words):
        self.writer.write(self.submission(number, group, *words))

    def submission(self, number, group, *words):
        facts = dict(word.split("=", 1) for word in words)
        table = facts.pop("table", "sales_17.orders")
        facts.setdefault("bytes", b64encode(f"select a from {table}".encode()).decode())
        params = {"id": f"{int(number):016x}", "wait": 3000, "tenant": "acme", "cost": 50.0, "need_mb": 10}
        for name, word in facts.items():
            params[name] = int(word) if word.isdigit() and name != "id" else word
            if word == "none":
                del params[name]
        call = {"jsonrpc": "2.0", "id": int(number), "method": group, "params": params}
        return json.dumps(call).encode() + b"\n"

    async def do_send(self, *words):
        self.writer.write(" ".join(words).replace("\\n", "\n").encode() + b"\n")
        await self.writer.drain()

    async def do_send_long(self, size):
        self.writer.write(b"x" * int(size))

    async def do_answer(self, number, kind, *words):
        number = None if number == "null" else int(number)
        await self.until(lambda: any(a.get("id") == number for a in self.answers))
        answer = next(a for a in self.answers if a.get("id") == number)
        self.answers.remove(answer)
        if kind == "result":
            assert b64decode(answer["result"]["bytes"]).decode() == rows(*words), answer
        elif kind == "value":
            assert answer["result"] == json.loads(" ".join(words)), answer
        else:
            assert answer["error"]["code"] == int(words[0]), answer
            assert " ".join(words[1:]) in answer["error"]["message"], answer

    async def do_no_answer(self, number):
        assert not any(a.get("id") == int(number) for a in self.answers), self.answers

    async def do_hung_up(self):
        async with asyncio.timeout(LONGEST_WAIT):
            await self.hearing

    async def do_client_leaves(self):
        self.writer.close()

    async def do_saw(self, name, call, *words):
        """The engine gets that call, with those fields."""
        fields = dict(word.lower().split("=", 1) for word in words)

        def found():
            return any(c == call and fields.items() <= f.items() for c, f, _ in self.engines[name].calls)

        await self.until(found)

    async def do_connections(self, name, most):
        assert self.engines[name].connections <= int(most), self.engines[name].connections

    async def do_limited(self, name, most):
        """The last dispatch was to wait so many milliseconds at most."""
        fields = [fields for call, fields, _ in self.engines[name].calls if call == "POST"][-1]
        assert int(fields["x-limit-ms"]) <= int(most), fields

    async def do_calls(self, name, call, count):
        calls = [c for c, _, _ in self.engines[name].calls]
        assert calls.count(call) == int(count), calls

    async def do_order(self, name, *calls):
        """The last calls that the engine got, as often as each came."""
        assert [c for c, _, _ in self.engines[name].calls][-len(calls):] == list(calls)

    async def do_one_got(self, *calls):
        """One engine got all calls, these in this order, and any other none."""
        made = [[c for c, _, _ in engine.calls] for engine in self.engines.values()]
        assert sorted(filter(None, made)) == [list(calls)], made

    async def do_volunteers(self, name, *words):
        """The engine sends what nobody asked for on its newest connection; the front has seen it."""
        kept = self.office.links.kept[name.encode()]
        seen = kept[-1].reading
        self.engines[name].writers[-1].write(unescaped(words))
        async with asyncio.timeout(LONGEST_WAIT):
            await asyncio.wait((seen,))

    async def do_at_ease(self, name):
        front = self.office.desk.front
        assert not front.doubt[front.index[name.encode()]]

    async def do_posted(self, name, count):
        await self.until(lambda: [c for c, _, _ in self.engines[name].calls].count("POST") >= int(count))

    async def do_release(self, name):
        self.engines[name].released.set()

    async def do_hangs_up(self, name):
        self.engines[name].hang_up()

    async def do_list(self, serial, *names):
        """The directory's list from now on, and two queries more, of which the second saw it whole."""
        self.directory.serial = int(serial)
        self.directory.entries = {
            name.strip("-"): (self.engines[name.strip("-")].port, name.endswith("-")) for name in names}
        asked = self.directory.asked
        await self.until(lambda: self.directory.asked >= asked + 2)

    async def do_directory(self, *steps):
        self.directory.steps.extend(steps)

    async def do_listed(self, *names):
        roll = self.office.roll
        await self.until(lambda: sorted(names) == sorted(
            e.id.decode() for e in roll.told() if roll.open_to(e.id)))

    async def do_lags(self, seconds):
        """As if the loop had just come so late; remembered for as long as the scenario lasts."""
        self.office.pulse.felt = lambda late: None
        self.office.pulse.lag = float(seconds)

    async def do_up(self, name):
        front = self.office.desk.front
        assert not front.down[front.index[name.encode()]]

    async def do_kept(self, count, name):
        assert len(self.office.links.kept.get(name.encode(), ())) == int(count)

    async def do_waiting(self, count):
        """So many calls wait for a connection."""
        await self.until(lambda: sum(map(len, self.office.links.waiting)) >= int(count))

    async def do_counted(self, *words):
        name = " ".join(words)
        await self.until(lambda: self.office.tally.counts[name] > 0)

    async def do_sighup(self, event, *words):
        """The configuration is read again; the log says so, with these words in what it says."""
        event = event.replace("_", " ")
        self.events.clear()
        os.kill(os.getpid(), signal.SIGHUP)
        await self.until(lambda: any(e == event and all(w in str(f) for w in words) for e, f in self.events))

    async def do_moves(self):
        """The directory is at another address from now on; the old one is still there and must not count."""
        self.old = self.directory
        await self.open_directory()

    async def do_old_says(self, serial):
        """The address that was left answers every query it ever got, with an empty list."""
        for number in self.old.numbers:
            self.old.transport.sendto(dns_answer(number, int(serial), {}), self.old.asker)
        asked = self.directory.asked
        await self.until(lambda: self.directory.asked >= asked + 2)

    async def do_config(self, path, value):
        place, *rest = path.split(".")
        self.config[place] = self.config[place] | {rest[0]: json.loads(value)} if rest else json.loads(value)

    async def do_crowd(self, count):
        """So many further clients connect and say nothing."""
        address = self.writer.get_extra_info("peername")
        self.crowd += [await asyncio.open_connection(*address) for _ in range(int(count))]

    async def do_places(self, count):
        """So many clients at once, whatever the descriptors allow."""
        self.office.reception.bounds = self.office.reception.bounds._replace(sessions=int(count))

    async def do_rush(self, count, silent):
        """In one moment so many clients connect with a batch each, behind them others that say nothing."""
        address = self.writer.get_extra_info("peername")
        socks = [socket.create_connection(address) for _ in range(int(count) + int(silent))]
        for n, sock in enumerate(socks[:int(count)], 500 + len(self.crowd)):
            sock.sendall(self.submission(n, "lookup"))
        self.crowd += [await asyncio.open_connection(sock=sock) for sock in socks]

    async def do_answered(self, count):
        """The first of the crowd get their rows."""
        async with asyncio.timeout(LONGEST_WAIT):
            for reader, _ in self.crowd[:int(count)]:
                assert "result" in json.loads(await reader.readline())

    async def do_crowd_closed(self, count):
        """The front closes so many of them, those that came first before others."""
        async with asyncio.timeout(LONGEST_WAIT):
            for reader, _ in self.crowd[:int(count)]:
                with suppress(ConnectionError):
                    assert not await reader.read()

    async def do_sigterm(self):
        os.kill(os.getpid(), signal.SIGTERM)
        await self.until(lambda: any(event == "stopping" for event, _ in self.events))

    async def do_stopped(self):
        async with asyncio.timeout(LONGEST_WAIT):
            await self.running
        assert not [name for name in self.office.tally.counts if name.startswith("broken")]

    async def end(self):
        for engine in self.engines.values():
            engine.server.close()
            engine.hang_up()
        if self.running and not self.running.done():
            self.office.stop.set()
            await self.running
        if self.office:
            for _, writer in [*self.crowd, (0, self.writer)]:
                writer.close()
            self.directory.transport.close()
            failures = [e for e in self.events if e[0].endswith("failed")]
            assert not failures, failures


async def played(lines):
    """Plays one scenario; the name of the line that failed goes with the failure."""
    stage, was = Stage(), (run.STILL_COMING, run.LONGEST_LIMIT, directory.PACE)
    run.STILL_COMING, run.LONGEST_LIMIT, directory.PACE = 0.05, 0.3, 0.05
    try:
        for line, words in lines:
            try:
                await stage.line(*words)
            except (AssertionError, TimeoutError) as why:
                seen = f"{stage.events} {stage.answers}"
                raise AssertionError(f"{line}: {' '.join(words)}: {why} {seen}") from why
    finally:
        await stage.end()
        run.STILL_COMING, run.LONGEST_LIMIT, directory.PACE = was
