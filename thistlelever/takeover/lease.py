"""One batch in hand as its owner knows it, and one question about it that is out to its places."""

from __future__ import annotations

from enum import Enum

from thistlelever.takeover.facts import Address, TakeoverConfig
from thistlelever.wire.work import Message, Owner, RunState, RunStatus, Verb


class Phase(Enum):
    """Whose the batch is."""

    ASKING = "asking"
    OWNED = "owned"
    # Another has taken it over, or it was handed over; nothing more may be done for it here.
    LOST = "lost"
    CLOSED = "closed"


class RunEnd(Enum):
    """How one dispatch ended, as far as it matters here."""

    NEVER_RAN = "never ran"
    RETURNED = "returned"
    UNKNOWN = "unknown"


class PendingRequest:
    """A claim or a put, from its first sending to a majority's answer or its end."""

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
        self.verb, self.nonce, self.message = message.verb, message.nonce, message
        self.sent_at, self.deadline, self.resend_interval = now, deadline, resend_interval
        # Whether the batch's path waits for the answer; whether it wins back what an heir has.
        self.awaited, self.reclaims = awaited, reclaims
        self.accepted: dict[Address, Message] = {}
        self.refused: dict[Address, Message] = {}


class Lease:
    """One submission that is open at this front: what its places know of it, and until when it is surely this
    front's. `marked`: a client can come back for it."""

    def __init__(
        self,
        key: bytes,
        owner: Owner,
        class_index: int,
        limit_at: float,
        replicas: tuple[Address, ...],
        recoverable: bool,
    ) -> None:
        self.key, self.owner, self.class_index, self.limit_at = key, owner, class_index, limit_at
        self.replicas, self.recoverable = replicas, recoverable
        self.quorum = len(replicas) // 2 + 1 if recoverable else 1
        self.phase, self.epoch, self.step = Phase.ASKING, 0, 0
        self.state, self.engine, self.txn, self.number, self.started_at = RunState.HELD, "", b"", 0, 0.0
        # The first dispatch that may have run: engine, id and number there, when. What comes after it hangs
        # on it.
        self.first_run: tuple[str, bytes, int, float] | None = None
        self.expires_at, self.confirmed_at, self.reported = 0.0, 0.0, False
        # Why it is not protected, or empty; whether it is an heir's.
        self.unprotected_reason, self.as_successor = "", False
        self.request: PendingRequest | None = None
        self.claim_attempts = 0
        # What an earlier question of the same submission brought.
        self.prior_value: RunStatus | None = None

    def next_value(self, now: float) -> RunStatus:
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
        """What another front had begun is this one's from now on."""
        self.state, self.engine, self.txn, self.number = value.state, value.engine, value.txn, value.number
        self.started_at = now - value.ran_ms / 1e3
        self.first_run = value.engine, value.txn, value.number, self.started_at

    def begin_dispatch(self, now: float, engine: str, txn: bytes, number: int) -> None:
        """A dispatch is about to go there."""
        if self.first_run is None:
            self.started_at = now
        self.state, self.engine, self.txn, self.number = RunState.OUT, engine, txn, number

    def end_dispatch(self, run: RunEnd) -> None:
        """That dispatch has ended."""
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
        """Whether it surely is this front's at this moment, without asking."""
        return (
            bool(self.unprotected_reason)
            or not self.recoverable
            or self.phase is Phase.OWNED
            and now < self.expires_at
        )


def make_request(
    lease: Lease, verb: Verb, nonce: int, value: RunStatus | None, config: TakeoverConfig, extend: bool = True
) -> Message:
    """The question as it goes to each place."""
    ms = round(config.lease_s * 1e3) if extend else 0
    return Message(verb, nonce, lease.key, lease.epoch, lease.owner, value, ms, lease.as_successor)
