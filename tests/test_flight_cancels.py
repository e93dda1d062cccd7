"""Cancels of dispatches at engines that speak Flight SQL: slow links and connections that fail."""

import asyncio
import socket
from types import SimpleNamespace

import pytest

from thistlelever.carrier.dispatch import DispatchProgress, NoResultError
from thistlelever.carrier.flight_engines import FlightEngines
from thistlelever.carrier.repeated_cancel import REPEAT_BESIDE_S
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch


def flight_engines(call_action, address=("127.0.0.1", 1)):
    """The Flight protocol with its actions replaced by `call_action`, an entry, and a batch."""
    settings = SimpleNamespace(report_fields=(), connect_limit=0.25)
    engines = FlightEngines(settings, None, None, Metrics(), 1, 1, None)
    engines.call_action = call_action
    entry = SimpleNamespace(address=address, engine=SimpleNamespace(id=b"a"))
    submission = SimpleNamespace(txn="1", statement=b"select a from sales_17.orders")
    return engines, entry, Batch(1, submission, "taken", "lookup", clock.now() + 60)


def test_a_cancel_over_a_slow_link_is_not_ended_by_its_repeats():
    took, ended_early = [], []

    async def call_action(entry, kind, body, metadata, timeout=0.25):
        number, began = len(took) + len(ended_early), clock.now()
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(1.5 * REPEAT_BESIDE_S if not number else 60)
        except (asyncio.CancelledError, TimeoutError):
            ended_early.append(clock.now() - began)
            raise
        took.append(clock.now() - began)

    async def run():
        engines, entry, batch = flight_engines(call_action)
        # The call of the dispatch began long ago: what has been open until now was asked for until now.
        progress = DispatchProgress(0, started=True, last_call_at=clock.now() - 30)
        await engines.cancel_dispatch(batch, entry, progress)
        await asyncio.sleep(0)
        return engines.metrics.counts["flight cancel failed"]

    assert asyncio.run(run()) == 0
    # The first was answered; the one beside it ended with that.
    assert len(took) == len(ended_early) == 1 and ended_early[0] < took[0]


@pytest.mark.parametrize("listens", (True, False))
def test_a_connection_that_fails_does_not_prove_that_the_engine_has_stopped(listens):
    # gRPC gives up a connection after 0.1 s, on a slow link or beside load before it is up.
    calls = []

    async def call_action(entry, kind, body, metadata, timeout=0.25):
        calls.append(kind)
        if len(calls) < 4:
            raise NoResultError(it.DispatchOutcome.UNREACHABLE)

    async def run():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
            if not listens:
                listener.close()
            engines, entry, batch = flight_engines(call_action, address)
            progress = DispatchProgress(0, started=True, last_call_at=clock.now())
            await engines.cancel_dispatch(batch, entry, progress)
            return engines.metrics.counts["flight cancel failed"]

    assert (asyncio.run(run()), len(calls)) == ((0, 4) if listens else (1, 1))
