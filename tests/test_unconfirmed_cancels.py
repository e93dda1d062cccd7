"""Cancels that engines confirm late: nothing of the same key or batch may be dispatched meanwhile."""

import asyncio
from types import SimpleNamespace

from thistlelever.carrier.dispatch import Dispatcher, NoResultError
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch


def test_a_second_cancellation_does_not_report_an_end_whose_cancel_is_not_confirmed():
    # A progress note that was already queued may still call off a dispatch that has been reset. Reported at
    # once, its end would let the next dispatch of the batch run beside it.
    async def run():
        asked, confirmed = asyncio.Event(), asyncio.Event()

        class EngineProtocol:
            async def run_dispatch(self, batch, entry, end, progress, deadline):
                progress.started = True
                raise NoResultError(it.DispatchOutcome.RESET)

            async def cancel_dispatch(self, batch, entry, progress):
                asked.set()
                await confirmed.wait()

        registry = SimpleNamespace(
            dispatch_started=lambda engine: None, dispatch_ended=lambda engine: None, entries={b"a": "entry"}
        )
        terms = SimpleNamespace(cancel=True, copies=False)
        dispatcher = Dispatcher(
            terms, registry, lambda entry: EngineProtocol(), None, Metrics(), lambda *event, **facts: None
        )
        batch = Batch(1, SimpleNamespace(txn="1"), "taken", "lookup", clock.now() + 60)
        task = dispatcher.start(batch, 0, it.Dispatch(1, b"a", 5.0))
        async with asyncio.timeout(8):
            await asked.wait()
            task.cancel()
            await asyncio.sleep(0.05)
            assert batch.inbox.empty()
            confirmed.set()
            end = await batch.inbox.get()
        assert end.outcome is it.DispatchOutcome.RESET

    asyncio.run(run())
