"""Runs a front in this process with fakes on loopback for everything that it talks to, driven by scenario
steps."""

import asyncio
import json
import os
import signal
import socket
import sys
import tomllib
from base64 import b64decode, b64encode
from contextlib import asynccontextmanager, contextmanager, suppress
from pathlib import Path

from thistlelever.carrier import client_session, directory
from thistlelever.standins.directory import Directory, dns_answer
from thistlelever.standins.http_engine import Engine, rows, unescaped
from thistlelever.standins.configuration import SETTINGS, configuration
from thistlelever.ground import config as front_config
from thistlelever.lifecycle import run

TXN = "0000000000000000"
LONGEST_WAIT = 8.0
ROOT = Path(__file__).parents[1]
# Seconds within which dispatches to a draining engine must cease: 0.25 by the settings and 0.05 of tolerance.
DRAIN_GRACE = 0.3
LONGEST_START = 30.0


async def front_process(environ, module="thistlelever"):
    """Start a front in a process of its own, as operators start it; its log is its standard output.

    `module` replaces the program, for a front with injected faults.
    """
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    run = run.replace("-m thistlelever", f"-m {module}")
    return await asyncio.create_subprocess_shell(
        run.replace(".venv/bin/python", sys.executable),
        cwd=ROOT,
        env=os.environ | environ,
        stdout=asyncio.subprocess.PIPE,
    )


async def ready_line(process):
    """Return the log line that reports that a front's process is ready."""
    async with asyncio.timeout(LONGEST_START):
        line = {}
        while line.get("event") != "ready":
            line = json.loads(await process.stdout.readline())
    return line


@asynccontextmanager
async def ready_front(environ, module="thistlelever"):
    """Run a front in a process of its own; yield its listen address once it is ready. Kill it at the end."""
    process = await front_process(environ, module)
    try:
        yield (await ready_line(process))["listen"]
    finally:
        process.kill()
        await process.wait()


