"""The Flight actions on sessions: options that a client sets once for its later calls."""

from __future__ import annotations

import os

from grpc import StatusCode, aio

from thistlelever.flight.answers import Refusal
from thistlelever.flight.requests import SESSION_COOKIE, headers, session_number
from thistlelever.ground import clock
from thistlelever.state.sessions import Session, Sessions, option_error, parse_number
from thistlelever.wire.flight import flight_pb2 as pb
from thistlelever.wire.flight.codec import decode


class SessionCalls:
    """Serves SetSessionOptions, GetSessionOptions and CloseSession."""

    def __init__(self, sessions: Sessions) -> None:
        self.sessions = sessions

    def session(self, said: dict[str, str]) -> Session | None:
        """The session that a call names by its headers, if it is still there."""
        number = session_number(said)
        return self.sessions.find(number, clock.now()) if number else None

    async def set_options(self, body: bytes, context: aio.ServicerContext) -> bytes:
        """Set or unset options; opens a session for a call that names none."""
        asked, result = decode(pb.SetSessionOptionsRequest, body), pb.SetSessionOptionsResult()
        session = self.session(headers(context))
        if session is None:
            number = os.urandom(16).hex()
            session = self.sessions.open(number, clock.now())
            if session is None:
                raise Refusal(StatusCode.RESOURCE_EXHAUSTED, "no room for more sessions")
            await context.send_initial_metadata((("set-cookie", f"{SESSION_COOKIE}={number}"),))
        for name, option in asked.session_options.items():
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
        decode(pb.GetSessionOptionsRequest, body)
        session, result = self.session(headers(context)), pb.GetSessionOptionsResult()
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
        """Forget a session; raises `Refusal` where there is none."""
        decode(pb.CloseSessionRequest, body)
        number = session_number(headers(context))
        if not number or not self.sessions.close(number):
            raise Refusal(StatusCode.NOT_FOUND, "no such session")
        await context.send_initial_metadata((("set-cookie", f"{SESSION_COOKIE}=; Max-Age=0"),))
        return pb.CloseSessionResult(status=pb.CloseSessionResult.CLOSED).SerializeToString()
