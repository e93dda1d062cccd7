"""Settings, commands and results that pass between the lease manager and the code that runs it."""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple

from thistlelever.wire.work import Message, Owner, RunState, RunStatus

Address = tuple[str, int]


class TakeoverConfig(NamedTuple):
    """Settings of one front. Times are in seconds; `docs/takeover.md` derives them from each other."""

    # Fronts that keep the record of a batch with an idempotency key.
    replicas: int = 3
    # How long an owner may answer and cancel without asking after a majority last confirmed its lease, and
    # how often it renews the lease.
    lease_s: float = 1.0
    renew_interval_s: float = 0.4
    # The longest that a batch waits for a majority, and the delay before an unanswered message is sent again.
    quorum_timeout_s: float = 0.06
    resend_interval_s: float = 0.015
    # How long the record of a finished batch is kept, and how often a successor polls an engine for a run
    # that it keeps alive.
    retention_s: float = 5.0
    keep_alive_interval_s: float = 0.5
    # A batch without an idempotency key is reported to a replica once a dispatch has run for this long.
    lazy_report_delay_s: float = 0.05
    # The most records kept for other fronts, and the most runs kept alive at once.
    max_records: int = 20_000
    max_keep_alives: int = 256


class Liveness(IntEnum):
    """The state of a front according to membership."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2


class QueryClassPolicy(NamedTuple):
    """The properties of a query class that takeover needs; `time_limit` is in seconds."""

    name: str
    value: float
    idempotent: bool
    deduplicated: bool
    time_limit: float
    # Whether a batch is refused when no majority of replicas can record it.
    requires_protection: bool


class QuorumOutcome(Enum):
    """How a request to the replicas of a batch ended."""

    # For a claim: the batch never ran; it ran or may be running and now belongs to this front; another front
    # owns it; no record was found, but the replicas restarted too recently for that to prove anything; no
    # majority answered.
    FRESH = "fresh"
    FOUND = "found"
    TAKEN = "taken"
    UNSURE = "unsure"
    ALONE = "alone"
    # For a put: a majority has stored it; another front has taken the batch over.
    SURE = "sure"
    LOST = "lost"


class QuorumResult(NamedTuple):
    """The result of one request. `value` is the latest known status of the batch, `owner` its present owner
    if that is another front, `regained` whether a successor had held it in between."""

    outcome: QuorumOutcome
    value: RunStatus | None = None
    owner: Owner | None = None
    regained: bool = False


class Send(NamedTuple):
    """A message to be sent to another front."""

    address: Address
    message: Message


class KeepAlive(NamedTuple):
    """Command to poll the engine for a batch whose front is lost: an engine stops a run and drops a result
    that nobody asks for."""

    key: bytes
    engine: str
    txn: bytes
    number: int


class CancelRun(NamedTuple):
    """Command to cancel a run that no client can ask for again, so that its engine is free at once."""

    key: bytes
    engine: str
    txn: bytes
    number: int


class StopKeepAlive(NamedTuple):
    """Command to stop polling for a batch."""

    key: bytes


class LeaseEvent(NamedTuple):
    """An event of a batch, for the log and the counters; `name` and the keys of `fields` are written out."""

    name: str
    key: bytes
    fields: dict


def may_have_run(value: RunStatus | None) -> bool:
    """Whether a known status says that a dispatch was sent, so that the batch may have run."""
    return value is not None and value.state is not RunState.HELD
