"""How a place that was started again learns what it had promised: from every other front, record by record.

Each majority that its former life was part of has another place in it. Once all others have told all that
they keep for it, and none of them was started a moment ago itself, it knows whatever may still matter, and
need not call itself young any longer. Where one is away it stays young for as long as a record may live.
"""

from __future__ import annotations

from thistlelever.takeover.facts import Address, Send
from thistlelever.takeover.placement import Placement
from thistlelever.takeover.replica import Replica
from thistlelever.wire.work import Message, Owner, Verb

# So many records are told at a time; what did not come whole is asked for again after this.
PAGE_SIZE, RETRY_INTERVAL_S = 12, 0.08
# A list that is being told is kept so long for who asks on.
LISTING_TTL_S = 2.0
ALL_KEYS = b"\0" * 16


class CatchUp:
    """Both sides of it in one front."""

    def __init__(self, local_owner: Owner, replica: Replica, placement: Placement) -> None:
        self.local_owner, self.replica, self.placement = local_owner, replica, placement
        # Of whom it is asked: from which record on, when again; and of that piece what has come.
        self.pending: dict[Address, list] = {}
        self.received: dict[Address, dict[bytes, Message]] = {}
        self.started, self.complete_sources = False, set()
        # Lists that are being told, by who asks.
        self.listings: dict[Address, tuple[float, list[bytes]]] = {}

    def start(self, now: float, other_fronts: list[Address]) -> None:
        """Ask all others, once, at the start of a life."""
        self.started = True
        self.pending = {address: [0, now] for address in other_fronts}

    def tick(self, now: float) -> list[Send]:
        """What is due by now."""
        self.listings = {
            a: records for a, records in self.listings.items() if now - records[0] < LISTING_TTL_S
        }
        if not self.replica.is_incomplete(now):
            self.pending, self.received = {}, {}
            return []
        sends = []
        for address, cursor in self.pending.items():
            if now >= cursor[1]:
                cursor[1] = now + RETRY_INTERVAL_S
                self.received[address] = {}
                sends.append(Send(address, Message(Verb.CATCH, cursor[0], ALL_KEYS, 0, self.local_owner)))
        return sends

    def next_due(self) -> float:
        return min((cursor[1] for cursor in self.pending.values()), default=float("inf"))

    def answer_request(self, now: float, source: Address, message: Message) -> list[Message]:
        """A piece of what this front keeps for another: records, and an end that counts them and says from
        where to go on, or that it is all."""
        if message.nonce == 0 or source not in self.listings:
            keys = [
                key
                for key, record in self.replica.records.items()
                if not record.is_lazy and source in self.placement.replicas_for(key)
            ]
            self.listings[source] = now, keys
        _, keys = self.listings[source]
        page = [
            self.replica.records[key]
            for key in keys[message.nonce : message.nonce + PAGE_SIZE]
            if key in self.replica.records
        ]
        records = [
            Message(
                Verb.KEPT,
                message.nonce,
                record.key,
                record.epoch,
                record.owner,
                self.replica.current_value(now, record, record.value),
                round(record.lease_left(now) * 1e3),
                record.by_successor,
            )
            for record in page
            if record.owner
        ]
        next_index = message.nonce + PAGE_SIZE
        end = Message(
            Verb.END,
            message.nonce,
            ALL_KEYS,
            0 if next_index >= len(keys) else next_index,
            self.local_owner,
            None,
            len(records),
            young=self.replica.is_incomplete(now),
        )
        return [*records, end]

    def receive(self, now: float, source: Address, message: Message) -> None:
        """A record, or the end of a piece."""
        cursor = self.pending.get(source)
        if cursor is None or message.nonce != cursor[0]:
            return
        received = self.received.setdefault(source, {})
        if message.verb is Verb.KEPT:
            received[message.key] = message
            return
        if len(received) < message.lease_ms:
            # Some of it was lost, or is late: all of the piece is asked for again.
            cursor[1] = min(cursor[1], now + RETRY_INTERVAL_S / 4)
            return
        for record in received.values():
            self.replica.restore(now, record)
        self.received[source] = {}
        if message.epoch:
            cursor[0], cursor[1] = message.epoch, now
            return
        del self.pending[source]
        if not message.young:
            self.complete_sources.add(source)
        if not self.pending and self.started and self.complete_sources >= self.other_fronts():
            self.replica.started_at = -self.replica.horizon

    def other_fronts(self) -> set[Address]:
        return {address for _, address in self.placement.fronts} - {self.placement.local_address}
