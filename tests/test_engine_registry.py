"""The engine registry: nothing new is sent to an address that now belongs to another engine."""

import asyncio
from types import SimpleNamespace

import pytest

from thistlelever.budgets.plan import Plan, Share
from thistlelever.budgets.queued_batch import QueuePolicy
from thistlelever.carrier.budget_gate import BudgetGate
from thistlelever.ground import interface as it
from thistlelever.ground.config import Entry
from thistlelever.ground.metrics import Metrics
from thistlelever.store.connections import ConnectionPool, Refused
from thistlelever.store.engine_registry import EngineRegistry

ADDRESS = ("127.0.0.1", 9)


def entry(name, address=ADDRESS, state=it.EngineState.READY):
    return Entry(it.Engine(name, 0, 0, 0, state, 0.0, 1.0), address)


def test_a_gone_engine_is_unreachable_once_another_engine_has_its_address():
    registry, old, new = EngineRegistry(), entry(b"old"), entry(b"new")
    registry.replace(1, [old], 0.0)
    registry.dispatch_started(b"old")
    assert registry.is_reachable(old)
    assert registry.replace(2, [new], 1.0) == [b"old"]
    assert registry.entries[b"old"].engine.state is it.EngineState.GONE
    assert not registry.is_reachable(old) and registry.is_reachable(new)


def test_a_gone_engine_with_dispatches_stays_reachable_while_its_address_is_free():
    registry, old = EngineRegistry(), entry(b"old")
    registry.replace(1, [old], 0.0)
    registry.dispatch_started(b"old")
    registry.replace(2, [entry(b"new", ("127.0.0.1", 10))], 1.0)
    assert registry.is_reachable(old)


def test_an_engine_whose_process_has_ended_is_unreachable():
    registry, old = EngineRegistry(), entry(b"old")
    registry.replace(1, [old], 0.0)
    registry.dispatch_started(b"old")
    registry.ended_engines.add(b"old")
    registry.update(1, [], 1.0)
    assert not registry.is_reachable(old)
    # It is removed once it has no running dispatches.
    registry.dispatch_ended(b"old")
    registry.update(2, [], 2.0)
    registry.update(3, [], 3.0)
    assert not registry.entries and not registry.ended_engines


def test_no_connection_is_opened_to_an_address_of_another_engine():
    async def scenario():
        accepted = []
        server = await asyncio.start_server(lambda reader, writer: accepted.append(writer), "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        registry, old = EngineRegistry(), entry(b"old", address)
        registry.replace(1, [old], 0.0)
        registry.dispatch_started(b"old")
        registry.replace(2, [entry(b"new", address)], 1.0)
        connections = ConnectionPool(4, 1.0, 0.25, Metrics())
        connections.is_reachable = registry.is_reachable
        with pytest.raises(Refused):
            await connections.acquire(old, urgent=False)
        await asyncio.sleep(0.05)
        assert not accepted
        server.close()

    asyncio.run(scenario())


def test_budgets_count_threads_anew_for_another_list_with_the_same_serial():
    """The directory may restart its serials, so serial and size do not identify a list."""
    settings = SimpleNamespace(tariffs=(), fronts=1, kind_cores=(16,))
    registry, plan = EngineRegistry(), Plan({}, Share(weight=1.0))
    registry.update(2, [entry(b"a"), entry(b"b")], 0.0)
    gate = BudgetGate(
        settings, plan, QueuePolicy(True, 0.05, 1.0, 1.0), 2.0, 1, None, registry, Metrics(), None
    )
    assert gate.capacity() == 64.0
    registry.update(2, [entry(b"a"), entry(b"b", state=it.EngineState.DRAINING)], 1.0)
    assert gate.capacity() == 32.0
