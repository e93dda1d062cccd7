"""The replica that a front keeps for others: for each batch a promise to one owner, and the latest status.

A promise is that of Paxos (Lamport 1998, phase 1): once an epoch is promised, nothing of an earlier epoch
is accepted. The lease adds only liveness: while it runs no other front is promised, so that a client that
submits a batch again is led to the run in progress instead of a new one. The promise of a successor yields
to any front whose client waits.
"""

from __future__ import annotations

from collections import defaultdict

from thistlelever.takeover.facts import Address, TakeoverConfig
from thistlelever.wire.peers import address_of
from thistlelever.wire.work import Message, Owner, RunState, RunStatus, Verb


class Record:
    """The record of one batch. Times are seconds of the front's clock."""

    __slots__ = (
        "key",
        "epoch",
        "owner",
        "value_owner",
        "by_successor",
        "released",
        "lease_expires_at",
        "value",
        "value_set_at",
        "heard_at",
        "forget_at",
    )

    def __init__(self, key: bytes) -> None:
        """An empty record, promised to nobody."""
        self.key, self.epoch = key, 0
        # The owner that the epoch is promised to, and the owner that put the value.
        self.owner: Owner | None = None
        self.value_owner: Owner | None = None
        self.value: RunStatus | None = None
        self.by_successor, self.released, self.lease_expires_at, self.forget_at = False, False, 0.0, 0.0
        # When the value was stored, and when the owner was last heard from.
        self.value_set_at, self.heard_at = 0.0, 0.0

    @property
    def is_lazy(self) -> bool:
        """Whether the batch has no idempotency key: its record is stored under its id."""
        return len(self.key) == 8

    @property
    def responsible_owner(self) -> Owner | None:
        """The owner whose loss makes a successor take the batch over."""
        return self.value_owner or self.owner if self.released else self.owner

    def lease_left(self, now: float) -> float:
        """The seconds that the lease still runs."""
        return max(self.lease_expires_at - now, 0.0)


