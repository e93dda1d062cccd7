"""Batches that have begun before this front had them: in its former life, or at another front."""

from __future__ import annotations

from collections.abc import Callable

from thistlelever.admission.decide import NEVER_RAN
from thistlelever.carrier.dispatch import End
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, Name
from thistlelever.store.roll import Roll


def resume_from(
    batch: Batch, query_class: it.QueryClass, roll: Roll, name: Name, engine: it.EngineId, ran_for: float
) -> bool:
    """What was begun there becomes the batch's first dispatch: whether it can go on from it. Where its
    engine is out of sight only what may run again, or whose repeats all engines drop still, is begun
    anew."""
    if roll.listed(engine):
        batch.under[0] = name
        batch.taken = batch.taken._replace(running_on=engine, running_for=ran_for)
        return True
    still_dropped = (
        query_class.repeat is it.Idempotency.DEDUPLICATED and query_class.scope is it.DeduplicationScope.ALL
    )
    return query_class.repeat is it.Idempotency.IDEMPOTENT or still_dropped and ran_for < query_class.window


class RememberedOutcomes:
    """Marks of referenced batches that may have run, so that after a restart their repeats go only where
    they are still_dropped. `remember` is told a key, its engine, name and window, or None where it surely never
    ran; `find` gives engine, name and how long ago, or None."""

    def __init__(
        self,
        settings: it.Settings,
        roll: Roll,
        metrics: Metrics,
        remember: Callable[[bytes, tuple[it.EngineId, Name, float] | None], None],
        find: Callable[[bytes], tuple[it.EngineId, Name, float] | None],
    ) -> None:
        self.query_classes = {t.name: t for t in settings.tariffs}
        self.roll, self.metrics, self.remember, self.find = roll, metrics, remember, find

    def is_deduplicated(self, batch: Batch) -> bool:
        repeat = self.query_classes[batch.lane].repeat
        return bool(batch.asked.reference) and repeat is it.Idempotency.DEDUPLICATED

    def look_up(self, batch: Batch) -> it.Error | None:
        """What a former life knows of the batch; an answer where it can't be gone on with."""
        if batch.under or not self.is_deduplicated(batch):
            return None
        found = self.find(bytes.fromhex(batch.asked.reference))
        if found is None:
            return None
        engine, name, ran_for = found
        query_class = self.query_classes[batch.lane]
        if ran_for >= query_class.window:
            # No engine drops its repeats any more: it may have run, and must not again.
            resumable = False
        else:
            resumable = resume_from(batch, query_class, self.roll, name, engine, ran_for)
        self.metrics.add("state: gone on with" if resumable else "state: told that it is not known")
        return None if resumable else it.Error(batch.number)

    def record_dispatch(self, batch: Batch, number: int, engine: it.EngineId) -> None:
        """A dispatch is about to go out; nobody waits for the disk."""
        if not number and 0 not in batch.under and self.is_deduplicated(batch):
            key = bytes.fromhex(batch.asked.reference)
            query_class = self.query_classes[batch.lane]
            self.remember(key, (engine, batch.name(0), query_class.window))

    def record_end(self, batch: Batch, end: End) -> None:
        """The first dispatch surely never ran: its repeats are nobody's to drop."""
        if (
            end.outcome in NEVER_RAN
            and not end.number
            and 0 not in batch.under
            and self.is_deduplicated(batch)
        ):
            self.remember(bytes.fromhex(batch.asked.reference), None)
