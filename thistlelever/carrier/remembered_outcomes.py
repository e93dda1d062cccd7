"""Batches that were begun before this front received them: before its restart, or at another front."""

from __future__ import annotations

from collections.abc import Callable

from thistlelever.admission.outcomes import NEVER_RAN
from thistlelever.carrier.dispatch import End
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, DispatchName
from thistlelever.store.engine_registry import EngineRegistry


def resume_from(
    batch: Batch,
    query_class: it.QueryClass,
    registry: EngineRegistry,
    name: DispatchName,
    engine: it.EngineId,
    ran_for: float,
) -> bool:
    """Make a dispatch that was begun elsewhere the first dispatch of the batch.

    `name` is the dispatch's name at its engine, `ran_for` how long ago it began, in seconds. Returns whether
    the batch can go on. If the engine is not listed, it is dispatched anew, but only if it is idempotent or
    all engines still drop repeats of it.
    """
    batch.begun_at = clock.now() - ran_for
    if registry.is_listed(engine):
        batch.adopted_names[0] = name
        batch.received = batch.received._replace(running_on=engine, running_for=ran_for)
        return True
    still_dropped = (
        query_class.repeat is it.Idempotency.DEDUPLICATED and query_class.scope is it.DeduplicationScope.ALL
    )
    return query_class.repeat is it.Idempotency.IDEMPOTENT or still_dropped and ran_for < query_class.window


class RememberedOutcomes:
    """Idempotency keys of batches that may have run, so that after a restart a repeat goes only where it is
    dropped as a duplicate.

    `remember` stores a key with its engine, name and window in seconds, or removes it if given None; `find`
    returns engine, name and age in seconds for a key, or None.
    """

    def __init__(
        self,
        settings: it.Settings,
        registry: EngineRegistry,
        metrics: Metrics,
        remember: Callable[[bytes, tuple[it.EngineId, DispatchName, float] | None], None],
        find: Callable[[bytes], tuple[it.EngineId, DispatchName, float] | None],
    ) -> None:
        """Use `remember` and `find` for the stored records."""
        self.query_classes = {t.name: t for t in settings.tariffs}
        self.registry, self.metrics, self.remember, self.find = registry, metrics, remember, find

    def is_deduplicated(self, batch: Batch) -> bool:
        """Whether engines drop repeats of the batch by its idempotency key."""
        repeat = self.query_classes[batch.class_name].repeat
        return bool(batch.submission.reference) and repeat is it.Idempotency.DEDUPLICATED

    def look_up(self, batch: Batch) -> it.Error | None:
        """Continue a batch that was begun before a restart; returns an error answer if that is impossible."""
        if batch.adopted_names or not self.is_deduplicated(batch):
            return None
        found = self.find(bytes.fromhex(batch.submission.reference))
        if found is None:
            return None
        engine, name, ran_for = found
        query_class = self.query_classes[batch.class_name]
        if ran_for >= query_class.window:
            # It may have run, and no engine drops a repeat of it any more.
            resumable = False
        else:
            resumable = resume_from(batch, query_class, self.registry, name, engine, ran_for)
        self.metrics.add("state: gone on with" if resumable else "state: told that it is not known")
        return None if resumable else it.Error(batch.number)

    def record_dispatch(self, batch: Batch, number: int, engine: it.EngineId) -> None:
        """Store a dispatch before it is sent, unless an earlier one may have run; does not wait for the disk.

        The window counts from the first that may have run: one from before a restart stays on record.
        """
        if batch.recorded_dispatch is None and batch.begun_at is None and self.is_deduplicated(batch):
            key = bytes.fromhex(batch.submission.reference)
            query_class = self.query_classes[batch.class_name]
            self.remember(key, (engine, batch.dispatch_name(number), query_class.window))
            batch.recorded_dispatch = number

    def record_end(self, batch: Batch, end: End) -> None:
        """Remove the stored dispatch if it certainly never ran, as no engine would drop a repeat."""
        if end.outcome in NEVER_RAN and end.number == batch.recorded_dispatch:
            self.remember(bytes.fromhex(batch.submission.reference), None)
            batch.recorded_dispatch = None
