"""An engine that takes the address of one that has gone runs what was sent there before it was listed."""

import asyncio
from types import SimpleNamespace

import pytest
from stage import prepared_stage, short_delays

from thistlelever.carrier.http_engines import HttpEngines
from thistlelever.store.engine_registry import EngineRegistry

RUN_S = 0.6


async def stage_with_a_run_at_a_taken_over_address(stage) -> None:
    """Submit a batch to `a`, whose address the list then gives to `b`, beside another engine `c`."""
    engine = stage.engines["a"]

    async def run_statement(txn, statement):
        await asyncio.sleep(RUN_S)

    engine.run_statement = run_statement
    await stage.do_submit(1, "lookup")
    await stage.do_saw("a", "POST")
    await stage.do_engine("c")
    stage.engines["b"] = engine
    await stage.do_list(5, "b", "c")
    await stage.do_listed("b", "c")


def play(scenario) -> None:
    async def whole() -> None:
        with short_delays():
            async with prepared_stage([("setup", ["engine", "a"]), ("setup", ["front"])]) as stage:
                await stage_with_a_run_at_a_taken_over_address(stage)
                await scenario(stage)
                del stage.engines["b"]

    asyncio.run(whole())


def posts(stage, name: str) -> int:
    return [call for call, _, _ in stage.engines[name].calls].count("POST")


def test_a_batch_that_runs_at_a_taken_over_address_is_asked_for_and_not_sent_elsewhere():
    """Guards against two dispatches out at once: the run there was given up without a cancel (review/10)."""

    async def scenario(stage) -> None:
        await stage.do_answer(1, "result", "rows")
        assert (posts(stage, "a"), posts(stage, "c")) == (1, 0)

    play(scenario)


def test_a_batch_that_runs_at_a_taken_over_address_is_called_off_there():
    """Guards against a run that goes on for nobody, as no cancel was sent to the address."""

    async def scenario(stage) -> None:
        stage.writer.write(b'{"jsonrpc":"2.0","method":"withdraw","params":{"id":"%016x"}}\n' % 1)
        await stage.do_saw("a", "DELETE")
        await stage.do_over()

    play(scenario)


def test_nothing_new_is_sent_under_the_name_of_the_engine_that_has_gone():
    """Guards against a dispatch that starts there, as the list no longer has the engine."""

    async def scenario(stage) -> None:
        await stage.do_answer(1, "result", "rows")
        sent_to = [facts.get("engine") for event, facts in stage.events if event == "dispatch ended"]
        assert sent_to == []
        assert not stage.server.registry.accepts_dispatches(b"a")

    play(scenario)


def task(done: bool = False, cancelling: int = 0) -> SimpleNamespace:
    return SimpleNamespace(done=lambda: done, cancelling=lambda: cancelling)


@pytest.mark.parametrize(
    "other, is_out",
    [(task(), True), (task(done=True), False), (task(cancelling=1), False)],
)
def test_a_dispatch_is_not_called_off_by_the_cancel_of_another_at_the_same_address(other, is_out):
    """Guards against a cancel by the batch's name that ends the newer run of it."""
    registry = EngineRegistry()
    address = ("127.0.0.1", 9)
    registry.entries = {name: SimpleNamespace(address=address) for name in (b"old", b"new")}
    engines = SimpleNamespace(registry=registry)
    batch = SimpleNamespace(dispatch_tasks={0: task(), 1: other}, engines={0: b"old", 1: b"new"})
    assert HttpEngines.has_other_dispatch_at(engines, batch, address, 0) == is_out
    assert not HttpEngines.has_other_dispatch_at(engines, batch, ("127.0.0.1", 10), 0)
