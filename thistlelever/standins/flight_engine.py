"""A fake engine with Arrow Flight SQL, as described in `docs/flight-engines.md`."""

import asyncio
from collections import defaultdict, deque
from contextlib import suppress

import grpc
from grpc import StatusCode, aio

from thistlelever.standins.recorder import Recorder
from thistlelever.standins.http_engine import rows
from thistlelever.wire.flight import codec, columns
from thistlelever.wire.flight import flight_pb2 as pb
from thistlelever.wire.flight import flight_sql_pb2 as sql

STEP_CODES = {
    "full": StatusCode.RESOURCE_EXHAUSTED,
    "unsent": StatusCode.DEADLINE_EXCEEDED,
    "error": StatusCode.INVALID_ARGUMENT,
    "lost": StatusCode.UNAVAILABLE,
}
CANCEL = "CancelFlightInfo"
UNARY, STREAM, DUPLEX = (
    grpc.unary_unary_rpc_method_handler,
    grpc.unary_stream_rpc_method_handler,
    grpc.stream_stream_rpc_method_handler,
)


class Engine(grpc.GenericRpcHandler):
    """Answers each call by its next scripted step, or else as a healthy engine.

    `result` returns the messages of a statement's result. `steps` holds the steps by call: GetFlightInfo,
    DoGet, DoPut or the name of an action.

    Steps: `full`, `unsent`, `error`, `lost` end the call with that status, the first two with x-unrun;
    `silent` says nothing; `hold STEP` waits for release; `ran STEP` takes effect first; `cut N` ends a DoGet
    with UNAVAILABLE after N messages; `detached` ends a DoGet with UNAVAILABLE while its dispatch runs on
    until it is cancelled; `notes WORD` sends a note first; `raw HEX` is one message; `empty` ends well with
    nothing; `wait` waits for release after the schema.
    """

    def __init__(self, stir, options=()):
        """Take the event to set on each call, and gRPC server options."""
        self.stir, self.steps, self.calls, self.recorder = stir, defaultdict(deque), [], Recorder()
        self.text = rows("rows")
        # The running time of a batch in seconds, by its id.
        self.duration = lambda txn: 0.0
        self.result = lambda statement: columns.encode_rows([self.text.encode()])
        self.changed = lambda statement: 1
        self.fault = lambda call, txn: None
        self.trailers, self.supports_cancel = (), True
        # Results by batch and dispatch; the dispatches that have arrived, and those cancelled.
        self.kept, self.begun, self.cancelled = {}, set(), set()
        self.released = asyncio.Event()
        self.options, self.held_up, self.sent = options, set(), 0
        # With `drops_after` seconds set, a dispatch runs on when its call breaks, and its result is kept
        # until it has not been requested for that long. By batch and dispatch, `runs` has the tasks and
        # `asked` the times of the last request; `run_statement`, if set, runs a statement.
        self.drops_after, self.runs, self.asked, self.run_statement = None, {}, {}, None

    async def start(self, port=0):
        """Listen on a port of the loopback address; 0 picks a free one."""
        self.server = aio.server(options=(("grpc.so_reuseport", 0), *self.options))
        self.server.add_generic_rpc_handlers((self,))
        self.port = self.server.add_insecure_port(f"127.0.0.1:{port}")
        await self.server.start()

    async def stop(self, grace=None):
        """Stop serving; open calls have `grace` seconds."""
        await self.server.stop(grace)

    def service(self, details):
        """Return the handler of a Flight method."""
        handlers = {
            "GetFlightInfo": (UNARY, self.get_flight_info),
            "DoGet": (STREAM, self.do_get),
            "DoPut": (DUPLEX, self.do_put),
            "DoAction": (STREAM, self.do_action),
        }
        kind, serve = handlers.get(details.method.rpartition("/")[2], (None, None))
        if not kind:
            return None

        async def served(request, context):
            # Writing fails where the front has ended the call, which is not an error here.
            with suppress(aio.InternalError):
                return await serve(request, context)

        return kind(served)

    def arrived(self, call, context, body):
        """Note a call; returns its batch and the key of its dispatch."""
        fields = {k: v for k, v in context.invocation_metadata() if isinstance(v, str)}
        self.calls.append((call, fields, body))
        self.stir.set()
        batch = fields.get("x-txn", ""), fields.get("x-dedupe", ""), fields.get("x-lane", "")
        return batch, (batch[0], fields.get("x-dispatch", "0"))

    async def act(self, call, batch, context, body=b""):
        """Do the next step's preliminaries and return the rest; an empty list means a healthy answer."""
        step = list((self.steps[call].popleft() if self.steps[call] else self.fault(call, batch[0])) or ())
        if step[:1] == ["hold"]:
            await self.released.wait()
            step = step[1:]
        if step[:1] == ["ran"]:
            self.recorder.record_run(*batch)
            step = step[1:]
        if step[:1] == ["silent"]:
            try:
                await asyncio.Event().wait()
            finally:
                self.stir.set()
        if step and step[0] in STEP_CODES:
            unrun = step[0] in ("full", "unsent")
            if call != CANCEL:
                # A cancel that is lost ends nothing.
                self.recorder.record_end(*batch, "refused" if unrun else "answered")
            said = (*self.trailers, ("x-unrun", "1")) if unrun else self.trailers
            await context.abort(STEP_CODES[step[0]], step[0], said)
        return step

    async def begin(self, batch, which, context):
        """Record the arrival of a dispatch, unless it was cancelled before it arrived, and let it run."""
        if which in self.cancelled:
            await context.abort(StatusCode.CANCELLED, "called off", (("x-unrun", "1"),))
        self.begun.add(which)
        self.recorder.record_arrival(*batch)
        if self.duration(batch[0]):
            await asyncio.sleep(self.duration(batch[0]))

    async def get_flight_info(self, request, context):
        """Serve GetFlightInfo, which runs the statement or resumes a dispatch."""
        descriptor = pb.FlightDescriptor.FromString(request)
        resumed = ("x-resume", "1") in context.invocation_metadata()
        statement = b"" if resumed else codec.decode_command(descriptor.cmd).query.encode()
        batch, which = self.arrived("GetFlightInfo", context, statement)
        self.asked[which] = asyncio.get_running_loop().time()
        if resumed and which not in self.runs:
            await context.abort(StatusCode.NOT_FOUND, "no such dispatch")
        if not resumed:
            await self.begin(batch, which, context)
            await self.act("GetFlightInfo", batch, context)
            run = self.run(batch, which, statement)
            if self.drops_after is None:
                await run
            else:
                self.runs[which] = asyncio.create_task(run)
        if which in self.runs:
            await asyncio.shield(self.runs[which])
        ticket = pb.Ticket(ticket="/".join(which).encode())
        return pb.FlightInfo(
            flight_descriptor=descriptor,
            endpoint=[pb.FlightEndpoint(ticket=ticket)],
            total_records=-1,
            total_bytes=-1,
        ).SerializeToString()

    async def run(self, batch, which, statement):
        """Run a statement and keep its result."""
        if self.run_statement:
            await self.run_statement(batch[0], statement)
        self.recorder.record_run(*batch)
        self.kept[which] = self.result(statement), batch

    def sweep(self):
        """Drop runs and results that have not been requested for `drops_after` seconds."""
        till = asyncio.get_running_loop().time() - self.drops_after
        for which in [which for which, at in self.asked.items() if at < till]:
            del self.asked[which]
            if run := self.runs.pop(which, None):
                run.cancel()
            if kept := self.kept.pop(which, None):
                self.recorder.record_end(*kept[1], "dropped unasked")

    async def do_get(self, request, context):
        """Serve DoGet."""
        which = tuple(pb.Ticket.FromString(request).ticket.decode().split("/"))
        self.arrived("DoGet", context, b"")
        messages, batch = self.kept.get(which, (None, (which[0], "", "")))
        if messages is None:
            await context.abort(StatusCode.NOT_FOUND, "no such ticket")
        step = await self.act("DoGet", batch, context)
        what, *words = step or ["as usual"]
        if what == "notes":
            for word in words:
                await context.write(codec.encode_stream_message(b"", metadata=word.encode()))
        if what == "detached":
            await context.abort(StatusCode.UNAVAILABLE, what)
        if what in ("empty", "raw"):
            self.kept.pop(which, None)
            self.recorder.record_end(*batch, "answered")
            if what == "raw":
                await context.write(bytes.fromhex(words[0]))
            return
        for place, message in enumerate(messages):
            if what == "cut" and place == int(words[0]):
                break
            await context.write(message)
            self.sent += len(message)
            if what == "wait" and not place:
                await self.released.wait()
        if what == "cut":
            # With a number past the last message all rows have been sent, but not the status.
            self.recorder.record_end(*batch, "lost")
            await context.abort(StatusCode.UNAVAILABLE, "cut", self.trailers)
        context.set_trailing_metadata(self.trailers)
        self.asked[which] = asyncio.get_running_loop().time()
        if self.drops_after is None and self.kept.pop(which, None):
            self.recorder.record_end(*batch, "answered")

    async def do_put(self, requests, context):
        """Serve DoPut of an update."""
        first = codec.decode_stream_message(await anext(requests))
        statement = codec.decode_command(first.command).query.encode()
        batch, which = self.arrived("DoPut", context, statement)
        await self.begin(batch, which, context)
        await self.act("DoPut", batch, context)
        self.recorder.record_run(*batch)
        self.recorder.record_end(*batch, "answered")
        context.set_trailing_metadata(self.trailers)
        count = sql.DoPutUpdateResult(record_count=self.changed(statement))
        await context.write(pb.PutResult(app_metadata=count.SerializeToString()).SerializeToString())

    async def do_action(self, request, context):
        """Serve CancelFlightInfo and the actions of the platform."""
        action = pb.Action.FromString(request)
        batch, which = self.arrived(action.type, context, action.body)
        await self.act(action.type, batch, context)
        if action.type == CANCEL:
            if not self.supports_cancel:
                await context.abort(StatusCode.UNIMPLEMENTED, CANCEL)
            # A repeated cancel must not end a later dispatch of the same batch.
            is_repeated = which in self.cancelled
            self.cancelled.add(which)
            if run := self.runs.pop(which, None):
                run.cancel()
            whose = self.kept.pop(which, (None, batch))[1]
            if which in self.begun and not is_repeated:
                self.recorder.record_end(*whose, "given up")
            elif which not in self.begun:
                await context.abort(StatusCode.NOT_FOUND, "no such batch")
            await context.write(
                pb.Result(
                    body=pb.CancelFlightInfoResult(status=pb.CANCEL_STATUS_CANCELLED).SerializeToString()
                ).SerializeToString()
            )
        elif action.type == "thistlelever.stats":
            gauges = dict(self.trailers).get("x-gauges", "")
            await context.write(pb.Result(body=gauges.encode()).SerializeToString())
        elif action.type != "thistlelever.priority":
            await context.abort(StatusCode.UNIMPLEMENTED, action.type)
