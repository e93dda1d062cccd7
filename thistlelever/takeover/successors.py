"""What this front does with the work of those that are lost: for each record that it keeps whether it is the
heir, whether the engine is to be asked on or told to stop, and what is let go where it is too much."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from thistlelever.takeover.facts import (
    Address,
    CancelRun,
    KeepAlive,
    LeaseEvent,
    Liveness,
    QueryClassPolicy,
    QuorumOutcome,
    QuorumResult,
    StopKeepAlive,
    TakeoverConfig,
)
from thistlelever.takeover.placement import Placement
from thistlelever.takeover.replica import Record, Replica
from thistlelever.wire.peers import address_of
from thistlelever.wire.work import RunState


class PendingClaim(NamedTuple):
    """A batch whose front is gone, to be claimed for nobody yet."""

    key: bytes
    txn: bytes
    group: int
    epoch: int
    left: float


class InheritedRun:
    """One batch that is asked on for."""

    __slots__ = ("key", "engine", "txn", "group", "owner", "since", "till", "claimed", "word")

    def __init__(self, kept: Record, now: float, till: float) -> None:
        value = kept.value
        self.key, self.engine, self.txn, self.group = kept.key, value.engine, value.txn, value.group
        self.owner, self.since, self.till = kept.behind, now, till
        # Whether a majority has promised it to this front, or was asked; what its engine last said.
        self.claimed, self.word = "", ""


class Successor:
    """The heir's side of one front. `standing` says what membership holds a front and life for; while `alone`
    nothing that it says is acted on."""

    def __init__(
        self,
        terms: TakeoverConfig,
        me: Address,
        holder: Replica,
        places: Placement,
        groups: tuple[QueryClassPolicy, ...],
    ) -> None:
        self.terms, self.me, self.holder, self.places, self.groups = terms, me, holder, places, groups
        self.standing: Callable[[Address, int], Liveness] = lambda address, life: Liveness.ALIVE
        self.alone: Callable[[], bool] = lambda: False
        # Who of the places is taken to be alive; what matters of a place is its address.
        self.alive: Callable[[Address], bool] = lambda address: True
        self.taken: dict[bytes, InheritedRun] = {}
        self.let_go: set[bytes] = set()
        self.orders: list[KeepAlive | CancelRun | StopKeepAlive] = []
        self.notes: list[LeaseEvent] = []

    def has(self, key: bytes) -> bool:
        return key in self.taken

    def look(self, now: float) -> list[PendingClaim]:
        """What has to be done by now, into `orders`; what is to be claimed."""
        for taken in list(self.taken.values()):
            self.look_again(now, taken)
        self.let_go &= self.holder.kept.keys()
        if self.alone():
            # Risk: cut off, it would take over from all who live, and call off what they run.
            return []
        claims = []
        for address in list(self.holder.by_front):
            keys = self.holder.by_front.get(address, ())
            # A front's other life, behind the same address, has other work.
            lives = {}
            for key in sorted(keys, key=self.worth):
                kept = self.holder.kept[key]
                life = kept.behind.life
                if life not in lives:
                    lives[life] = self.standing(address, life)
                if lives[life] is not Liveness.ALIVE and not kept.heir:
                    claims += self.inherit(now, kept, lives[life])
        return claims

    def worth(self, key: bytes) -> tuple[float, bytes]:
        """What is worth most comes first."""
        value = self.holder.kept[key].value
        return (-self.groups[value.group].utility if value and value.group < len(self.groups) else 0.0), key

    def inherit(self, now: float, kept: Record, standing: Liveness) -> list[PendingClaim]:
        value = kept.value
        if value is None or value.state is not RunState.OUT or value.group >= len(self.groups):
            return []
        if not self.is_heir(kept):
            return []
        over = standing is Liveness.GONE and kept.left(now) == 0
        if kept.lazy and self.groups[value.group].repeatable:
            if over:
                self.orders.append(CancelRun(kept.key, value.engine, value.txn, value.number))
                self.note("called off", kept.key, value.txn, engine=value.engine)
                self.holder.drop(kept)
            return []
        taken = self.taken.get(kept.key)
        if taken is None and not (taken := self.take(now, kept)):
            return []
        if over and not taken.claimed and not kept.lazy:
            taken.claimed = "asked"
            left = max(kept.forget_at - now, 0.0)
            return [PendingClaim(kept.key, value.txn, value.group, kept.epoch, left)]
        return []

    def is_heir(self, kept: Record) -> bool:
        """The first of the places that lives, other than the lost one; two that see it differently both ask
        on, which no engine minds, and one of them is promised it."""
        if kept.lazy:
            return True
        gone = address_of(kept.behind.address)
        for place in self.places.of(kept.key):
            if place != gone and (place == self.me or self.alive(place)):
                return place == self.me
        return False

    def take(self, now: float, kept: Record) -> InheritedRun | None:
        """Ask on for it, unless so much is taken already that is worth no less."""
        if len(self.taken) >= self.terms.most_taken:
            least = min(self.taken.values(), key=lambda t: (self.groups[t.group].utility, -t.since))
            if self.groups[least.group].utility >= self.groups[kept.value.group].utility:
                self.lets_go(kept.key, kept.value.txn)
                return None
            self.stop(least)
            self.lets_go(least.key, least.txn)
        taken = self.taken[kept.key] = InheritedRun(kept, now, kept.forget_at)
        self.orders.append(KeepAlive(taken.key, taken.engine, taken.txn, kept.value.number))
        owner = "{}:{}".format(*address_of(kept.behind.address))
        self.note(
            "asked on for",
            taken.key,
            taken.txn,
            engine=taken.engine,
            owner=owner,
            after=round(now - kept.heard_at, 3),
        )
        return taken

    def lets_go(self, key: bytes, txn: bytes) -> None:
        if key not in self.let_go:
            self.let_go.add(key)
            self.note("let go", key, txn)

    def look_again(self, now: float, taken: InheritedRun) -> None:
        """Whether what is asked on for still is this front's to ask."""
        kept = self.holder.kept.get(taken.key)
        if (
            kept is None
            or now >= taken.till
            or kept.value is None
            or kept.value.txn != taken.txn
            or (kept.value.state is not RunState.OUT)
        ):
            self.stop(taken)
            return
        mine = kept.heir and address_of(kept.behind.address) == self.me
        if not mine and kept.behind != taken.owner:
            # Whoever comes for it with a client, the old owner among them, asks itself.
            self.stop(taken)
        elif (
            not taken.claimed
            and self.standing(address_of(taken.owner.address), taken.owner.life) is Liveness.ALIVE
        ):
            self.stop(taken)

    def claimed(self, ward, told: QuorumResult) -> None:
        """What became of a claim."""
        taken = self.taken.get(ward.key)
        if taken is None:
            return
        good = told.say in (QuorumOutcome.FRESH, QuorumOutcome.FOUND, QuorumOutcome.UNSURE)
        if good and taken.claimed != "yes":
            self.note("taken over", ward.key, taken.txn, engine=taken.engine)
        # Without a majority it is asked on for all the same, and claimed again.
        taken.claimed = "yes" if good else "no" if told.say is QuorumOutcome.TAKEN else ""
        if told.say is QuorumOutcome.TAKEN:
            self.stop(taken)

    def asked(self, key: bytes, word: str) -> None:
        """What its engine said: running, over, unknown, or silent. One that does not know it will not
        later."""
        taken = self.taken.get(key)
        if taken is None:
            return
        taken.word = word
        if word == "unknown":
            self.note("gone at its engine", key, taken.txn, engine=taken.engine)
            self.stop(taken)
            self.let_go.add(key)

    def note(self, what: str, key: bytes, txn: bytes, **facts) -> None:
        self.notes.append(LeaseEvent(what, key, {"txn": txn.hex(), **facts}))

    def stop(self, taken: InheritedRun) -> None:
        self.taken.pop(taken.key, None)
        self.orders.append(StopKeepAlive(taken.key))
