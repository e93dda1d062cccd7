"""The Flight SQL actions on sessions: options that a client sets once for its later calls."""

from __future__ import annotations

import os

from grpc import StatusCode, aio

from thistlelever.flight.requests import SESSION_COOKIE, read_session_id, text_headers
from thistlelever.flight.status_errors import StatusError
from thistlelever.ground import clock
from thistlelever.state.sessions import Session, Sessions, option_error, parse_number
from thistlelever.wire.flight import flight_pb2 as pb
from thistlelever.wire.flight.codec import decode


class SessionActions:
    """Serves SetSessionOptions, GetSessionOptions and CloseSession."""

    def __init__(self, sessions: Sessions) -> None:
        """Serve the sessions of one front."""
        self.sessions = sessions

    def find_session(self, call_headers: dict[str, str]) -> Session | None:
        """Return the session that a call's cookie names; None if it names none or the session is gone."""
        session_id = read_session_id(call_headers)
        return self.sessions.find(session_id, clock.now()) if session_id else None

    async def set_options(self, body: bytes, context: aio.ServicerContext) -> bytes:
        """Set or unset options, in a new session if the call names none that exists.

        Invalid options are reported in the result; raises `StatusError` where there is no room for a session.
        """
        request, result = decode(pb.SetSessionOptionsRequest, body), pb.SetSessionOptionsResult()
        session = self.find_session(text_headers(context))
        if session is None:
            session_id = os.urandom(16).hex()
            session = self.sessions.open(session_id, clock.now())
            if session is None:
                raise StatusError(StatusCode.RESOURCE_EXHAUSTED, "no room for more sessions")
            await context.send_initial_metadata((("set-cookie", f"{SESSION_COOKIE}={session_id}"),))
        for name, option in request.session_options.items():
            kind = option.WhichOneof("option_value")
            value = getattr(option, kind) if kind else None
            # An option without a value is to be unset, so that only its name can be invalid.
            error = option_error(name, value)
            if error == "name" or error and kind:
                codes = {"name": pb.SetSessionOptionsResult.INVALID_NAME}
                result.errors[name[:60]].value = codes.get(error, pb.SetSessionOptionsResult.INVALID_VALUE)
            elif kind:
                number = parse_number(value) if name.endswith(("_ms", "_mb")) else None
                session.options[name] = value if number is None else number
            else:
                session.options.pop(name, None)
        return result.SerializeToString()

    async def get_options(self, body: bytes, context: aio.ServicerContext) -> bytes:
        """Return the options of the call's session; none where there is no session."""
        decode(pb.GetSessionOptionsRequest, body)
        session, result = self.find_session(text_headers(context)), pb.GetSessionOptionsResult()
        for name, value in (session.options if session else {}).items():
            option = result.session_options[name]
            if type(value) is bool:
                option.bool_value = value
            elif type(value) is str:
                option.string_value = value
            else:
                option.double_value = value
        return result.SerializeToString()

    async def close_session(self, body: bytes, context: aio.ServicerContext) -> bytes:
        """Remove a session and clear its cookie; raises `StatusError` where there is none."""
        decode(pb.CloseSessionRequest, body)
        session_id = read_session_id(text_headers(context))
        if not session_id or not self.sessions.close(session_id):
            raise StatusError(StatusCode.NOT_FOUND, "no such session")
        await context.send_initial_metadata((("set-cookie", f"{SESSION_COOKIE}=; Max-Age=0"),))
        return pb.CloseSessionResult(status=pb.CloseSessionResult.CLOSED).SerializeToString()
