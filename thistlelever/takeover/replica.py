"""What one front keeps for others: of each batch a promise to one owner, and the latest value.

A promise is Paxos' (Lamport 1998, phase 1): once given to an epoch, nothing of an earlier one is taken any
more. The lease on top of it is liveness alone: while it runs nobody else is promised, so that a client that
comes again is led to its run and not a new one. An heir's promise gives way to whoever has a client.
"""

from __future__ import annotations

from collections import defaultdict

from thistlelever.takeover.facts import Address, TakeoverConfig
from thistlelever.wire.peers import address_of
from thistlelever.wire.work import Message, Owner, RunState, RunStatus, Verb


class Record:
    """One batch as this place knows it."""

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
        self.key, self.epoch = key, 0
        # To whom it is promised, and who said the value.
        self.owner: Owner | None = None
        self.value_owner: Owner | None = None
        self.value: RunStatus | None = None
        self.by_successor, self.released, self.lease_expires_at, self.forget_at = False, False, 0.0, 0.0
        # When the value came, and any word of its owner's.
        self.value_set_at, self.heard_at = 0.0, 0.0

    @property
    def is_lazy(self) -> bool:
        """Of a batch that nobody can come back for."""
        return len(self.key) == 8

    @property
    def responsible_owner(self) -> Owner | None:
        """Whose loss would leave it to an heir."""
        return self.value_owner or self.owner if self.released else self.owner

    def lease_left(self, now: float) -> float:
        return max(self.lease_expires_at - now, 0.0)


class Replica:
    """The records of one place. `horizon` is how long a record may matter: a life younger than that may have
    forgotten some, and says so."""

    def __init__(self, config: TakeoverConfig, horizon: float, now: float) -> None:
        self.config, self.horizon, self.started_at = config, horizon, now
        self.records: dict[bytes, Record] = {}
        self.by_front: dict[Address, set[bytes]] = defaultdict(set)
        # Whether it can promise anything: a place that fails says so and is passed by.
        self.failure = ""
        self.rejected_count = 0

    def is_incomplete(self, now: float) -> bool:
        return now - self.started_at < self.horizon

    def handle(self, now: float, message: Message) -> Message | None:
        """What this place says to a claim, a put, a release or a drop."""
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
        record = self.records.get(message.key)
        if record is None:
            record = self.create_record(message.key)
            if record is None:
                return self.refuse_reply(now, message, None)
        self.extend_retention(now, record, message)
        already_promised = record.owner == message.owner and record.epoch == message.epoch
        # An owner whose epoch was too low at another place asks again with a later one.
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
        """An owner's word on its batch. A later epoch had a majority's promise, this place among them or not:
        its lease is not asked for again."""
        record = self.records.get(message.key)
        if record is None:
            record = self.create_record(message.key)
            if record is None or message.value is None:
                return self.refuse_reply(now, message, record) if message.nonce else None
        if message.epoch < record.epoch or message.epoch == record.epoch and record.owner != message.owner:
            return self.refuse_reply(now, message, record) if message.nonce else None
        if self.update_value(now, record, message):
            self.promise(now, record, message)
        # Nobody waits for an answer to the last word of a batch.
        return self.accept_reply(now, message, record) if message.nonce else None

    def restore(self, now: float, message: Message) -> None:
        """What another place keeps of a batch whose record this one had in a former life."""
        record = self.records.get(message.key) or self.create_record(message.key)
        if record is None:
            return
        self.update_value(now, record, message)
        if message.epoch > record.epoch:
            self.promise(now, record, message)

    def update_value(self, now: float, record: Record, message: Message) -> bool:
        """Whether a word's value is later than the one that is kept; then it is kept."""
        if message.value is None or record.value is not None and message.value.order <= record.value.order:
            return False
        self.unindex_record(record)
        record.value, record.value_owner, record.value_set_at = message.value, message.owner, now
        # Risk: a record that is under nobody's name is no heir's.
        self.index_record(record)
        return True

    def promise(self, now: float, record: Record, message: Message) -> None:
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
        """Keep what a client comes back for for as long as clients may come after it. Risk: tries that own
        nothing, for want of a majority, leave no value, and a run is forgotten that is still asked for."""
        if not message.heir:
            record.forget_at = max(record.forget_at, now + message.lease_ms / 1e3 + self.config.retention_s)

    def release(self, message: Message) -> None:
        """The lease is over, the promise stands. Risk: a place that forgets whom it promised an epoch to
        promises it to another, and two have a majority for the same one."""
        record = self.records.get(message.key)
        if record and record.owner == message.owner and record.epoch == message.epoch:
            self.unindex_record(record)
            record.lease_expires_at, record.released = 0.0, True
            self.index_record(record)

    def index_record(self, record: Record) -> None:
        if record.responsible_owner:
            self.by_front[address_of(record.responsible_owner.address)].add(record.key)

    def unindex_record(self, record: Record) -> None:
        if record.responsible_owner and (
            keys := self.by_front.get(address_of(record.responsible_owner.address))
        ):
            keys.discard(record.key)
            if not keys:
                del self.by_front[address_of(record.responsible_owner.address)]

    def create_record(self, key: bytes) -> Record | None:
        if self.failure or len(self.records) >= self.config.max_records:
            self.rejected_count += 1
            return None
        record = self.records[key] = Record(key)
        return record

    def drop(self, record: Record) -> None:
        self.unindex_record(record)
        del self.records[record.key]

    def sweep(self, now: float) -> None:
        for record in [k for k in self.records.values() if now >= k.forget_at]:
            self.drop(record)

    def accept_reply(self, now: float, message: Message, record: Record) -> Message:
        # What was put need not come back.
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
        """Where nothing can be promised at all, the answer names the asker itself, with nothing behind it."""
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
        """The value with its times as they are now."""
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
