"""Stand-ins on loopback for what a front talks to, and the stage that a scenario plays them on."""

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

from thistlelever.carrier import clients, directory
from thistlelever.standins.directory import Directory, dns_answer
from thistlelever.standins.http_engine import Engine, rows, unescaped
from thistlelever.standins.configuration import SETTINGS, configuration
from thistlelever.ground import config as front_config
from thistlelever.lifecycle import run

TXN = "0000000000000000"
LONGEST_WAIT = 8.0
ROOT = Path(__file__).parents[1]
# Seconds within which sends to an engine must cease once it is told to drain: 0.25 by the settings, and 0.05.
DRAIN_GRACE = 0.3
LONGEST_START = 30.0


async def front_process(environ, module="thistlelever"):
    """A front in a process of its own, started as operators start it; its log is its standard output.
    `module` stands in the program's place, for a front under a shim."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    run = run.replace("-m thistlelever", f"-m {module}")
    return await asyncio.create_subprocess_shell(
        run.replace(".venv/bin/python", sys.executable),
        cwd=ROOT,
        env=os.environ | environ,
        stdout=asyncio.subprocess.PIPE,
    )


async def ready_line(process):
    """The line by which a front's process says that it is ready."""
    async with asyncio.timeout(LONGEST_START):
        line = {}
        while line.get("event") != "ready":
            line = json.loads(await process.stdout.readline())
    return line


@asynccontextmanager
async def ready_front(environ, module="thistlelever"):
    """A front in a process of its own once it is ready: the address where it listens. Killed at the end."""
    process = await front_process(environ, module)
    try:
        yield (await ready_line(process))["listen"]
    finally:
        process.kill()
        await process.wait()


