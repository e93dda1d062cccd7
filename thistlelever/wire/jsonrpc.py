"""JSON-RPC 2.0 as clients speak it: one message a line, framing and checks here, JSON by orjson."""

from __future__ import annotations

from binascii import Error as NoBase64
from binascii import a2b_base64, b2a_base64
from typing import NamedTuple

import orjson

from thistlelever.ground.submission import InvalidFieldError

NOT_JSON, NO_REQUEST, NO_METHOD, BAD_FIELD = -32700, -32600, -32601, -32602
ERRORED, PUSHED_BACK = -32000, -32001


class Bad(Exception):
    """A line that gets an error: its code, what is wrong, and the id to answer to."""

    def __init__(self, code: int, why: str, number: int | None = None) -> None:
        super().__init__(why)
        self.code, self.why, self.number = code, why, number


class Call(NamedTuple):
    """One message: `number` is None for a notification, which gets no answer."""

    number: int | None
    method: str
    params: dict


def read(line: memoryview) -> Call:
    """The call on one line."""
    try:
        said = orjson.loads(line)
    except orjson.JSONDecodeError as why:
        raise Bad(NOT_JSON, f"no JSON: {why}") from None
    if type(said) is not dict:
        raise Bad(NO_REQUEST, "no object; batches of calls are not taken")
    number = said.get("id")
    if number is not None and (type(number) is not int or number < 1):
        raise Bad(NO_REQUEST, "id: a number from 1 up is expected")
    if said.get("jsonrpc") != "2.0":
        raise Bad(NO_REQUEST, 'jsonrpc: "2.0" is expected', number)
    if type(said.get("method")) is not str:
        raise Bad(NO_REQUEST, "method: a string is expected", number)
    params = said.get("params", {})
    if type(params) is not dict:
        raise Bad(BAD_FIELD, "params: an object is expected", number)
    return Call(number, said["method"], params)


def statement(call: Call) -> bytes:
    """The statement that a call submits."""
    body = call.params.get("bytes")
    if type(body) is not str:
        raise InvalidFieldError("bytes", "a string expected")
    try:
        return a2b_base64(body, strict_mode=True)
    except (NoBase64, ValueError):
        raise InvalidFieldError("bytes", "base64 expected") from None


def result(number: int, pages: list[bytes]) -> bytes:
    """The answer with the rows of all pages, unchanged."""
    rows = b2a_base64(b"".join(pages), newline=False)
    return b'{"jsonrpc":"2.0","id":%d,"result":{"bytes":"%b"}}\n' % (number, rows)


def value(number: int, said: dict) -> bytes:
    """An answer to anything but a batch."""
    return b'{"jsonrpc":"2.0","id":%d,"result":%b}\n' % (number, orjson.dumps(said))


def error(number: int | None, code: int, why: str, after: float = 0.0) -> bytes:
    """An error; `after` is the time in seconds that the client is asked to stay away."""
    said: dict = {"code": code, "message": why}
    if after > 0:
        said["data"] = {"after": round(after * 1e3)}
    return orjson.dumps({"jsonrpc": "2.0", "id": number, "error": said}) + b"\n"
