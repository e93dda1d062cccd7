"""Memory of results whose pages are being fetched: bounded, and what waits is served whole."""

import asyncio
import json
from base64 import b64decode

from hypothesis import given
from hypothesis import strategies as st
from stage import prepared_stage

from rigs.crowds import WIDE_RESULT
from thistlelever.store.result_memory import ResultMemory

RESULTS, RESULT_BYTES = 24, 42_000


def test_results_of_many_requests_at_once_wait_for_memory_and_are_served_whole():
    """Guards against a front whose memory the pages of all open requests fill at once."""

    async def whole() -> None:
        async with prepared_stage([("setup", ["engine", "a"]), ("setup", ["front"])]) as stage:
            engines = stage.server.dispatcher.protocol(None)
            memory = engines.result_memory = ResultMemory(2 * RESULT_BYTES)
            stage.engines["a"].text = WIDE_RESULT
            highest = 0
            for number in range(1, RESULTS + 1):
                stage.writer.write(stage.submission(number, "lookup"))
            for _ in range(RESULTS):
                await stage.until(lambda: stage.answers)
                answer = stage.answers.pop()
                assert "result" in answer, json.dumps(answer)[:200]
                assert b64decode(answer["result"]["bytes"]).decode() == WIDE_RESULT
                highest = max(highest, memory.held)
            await stage.do_over()
            assert stage.server.metrics.counts["results that waited for memory"] > 0
            assert highest <= memory.limit
            assert (memory.held, len(memory.waiting)) == (0, 0)

    asyncio.run(whole())


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 3_000)), max_size=60))
def test_reservations_stay_in_the_limit_and_are_returned_also_when_cancelled(steps):
    async def whole() -> None:
        memory, tasks = ResultMemory(2_000), []
        for action, size in steps:
            if action < 3 or not tasks:
                tasks.append((size, asyncio.create_task(memory.reserve(size))))
            else:
                size, task = tasks.pop(action % len(tasks))
                if task.done():
                    memory.release(size)
                else:
                    task.cancel()
                    await asyncio.wait([task])
            await asyncio.sleep(0)
            reserved = [size for size, task in tasks if task.done()]
            assert memory.held == sum(reserved)
            assert memory.held <= memory.limit or len(reserved) == 1
        while tasks:
            await asyncio.sleep(0)
            size, task = next(each for each in tasks if each[1].done())
            tasks.remove((size, task))
            memory.release(size)
        assert (memory.held, len(memory.waiting)) == (0, 0)

    asyncio.run(whole())
