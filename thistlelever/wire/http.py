"""HTTP/1.1 client codec for engines: requests to bytes, and replies from a `ReadBuffer`.

Replies are parsed in place. A truncated reply is not an error: parsing starts again once more bytes are read.
"""

from __future__ import annotations

import re
from math import isfinite
from typing import NamedTuple

from thistlelever.wire.read_buffer import ReadBuffer

MAX_HEAD_BYTES = 8_192
# A header of so many short fields would take fifty times its length once parsed.
MAX_FIELDS = 100
MAX_INTERIM_REPLIES = 100
# Status codes of replies without a body.
NO_BODY = (204, 304)
# Rows of three columns, separated by tabs, each ended by a line feed.
ROWS = re.compile(rb"(?:[^\t\n]*+\t[^\t\n]*+\t[^\t\n]*+\n)*+")
MAX_PAGE_BYTES = 6_000


class Unreadable(Exception):
    """The reply is not valid HTTP/1.1, exceeds a limit, or its content is malformed."""


class Reply(NamedTuple):
    """A reply; its body and fields are slices of the buffer and are valid until more is read.

    `fields` holds the header fields by lower-case name; `keeps` is whether the connection stays open.
    """

    status: int
    fields: dict[bytes, memoryview]
    body: memoryview
    keeps: bool

    def text(self, name: bytes) -> str:
        """Return a header field, or "" when it is absent."""
        return str(self.fields[name], "latin-1") if name in self.fields else ""

    def number(self, name: bytes) -> float | None:
        """Return a header field as a number, or None unless it is a finite number from 0 up."""
        return parse_measure(self.text(name))


