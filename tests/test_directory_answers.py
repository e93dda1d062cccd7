"""Answers of the directory that are not its newest list, whatever number they carry.

The story. During a release of the engines fronts were killed and started again. Seconds later one of them
sent a query or two each second to an engine that it knew to drain, for several lists; other fronts did not.
The directory numbers its lists from 1 at each start of a front. That front was told an answer made for it
before its restart: the highest number so far, over states in which the engine was still ready. It took that
for the newest list, and every true one, with a lower number, for an old one.
"""

import asyncio

import pytest
from stage import DRAIN_GRACE
from test_moments import moment, pace_answers, play, served

from thistlelever.carrier import directory


def states(stage, *names):
    """Entries of the directory: `a` is ready, `a-` drains."""
    return {name.strip("-"): (stage.port(name.strip("-")), name.endswith("-")) for name in names}


async def stays_closed(stage, engine, answers):
    """Nothing new may go to the engine while the directory answers so many further queries."""
    until = stage.directory.query_count + answers
    while stage.directory.query_count < until:
        assert not stage.office.roll.open_to(engine)
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("count", (1, 2, 3))
def test_an_answer_from_before_the_restart_reopens_no_engine(count):
    """`b` drains, then come answers from before the restart, then a drain of `c` under the next number."""

    async def whole():
        async with served("engine a\nengine b\nengine c\nfront\nlist 4 a b- c\nlisted a c") as stage:
            stage.directory.former = 9, states(stage, "a", "b", "c")
            await stage.do_directory(*["former"] * count)
            await pace_answers(stage, count + 1)
            async with asyncio.timeout(DRAIN_GRACE):
                while stage.office.roll.open_to(b"b"):
                    await asyncio.sleep(0.001)
            await stays_closed(stage, b"b", 5)
            stage.directory.serial, stage.directory.entries = 5, states(stage, "a", "b-", "c-")
            async with asyncio.timeout(directory.PACE + DRAIN_GRACE):
                while stage.office.roll.open_to(b"c"):
                    await asyncio.sleep(0.001)
            await stays_closed(stage, b"c", 5)
            await play(stage, "submit 1 pay\nanswer 1 result rows\ncalls b POST 0\ncalls c POST 0")

    asyncio.run(whole())


@moment("engine a\nengine b\nfront")
async def test_a_drain_holds_although_an_old_answer_follows_it_at_once(stage, monkeypatch):
    """The first answer that names the drain is followed by one from before it."""
    stage.directory.former = 3, states(stage, "a", "b")
    stage.directory.serial, stage.directory.entries = 4, states(stage, "a", "b-")
    await stage.do_directory("", "former")
    await pace_answers(stage, 1)
    await stage.do_listed("a")
    await stays_closed(stage, b"b", 6)


@moment("engine a\nengine b\nfront\nlist 4 a")
async def test_a_new_engine_is_used_once_the_directory_has_said_so_twice(stage, monkeypatch):
    """A single answer may be one from before a restart; the second is asked for at once."""
    stage.directory.former = 9, states(stage, "a", "b")
    await stage.do_directory("former")
    await stays_closed(stage, b"b", 4)
    await play(stage, "list 5 a b\nlisted a b")


@moment("engine a\nengine b\nfront\nlist 5 a b\nlisted a b")
async def test_numbers_that_begin_anew_are_believed_after_a_while(stage, monkeypatch):
    """The directory goes on contradicting: drains are heeded at once, the rest is once it has lasted."""
    monkeypatch.setattr("thistlelever.store.list_agreement.CONTRADICTED_FOR", 0.5)
    stage.directory.serial, stage.directory.entries = 1, states(stage, "a-", "b")
    await pace_answers(stage, 3)
    await stage.do_listed("b")
    assert stage.office.roll.serial == 5
    await stage.look_until(lambda: stage.office.roll.serial == 1)
    await play(stage, "listed b\nsubmit 1 pay\nanswer 1 result rows\ncalls a POST 0")
