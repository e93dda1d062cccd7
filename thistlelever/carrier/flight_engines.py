"""The Arrow Flight SQL protocol of engines: GetFlightInfo starts a batch, DoGet fetches its result.

Load reports, progress notes, priority, cancel, deduplication and "never ran" are not in the specification;
they use headers, metadata and actions as described in `docs/flight-engines.md`. A batch is reported as never
run only if its engine said so or its connection was not up, as a gRPC status alone proves nothing.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from functools import partial
from math import ceil

import grpc
from grpc import StatusCode, aio

from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.dispatch import End, NoResultError, DispatchProgress
from thistlelever.carrier.repeated_cancel import cancel_until_settled
from thistlelever.carrier.result_stream import Begun, ResultStream
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

# gRPC's own retries would be dispatches that the decisions do not know of. Keep-alives detect a peer that has
# vanished. Flow-control windows sized by bandwidth would buffer what a slow client has not read.
CHANNEL_OPTIONS = (
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
# In seconds: time-out of priority and load calls; engines drop a dispatch that no call asks for so long.
CALL_TIMEOUT_S, DROP_AFTER_S = 0.25, 2.0
MAX_ENDPOINTS = 64
# Columns larger than this do not fit the text rows of the JSON-RPC protocol.
MAX_BYTES_FOR_ROWS = 4 * columns.MAX_TEXT_BYTES
# Action types of engines.
PRIORITY, STATS, CANCEL = "thistlelever.priority", "thistlelever.stats", "CancelFlightInfo"
PROGRESS_KINDS = {
    "advance": it.ProgressKind.PROGRESS,
    "disk": it.ProgressKind.SPILL,
    "stall": it.ProgressKind.WAITING,
}
# Codes of a broken call: it is unknown whether the batch ran, and it may still run.
BROKEN = frozenset((StatusCode.UNAVAILABLE, StatusCode.CANCELLED, StatusCode.UNKNOWN, StatusCode.INTERNAL))
Connectivity = grpc.ChannelConnectivity
Metadata = tuple[tuple[str, str], ...]
# With this header a call starts nothing: the engine answers it like the call that began the dispatch.
RESUME_HEADERS: Metadata = (("x-resume", "1"),)
EMPTY_DESCRIPTOR = pb.FlightDescriptor(type=pb.FlightDescriptor.CMD, cmd=b"").SerializeToString()
BATCH_STATUS = {StatusCode.DEADLINE_EXCEEDED: "running", StatusCode.NOT_FOUND: "unknown"}
REFUSED = frozenset((StatusCode.RESOURCE_EXHAUSTED, StatusCode.UNAVAILABLE))


class ResultBuffer:
    """The first messages of a result, while another dispatch can still replace this one."""

    def __init__(self, max_bytes: int, quota: BufferQuota) -> None:
        """Hold up to `max_bytes`, reserved from `quota`."""
        self.max_bytes, self.quota, self.size = max_bytes, quota, 0
        self.messages: list[bytes] = []
        self.schema = None

    def add(self, raw: bytes) -> bool:
        """Store a message; returns whether it fits the limits."""
        self.messages.append(raw)
        try:
            self.quota.reserve(len(raw))
        except TooLong:
            return False
        self.size += len(raw)
        return self.size <= self.max_bytes

    def release(self) -> None:
        """Drop the messages and return their bytes to the quota."""
        self.quota.reserve(-self.size)
        self.messages, self.size = [], 0


class FlightEngines:
    """The Arrow Flight SQL protocol of engines; implements `EngineProtocol` of `dispatch.py`.

    There is one channel per engine, kept by the engine's id. Results are buffered up to `buffer_limit` bytes,
    all together up to `quota`; a larger one is streamed with up to `stream_limit` bytes queued.
    """

    def __init__(
        self,
        settings: it.Settings,
        registry: EngineRegistry,
        decisions: DecisionLoop,
        metrics: Metrics,
        buffer_limit: int,
        stream_limit: int,
        quota: BufferQuota,
    ) -> None:
        """Start without channels; they are opened when they are needed."""
        self.fields, self.connect_limit = settings.report_fields, settings.connect_limit
        self.registry, self.decisions, self.metrics = registry, decisions, metrics
        self.buffer_limit, self.quota = buffer_limit, quota
        self.stream_limit = stream_limit
        self.channels: dict[it.EngineId, aio.Channel] = {}
        self.closing: set[asyncio.Task] = set()
        # Set when the front ends. A channel opened later would never be closed, and would dial on and on.
        self.closed = False

    async def run_dispatch(
        self, batch: Batch, entry: Entry, end: End, progress: DispatchProgress, deadline: float
    ) -> None:
        """Implement `EngineProtocol.run_dispatch`."""
        try:
            descriptor = batch_descriptor(batch)
        except UnicodeDecodeError:
            # Statements must be UTF-8 in this protocol, so no engine that uses it can run this one.
            raise NoResultError(it.DispatchOutcome.ERRORED) from None
        channel = await self.channel(entry)
        if not progress.may_start():
            raise NoResultError(it.DispatchOutcome.UNSENT)
        await self.fetch(channel, descriptor, batch, entry, end, progress, deadline)

    async def resume(
        self, batch: Batch, entry: Entry, end: End, progress: DispatchProgress, deadline: float
    ) -> None:
        """Implement `EngineProtocol.resume`."""
        if batch.is_update:
            # The row count was in the answer to the call, which went to another front.
            raise NoResultError(it.DispatchOutcome.ASTRAY)
        try:
            channel = await self.channel(entry)
        except NoResultError:
            raise NoResultError(it.DispatchOutcome.RESET) from None
        await self.fetch(
            channel, batch_descriptor(batch), batch, entry, end, progress, deadline, RESUME_HEADERS
        )

    async def fetch(
        self,
        channel: aio.Channel,
        descriptor: bytes,
        batch: Batch,
        entry: Entry,
        end: End,
        progress: DispatchProgress,
        deadline: float,
        extra_headers: Metadata = (),
    ) -> None:
        """Make the calls of one dispatch, with `extra_headers` on the first.

        Sets `end.outcome` and the result, or raises `NoResultError`.
        """
        progress.started = True
        buffer = ResultBuffer(self.buffer_limit if batch.columns else MAX_BYTES_FOR_ROWS, self.quota)
        try:
            if batch.is_update:
                await self.update(channel, descriptor, batch, end, progress, deadline)
                return
            options = self.call_options(batch, end.number, deadline, extra_headers)
            call = channel.unary_unary(SERVICE + "GetFlightInfo")(descriptor, **options)
            info = decode(pb.FlightInfo, await call)
            progress.acknowledged = True
            self.read_trailer(await call.trailing_metadata(), end)
            if not 1 <= len(info.endpoint) <= MAX_ENDPOINTS:
                raise Unreadable(f"{len(info.endpoint)} endpoints")
            for endpoint in info.endpoint:
                call = channel.unary_stream(SERVICE + "DoGet")(
                    endpoint.ticket.SerializeToString(), **self.call_options(batch, end.number, deadline)
                )
                await self.stream(call, batch, end, buffer)
            self.finish_result(batch, end, buffer)
        except aio.AioRpcError as why:
            self.read_trailer(why.trailing_metadata(), end)
            end.engine_forgot = why.code() is StatusCode.NOT_FOUND
            if extra_headers and end.engine_forgot:
                raise NoResultError(it.DispatchOutcome.ASTRAY) from None
            raise NoResultError(await self.outcome(why, entry, batch, progress)) from None
        except aio.UsageError:
            # The channel was closed between two calls, as the engine left or the connection was lost.
            raise NoResultError(it.DispatchOutcome.RESET) from None
        except Unreadable as why:
            self.metrics.add("flight results without use")
            self.decisions.log("flight result without use", why=str(why), engine=end.engine.decode("latin-1"))
            # The engine may still run the batch.
            await self.cancel_dispatch(batch, entry, progress)
            end.outcome = it.DispatchOutcome.ERRORED
        finally:
            buffer.release()

    async def stream(self, call: aio.UnaryStreamCall, batch: Batch, end: End, buffer: ResultBuffer) -> None:
        """Read the messages of one endpoint into the buffer; a result that is too large for it is streamed.

        Raises `Unreadable` for an invalid stream, or one too large for a client of rows.
        """
        first = True
        try:
            async for raw in call:
                message = decode_stream_message(raw)
                if not message.header:
                    self.handle_note(message.metadata, batch, end)
                    continue
                if first:
                    first = False
                    schema = columns.decode_schema(raw)
                    if buffer.schema is not None:
                        # The schema of a further endpoint was already passed on and must be the same.
                        if not schema.equals(buffer.schema):
                            raise Unreadable("endpoints of different schemas")
                        continue
                    buffer.schema = schema
                if end.result_stream:
                    await end.result_stream.put(raw)
                elif not buffer.add(raw):
                    if not batch.columns:
                        raise Unreadable("more than a client that takes rows can get")
                    # Too large to buffer; from here on no other dispatch can replace this one.
                    end.result_stream = ResultStream(end.number, buffer.messages, self.stream_limit)
                    batch.inbox.put_nowait(Begun(end.number, end.result_stream))
                    buffer.release()
            if first:
                raise Unreadable("a stream without a schema")
            self.read_trailer(await call.trailing_metadata(), end)
        finally:
            call.cancel()

    def finish_result(self, batch: Batch, end: End, buffer: ResultBuffer) -> None:
        """Complete a result. Rows are decoded here, so that a result that does not fit is an error of this
        dispatch."""
        if batch.columns and not end.result_stream:
            end.stream_messages = list(buffer.messages)
        elif not batch.columns:
            end.pages = [columns.decode_rows(buffer.messages)]
        end.outcome = it.DispatchOutcome.RETURNED

    async def update(
        self,
        channel: aio.Channel,
        descriptor: bytes,
        batch: Batch,
        end: End,
        progress: DispatchProgress,
        deadline: float,
    ) -> None:
        """Run an update by DoPut; sets the number of changed rows and the outcome."""
        call = channel.stream_stream(SERVICE + "DoPut")(**self.call_options(batch, end.number, deadline))
        try:
            parsed = decode(pb.FlightDescriptor, descriptor)
            await call.write(pb.FlightData(flight_descriptor=parsed).SerializeToString())
            # Where the call has ended meanwhile this fails; its messages and status are read all the same.
            with suppress(aio.InternalError):
                await call.done_writing()
            async for raw in call:
                result = decode(pb.PutResult, raw)
                if result.app_metadata:
                    end.changed = decode(sql.DoPutUpdateResult, result.app_metadata).record_count
            self.read_trailer(await call.trailing_metadata(), end)
            end.outcome = it.DispatchOutcome.RETURNED
        except asyncio.InvalidStateError:
            # The call ended before everything was written; its status tells why.
            raise aio.AioRpcError(
                await call.code(), await call.initial_metadata(), await call.trailing_metadata()
            ) from None
        finally:
            call.cancel()

    async def outcome(
        self, why: aio.AioRpcError, entry: Entry, batch: Batch, progress: DispatchProgress
    ) -> it.DispatchOutcome:
        """Return the outcome that a failed call stands for.

        UNAVAILABLE does not mean that nothing was sent: gRPC also reports it for a connection that broke
        while the batch was running, and the batch could run twice.
        """
        trailer = dict(why.trailing_metadata() or ())
        if trailer.get("x-unrun") == "1":
            return it.DispatchOutcome.FULL if why.code() in REFUSED else it.DispatchOutcome.UNSENT
        if why.code() is StatusCode.DEADLINE_EXCEEDED:
            return it.DispatchOutcome.TIMED_OUT
        if why.code() not in BROKEN:
            # The status may come from this side (message too large) while the engine is still running.
            await self.cancel_dispatch(batch, entry, progress)
            return it.DispatchOutcome.ERRORED
        # An engine that never got the batch must not count as failing; when connections break, all engines
        # would. The cancel tells whether it got it, and keeps a call still in a buffer from starting it.
        name = batch.dispatch_name(progress.number)
        if (
            not progress.acknowledged
            and await self.send_cancel(entry, name, batch_descriptor(batch), CALL_TIMEOUT_S)
            is StatusCode.NOT_FOUND
        ):
            return it.DispatchOutcome.ASTRAY
        return it.DispatchOutcome.RESET

    def call_options(self, batch: Batch, number: int, deadline: float, extra_headers: Metadata = ()) -> dict:
        """Return the time-out and the headers of a call.

        The call may last as long as the client waits, as a streamed result may; the dispatch's own limit
        `deadline`, which may be earlier, is sent to the engine in milliseconds.
        """
        submission, left = batch.submission, max(ceil((deadline - clock.now()) * 1e3), 1)
        fields = [
            *dispatch_headers(batch.dispatch_name(number)),
            *extra_headers,
            ("x-lane", batch.class_name),
            ("x-limit-ms", str(left)),
        ]
        if submission.reference:
            fields.append(("x-dedupe", submission.reference))
        if batch.grant >= 1:
            fields.append(("pool-mb", str(round(batch.grant))))
        if batch.priority is not None:
            fields.append(("pool-rank", str(batch.priority)))
        return {"timeout": max(batch.deadline - clock.now(), 0.001), "metadata": tuple(fields)}

    def read_trailer(self, metadata, end: End) -> None:
        """Take load report, work and memory from a call's trailer, as far as it has them."""
        trailer = {key: value for key, value in metadata or () if isinstance(value, str)}
        end.report = parse_load_report(trailer.get("x-gauges", ""), self.fields) or end.report
        end.true_work = (parse_measure(trailer.get("elapsed-work", "")) or 0.0) / 1e3 or end.true_work
        end.true_memory = parse_measure(trailer.get("high-water", "")) or end.true_memory

    def handle_note(self, metadata: bytes, batch: Batch, end: End) -> None:
        """Pass a progress note such as `advance=0.4`, a message of metadata alone, to the decisions.

        Notes on a result that is already streamed are dropped, as no other dispatch can replace it.
        """
        name, _, word = metadata[:64].decode("latin-1").partition("=")
        kind, value = PROGRESS_KINDS.get(name), parse_measure(word)
        if kind and value is not None and not end.result_stream:
            value = min(value, 1.0) if kind is it.ProgressKind.PROGRESS else value
            self.decisions.add_event(it.ProgressNote(batch.number, end.number, end.engine, kind, value))

    async def query_status(self, entry: Entry, name: DispatchName) -> str:
        """Implement `EngineProtocol.query_status`."""
        try:
            channel = await self.channel(entry)
            call = channel.unary_unary(SERVICE + "GetFlightInfo")
            await call(
                EMPTY_DESCRIPTOR, timeout=CALL_TIMEOUT_S, metadata=(*dispatch_headers(name), *RESUME_HEADERS)
            )
        except NoResultError:
            return "silent"
        except aio.AioRpcError as why:
            return BATCH_STATUS.get(why.code(), "silent")
        except aio.UsageError:
            return "silent"
        return "over"

    async def cancel_by_name(self, entry: Entry, name: DispatchName) -> None:
        """Implement `EngineProtocol.cancel_by_name`."""
        await self.cancel_until_confirmed(entry, name, EMPTY_DESCRIPTOR, clock.now() + DROP_AFTER_S)

    async def cancel_dispatch(self, batch: Batch, entry: Entry, progress: DispatchProgress) -> None:
        """Cancel until the engine must have dropped the dispatch, `DROP_AFTER_S` after its last call ended.

        That is now, as a call that is open asks for the dispatch all the time.
        """
        name, deadline = batch.dispatch_name(progress.number), clock.now() + DROP_AFTER_S
        await self.cancel_until_confirmed(entry, name, batch_descriptor(batch), deadline)

    async def cancel_until_confirmed(
        self, entry: Entry, name: DispatchName, descriptor: bytes, deadline: float
    ) -> None:
        """Repeat the cancel until the engine has handled it, does not support it, or refuses connections, or
        `deadline` passes."""
        settled = await cancel_until_settled(
            partial(self.send_cancel, entry, name, descriptor),
            partial(self.refuses_connections, entry),
            deadline,
        )
        if not settled:
            self.metrics.add("flight cancel failed")

    async def refuses_connections(self, entry: Entry) -> bool:
        """Whether no process listens at the engine's address, which a failed channel does not prove."""
        try:
            async with asyncio.timeout(self.connect_limit):
                _, writer = await asyncio.open_connection(*entry.address)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    async def send_cancel(
        self, entry: Entry, name: DispatchName, descriptor: bytes, timeout: float
    ) -> StatusCode | None:
        """Send one cancel and return the engine's status, or None if it cannot be reached.

        NOT_FOUND: the engine never had this dispatch and will not start it.
        """
        parsed = decode(pb.FlightDescriptor, descriptor)
        info = pb.FlightInfo(flight_descriptor=parsed, app_metadata=name.txn.encode())
        try:
            body = pb.CancelFlightInfoRequest(info=info).SerializeToString()
            await self.call_action(entry, CANCEL, body, dispatch_headers(name), timeout)
            return StatusCode.OK
        except aio.AioRpcError as why:
            return why.code()
        except (Unreadable, aio.UsageError):
            return StatusCode.UNKNOWN
        except NoResultError:
            return None

    async def wait_until_stopped(self, progress: DispatchProgress) -> None:
        """Never return: these engines do not report when a batch ends that is not cancelled."""
        await asyncio.Event().wait()

    async def set_priority(self, batch: Batch, entry: Entry, number: int) -> None:
        """Implement `EngineProtocol.set_priority`."""
        try:
            await self.call_action(
                entry, PRIORITY, b"%d" % batch.priority, dispatch_headers(batch.dispatch_name(number))
            )
        except (aio.AioRpcError, NoResultError):
            self.metrics.add("flight priority failed")

    async def call_action(
        self,
        entry: Entry,
        kind: str,
        body: bytes,
        metadata: Metadata = (),
        timeout: float = CALL_TIMEOUT_S,
    ) -> bytes:
        """Call an action and return its first result; raises `AioRpcError` or `NoResultError`."""
        channel = await self.channel(entry)
        call = channel.unary_stream(SERVICE + "DoAction")(
            pb.Action(type=kind, body=body).SerializeToString(), timeout=timeout, metadata=metadata
        )
        first_result = b""
        try:
            async for raw in call:
                first_result = first_result or decode(pb.Result, raw).body
        finally:
            call.cancel()
        return first_result

    async def probe(self, entry: Entry) -> tuple[it.DispatchOutcome, tuple[float, ...]]:
        """Implement `EngineProtocol.probe`."""
        try:
            answer = await self.call_action(entry, STATS, b"")
        except NoResultError:
            return it.DispatchOutcome.UNREACHABLE, ()
        except Unreadable:
            return it.DispatchOutcome.ERRORED, ()
        except aio.AioRpcError as why:
            if why.code() is StatusCode.DEADLINE_EXCEEDED:
                return it.DispatchOutcome.TIMED_OUT, ()
            return it.DispatchOutcome.ASTRAY if why.code() in BROKEN else it.DispatchOutcome.ERRORED, ()
        return it.DispatchOutcome.RETURNED, parse_load_report(answer.decode("latin-1"), self.fields)

    async def channel(self, entry: Entry) -> aio.Channel:
        """Return a connected channel; raises `NoResultError` with `UNREACHABLE` if there is none.

        Only the failure of a new channel counts against the engine; a kept one may have lost its connection
        earlier.
        """
        engine, due = entry.engine.id, asyncio.get_running_loop().time() + self.connect_limit
        while not self.closed:
            channel, fresh = self.channels.get(engine), False
            if channel is None:
                target = f"ipv4:{entry.address[0]}:{entry.address[1]}"
                channel, fresh = aio.insecure_channel(target, options=CHANNEL_OPTIONS), True
                self.channels[engine] = channel
            try:
                async with asyncio.timeout_at(due):
                    if await self.wait_connected(channel):
                        return channel
            except TimeoutError:
                raise NoResultError(it.DispatchOutcome.UNREACHABLE) from None
            if self.channels.get(engine) is channel:
                self.forget(engine)
            if fresh:
                break
        raise NoResultError(it.DispatchOutcome.UNREACHABLE)

    async def wait_connected(self, channel: aio.Channel) -> bool:
        """Wait until the channel is connected or has failed; returns whether it is connected."""
        state = channel.get_state(try_to_connect=True)
        while state not in (Connectivity.READY, Connectivity.TRANSIENT_FAILURE, Connectivity.SHUTDOWN):
            await channel.wait_for_state_change(state)
            state = channel.get_state(try_to_connect=True)
        return state is Connectivity.READY

    def forget(self, engine: it.EngineId) -> None:
        """Close the channel of an engine that left or lost its connection; running calls may finish.

        Channels are kept by engine id: by address, an engine's channel would be used for its successor there.
        """
        channel = self.channels.pop(engine, None)
        if channel:
            task = asyncio.get_running_loop().create_task(channel.close(grace=DROP_AFTER_S))
            self.closing.add(task)
            task.add_done_callback(self.closing.discard)

    async def close(self) -> None:
        """Close all channels, and open none from now on."""
        self.closed = True
        for engine in list(self.channels):
            self.forget(engine)
        if self.closing:
            await asyncio.wait(self.closing, timeout=0.2)


def dispatch_headers(name: DispatchName) -> Metadata:
    """Return the headers that identify a dispatch; the id of the batch alone would not, as an engine that
    cancelled one dispatch may get the next."""
    return ("x-txn", name.txn), ("x-dispatch", str(name.number))


def batch_descriptor(batch: Batch) -> bytes:
    """Encode the Flight descriptor of a batch's statement; raises `UnicodeDecodeError` if it is not UTF-8."""
    kind = sql.CommandStatementUpdate if batch.is_update else sql.CommandStatementQuery
    command = encode_any(kind(query=batch.submission.statement.decode()))
    return pb.FlightDescriptor(type=pb.FlightDescriptor.CMD, cmd=command).SerializeToString()
