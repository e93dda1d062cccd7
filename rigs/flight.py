"""Runs batches over both client interfaces, with two engines of each protocol and faults drawn from a seed.

Counts the final answers of each batch at the clients and the effects at the engines, and compares both with
the front's own counters. `--sabotage NAME` breaks the front on purpose, to show that the rig detects it.
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

from rigs.flight_batches import ClientBatch, result, is_correct
from rigs.flight_line import ABANDONING_BEHAVIOURS, RpcClient
from rigs.flight_sabotage import LONG_RESULT_SHARES, SABOTAGES
from rigs.flight_terms import (
    FLIGHT_FAULTS,
    RETRY_BUDGET_FLOOR,
    DRAIN_GRACE_S,
    MAX_BUFFERED_BYTES,
    HTTP_FAULTS,
    DRAIN_OBSERVATION_DELAY_S,
    DEADLINE_MS,
    LONG_RESULT_SHARE,
    KEY_COOL_DOWN_S,
    RETRY_BUDGET_SHARE,
    MAX_OPEN_BATCHES,
    RETRY_WINDOW_S,
    ZONES,
    settings,
)
from rigs.results import Chance, report_and_exit
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
    """A front with its fake engines and clients, all in this process."""

    def __init__(self, seed, batch_count, sabotage):
        self.chance, self.batch_count, self.activity = Chance(seed), batch_count, asyncio.Event()
        self.shared_counts, self.engines, self.relays, self.stopped = SharedCounts(), {}, {}, []
        self.keys_by_zone = {"nord": set(), "sud": set()}
        self.client_batches, self.rows_wrong, self.by_number = [], 0, {}
        self.faults, self.statuses, self.drains = Counter(), Counter(), []
        self.call_counts = defaultdict(int)
        # The ids of batches of which one dispatch is yet to run on after its call broke.
        self.detached_ids = set()
        self.extra_answers = 0
        SABOTAGES[sabotage]()
        self.long_result_share = LONG_RESULT_SHARES.get(sabotage, LONG_RESULT_SHARE)

    # Engines, directory and front.

    async def engine(self, name, port=0):
        """Starts a fake engine; its protocol follows from the first letter of its name."""
        kind = FlightEngine if name.startswith("f") else HttpEngine
        engine = self.engines[name] = kind(self.activity)
        zone = ZONES[name[:6].rstrip("-2")] if name not in ZONES else ZONES[name]
        engine.recorder = Recorder(self.keys_by_zone[zone], self.shared_counts)
        text = partial(result, name, [0])
        engine.result = text
        if kind is FlightEngine:
            engine.result = lambda statement: self.split_result(text(statement))
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

    def split_result(self, text):
        """The messages of a result, of 100 rows each, so that a fault can cut the stream between two."""
        lines, messages = text.splitlines(keepends=True), []
        for start in range(0, len(lines), 100):
            schema, *batches = columns.encode_rows(["".join(lines[start : start + 100]).encode()])
            messages = messages or [schema]
            messages += batches
        return messages

    def fault(self, name, faults, call, txn):
        """Draws the fault of one call of an engine; None for no fault."""
        if txn in self.detached_ids and call == "DoGet":
            # Only a dispatch that still runs when the next one begins shows that it was not cancelled.
            self.detached_ids.remove(txn)
            self.faults["DoGet detached"] += 1
            return ["detached"]
        if call not in faults:
            return None
        self.call_counts[name, call] += 1
        step = self.chance.among(faults[call], "fault", name, call, self.call_counts[name, call])
        if step:
            self.faults[f"{call} {step.split()[0]}"] += 1
        return step.split() or None

    def port(self, name):
        """The port at which the front reaches an engine: that of its relay if it has one."""
        return (self.relays.get(name) or self.engines[name]).port

    async def open(self):
        """Starts the engines, the relay, the directory, the front and the clients."""
        for name in ZONES:
            await self.engine(name)
        relay = self.relays["f-cala"] = Relay(self.engines["f-cala"].port)
        relay.cuts = [20_000 + self.chance.below(400_000, "cut", n) for n in range(2_000)]
        await relay.start()
        loop = asyncio.get_running_loop()
        _, self.directory = await loop.create_datagram_endpoint(
            lambda: Directory(self.activity), local_addr=("127.0.0.1", 0)
        )
        self.publish_list()
        known = [(name, f"127.0.0.1:{self.port(name)}", zone) for name, zone in ZONES.items()]
        parsed = front_config.read(configuration(known, f"127.0.0.1:{self.directory.port}", settings()), {})
        flight_options = Flight(
            listen="127.0.0.1:0",
            engines=("f-cala", "f-duna", "f-duna-2"),
            tenant="acme",
            held_bytes=MAX_BUFFERED_BYTES,
            tickets=100_000,
            ticket_s=20.0,
        )
        ready = loop.create_future()

        def log(event, **fields):
            if event == "ready":
                ready.set_result(fields)
            elif event.endswith("failed"):
                self.failures.append((event, fields))

        self.failures = []
        self.server = FrontServer(parsed, log, operator=Operator(flight=flight_options))
        self.running = asyncio.create_task(self.server.run())
        fields = await ready
        self.listen, self.flight_port = fields["listen"], fields["flight"][1]
        self.channels = [self.channel() for _ in range(4)]
        self.rpc_clients = [await RpcClient(self).open() for _ in range(4)]

    def channel(self):
        options = (("grpc.use_local_subchannel_pool", 1), ("grpc.enable_retries", 0))
        return aio.insecure_channel(f"127.0.0.1:{self.flight_port}", options=options)

    def publish_list(self, draining=(), without=()):
        """Publishes a new engine list in the directory; returns its serial number."""
        self.directory.serial += 1
        self.directory.entries = {
            name: (self.port(name), name in draining, ZONES.get(name, "sud"))
            for name in self.engines
            if name not in without
        }
        return self.directory.serial

    async def publish_list_and_wait(self, draining):
        """Publishes a new engine list; returns its serial number once the list was sent to the front."""
        serial = self.publish_list(draining, self.stopped)
        async with asyncio.timeout(5):
            while serial not in self.directory.first_sent:
                self.activity.clear()
                await self.activity.wait()
        return serial

    # Events between batches: drains, and an engine that stops and is replaced by another at its address.

    async def schedule_event(self, index):
        """Starts or ends a drain, or replaces an engine, if one is due before this batch."""
        phase = index % 200
        names = [name for name in self.engines if name not in self.stopped]
        if phase == 20:
            name = names[self.chance.below(len(names), "drain", index)]
            self.drains.append([name, await self.publish_list_and_wait((name,)), None])
        elif phase == 160 and self.drains:
            self.drains[-1][2] = await self.publish_list_and_wait(())
        elif index == max(self.batch_count // 400 * 200 + 180, 1) and "f-duna-2" not in self.engines:
            old = self.engines["f-duna"]
            await old.stop(0)
            old.recorder.record_crash()
            self.stopped.append("f-duna")
            await self.engine("f-duna-2", old.port)
            self.publish_list((), self.stopped)

    async def run_batches(self):
        """Runs all batches, at most `MAX_OPEN_BATCHES` at once."""
        gate = asyncio.Semaphore(MAX_OPEN_BATCHES)
        tasks = []
        for index in range(self.batch_count):
            await gate.acquire()
            await self.schedule_event(index)
            task = asyncio.create_task(
                self.run_batch(ClientBatch(self.chance, index, long_result_share=self.long_result_share))
            )
            task.add_done_callback(lambda _: gate.release())
            tasks.append(task)
        await asyncio.gather(*tasks)

    async def run_batch(self, batch):
        """Runs one batch; retries a load that the front pushed back once, over the other interface."""
        self.client_batches.append(batch)
        if batch.is_detached:
            self.detached_ids.add(batch.rpc_id)
        await getattr(self, "by_" + batch.interface)(batch)
        # Push-back is the only outcome after which the front declares a retry safe.
        if (
            batch.query_class == "load"
            and batch.outcome == "pushed back"
            and not batch.retry_of
            and batch.behaviour == "usual"
        ):
            await self.run_batch(ClientBatch(self.chance, self.batch_count + batch.index, batch))

    # Clients.

    async def by_rpc(self, batch):
        """Runs a batch over JSON-RPC."""
        client = self.rpc_clients[batch.index % 4]
        if batch.behaviour == "hangs up":
            client = await RpcClient(self).open()
        await client.send(batch)
        if batch.behaviour == "hangs up":
            await asyncio.sleep(self.chance.share("when", batch.index) * 0.02)
            client.close()
        elif batch.behaviour == "withdraws":
            await asyncio.sleep(self.chance.share("when", batch.index) * 0.02)
            client.withdraw(batch)
        if batch.behaviour == "usual":
            await client.wait_for_response(batch)

    async def by_flight(self, batch):
        """Runs a batch over Flight SQL."""
        channel = self.channels[batch.index % 4]
        own_channel = batch.behaviour in ("hangs up", "reads slowly")
        channel = self.channel() if own_channel else channel
        try:
            await self.query_or_update(batch, channel)
        except CallError as error:
            batch.answer_count += 1
            batch.outcome = (
                "pushed back" if error.code in ("RESOURCE_EXHAUSTED", "UNAVAILABLE") else "errored"
            )
            self.statuses[error.code] += 1
        finally:
            if own_channel:
                await channel.close()

    async def query_or_update(self, batch, channel):
        """Makes the Flight SQL calls of a batch, by the behaviour of its client."""
        headers, behaviour = batch.headers(), batch.behaviour
        if behaviour == "update":
            changed = await flight_client.update(channel, batch.statement(), headers)
            batch.answer_count, batch.outcome = batch.answer_count + 1, "returned"
            self.rows_wrong += changed not in (batch.rows, -1)
            return
        if behaviour == "prepared":
            info = await self.prepared_info(batch, channel, headers)
        else:
            info = await flight_client.info(channel, batch.statement(), headers)
        ticket = info.endpoint[0].ticket
        if behaviour == "never redeems":
            batch.outcome = "not taken"
            return
        if behaviour == "forges":
            with suppress(CallError):
                await flight_client.get(channel, pb.Ticket(ticket=ticket.ticket[:-1] + b"!"))
                self.rows_wrong += 1
        if behaviour in ("cancels", "calls off", "hangs up"):
            await self.abandon(batch, channel, info)
            return
        pause = None
        if behaviour == "reads slowly":
            pause = asyncio.Event()
            asyncio.get_running_loop().call_later(0.3, pause.set)
        table = await flight_client.get(channel, ticket, pause=pause)
        batch.answer_count, batch.outcome = batch.answer_count + 1, "returned"
        self.rows_wrong += not is_correct(batch, [tuple(row.values()) for row in table.to_pylist()])
        if behaviour == "redeems twice":
            with suppress(CallError):
                await flight_client.get(channel, ticket)
                batch.answer_count += 1

    async def prepared_info(self, batch, channel, headers):
        """Gets a batch's flight info through a prepared statement."""
        request = sql.ActionCreatePreparedStatementRequest(query=batch.statement())
        body, _ = await flight_client.action(channel, "CreatePreparedStatement", codec.encode_any(request))
        handle = codec.decode_command(body).prepared_statement_handle
        command = sql.CommandPreparedStatementQuery(prepared_statement_handle=handle)
        info = await flight_client.unary(channel, "GetFlightInfo", flight_client.descriptor(command), headers)
        await flight_client.action(
            channel,
            "ClosePreparedStatement",
            codec.encode_any(sql.ActionClosePreparedStatementRequest(prepared_statement_handle=handle)),
        )
        return pb.FlightInfo.FromString(info)

    async def abandon(self, batch, channel, info):
        """The client stops waiting: it cancels the call, cancels the batch, or closes the connection.

        The end of its own call counts as its answer, as does a result that arrived before.
        """
        call = asyncio.create_task(flight_client.get(channel, info.endpoint[0].ticket))
        await asyncio.sleep(self.chance.share("when", batch.index) * 0.04)
        if batch.behaviour == "cancels":
            call.cancel()
        elif batch.behaviour == "hangs up":
            await channel.close()
        else:
            body = pb.CancelFlightInfoRequest(info=info).SerializeToString()
            await flight_client.action(channel, "CancelFlightInfo", body)
        done, _ = await asyncio.wait((call,), timeout=DEADLINE_MS / 1e3 + 1)
        batch.answer_count += bool(done)
        batch.outcome = "left"
        if call in done and not call.cancelled() and not call.exception():
            batch.outcome = "returned"
            self.rows_wrong += not is_correct(
                batch, [tuple(row.values()) for row in call.result().to_pylist()]
            )

    # The end, and the checks.

    async def stop(self):
        """Waits until no batch is open, then stops front, clients, engines and directory."""
        async with asyncio.timeout(DEADLINE_MS / 1e3 + 5):
            while self.server.batches.by_number:
                await asyncio.sleep(0.02)
        # Any second answer arrives within this time, as no batch is open any more.
        await asyncio.sleep(0.1)
        self.server.stop.set()
        async with asyncio.timeout(15):
            await self.running
        for channel in self.channels:
            await channel.close()
        for client in self.rpc_clients:
            client.close()
        for part in (*self.engines.values(), *self.relays.values()):
            await part.stop()
        self.directory.transport.close()

    def verdict(self):
        """The broken rules and the figures of a run."""
        recorders = [engine.recorder for engine in self.engines.values()]
        records = sorted(record for recorder in recorders for record in recorder.records)
        batches_due_answers = [
            a
            for a in self.client_batches
            if a.outcome not in ("not taken", "left") and a.behaviour not in ABANDONING_BEHAVIOURS
        ]
        answers = Counter("2+" if a.answer_count > 1 else str(a.answer_count) for a in batches_due_answers)
        answers["2+"] += self.extra_answers
        run_counts = Counter(
            record.txn if record.lane == "pay" else record.key
            for record in records
            if record.event == "ran" and record.lane != "lookup"
        )
        repeated_effects = sum(count > 1 for count in run_counts.values())
        max_open = max(self.shared_counts.max_open.values(), default=0)
        broken = []
        if answers["0"] or answers["2+"]:
            broken.append("1: one final answer")
        if repeated_effects:
            broken.append("2: no effect twice")
        if self.rows_wrong:
            broken.append("1: rows of one run, whole")
        if max_open > 1:
            broken.append("one dispatch out at a time")
        broken += (
            self.dispatches_after_drains()
            + self.sequential_violations(records)
            + self.retry_budget_violations(records)
        )
        counts = self.server.metrics.counts
        broken += [f"must: {name}" for name in counts if name.startswith("broken")]
        broken += [f"fault: {event}" for event, _ in self.failures]
        answered = sum(counts[name] for name in ("End", "Begun", "PushBack", "Error"))
        unanswered = counts["taken"] - answered
        if not 0 <= unanswered <= sum(a.behaviour in ABANDONING_BEHAVIOURS for a in self.client_batches):
            broken.append("the front's own book")
        if self.server.flight.engines.quota.reserved or self.server.flight.server.open_batches:
            broken.append("something is still held")
        by_protocol = Counter()
        for name, engine in self.engines.items():
            by_protocol["flight" if name.startswith("f") else "http"] += engine.recorder.count("arrived")
        figures = {
            "batches": len(self.client_batches),
            "by_door": dict(Counter(a.interface for a in self.client_batches)),
            "dispatches_by_protocol": dict(by_protocol),
            "answers": {name: answers[name] for name in ("0", "1", "2+")},
            "ends": dict(Counter(a.outcome or "left" for a in self.client_batches)),
            "effects_twice": repeated_effects,
            "most_out_at_once": max_open,
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

    def dispatches_after_drains(self):
        """Rule 3: a draining engine receives no dispatch after the grace that follows its drain."""
        found = 0
        for name, serial, back in self.drains:
            since = self.directory.first_sent[serial] + DRAIN_GRACE_S + DRAIN_OBSERVATION_DELAY_S
            until = self.directory.first_sent.get(back, float("inf"))
            found += sum(
                since < record.at < until
                for record in self.engines[name].recorder.records
                if record.event == "arrived"
            )
        return [f"3: {found} dispatches after a drain"] if found else []

    def sequential_violations(self, records):
        """Rule 5: loads of one table run one at a time, with a cool-down after one given up or lost."""
        table_by_key = {a.key: a.table for a in self.client_batches if a.query_class == "load"}
        open_dispatches, cool_downs, violations = defaultdict(Counter), {}, Counter()
        for record in (record for record in records if record.lane == "load"):
            table = table_by_key[record.key]
            if record.event == "arrived":
                violations["together"] += any(
                    n for txn, n in open_dispatches[table].items() if txn != record.txn
                )
                violations["rest"] += (
                    record.at < cool_downs.get(table, (0, ""))[0] and cool_downs[table][1] != record.txn
                )
                open_dispatches[table][record.txn] += 1
            elif record.event in ("answered", "refused", "given up", "lost", "unheard"):
                open_dispatches[table][record.txn] -= 1
                if record.event in ("given up", "lost"):
                    cool_downs[table] = record.at + KEY_COOL_DOWN_S - 0.02, record.txn
        return [f"5: {what} {count}" for what, count in violations.items() if count]

    def retry_budget_violations(self, records):
        """Rule 7: no window has more dispatches after a batch's first than the retry budget allows."""
        seen, first_arrivals, retry_arrivals = set(), [], []
        for record in (record for record in records if record.event == "arrived"):
            (retry_arrivals if record.txn in seen else first_arrivals).append(record.at)
            seen.add(record.txn)
        # The front counts a dispatch when it decides it, the rig when it arrives: 0.1 s tolerance either way.
        for at in retry_arrivals:
            retries = bisect_right(retry_arrivals, at) - bisect_left(
                retry_arrivals, at - RETRY_WINDOW_S + 0.1
            )
            received = bisect_right(first_arrivals, at + 0.1) - bisect_left(
                first_arrivals, at - RETRY_WINDOW_S - DEADLINE_MS / 1e3
            )
            if retries > RETRY_BUDGET_FLOOR + RETRY_BUDGET_SHARE * received:
                return ["7: further dispatches past the budget"]
        return []


async def run(seed, batches, sabotage):
    """Runs the rig; returns its broken rules and figures."""
    rig = Rig(seed, batches, sabotage)
    await rig.open()
    await rig.run_batches()
    await rig.stop()
    return rig.verdict()


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--batches", type=click.IntRange(1), default=1_000, show_default=True)
@click.option("--full", is_flag=True, help="20,000 batches.")
@click.option("--sabotage", type=click.Choice(sorted(SABOTAGES)), default="", help="Break a guard.")
def main(seed, batches, full, sabotage):
    """Exactly one final answer a batch, by both doors and both kinds of engines, through every fault."""
    broken, figures = asyncio.run(run(seed, 20_000 if full else batches, sabotage))
    report_and_exit("flight", seed, broken, figures)


if __name__ == "__main__":
    main()
