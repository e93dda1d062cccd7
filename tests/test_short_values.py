"""Lines of many short values and headers of many short fields, which decoded take many times their length."""

import tracemalloc

import pytest

from rigs.crowd_clients import empty_lists, long_request, short_fields, short_objects
from thistlelever.wire import http, jsonrpc
from thistlelever.wire.read_buffer import ReadBuffer

# What a line may take beside its own length: one copy of it, and the values that are allowed.
ALLOWED_BYTES = 262_144 + 1_024 * 256
# What the fields of a header may take: a hundred, with a name, a slice and a place each.
ALLOWED_HEAD_BYTES = 100 * 512


@pytest.mark.parametrize("make", [short_fields, short_objects, empty_lists])
def test_a_line_of_many_short_values_is_refused_before_it_is_decoded(make):
    line = memoryview(make())[:-1]
    tracemalloc.start()
    try:
        with pytest.raises(jsonrpc.InvalidCall, match="values"):
            jsonrpc.parse_call(line)
        assert tracemalloc.get_traced_memory()[1] < ALLOWED_BYTES
    finally:
        tracemalloc.stop()


def test_a_long_request_with_few_values_is_decoded():
    call = jsonrpc.parse_call(memoryview(long_request(1))[:-1])
    assert len(jsonrpc.submitted_statement(call)) > 100_000


def test_a_reply_of_many_short_header_fields_is_refused_before_all_are_parsed():
    fields = b"".join(b"%x:\r\n" % number for number in range(1_300))
    buffer = ReadBuffer(8_192, 16_384)
    reply = b"HTTP/1.1 200 OK\r\n" + fields + b"Content-Length: 0\r\n\r\n"
    buffer.writable()[: len(reply)] = reply
    buffer.advance(len(reply))
    tracemalloc.start()
    try:
        with pytest.raises(http.Unreadable, match="fields"):
            http.read_reply(buffer)
        assert tracemalloc.get_traced_memory()[1] < ALLOWED_HEAD_BYTES
    finally:
        tracemalloc.stop()
