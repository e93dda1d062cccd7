"""JSON-RPC 2.0 as clients speak it: one message a line, framing and checks here, JSON by orjson."""

from __future__ import annotations

from binascii import Error as NoBase64
from binascii import a2b_base64, b2a_base64
from typing import NamedTuple

import orjson

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


class Submission(NamedTuple):
    """The fields of one batch, as the client sent them."""

    txn: str
    wait: float
    consignor: str
    repeat: bool
    reference: str
    work: float | None
    memory: float
    statement: bytes


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


def submission(call: Call) -> Submission:
    """The batch that a call submits."""
    given = Fields(call)
    txn = given.string("id")
    if not digits(txn, 16):
        given.bad("id", "16 hex digits")
    wait = given.figure("wait")
    if wait is None or wait <= 0:
        given.bad("wait", "milliseconds above 0")
    try:
        statement = a2b_base64(given.string("bytes"), strict_mode=True)
    except (NoBase64, ValueError):
        given.bad("bytes", "base64")
    reference = given.string("once", "")
    if reference and not digits(reference, 32):
        # It goes into a header as it is.
        given.bad("once", "32 hex digits")
    work = given.figure("cost")
    retry = call.params.get("retry")
    return Submission(
        txn, wait / 1e3, given.string("tenant", ""), retry not in (None, 0, "0", "", False), reference,
        work / 1e3 if work else None, given.figure("need_mb") or 0.0, statement,
    )


def digits(word: str, count: int) -> bool:
    return len(word) == count and all(c in "0123456789abcdef" for c in word)


class Fields:
    """The params of one call, each checked as it is taken."""

    def __init__(self, call: Call) -> None:
        self.params, self.number = call.params, call.number

    def bad(self, name: str, wanted: str) -> None:
        raise Bad(BAD_FIELD, f"{name}: {wanted} expected", self.number)

    def string(self, name: str, absent: str | None = None) -> str:
        value = self.params.get(name, absent)
        if type(value) is not str:
            self.bad(name, "a string")
        return value

    def figure(self, name: str) -> float | None:
        value = self.params.get(name)
        if value is None:
            return None
        if type(value) not in (int, float) or not 0 <= value < 1e12:
            self.bad(name, "a number from 0 up")
        return float(value)


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
