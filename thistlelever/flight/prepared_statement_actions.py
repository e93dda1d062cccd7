"""The Flight actions on prepared statements."""

from __future__ import annotations

import os

from grpc import StatusCode, aio

from thistlelever.flight.status_errors import StatusError, invalid_argument
from thistlelever.flight.requests import read_command, query_text
from thistlelever.ground import clock
from thistlelever.state.prepared import PreparedStatement, PreparedStatements
from thistlelever.wire import binding
from thistlelever.wire.flight import flight_sql_pb2 as sql
from thistlelever.wire.flight.parcels import wrapped


class PreparedStatementActions:
    """Serves CreatePreparedStatement and ClosePreparedStatement, and finds what they set down."""

    def __init__(self, statements: PreparedStatements) -> None:
        self.statements = statements

    def find(self, handle: bytes) -> PreparedStatement:
        """The statement under a handle; raises `StatusError` where there is none."""
        found = self.statements.find(handle.decode("latin-1"), clock.now())
        if found is None:
            why = "closed, unused for too long, or of another front"
            raise StatusError(StatusCode.NOT_FOUND, f"no such prepared statement here: {why}")
        return found

    async def create(self, body: bytes, context: aio.ServicerContext) -> bytes:
        """Set a statement down under a handle of its own; raises `StatusError` where there is no room."""
        asked = read_command(body, sql.ActionCreatePreparedStatementRequest)
        statement = query_text(asked)
        if len(statement) > binding.LONGEST:
            raise invalid_argument(f"a statement of {len(statement)} bytes; {binding.LONGEST} at most")
        handle = os.urandom(16).hex()
        if not self.statements.add(handle, statement, clock.now()):
            raise StatusError(
                StatusCode.RESOURCE_EXHAUSTED, "no room for more prepared statements; close some"
            )
        return wrapped(sql.ActionCreatePreparedStatementResult(prepared_statement_handle=handle.encode()))

    async def close(self, body: bytes, context: aio.ServicerContext) -> None:
        """Forget a statement; one that is not there is no fault."""
        asked = read_command(body, sql.ActionClosePreparedStatementRequest)
        self.statements.drop(asked.prepared_statement_handle.decode("latin-1"))