class Replica:
    """The records that this front holds. `horizon` is how long a record may matter, in seconds: a replica
    that started more recently may lack records, and says so in its replies."""

    def __init__(self, config: TakeoverConfig, horizon: float, now: float) -> None:
        """An empty replica, started at `now`."""
        self.config, self.horizon, self.started_at = config, horizon, now
        self.records: dict[bytes, Record] = {}
        self.by_front: dict[Address, set[bytes]] = defaultdict(set)
        # Why it can promise nothing, or empty: a failing replica refuses, and majorities form without it.
        self.failure = ""
        self.rejected_count = 0

    def is_incomplete(self, now: float) -> bool:
        """Whether records may be missing since the start of this front."""
        return now - self.started_at < self.horizon

    def handle(self, now: float, message: Message) -> Message | None:
        """Carry out a claim, put, release or drop; the reply, or None when there is none."""
        match message.verb:
            case Verb.CLAIM:
                return self.claim(now, message)
            case Verb.PUT:
                return self.put(now, message)
            case Verb.RELEASE:
                self.release(message)
            case Verb.DROP:
                record = self.records.get(message.key)
                if record and record.owner == message.owner:
                    self.drop(record)
        return None

    def claim(self, now: float, message: Message) -> Message:
        """Promise the batch to the claimant if its epoch is later and no other owner holds the lease."""
        record = self.records.get(message.key)
        if record is None:
            record = self.create_record(message.key)
            if record is None:
                return self.refuse_reply(now, message, None)
        self.extend_retention(now, record, message)
        already_promised = record.owner == message.owner and record.epoch == message.epoch
        # An owner whose epoch was too low at another replica claims again with a later one.
        free = (
            record.lease_left(now) == 0
            or record.owner == message.owner
            or record.by_successor
            and not message.heir
        )
        if not already_promised and not (message.epoch > record.epoch and free):
            return self.refuse_reply(now, message, record)
        self.promise(now, record, message)
        return self.accept_reply(now, message, record)

    def put(self, now: float, message: Message) -> Message | None:
        """Store the status that an owner puts. A later epoch was promised by a majority, with or without this
        replica, so it is accepted without another claim."""
        record = self.records.get(message.key)
        if record is None:
            record = self.create_record(message.key)
            if record is None or message.value is None:
                return self.refuse_reply(now, message, record) if message.nonce else None
        if message.epoch < record.epoch or message.epoch == record.epoch and record.owner != message.owner:
            return self.refuse_reply(now, message, record) if message.nonce else None
        if self.update_value(now, record, message):
            self.promise(now, record, message)
        # The last put of a batch has no nonce: nobody waits for a reply to it.
        return self.accept_reply(now, message, record) if message.nonce else None

    def restore(self, now: float, message: Message) -> None:
        """Take over a record from another replica during the catch-up after a restart."""
        record = self.records.get(message.key) or self.create_record(message.key)
        if record is None:
            return
        self.update_value(now, record, message)
        if message.epoch > record.epoch:
            self.promise(now, record, message)

    def update_value(self, now: float, record: Record, message: Message) -> bool:
        """Store the value of a message if it is later than the stored one; whether it was."""
        if message.value is None or record.value is not None and message.value.order <= record.value.order:
            return False
        self.unindex_record(record)
        record.value, record.value_owner, record.value_set_at = message.value, message.owner, now
        # A record that is missing from the index is never taken over.
        self.index_record(record)
        return True

    def promise(self, now: float, record: Record, message: Message) -> None:
        """Promise the epoch of a message to its owner and start its lease."""
        self.unindex_record(record)
        record.owner, record.epoch, record.released = message.owner, message.epoch, False
        record.by_successor, record.heard_at = message.heir, now
        self.index_record(record)
        record.lease_expires_at = now + message.lease_ms / 1e3
        deadline = (
            record.value_set_at + record.value.left_ms / 1e3 if record.value else now + self.config.lease_s
        )
        record.forget_at = max(record.forget_at, deadline + self.config.retention_s)

    def extend_retention(self, now: float, record: Record, message: Message) -> None:
        """Keep a record while clients submit its batch again. A submission that finds no majority owns
        nothing and stores no value; without this the record would expire while clients still ask for the
        run."""
        if not message.heir:
            record.forget_at = max(record.forget_at, now + message.lease_ms / 1e3 + self.config.retention_s)

    def release(self, message: Message) -> None:
        """End the lease, but keep the promise: a replica that forgot the owner of an epoch could promise the
        same epoch to another, and both would find a majority for it."""
        record = self.records.get(message.key)
        if record and record.owner == message.owner and record.epoch == message.epoch:
            self.unindex_record(record)
            record.lease_expires_at, record.released = 0.0, True
            self.index_record(record)

    def index_record(self, record: Record) -> None:
        """Add the record to `by_front`, under the front that is responsible for it."""
        if record.responsible_owner:
            self.by_front[address_of(record.responsible_owner.address)].add(record.key)

    def unindex_record(self, record: Record) -> None:
        """Remove the record from `by_front`."""
        if record.responsible_owner and (
            keys := self.by_front.get(address_of(record.responsible_owner.address))
        ):
            keys.discard(record.key)
            if not keys:
                del self.by_front[address_of(record.responsible_owner.address)]

    def create_record(self, key: bytes) -> Record | None:
        """A new record; None when the replica is failing or full."""
        if self.failure or len(self.records) >= self.config.max_records:
            self.rejected_count += 1
            return None
        record = self.records[key] = Record(key)
        return record

    def drop(self, record: Record) -> None:
        """Delete a record."""
        self.unindex_record(record)
        del self.records[record.key]

    def sweep(self, now: float) -> None:
        """Delete the records that have expired."""
        for record in [k for k in self.records.values() if now >= k.forget_at]:
            self.drop(record)

    def accept_reply(self, now: float, message: Message, record: Record) -> Message:
        """The reply that accepts a request; the stored value goes with it only after a claim."""
        claim = message.verb is Verb.CLAIM
        value = self.current_value(now, record, record.value) if claim else None
        return Message(
            Verb.YES,
            message.nonce,
            message.key,
            record.epoch,
            message.owner,
            value,
            message.lease_ms if claim else 0,
            young=self.is_incomplete(now),
        )

    def refuse_reply(self, now: float, message: Message, record: Record | None) -> Message:
        """The reply that refuses a request. Without a record, that is, when nothing can be promised at all,
        it names the requester itself as the owner and carries no value."""
        if record is None:
            return Message(Verb.NO, message.nonce, message.key, 0, message.owner)
        owner = record.owner or message.owner
        return Message(
            Verb.NO,
            message.nonce,
            message.key,
            record.epoch,
            owner,
            self.current_value(now, record, record.value),
            round(record.lease_left(now) * 1e3),
            record.by_successor,
            self.is_incomplete(now),
        )

    def current_value(self, now: float, record: Record, value: RunStatus | None) -> RunStatus | None:
        """The value with its times as of now."""
        if value is None:
            return None
        elapsed_ms = max(round((now - record.value_set_at) * 1e3), 0)
        ran_ms = value.ran_ms + elapsed_ms if value.state is not RunState.HELD else 0
        return RunStatus(
            value.epoch,
            value.step,
            value.state,
            value.group,
            max(value.left_ms - elapsed_ms, 0),
            value.engine,
            value.txn,
            ran_ms,
            value.number,
        )
