"""The Flight actions on sessions: options that a client sets once for its later calls."""

from __future__ import annotations

import os

from grpc import StatusCode, aio

from thistlelever.flight.status_errors import StatusError
from thistlelever.flight.requests import SESSION_COOKIE, text_headers, session_id
from thistlelever.ground import clock
from thistlelever.state.sessions import Session, Sessions, option_error, parse_number
from thistlelever.wire.flight import flight_pb2 as pb
from thistlelever.wire.flight.parcels import read


class SessionActions:
    """Serves SetSessionOptions, GetSessionOptions and CloseSession."""

    def __init__(self, sessions: Sessions) -> None:
        self.sessions = sessions

    def session(self, call_headers: dict[str, str]) -> Session | None:
        """The session that a call names by its headers, if it is still there."""
        number = session_id(call_headers)
        return self.sessions.find(number, clock.now()) if number else None

    async def set_options(self, body: bytes, context: aio.ServicerContext) -> bytes:
        """Set or unset options; opens a session for a call that names none."""
        request, result = read(pb.SetSessionOptionsRequest, body), pb.SetSessionOptionsResult()
        session = self.session(text_headers(context))
        if session is None:
            number = os.urandom(16).hex()
            session = self.sessions.open(number, clock.now())
            if session is None:
                raise StatusError(StatusCode.RESOURCE_EXHAUSTED, "no room for more sessions")
            await context.send_initial_metadata((("set-cookie", f"{SESSION_COOKIE}={number}"),))
        for name, option in request.session_options.items():
            kind = option.WhichOneof("option_value")
            value = getattr(option, kind) if kind else None
            # An option without a value is unset; only its name can be wrong then.
            wrong = option_error(name, value)
            if wrong == "name" or wrong and kind:
                known = {"name": pb.SetSessionOptionsResult.INVALID_NAME}
                result.errors[name[:60]].value = known.get(wrong, pb.SetSessionOptionsResult.INVALID_VALUE)
            elif kind:
                number = parse_number(value) if name.endswith(("_ms", "_mb")) else None
                session.options[name] = value if number is None else number
            else:
                session.options.pop(name, None)
        return result.SerializeToString()

    async def get_options(self, body: bytes, context: aio.ServicerContext) -> bytes:
        """What is set in the session that the call names."""
        read(pb.GetSessionOptionsRequest, body)
        session, result = self.session(text_headers(context)), pb.GetSessionOptionsResult()
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
        """Forget a session; raises `StatusError` where there is none."""
        read(pb.CloseSessionRequest, body)
        number = session_id(text_headers(context))
        if not number or not self.sessions.close(number):
            raise StatusError(StatusCode.NOT_FOUND, "no such session")
        await context.send_initial_metadata((("set-cookie", f"{SESSION_COOKIE}=; Max-Age=0"),))
        return pb.CloseSessionResult(status=pb.CloseSessionResult.CLOSED).SerializeToString()
