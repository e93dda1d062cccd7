"""Answers of the directory that are not its newest list, whatever serial they have.

Guards against dispatches to a draining engine after a restart of a front. The directory numbers its lists
from 1 at each start of a front. A restarted front received an answer made for it before the restart: the
highest serial so far, with states in which the engine was still ready. It adopted that list and ignored
every true one, as its serial was lower, and kept sending one or two queries per second to the draining
engine.
"""

import asyncio

import pytest
from stage import DRAIN_GRACE
from test_moments import moment, pace_answers, play, served

from thistlelever.carrier import directory


def list_entries(stage, *names):
    """Build entries of the directory: `a` is ready, `a-` is draining."""
    return {name.strip("-"): (stage.port(name.strip("-")), name.endswith("-")) for name in names}


async def stays_closed(stage, engine, answers):
    """The engine stays closed to new dispatches while the directory answers that many further queries."""
    until = stage.directory.query_count + answers
    while stage.directory.query_count < until:
        assert not stage.server.registry.accepts_dispatches(engine)
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("count", (1, 2, 3))
def test_an_answer_from_before_the_restart_reopens_no_engine(count):
    """`b` drains, then answers from before the restart arrive, then a drain of `c` with the next serial."""

    async def scenario():
        async with served("engine a\nengine b\nengine c\nfront\nlist 4 a b- c\nlisted a c") as stage:
            stage.directory.former = 9, list_entries(stage, "a", "b", "c")
            await stage.do_directory(*["former"] * count)
            await pace_answers(stage, count + 1)
            async with asyncio.timeout(DRAIN_GRACE):
                while stage.server.registry.accepts_dispatches(b"b"):
                    await asyncio.sleep(0.001)
            await stays_closed(stage, b"b", 5)
            stage.directory.serial, stage.directory.entries = 5, list_entries(stage, "a", "b-", "c-")
            async with asyncio.timeout(directory.POLL_INTERVAL + DRAIN_GRACE):
                while stage.server.registry.accepts_dispatches(b"c"):
                    await asyncio.sleep(0.001)
            await stays_closed(stage, b"c", 5)
            await play(stage, "submit 1 pay\nanswer 1 result rows\ncalls b POST 0\ncalls c POST 0")

    asyncio.run(scenario())


@moment("engine a\nengine b\nfront")
async def test_a_drain_holds_when_an_old_answer_follows_it(stage, monkeypatch):
    """The first answer with the drain is followed by one from before it."""
    stage.directory.former = 3, list_entries(stage, "a", "b")
    stage.directory.serial, stage.directory.entries = 4, list_entries(stage, "a", "b-")
    await stage.do_directory("", "former")
    await pace_answers(stage, 1)
    await stage.do_listed("a")
    await stays_closed(stage, b"b", 6)


@moment("engine a\nengine b\nfront\nlist 4 a")
async def test_a_new_engine_is_used_after_two_equal_answers(stage, monkeypatch):
    """A single answer may be from before a restart; the second one is requested at once."""
    stage.directory.former = 9, list_entries(stage, "a", "b")
    await stage.do_directory("former")
    await stays_closed(stage, b"b", 4)
    await play(stage, "list 5 a b\nlisted a b")


@moment("engine a\nengine b\nfront\nlist 5 a b\nlisted a b")
async def test_restarted_serials_are_accepted_after_a_while(stage, monkeypatch):
    """While the directory keeps contradicting, drains apply at once and the rest after some time."""
    monkeypatch.setattr("thistlelever.store.list_agreement.CONTRADICTED_FOR", 0.5)
    stage.directory.serial, stage.directory.entries = 1, list_entries(stage, "a-", "b")
    await pace_answers(stage, 3)
    await stage.do_listed("b")
    assert stage.server.registry.serial == 5
    await stage.look_until(lambda: stage.server.registry.serial == 1)
    await play(stage, "listed b\nsubmit 1 pay\nanswer 1 result rows\ncalls a POST 0")
