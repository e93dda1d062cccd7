"""The Flight actions on prepared statements."""

from __future__ import annotations

import os

from grpc import StatusCode, aio

from thistlelever.flight.answers import Refusal, bad
from thistlelever.flight.requests import expected, query_text
from thistlelever.ground import clock
from thistlelever.state.prepared import PreparedStatement, PreparedStatements
from thistlelever.wire import binding
from thistlelever.wire.flight import flight_sql_pb2 as sql
from thistlelever.wire.flight.codec import encode_any


class PreparedCalls:
    """Serves CreatePreparedStatement and ClosePreparedStatement, and finds what they set down."""

    def __init__(self, statements: PreparedStatements) -> None:
        self.statements = statements

    def find(self, handle: bytes) -> PreparedStatement:
        """The statement under a handle; raises `Refusal` where there is none."""
        found = self.statements.find(handle.decode("latin-1"), clock.now())
        if found is None:
            why = "closed, unused for too long, or of another front"
            raise Refusal(StatusCode.NOT_FOUND, f"no such prepared statement here: {why}")
        return found

    async def create(self, body: bytes, context: aio.ServicerContext) -> bytes:
        """Set a statement down under a handle of its own; raises `Refusal` where there is no room."""
        asked = expected(body, sql.ActionCreatePreparedStatementRequest)
        statement = query_text(asked)
        if len(statement) > binding.MAX_STATEMENT_BYTES:
            raise bad(f"a statement of {len(statement)} bytes; {binding.MAX_STATEMENT_BYTES} at most")
        handle = os.urandom(16).hex()
        if not self.statements.add(handle, statement, clock.now()):
            raise Refusal(StatusCode.RESOURCE_EXHAUSTED, "no room for more prepared statements; close some")
        return encode_any(sql.ActionCreatePreparedStatementResult(prepared_statement_handle=handle.encode()))

    async def close(self, body: bytes, context: aio.ServicerContext) -> None:
        """Forget a statement; one that is not there is no fault."""
        asked = expected(body, sql.ActionClosePreparedStatementRequest)
        self.statements.drop(asked.prepared_statement_handle.decode("latin-1"))
