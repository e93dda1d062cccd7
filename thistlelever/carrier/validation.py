"""Validates submissions and makes batches of them, for the servers of all client protocols."""

from __future__ import annotations

from collections.abc import Mapping

from thistlelever.admission.outcomes import is_repeat_harmless
from thistlelever.carrier.loop_lag import LoopLagMonitor
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.submission import InvalidFieldError, parse_submission
from thistlelever.store.batches import Batch, Batches
from thistlelever.wire import statement as sql

# Largest accepted estimates: cost in time limits on all threads, memory in multiples of an engine's memory.
MAX_TIME_LIMITS, MAX_ENGINE_MEMORIES = 100.0, 4.0


class RequestValidator:
    """Makes batches of submissions. A batch is open only once `BatchTasks.start` has run.

    No batch gets a time limit past `stop_at`, the time at which the front stops.
    """

    def __init__(self, settings: it.Settings, loop_lag: LoopLagMonitor, batches: Batches) -> None:
        """Take limits, query classes and tenants from `settings`."""
        self.query_classes = {t.name: (g, t) for g, t in enumerate(settings.tariffs)}
        self.tenants = {c.name: p for p, c in enumerate(settings.consignors)}
        self.max_memory = max(settings.kind_memory, default=float("inf")) * MAX_ENGINE_MEMORIES
        self.loop_lag, self.batches, self.stop_at = loop_lag, batches, float("inf")

    def make_batch(self, name: str, fields: Mapping, statement: bytes) -> Batch:
        """Make a batch of the query class `name`, which must be known.

        Raises `InvalidFieldError` for a field that is missing, invalid or out of range.
        """
        group, query_class = self.query_classes[name]
        asked = parse_submission(fields, statement)
        if asked.txn in self.batches.by_txn:
            raise InvalidFieldError("id", "still open", still_open=True)
        if asked.txn in self.batches.used_ids:
            # The client has left, or takes no notice of its answers: an id is new with every request.
            raise InvalidFieldError("id", "of a request that may have run")
        # An absurd value would distort averages and timers for as long as the front runs.
        if asked.wait > 2 * query_class.time_limit:
            raise InvalidFieldError("wait", "past the service group's time limit")
        if (asked.work or 0.0) > MAX_TIME_LIMITS * query_class.time_limit * query_class.width:
            raise InvalidFieldError("cost", "out of all range")
        if asked.memory > self.max_memory:
            raise InvalidFieldError("need_mb", "out of all range")
        if self.tenants and asked.tenant not in self.tenants:
            raise InvalidFieldError("tenant", "none of the settings'")
        if query_class.repeat is it.Idempotency.DEDUPLICATED and not asked.reference:
            raise InvalidFieldError("once", "missing, and wanted for this service group")
        table = sql.find_table(asked.statement)
        if table is None:
            raise InvalidFieldError("bytes", "the statement names no table of a group")
        number, now = self.batches.next_number(), clock.now()
        # A lagging event loop has read the request late and will answer it late; the client does not wait
        # longer for that.
        left = min(asked.wait - 2 * self.loop_lag.current(), self.stop_at - now)
        taken = it.BatchReceived(
            number,
            group,
            self.tenants.get(asked.tenant, 0),
            ordering_key(table[1]) if query_class.in_order else 0,
            left,
            asked.work,
            asked.memory,
            float(table[0]),
            asked.is_retry,
        )
        return Batch(
            number,
            asked,
            taken,
            query_class.name,
            now + left,
            repeat_harmless=is_repeat_harmless(query_class),
        )


def ordering_key(table: bytes) -> int:
    """Return a number that batches of one table share, ignoring case; it is used within the front only."""
    return int.from_bytes(table.lower(), "big") or 1
