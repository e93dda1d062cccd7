"""Batches that have begun before this front had them: in its former life, or at another front."""

from __future__ import annotations

from collections.abc import Callable

from thistlelever.admission.decide import NEVER_RAN
from thistlelever.carrier.dispatch import End
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, DispatchName
from thistlelever.store.engine_registry import EngineRegistry


def goes_on_from(
    batch: Batch,
    query_class: it.QueryClass,
    registry: EngineRegistry,
    name: DispatchName,
    engine: it.EngineId,
    ran_for: float,
) -> bool:
    """What was begun there becomes the batch's first dispatch: whether it can go on from it. Where its
    engine is out of sight only what may run again, or whose repeats all engines drop still, is begun
    anew."""
    if registry.is_listed(engine):
        batch.adopted_names[0] = name
        batch.received = batch.received._replace(running_on=engine, running_for=ran_for)
        return True
    dropped = (
        query_class.repeat is it.Idempotency.DEDUPLICATED and query_class.scope is it.DeduplicationScope.ALL
    )
    return query_class.repeat is it.Idempotency.IDEMPOTENT or dropped and ran_for < query_class.window


class Recollection:
    """Marks of referenced batches that may have run, so that after a restart their repeats go only where
    they are dropped. `remember` is told a mark, its engine, name and window, or None where it surely never
    ran; `find` gives engine, name and how long ago, or None."""

    def __init__(
        self,
        settings: it.Settings,
        registry: EngineRegistry,
        metrics: Metrics,
        remember: Callable[[bytes, tuple[it.EngineId, DispatchName, float] | None], None],
        find: Callable[[bytes], tuple[it.EngineId, DispatchName, float] | None],
    ) -> None:
        self.query_classes = {t.name: t for t in settings.tariffs}
        self.registry, self.metrics, self.remember, self.find = registry, metrics, remember, find

    def referenced(self, batch: Batch) -> bool:
        repeat = self.query_classes[batch.class_name].repeat
        return bool(batch.submission.reference) and repeat is it.Idempotency.DEDUPLICATED

    def enter(self, batch: Batch) -> it.Error | None:
        """What a former life knows of the batch; an answer where it can't be gone on with."""
        if batch.adopted_names or not self.referenced(batch):
            return None
        found = self.find(bytes.fromhex(batch.submission.reference))
        if found is None:
            return None
        engine, name, ran_for = found
        query_class = self.query_classes[batch.class_name]
        if ran_for >= query_class.window:
            # No engine drops its repeats any more: it may have run, and must not again.
            good = False
        else:
            good = goes_on_from(batch, query_class, self.registry, name, engine, ran_for)
        self.metrics.add("state: gone on with" if good else "state: told that it is not known")
        return None if good else it.Error(batch.number)

    def goes_out(self, batch: Batch, number: int, engine: it.EngineId) -> None:
        """A dispatch is about to go out; nobody waits for the disk."""
        if not number and 0 not in batch.adopted_names and self.referenced(batch):
            mark = bytes.fromhex(batch.submission.reference)
            query_class = self.query_classes[batch.class_name]
            self.remember(mark, (engine, batch.dispatch_name(0), query_class.window))

    def came_back(self, batch: Batch, end: End) -> None:
        """The first dispatch surely never ran: its repeats are nobody's to drop."""
        if (
            end.outcome in NEVER_RAN
            and not end.number
            and 0 not in batch.adopted_names
            and self.referenced(batch)
        ):
            self.remember(bytes.fromhex(batch.submission.reference), None)
