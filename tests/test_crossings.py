"""Where two ends cross, in parts too small for a whole front: each fails without the mend that it names."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest
from test_scenarios import GROUP, MANIFEST

from thistlelever.admission.decide import Front
from thistlelever.carrier.dispatch import Dispatcher
from thistlelever.carrier.intake import Intake
from thistlelever.carrier.pulse import Pulse
from thistlelever.ground import clock, papers
from thistlelever.ground import interface as it
from thistlelever.ground.tally import Tally
from thistlelever.standins.papers import configuration
from thistlelever.store.batches import Batch, Batches
from thistlelever.store.links import Link, Links

REFERENCED = GROUP._replace(repeat=it.Repeat.REFERENCED, window=1.5, time_limit=30.0, goal=20.0)


def dispatches(group, allowance=None):
    """The first dispatch of a batch at 10 s, and the one that follows after a reset 0.5 s later."""
    front = Front(MANIFEST._replace(tariffs=(group,), allowance=allowance), 7)
    engines = tuple(it.Engine(name, 0, 0, 0, it.Standing.READY, 0.0, 1.0) for name in (b"a", b"b"))
    found = front.handle(10.0, [it.ListTold(it.ListKind.CACHED, 1, engines),
                                it.BatchTaken(1, 0, 0, 0, 30.0, 0.1, 0.0, 1.0, False)])
    first = next(a for a in found if type(a) is it.Dispatch)
    found = front.handle(10.5, [it.DispatchEnded(1, 0, first.engine, it.Fate.RESET, 0.5, False, 0, 0, ())])
    return first, next((a for a in found if type(a) is it.Dispatch), None)


def test_all_that_goes_out_of_a_referenced_batch_begins_within_the_window_of_the_first():
    # Risk: the carrier takes time to send; the window ends meanwhile (`Front.begin_by`).
    assert [d.begin_by for d in dispatches(REFERENCED)] == [11.5, 11.5]


def test_a_repeatable_batch_may_begin_at_any_time():
    assert [d.begin_by for d in dispatches(GROUP)] == [float("inf")] * 2


def test_where_further_dispatches_are_rationed_none_is_sent_again_uncounted():
    first, _ = dispatches(GROUP, it.Allowance(1.0, 0.1, 10.0))
    assert first.begin_by == 10.0 + MANIFEST.connect_limit


def called_off_before_its_first_step(then):
    async def run():
        roll = SimpleNamespace(begin=lambda engine: out.update([engine]),
                               end=lambda engine: out.subtract([engine]), entries={})
        out = Counter()
        dispatcher = Dispatcher(SimpleNamespace(cancel=True), roll, None, None, Tally(), None)
        batch = Batch(1, SimpleNamespace(txn="1"), "taken", "lookup", clock.now() + 60)
        task = dispatcher.start(batch, 0, it.Dispatch(1, b"a", 0.0))
        then(task)
        async with asyncio.timeout(8):
            end = await batch.inbox.get()
        assert batch.inbox.empty() and not out[b"a"]
        return end.fate

    return asyncio.run(run())


def test_a_dispatch_called_off_before_its_first_step_has_an_end():
    # Risk: a loop that is held up orders a dispatch and calls it off in one turn; its task never runs, and
    # the batch stays open for good (`Dispatcher.finished`).
    assert called_off_before_its_first_step(asyncio.Task.cancel) is it.Fate.UNSENT


def test_a_dispatch_to_an_engine_that_nobody_knows_has_one_end():
    assert called_off_before_its_first_step(lambda task: None) is it.Fate.UNSENT


def test_what_was_sent_while_the_process_stood_still_is_not_taken_for_just_sent():
    # Risk: the sockets are read before the beat that tells of the stop (`Pulse.behind`).
    manifest = papers.read(configuration(), {}).manifest
    pulse = Pulse()
    intake = Intake(manifest, pulse, Batches())
    fields = {"id": "00000000000000aa", "wait": 1500, "tenant": "acme", "cost": 50.0}
    assert intake.batch("lookup", fields, b"select a from sales_17.orders").taken.time_limit == 1.5
    pulse.due = clock.now() - 3.0
    assert intake.batch("lookup", fields, b"select a from sales_17.orders").taken.time_limit < 0


@pytest.mark.parametrize("unused", (False, True))
def test_who_wants_an_unused_link_gets_none_that_carried_a_call(unused):
    # Risk: what is late on a used one is taken for the answer to the next call (`Links.take`). With one place
    # only the kept one makes way.
    async def run():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        entry = SimpleNamespace(engine=SimpleNamespace(id=b"a"), address=server.sockets[0].getsockname())
        links = Links(1, 30.0, 8.0, Tally())
        kept = await links.take(entry, urgent=True)
        kept.calls = 1
        links.give_back(kept)
        async with asyncio.timeout(8):
            link = await links.take(entry, urgent=True, unused=unused)
        assert isinstance(link, Link) and (link.calls == 0) is unused and links.count == 1
        links.close(link)
        server.close()

    asyncio.run(run())


def test_who_waits_for_an_unused_link_gets_the_place_of_one_that_comes_back():
    async def run():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        entry = SimpleNamespace(engine=SimpleNamespace(id=b"a"), address=server.sockets[0].getsockname())
        links = Links(1, 30.0, 8.0, Tally())
        used = await links.take(entry, urgent=True)
        used.calls = 1
        waits = asyncio.create_task(links.take(entry, urgent=True, unused=True))
        while not any(links.waiting):
            await asyncio.sleep(0)
        links.give_back(used)
        async with asyncio.timeout(8):
            link = await waits
        assert link.calls == 0 and links.count == 1
        links.close(link)
        server.close()

    asyncio.run(run())
