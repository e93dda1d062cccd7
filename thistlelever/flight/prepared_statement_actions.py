"""The Flight SQL actions on prepared statements."""

from __future__ import annotations

import os

from grpc import StatusCode, aio

from thistlelever.flight.requests import query_text, read_command
from thistlelever.flight.status_errors import StatusError, invalid_argument
from thistlelever.ground import clock
from thistlelever.state.prepared import PreparedStatement, PreparedStatements
from thistlelever.wire import binding
from thistlelever.wire.flight import flight_sql_pb2 as sql
from thistlelever.wire.flight.codec import encode_any


class PreparedStatementActions:
    """Serves CreatePreparedStatement and ClosePreparedStatement, and finds the statements by handle."""

    def __init__(self, statements: PreparedStatements) -> None:
        """Serve the statements of one front."""
        self.statements = statements

    def find(self, handle: bytes) -> PreparedStatement:
        """Return the statement with that handle; raises `StatusError` where there is none."""
        found = self.statements.find(handle.decode("latin-1"), clock.now())
        if found is None:
            why = "closed, unused for too long, or of another front"
            raise StatusError(StatusCode.NOT_FOUND, f"no such prepared statement here: {why}")
        return found

    async def create(self, body: bytes, context: aio.ServicerContext) -> bytes:
        """Keep a statement under a new handle; raises `StatusError` if it is too long or there is no room."""
        message = read_command(body, sql.ActionCreatePreparedStatementRequest)
        statement = query_text(message)
        if len(statement) > binding.MAX_STATEMENT_BYTES:
            raise invalid_argument(
                f"a statement of {len(statement)} bytes; {binding.MAX_STATEMENT_BYTES} at most"
            )
        handle = os.urandom(16).hex()
        if not self.statements.add(handle, statement, clock.now()):
            raise StatusError(
                StatusCode.RESOURCE_EXHAUSTED, "no room for more prepared statements; close some"
            )
        return encode_any(sql.ActionCreatePreparedStatementResult(prepared_statement_handle=handle.encode()))

    async def close(self, body: bytes, context: aio.ServicerContext) -> None:
        """Remove a statement; a handle without one is not an error."""
        message = read_command(body, sql.ActionClosePreparedStatementRequest)
        self.statements.drop(message.prepared_statement_handle.decode("latin-1"))