class Stage:
    """One front, run in this process, with its fake engines, directory and clients.

    Each `do_` method is a step of the scenario notation (`docs/scenarios.md`).
    """

    def __init__(self):
        self.changed, self.engines, self.answers, self.events = asyncio.Event(), {}, [], []
        self.settings, self.server, self.running = json.loads(json.dumps(SETTINGS)), None, None
        self.extra_clients, self.config, self.operator_sections = [], {}, {}
        self.connection_reset, self.saved_delay = False, client_session.BAD_LINE_DELAY_S
        # Arrow Flight SQL: the section `flight`, calls in progress and ended, relays in front of engines.
        self.flight_section, self.channels, self.calls, self.infos, self.relays = None, {}, {}, {}, {}

    async def until(self, condition):
        """Wait for a condition, checked on each event; raise TimeoutError after LONGEST_WAIT seconds."""
        async with asyncio.timeout(LONGEST_WAIT):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    def log(self, event, **facts):
        """Record a log event of the front."""
        self.events.append((event, facts))
        self.changed.set()

    async def run_step(self, verb, *words):
        """Run one step."""
        await getattr(self, "do_" + verb)(*words)

    async def do_settings(self, path, value):
        """Set one of the site's settings by its path, to a JSON value."""
        part, *rest = path.split(".")
        place = self.settings
        for step in rest:
            place, part = place[int(part) if part.isdigit() else part], step
        place[int(part) if part.isdigit() else part] = json.loads(value)

    async def do_engine(self, name):
        """Start an HTTP engine."""
        self.engines[name] = Engine(self.changed)
        await self.engines[name].start()

    async def do_holds(self, name):
        """Make the engine hold its answers until it is released."""
        self.engines[name].holds_posts = True

    async def do_dead(self, name):
        """Stop an engine."""
        await self.engines[name].stop()

    async def do_on(self, name, call, *step):
        """Queue the engine's answer to its next call of that kind."""
        self.engines[name].steps[call].append(step)

    async def open_directory(self):
        """Start a directory that lists all engines, and put its address into the configuration."""
        _, self.directory = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Directory(self.changed), local_addr=("127.0.0.1", 0)
        )
        self.directory.entries = {name: (self.port(name), False) for name in self.engines}
        self.config["dns"] = f"127.0.0.1:{self.directory.port}"

    async def do_front(self, sockets="1024"):
        """Start the front with that many sockets and connect a client to it."""
        entries = [(name, f"127.0.0.1:{self.port(name)}") for name in self.engines]
        self.config = configuration(entries, settings=self.settings)
        await self.open_directory()
        config = front_config.read(self.config, {})._replace(sockets=int(sockets))
        self.server = run.FrontServer(
            config,
            self.log,
            lambda: front_config.read(self.config, {}),
            self.operator(),
            self.operator if self.flight_section is not None or self.operator_sections else None,
        )
        self.running = asyncio.create_task(self.server.run())
        await self.until(lambda: any(event == "ready" for event, _ in self.events))
        listen = next(facts["listen"] for event, facts in self.events if event == "ready")
        self.reader, self.writer = await asyncio.open_connection(*listen, limit=2**20)
        self.reading = asyncio.create_task(self.read_answers())

    async def read_answers(self):
        """Record answers until the connection ends."""
        try:
            while line := await self.reader.readline():
                self.answers.append(json.loads(line))
                self.changed.set()
        except ConnectionError:
            self.connection_reset = True

    async def do_submit(self, number, group, *words):
        """Submit a batch; `name=value` sets a parameter, `name=none` omits it."""
        self.writer.write(self.submission(number, group, *words))

    def submission(self, number, group, *words):
        """Return the request line of a batch."""
        options = dict(word.split("=", 1) for word in words)
        table = options.pop("table", "sales_17.orders")
        options.setdefault("bytes", b64encode(f"select a from {table}".encode()).decode())
        params = {"id": f"{int(number):016x}", "wait": 3000, "tenant": "acme", "cost": 50.0, "need_mb": 10}
        for name, word in options.items():
            params[name] = int(word) if word.isdigit() and name != "id" else word
            if word == "none":
                del params[name]
        call = {"jsonrpc": "2.0", "id": int(number), "method": group, "params": params}
        return json.dumps(call).encode() + b"\n"

    async def do_send(self, *words):
        """Send a line as it is."""
        self.writer.write(" ".join(words).replace("\\n", "\n").encode() + b"\n")
        await self.writer.drain()

    async def do_send_long(self, size):
        """Send that many bytes without a newline."""
        self.writer.write(b"x" * int(size))

    async def do_answer(self, number, kind, *words):
        """Wait for the answer under that number and check it: rows, a JSON value or an error."""
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
        """Check that there is no answer under that number so far."""
        assert not any(a.get("id") == int(number) for a in self.answers), self.answers

    async def do_hung_up(self):
        """Wait until the front closes the client's connection."""
        async with asyncio.timeout(LONGEST_WAIT):
            await self.reading

    async def do_client_leaves(self):
        """Close the client's connection."""
        self.writer.close()

    async def do_saw(self, name, call, *words):
        """Wait until the engine has received that call with those header fields."""
        fields = dict(word.lower().split("=", 1) for word in words)

        def found():
            return any(c == call and fields.items() <= f.items() for c, f, _ in self.engines[name].calls)

        await self.until(found)

    async def do_connections(self, name, most):
        """Check that the engine has at most that many connections."""
        assert self.engines[name].connections <= int(most), self.engines[name].connections

    async def do_limited(self, name, most):
        """Check that the time limit of the last dispatch is at most that many milliseconds."""
        fields = [fields for call, fields, _ in self.engines[name].calls if call == "POST"][-1]
        assert int(fields["x-limit-ms"]) <= int(most), fields

    async def do_calls(self, name, call, count):
        """Check how many calls of that kind the engine has received."""
        calls = [c for c, _, _ in self.engines[name].calls]
        assert calls.count(call) == int(count), calls

    async def do_order(self, name, *calls):
        """Check the last calls that the engine received, in order and with repeats."""
        assert [c for c, _, _ in self.engines[name].calls][-len(calls) :] == list(calls)

    async def do_one_got(self, *calls):
        """Check that one engine received exactly these calls in this order, and the others none."""
        made = [[c for c, _, _ in engine.calls] for engine in self.engines.values()]
        assert sorted(filter(None, made)) == [list(calls)], made

    async def do_volunteers(self, name, *words):
        """Send unrequested data on the engine's newest connection and wait until the front has noticed."""
        kept = self.server.connections.idle[name.encode()]
        seen = kept[-1].pending_read
        self.engines[name].writers[-1].write(unescaped(words))
        async with asyncio.timeout(LONGEST_WAIT):
            await asyncio.wait((seen,))

    async def do_at_ease(self, name):
        """Check that the front has no back-off for the engine."""
        front = self.server.decisions.front
        assert not front.backoffs[front.engine_index[name.encode()]]

    async def do_posted(self, name, count, call="POST"):
        """Wait until the engine has received at least that many calls of that kind."""
        await self.until(lambda: [c for c, _, _ in self.engines[name].calls].count(call) >= int(count))

    async def do_release(self, name):
        """Let the engine send the answers that it holds."""
        self.engines[name].released.set()

    async def do_hangs_up(self, name):
        """Close the engine's connections from its side."""
        self.engines[name].hang_up()

    async def do_list(self, serial, *names):
        """Set the directory's list and wait for three more queries: a newer list is in force once two answers
        carry it, and the third query shows that the front has read both."""
        self.directory.serial = int(serial)
        self.directory.entries = {
            name.strip("-"): (self.port(name.strip("-")), name.endswith("-")) for name in names
        }
        asked = self.directory.query_count
        await self.until(lambda: self.directory.query_count >= asked + 3)

    async def do_directory(self, *steps):
        """Queue the directory's behaviour for its next queries."""
        self.directory.steps.extend(steps)

    async def do_listed(self, *names):
        """Wait until exactly these engines accept dispatches."""
        registry = self.server.registry
        await self.until(
            lambda: sorted(names)
            == sorted(e.id.decode() for e in registry.engine_list() if registry.accepts_dispatches(e.id))
        )

    async def do_lags(self, seconds):
        """Set the measured lag of the event loop for the rest of the scenario."""
        self.server.loop_lag.record = lambda late: None
        self.server.loop_lag.lag = float(seconds)

    async def do_up(self, name):
        """Check that the front does not take the engine for down."""
        front = self.server.decisions.front
        assert not front.down[front.engine_index[name.encode()]]

    async def do_kept(self, count, name):
        """Check how many idle connections to the engine the front keeps."""
        assert len(self.server.connections.idle.get(name.encode(), ())) == int(count)

    async def do_waiting(self, count):
        """Wait until that many calls wait for a connection."""
        await self.until(lambda: sum(map(len, self.server.connections.waiters)) >= int(count))

    async def do_counted(self, *words):
        """Wait until that counter has been incremented."""
        name = " ".join(words)
        await self.until(lambda: self.server.metrics.counts[name] > 0)

    async def do_sighup(self, event, *words):
        """Reload the configuration by SIGHUP and wait for that log event, with these words among its
        fields."""
        event = event.replace("_", " ")
        self.events.clear()
        os.kill(os.getpid(), signal.SIGHUP)
        await self.until(lambda: any(e == event and all(w in str(f) for w in words) for e, f in self.events))

    async def do_moves(self):
        """Move the directory to another address; the old one still runs and must be ignored."""
        self.old_directory = self.directory
        await self.open_directory()

    async def do_old_says(self, serial):
        """Answer every query that the old address ever received, with an empty list."""
        for number in self.old_directory.query_ids:
            self.old_directory.transport.sendto(
                dns_answer(number, int(serial), {}), self.old_directory.last_address
            )
        asked = self.directory.query_count
        await self.until(lambda: self.directory.query_count >= asked + 2)

    async def do_config(self, path, value):
        """Change a field of the front's configuration; it takes effect with the next reload."""
        place, *rest = path.split(".")
        self.config[place] = self.config[place] | {rest[0]: json.loads(value)} if rest else json.loads(value)

    async def do_crowd(self, count):
        """Open that many further client connections that send nothing."""
        address = self.writer.get_extra_info("peername")
        self.extra_clients += [await asyncio.open_connection(*address) for _ in range(int(count))]

    async def do_places(self, count):
        """Limit the number of client connections, whatever the descriptors allow."""
        self.server.client_listener.limits = self.server.client_listener.limits._replace(
            client_connections=int(count)
        )

    async def do_rush(self, count, silent):
        """Connect clients with one batch each and right behind them silent ones, all before the front's next
        step."""
        address = self.writer.get_extra_info("peername")
        socks = [socket.create_connection(address) for _ in range(int(count) + int(silent))]
        for n, sock in enumerate(socks[: int(count)], 500 + len(self.extra_clients)):
            sock.sendall(self.submission(n, "lookup"))
        self.extra_clients += [await asyncio.open_connection(sock=sock) for sock in socks]

    async def do_answered(self, count):
        """Check that the first of the further clients get a result."""
        async with asyncio.timeout(LONGEST_WAIT):
            for reader, _ in self.extra_clients[: int(count)]:
                assert "result" in json.loads(await reader.readline())

    async def do_crowd_closed(self, count):
        """Wait until the front has closed that many of the further clients, in the order in which they
        connected."""
        async with asyncio.timeout(LONGEST_WAIT):
            for reader, _ in self.extra_clients[: int(count)]:
                with suppress(ConnectionError):
                    assert not await reader.read()

    async def do_sigterm(self):
        """Send SIGTERM and wait until the front reports that it is stopping."""
        os.kill(os.getpid(), signal.SIGTERM)
        await self.until(lambda: any(event == "stopping" for event, _ in self.events))

    async def do_stopped(self):
        """Wait until the front has ended, and check that no invariant was broken."""
        async with asyncio.timeout(LONGEST_WAIT):
            await self.running
        assert not [name for name in self.server.metrics.counts if name.startswith("broken")]

    async def end(self):
        """Stop everything, and check that no part of the front failed."""
        client_session.BAD_LINE_DELAY_S = self.saved_delay
        for call in self.calls.values():
            call.cancel()
        if self.calls:
            await asyncio.wait(self.calls.values())
        for channel in self.channels.values():
            await channel.close()
        for engine in (*self.engines.values(), *self.relays.values()):
            await engine.stop()
        if self.running and not self.running.done():
            self.server.stop.set()
            await self.running
        if self.server:
            for _, writer in [*self.extra_clients, (0, self.writer)]:
                writer.close()
            self.directory.transport.close()
            failures = [e for e in self.events if e[0].endswith("failed")]
            assert not failures, failures

    # Races: one side is held at a known point.

    async def do_dials_held(self):
        """Hold all new connections to engines until `dials_go`."""
        connections, self.held_connects, self.connects_released = self.server.connections, 0, asyncio.Event()
        connect = connections.connect

        async def held(entry):
            self.held_connects += 1
            self.changed.set()
            await self.connects_released.wait()
            return await connect(entry)

        connections.connect = held

    async def do_dialling(self, count):
        """Wait until that many connections to engines are held."""
        await self.until(lambda: self.held_connects >= int(count))

    async def do_dials_go(self):
        """Let the held connections proceed."""
        self.connects_released.set()

    async def do_passes(self, seconds):
        """Let that many seconds pass."""
        await asyncio.sleep(float(seconds))

    async def poll_until(self, condition):
        """Wait for a condition that sets no event, by polling."""
        async with asyncio.timeout(LONGEST_WAIT):
            while not condition():
                await asyncio.sleep(0.001)

    async def do_given_up(self, number):
        """Wait until the front knows that no client waits for the batch any more."""
        batches = self.server.batches.by_txn
        await self.poll_until(lambda: batches[f"{int(number):016x}"].answered)

    async def do_over(self):
        """Wait until no batch is open at the front."""
        await self.poll_until(lambda: not self.server.batches.by_number)

    async def do_floods_and_goes(self, count):
        """Connect, submit that many batches and close before the front reads; wait until it has finished."""
        address = self.writer.get_extra_info("peername")
        with socket.create_connection(address) as sock:
            sock.sendall(b"".join(self.submission(900 + n, "lookup") for n in range(int(count))))
        # A client that connects behind it and is answered shows that the front has read from it before.
        self.extra_clients.append(await asyncio.open_connection(*address))
        self.extra_clients[-1][1].write(self.submission(990, "lookup"))
        async with asyncio.timeout(LONGEST_WAIT):
            assert "result" in json.loads(await self.extra_clients[-1][0].readline())
        await self.do_over()

    async def do_paced(self, seconds):
        """Set the delay in seconds after each malformed line."""
        self.saved_delay, client_session.BAD_LINE_DELAY_S = client_session.BAD_LINE_DELAY_S, float(seconds)

    async def do_echoes(self, name):
        """On a connection that carried a call before, run each POST and answer it with what looks like a late
        copy of another batch's refusal."""
        self.engines[name].repeats_refusals = True

    async def do_hung_up_in_order(self):
        """Wait until the front closes the connection, and check that it does so without a reset."""
        async with asyncio.timeout(LONGEST_WAIT):
            await self.reading
        assert not self.connection_reset

    async def do_deaf_to_asker(self):
        """Make the directory ignore queries from the address of the last one."""
        await self.until(lambda: self.directory.query_count)
        self.directory.ignored_address = self.directory.last_address

    # Budgets.

    async def do_held_back(self, count):
        """Wait until that many batches are held back by their budgets."""
        await self.poll_until(lambda: self.server.batch_tasks.gate.fair_queue.root.queued == int(count))

    async def do_one_errored(self, *numbers):
        """Check that exactly one of them has an answer, the error that says that it may have run."""
        wanted = set(map(int, numbers))
        await self.until(lambda: any(a.get("id") in wanted for a in self.answers))
        codes = [a["error"]["code"] for a in self.answers if a.get("id") in wanted]
        assert codes == [-32000], self.answers

    async def do_each_answered_once(self, *numbers):
        """Wait until these batches are answered, and check that each has one answer."""
        wanted = sorted(map(int, numbers))
        await self.until(lambda: len([a for a in self.answers if a.get("id") in wanted]) >= len(wanted))
        assert sorted(a["id"] for a in self.answers) == wanted, self.answers

    # Arrow Flight SQL.

    def port(self, name):
        """Return the port of an engine, or of the relay in front of it."""
        return (self.relays.get(name) or self.engines[name]).port

    def operator(self):
        """Return the current operator file, or None if no step set a part of it."""
        from thistlelever.ground import operator

        if self.flight_section is None:
            return (
                operator.read(json.dumps(self.operator_sections).encode()) if self.operator_sections else None
            )
        speak = [name for name, engine in self.engines.items() if not isinstance(engine, Engine)]
        section = {
            "listen": "127.0.0.1:0",
            "engines": speak,
            "tenant": "acme",
            "wait_ms": 3000,
        } | self.flight_section
        return operator.read(json.dumps(self.operator_sections | {"flight": section}).encode())

    async def do_section(self, name, text):
        """Set a section of the operator file."""
        self.operator_sections[name] = json.loads(text)

    async def do_flight_engine(self, name, *again):
        """Start an engine that speaks Flight SQL; with `at OTHER` at the address of a stopped one."""
        from thistlelever.standins.flight_engine import Engine as FlightEngine

        self.flight_section = {} if self.flight_section is None else self.flight_section
        self.engines[name] = FlightEngine(self.changed)
        await self.engines[name].start(self.engines[again[1]].port if again else 0)

    async def do_flight_section(self, *words):
        """Set fields of the operator file's section `flight`."""
        self.flight_section = (self.flight_section or {}) | {
            k: json.loads(v) for k, v in (w.split("=", 1) for w in words)
        }

    async def do_relay(self, name, *cuts):
        """Start a relay in front of an engine that cuts each connection in turn after that many bytes of
        answers."""
        from thistlelever.standins.relay import Relay

        self.relays[name] = Relay(self.engines[name].port)
        self.relays[name].cuts = [int(cut) if cut.isdigit() else None for cut in cuts]
        await self.relays[name].start()

    async def do_big(self, name, messages, size):
        """Set the engine's result: that many messages, each of one column of that many bytes."""
        import pyarrow as pa

        from thistlelever.wire.flight import columns

        encoded = columns.encode_table(pa.table({"c": pa.array([name + "x" * int(size)], pa.string())}))
        self.engines[name].result = lambda statement: [encoded[0], *encoded[1:] * int(messages)]

    async def do_one_drains(self, serial):
        """Drain the engine that has the only dispatch, and wait until the front has the new list."""
        busy = next(name for name, e in self.engines.items() if e.recorder.count("arrived"))
        rest = [name for name in self.engines if name != busy]
        await self.do_list(serial, busy + "-", *rest)
        await self.do_listed(*rest)

    async def do_one_each(self):
        """Check that each engine has received one dispatch."""
        assert [e.recorder.count("arrived") for e in self.engines.values()] == [1] * len(self.engines)

    async def do_comes_back(self, name):
        """Start a stopped engine again on its old port."""
        await self.engines[name].start(self.engines[name].port)

    async def do_breaks(self, name):
        """Break all connections through a relay."""
        self.relays[name].break_all()

    async def do_stops_serving(self, name, grace="0"):
        """Stop an engine, with a grace period in seconds."""
        await self.engines[name].stop(float(grace))

    def channel(self, client="usual"):
        """Return the gRPC channel of a client, created on first use."""
        from grpc import aio

        if client not in self.channels:
            port = self.server.flight.server.port
            options = (
                ("grpc.use_local_subchannel_pool", 1),
                ("grpc.http2.lookahead_bytes", 65_536),
                ("grpc.http2.bdp_probe", 0),
                ("grpc.enable_retries", 0),
            )
            self.channels[client] = aio.insecure_channel(f"127.0.0.1:{port}", options=options)
        return self.channels[client]

    def parse_call(self, words):
        """Parse the words of a call: return its statement, client and headers."""
        options = dict(word.split("=", 1) for word in words)
        table, client = options.pop("table", "sales_17.orders"), options.pop("client", "usual")
        return f"select a from {table}", client, tuple(options.items())

    def start_call(self, number, work):
        """Start a call in the background."""
        self.calls[number] = asyncio.create_task(work)
        self.calls[number].add_done_callback(lambda task: self.changed.set())

    async def do_query(self, number, group, *words):
        """Start a query: get its ticket, then its result."""
        from thistlelever.standins import flight_client as client

        statement, name, headers = self.parse_call(words)
        headers += (("x-group", group),)

        async def fetch():
            info = self.infos[number] = await client.info(self.channel(name), statement, headers)
            self.changed.set()
            return await client.get(
                self.channel(name), info.endpoint[0].ticket, seen=self.message_list(number)
            )

        self.start_call(number, fetch())

    def message_list(self, number):
        """Return a list that collects the messages of a call."""
        self.events.append((f"messages of {number}", []))
        return self.events[-1][1]

    async def do_ticket(self, number, group, *words):
        """Get a ticket and keep it."""
        from thistlelever.standins import flight_client as client

        statement, name, headers = self.parse_call(words)
        headers += (("x-group", group),)
        self.infos[number] = await client.info(self.channel(name), statement, headers)

    async def do_redeem(self, number, ticket, *forged):
        """Start to get the result for a kept ticket; with a further word the ticket is forged."""
        from thistlelever.standins import flight_client as client
        from thistlelever.wire.flight import flight_pb2 as pb

        raw = self.infos[ticket].endpoint[0].ticket.ticket
        if forged:
            # Flip one bit of the signature at the end of the ticket.
            raw = raw[:-2] + bytes((raw[-2] ^ 1, raw[-1]))
        self.start_call(number, client.get(self.channel(), pb.Ticket(ticket=raw)))

    async def do_update(self, number, group, *words):
        """Start an update."""
        from thistlelever.standins import flight_client as client

        statement, name, headers = self.parse_call(words)
        headers += (("x-group", group),)
        statement = statement.replace("select a from", "update")
        self.start_call(number, client.update(self.channel(name), statement, headers))

    async def wait_for_end(self, number):
        """Wait until a call has ended, and return its task."""
        async with asyncio.timeout(LONGEST_WAIT):
            await asyncio.wait((self.calls[number],))
        return self.calls[number]

    async def do_rows(self, number, *words):
        """Check that the call succeeds with exactly these rows."""
        table = (await self.wait_for_end(number)).result()
        got = "".join("\t".join(map(str, row.values())) + "\n" for row in table.to_pylist())
        assert got == rows(*words), got

    async def do_whole(self, number, count):
        """Check that the call succeeds with that many rows."""
        table = (await self.wait_for_end(number)).result()
        assert table.num_rows == int(count), table.num_rows

    async def do_changed(self, number, count):
        """Check that the update succeeds and reports that many rows."""
        assert (await self.wait_for_end(number)).result() == int(count)

    async def do_fails(self, number, code, *words):
        """Check that the call fails with that status and message."""
        why = (await self.wait_for_end(number)).exception()
        assert why is not None and why.code == code, (self.calls[number], why)
        assert " ".join(words) in why.details, why.details

    async def do_trailer(self, number, name, word):
        """Check a trailer of a failed call; `any` accepts each value."""
        trailers = (await self.wait_for_end(number)).exception().trailers
        assert name in trailers and (word == "any" or trailers[name] == word), trailers

    async def do_got(self, number, least):
        """Wait until at least that many messages of the call's result have arrived."""

        def enough():
            return any(e == f"messages of {number}" and len(f) >= int(least) for e, f in self.events)

        await self.poll_until(enough)

    async def do_open_call(self, number):
        """Check that the call has not ended."""
        assert not self.calls[number].done(), self.calls[number]

    async def do_cancel_call(self, number):
        """Cancel a call and wait for its end."""
        self.calls[number].cancel()
        await self.wait_for_end(number)

    async def do_client_gone(self, client):
        """Close the client's connection with all calls open on it."""
        await self.channels.pop(client).close()

    async def do_cancel_info(self, number, status):
        """Send CancelFlightInfo for a kept ticket and check the status in its reply."""
        from thistlelever.standins import flight_client as client
        from thistlelever.wire.flight import flight_pb2 as pb

        body = pb.CancelFlightInfoRequest(info=self.infos[number]).SerializeToString()
        reply, _ = await client.action(self.channel("canceller"), "CancelFlightInfo", body)
        assert pb.CancelFlightInfoResult.FromString(reply).status == int(status), reply

    async def do_arrived(self, count, *names):
        """Check how many dispatches these engines have received in all, including repeats for any reason."""
        recorders = [self.engines[name].recorder for name in names or self.engines]
        assert sum(recorder.count("arrived") for recorder in recorders) == int(count), [
            b.records for b in recorders
        ]

    async def do_begun(self, count):
        """Wait until the engines have received that many dispatches."""
        await self.until(
            lambda: sum(e.recorder.count("arrived") for e in self.engines.values()) >= int(count)
        )

    async def do_cancels(self, count):
        """Wait until the engines have received that many CancelFlightInfo actions."""

        def cancel_count():
            return sum(c == "CancelFlightInfo" for e in self.engines.values() for c, _, _ in e.calls)

        await self.until(lambda: cancel_count() >= int(count))

    async def do_cancel_heard(self, name):
        """Wait until that engine has received a CancelFlightInfo action."""
        await self.until(lambda: any(c == "CancelFlightInfo" for c, _, _ in self.engines[name].calls))

    async def do_no_cancel(self, *names):
        """Make these engines not support CancelFlightInfo."""
        for name in names:
            self.engines[name].supports_cancel = False

    async def do_fronts_out(self, count):
        """Wait until that many batches are open at the front."""
        await self.poll_until(lambda: len(self.server.batches.by_number) == int(count))

    async def do_sent_at_most(self, name, size):
        """Check that the engine stops after at most that many bytes of its result, as its reader is slow."""
        before = -1
        async with asyncio.timeout(LONGEST_WAIT):
            while self.engines[name].sent != before:
                before = self.engines[name].sent
                await asyncio.sleep(0.1)
        assert before <= int(size), before

    async def do_stalls(self, number, group, *words):
        """Start a query whose client reads one message and then nothing until it is cancelled."""
        from thistlelever.standins import flight_client as client

        statement, name, headers = self.parse_call(words)
        headers += (("x-group", group),)
        never = asyncio.Event()

        async def fetch():
            info = self.infos[number] = await client.info(self.channel(name), statement, headers)
            seen = self.message_list(number)
            return await client.get(self.channel(name), info.endpoint[0].ticket, seen=seen, pause=never)

        self.start_call(number, fetch())


@contextmanager
def short_delays():
    """Shorten the stop and the directory's poll interval, so that tests wait less."""
    was = run.ACCEPT_AFTER_SIGTERM_S, run.MAX_DRAIN_S, directory.POLL_INTERVAL
    run.ACCEPT_AFTER_SIGTERM_S, run.MAX_DRAIN_S, directory.POLL_INTERVAL = 0.05, 0.3, 0.05
    try:
        yield
    finally:
        run.ACCEPT_AFTER_SIGTERM_S, run.MAX_DRAIN_S, directory.POLL_INTERVAL = was


@asynccontextmanager
async def prepared_stage(lines):
    """Run these steps and yield the stage; an error names the step that failed."""
    stage = Stage()
    try:
        for line, words in lines:
            try:
                await stage.run_step(*words)
            except Exception as why:
                counts = stage.server.metrics.counts if stage.server else ""
                seen = f"{stage.events} {stage.answers} {counts}"
                raise AssertionError(f"{line}: {' '.join(words)}: {why} {seen}") from why
        yield stage
    finally:
        with short_delays():
            await stage.end()


async def run_steps(lines):
    """Run one scenario, given as (`file:line`, words) pairs."""
    with short_delays():
        async with prepared_stage(lines):
            pass
