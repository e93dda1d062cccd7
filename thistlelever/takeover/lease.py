"""The lease on one open batch as its owner knows it, and the pending request to its replicas."""

from __future__ import annotations

from enum import Enum

from thistlelever.takeover.facts import Address, TakeoverConfig
from thistlelever.wire.work import Message, Owner, RunState, RunStatus, Verb


class Phase(Enum):
    """Ownership of the batch as this front knows it."""

    ASKING = "asking"
    OWNED = "owned"
    # Another front has taken it over, or it was handed over: this front may do nothing more for it.
    LOST = "lost"
    CLOSED = "closed"


class RunEnd(Enum):
    """How one dispatch ended, as far as the record of the batch needs it."""

    NEVER_RAN = "never ran"
    RETURNED = "returned"
    UNKNOWN = "unknown"


class PendingRequest:
    """A claim or a put that was sent to the replicas and has no majority yet.

    Replies are kept by the address of the replica. Times are seconds of the front's clock.
    """

    __slots__ = (
        "verb",
        "nonce",
        "message",
        "sent_at",
        "deadline",
        "resend_interval",
        "awaited",
        "reclaims",
        "accepted",
        "refused",
    )

    def __init__(
        self,
        message: Message,
        now: float,
        deadline: float,
        resend_interval: float,
        awaited: bool,
        reclaims: bool,
    ) -> None:
        """Sent at `now`, and again every `resend_interval` seconds until `deadline`."""
        self.verb, self.nonce, self.message = message.verb, message.nonce, message
        self.sent_at, self.deadline, self.resend_interval = now, deadline, resend_interval
        # Whether the batch waits for the result; whether the claim takes the batch back from a successor.
        self.awaited, self.reclaims = awaited, reclaims
        self.accepted: dict[Address, Message] = {}
        self.refused: dict[Address, Message] = {}


class Lease:
    """One submission that is open at this front: what its replicas know of it, and until when this front
    certainly owns it.

    `key` is the idempotency key (16 bytes), or the id of the batch (8 bytes) without one. `recoverable`: it
    has an idempotency key, so that its client can ask for it again. `class_index` is the position of its
    query class. Times are seconds of the front's clock.
    """

    def __init__(
        self,
        key: bytes,
        owner: Owner,
        class_index: int,
        limit_at: float,
        replicas: tuple[Address, ...],
        recoverable: bool,
    ) -> None:
        """A lease that no replica has promised yet."""
        self.key, self.owner, self.class_index, self.limit_at = key, owner, class_index, limit_at
        self.replicas, self.recoverable = replicas, recoverable
        self.quorum = len(replicas) // 2 + 1 if recoverable else 1
        self.phase, self.epoch, self.step = Phase.ASKING, 0, 0
        self.state, self.engine, self.txn, self.number, self.started_at = RunState.HELD, "", b"", 0, 0.0
        # The first dispatch that may have run: engine, id and number at the engine, start. The outcome of the
        # batch depends on it whatever later dispatches do.
        self.first_run: tuple[str, bytes, int, float] | None = None
        self.expires_at, self.confirmed_at, self.reported = 0.0, 0.0, False
        # Why no majority protects it, or empty; whether this front holds it as the successor of a lost owner.
        self.unprotected_reason, self.as_successor = "", False
        self.request: PendingRequest | None = None
        self.claim_attempts = 0
        # The status that an earlier request of the same submission found.
        self.prior_value: RunStatus | None = None

    def next_value(self, now: float) -> RunStatus:
        """The present status, to be put to the replicas; each call numbers it one step later."""
        self.step += 1
        left_ms = max(round((self.limit_at - now) * 1e3), 0)
        ran_ms = max(round((now - self.started_at) * 1e3), 0) if self.state is not RunState.HELD else 0
        return RunStatus(
            self.epoch,
            self.step,
            self.state,
            self.class_index,
            left_ms,
            self.engine,
            self.txn,
            ran_ms,
            self.number,
        )

    def adopt(self, now: float, value: RunStatus) -> None:
        """Continue from the run that another front had started, as the first run of this batch."""
        self.state, self.engine, self.txn, self.number = value.state, value.engine, value.txn, value.number
        self.started_at = now - value.ran_ms / 1e3
        self.first_run = value.engine, value.txn, value.number, self.started_at

    def begin_dispatch(self, now: float, engine: str, txn: bytes, number: int) -> None:
        """Note that a dispatch is about to be sent to the engine."""
        if self.first_run is None:
            self.started_at = now
        self.state, self.engine, self.txn, self.number = RunState.OUT, engine, txn, number

    def end_dispatch(self, run: RunEnd) -> None:
        """Note how the dispatch ended. One that never ran leaves the status of the first run in place."""
        if run is RunEnd.NEVER_RAN:
            if self.first_run:
                self.engine, self.txn, self.number, self.started_at = self.first_run
                self.state = RunState.UNKNOWN
            else:
                self.state, self.engine, self.txn, self.number = RunState.HELD, "", b"", 0
            return
        self.first_run = self.first_run or (self.engine, self.txn, self.number, self.started_at)
        self.state = RunState.RETURNED if run is RunEnd.RETURNED else RunState.UNKNOWN

    def is_held(self, now: float) -> bool:
        """Whether this front certainly owns the batch now, without asking the replicas."""
        return (
            bool(self.unprotected_reason)
            or not self.recoverable
            or self.phase is Phase.OWNED
            and now < self.expires_at
        )


def make_request(
    lease: Lease, verb: Verb, nonce: int, value: RunStatus | None, config: TakeoverConfig, extend: bool = True
) -> Message:
    """The message of a request, the same for each replica; `extend` asks for another term of the lease."""
    ms = round(config.lease_s * 1e3) if extend else 0
    return Message(verb, nonce, lease.key, lease.epoch, lease.owner, value, ms, lease.as_successor)
