"""All that the limits allow together fits into the memory of the configuration."""

from hypothesis import given
from hypothesis import strategies as st

from thistlelever.store.connection_limits import (
    BASE_MEMORY_MB,
    CLIENT_CONNECTION_BYTES,
    ENGINE_CONNECTION_BYTES,
    connection_limits,
)

LEAST_MEMORY_MB, MEGABYTE = 32, 1_000_000


@given(st.integers(64, 65_536), st.integers(LEAST_MEMORY_MB, 4_096))
def test_what_connections_and_buffers_may_hold_fits_into_the_memory(sockets, memory_mb):
    limits = connection_limits(sockets, memory_mb)
    connections = limits.client_connections * (CLIENT_CONNECTION_BYTES + limits.read_bytes)
    connections += limits.engine_connections * ENGINE_CONNECTION_BYTES
    buffers = limits.unread_bytes + limits.unfinished_bytes + limits.request_bytes
    buffers += limits.result_bytes
    assert BASE_MEMORY_MB * MEGABYTE + connections + buffers <= memory_mb * MEGABYTE
    assert limits.client_connections + limits.engine_connections <= sockets


def test_the_least_memory_has_room_for_the_clients_of_the_most_descriptors():
    assert connection_limits(1_024, LEAST_MEMORY_MB).client_connections >= 1_024 // 3
