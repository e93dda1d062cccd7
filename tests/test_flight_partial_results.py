"""A streamed result of which the client gets only a part must not end with the status OK."""

import asyncio
import itertools

import pytest
from stage import prepared_stage

from thistlelever.carrier.result_stream import ResultStream
from thistlelever.ground.interface import DispatchOutcome
from thistlelever.standins import flight_client as client

STATEMENT = "select a from sales_17.orders"


def test_a_client_that_cancels_as_the_result_becomes_complete_does_not_get_a_part_of_it_as_the_whole(
    monkeypatch,
):
    # The cancel comes when the dispatch has returned and its batch's task has not heard of that yet.
    lines = ("flight_engine f", "big f 8 500", 'flight_section group="lookup" held_bytes=1024', "front")
    end, take, taken = ResultStream.end, ResultStream.take, itertools.count()

    async def run():
        async with prepared_stage([(line, line.split()) for line in lines]) as stage:
            channel, ended = stage.channel(), asyncio.Event()
            found = await client.info(channel, STATEMENT)
            server = stage.server.flight.server

            def end_and_cancel(self, outcome):
                end(self, outcome)
                assert outcome is DispatchOutcome.RETURNED and self.queued
                server.cancel(found)
                ended.set()

            async def take_in_part(self):
                # A part is sent before.
                if next(taken) == 3:
                    await ended.wait()
                    await asyncio.sleep(0.05)
                return await take(self)

            monkeypatch.setattr(ResultStream, "end", end_and_cancel)
            monkeypatch.setattr(ResultStream, "take", take_in_part)
            async with asyncio.timeout(8):
                with pytest.raises(client.CallError) as error:
                    table = await client.get(channel, found.endpoint[0].ticket)
                    pytest.fail(f"{table.num_rows} of 8 rows, and OK")
            assert error.value.code == "CANCELLED"

    asyncio.run(run())


@pytest.mark.parametrize("cancelled_first", (True, False))
def test_a_stream_whose_reader_was_closed_is_not_complete(cancelled_first):
    async def run():
        stream = ResultStream(0, [b"a", b"b"], 100)
        assert await stream.take() == b"a"
        if cancelled_first:
            stream.close_reader()
        stream.end(DispatchOutcome.RETURNED)
        if not cancelled_first:
            stream.close_reader()
        assert await stream.take() is None
        return stream.outcome

    assert asyncio.run(run()) is DispatchOutcome.CANCELLED
