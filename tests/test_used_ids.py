"""Ids that come again: a batch that may have run and must not run twice is refused under the same id."""

import asyncio
import json

import pytest
from test_moments import served

from thistlelever.store.used_ids import UsedIds

KEY = "5" * 31 + "a"


def posts(stage) -> int:
    return [call for call, _, _ in stage.engines["a"].calls].count("POST")


async def submit_on_new_connection(stage, line: bytes):
    address = stage.writer.get_extra_info("peername")
    stage.extra_clients.append(await asyncio.open_connection(*address))
    reader, writer = stage.extra_clients[-1]
    writer.write(line)
    return reader, writer


async def answer(reader) -> dict:
    return json.loads(await asyncio.wait_for(reader.readline(), 5.0))


@pytest.mark.parametrize("gap_s", [0.0, 0.005, 0.2])
def test_a_once_only_id_that_comes_again_after_its_client_left_does_not_run_again(gap_s):
    """Guards against an id that ran twice: its first submission was forgotten with the connection."""

    async def whole() -> None:
        async with served("engine a\nfront") as stage:
            await stage.do_holds("a")
            line = stage.submission(1, "pay")
            _, first = await submit_on_new_connection(stage, line)
            await stage.do_saw("a", "POST")
            first.transport.abort()
            await asyncio.sleep(gap_s)
            stage.engines["a"].released.set()
            await stage.poll_until(lambda: not stage.server.batches.by_number)
            reader, _ = await submit_on_new_connection(stage, line)
            assert "error" in await answer(reader)
            assert posts(stage) == 1

    asyncio.run(whole())


def test_a_once_only_id_that_comes_again_after_its_answer_does_not_run_again():
    async def whole() -> None:
        async with served("engine a\nfront") as stage:
            await stage.do_submit(1, "pay")
            await stage.do_answer(1, "result", "rows")
            reader, _ = await submit_on_new_connection(stage, stage.submission(1, "pay"))
            assert "error" in await answer(reader)
            assert posts(stage) == 1

    asyncio.run(whole())


@pytest.mark.parametrize("group, words", [("lookup", ()), ("load", (f"once={KEY}",))])
def test_an_id_whose_repeat_does_no_harm_may_come_again(group, words):
    """Guards against a refusal where it protects nothing."""

    async def whole() -> None:
        async with served("engine a\nfront") as stage:
            for _ in range(2):
                reader, _ = await submit_on_new_connection(stage, stage.submission(1, group, *words))
                assert "result" in await answer(reader)
                await stage.do_over()

    asyncio.run(whole())


def test_a_once_only_id_that_never_ran_may_come_again():
    """Guards against a refusal of what was pushed back as safe to submit again."""

    async def whole() -> None:
        async with served("engine a\nfront") as stage:
            await stage.do_dead("a")
            await stage.do_submit(1, "pay", "wait=500")
            await stage.do_answer(1, "error", "-32001")
            await stage.do_over()
            assert f"{1:016x}" not in stage.server.batches.used_ids

    asyncio.run(whole())


def test_the_latest_ids_are_known_and_how_many_are_held_is_bounded():
    used = UsedIds(min_known=100)
    for number in range(1_000):
        used.add(f"{number:016x}")
        assert all(f"{each:016x}" in used for each in range(max(number - 99, 0), number + 1))
        assert len(used.newer) + len(used.older) <= 200
    assert f"{0:016x}" not in used
