"""Lines of many short values: decoded, they would take many times their length."""

import tracemalloc

import pytest

from rigs.crowd_clients import empty_lists, long_request, short_fields, short_objects
from thistlelever.wire import jsonrpc

# What a line may take beside its own length: one copy of it, and the values that are allowed.
ALLOWED_BYTES = 262_144 + 1_024 * 256


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
