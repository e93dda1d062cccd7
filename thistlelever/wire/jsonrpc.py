"""JSON-RPC 2.0 of clients, one message per line: framing and validation, with orjson for the JSON."""

from __future__ import annotations

from binascii import Error as Base64Error
from binascii import a2b_base64, b2a_base64
from typing import NamedTuple

import orjson

from thistlelever.ground.submission import InvalidFieldError

# Values in one call; a request has about a dozen. A line that cannot have more is not counted.
MAX_VALUES, COUNTED_LINE_BYTES = 1_024, 2_048
# Error codes: of the JSON-RPC specification, and of this program.
NOT_JSON, NO_REQUEST, NO_METHOD, BAD_FIELD = -32700, -32600, -32601, -32602
ERRORED, PUSHED_BACK = -32000, -32001


class InvalidCall(Exception):
    """A line that is answered with an error: its code, the text, and the id of the call if known."""

    def __init__(self, code: int, why: str, number: int | None = None) -> None:
        """Take the error code, the text for the client and the id to reply to."""
        super().__init__(why)
        self.code, self.why, self.number = code, why, number


class Call(NamedTuple):
    """A call; `number` is its id, or None for a notification, which gets no reply."""

    number: int | None
    method: str
    params: dict


def parse_call(line: memoryview) -> Call:
    """Decode the call on a line; raises `InvalidCall`."""
    if has_too_many_values(line):
        raise InvalidCall(NO_REQUEST, f"more than {MAX_VALUES} values")
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as why:
        raise InvalidCall(NOT_JSON, f"no JSON: {why}") from None
    if type(message) is not dict:
        raise InvalidCall(NO_REQUEST, "no object; batches of calls are not taken")
    number = message.get("id")
    if number is not None and (type(number) is not int or number < 1):
        raise InvalidCall(NO_REQUEST, "id: a number from 1 up is expected")
    if message.get("jsonrpc") != "2.0":
        raise InvalidCall(NO_REQUEST, 'jsonrpc: "2.0" is expected', number)
    if type(message.get("method")) is not str:
        raise InvalidCall(NO_REQUEST, "method: a string is expected", number)
    params = message.get("params", {})
    if type(params) is not dict:
        raise InvalidCall(BAD_FIELD, "params: an object is expected", number)
    return Call(number, message["method"], params)


def has_too_many_values(line: memoryview) -> bool:
    """Return whether a line may hold more than `MAX_VALUES` JSON values.

    Decoded, a value of two bytes takes up to fifty times as much, so they are counted before. Commas within
    strings count as well; statements are in base64, which has none.
    """
    if len(line) <= COUNTED_LINE_BYTES:
        return False
    text = bytes(line)
    return text.count(b",") + text.count(b"[") + text.count(b"{") > MAX_VALUES


def submitted_statement(call: Call) -> bytes:
    """Return the statement in the parameters of a call; raises `InvalidFieldError`."""
    body = call.params.get("bytes")
    if type(body) is not str:
        raise InvalidFieldError("bytes", "a string expected")
    try:
        return a2b_base64(body, strict_mode=True)
    except (Base64Error, ValueError):
        raise InvalidFieldError("bytes", "base64 expected") from None


def encode_result(number: int, pages: list[bytes]) -> bytes:
    """Encode the reply to a batch, with the rows of all pages unchanged."""
    rows = b2a_base64(b"".join(pages), newline=False)
    return b'{"jsonrpc":"2.0","id":%d,"result":{"bytes":"%b"}}\n' % (number, rows)


def encode_value(number: int, message: dict) -> bytes:
    """Encode the reply to any other call."""
    return b'{"jsonrpc":"2.0","id":%d,"result":%b}\n' % (number, orjson.dumps(message))


def encode_error(number: int | None, code: int, why: str, after: float = 0.0) -> bytes:
    """Encode an error reply; `after` is the time in seconds that the client is asked to wait."""
    message: dict = {"code": code, "message": why}
    if after > 0:
        message["data"] = {"after": round(after * 1e3)}
    return orjson.dumps({"jsonrpc": "2.0", "id": number, "error": message}) + b"\n"
