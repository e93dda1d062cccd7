"""The Flight SQL service of a front: calls become batches, and their one final answer the end of a call.

A batch is taken when its ticket is redeemed (DoGet) or its update arrives (DoPut), not when GetFlightInfo
gives the ticket out: what is never redeemed costs nothing, and its time limit runs from when it could be
answered.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable

import grpc
from grpc import StatusCode, aio

from thistlelever.carrier.batch_tasks import CLIENT_LEFT, BatchTasks
from thistlelever.carrier.dispatch import End
from thistlelever.carrier.result_stream import Begun
from thistlelever.carrier.validation import RequestValidator
from thistlelever.flight import answers, catalog
from thistlelever.flight.answers import Refusal, bad, unserved
from thistlelever.flight.prepared_calls import PreparedCalls
from thistlelever.flight.requests import expected, headers, query_text
from thistlelever.flight.seal import Forged, Order, Seal
from thistlelever.flight.server_options import SERVER_OPTIONS
from thistlelever.flight.session_calls import SessionCalls
from thistlelever.flight.taking import CALLED_OFF, Open, Taking
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.log import Log
from thistlelever.ground.metrics import Metrics
from thistlelever.ground.operator import Flight
from thistlelever.ground.submission import InvalidFieldError
from thistlelever.state.prepared import PreparedStatements
from thistlelever.state.sessions import Sessions, parse_number
from thistlelever.state.tickets import Tickets, TicketStatus
from thistlelever.store.batches import Batch
from thistlelever.wire import binding
from thistlelever.wire.flight import columns
from thistlelever.wire.flight import flight_pb2 as pb
from thistlelever.wire.flight import flight_sql_pb2 as sql
from thistlelever.wire.flight.codec import (
    Unreadable,
    UnsupportedCommand,
    decode,
    decode_command,
    decode_stream_message,
    encode_any,
)

# Bytes and rows that the parameters of one stream may have.
MOST_PARAMETERS, MOST_ROWS = 1 << 20, 10_000
# Parameters and commands of a stream that has begun come within this, or it is half open and ends.
STREAM_WITHIN = 5.0
# An answer given at the limit still has this long to leave.
LAST_BYTES = 0.05
# An error so near the limit is the limit's: the decisions come to it by whole ticks.
LIMIT_EARLY = 0.01
# Headers beside those for group and tenant, by the field that they fill; and session options likewise.
HEADERS = {
    "wait": "x-wait-ms",
    "cost": "x-cost-ms",
    "need_mb": "x-need-mb",
    "once": "x-once",
    "retry": "x-retry",
}
OPTIONS = {"wait": "wait_ms", "cost": "cost_ms", "need_mb": "need_mb", "retry": "retry"}
FIGURES = ("wait", "cost", "need_mb")
ACTIONS = {
    "CreatePreparedStatement": "sets a statement down to be run later",
    "ClosePreparedStatement": "forgets a prepared statement",
    "CancelFlightInfo": "calls off the batch of a FlightInfo",
    "CancelQuery": "the same, in its older form",
    "SetSessionOptions": "sets options for the session's later calls",
    "GetSessionOptions": "says what is set",
    "CloseSession": "forgets the session",
}
UNARY, STREAM, DUPLEX = (
    grpc.unary_unary_rpc_method_handler,
    grpc.unary_stream_rpc_method_handler,
    grpc.stream_stream_rpc_method_handler,
)


class Door(grpc.GenericRpcHandler):
    """Serves on one port. Each call is one task, from its request to its status."""

    def __init__(
        self,
        terms: Flight,
        name: str,
        validator: RequestValidator,
        batch_tasks: BatchTasks,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self.terms, self.validator, self.batch_tasks = terms, validator, batch_tasks
        self.metrics, self.log = metrics, log
        self.seal = Seal(name)
        self.tickets = Tickets(name, self.seal.life, terms.tickets)
        self.prepared_statements = PreparedStatements(terms.prepared, terms.idle_s)
        self.sessions = Sessions(terms.sessions, terms.idle_s)
        self.prepared = PreparedCalls(self.prepared_statements)
        self.session_calls = SessionCalls(self.sessions)
        self.open: dict[str, Open] = {}
        self.stopping = False
        self.server: aio.Server | None = None
        self.port = 0
        self.handlers = {
            "GetFlightInfo": UNARY(self.guarded(self.get_flight_info)),
            "PollFlightInfo": UNARY(self.guarded(self.poll_flight_info)),
            "GetSchema": UNARY(self.guarded(self.get_schema)),
            "DoGet": STREAM(self.guarded(self.do_get)),
            "DoPut": DUPLEX(self.guarded(self.do_put)),
            "DoAction": STREAM(self.guarded(self.do_action)),
            "ListActions": STREAM(self.guarded(self.list_actions)),
            "ListFlights": STREAM(self.guarded(self.refused("ListFlights"))),
            "DoExchange": DUPLEX(self.guarded(self.refused("DoExchange"))),
            "Handshake": DUPLEX(self.guarded(self.refused("Handshake"))),
        }
        self.actions: dict[str, Callable[[bytes, aio.ServicerContext], Awaitable[bytes | None]]] = {
            "CreatePreparedStatement": self.prepared.create,
            "ClosePreparedStatement": self.prepared.close,
            "CancelFlightInfo": self.cancel_flight_info,
            "CancelQuery": self.cancel_query,
            "SetSessionOptions": self.session_calls.set_options,
            "GetSessionOptions": self.session_calls.get_options,
            "CloseSession": self.session_calls.close_session,
        }

    async def listen(self, address: tuple[str, int]) -> None:
        """`OSError` where the port can't be had."""
        connections = ("grpc.max_allowed_incoming_connections", self.terms.descriptors)
        self.server = aio.server(
            options=(*SERVER_OPTIONS, connections), maximum_concurrent_rpcs=self.terms.streams
        )
        self.server.add_generic_rpc_handlers((self,))
        try:
            self.port = self.server.add_insecure_port(f"{address[0]}:{address[1]}")
        except RuntimeError as why:
            raise OSError(f"flight.listen: {address[0]}:{address[1]}: {why}") from None
        await self.server.start()

    async def stop(self, grace: float) -> None:
        """What has been answered still leaves within the grace; what is open by then is called off."""
        if self.server:
            await self.server.stop(grace)

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        service, _, method = details.method.strip("/").partition("/")
        return self.handlers.get(method) if service == "arrow.flight.protocol.FlightService" else None

    def guarded(self, serve: Callable) -> Callable:
        """A call's whole course: whatever goes wrong in it ends it with a status that says what."""

        async def whole(request, context: aio.ServicerContext):
            self.metrics.add("flight calls")
            try:
                return await serve(request, context)
            except Refusal as why:
                refusal = why
            except UnsupportedCommand as why:
                refusal = unserved(str(why))
            except (Unreadable, InvalidFieldError, Forged, binding.Unbindable) as why:
                refusal = bad(f"ticket: {why}" if type(why) is Forged else str(why))
            except aio.AbortError:
                raise
            except aio.InternalError:
                # The call is over on the client's side: there is nobody left to write to.
                self.metrics.add("flight clients gone")
                return None
            except Exception as why:
                self.metrics.add("flight call failed")
                self.log("flight call failed", why=repr(why), trace=traceback.format_exc())
                refusal = Refusal(StatusCode.INTERNAL, "a fault of the front")
            self.metrics.add(f"flight calls ended {refusal.code.name}")
            return await context.abort(refusal.code, refusal.why, refusal.metadata)

        return whole

    def refused(self, name: str) -> Callable:
        async def serve(request, context):
            raise unserved(name)

        return serve

    # What is asked for: commands, tickets and fields.

    async def get_flight_info(self, request: bytes, context: aio.ServicerContext) -> bytes:
        return self.info(decode(pb.FlightDescriptor, request), context).SerializeToString()

    async def poll_flight_info(self, request: bytes, context: aio.ServicerContext) -> bytes:
        """A batch is taken when its ticket is redeemed, so that there is nothing to poll for: the first
        answer is the last, and says so by naming no descriptor."""
        return pb.PollInfo(info=self.info(decode(pb.FlightDescriptor, request), context)).SerializeToString()

    def info(self, descriptor: pb.FlightDescriptor, context: aio.ServicerContext) -> pb.FlightInfo:
        if descriptor.type != pb.FlightDescriptor.CMD:
            raise bad("descriptor: a command expected")
        asked = decode_command(descriptor.cmd)
        form, records, ticket = b"", -1, descriptor.cmd
        table = catalog.answer(asked, self.terms)
        if table is not None:
            form, records = bytes(table.schema.serialize()), table.num_rows
        else:
            handle, _ = self.ticket(self.statement(asked, query=True), context)
            ticket = encode_any(sql.TicketStatementQuery(statement_handle=handle))
        return pb.FlightInfo(
            schema=form,
            flight_descriptor=descriptor,
            total_records=records,
            total_bytes=-1,
            endpoint=[pb.FlightEndpoint(ticket=pb.Ticket(ticket=ticket))],
        )

    def ticket(self, statement: bytes, context: aio.ServicerContext) -> tuple[bytes, Order]:
        """A ticket for the statement on the call's terms. What would be refused when it is redeemed is
        refused now; nothing is taken."""
        group, fields = self.fields(context)
        handle, order = self.seal.close(clock.now() + self.terms.ticket_s, group, fields, statement)
        self.batch(order, context)
        return handle, order

    def statement(self, asked, query: bool) -> bytes:
        """The statement of a command, with what is bound to it."""
        match asked:
            case sql.CommandStatementQuery() if query:
                return query_text(asked)
            case sql.CommandStatementUpdate() if not query:
                return query_text(asked)
            case sql.CommandPreparedStatementQuery() if query:
                found = self.prepared.find(asked.prepared_statement_handle)
                return binding.bind(found.statement, found.rows)
        raise unserved(asked.DESCRIPTOR.name + (" as a query" if query else " as an update"))

    def fields(self, context: aio.ServicerContext) -> tuple[str, dict]:
        """Service group and fields of a submission, by the call's headers, else the session's options, else
        the operator's file."""
        said = headers(context)
        session, terms = self.session_calls.session(said), self.terms
        options = session.options if session else {}
        group = said.get(terms.group_header) or options.get("group") or terms.group
        if not group:
            raise bad(f"{terms.group_header}: missing; no option or default names a service group")
        if group not in self.validator.query_classes:
            raise bad(f"{terms.group_header}: {group[:60]!r} is no service group")
        fields: dict[str, str | float | bool] = {}
        tenant = said.get(terms.tenant_header) or options.get("tenant") or terms.tenant
        if tenant:
            fields["tenant"] = tenant
        for name, header in HEADERS.items():
            value = said.get(header, options.get(OPTIONS.get(name, "")))
            if value is None and name == "wait":
                value = terms.wait_ms
            if value is None:
                continue
            if name in FIGURES and type(value) is str:
                number = parse_number(value)
                if number is None:
                    raise InvalidFieldError(header, "a number from 0 up expected")
                value = number
            if name == "retry":
                value = value in (True, "1", "true")
            fields[name] = value
        return group, fields

    def batch(self, order: Order, context: aio.ServicerContext) -> Batch:
        """The batch that an order is for, under the same checks as on the other door. It waits as long as the
        order says, else its group's time limit, and no longer than the call itself."""
        limit = self.validator.query_classes[order.group][1].time_limit
        wait = float(order.fields.get("wait", limit * 1e3))
        remaining = context.time_remaining()
        if remaining is not None:
            # The call's own end must find the answer on its way.
            if remaining <= LAST_BYTES:
                raise Refusal(StatusCode.DEADLINE_EXCEEDED, "no time left")
            wait = min(wait, (remaining - LAST_BYTES) * 1e3)
        batch = self.validator.make_batch(
            order.group, order.fields | {"id": order.number, "wait": wait}, order.statement
        )
        batch.columns = True
        return batch

    # Results.

    async def do_get(self, request: bytes, context: aio.ServicerContext) -> None:
        asked = decode_command(decode(pb.Ticket, request).ticket)
        table = catalog.answer(asked, self.terms)
        if table is not None:
            for raw in columns.encode_table(table):
                await context.write(raw)
            return
        if type(asked) is not sql.TicketStatementQuery:
            raise unserved(f"DoGet of {asked.DESCRIPTOR.name}: ask GetFlightInfo for a ticket")
        order = self.seal.open(asked.statement_handle)
        status = self.tickets.redeem(order.claims(), clock.now())
        if status is not TicketStatus.VALID:
            raise self.ticket_refused(status)
        batch = self.batch(order, context)
        try:
            async with asyncio.timeout_at(clock.on_loop(batch.deadline + LAST_BYTES)):
                await self.deliver(batch, context)
        except TimeoutError:
            # Its reader is slow: what it has is not the whole, and its status says so.
            self.metrics.add("flight readers too slow")
            raise answers.broken_off(it.DispatchOutcome.TIMED_OUT) from None

    def ticket_refused(self, status: TicketStatus) -> Refusal:
        code = answers.TICKETS[status]
        final = status in (TicketStatus.REDEEMED, TicketStatus.CANCELLED)
        again = "" if final else "; ask GetFlightInfo again"
        return Refusal(code, f"ticket: {status.value}{again}")

    async def deliver(self, batch: Batch, context: aio.ServicerContext) -> None:
        """Take the batch and pass its result on; the call ends well only after the last of a whole result."""
        async with Taking(self, batch) as told:
            match told:
                case End():
                    stream_messages = (
                        told.stream_messages
                        if told.stream_messages is not None
                        else columns.encode_rows(told.pages)
                    )
                    for raw in stream_messages:
                        await context.write(raw)
                case Begun():
                    while (raw := await told.result_stream.take()) is not None:
                        await context.write(raw)
                    if told.result_stream.outcome is not it.DispatchOutcome.RETURNED:
                        raise answers.broken_off(told.result_stream.outcome)

    def meaning(self, told, batch: Batch) -> Refusal:
        """Why there is no result."""
        if told is CALLED_OFF:
            return Refusal(StatusCode.CANCELLED, CALLED_OFF)
        if type(told) is it.PushBack:
            return answers.pushed_back(told.return_in, self.stopping)
        return answers.errored(clock.now() >= batch.deadline - LIMIT_EARLY)

    async def do_put(self, requests: AsyncIterator[bytes], context: aio.ServicerContext) -> None:
        stream = aiter(requests)
        try:
            async with asyncio.timeout(STREAM_WITHIN):
                first = await anext(stream, None)
                if first is None:
                    raise bad("a stream without a message")
                asked = decode_command(decode_stream_message(first).command)
                bound = type(asked) in (sql.CommandPreparedStatementQuery, sql.CommandPreparedStatementUpdate)
                rows, size = await self.parameters(first, stream) if bound else ([], 0)
        except TimeoutError:
            raise Refusal(StatusCode.DEADLINE_EXCEEDED, "a stream that does not go on") from None
        match asked:
            case sql.CommandPreparedStatementQuery():
                handle = asked.prepared_statement_handle
                self.prepared.find(handle)
                if not self.prepared_statements.bind(handle.decode("latin-1"), rows, size, clock.now()):
                    raise Refusal(StatusCode.RESOURCE_EXHAUSTED, "no room for more parameters")
                said = sql.DoPutPreparedStatementResult(prepared_statement_handle=handle)
                await context.write(pb.PutResult(app_metadata=said.SerializeToString()).SerializeToString())
                return
            case sql.CommandPreparedStatementUpdate():
                found = self.prepared.find(asked.prepared_statement_handle)
                statement = binding.bind(found.statement, rows or found.rows)
            case _:
                statement = self.statement(asked, query=False)
        changed = await self.update(statement, context)
        count = sql.DoPutUpdateResult(record_count=changed)
        await context.write(pb.PutResult(app_metadata=count.SerializeToString()).SerializeToString())

    async def update(self, statement: bytes, context: aio.ServicerContext) -> int:
        """Take an update at once: the rows changed, -1 where its engine does not say."""
        _, order = self.ticket(statement, context)
        batch = self.batch(order, context)
        batch.is_update = True
        async with Taking(self, batch) as told:
            return told.changed

    async def parameters(self, first: bytes, stream: AsyncIterator[bytes]) -> tuple[list[tuple], int]:
        """The rows of parameters that a client sends, and their bytes."""
        messages = [first] if decode_stream_message(first).header else []
        size = len(first)
        async for raw in stream:
            size += len(raw)
            if size > MOST_PARAMETERS:
                raise bad(f"more than {MOST_PARAMETERS} bytes of parameters")
            if decode_stream_message(raw).header:
                messages.append(raw)
        if not messages:
            return [], 0
        return columns.decode_parameters(messages, MOST_ROWS), size

    async def get_schema(self, request: bytes, context: aio.ServicerContext) -> bytes:
        asked = decode_command(decode(pb.FlightDescriptor, request).cmd)
        table = catalog.answer(asked, self.terms)
        if table is None:
            # Only an engine knows it, and only by running the statement.
            raise unserved(f"GetSchema of {asked.DESCRIPTOR.name}")
        return pb.SchemaResult(schema=bytes(table.schema.serialize())).SerializeToString()

    # Actions.

    async def do_action(self, request: bytes, context: aio.ServicerContext) -> None:
        action = decode(pb.Action, request)
        serve = self.actions.get(action.type)
        if serve is None:
            raise unserved(f"action {action.type[:60]!r}")
        body = await serve(action.body, context)
        if body is not None:
            await context.write(pb.Result(body=body).SerializeToString())

    async def list_actions(self, request: bytes, context: aio.ServicerContext) -> None:
        for kind, what in ACTIONS.items():
            await context.write(pb.ActionType(type=kind, description=what).SerializeToString())

    async def cancel_flight_info(self, body: bytes, context: aio.ServicerContext) -> bytes:
        status = self.call_off(decode(pb.CancelFlightInfoRequest, body).info)
        return pb.CancelFlightInfoResult(status=status).SerializeToString()

    async def cancel_query(self, body: bytes, context: aio.ServicerContext) -> bytes:
        asked = expected(body, sql.ActionCancelQueryRequest)
        # Both count from 1 in the same order: cancelled, cancelling, not to be cancelled.
        status = self.call_off(decode(pb.FlightInfo, asked.info))
        return encode_any(sql.ActionCancelQueryResult(result=status))

    def call_off(self, info: pb.FlightInfo) -> int:
        """Call off the batch of a FlightInfo, whether it is open or not yet taken: then its ticket is used
        up."""
        if len(info.endpoint) != 1:
            raise bad("info: the one endpoint that GetFlightInfo gave expected")
        asked = decode_command(info.endpoint[0].ticket.ticket)
        if type(asked) is not sql.TicketStatementQuery:
            return pb.CANCEL_STATUS_NOT_CANCELLABLE
        order = self.seal.open(asked.statement_handle)
        if order.number in self.open:
            batch, told = self.open[order.number]
            if told.done() and not batch.result_stream:
                return pb.CANCEL_STATUS_NOT_CANCELLABLE
            batch.inbox.put_nowait(CLIENT_LEFT)
            if not told.done():
                told.set_result(CALLED_OFF)
            return pb.CANCEL_STATUS_CANCELLED
        status = self.tickets.cancel(order.claims(), clock.now())
        if status in (TicketStatus.VALID, TicketStatus.CANCELLED):
            return pb.CANCEL_STATUS_CANCELLED
        if status is TicketStatus.REDEEMED:
            return pb.CANCEL_STATUS_NOT_CANCELLABLE
        raise self.ticket_refused(status)
