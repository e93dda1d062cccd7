"""A mixed fleet, two engines of each kind, both doors, and the faults of every hard case, from a seed.

Counts final answers of each batch from the clients' side and effects from the engines'; the front's own
counters are a third book. `--sabotage NAME` breaks the front on purpose, to show that the rig says no.
"""

import asyncio
import resource
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from contextlib import suppress
from functools import partial
from time import process_time

import click
from grpc import aio

from rigs.flight_batches import Asked, result, right
from rigs.flight_line import LEAVERS, Line
from rigs.flight_sabotage import LONG_SHARES, SABOTAGE
from rigs.flight_terms import (
    FLIGHT_FAULTS,
    RETRY_FLOOR,
    DRAIN_GRACE_S,
    HELD_BYTES,
    HTTP_FAULTS,
    DRAIN_SEEN_LATE_S,
    LIMIT_MS,
    LONG_SHARE,
    KEY_REST_S,
    RETRY_SHARE,
    MOST_OPEN_BATCHES,
    RETRY_WINDOW_S,
    ZONES,
    settings,
)
from rigs.verdict import Chance, close
from thistlelever.ground import config as front_config
from thistlelever.ground.operator import Flight, Operator
from thistlelever.lifecycle.run import FrontServer
from thistlelever.standins import flight_client
from thistlelever.standins.recorder import Recorder, SharedCounts
from thistlelever.standins.directory import Directory
from thistlelever.standins.flight_client import CallError
from thistlelever.standins.flight_engine import Engine as FlightEngine
from thistlelever.standins.http_engine import Engine as HttpEngine
from thistlelever.standins.configuration import configuration
from thistlelever.standins.relay import Relay
from thistlelever.wire.flight import codec, columns
from thistlelever.wire.flight import flight_pb2 as pb
from thistlelever.wire.flight import flight_sql_pb2 as sql


