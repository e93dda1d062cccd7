"""Updates at engines that speak Flight SQL, where their call ends while it is still written."""

import asyncio

import pytest
from grpc import aio
from grpc.aio import _call
from stage import prepared_stage

from thistlelever.standins import flight_client as client

STATEMENT = "update sales_17.orders set a = 1"
# Long enough for a call to end that its engine answers at once, in seconds.
CALL_END_S = 0.2
LINES = ("flight_engine f", 'flight_section group="pay"', "front")


@pytest.mark.parametrize(
    "step, answer, end",
    [((), 1, "returned"), (("lost",), "INTERNAL", "reset")],
    ids=("it has returned", "it has failed"),
)
def test_an_update_whose_call_ends_before_it_is_written_ends_by_its_status(monkeypatch, step, answer, end):
    # gRPC fails to close the writing side of a call that has ended a moment before.
    done_writing, calls = _call._StreamRequestMixin.done_writing, []

    async def fail_at_the_engine(call):
        calls.append(call)
        if len(calls) == 1:
            # The client's own call, to the front.
            await done_writing(call)
            return
        await asyncio.sleep(CALL_END_S)
        raise aio.InternalError("Failed execute_batch: SendCloseFromClientOperation")

    async def run():
        async with prepared_stage([(line, line.split()) for line in LINES]) as stage:
            if step:
                stage.engines["f"].steps["DoPut"].append(step)
            async with asyncio.timeout(5):
                try:
                    found = await client.update(stage.channel(), STATEMENT)
                except client.CallError as error:
                    found = error.code
            return found, stage.server.metrics.counts

    monkeypatch.setattr(_call._StreamRequestMixin, "done_writing", fail_at_the_engine)
    found, counts = asyncio.run(run())
    assert found == answer
    assert counts[f"dispatches {end}"] == 1 and not counts["dispatch failed"], counts
