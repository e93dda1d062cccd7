"""What Flight SQL calls bring, read in one way by all of their handlers."""

from __future__ import annotations

from http.cookies import CookieError, SimpleCookie

from grpc import aio

from thistlelever.flight.status_errors import invalid_argument, unimplemented
from thistlelever.wire.flight.parcels import command

SESSION_COOKIE = "arrow_flight_session_id"
# Bytes of a cookie header that are looked at.
MAX_COOKIE_LENGTH = 2_048


def text_headers(context: aio.ServicerContext) -> dict[str, str]:
    """The headers of a call that are text."""
    return {key: value for key, value in context.invocation_metadata() or () if type(value) is str}


def session_id(call_headers: dict[str, str]) -> str | None:
    """The number of the session that a call's headers name."""
    try:
        cookies = SimpleCookie(call_headers.get("cookie", "")[:MAX_COOKIE_LENGTH])
    except CookieError:
        return None
    return cookies[SESSION_COOKIE].value if SESSION_COOKIE in cookies else None


def read_command(body: bytes, kind: type):
    """The command in a body, which must be of that kind; raises `StatusError`."""
    message = command(body)
    if type(message) is not kind:
        raise invalid_argument(f"{kind.DESCRIPTOR.name} expected, found {message.DESCRIPTOR.name}")
    return message


def query_text(message) -> bytes:
    """The statement of a command that carries one; raises `StatusError` for one within a transaction."""
    if message.transaction_id:
        raise unimplemented("transactions")
    return message.query.encode()
