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

    def __init__(self, me: Owner, holder: Replica, places: Placement) -> None:
        self.me, self.holder, self.places = me, holder, places
        # Of whom it is asked: from which record on, when again; and of that piece what has come.
        self.asked: dict[Address, list] = {}
        self.came: dict[Address, dict[bytes, Message]] = {}
        self.begun, self.told_all = False, set()
        # Lists that are being told, by who asks.
        self.lists: dict[Address, tuple[float, list[bytes]]] = {}

    def begin(self, now: float, others: list[Address]) -> None:
        """Ask all others, once, at the start of a life."""
        self.begun = True
        self.asked = {address: [0, now] for address in others}

    def turn(self, now: float) -> list[Send]:
        """What is due by now."""
        self.lists = {a: told for a, told in self.lists.items() if now - told[0] < LISTING_TTL_S}
        if not self.holder.young(now):
            self.asked, self.came = {}, {}
            return []
        sends = []
        for address, state in self.asked.items():
            if now >= state[1]:
                state[1] = now + RETRY_INTERVAL_S
                self.came[address] = {}
                sends.append(Send(address, Message(Verb.CATCH, state[0], ALL_KEYS, 0, self.me)))
        return sends

    def due(self) -> float:
        return min((state[1] for state in self.asked.values()), default=float("inf"))

    def answer(self, now: float, source: Address, word: Message) -> list[Message]:
        """A piece of what this front keeps for another: records, and an end that counts them and says from
        where to go on, or that it is all."""
        if word.nonce == 0 or source not in self.lists:
            keys = [
                key
                for key, kept in self.holder.kept.items()
                if not kept.lazy and source in self.places.of(key)
            ]
            self.lists[source] = now, keys
        _, keys = self.lists[source]
        piece = [
            self.holder.kept[key]
            for key in keys[word.nonce : word.nonce + PAGE_SIZE]
            if key in self.holder.kept
        ]
        told = [
            Message(
                Verb.KEPT,
                word.nonce,
                kept.key,
                kept.epoch,
                kept.owner,
                self.holder.aged(now, kept, kept.value),
                round(kept.left(now) * 1e3),
                kept.heir,
            )
            for kept in piece
            if kept.owner
        ]
        after = word.nonce + PAGE_SIZE
        end = Message(
            Verb.END,
            word.nonce,
            ALL_KEYS,
            0 if after >= len(keys) else after,
            self.me,
            None,
            len(told),
            young=self.holder.young(now),
        )
        return [*told, end]

    def heard(self, now: float, source: Address, word: Message) -> None:
        """A record, or the end of a piece."""
        state = self.asked.get(source)
        if state is None or word.nonce != state[0]:
            return
        came = self.came.setdefault(source, {})
        if word.verb is Verb.KEPT:
            came[word.key] = word
            return
        if len(came) < word.lease_ms:
            # Some of it was lost, or is late: all of the piece is asked for again.
            state[1] = min(state[1], now + RETRY_INTERVAL_S / 4)
            return
        for one in came.values():
            self.holder.restore(now, one)
        self.came[source] = {}
        if word.epoch:
            state[0], state[1] = word.epoch, now
            return
        del self.asked[source]
        if not word.young:
            self.told_all.add(source)
        if not self.asked and self.begun and self.told_all >= self.others():
            self.holder.born = -self.holder.horizon

    def others(self) -> set[Address]:
        return {address for _, address in self.places.fronts} - {self.places.me}
