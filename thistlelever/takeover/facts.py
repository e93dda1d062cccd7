"""What passes between the judgement of takeover and whatever carries it."""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple

from thistlelever.wire.work import Message, Owner, RunState, RunStatus

Address = tuple[str, int]


class TakeoverConfig(NamedTuple):
    """Times in seconds; `docs/takeover.md` says how they follow from each other."""

    # How many fronts keep the record of a batch that somebody can come back for.
    replicas: int = 3
    # How long an owner may answer and call off unasked after a majority last confirmed it, and when it asks
    # for that again.
    lease_s: float = 1.0
    renew_interval_s: float = 0.4
    # How long a batch's path waits for a majority at most, and when a word without an answer is sent again.
    quorum_timeout_s: float = 0.06
    resend_interval_s: float = 0.015
    # How long the record of what is over is kept, and how often an heir asks an engine for what it took over.
    retention_s: float = 5.0
    keep_alive_interval_s: float = 0.5
    # A batch that nobody can come back for is told of only once it has been out for so long.
    lazy_report_delay_s: float = 0.05
    # The most records that are kept for others, and batches that are asked on for at once.
    max_records: int = 20_000
    max_keep_alives: int = 256


class Liveness(IntEnum):
    """What membership holds a front for."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2


class QueryClassPolicy(NamedTuple):
    """What matters here of a service group."""

    name: str
    value: float
    idempotent: bool
    deduplicated: bool
    time_limit: float
    # Whether a batch of it that can't be protected is refused.
    requires_protection: bool


class QuorumOutcome(Enum):
    """How a question to the places ended."""

    # Of a claim: nothing of it ever ran; it ran or may be running, and is now this front's; another owns it;
    # nothing is known, and those asked are too young for that to mean anything; no majority answered.
    FRESH = "fresh"
    FOUND = "found"
    TAKEN = "taken"
    UNSURE = "unsure"
    ALONE = "alone"
    # Of what was put: a majority has it; another has taken the batch over.
    SURE = "sure"
    LOST = "lost"


class QuorumResult(NamedTuple):
    """The answer to one question. `value` is what is known of the batch, `owner` who has it where it is
    another's, `regained` whether it had been an heir's meanwhile."""

    outcome: QuorumOutcome
    value: RunStatus | None = None
    owner: Owner | None = None
    regained: bool = False


class Send(NamedTuple):
    address: Address
    message: Message


class KeepAlive(NamedTuple):
    """Go on asking the engine for a batch whose front is lost, so that it goes on running, and its result on
    lying there."""

    key: bytes
    engine: str
    txn: bytes
    number: int


class CancelRun(NamedTuple):
    """Nobody can come back for it: the engine is to be free at once."""

    key: bytes
    engine: str
    txn: bytes
    number: int


class StopKeepAlive(NamedTuple):
    """Ask on no longer."""

    key: bytes


class LeaseEvent(NamedTuple):
    """Something that befell a batch, for log and counters."""

    name: str
    key: bytes
    fields: dict


def may_have_run(value: RunStatus | None) -> bool:
    return value is not None and value.state is not RunState.HELD