class Stage:
    """One front, run in this process, with its stand-ins."""

    def __init__(self):
        self.stir, self.engines, self.answers, self.events = asyncio.Event(), {}, [], []
        self.settings, self.server, self.running = json.loads(json.dumps(SETTINGS)), None, None
        self.crowd, self.config, self.reset, self.was_slower = [], {}, False, clients.BAD_LINE_DELAY_S
        # Arrow Flight SQL: the section, calls under way and done, relays before engines.
        self.sections = {}
        self.flight_section, self.channels, self.calls, self.infos, self.relays = None, {}, {}, {}, {}

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
        self.engines[name].holds_posts = True

    async def do_dead(self, name):
        await self.engines[name].stop()

    async def do_on(self, name, call, *step):
        self.engines[name].steps[call].append(step)

    async def open_directory(self):
        _, self.directory = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Directory(self.stir), local_addr=("127.0.0.1", 0)
        )
        self.directory.entries = {name: (self.port(name), False) for name in self.engines}
        self.config["dns"] = f"127.0.0.1:{self.directory.port}"

    async def do_front(self, sockets="1024"):
        entries = [(name, f"127.0.0.1:{self.port(name)}") for name in self.engines]
        self.config = configuration(entries, settings=self.settings)
        await self.open_directory()
        told = front_config.read(self.config, {})._replace(sockets=int(sockets))
        self.server = run.FrontServer(
            told,
            self.log,
            lambda: front_config.read(self.config, {}),
            self.operator(),
            self.operator if self.flight_section is not None or self.sections else None,
        )
        self.running = asyncio.create_task(self.server.run())
        await self.until(lambda: any(event == "ready" for event, _ in self.events))
        listen = next(facts["listen"] for event, facts in self.events if event == "ready")
        self.reader, self.writer = await asyncio.open_connection(*listen, limit=2**20)
        self.hearing = asyncio.create_task(self.hear())

    async def hear(self):
        try:
            while line := await self.reader.readline():
                self.answers.append(json.loads(line))
                self.stir.set()
        except ConnectionError:
            self.reset = True

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
        assert [c for c, _, _ in self.engines[name].calls][-len(calls) :] == list(calls)

    async def do_one_got(self, *calls):
        """One engine got all calls, these in this order, and any other none."""
        made = [[c for c, _, _ in engine.calls] for engine in self.engines.values()]
        assert sorted(filter(None, made)) == [list(calls)], made

    async def do_volunteers(self, name, *words):
        """The engine sends what nobody asked for on its newest connection; the front has seen it."""
        kept = self.server.connections.idle[name.encode()]
        seen = kept[-1].pending_read
        self.engines[name].writers[-1].write(unescaped(words))
        async with asyncio.timeout(LONGEST_WAIT):
            await asyncio.wait((seen,))

    async def do_at_ease(self, name):
        front = self.server.decisions.front
        assert not front.backoffs[front.engine_index[name.encode()]]

    async def do_posted(self, name, count, call="POST"):
        await self.until(lambda: [c for c, _, _ in self.engines[name].calls].count(call) >= int(count))

    async def do_release(self, name):
        self.engines[name].released.set()

    async def do_hangs_up(self, name):
        self.engines[name].hang_up()

    async def do_list(self, serial, *names):
        """The directory's list from now on, and three queries more: a newer list is in force once two answers
        say so, and the third query shows that the front has read both."""
        self.directory.serial = int(serial)
        self.directory.entries = {
            name.strip("-"): (self.port(name.strip("-")), name.endswith("-")) for name in names
        }
        asked = self.directory.query_count
        await self.until(lambda: self.directory.query_count >= asked + 3)

    async def do_directory(self, *steps):
        self.directory.steps.extend(steps)

    async def do_listed(self, *names):
        registry = self.server.registry
        await self.until(
            lambda: sorted(names)
            == sorted(e.id.decode() for e in registry.engine_list() if registry.accepts_dispatches(e.id))
        )

    async def do_lags(self, seconds):
        """As if the loop had just come so late; remembered for as long as the scenario lasts."""
        self.server.loop_lag.record = lambda late: None
        self.server.loop_lag.lag = float(seconds)

    async def do_up(self, name):
        front = self.server.decisions.front
        assert not front.down[front.engine_index[name.encode()]]

    async def do_kept(self, count, name):
        assert len(self.server.connections.idle.get(name.encode(), ())) == int(count)

    async def do_waiting(self, count):
        """So many calls wait for a connection."""
        await self.until(lambda: sum(map(len, self.server.connections.waiters)) >= int(count))

    async def do_counted(self, *words):
        name = " ".join(words)
        await self.until(lambda: self.server.metrics.counts[name] > 0)

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
        for number in self.old.query_ids:
            self.old.transport.sendto(dns_answer(number, int(serial), {}), self.old.last_address)
        asked = self.directory.query_count
        await self.until(lambda: self.directory.query_count >= asked + 2)

    async def do_config(self, path, value):
        place, *rest = path.split(".")
        self.config[place] = self.config[place] | {rest[0]: json.loads(value)} if rest else json.loads(value)

    async def do_crowd(self, count):
        """So many further clients connect and say nothing."""
        address = self.writer.get_extra_info("peername")
        self.crowd += [await asyncio.open_connection(*address) for _ in range(int(count))]

    async def do_places(self, count):
        """So many clients at once, whatever the descriptors allow."""
        self.server.client_listener.limits = self.server.client_listener.limits._replace(
            client_connections=int(count)
        )

    async def do_rush(self, count, silent):
        """In one moment so many clients connect with a batch each, behind them others that say nothing."""
        address = self.writer.get_extra_info("peername")
        socks = [socket.create_connection(address) for _ in range(int(count) + int(silent))]
        for n, sock in enumerate(socks[: int(count)], 500 + len(self.crowd)):
            sock.sendall(self.submission(n, "lookup"))
        self.crowd += [await asyncio.open_connection(sock=sock) for sock in socks]

    async def do_answered(self, count):
        """The first of the crowd get their rows."""
        async with asyncio.timeout(LONGEST_WAIT):
            for reader, _ in self.crowd[: int(count)]:
                assert "result" in json.loads(await reader.readline())

    async def do_crowd_closed(self, count):
        """The front closes so many of them, those that came first before others."""
        async with asyncio.timeout(LONGEST_WAIT):
            for reader, _ in self.crowd[: int(count)]:
                with suppress(ConnectionError):
                    assert not await reader.read()

    async def do_sigterm(self):
        os.kill(os.getpid(), signal.SIGTERM)
        await self.until(lambda: any(event == "stopping" for event, _ in self.events))

    async def do_stopped(self):
        async with asyncio.timeout(LONGEST_WAIT):
            await self.running
        assert not [name for name in self.server.metrics.counts if name.startswith("broken")]

    async def end(self):
        clients.BAD_LINE_DELAY_S = self.was_slower
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
            for _, writer in [*self.crowd, (0, self.writer)]:
                writer.close()
            self.directory.transport.close()
            failures = [e for e in self.events if e[0].endswith("failed")]
            assert not failures, failures

    # Crossings: one side is held at a known place.

    async def do_dials_held(self):
        """No connection to an engine comes up from now on until `dials_go`."""
        connections, self.dials, self.go = self.server.connections, 0, asyncio.Event()
        connect = connections.connect

        async def held(entry):
            self.dials += 1
            self.stir.set()
            await self.go.wait()
            return await connect(entry)

        connections.connect = held

    async def do_dialling(self, count):
        await self.until(lambda: self.dials >= int(count))

    async def do_dials_go(self):
        self.go.set()

    async def do_passes(self, seconds):
        """The clock has moved on by that."""
        await asyncio.sleep(float(seconds))

    async def look_until(self, holds):
        """As `until`, for what stirs nobody."""
        async with asyncio.timeout(LONGEST_WAIT):
            while not holds():
                await asyncio.sleep(0.001)

    async def do_given_up(self, number):
        """The front knows that nobody waits for the batch any more."""
        batches = self.server.batches.by_txn
        await self.look_until(lambda: batches[f"{int(number):016x}"].answered)

    async def do_over(self):
        """Nothing is open at the front."""
        await self.look_until(lambda: not self.server.batches.by_number)

    async def do_floods_and_goes(self, count):
        """In one moment a client connects, submits so many batches and closes; the front is done with it."""
        address = self.writer.get_extra_info("peername")
        with socket.create_connection(address) as sock:
            sock.sendall(b"".join(self.submission(900 + n, "lookup") for n in range(int(count))))
        # Who comes behind it and is answered has let it be looked at first.
        self.crowd.append(await asyncio.open_connection(*address))
        self.crowd[-1][1].write(self.submission(990, "lookup"))
        async with asyncio.timeout(LONGEST_WAIT):
            assert "result" in json.loads(await self.crowd[-1][0].readline())
        await self.do_over()

    async def do_paced(self, seconds):
        """After a line out of form the next is taken so much later."""
        self.was_slower, clients.BAD_LINE_DELAY_S = clients.BAD_LINE_DELAY_S, float(seconds)

    async def do_echoes(self, name):
        """On a connection that carried a call before, each POST runs and is answered by what looks like the
        late copy of another batch's refusal."""
        self.engines[name].repeats_refusals = True

    async def do_hung_up_in_order(self):
        """The front closes the connection, and not by a reset."""
        async with asyncio.timeout(LONGEST_WAIT):
            await self.hearing
        assert not self.reset

    async def do_deaf_to_asker(self):
        """The directory gets nothing any more by the way by which it was last asked."""
        await self.until(lambda: self.directory.query_count)
        self.directory.ignored_address = self.directory.last_address

    # Budgets.

    async def do_held_back(self, count):
        """So many batches are held by their budgets by now."""
        await self.look_until(lambda: self.server.batch_tasks.gate.fair_queue.root.queued == int(count))

    async def do_one_errored(self, *numbers):
        """Just one of them has an answer, and it says that it may have run."""
        wanted = set(map(int, numbers))
        await self.until(lambda: any(a.get("id") in wanted for a in self.answers))
        codes = [a["error"]["code"] for a in self.answers if a.get("id") in wanted]
        assert codes == [-32000], self.answers

    async def do_each_answered_once(self, *numbers):
        wanted = sorted(map(int, numbers))
        await self.until(lambda: len([a for a in self.answers if a.get("id") in wanted]) >= len(wanted))
        assert sorted(a["id"] for a in self.answers) == wanted, self.answers

    # Arrow Flight SQL.

    def port(self, name):
        return (self.relays.get(name) or self.engines[name]).port

    def operator(self):
        """The operator file as it stands, or none where no scenario line asked for one."""
        from thistlelever.ground import operator

        if self.flight_section is None:
            return operator.read(json.dumps(self.sections).encode()) if self.sections else None
        speak = [name for name, engine in self.engines.items() if not isinstance(engine, Engine)]
        section = {
            "listen": "127.0.0.1:0",
            "engines": speak,
            "tenant": "acme",
            "wait_ms": 3000,
        } | self.flight_section
        return operator.read(json.dumps(self.sections | {"flight": section}).encode())

    async def do_section(self, name, text):
        """A section of the operator file from now on."""
        self.sections[name] = json.loads(text)

    async def do_flight_engine(self, name, *again):
        """An engine that speaks Flight SQL; `at OTHER`: at the address of one that is no more."""
        from thistlelever.standins.flight_engine import Engine as FlightEngine

        self.flight_section = {} if self.flight_section is None else self.flight_section
        self.engines[name] = FlightEngine(self.stir)
        await self.engines[name].start(self.engines[again[1]].port if again else 0)

    async def do_flight_section(self, *words):
        """Terms of the section `flight`."""
        self.flight_section = (self.flight_section or {}) | {
            k: json.loads(v) for k, v in (w.split("=", 1) for w in words)
        }

    async def do_relay(self, name, *cuts):
        """A relay before an engine; each connection in its turn is cut after so many bytes of answers."""
        from thistlelever.standins.relay import Relay

        self.relays[name] = Relay(self.engines[name].port)
        self.relays[name].cuts = [int(cut) if cut.isdigit() else None for cut in cuts]
        await self.relays[name].start()

    async def do_big(self, name, messages, size):
        """The engine's result from now on: so many messages of so many bytes of one column."""
        import pyarrow as pa

        from thistlelever.wire.flight import columns

        whole = columns.encode_table(pa.table({"c": pa.array([name + "x" * int(size)], pa.string())}))
        self.engines[name].result = lambda statement: [whole[0], *whole[1:] * int(messages)]

    async def do_one_drains(self, serial):
        """The engine that has the one dispatch drains, and the front has heard of it."""
        busy = next(name for name, e in self.engines.items() if e.recorder.count("arrived"))
        rest = [name for name in self.engines if name != busy]
        await self.do_list(serial, busy + "-", *rest)
        await self.do_listed(*rest)

    async def do_one_each(self):
        assert [e.recorder.count("arrived") for e in self.engines.values()] == [1] * len(self.engines)

    async def do_comes_back(self, name):
        await self.engines[name].start(self.engines[name].port)

    async def do_breaks(self, name):
        self.relays[name].break_all()

    async def do_stops_serving(self, name, grace="0"):
        await self.engines[name].stop(float(grace))

    def channel(self, client="usual"):
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

    def words(self, words):
        """Of a call: its table, its client, and its headers."""
        facts = dict(word.split("=", 1) for word in words)
        table, client = facts.pop("table", "sales_17.orders"), facts.pop("client", "usual")
        return f"select a from {table}", client, tuple(facts.items())

    def begin(self, number, work):
        self.calls[number] = asyncio.create_task(work)
        self.calls[number].add_done_callback(lambda task: self.stir.set())

    async def do_query(self, number, group, *words):
        from thistlelever.standins import flight_client as client

        statement, name, said = self.words(words)
        said += (("x-group", group),)

        async def whole():
            info = self.infos[number] = await client.info(self.channel(name), statement, said)
            self.stir.set()
            return await client.get(self.channel(name), info.endpoint[0].ticket, seen=self.seen(number))

        self.begin(number, whole())

    def seen(self, number):
        self.events.append((f"messages of {number}", []))
        return self.events[-1][1]

    async def do_ticket(self, number, group, *words):
        from thistlelever.standins import flight_client as client

        statement, name, said = self.words(words)
        said += (("x-group", group),)
        self.infos[number] = await client.info(self.channel(name), statement, said)

    async def do_redeem(self, number, ticket, *forged):
        from thistlelever.standins import flight_client as client
        from thistlelever.wire.flight import flight_pb2 as pb

        raw = self.infos[ticket].endpoint[0].ticket.ticket
        if forged:
            # One bit of the seal, which is the last in it.
            raw = raw[:-2] + bytes((raw[-2] ^ 1, raw[-1]))
        self.begin(number, client.get(self.channel(), pb.Ticket(ticket=raw)))

    async def do_update(self, number, group, *words):
        from thistlelever.standins import flight_client as client

        statement, name, said = self.words(words)
        said += (("x-group", group),)
        statement = statement.replace("select a from", "update")
        self.begin(number, client.update(self.channel(name), statement, said))

    async def ended(self, number):
        async with asyncio.timeout(LONGEST_WAIT):
            await asyncio.wait((self.calls[number],))
        return self.calls[number]

    async def do_rows(self, number, *words):
        """The call ends well, with just these rows."""
        table = (await self.ended(number)).result()
        got = "".join("\t".join(map(str, row.values())) + "\n" for row in table.to_pylist())
        assert got == rows(*words), got

    async def do_whole(self, number, count):
        table = (await self.ended(number)).result()
        assert table.num_rows == int(count), table.num_rows

    async def do_changed(self, number, count):
        assert (await self.ended(number)).result() == int(count)

    async def do_fails(self, number, code, *words):
        """The call ends with that status."""
        why = (await self.ended(number)).exception()
        assert why is not None and why.code == code, (self.calls[number], why)
        assert " ".join(words) in why.details, why.details

    async def do_trailer(self, number, name, word):
        trailers = (await self.ended(number)).exception().trailers
        assert name in trailers and (word == "any" or trailers[name] == word), trailers

    async def do_got(self, number, least):
        """So many messages of the call's result have come."""

        def enough():
            return any(e == f"messages of {number}" and len(f) >= int(least) for e, f in self.events)

        await self.look_until(enough)

    async def do_open_call(self, number):
        assert not self.calls[number].done(), self.calls[number]

    async def do_cancel_call(self, number):
        self.calls[number].cancel()
        await self.ended(number)

    async def do_client_gone(self, client):
        """Its connection ends, with all that is open on it."""
        await self.channels.pop(client).close()

    async def do_cancel_info(self, number, status):
        from thistlelever.standins import flight_client as client
        from thistlelever.wire.flight import flight_pb2 as pb

        body = pb.CancelFlightInfoRequest(info=self.infos[number]).SerializeToString()
        said, _ = await client.action(self.channel("canceller"), "CancelFlightInfo", body)
        assert pb.CancelFlightInfoResult.FromString(said).status == int(status), said

    async def do_arrived(self, count, *names):
        """So many dispatches have come to these engines in all, repeats by whatever cause included."""
        books = [self.engines[name].recorder for name in names or self.engines]
        assert sum(book.count("arrived") for book in books) == int(count), [b.records for b in books]

    async def do_begun(self, count):
        """So many dispatches have come to the engines by now."""
        await self.until(
            lambda: sum(e.recorder.count("arrived") for e in self.engines.values()) >= int(count)
        )

    async def do_cancels(self, count):
        def heard():
            return sum(c == "CancelFlightInfo" for e in self.engines.values() for c, _, _ in e.calls)

        await self.until(lambda: heard() >= int(count))

    async def do_cancel_heard(self, name):
        await self.until(lambda: any(c == "CancelFlightInfo" for c, _, _ in self.engines[name].calls))

    async def do_no_cancel(self, *names):
        for name in names:
            self.engines[name].supports_cancel = False

    async def do_fronts_out(self, count):
        """So many batches are open at the front by now."""
        await self.look_until(lambda: len(self.server.batches.by_number) == int(count))

    async def do_sent_at_most(self, name, size):
        """The engine has sent no more than so many bytes of its result, as its reader is slow."""
        before = -1
        async with asyncio.timeout(LONGEST_WAIT):
            while self.engines[name].sent != before:
                before = self.engines[name].sent
                await asyncio.sleep(0.1)
        assert before <= int(size), before

    async def do_stalls(self, number, group, *words):
        """A query whose client takes one message and then no more until it is cancelled."""
        from thistlelever.standins import flight_client as client

        statement, name, said = self.words(words)
        said += (("x-group", group),)
        never = asyncio.Event()

        async def whole():
            info = self.infos[number] = await client.info(self.channel(name), statement, said)
            seen = self.seen(number)
            return await client.get(self.channel(name), info.endpoint[0].ticket, seen=seen, pause=never)

        self.begin(number, whole())


@contextmanager
def brisk():
    """A stop and a directory's pace shorter than in service, so that tests wait less."""
    was = run.ACCEPT_AFTER_SIGTERM_S, run.MAX_DRAIN_S, directory.POLL_INTERVAL
    run.ACCEPT_AFTER_SIGTERM_S, run.MAX_DRAIN_S, directory.POLL_INTERVAL = 0.05, 0.3, 0.05
    try:
        yield
    finally:
        run.ACCEPT_AFTER_SIGTERM_S, run.MAX_DRAIN_S, directory.POLL_INTERVAL = was


@asynccontextmanager
async def staged(lines):
    """A stage on which these lines were played; the name of one that failed goes with the failure."""
    stage = Stage()
    try:
        for line, words in lines:
            try:
                await stage.line(*words)
            except Exception as why:
                counts = stage.server.metrics.counts if stage.server else ""
                seen = f"{stage.events} {stage.answers} {counts}"
                raise AssertionError(f"{line}: {' '.join(words)}: {why} {seen}") from why
        yield stage
    finally:
        with brisk():
            await stage.end()


async def played(lines):
    """Plays one scenario."""
    with brisk():
        async with staged(lines):
            pass
