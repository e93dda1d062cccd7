"""The Flight SQL service of a front: each call that runs a statement is one batch.

A batch starts when its ticket is redeemed (DoGet) or its update arrives (DoPut), not when GetFlightInfo
issues the ticket: a ticket that is never redeemed costs nothing, and the time limit runs from the moment at
which the batch can be answered.
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
from thistlelever.flight import catalog, status_errors
from thistlelever.flight.batch_call import CANCELLED_BY_CLIENT, BatchCall, OpenBatch
from thistlelever.flight.prepared_statement_actions import PreparedStatementActions
from thistlelever.flight.response_headers import ResponseHeaders
from thistlelever.flight.requests import query_text, read_command, text_headers
from thistlelever.flight.server_options import SERVER_OPTIONS
from thistlelever.flight.session_actions import SessionActions
from thistlelever.flight.status_errors import StatusError, invalid_argument, unimplemented
from thistlelever.flight.ticket_signer import InvalidTicketError, TicketPayload, TicketSigner
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

# Limits on the parameters of one DoPut stream.
MAX_PARAMETER_BYTES, MAX_PARAMETER_ROWS = 1 << 20, 10_000
# Seconds in which a DoPut stream must deliver its command and parameters; a half-open stream ends after it.
DO_PUT_READ_TIMEOUT = 5.0
# Seconds that an answer given at the time limit has to reach the client.
RESPONSE_MARGIN = 0.05
# Seconds before the time limit from which an error counts as the limit's, as decisions are made at whole
# ticks.
TIME_LIMIT_TOLERANCE = 0.01
# Headers and session options by the submission field that they set; those of group and tenant are apart, as
# the operator names their headers.
FIELD_HEADERS = {
    "wait": "x-wait-ms",
    "cost": "x-cost-ms",
    "need_mb": "x-need-mb",
    "once": "x-once",
    "retry": "x-retry",
}
FIELD_OPTIONS = {"wait": "wait_ms", "cost": "cost_ms", "need_mb": "need_mb", "retry": "retry"}
NUMERIC_FIELDS = ("wait", "cost", "need_mb")
ACTION_DESCRIPTIONS = {
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


class FlightServer(grpc.GenericRpcHandler):
    """The Flight SQL server of a front, on one port. Each call is one asyncio task."""

    def __init__(
        self,
        options: Flight,
        name: str,
        validator: RequestValidator,
        batch_tasks: BatchTasks,
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Take the operator file's section `flight` and the front's name; listens only after `listen`."""
        self.options, self.validator, self.batch_tasks = options, validator, batch_tasks
        self.metrics, self.log = metrics, log
        self.signer = TicketSigner(name)
        self.tickets = Tickets(name, self.signer.life, options.tickets)
        self.prepared_statements = PreparedStatements(options.prepared, options.idle_s)
        self.sessions = Sessions(options.sessions, options.idle_s)
        self.prepared_actions = PreparedStatementActions(self.prepared_statements)
        self.session_actions = SessionActions(self.sessions)
        self.open_batches: dict[str, OpenBatch] = {}
        self.stopping = False
        self.grpc_server: aio.Server | None = None
        self.port = 0
        self.handlers = {
            "GetFlightInfo": UNARY(self.with_status(self.get_flight_info)),
            "PollFlightInfo": UNARY(self.with_status(self.poll_flight_info)),
            "GetSchema": UNARY(self.with_status(self.get_schema)),
            "DoGet": STREAM(self.with_status(self.do_get)),
            "DoPut": DUPLEX(self.with_status(self.do_put)),
            "DoAction": STREAM(self.with_status(self.do_action)),
            "ListActions": STREAM(self.with_status(self.list_actions)),
            "ListFlights": STREAM(self.with_status(self.unimplemented_method("ListFlights"))),
            "DoExchange": DUPLEX(self.with_status(self.unimplemented_method("DoExchange"))),
            "Handshake": DUPLEX(self.with_status(self.unimplemented_method("Handshake"))),
        }
        self.actions: dict[str, Callable[[bytes, aio.ServicerContext], Awaitable[bytes | None]]] = {
            "CreatePreparedStatement": self.prepared_actions.create,
            "ClosePreparedStatement": self.prepared_actions.close,
            "CancelFlightInfo": self.cancel_flight_info,
            "CancelQuery": self.cancel_query,
            "SetSessionOptions": self.session_actions.set_options,
            "GetSessionOptions": self.session_actions.get_options,
            "CloseSession": self.session_actions.close_session,
        }

    async def listen(self, address: tuple[str, int]) -> None:
        """Serve on a host and port, of which 0 picks a free one; raises `OSError` if it can't be bound."""
        connections = ("grpc.max_allowed_incoming_connections", self.options.descriptors)
        self.grpc_server = aio.server(
            options=(*SERVER_OPTIONS, connections), maximum_concurrent_rpcs=self.options.streams
        )
        self.grpc_server.add_generic_rpc_handlers((self,))
        try:
            self.port = self.grpc_server.add_insecure_port(f"{address[0]}:{address[1]}")
        except RuntimeError as why:
            raise OSError(f"flight.listen: {address[0]}:{address[1]}: {why}") from None
        await self.grpc_server.start()

    async def stop(self, grace: float) -> None:
        """Accept no more calls; those still open after `grace` seconds are cancelled."""
        if self.grpc_server:
            await self.grpc_server.stop(grace)

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        """Return the handler of a Flight method; None for a method of another service or an unknown one."""
        service, _, method = details.method.strip("/").partition("/")
        return self.handlers.get(method) if service == "arrow.flight.protocol.FlightService" else None

    def with_status(self, serve: Callable) -> Callable:
        """Wrap a call handler: counts the call, and ends it with a status for any error that it raises."""

        async def run(request, context: aio.ServicerContext):
            self.metrics.add("flight calls")
            try:
                return await serve(request, context)
            except StatusError as why:
                error = why
            except UnsupportedCommand as why:
                error = unimplemented(str(why))
            except (Unreadable, InvalidFieldError, InvalidTicketError, binding.Unbindable) as why:
                error = invalid_argument(f"ticket: {why}" if type(why) is InvalidTicketError else str(why))
            except aio.AbortError:
                raise
            except aio.InternalError:
                # The client has ended the call, so that nothing can be written to it.
                self.metrics.add("flight clients gone")
                return None
            except Exception as why:
                self.metrics.add("flight call failed")
                self.log("flight call failed", why=repr(why), trace=traceback.format_exc())
                error = StatusError(StatusCode.INTERNAL, "a fault of the front")
            self.metrics.add(f"flight calls ended {error.code.name}")
            return await context.abort(error.code, error.message, error.metadata)

        return run

    def unimplemented_method(self, name: str) -> Callable:
        """Return a handler that ends each call with UNIMPLEMENTED."""

        async def serve(request, context):
            raise unimplemented(name)

        return serve

    # Commands, tickets and submission fields.

    async def get_flight_info(self, request: bytes, context: aio.ServicerContext) -> bytes:
        """Serve GetFlightInfo."""
        return self.flight_info(decode(pb.FlightDescriptor, request), context).SerializeToString()

    async def poll_flight_info(self, request: bytes, context: aio.ServicerContext) -> bytes:
        """Serve PollFlightInfo.

        A batch starts only when its ticket is redeemed, so that there is nothing to poll for: the first
        response is also the last, and has no descriptor to say so.
        """
        return pb.PollInfo(
            info=self.flight_info(decode(pb.FlightDescriptor, request), context)
        ).SerializeToString()

    def flight_info(self, descriptor: pb.FlightDescriptor, context: aio.ServicerContext) -> pb.FlightInfo:
        """Return the FlightInfo of a command, with one endpoint; raises `StatusError`.

        A metadata command is its own ticket. For a statement the schema is empty and the size -1, as they
        are not known before it runs.
        """
        if descriptor.type != pb.FlightDescriptor.CMD:
            raise invalid_argument("descriptor: a command expected")
        message = decode_command(descriptor.cmd)
        schema, records, ticket = b"", -1, descriptor.cmd
        table = catalog.metadata_table(message, self.options)
        if table is not None:
            schema, records = bytes(table.schema.serialize()), table.num_rows
        else:
            handle, _ = self.issue_ticket(self.statement_of(message, query=True), context)
            ticket = encode_any(sql.TicketStatementQuery(statement_handle=handle))
        return pb.FlightInfo(
            schema=schema,
            flight_descriptor=descriptor,
            total_records=records,
            total_bytes=-1,
            endpoint=[pb.FlightEndpoint(ticket=pb.Ticket(ticket=ticket))],
        )

    def issue_ticket(self, statement: bytes, context: aio.ServicerContext) -> tuple[bytes, TicketPayload]:
        """Return a signed ticket for a statement with the call's fields, and its payload.

        The batch is built once to check it, but not started: what would be rejected when the ticket is
        redeemed is rejected now.
        """
        group, fields = self.submission_fields(context)
        handle, payload = self.signer.issue(clock.now() + self.options.ticket_s, group, fields, statement)
        self.make_batch(payload, context)
        return handle, payload

    def statement_of(self, message, query: bool) -> bytes:
        """Return the statement of a command with its bound parameters written into it.

        Raises `StatusError` where the command cannot run as a query or as an update.
        """
        match message:
            case sql.CommandStatementQuery() if query:
                return query_text(message)
            case sql.CommandStatementUpdate() if not query:
                return query_text(message)
            case sql.CommandPreparedStatementQuery() if query:
                prepared = self.prepared_actions.find(message.prepared_statement_handle)
                return binding.bind(prepared.statement, prepared.rows)
        raise unimplemented(message.DESCRIPTOR.name + (" as a query" if query else " as an update"))

    def submission_fields(self, context: aio.ServicerContext) -> tuple[str, dict]:
        """Return the service group and the submission fields of a call.

        Each is taken from the call's headers, else from the session's options, else from the operator file.
        Raises `StatusError` for the group, `InvalidFieldError` for a number that is none.
        """
        call_headers = text_headers(context)
        session, options = self.session_actions.find_session(call_headers), self.options
        session_options = session.options if session else {}
        group = call_headers.get(options.group_header) or session_options.get("group") or options.group
        if not group:
            raise invalid_argument(
                f"{options.group_header}: missing; no option or default names a service group"
            )
        if group not in self.validator.query_classes:
            raise invalid_argument(f"{options.group_header}: {group[:60]!r} is no service group")
        fields: dict[str, str | float | bool] = {}
        tenant = call_headers.get(options.tenant_header) or session_options.get("tenant") or options.tenant
        if tenant:
            fields["tenant"] = tenant
        for name, header in FIELD_HEADERS.items():
            value = call_headers.get(header, session_options.get(FIELD_OPTIONS.get(name, "")))
            if value is None and name == "wait":
                value = options.wait_ms
            if value is None:
                continue
            if name in NUMERIC_FIELDS and type(value) is str:
                number = parse_number(value)
                if number is None:
                    raise InvalidFieldError(header, "a number from 0 up expected")
                value = number
            if name == "retry":
                value = value in (True, "1", "true")
            fields[name] = value
        return group, fields

    def make_batch(self, payload: TicketPayload, context: aio.ServicerContext) -> Batch:
        """Return the batch of a ticket, checked as on the JSON-RPC endpoint; it is not started.

        Its time limit is the ticket's `wait`, else that of its service group, and ends before the deadline
        of the call. Raises `StatusError`, or `InvalidFieldError` for a field.
        """
        limit = self.validator.query_classes[payload.group][1].time_limit
        wait = float(payload.fields.get("wait", limit * 1e3))
        remaining = context.time_remaining()
        if remaining is not None:
            # The answer must be on its way before the call's deadline.
            if remaining <= RESPONSE_MARGIN:
                raise StatusError(StatusCode.DEADLINE_EXCEEDED, "no time left")
            wait = min(wait, (remaining - RESPONSE_MARGIN) * 1e3)
        batch = self.validator.make_batch(
            payload.group, payload.fields | {"id": payload.number, "wait": wait}, payload.statement
        )
        batch.columns, batch.client = True, context.peer()
        return batch

    # Results.

    async def do_get(self, request: bytes, context: aio.ServicerContext) -> None:
        """Serve DoGet: redeem a ticket and stream its result, or that of a metadata command."""
        message = decode_command(decode(pb.Ticket, request).ticket)
        table = catalog.metadata_table(message, self.options)
        if table is not None:
            for raw in columns.encode_table(table):
                await context.write(raw)
            return
        if type(message) is not sql.TicketStatementQuery:
            raise unimplemented(f"DoGet of {message.DESCRIPTOR.name}: ask GetFlightInfo for a ticket")
        payload = self.signer.verify(message.statement_handle)
        status = self.tickets.redeem(payload.claims(), clock.now())
        if status is not TicketStatus.VALID:
            raise self.ticket_error(status)
        await self.send_result(self.make_batch(payload, context), context)

    def ticket_error(self, status: TicketStatus) -> StatusError:
        """Return the error for a ticket that cannot be redeemed or cancelled."""
        code = status_errors.TICKET_STATUS_CODES[status]
        final = status in (TicketStatus.REDEEMED, TicketStatus.CANCELLED)
        again = "" if final else "; ask GetFlightInfo again"
        return StatusError(code, f"ticket: {status.value}{again}")

    async def send_result(self, batch: Batch, context: aio.ServicerContext) -> None:
        """Run a batch and stream its result; the call succeeds only if the result was sent whole.

        Raises `StatusError` where there is no result or it was cut off.
        """
        headers = None
        try:
            async with BatchCall(self, batch) as answer:
                headers = ResponseHeaders(context)
                await self.write_in_time(answer, batch, headers, context)
        except StatusError:
            # The status follows the headers, which the time limit may have left under way.
            if headers:
                await headers.wait()
            raise

    async def write_in_time(
        self, answer: End | Begun, batch: Batch, headers: ResponseHeaders, context: aio.ServicerContext
    ) -> None:
        """Write a result within the batch's time limit; raises `StatusError` where it breaks off.

        Only the sending is timed here. Up to its answer the batch has its own time limit, and what that says
        of a repeat must reach the client.
        """
        try:
            async with asyncio.timeout_at(clock.on_loop(batch.deadline + RESPONSE_MARGIN)):
                await headers.wait()
                await self.write_result(answer, context)
        except TimeoutError:
            # The client reads too slowly: it has only part of the result, and the status says so.
            self.metrics.add("flight readers too slow")
            raise status_errors.incomplete_result(it.DispatchOutcome.TIMED_OUT) from None

    async def write_result(self, answer: End | Begun, context: aio.ServicerContext) -> None:
        """Write a result, whole or begun; raises `StatusError` where it breaks off."""
        match answer:
            case End():
                stream_messages = (
                    answer.stream_messages
                    if answer.stream_messages is not None
                    else columns.encode_rows(answer.pages)
                )
                for raw in stream_messages:
                    await context.write(raw)
            case Begun():
                while (raw := await answer.result_stream.take()) is not None:
                    await context.write(raw)
                if answer.result_stream.outcome is not it.DispatchOutcome.RETURNED:
                    raise status_errors.incomplete_result(answer.result_stream.outcome)

    def no_result_error(self, answer, batch: Batch) -> StatusError:
        """Return the error for a batch whose answer is not a result."""
        if answer is CANCELLED_BY_CLIENT:
            return StatusError(StatusCode.CANCELLED, CANCELLED_BY_CLIENT)
        if type(answer) is it.PushBack:
            return status_errors.push_back_error(answer.return_in, self.stopping)
        return status_errors.execution_error(clock.now() >= batch.deadline - TIME_LIMIT_TOLERANCE)

    async def do_put(self, requests: AsyncIterator[bytes], context: aio.ServicerContext) -> None:
        """Serve DoPut: run an update, or bind parameters to a prepared query."""
        stream = aiter(requests)
        try:
            async with asyncio.timeout(DO_PUT_READ_TIMEOUT):
                first = await anext(stream, None)
                if first is None:
                    raise invalid_argument("a stream without a message")
                message = decode_command(decode_stream_message(first).command)
                takes_parameters = type(message) in (
                    sql.CommandPreparedStatementQuery,
                    sql.CommandPreparedStatementUpdate,
                )
                rows, size = await self.read_parameters(first, stream) if takes_parameters else ([], 0)
        except TimeoutError:
            raise StatusError(StatusCode.DEADLINE_EXCEEDED, "a stream that does not go on") from None
        match message:
            case sql.CommandPreparedStatementQuery():
                handle = message.prepared_statement_handle
                self.prepared_actions.find(handle)
                if not self.prepared_statements.bind(handle.decode("latin-1"), rows, size, clock.now()):
                    raise StatusError(StatusCode.RESOURCE_EXHAUSTED, "no room for more parameters")
                result = sql.DoPutPreparedStatementResult(prepared_statement_handle=handle)
                await context.write(pb.PutResult(app_metadata=result.SerializeToString()).SerializeToString())
                return
            case sql.CommandPreparedStatementUpdate():
                prepared = self.prepared_actions.find(message.prepared_statement_handle)
                statement = binding.bind(prepared.statement, rows or prepared.rows)
            case _:
                statement = self.statement_of(message, query=False)
        changed = await self.run_update(statement, context)
        count = sql.DoPutUpdateResult(record_count=changed)
        await context.write(pb.PutResult(app_metadata=count.SerializeToString()).SerializeToString())

    async def run_update(self, statement: bytes, context: aio.ServicerContext) -> int:
        """Run an update without a ticket; returns the rows changed, -1 if its engine does not report them."""
        _, payload = self.issue_ticket(statement, context)
        batch = self.make_batch(payload, context)
        batch.is_update = True
        async with BatchCall(self, batch) as answer:
            return answer.changed

    async def read_parameters(self, first: bytes, stream: AsyncIterator[bytes]) -> tuple[list[tuple], int]:
        """Read the rows of parameters of a stream, and their size in bytes; raises `StatusError`."""
        messages = [first] if decode_stream_message(first).header else []
        size = len(first)
        async for raw in stream:
            size += len(raw)
            if size > MAX_PARAMETER_BYTES:
                raise invalid_argument(f"more than {MAX_PARAMETER_BYTES} bytes of parameters")
            if decode_stream_message(raw).header:
                messages.append(raw)
        if not messages:
            return [], 0
        return columns.decode_parameters(messages, MAX_PARAMETER_ROWS), size

    async def get_schema(self, request: bytes, context: aio.ServicerContext) -> bytes:
        """Serve GetSchema, for metadata commands only."""
        message = decode_command(decode(pb.FlightDescriptor, request).cmd)
        table = catalog.metadata_table(message, self.options)
        if table is None:
            # Only an engine knows the schema of a statement's result, and only by running it.
            raise unimplemented(f"GetSchema of {message.DESCRIPTOR.name}")
        return pb.SchemaResult(schema=bytes(table.schema.serialize())).SerializeToString()

    # Actions.

    async def do_action(self, request: bytes, context: aio.ServicerContext) -> None:
        """Serve DoAction."""
        action = decode(pb.Action, request)
        serve = self.actions.get(action.type)
        if serve is None:
            raise unimplemented(f"action {action.type[:60]!r}")
        body = await serve(action.body, context)
        if body is not None:
            await context.write(pb.Result(body=body).SerializeToString())

    async def list_actions(self, request: bytes, context: aio.ServicerContext) -> None:
        """Serve ListActions."""
        for name, description in ACTION_DESCRIPTIONS.items():
            await context.write(pb.ActionType(type=name, description=description).SerializeToString())

    async def cancel_flight_info(self, body: bytes, context: aio.ServicerContext) -> bytes:
        """Serve the action CancelFlightInfo."""
        status = self.cancel(decode(pb.CancelFlightInfoRequest, body).info)
        return pb.CancelFlightInfoResult(status=status).SerializeToString()

    async def cancel_query(self, body: bytes, context: aio.ServicerContext) -> bytes:
        """Serve the action CancelQuery."""
        message = read_command(body, sql.ActionCancelQueryRequest)
        # The values of both result enums are the same: cancelled 1, cancelling 2, not cancellable 3.
        status = self.cancel(decode(pb.FlightInfo, message.info))
        return encode_any(sql.ActionCancelQueryResult(result=status))

    def cancel(self, info: pb.FlightInfo) -> int:
        """Cancel the batch of a FlightInfo; returns a `CancelStatus` of Flight, or raises `StatusError`.

        An open batch is cancelled until its answer is final or, if the result is streamed, as long as it is
        being sent. Of a batch that has not started, the ticket is marked as used.
        """
        if len(info.endpoint) != 1:
            raise invalid_argument("info: the one endpoint that GetFlightInfo gave expected")
        message = decode_command(info.endpoint[0].ticket.ticket)
        if type(message) is not sql.TicketStatementQuery:
            return pb.CANCEL_STATUS_NOT_CANCELLABLE
        payload = self.signer.verify(message.statement_handle)
        if payload.number in self.open_batches:
            batch, answer = self.open_batches[payload.number]
            if answer.done() and not batch.result_stream:
                return pb.CANCEL_STATUS_NOT_CANCELLABLE
            batch.inbox.put_nowait(CLIENT_LEFT)
            if not answer.done():
                answer.set_result(CANCELLED_BY_CLIENT)
            return pb.CANCEL_STATUS_CANCELLED
        status = self.tickets.cancel(payload.claims(), clock.now())
        if status in (TicketStatus.VALID, TicketStatus.CANCELLED):
            return pb.CANCEL_STATUS_CANCELLED
        if status is TicketStatus.REDEEMED:
            return pb.CANCEL_STATUS_NOT_CANCELLABLE
        raise self.ticket_error(status)
