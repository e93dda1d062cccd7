"""HTTP/1.1 as a front speaks it to engines: calls written, replies read out of a `ReadBuffer`."""

from __future__ import annotations

import re
from math import isfinite
from typing import NamedTuple

from thistlelever.wire.read_buffer import ReadBuffer

MAX_HEAD_BYTES = 8_192
MAX_INTERIM_REPLIES = 100
NO_BODY = (204, 304)
# Three columns with a tab between, a line feed after each row.
ROWS = re.compile(rb"(?:[^\t\n]*+\t[^\t\n]*+\t[^\t\n]*+\n)*+")
MAX_PAGE_BYTES = 6_000


class Unreadable(Exception):
    """The reply is not HTTP/1.1, or not whole where it says it is."""


class Reply(NamedTuple):
    """One reply; its body and fields are slices that are void once more is read."""

    status: int
    fields: dict[bytes, memoryview]
    body: memoryview
    keeps: bool

    def text(self, name: bytes) -> str:
        return str(self.fields[name], "latin-1") if name in self.fields else ""

    def number(self, name: bytes) -> float | None:
        """A figure, or None where the field is absent or none that counts something."""
        return parse_measure(self.text(name))


def encode_request(
    method: str, path: str, address: tuple[str, int], fields: dict[str, str], body: bytes = b""
) -> bytes:
    """The bytes of one call."""
    head = [f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"]
    head += [f"{name}: {value}\r\n" for name, value in fields.items()]
    if body or method in ("POST", "PUT"):
        head.append(f"Content-Length: {len(body)}\r\n")
    head.append("\r\n")
    return "".join(head).encode("latin-1") + body


def read_reply(buffer: ReadBuffer) -> Reply | None:
    """The reply that the buffer holds, taken off it; None while it is not all there."""
    while True:
        data, start, end = buffer.data, buffer.start, buffer.end
        head_end = data.find(b"\r\n\r\n", start, end)
        if head_end < 0:
            if end - start > MAX_HEAD_BYTES:
                raise Unreadable(f"a head of more than {MAX_HEAD_BYTES} bytes")
            return None
        view = memoryview(data)
        status, fields, keeps = parse_head(data, view, start, head_end)
        body_start = head_end + 4
        if not 100 <= status < 200:
            break
        # An interim reply says nothing here; the one that counts comes after it. Risk: thousands of them,
        # each in a call of its own, end in a full stack, and without end they are no reply.
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
        raise Unreadable("no Content-Length")
    length = parse_integer(fields[b"content-length"], 10)
    if length > buffer.max_message:
        raise Unreadable(f"a body of {length} bytes")
    if end - body_start < length:
        return None
    buffer.start = body_start + length
    return Reply(status, fields, view[body_start : body_start + length], keeps)


def parse_head(data: bytearray, view: memoryview, start: int, head_end: int) -> tuple[int, dict, bool]:
    """Status, fields by lower-case name, and whether the connection stays open."""
    line_end = data.find(b"\r\n", start, head_end)
    line_end = head_end if line_end < 0 else line_end
    if bytes(view[start : start + 7]) != b"HTTP/1." or bytes(view[start + 8 : start + 9]) != b" ":
        raise Unreadable("no HTTP/1.1 status line")
    status = parse_integer(view[start + 9 : start + 12], 10)
    fields: dict[bytes, memoryview] = {}
    at = line_end + 2
    while at < head_end:
        line_end = data.find(b"\r\n", at, head_end)
        line_end = head_end if line_end < 0 else line_end
        colon = data.find(b":", at, line_end)
        if colon <= at:
            raise Unreadable("a field without a name")
        name = bytes(view[at:colon]).lower()
        if name in fields:
            raise Unreadable(f"{name.decode('latin-1')} comes twice")
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
    """A body in chunks. Its parts are put together in a copy, as they do not lie side by side."""
    if bytes(fields[b"transfer-encoding"]).lower() != b"chunked" or b"content-length" in fields:
        raise Unreadable("a transfer encoding other than chunked, or a length beside it")
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
            raise Unreadable("a chunk that does not end where it says")
        parts.append(view[at : at + size])
        at += size + 2
    # Trailers are passed over up to the empty line that ends them.
    while True:
        line_end = data.find(b"\r\n", at, buffer.end)
        if line_end < 0:
            return None
        empty, at = line_end == at, line_end + 2
        if empty:
            buffer.start = at
            return Reply(status, fields, memoryview(b"".join(parts)), keeps)


def parse_integer(word: memoryview | bytes, base: int) -> int:
    text = bytes(word)
    if not text.isalnum():
        raise Unreadable(f"no figure: {text[:20]!r}")
    try:
        return int(text, base)
    except ValueError:
        raise Unreadable(f"no figure: {text[:20]!r}") from None


def parse_measure(word: str) -> float | None:
    """A figure from 0 up. Risk: one `nan` in an average stays there for good."""
    try:
        value = float(word)
    except ValueError:
        return None
    return value if isfinite(value) and value >= 0 else None


def check_page(body: memoryview) -> bytes:
    """The rows of a page, copied, as they outlive the buffer. Risk: noise or a cut page goes on as rows."""
    if len(body) > MAX_PAGE_BYTES or not ROWS.fullmatch(body):
        raise Unreadable(f"{len(body)} bytes that are no page of whole rows")
    return bytes(body)


def parse_load_report(word: str, names: tuple[str, ...]) -> tuple[float, ...]:
    """A load report, `name:value` with `;` between, as figures in the order of `names`."""
    measures = {}
    for pair in word.split(";"):
        name, _, value = pair.partition(":")
        measures[name.strip()] = parse_measure(value)
    # Half a report would be taken for an idle engine.
    report = tuple(measures.get(name) for name in names)
    return () if None in report else report
