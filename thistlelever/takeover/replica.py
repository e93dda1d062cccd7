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
        "whose",
        "heir",
        "released",
        "lease_till",
        "value",
        "valued_at",
        "heard_at",
        "forget_at",
    )

    def __init__(self, key: bytes) -> None:
        self.key, self.epoch = key, 0
        # To whom it is promised, and who said the value.
        self.owner: Owner | None = None
        self.whose: Owner | None = None
        self.value: RunStatus | None = None
        self.heir, self.released, self.lease_till, self.forget_at = False, False, 0.0, 0.0
        # When the value came, and any word of its owner's.
        self.valued_at, self.heard_at = 0.0, 0.0

    @property
    def lazy(self) -> bool:
        """Of a batch that nobody can come back for."""
        return len(self.key) == 8

    @property
    def behind(self) -> Owner | None:
        """Whose loss would leave it to an heir."""
        return self.whose or self.owner if self.released else self.owner

    def left(self, now: float) -> float:
        return max(self.lease_till - now, 0.0)


class Replica:
    """The records of one place. `horizon` is how long a record may matter: a life younger than that may have
    forgotten some, and says so."""

    def __init__(self, terms: TakeoverConfig, horizon: float, now: float) -> None:
        self.terms, self.horizon, self.born = terms, horizon, now
        self.kept: dict[bytes, Record] = {}
        self.by_front: dict[Address, set[bytes]] = defaultdict(set)
        # Whether it can promise anything: a place that fails says so and is passed by.
        self.failing = ""
        self.full = 0

    def young(self, now: float) -> bool:
        return now - self.born < self.horizon

    def answer(self, now: float, word: Message) -> Message | None:
        """What this place says to a claim, a put, a release or a drop."""
        match word.verb:
            case Verb.CLAIM:
                return self.claim(now, word)
            case Verb.PUT:
                return self.put(now, word)
            case Verb.RELEASE:
                self.release(word)
            case Verb.DROP:
                kept = self.kept.get(word.key)
                if kept and kept.owner == word.owner:
                    self.drop(kept)
        return None

    def claim(self, now: float, word: Message) -> Message:
        kept = self.kept.get(word.key)
        if kept is None:
            kept = self.room(word.key)
            if kept is None:
                return self.no(now, word, None)
        self.asked_for(now, kept, word)
        mine = kept.owner == word.owner and kept.epoch == word.epoch
        # An owner whose epoch was too low at another place asks again with a later one.
        free = kept.left(now) == 0 or kept.owner == word.owner or kept.heir and not word.heir
        if not mine and not (word.epoch > kept.epoch and free):
            return self.no(now, word, kept)
        self.promise(now, kept, word)
        return self.yes(now, word, kept)

    def put(self, now: float, word: Message) -> Message | None:
        """An owner's word on its batch. A later epoch had a majority's promise, this place among them or not:
        its lease is not asked for again."""
        kept = self.kept.get(word.key)
        if kept is None:
            kept = self.room(word.key)
            if kept is None or word.value is None:
                return self.no(now, word, kept) if word.nonce else None
        if word.epoch < kept.epoch or word.epoch == kept.epoch and kept.owner != word.owner:
            return self.no(now, word, kept) if word.nonce else None
        if self.outweighs(now, kept, word):
            self.promise(now, kept, word)
        # Nobody waits for an answer to the last word of a batch.
        return self.yes(now, word, kept) if word.nonce else None

    def restore(self, now: float, word: Message) -> None:
        """What another place keeps of a batch whose record this one had in a former life."""
        kept = self.kept.get(word.key) or self.room(word.key)
        if kept is None:
            return
        self.outweighs(now, kept, word)
        if word.epoch > kept.epoch:
            self.promise(now, kept, word)

    def outweighs(self, now: float, kept: Record, word: Message) -> bool:
        """Whether a word's value is later than the one that is kept; then it is kept."""
        if word.value is None or kept.value is not None and word.value.order <= kept.value.order:
            return False
        self.unlisted(kept)
        kept.value, kept.whose, kept.valued_at = word.value, word.owner, now
        # Risk: a record that is under nobody's name is no heir's.
        self.listed(kept)
        return True

    def promise(self, now: float, kept: Record, word: Message) -> None:
        self.unlisted(kept)
        kept.owner, kept.epoch, kept.released = word.owner, word.epoch, False
        kept.heir, kept.heard_at = word.heir, now
        self.listed(kept)
        kept.lease_till = now + word.lease_ms / 1e3
        over = kept.valued_at + kept.value.left_ms / 1e3 if kept.value else now + self.terms.lease
        kept.forget_at = max(kept.forget_at, over + self.terms.keep)

    def asked_for(self, now: float, kept: Record, word: Message) -> None:
        """Keep what a client comes back for for as long as clients may come after it. Risk: tries that own
        nothing, for want of a majority, leave no value, and a run is forgotten that is still asked for."""
        if not word.heir:
            kept.forget_at = max(kept.forget_at, now + word.lease_ms / 1e3 + self.terms.keep)

    def release(self, word: Message) -> None:
        """The lease is over, the promise stands. Risk: a place that forgets whom it promised an epoch to
        promises it to another, and two have a majority for the same one."""
        kept = self.kept.get(word.key)
        if kept and kept.owner == word.owner and kept.epoch == word.epoch:
            self.unlisted(kept)
            kept.lease_till, kept.released = 0.0, True
            self.listed(kept)

    def listed(self, kept: Record) -> None:
        if kept.behind:
            self.by_front[address_of(kept.behind.address)].add(kept.key)

    def unlisted(self, kept: Record) -> None:
        if kept.behind and (keys := self.by_front.get(address_of(kept.behind.address))):
            keys.discard(kept.key)
            if not keys:
                del self.by_front[address_of(kept.behind.address)]

    def room(self, key: bytes) -> Record | None:
        if self.failing or len(self.kept) >= self.terms.most_kept:
            self.full += 1
            return None
        kept = self.kept[key] = Record(key)
        return kept

    def drop(self, kept: Record) -> None:
        self.unlisted(kept)
        del self.kept[kept.key]

    def sweep(self, now: float) -> None:
        for kept in [k for k in self.kept.values() if now >= k.forget_at]:
            self.drop(kept)

    def yes(self, now: float, word: Message, kept: Record) -> Message:
        # What was put need not come back.
        claim = word.verb is Verb.CLAIM
        value = self.aged(now, kept, kept.value) if claim else None
        return Message(
            Verb.YES,
            word.nonce,
            word.key,
            kept.epoch,
            word.owner,
            value,
            word.lease_ms if claim else 0,
            young=self.young(now),
        )

    def no(self, now: float, word: Message, kept: Record | None) -> Message:
        """Where nothing can be promised at all, the answer names the asker itself, with nothing behind it."""
        if kept is None:
            return Message(Verb.NO, word.nonce, word.key, 0, word.owner)
        owner = kept.owner or word.owner
        return Message(
            Verb.NO,
            word.nonce,
            word.key,
            kept.epoch,
            owner,
            self.aged(now, kept, kept.value),
            round(kept.left(now) * 1e3),
            kept.heir,
            self.young(now),
        )

    def aged(self, now: float, kept: Record, value: RunStatus | None) -> RunStatus | None:
        """The value with its times as they are now."""
        if value is None:
            return None
        past = max(round((now - kept.valued_at) * 1e3), 0)
        ran = value.ran_ms + past if value.state is not RunState.HELD else 0
        return RunStatus(
            value.epoch,
            value.step,
            value.state,
            value.group,
            max(value.left_ms - past, 0),
            value.engine,
            value.txn,
            ran,
            value.number,
        )