class Rig:
    def __init__(self, seed, batches, sabotage):
        self.chance, self.batches, self.stir = Chance(seed), batches, asyncio.Event()
        self.common, self.engines, self.relays, self.gone = SharedCounts(), {}, {}, []
        self.marks = {"nord": set(), "sud": set()}
        self.asked, self.rows_wrong, self.by_number = [], 0, {}
        self.faults, self.statuses, self.drains = Counter(), Counter(), []
        self.calls_by = defaultdict(int)
        self.extra_answers = 0
        SABOTAGE[sabotage]()
        self.long_share = LONG_SHARES.get(sabotage, LONG_SHARE)

    # The yard.

    async def engine(self, name, port=0):
        kind = FlightEngine if name.startswith("f") else HttpEngine
        engine = self.engines[name] = kind(self.stir)
        zone = ZONES[name[:6].rstrip("-2")] if name not in ZONES else ZONES[name]
        engine.recorder = Recorder(self.marks[zone], self.common)
        text = partial(result, name, [0])
        engine.result = text
        if kind is FlightEngine:
            engine.result = lambda statement: self.in_parts(text(statement))
            engine.changed = lambda statement: int(statement.split()[1][1:])
            engine.trailers = (
                ("x-gauges", "inflight:1;util:0.2"),
                ("elapsed-work", "10"),
                ("high-water", "8"),
            )
        else:
            engine.extra_headers = {
                "X-Gauges": "inflight:1;util:0.2",
                "Elapsed-Work": "10",
                "High-Water": "8",
            }
        engine.duration = lambda txn: 0.004 + 0.012 * self.chance.share("lasts", txn)
        engine.fault = partial(self.fault, name, FLIGHT_FAULTS if kind is FlightEngine else HTTP_FAULTS)
        await (engine.start(port) if port else engine.start())

    def in_parts(self, text):
        """The messages of a result, some hundred rows each, so that there are places to break between."""
        lines, made = text.splitlines(keepends=True), []
        for start in range(0, len(lines), 100):
            schema, *batches = columns.encode_rows(["".join(lines[start : start + 100]).encode()])
            made = made or [schema]
            made += batches
        return made

    def fault(self, name, faults, call, txn):
        if call not in faults:
            return None
        self.calls_by[name, call] += 1
        step = self.chance.among(faults[call], "fault", name, call, self.calls_by[name, call])
        if step:
            self.faults[f"{call} {step.split()[0]}"] += 1
        return step.split() or None

    def port(self, name):
        return (self.relays.get(name) or self.engines[name]).port

    async def open(self):
        for name in ZONES:
            await self.engine(name)
        relay = self.relays["f-cala"] = Relay(self.engines["f-cala"].port)
        relay.cuts = [20_000 + self.chance.below(400_000, "cut", n) for n in range(2_000)]
        await relay.start()
        loop = asyncio.get_running_loop()
        _, self.directory = await loop.create_datagram_endpoint(
            lambda: Directory(self.stir), local_addr=("127.0.0.1", 0)
        )
        self.list_anew()
        known = [(name, f"127.0.0.1:{self.port(name)}", zone) for name, zone in ZONES.items()]
        told = front_config.read(configuration(known, f"127.0.0.1:{self.directory.port}", settings()), {})
        terms = Flight(
            listen="127.0.0.1:0",
            engines=("f-cala", "f-duna", "f-duna-2"),
            tenant="acme",
            held_bytes=HELD_BYTES,
            tickets=100_000,
            ticket_s=20.0,
        )
        ready = loop.create_future()

        def log(event, **facts):
            if event == "ready":
                ready.set_result(facts)
            elif event.endswith("failed"):
                self.failures.append((event, facts))

        self.failures = []
        self.server = FrontServer(told, log, operator=Operator(flight=terms))
        self.running = asyncio.create_task(self.server.run())
        facts = await ready
        self.listen, self.flight_port = facts["listen"], facts["flight"][1]
        self.channels = [self.channel() for _ in range(4)]
        self.rpc = [await Line(self).open() for _ in range(4)]

    def channel(self):
        options = (("grpc.use_local_subchannel_pool", 1), ("grpc.enable_retries", 0))
        return aio.insecure_channel(f"127.0.0.1:{self.flight_port}", options=options)

    def list_anew(self, draining=(), without=()):
        self.directory.serial += 1
        self.directory.entries = {
            name: (self.port(name), name in draining, ZONES.get(name, "sud"))
            for name in self.engines
            if name not in without
        }
        return self.directory.serial

    async def told_anew(self, draining):
        """A new list, once the front has been told it."""
        serial = self.list_anew(draining, self.gone)
        async with asyncio.timeout(5):
            while serial not in self.directory.first_sent:
                self.stir.clear()
                await self.stir.wait()
        return serial

    # What happens as batches go by: drains, and an engine that goes and is followed at its address.

    async def turn(self, place):
        phase = place % 200
        names = [name for name in self.engines if name not in self.gone]
        if phase == 20:
            name = names[self.chance.below(len(names), "drain", place)]
            self.drains.append([name, await self.told_anew((name,)), None])
        elif phase == 160 and self.drains:
            self.drains[-1][2] = await self.told_anew(())
        elif place == max(self.batches // 400 * 200 + 180, 1) and "f-duna-2" not in self.engines:
            old = self.engines["f-duna"]
            await old.stop(0)
            old.recorder.record_crash()
            self.gone.append("f-duna")
            await self.engine("f-duna-2", old.port)
            self.list_anew((), self.gone)

    async def play(self):
        gate = asyncio.Semaphore(MOST_OPEN_BATCHES)
        tasks = []
        for place in range(self.batches):
            await gate.acquire()
            await self.turn(place)
            task = asyncio.create_task(self.one(Asked(self.chance, place, long_share=self.long_share)))
            task.add_done_callback(lambda _: gate.release())
            tasks.append(task)
        await asyncio.gather(*tasks)

    async def one(self, asked):
        """One batch by its door; a load that did not come through is asked for once more by the other."""
        self.asked.append(asked)
        await getattr(self, "by_" + asked.door)(asked)
        # Only what a front says is harmless to ask for again is asked for again.
        if asked.group == "load" and asked.what == "pushed back" and not asked.of and asked.manner == "usual":
            await self.one(Asked(self.chance, self.batches + asked.place, asked))

    # Clients.

    async def by_rpc(self, asked):
        line = self.rpc[asked.place % 4]
        if asked.manner == "hangs up":
            line = await Line(self).open()
        await line.ask(asked)
        if asked.manner == "hangs up":
            await asyncio.sleep(self.chance.share("when", asked.place) * 0.02)
            line.leave()
        elif asked.manner == "withdraws":
            await asyncio.sleep(self.chance.share("when", asked.place) * 0.02)
            line.withdraw(asked)
        if asked.manner == "usual":
            await line.answered(asked)

    async def by_flight(self, asked):
        channel = self.channels[asked.place % 4]
        own = asked.manner in ("hangs up", "reads slowly")
        channel = self.channel() if own else channel
        try:
            await self.calls(asked, channel)
        except CallError as why:
            asked.answers += 1
            asked.what = "pushed back" if why.code in ("RESOURCE_EXHAUSTED", "UNAVAILABLE") else "errored"
            self.statuses[why.code] += 1
        finally:
            if own:
                await channel.close()

    async def calls(self, asked, channel):
        said, manner = asked.headers(), asked.manner
        if manner == "update":
            changed = await flight_client.update(channel, asked.statement(), said)
            asked.answers, asked.what = asked.answers + 1, "returned"
            self.rows_wrong += changed not in (asked.rows, -1)
            return
        if manner == "prepared":
            info = await self.prepared(asked, channel, said)
        else:
            info = await flight_client.info(channel, asked.statement(), said)
        ticket = info.endpoint[0].ticket
        if manner == "never redeems":
            asked.what = "not taken"
            return
        if manner == "forges":
            with suppress(CallError):
                await flight_client.get(channel, pb.Ticket(ticket=ticket.ticket[:-1] + b"!"))
                self.rows_wrong += 1
        if manner in ("cancels", "calls off", "hangs up"):
            await self.leaves(asked, channel, info)
            return
        pause = None
        if manner == "reads slowly":
            pause = asyncio.Event()
            asyncio.get_running_loop().call_later(0.3, pause.set)
        table = await flight_client.get(channel, ticket, pause=pause)
        asked.answers, asked.what = asked.answers + 1, "returned"
        self.rows_wrong += not right(asked, [tuple(row.values()) for row in table.to_pylist()])
        if manner == "redeems twice":
            with suppress(CallError):
                await flight_client.get(channel, ticket)
                asked.answers += 1

    async def prepared(self, asked, channel, said):
        wanted = sql.ActionCreatePreparedStatementRequest(query=asked.statement())
        body, _ = await flight_client.action(channel, "CreatePreparedStatement", codec.encode_any(wanted))
        handle = codec.decode_command(body).prepared_statement_handle
        command = sql.CommandPreparedStatementQuery(prepared_statement_handle=handle)
        info = await flight_client.unary(channel, "GetFlightInfo", flight_client.descriptor(command), said)
        await flight_client.action(
            channel,
            "ClosePreparedStatement",
            codec.encode_any(sql.ActionClosePreparedStatementRequest(prepared_statement_handle=handle)),
        )
        return pb.FlightInfo.FromString(info)

    async def leaves(self, asked, channel, info):
        """The client stops waiting: by a cancelled call, by calling the batch off, or by a lost connection.
        Its answer is the end that it made itself, or one that had come before."""
        call = asyncio.create_task(flight_client.get(channel, info.endpoint[0].ticket))
        await asyncio.sleep(self.chance.share("when", asked.place) * 0.04)
        if asked.manner == "cancels":
            call.cancel()
        elif asked.manner == "hangs up":
            await channel.close()
        else:
            body = pb.CancelFlightInfoRequest(info=info).SerializeToString()
            await flight_client.action(channel, "CancelFlightInfo", body)
        done, _ = await asyncio.wait((call,), timeout=LIMIT_MS / 1e3 + 1)
        asked.answers += bool(done)
        asked.what = "left"
        if call in done and not call.cancelled() and not call.exception():
            asked.what = "returned"
            self.rows_wrong += not right(asked, [tuple(row.values()) for row in call.result().to_pylist()])

    # The end, and the books.

    async def shut(self):
        async with asyncio.timeout(LIMIT_MS / 1e3 + 5):
            while self.server.batches.by_number:
                await asyncio.sleep(0.02)
        # What would come after the one answer has come by now: it has no cause left.
        await asyncio.sleep(0.1)
        self.server.stop.set()
        async with asyncio.timeout(15):
            await self.running
        for channel in self.channels:
            await channel.close()
        for line in self.rpc:
            line.leave()
        for part in (*self.engines.values(), *self.relays.values()):
            await part.stop()
        self.directory.transport.close()

    def verdict(self):
        books = [engine.recorder for engine in self.engines.values()]
        lines = sorted(line for book in books for line in book.records)
        owed = [a for a in self.asked if a.what not in ("not taken", "left") and a.manner not in LEAVERS]
        answers = Counter("2+" if a.answers > 1 else str(a.answers) for a in owed)
        answers["2+"] += self.extra_answers
        ran = Counter(
            line.txn if line.lane == "pay" else line.key
            for line in lines
            if line.event == "ran" and line.lane != "lookup"
        )
        twice = sum(count > 1 for count in ran.values())
        most = max(self.common.max_open.values(), default=0)
        broken = []
        if answers["0"] or answers["2+"]:
            broken.append("1: one final answer")
        if twice:
            broken.append("2: no effect twice")
        if self.rows_wrong:
            broken.append("1: rows of one run, whole")
        if most > 1:
            broken.append("one dispatch out at a time")
        broken += self.after_drains() + self.by_key(lines) + self.further(lines)
        counts = self.server.metrics.counts
        broken += [f"must: {name}" for name in counts if name.startswith("broken")]
        broken += [f"fault: {event}" for event, _ in self.failures]
        told = sum(counts[name] for name in ("End", "Begun", "PushBack", "Error"))
        left = counts["taken"] - told
        if not 0 <= left <= sum(a.manner in LEAVERS for a in self.asked):
            broken.append("the front's own book")
        if self.server.flight.engines.quota.reserved or self.server.flight.server.open_batches:
            broken.append("something is still held")
        by_engine = Counter()
        for name, engine in self.engines.items():
            by_engine["flight" if name.startswith("f") else "http"] += engine.recorder.count("arrived")
        figures = {
            "batches": len(self.asked),
            "by_door": dict(Counter(a.door for a in self.asked)),
            "dispatches_by_protocol": dict(by_engine),
            "answers": {name: answers[name] for name in ("0", "1", "2+")},
            "ends": dict(Counter(a.what or "left" for a in self.asked)),
            "effects_twice": twice,
            "most_out_at_once": most,
            "rows_wrong": self.rows_wrong,
            "went_on_before_whole": counts["Begun"],
            "drains": len(self.drains),
            "faults": dict(sorted(self.faults.items())),
            "statuses": dict(sorted(self.statuses.items())),
            "front": {name: count for name, count in sorted(counts.items()) if name.startswith("dispatches")},
            "cpu_s": round(process_time(), 1),
            "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024),
        }
        return broken, figures

    def after_drains(self):
        """Rule 3: nothing new comes to a draining engine past the grace after it was told."""
        found = 0
        for name, serial, back in self.drains:
            since = self.directory.first_sent[serial] + DRAIN_GRACE_S + DRAIN_SEEN_LATE_S
            until = self.directory.first_sent.get(back, float("inf"))
            found += sum(
                since < line.at < until
                for line in self.engines[name].recorder.records
                if line.event == "arrived"
            )
        return [f"3: {found} dispatches after a drain"] if found else []

    def by_key(self, lines):
        """Rule 5: loads of one table go one at a time, and rest after one that was given up or lost."""
        key = {a.mark: a.table for a in self.asked if a.group == "load"}
        out, rests, wrong = defaultdict(Counter), {}, Counter()
        for line in (line for line in lines if line.lane == "load"):
            table = key[line.key]
            if line.event == "arrived":
                wrong["together"] += any(n for txn, n in out[table].items() if txn != line.txn)
                wrong["rest"] += line.at < rests.get(table, (0, ""))[0] and rests[table][1] != line.txn
                out[table][line.txn] += 1
            elif line.event in ("answered", "refused", "given up", "lost", "unheard"):
                out[table][line.txn] -= 1
                if line.event in ("given up", "lost"):
                    rests[table] = line.at + KEY_REST_S - 0.02, line.txn
        return [f"5: {what} {count}" for what, count in wrong.items() if count]

    def further(self, lines):
        """Rule 7: in any window no more further dispatches than the budget."""
        first, again = set(), []
        began = []
        for line in (line for line in lines if line.event == "arrived"):
            (again if line.txn in first else began).append(line.at)
            first.add(line.txn)
        # A dispatch is counted where it is decided and seen here where it arrives: 0.1 s either way.
        for at in again:
            extra = bisect_right(again, at) - bisect_left(again, at - RETRY_WINDOW_S + 0.1)
            taken = bisect_right(began, at + 0.1) - bisect_left(began, at - RETRY_WINDOW_S - LIMIT_MS / 1e3)
            if extra > RETRY_FLOOR + RETRY_SHARE * taken:
                return ["7: further dispatches past the budget"]
        return []


async def run(seed, batches, sabotage):
    rig = Rig(seed, batches, sabotage)
    await rig.open()
    await rig.play()
    await rig.shut()
    return rig.verdict()


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--batches", type=click.IntRange(1), default=1_000, show_default=True)
@click.option("--full", is_flag=True, help="20,000 batches.")
@click.option("--sabotage", type=click.Choice(sorted(SABOTAGE)), default="", help="Break a guard.")
def main(seed, batches, full, sabotage):
    """Exactly one final answer a batch, by both doors and both kinds of engines, through every fault."""
    broken, figures = asyncio.run(run(seed, 20_000 if full else batches, sabotage))
    close("flight", seed, broken, figures)


if __name__ == "__main__":
    main()
