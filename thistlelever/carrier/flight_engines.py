"""Engines that speak Arrow Flight SQL: GetFlightInfo starts a batch, DoGet brings its result.

What no specification defines (reports, notes, priority, cancel, drop of repeats, 'never ran') is said in
headers, metadata and actions as `docs/flight-engines.md` sets them down. Of a broken call only that is told
as never run which an engine has said so, or whose connection was not up: a gRPC status alone proves nothing.
"""

from __future__ import annotations

import asyncio
from math import ceil

import grpc
from grpc import StatusCode, aio

from thistlelever.carrier.desk import Desk
from thistlelever.carrier.dispatch import End, Ended, Sending
from thistlelever.carrier.flow import Begun, Flow
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.config import Entry
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, DispatchName
from thistlelever.store.engine_registry import EngineRegistry
from thistlelever.wire.flight import columns
from thistlelever.wire.flight import flight_pb2 as pb
from thistlelever.wire.flight import flight_sql_pb2 as sql
from thistlelever.wire.flight.codec import SERVICE, Unreadable, decode, decode_stream_message, encode_any
from thistlelever.wire.http import parse_load_report, parse_measure
from thistlelever.wire.read_buffer import BufferQuota, TooLong

# Retries that gRPC makes of itself would be dispatches that nobody decided; keep-alives find a peer that has
# vanished; windows that grow by measure would hold what a slow reader leaves.
CHANNEL = (
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", 262_144),
    ("grpc.max_receive_message_length", 16 << 20),
    ("grpc.max_metadata_size", 16_384),
    ("grpc.absolute_max_metadata_size", 32_768),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.http2.max_pings_without_data", 2),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.enable_http_proxy", 0),
)
# Side calls (cancel, priority, load) are short; the cancel is repeated so long.
WORD_WITHIN, DROPPED_AFTER, RETRY_PACE = 0.25, 2.0, 0.05
MOST_ENDPOINTS = 64
# Rows of text that fit the platform's own door take less than this as columns.
MOST_FOR_ROWS = 4 * columns.MAX_TEXT_BYTES
# What our own protocol calls its actions on engines.
PRIORITY, STATS, CANCEL = "thistlelever.priority", "thistlelever.stats", "CancelFlightInfo"
PROGRESS_KINDS = {
    "advance": it.ProgressKind.PROGRESS,
    "disk": it.ProgressKind.SPILL,
    "stall": it.ProgressKind.WAITING,
}
# The call broke, or was said to have; whether the batch ran is unknown, and it may run on.
BROKEN = frozenset((StatusCode.UNAVAILABLE, StatusCode.CANCELLED, StatusCode.UNKNOWN, StatusCode.INTERNAL))
Connectivity = grpc.ChannelConnectivity
Metadata = tuple[tuple[str, str], ...]
# Nothing is begun by such a call: the engine answers as to the one that began the dispatch, once it can.
RESUMED: Metadata = (("x-resume", "1"),)
NOTHING = pb.FlightDescriptor(type=pb.FlightDescriptor.CMD, cmd=b"").SerializeToString()
SAID = {StatusCode.DEADLINE_EXCEEDED: "running", StatusCode.NOT_FOUND: "unknown"}
REFUSED = frozenset((StatusCode.RESOURCE_EXHAUSTED, StatusCode.UNAVAILABLE))


class Hold:
    """The first messages of one result, while it could still come from another dispatch."""

    def __init__(self, most: int, quota: BufferQuota) -> None:
        self.most, self.quota, self.size = most, quota, 0
        self.messages: list[bytes] = []
        self.schema = None

    def add(self, raw: bytes) -> bool:
        """Keep a message; whether there is room for more."""
        self.messages.append(raw)
        try:
            self.quota.reserve(len(raw))
        except TooLong:
            return False
        self.size += len(raw)
        return self.size <= self.most

    def release(self) -> None:
        self.quota.reserve(-self.size)
        self.messages, self.size = [], 0


