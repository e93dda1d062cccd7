"""An engine's process that ends with a load while another takes its address: the key still cools down."""

import asyncio

import pytest
from grpc import StatusCode
from stage import prepared_stage

KEY_COOL_DOWN_S = 0.1
# How much earlier than the engine's record an arrival may be, for the resolution of clocks.
TOLERANCE_S = 0.02
# The idempotency keys of two loads of one table.
KEYS = ("a" * 32, "b" * 32)


def flight_call_breaks(engine):
    """The process ends while it runs the first dispatch. Its successor never heard of that."""
    get_flight_info = engine.get_flight_info

    async def crash(request, context):
        engine.get_flight_info = get_flight_info
        batch, _ = engine.arrived("GetFlightInfo", context, b"")
        engine.recorder.record_arrival(*batch)
        engine.recorder.record_crash()
        await context.abort(StatusCode.UNAVAILABLE, "crashed")

    engine.get_flight_info = crash


def flight_ticket_is_lost(engine):
    """The process ends between two calls of the first dispatch. Its successor does not know the ticket."""
    do_get = engine.do_get

    async def crash(request, context):
        engine.do_get = do_get
        engine.recorder.record_crash()
        engine.kept.clear()
        engine.begun.clear()
        await do_get(request, context)

    engine.do_get = crash


def http_call_breaks(engine):
    """The process ends while it runs the first dispatch. Its successor is sent the batch again."""
    act = engine.act

    async def crash(writer, call, fields, path, body):
        engine.act = act
        engine.recorder.record_arrival(fields["x-txn"], fields["x-dedupe"], fields["x-lane"])
        engine.recorder.record_crash()
        writer.transport.abort()
        return False

    engine.act = crash


def http_poll_finds_nothing(engine):
    """The process ends after it has confirmed the first dispatch. Its successor does not know the batch."""
    act = engine.act

    async def confirm(writer, call, fields, path, body):
        engine.act = crash
        engine.recorder.record_arrival(fields["x-txn"], fields["x-dedupe"], fields["x-lane"])
        writer.write(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n")
        return True

    async def crash(*request):
        engine.act = act
        engine.recorder.record_crash()
        return await act(*request)

    engine.act = confirm


@pytest.mark.parametrize(
    "kind, crash",
    [
        ("flight_engine", flight_call_breaks),
        ("flight_engine", flight_ticket_is_lost),
        ("engine", http_call_breaks),
        ("engine", http_poll_finds_nothing),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_a_key_cools_down_after_a_dispatch_that_the_address_does_not_know(kind, crash):
    lines = (
        "settings Classes.1.Sequential true",
        f"settings Invariants.KeyRest {int(KEY_COOL_DOWN_S * 1e6)}",
        "settings Limits.MaxAttempts 1",
        f"{kind} e",
        "front",
    )

    async def run():
        async with prepared_stage([(line, line.split()) for line in lines]) as stage:
            engine = stage.engines["e"]
            crash(engine)
            await stage.run_step(*f"submit 1 load once={KEYS[0]} wait=3500".split())
            await stage.run_step(*f"submit 2 load once={KEYS[1]} wait=3500".split())
            await stage.until(lambda: engine.recorder.count("lost") == 1 and KEYS[1] in engine.recorder.keys)
            return engine.recorder.records

    records = asyncio.run(run())
    crashes = [record for record in records if record.event == "lost"]
    arrivals = [record for record in records if record.event == "arrived" and record.key == KEYS[1]]
    assert len(crashes) == len(arrivals) == 1 and crashes[0].key == KEYS[0], records
    assert arrivals[0].at >= crashes[0].at + KEY_COOL_DOWN_S - TOLERANCE_S, records
