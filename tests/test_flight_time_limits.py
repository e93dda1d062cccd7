"""Time limits of Flight calls that pass before or while a result is written."""

import asyncio
import time

import pytest
from stage import prepared_stage

from thistlelever.flight.server import FlightServer
from thistlelever.standins import flight_client as client

STATEMENT = "select a from sales_17.orders"
WAIT_S = 0.5
# Far longer than a front needs to send a status, in seconds.
STATUS_TIMEOUT_S = 5.0


@pytest.mark.parametrize(
    "lines",
    [
        ("flight_engine f", 'flight_section group="lookup"', "front"),
        ("flight_engine f", "big f 40 3000", 'flight_section group="lookup" held_bytes=1024', "front"),
    ],
    ids=("a result at once", "a result that is streamed"),
)
def test_a_time_limit_that_ends_the_first_write_still_gives_a_status(monkeypatch, lines):
    # gRPC sends the headers with the first message. Where that write was cancelled it did not record them as
    # sent, `abort` sent them again and failed, and the client waited for ever.
    write_result = FlightServer.write_result

    async def write_after_a_stall(self, answer, context):
        # The loop stands still until the limit has passed, so that it ends the first write.
        time.sleep(WAIT_S + 0.2)
        await write_result(self, answer, context)

    monkeypatch.setattr(FlightServer, "write_result", write_after_a_stall)

    async def run():
        async with prepared_stage([(line, line.split()) for line in lines]) as stage:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                with pytest.raises(client.CallError) as error:
                    await client.query(stage.channel(), STATEMENT, (("x-wait-ms", str(int(WAIT_S * 1e3))),))
            await stage.until(lambda: not stage.server.batches.by_number)
            assert not stage.server.flight.server.open_batches
            return error.value.code, stage.server.metrics.counts["flight readers too slow"]

    assert asyncio.run(run()) == ("DEADLINE_EXCEEDED", 1)
