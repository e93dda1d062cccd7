"""The JSON-RPC listener for clients: accepts connections and runs one session per connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from thistlelever.carrier.batch_tasks import BatchTasks
from thistlelever.carrier.client_session import MAX_LINE_BYTES, ClientSession
from thistlelever.carrier.validation import RequestValidator
from thistlelever.ground import clock
from thistlelever.ground.log import Log
from thistlelever.ground.metrics import Metrics
from thistlelever.ground.submission import InvalidFieldError
from thistlelever.store.batches import Batch
from thistlelever.store.connection_limits import ConnectionLimits
from thistlelever.store.divided_memory import DividedMemory
from thistlelever.store.line_memory import LineMemory
from thistlelever.store.stream import Stream
from thistlelever.wire import jsonrpc

# Part of the free shared memory for unread answers that one client may hold.
UNREAD_CLIENT_PART = 0.5
# A connection without a whole line for SILENT_AFTER_S counts as idle for SILENT_PENALTY_S longer, so that it
# is closed before one that has sent requests.
SILENT_AFTER_S, SILENT_PENALTY_S = 0.1, 1.0
# At the connection limit, how long a new connection may wait before it is closed unserved, in seconds.
PLACE_TIMEOUT_S = 1.0
# Connections accepted per iteration of the event loop.
ACCEPTS_PER_TURN = 32
# Interval in seconds for retrying to accept, and for checking for unfinished work during shutdown.
RETRY_DELAY_S = 0.005


class ClientListener:
    """Accepts client connections within `limits` and makes batches of their calls.

    `unread_memory` limits the answers of all sessions that are not written yet, `line_memory` the growth of
    their read buffers.
    """

    def __init__(
        self,
        validator: RequestValidator,
        batch_tasks: BatchTasks,
        metrics: Metrics,
        log: Log,
        limits: ConnectionLimits,
    ) -> None:
        """Accept nothing before `listen`; `ready` answers the status calls of clients."""
        self.validator, self.batch_tasks, self.metrics = validator, batch_tasks, metrics
        self.log, self.limits = log, limits
        self.ready: Callable[[], bool] = lambda: False
        connections = limits.client_connections
        self.unread_memory = DividedMemory(limits.unread_bytes, connections, UNREAD_CLIENT_PART)
        self.line_memory = LineMemory(limits.unfinished_bytes, connections, MAX_LINE_BYTES)
        # An accepted connection that waits until a session ends, and since when the limit is reached; further
        # connections wait in the listen queue.
        self.pending_socket: socket.socket | None = None
        self.full_since = float("inf")
        self.sessions: dict[ClientSession, asyncio.Task] = {}
        self.server_socket: socket.socket | None = None

    def listen(self, raw: socket.socket) -> None:
        """Accept connections from a listening, non-blocking socket."""
        self.server_socket = raw
        asyncio.get_running_loop().add_reader(raw, self.accept)

    async def finish(self, within: float) -> None:
        """Stop accepting, answer what is open, then end all sessions, waiting up to `within` seconds."""
        # Closing the socket would reset the connections in its queue, and their first requests with them.
        self.accept()
        asyncio.get_running_loop().remove_reader(self.server_socket)
        for raw in (self.server_socket, self.pending_socket):
            # The descriptor is released even if close() fails.
            with suppress(OSError):
                raw and raw.close()
        await self.drain()
        for session in list(self.sessions):
            session.end()
        if self.sessions:
            await asyncio.wait(self.sessions.values(), timeout=within)

    async def drain(self) -> None:
        """Wait until received requests are answered, at most until `stop_at`. A request whose last bytes come
        just after all others were answered is lost with its connection."""
        while clock.now() < self.validator.stop_at and (
            self.batch_tasks.tasks or any(session.has_pending_input() for session in self.sessions)
        ):
            await asyncio.sleep(RETRY_DELAY_S)

    def accept(self) -> None:
        """Accept waiting connections, a limited number per loop iteration."""
        for _ in range(ACCEPTS_PER_TURN):
            try:
                raw, self.pending_socket = self.pending_socket or self.server_socket.accept()[0], None
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # The socket stays readable; without a pause the event loop would spin.
                self.metrics.add("connections that could not be taken")
                self.pause_accepting()
                return
            has_place = len(self.sessions) < self.limits.client_connections or self.close_idle_session()
            if not has_place and clock.now() < self.full_since + PLACE_TIMEOUT_S:
                # Closing it would lose its first request; a session may end soon.
                self.full_since, self.pending_socket = min(self.full_since, clock.now()), raw
                self.pause_accepting()
                return
            if not has_place:
                # All sessions have open batches. After a close the client can try another front.
                self.metrics.add("connections past the bound")
                with suppress(OSError):
                    raw.close()
                continue
            self.full_since = float("inf")
            try:
                raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError:
                # The connection has already ended, or Nagle's algorithm delays its answers slightly.
                self.metrics.add("connections without TCP_NODELAY")
            stream = Stream(raw, max_buffer_size=MAX_LINE_BYTES, read_chunk_size=self.limits.read_bytes)
            session = ClientSession(stream, self)
            self.sessions[session] = asyncio.get_running_loop().create_task(session.run())

    def pause_accepting(self) -> None:
        """Stop accepting for `RETRY_DELAY_S` seconds."""
        asyncio.get_running_loop().remove_reader(self.server_socket)
        asyncio.get_running_loop().call_later(RETRY_DELAY_S, self.resume_accepting)

    def resume_accepting(self) -> None:
        """Accept again, unless the socket was closed meanwhile."""
        if self.server_socket.fileno() >= 0:
            self.listen(self.server_socket)
            self.accept()

    def close_idle_session(self) -> bool:
        """Close the session that has been idle longest, of those without open batches and unread input;
        returns whether there was one.

        Without this, clients that stay connected would keep others out for good. Sessions with unread input
        are kept, as closing them would lose a request.
        """
        now = clock.now()

        def idle_since(session: ClientSession) -> float:
            silent = not session.has_sent_line and now - session.since > SILENT_AFTER_S
            return session.since - SILENT_PENALTY_S * silent

        for session in sorted(
            (s for s in self.sessions if not s.open_batches and not s.shutting_down), key=idle_since
        ):
            if not session.has_pending_input():
                self.metrics.add("idle clients closed for others")
                session.close()
                return True
        return False

    def sweep(self) -> None:
        """Close sessions that have no open batch and have sent no whole line for too long."""
        for session in [s for s in self.sessions if not s.open_batches and not s.shutting_down]:
            if session.has_expired():
                self.metrics.add("idle clients closed" if session.is_idle() else "silent clients closed")
                session.end()

    def batch(self, call: jsonrpc.Call) -> Batch:
        """Make a batch of a call; raises `InvalidCall` where the call is not a valid submission."""
        if call.method not in self.validator.query_classes:
            raise jsonrpc.InvalidCall(
                jsonrpc.NO_METHOD, f"{call.method[:60]}: no such service group", call.number
            )
        if call.number is None:
            raise jsonrpc.InvalidCall(jsonrpc.NO_REQUEST, "id: a number from 1 up is expected")
        try:
            return self.validator.make_batch(call.method, call.params, jsonrpc.submitted_statement(call))
        except InvalidFieldError as why:
            code, field = jsonrpc.BAD_FIELD, str(why)
            if why.still_open:
                code, field = jsonrpc.NO_REQUEST, f"params.{why}"
            raise jsonrpc.InvalidCall(code, field, call.number) from None