def encode_request(
    method: str, path: str, address: tuple[str, int], fields: dict[str, str], body: bytes = b""
) -> bytes:
    """Encode a request."""
    head = [f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"]
    head += [f"{name}: {value}\r\n" for name, value in fields.items()]
    if body or method in ("POST", "PUT"):
        head.append(f"Content-Length: {len(body)}\r\n")
    head.append("\r\n")
    return "".join(head).encode("latin-1") + body


def read_reply(buffer: ReadBuffer) -> Reply | None:
    """Take the next reply from the buffer, or return None while it is incomplete; raises `Unreadable`."""
    while True:
        data, start, end = buffer.data, buffer.start, buffer.end
        head_end = data.find(b"\r\n\r\n", start, end)
        if head_end < 0:
            if end - start > MAX_HEAD_BYTES:
                raise Unreadable(f"header of more than {MAX_HEAD_BYTES} bytes")
            return None
        view = memoryview(data)
        status, fields, keeps = parse_head(data, view, start, head_end)
        body_start = head_end + 4
        if not 100 <= status < 200:
            break
        # Interim replies are skipped in a loop, as recursion would exhaust the stack on thousands of them.
        # Their number is limited, as an engine that sends nothing else never replies.
        buffer.start = body_start
        buffer.interim_replies += 1
        if buffer.interim_replies > MAX_INTERIM_REPLIES:
            raise Unreadable(f"more than {MAX_INTERIM_REPLIES} interim replies")
    buffer.interim_replies = 0
    if status in NO_BODY:
        buffer.start = body_start
        return Reply(status, fields, view[body_start:body_start], keeps)
    if b"transfer-encoding" in fields:
        return read_chunked(buffer, status, fields, body_start, keeps)
    if b"content-length" not in fields:
        raise Unreadable("missing Content-Length")
    length = parse_integer(fields[b"content-length"], 10)
    if length > buffer.max_message:
        raise Unreadable(f"a body of {length} bytes")
    if end - body_start < length:
        return None
    buffer.start = body_start + length
    return Reply(status, fields, view[body_start : body_start + length], keeps)


def parse_head(data: bytearray, view: memoryview, start: int, head_end: int) -> tuple[int, dict, bool]:
    """Parse the status, the fields by lower-case name, and whether the connection stays open."""
    line_end = data.find(b"\r\n", start, head_end)
    line_end = head_end if line_end < 0 else line_end
    if bytes(view[start : start + 7]) != b"HTTP/1." or bytes(view[start + 8 : start + 9]) != b" ":
        raise Unreadable("invalid HTTP/1.1 status line")
    status = parse_integer(view[start + 9 : start + 12], 10)
    fields: dict[bytes, memoryview] = {}
    at = line_end + 2
    while at < head_end:
        line_end = data.find(b"\r\n", at, head_end)
        line_end = head_end if line_end < 0 else line_end
        colon = data.find(b":", at, line_end)
        if colon <= at:
            raise Unreadable("header field without a name")
        if len(fields) >= MAX_FIELDS:
            raise Unreadable(f"more than {MAX_FIELDS} header fields")
        name = bytes(view[at:colon]).lower()
        if name in fields:
            raise Unreadable(f"duplicate header field {name.decode('latin-1')}")
        first, last = colon + 1, line_end
        while first < last and data[first] in b" \t":
            first += 1
        while last > first and data[last - 1] in b" \t":
            last -= 1
        fields[name] = view[first:last]
        at = line_end + 2
    keeps = view[start + 7 : start + 8] == b"1" and bytes(fields.get(b"connection", b"")).lower() != b"close"
    return status, fields, keeps


def read_chunked(buffer: ReadBuffer, status: int, fields: dict, at: int, keeps: bool) -> Reply | None:
    """Read a chunked body, which is copied, as its chunks are not contiguous in the buffer."""
    if bytes(fields[b"transfer-encoding"]).lower() != b"chunked" or b"content-length" in fields:
        raise Unreadable("unsupported transfer encoding, or a Content-Length beside it")
    data, view, parts = buffer.data, memoryview(buffer.data), []
    while True:
        line_end = data.find(b"\r\n", at, buffer.end)
        if line_end < 0:
            return None
        size = parse_integer(bytes(view[at:line_end]).split(b";")[0].strip(), 16)
        at = line_end + 2
        if size > buffer.max_message:
            raise Unreadable(f"a chunk of {size} bytes")
        if size == 0:
            break
        if buffer.end < at + size + 2:
            return None
        if bytes(view[at + size : at + size + 2]) != b"\r\n":
            raise Unreadable("chunk without a line end at its stated size")
        parts.append(view[at : at + size])
        at += size + 2
    # Trailers are skipped, up to the empty line that ends them.
    while True:
        line_end = data.find(b"\r\n", at, buffer.end)
        if line_end < 0:
            return None
        empty, at = line_end == at, line_end + 2
        if empty:
            buffer.start = at
            return Reply(status, fields, memoryview(b"".join(parts)), keeps)


def parse_integer(raw: memoryview | bytes, base: int) -> int:
    """Parse an unsigned integer without signs, blanks or underscores; raises `Unreadable`."""
    text = bytes(raw)
    if not text.isalnum():
        raise Unreadable(f"not a number: {text[:20]!r}")
    try:
        return int(text, base)
    except ValueError:
        raise Unreadable(f"not a number: {text[:20]!r}") from None


def parse_measure(text: str) -> float | None:
    """Parse a finite number from 0 up, else return None: a single `nan` would stay in an average for good."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if isfinite(value) and value >= 0 else None


def check_page(body: memoryview) -> bytes:
    """Copy the rows of a page, as they outlive the buffer; raises `Unreadable`.

    Without the check a truncated or corrupt page would be returned to the client as rows.
    """
    if len(body) > MAX_PAGE_BYTES or not ROWS.fullmatch(body):
        raise Unreadable(f"{len(body)} bytes that are not a page of complete rows")
    return bytes(body)


def parse_load_report(text: str, names: tuple[str, ...]) -> tuple[float, ...]:
    """Parse a load report, `name:value` pairs separated by `;`, to numbers in the order of `names`.

    Returns an empty tuple unless all of them are present and valid.
    """
    measures = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        measures[name.strip()] = parse_measure(value)
    # The gaps of an incomplete report would make the engine look idle.
    report = tuple(measures.get(name) for name in names)
    return () if None in report else report
