"""The list of engines, and that nothing is sent to an address that now belongs to another engine."""

import asyncio
from types import SimpleNamespace

import pytest

from thistlelever.budgets.plan import Plan, Share
from thistlelever.budgets.queued_batch import QueuePolicy
from thistlelever.carrier.budget_gate import BudgetGate
from thistlelever.ground import interface as it
from thistlelever.ground.config import Entry
from thistlelever.ground.metrics import Metrics
from thistlelever.store.links import Links, Refused
from thistlelever.store.roll import Roll

ADDRESS = ("127.0.0.1", 9)


def entry(name, address=ADDRESS, state=it.EngineState.READY):
    return Entry(it.Engine(name, 0, 0, 0, state, 0.0, 1.0), address)


def test_a_gone_engine_is_not_reached_at_an_address_that_is_another_engines():
    roll, old, new = Roll(), entry(b"old"), entry(b"new")
    roll.replace(1, [old], 0.0)
    roll.begin(b"old")
    assert roll.reachable(old)
    assert roll.replace(2, [new], 1.0) == [b"old"]
    assert roll.entries[b"old"].engine.state is it.EngineState.GONE
    assert not roll.reachable(old) and roll.reachable(new)


def test_a_gone_engine_whose_address_is_nobodys_is_still_asked_for_what_is_out():
    roll, old = Roll(), entry(b"old")
    roll.replace(1, [old], 0.0)
    roll.begin(b"old")
    roll.replace(2, [entry(b"new", ("127.0.0.1", 10))], 1.0)
    assert roll.reachable(old)


def test_an_engine_whose_process_has_ended_is_not_reached_at_all():
    roll, old = Roll(), entry(b"old")
    roll.replace(1, [old], 0.0)
    roll.begin(b"old")
    roll.ended.add(b"old")
    roll.update(1, [], 1.0)
    assert not roll.reachable(old)
    # Once nothing is out there it is forgotten.
    roll.end(b"old")
    roll.update(2, [], 2.0)
    roll.update(3, [], 3.0)
    assert not roll.entries and not roll.ended


def test_no_connection_is_opened_to_an_address_that_is_another_engines():
    async def play():
        accepted = []
        server = await asyncio.start_server(lambda reader, writer: accepted.append(writer), "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        roll, old = Roll(), entry(b"old", address)
        roll.replace(1, [old], 0.0)
        roll.begin(b"old")
        roll.replace(2, [entry(b"new", address)], 1.0)
        links = Links(4, 1.0, 0.25, Metrics())
        links.reachable = roll.reachable
        with pytest.raises(Refused):
            await links.take(old, urgent=False)
        await asyncio.sleep(0.05)
        assert not accepted
        server.close()

    asyncio.run(play())


def test_budgets_count_the_threads_of_another_list_under_the_same_serial():
    """The directory's numbers may begin anew, so that a serial and a size tell no two lists apart."""
    settings = SimpleNamespace(tariffs=(), fronts=1, kind_cores=(16,))
    roll, plan = Roll(), Plan({}, Share(weight=1.0))
    roll.update(2, [entry(b"a"), entry(b"b")], 0.0)
    gate = BudgetGate(settings, plan, QueuePolicy(True, 0.05, 1.0, 1.0), 2.0, 1, None, roll, Metrics(), None)
    assert gate.capacity() == 64.0
    roll.update(2, [entry(b"a"), entry(b"b", state=it.EngineState.DRAINING)], 1.0)
    assert gate.capacity() == 32.0
