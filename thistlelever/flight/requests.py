"""Parsing of Flight SQL requests that several call handlers share: headers, cookies, commands."""

from __future__ import annotations

from http.cookies import CookieError, SimpleCookie

from grpc import aio

from thistlelever.flight.status_errors import invalid_argument, unimplemented
from thistlelever.wire.flight.codec import decode_command

SESSION_COOKIE = "arrow_flight_session_id"
# Characters of a cookie header that are parsed; the rest is ignored.
MAX_COOKIE_LENGTH = 2_048


def text_headers(context: aio.ServicerContext) -> dict[str, str]:
    """Return the headers of a call whose values are text, by name."""
    return {key: value for key, value in context.invocation_metadata() or () if type(value) is str}


def read_session_id(call_headers: dict[str, str]) -> str | None:
    """Return the session id from a call's cookie header; None where it is missing or malformed."""
    try:
        cookies = SimpleCookie(call_headers.get("cookie", "")[:MAX_COOKIE_LENGTH])
    except CookieError:
        return None
    return cookies[SESSION_COOKIE].value if SESSION_COOKIE in cookies else None


def read_command(body: bytes, message_type: type):
    """Return the command in a body; raises `StatusError` where it is not of `message_type`."""
    message = decode_command(body)
    if type(message) is not message_type:
        raise invalid_argument(f"{message_type.DESCRIPTOR.name} expected, found {message.DESCRIPTOR.name}")
    return message


def query_text(message) -> bytes:
    """Return the statement of a command that has one; raises `StatusError` if it names a transaction."""
    if message.transaction_id:
        raise unimplemented("transactions")
    return message.query.encode()
