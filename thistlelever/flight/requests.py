"""What Flight SQL calls bring, read in one way by all of their handlers."""

from __future__ import annotations

from http.cookies import CookieError, SimpleCookie

from grpc import aio

from thistlelever.flight.answers import bad, unserved
from thistlelever.wire.flight.codec import decode_command

SESSION_COOKIE = "arrow_flight_session_id"
# Bytes of a cookie header that are looked at.
LONGEST_COOKIES = 2_048


def headers(context: aio.ServicerContext) -> dict[str, str]:
    """The headers of a call that are text."""
    return {key: value for key, value in context.invocation_metadata() or () if type(value) is str}


def session_number(said: dict[str, str]) -> str | None:
    """The number of the session that a call's headers name."""
    try:
        jar = SimpleCookie(said.get("cookie", "")[:LONGEST_COOKIES])
    except CookieError:
        return None
    return jar[SESSION_COOKIE].value if SESSION_COOKIE in jar else None


def expected(body: bytes, kind: type):
    """The command in a body, which must be of that kind; raises `Refusal`."""
    asked = decode_command(body)
    if type(asked) is not kind:
        raise bad(f"{kind.DESCRIPTOR.name} expected, found {asked.DESCRIPTOR.name}")
    return asked


def query_text(asked) -> bytes:
    """The statement of a command that carries one; raises `Refusal` for one within a transaction."""
    if asked.transaction_id:
        raise unserved("transactions")
    return asked.query.encode()
