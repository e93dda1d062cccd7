"""Catch-up of a replica after a restart: it fetches the records that it should hold from every other front.

Each majority that the replica belonged to before the restart includes another replica. Once all other
fronts have sent all records that they share with it, and none of them was still catching up, its records
are complete. While a front is unreachable, the replica reports itself incomplete for as long as an old
record may matter.
"""

from __future__ import annotations

from thistlelever.takeover.facts import Address, Send
from thistlelever.takeover.placement import Placement
from thistlelever.takeover.replica import Replica
from thistlelever.wire.work import Message, Owner, Verb

# Records in one page, and the delay before an incomplete page is requested again.
PAGE_SIZE, RETRY_INTERVAL_S = 12, 0.08
# How long a listing is kept for further pages.
LISTING_TTL_S = 2.0
ALL_KEYS = b"\0" * 16


class CatchUp:
    """Both sides of the catch-up: fetching records for this front, and serving those of other fronts."""

    def __init__(self, local_owner: Owner, replica: Replica, placement: Placement) -> None:
        """`local_owner` names this front and its process; both ends use its `replica` and the `placement`."""
        self.local_owner, self.replica, self.placement = local_owner, replica, placement
        # For each front that still has records to send: the index of the page requested and the time of the
        # next request; and the records of that page received so far.
        self.pending: dict[Address, list] = {}
        self.received: dict[Address, dict[bytes, Message]] = {}
        self.started, self.complete_sources = False, set()
        # Listings being served, by the front that asked: when it was made, and the keys.
        self.listings: dict[Address, tuple[float, list[bytes]]] = {}

    def start(self, now: float, other_fronts: list[Address]) -> None:
        """Begin fetching from all other fronts, once, when this front starts."""
        self.started = True
        self.pending = {address: [0, now] for address in other_fronts}

    def tick(self, now: float) -> list[Send]:
        """The page requests that are due."""
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
        """The time of the next page request; infinite when there is none."""
        return min((cursor[1] for cursor in self.pending.values()), default=float("inf"))

    def answer_request(self, now: float, source: Address, message: Message) -> list[Message]:
        """One page of the records that this front shares with another: the records, then an END message with
        their count and the index of the next page, 0 after the last."""
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
        """Take a record, or the end of a page."""
        cursor = self.pending.get(source)
        if cursor is None or message.nonce != cursor[0]:
            return
        received = self.received.setdefault(source, {})
        if message.verb is Verb.KEPT:
            received[message.key] = message
            return
        if len(received) < message.lease_ms:
            # Records of the page were lost or are late: the whole page is requested again.
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
        """The addresses of all other fronts of the tier."""
        return {address for _, address in self.placement.fronts} - {self.placement.local_address}
