"""What the outcome of a dispatch proves about its run, and whether a batch may be submitted again."""

from __future__ import annotations

from thistlelever.ground import interface as it

# Outcomes that prove that the dispatch did not run.
NEVER_RAN = frozenset(
    (
        it.DispatchOutcome.FULL,
        it.DispatchOutcome.UNREACHABLE,
        it.DispatchOutcome.LATE,
        it.DispatchOutcome.UNSENT,
    )
)
# Outcomes after which the engine may still be running the batch.
MAY_RUN_ON = frozenset(
    (
        it.DispatchOutcome.TIMED_OUT,
        it.DispatchOutcome.RESET,
        it.DispatchOutcome.CANCELLED,
    )
)
# Outcomes after which a key cools down. That an engine does not know a batch proves nothing, as it may have
# replaced another process at its address.
COOL_DOWN_AFTER = MAY_RUN_ON | {it.DispatchOutcome.ASTRAY}


def is_repeat_harmless(query_class: it.QueryClass) -> bool:
    """Whether a client may submit a batch of the class again even though it may have run."""
    dropped_everywhere = (
        query_class.repeat is it.Idempotency.DEDUPLICATED and query_class.scope is it.DeduplicationScope.ALL
    )
    return query_class.repeat is it.Idempotency.IDEMPOTENT or dropped_everywhere