class FlightEngines:
    """One channel an engine, kept by its id; see `Speech` in `dispatch.py`."""

    def __init__(
        self,
        settings: it.Settings,
        registry: EngineRegistry,
        desk: Desk,
        metrics: Metrics,
        held: int,
        between: int,
        quota: BufferQuota,
    ) -> None:
        self.fields, self.connect_limit = settings.report_fields, settings.connect_limit
        self.registry, self.desk, self.metrics = registry, desk, metrics
        # What one result may hold before it begins to go on, and all of them together.
        self.held, self.quota = held, quota
        # What of a result that goes on may lie between its engine and its client.
        self.between = between
        self.channels: dict[it.EngineId, aio.Channel] = {}
        self.closing: set[asyncio.Task] = set()

    async def converse(self, batch: Batch, entry: Entry, end: End, sent: Sending, till: float) -> None:
        try:
            order = command(batch)
        except UnicodeDecodeError:
            # A statement that this protocol can't carry; no engine that speaks it will do better.
            raise Ended(it.DispatchOutcome.ERRORED) from None
        channel = await self.channel(entry)
        if not sent.may_begin():
            raise Ended(it.DispatchOutcome.UNSENT)
        await self.fetch(channel, order, batch, entry, end, sent, till)

    async def resume(self, batch: Batch, entry: Entry, end: End, sent: Sending, till: float) -> None:
        if batch.is_update:
            # Its count is in the one answer to its call, which went to another front.
            raise Ended(it.DispatchOutcome.ASTRAY)
        try:
            channel = await self.channel(entry)
        except Ended:
            raise Ended(it.DispatchOutcome.RESET) from None
        await self.fetch(channel, command(batch), batch, entry, end, sent, till, RESUMED)

    async def fetch(
        self,
        channel: aio.Channel,
        order: bytes,
        batch: Batch,
        entry: Entry,
        end: End,
        sent: Sending,
        till: float,
        further: Metadata = (),
    ) -> None:
        """The calls of one dispatch."""
        sent.begun, sent.asked = True, clock.now()
        hold = Hold(self.held if batch.columns else MOST_FOR_ROWS, self.quota)
        try:
            if batch.is_update:
                await self.update(channel, order, batch, end, sent, till)
                return
            terms = self.terms(batch, end.number, till, further)
            call = channel.unary_unary(SERVICE + "GetFlightInfo")(order, **terms)
            info = decode(pb.FlightInfo, await call)
            sent.heard, sent.asked = True, clock.now()
            self.figures(await call.trailing_metadata(), end)
            if not 1 <= len(info.endpoint) <= MOST_ENDPOINTS:
                raise Unreadable(f"{len(info.endpoint)} endpoints")
            for endpoint in info.endpoint:
                call = channel.unary_stream(SERVICE + "DoGet")(
                    endpoint.ticket.SerializeToString(), **self.terms(batch, end.number, till)
                )
                await self.stream(call, batch, end, hold)
            self.whole(batch, end, hold)
        except aio.AioRpcError as why:
            self.figures(why.trailing_metadata(), end)
            if further and why.code() is StatusCode.NOT_FOUND:
                raise Ended(it.DispatchOutcome.ASTRAY) from None
            raise Ended(await self.outcome(why, entry, batch, sent)) from None
        except aio.UsageError:
            # Its channel was let go between two calls, as its engine is gone or its connection was lost.
            raise Ended(it.DispatchOutcome.RESET) from None
        except Unreadable as why:
            self.metrics.add("flight results without use")
            self.desk.log("flight result without use", why=str(why), engine=end.engine.decode("latin-1"))
            # What we stop reading its engine may run on.
            await self.give_up(batch, entry, sent)
            end.outcome = it.DispatchOutcome.ERRORED
        finally:
            hold.release()

    async def stream(self, call: aio.UnaryStreamCall, batch: Batch, end: End, hold: Hold) -> None:
        """Take one endpoint's messages: held while they are few, then handed on as they come."""
        first = True
        try:
            async for raw in call:
                said = decode_stream_message(raw)
                if not said.header:
                    self.note(said.metadata, batch, end)
                    continue
                if first:
                    first = False
                    schema = columns.decode_schema(raw)
                    if hold.schema is not None:
                        # Of a further endpoint; the schema was passed on already, and must be the same.
                        if not schema.equals(hold.schema):
                            raise Unreadable("endpoints of different schemas")
                        continue
                    hold.schema = schema
                if end.flow:
                    await end.flow.put(raw)
                elif not hold.add(raw):
                    if not batch.columns:
                        raise Unreadable("more than a client that takes rows can get")
                    # Too large to hold: from here on no other dispatch can bring it.
                    end.flow = Flow(end.number, hold.messages, self.between)
                    batch.inbox.put_nowait(Begun(end.number, end.flow))
                    hold.release()
            if first:
                raise Unreadable("a stream without a schema")
            self.figures(await call.trailing_metadata(), end)
        finally:
            call.cancel()

    def whole(self, batch: Batch, end: End, hold: Hold) -> None:
        """All is in. For a client of rows it becomes rows here, so that what does not fit is an error of this
        dispatch and not of the client's."""
        if batch.columns and not end.flow:
            end.stream_messages = list(hold.messages)
        elif not batch.columns:
            end.pages = [columns.decode_rows(hold.messages)]
        end.outcome = it.DispatchOutcome.RETURNED

    async def update(
        self, channel: aio.Channel, order: bytes, batch: Batch, end: End, sent: Sending, till: float
    ) -> None:
        call = channel.stream_stream(SERVICE + "DoPut")(**self.terms(batch, end.number, till))
        try:
            descriptor = decode(pb.FlightDescriptor, order)
            await call.write(pb.FlightData(flight_descriptor=descriptor).SerializeToString())
            await call.done_writing()
            async for raw in call:
                said = decode(pb.PutResult, raw)
                if said.app_metadata:
                    end.changed = decode(sql.DoPutUpdateResult, said.app_metadata).record_count
            self.figures(await call.trailing_metadata(), end)
            end.outcome = it.DispatchOutcome.RETURNED
        except asyncio.InvalidStateError:
            # The call was over before all of it was written; its status says why.
            raise aio.AioRpcError(
                await call.code(), await call.initial_metadata(), await call.trailing_metadata()
            ) from None
        finally:
            call.cancel()

    async def outcome(
        self, why: aio.AioRpcError, entry: Entry, batch: Batch, sent: Sending
    ) -> it.DispatchOutcome:
        """What a broken call means. Risk: UNAVAILABLE read as 'not sent' runs a batch twice: gRPC says it of
        a connection that broke with the batch at work, too."""
        said = dict(why.trailing_metadata() or ())
        if said.get("x-unrun") == "1":
            return it.DispatchOutcome.FULL if why.code() in REFUSED else it.DispatchOutcome.UNSENT
        if why.code() is StatusCode.DEADLINE_EXCEEDED:
            return it.DispatchOutcome.TIMED_OUT
        if why.code() not in BROKEN:
            # Risk: a status that this side made (a message too large) leaves the engine at work.
            await self.give_up(batch, entry, sent)
            return it.DispatchOutcome.ERRORED
        # Risk: an engine that never got the batch is taken for ill; on a day when connections break, all are.
        # Called off there as it is asked, so that what still lies in a buffer is not begun after that.
        name = batch.dispatch_name(sent.number)
        if not sent.heard and await self.cancel(entry, name, command(batch)) is StatusCode.NOT_FOUND:
            return it.DispatchOutcome.ASTRAY
        return it.DispatchOutcome.RESET

    def terms(self, batch: Batch, number: int, till: float, further: Metadata = ()) -> dict:
        """A call's time limit and headers. The call may last as long as the client waits, as a result that
        has begun to go on does; the dispatch's own end, when it comes sooner, is told to the engine."""
        asked, left = batch.submission, max(ceil((till - clock.now()) * 1e3), 1)
        fields = [
            *which(batch.dispatch_name(number)),
            *further,
            ("x-lane", batch.class_name),
            ("x-limit-ms", str(left)),
        ]
        if asked.reference:
            fields.append(("x-dedupe", asked.reference))
        if batch.grant >= 1:
            fields.append(("pool-mb", str(round(batch.grant))))
        if batch.priority is not None:
            fields.append(("pool-rank", str(batch.priority)))
        return {"timeout": max(batch.deadline - clock.now(), 0.001), "metadata": tuple(fields)}

    def figures(self, metadata, end: End) -> None:
        """Report, work and memory, where the call's trailer has them."""
        said = {key: value for key, value in metadata or () if isinstance(value, str)}
        end.report = parse_load_report(said.get("x-gauges", ""), self.fields) or end.report
        end.true_work = (parse_measure(said.get("elapsed-work", "")) or 0.0) / 1e3 or end.true_work
        end.true_memory = parse_measure(said.get("high-water", "")) or end.true_memory

    def note(self, metadata: bytes, batch: Batch, end: End) -> None:
        """A message of metadata alone is a note: `advance=0.4`. Of a result that has begun to go on none is
        told: it can't be called off for a better one any more."""
        name, _, word = metadata[:64].decode("latin-1").partition("=")
        kind, value = PROGRESS_KINDS.get(name), parse_measure(word)
        if kind and value is not None and not end.flow:
            value = min(value, 1.0) if kind is it.ProgressKind.PROGRESS else value
            self.desk.tell(it.ProgressNote(batch.number, end.number, end.engine, kind, value))

    async def ask_on(self, entry: Entry, name: DispatchName) -> str:
        try:
            channel = await self.channel(entry)
            call = channel.unary_unary(SERVICE + "GetFlightInfo")
            await call(NOTHING, timeout=WORD_WITHIN, metadata=(*which(name), *RESUMED))
        except Ended:
            return "silent"
        except aio.AioRpcError as why:
            return SAID.get(why.code(), "silent")
        except aio.UsageError:
            return "silent"
        return "over"

    async def call_off(self, entry: Entry, name: DispatchName) -> None:
        await self.until_called_off(entry, name, NOTHING, clock.now() + DROPPED_AFTER)

    async def give_up(self, batch: Batch, entry: Entry, sent: Sending) -> None:
        name, till = batch.dispatch_name(sent.number), sent.asked + DROPPED_AFTER
        await self.until_called_off(entry, name, command(batch), till)

    async def until_called_off(self, entry: Entry, name: DispatchName, order: bytes, till: float) -> None:
        """The cancel, until the engine has it, can't cancel at all, or is out of reach for as long as it goes
        on with a batch that nobody reads."""
        while clock.now() < till:
            code = await self.cancel(entry, name, order)
            if code in (StatusCode.OK, StatusCode.NOT_FOUND, StatusCode.UNIMPLEMENTED):
                return
            if code is None:
                break
            await asyncio.sleep(RETRY_PACE)
        self.metrics.add("flight cancel failed")

    async def cancel(self, entry: Entry, name: DispatchName, order: bytes) -> StatusCode | None:
        """What the engine says to one cancel; NOT_FOUND: it never had this dispatch, and will not begin it.
        None where it is out of reach."""
        descriptor = decode(pb.FlightDescriptor, order)
        info = pb.FlightInfo(flight_descriptor=descriptor, app_metadata=name.txn.encode())
        try:
            body = pb.CancelFlightInfoRequest(info=info).SerializeToString()
            await self.act(entry, CANCEL, body, which(name))
            return StatusCode.OK
        except aio.AioRpcError as why:
            return why.code()
        except Unreadable:
            return StatusCode.UNKNOWN
        except Ended:
            return None

    async def run_out(self, sent: Sending) -> None:
        """An engine that runs on says nothing of its end: none follows before the batch's time limit."""
        await asyncio.Event().wait()

    async def put(self, batch: Batch, entry: Entry, number: int) -> None:
        try:
            await self.act(entry, PRIORITY, b"%d" % batch.priority, which(batch.dispatch_name(number)))
        except (aio.AioRpcError, Ended):
            self.metrics.add("flight priority failed")

    async def act(self, entry: Entry, kind: str, body: bytes, metadata: Metadata = ()) -> bytes:
        """An action's first result."""
        channel = await self.channel(entry)
        call = channel.unary_stream(SERVICE + "DoAction")(
            pb.Action(type=kind, body=body).SerializeToString(), timeout=WORD_WITHIN, metadata=metadata
        )
        found = b""
        try:
            async for raw in call:
                found = found or decode(pb.Result, raw).body
        finally:
            call.cancel()
        return found

    async def probe(self, entry: Entry) -> tuple[it.DispatchOutcome, tuple[float, ...]]:
        try:
            answer = await self.act(entry, STATS, b"")
        except Ended:
            return it.DispatchOutcome.UNREACHABLE, ()
        except Unreadable:
            return it.DispatchOutcome.ERRORED, ()
        except aio.AioRpcError as why:
            if why.code() is StatusCode.DEADLINE_EXCEEDED:
                return it.DispatchOutcome.TIMED_OUT, ()
            return it.DispatchOutcome.ASTRAY if why.code() in BROKEN else it.DispatchOutcome.ERRORED, ()
        return it.DispatchOutcome.RETURNED, parse_load_report(answer.decode("latin-1"), self.fields)

    async def channel(self, entry: Entry) -> aio.Channel:
        """A channel that is up, or `Ended` as unreachable: nothing was sent then. What a kept channel says
        of its lost connection is old news; only a new one's failure is the engine's."""
        engine, due = entry.engine.id, asyncio.get_running_loop().time() + self.connect_limit
        while True:
            channel, fresh = self.channels.get(engine), False
            if channel is None:
                target = f"ipv4:{entry.address[0]}:{entry.address[1]}"
                channel, fresh = aio.insecure_channel(target, options=CHANNEL), True
                self.channels[engine] = channel
            try:
                async with asyncio.timeout_at(due):
                    if await self.comes_up(channel):
                        return channel
            except TimeoutError:
                raise Ended(it.DispatchOutcome.UNREACHABLE) from None
            if self.channels.get(engine) is channel:
                self.forget(engine)
            if fresh:
                raise Ended(it.DispatchOutcome.UNREACHABLE)

    async def comes_up(self, channel: aio.Channel) -> bool:
        state = channel.get_state(try_to_connect=True)
        while state not in (Connectivity.READY, Connectivity.TRANSIENT_FAILURE, Connectivity.SHUTDOWN):
            await channel.wait_for_state_change(state)
            state = channel.get_state(try_to_connect=True)
        return state is Connectivity.READY

    def forget(self, engine: it.EngineId) -> None:
        """Risk: kept by address, the channel of an engine that is gone is taken for the next one's there."""
        channel = self.channels.pop(engine, None)
        if channel:
            # What is out on it has its own end; a result that still comes is read on.
            task = asyncio.get_running_loop().create_task(channel.close(grace=DROPPED_AFTER))
            self.closing.add(task)
            task.add_done_callback(self.closing.discard)

    async def close(self) -> None:
        for engine in list(self.channels):
            self.forget(engine)
        if self.closing:
            await asyncio.wait(self.closing, timeout=0.2)


def which(name: DispatchName) -> Metadata:
    """What names a dispatch: an engine that has called one off may get the same batch's next."""
    return ("x-txn", name.txn), ("x-dispatch", str(name.number))


def command(batch: Batch) -> bytes:
    """The descriptor that asks for a batch."""
    kind = sql.CommandStatementUpdate if batch.is_update else sql.CommandStatementQuery
    order = encode_any(kind(query=batch.submission.statement.decode()))
    return pb.FlightDescriptor(type=pb.FlightDescriptor.CMD, cmd=order).SerializeToString()
