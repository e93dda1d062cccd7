"""What every door has in common: a submission becomes a batch here, under the same bounds."""

from __future__ import annotations

from collections.abc import Mapping

from thistlelever.carrier.pulse import Pulse
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.submission import InvalidFieldError, parse_submission
from thistlelever.store.batches import Batch, Batches
from thistlelever.wire import statement as sql

# An estimate past so many time limits on all threads, or so many times an engine's memory, is none.
MOST_LIMITS, MOST_MEMORIES = 100.0, 4.0


class Intake:
    """Makes batches of what clients submit. It takes none: a batch is taken once its course has begun."""

    def __init__(self, settings: it.Settings, pulse: Pulse, batches: Batches) -> None:
        self.groups = {t.name: (g, t) for g, t in enumerate(settings.tariffs)}
        self.consignors = {c.name: p for p, c in enumerate(settings.consignors)}
        self.most_memory = max(settings.kind_memory, default=float("inf")) * MOST_MEMORIES
        self.pulse, self.batches, self.stop_at = pulse, batches, float("inf")

    def batch(self, name: str, fields: Mapping, statement: bytes) -> Batch:
        """The batch of that service group (a known one); `InvalidFieldError` where it can't be one."""
        group, query_class = self.groups[name]
        asked = parse_submission(fields, statement)
        if asked.txn in self.batches.by_txn:
            raise InvalidFieldError("id", "still open", still_open=True)
        # Risk: a figure without measure stays in averages and timers for as long as the front lives.
        if asked.wait > 2 * query_class.time_limit:
            raise InvalidFieldError("wait", "past the service group's time limit")
        if (asked.work or 0.0) > MOST_LIMITS * query_class.time_limit * query_class.width:
            raise InvalidFieldError("cost", "out of all range")
        if asked.memory > self.most_memory:
            raise InvalidFieldError("need_mb", "out of all range")
        if self.consignors and asked.tenant not in self.consignors:
            raise InvalidFieldError("tenant", "none of the settings'")
        if query_class.repeat is it.Idempotency.DEDUPLICATED and not asked.reference:
            raise InvalidFieldError("once", "missing, and wanted for this service group")
        table = sql.find_table(asked.statement)
        if table is None:
            raise InvalidFieldError("bytes", "the statement names no table of a group")
        number, now = self.batches.next_number(), clock.now()
        # Risk: a loop that falls behind has read this late and will answer late; no client waits longer.
        left = min(asked.wait - 2 * self.pulse.behind(), self.stop_at - now)
        taken = it.BatchReceived(
            number,
            group,
            self.consignors.get(asked.tenant, 0),
            key(table[1]) if query_class.in_order else 0,
            left,
            asked.work,
            asked.memory,
            float(table[0]),
            asked.is_retry,
        )
        return Batch(number, asked, taken, query_class.name, now + left)


def key(table: bytes) -> int:
    """What batches of one table share; any number will do, as it never leaves the front."""
    return int.from_bytes(table.lower(), "big") or 1
