"""Channels to Flight engines when the front ends.

In one run of the suite an engine of HTTP got the first line of HTTP/2, `PRI * HTTP/2.0`: a channel of an
earlier front still dialled the address, which another engine had by then.
"""

import asyncio
import socket
from types import SimpleNamespace

import pytest

from thistlelever.carrier.dispatch import NoResultError
from thistlelever.carrier.flight_engines import FlightEngines
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics

# In seconds: a channel dials again after 1 s at most.
REDIAL_S = 1.5


def flight_engines(port):
    """The Flight protocol, and an engine's entry with that port."""
    settings = SimpleNamespace(report_fields=(), connect_limit=0.25)
    engines = FlightEngines(settings, None, None, Metrics(), 1, 1, None)
    return engines, SimpleNamespace(address=("127.0.0.1", port), engine=SimpleNamespace(id=b"a"))


def first_bytes_at(port, within):
    """Listen at the port; returns what the first connection sends, or None if there is none in time."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen()
        listener.settimeout(within)
        try:
            connection, _ = listener.accept()
        except TimeoutError:
            return None
        with connection:
            connection.settimeout(within)
            return connection.recv(16)


def test_a_front_that_has_closed_its_channels_dials_no_engine():
    async def run(port):
        engines, entry = flight_engines(port)
        await engines.close()
        # A cancel or a probe that is repeated while the front ends, and is ended with it.
        asked = asyncio.create_task(engines.channel(entry))
        await asyncio.wait((asked,), timeout=0.01)
        return engines, asked

    # The engine accepts connections and says nothing, and ends with the front.
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1]
        engines, asked = asyncio.run(run(port))
    assert first_bytes_at(port, REDIAL_S) is None
    assert not engines.channels
    assert asked.exception().outcome is it.DispatchOutcome.UNREACHABLE


def test_a_channel_that_is_connecting_when_the_front_closes_its_channels_is_closed():
    async def run(port):
        engines, entry = flight_engines(port)
        asked = asyncio.create_task(engines.channel(entry))
        await asyncio.sleep(0.01)
        assert engines.channels
        await engines.close()
        with pytest.raises(NoResultError) as refused:
            await asked
        assert refused.value.outcome is it.DispatchOutcome.UNREACHABLE
        assert not engines.channels and not engines.closing

    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        asyncio.run(run(listener.getsockname()[1]))
