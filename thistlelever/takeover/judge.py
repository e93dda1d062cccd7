"""Who owns which batch: this front's own batches and their places, and what it keeps for others.

    judge = Judge(terms, me, life, fronts, groups, seed, now)
    ward = judge.enter(now, mark, txn, group, limit_at)     # a batch that somebody can come back for
    judge.goes_out(now, ward, engine, txn)                  # before a dispatch's first byte
    judge.heard(now, source, words); judge.turn(now)
    judge.sends, judge.done, judge.orders, judge.notes      # what came of it, taken by the carrier

Each mark is a register at three fronts. To own it a front needs a majority's promise, to dispatch what may
not run twice a majority's word that the dispatch is known: so that whoever comes after knows of it, however
messages are lost and whatever fronts believe of each other. Times are seconds of a clock that never goes
back.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from math import ceil
from zlib import crc32

from thistlelever.takeover.catchup import CatchUp
from thistlelever.takeover.facts import (
    Address,
    AskOn,
    CallOff,
    Enough,
    Group,
    Note,
    Say,
    Send,
    Terms,
    Told,
    may_have_run,
)
from thistlelever.takeover.heirs import Heirs
from thistlelever.takeover.holder import Holder
from thistlelever.takeover.places import Places
from thistlelever.takeover.ward import Phase, Question, Run, Ward, asked
from thistlelever.wire.peers import address_bytes
from thistlelever.wire.work import Owner, State, Value, Verb, Word

# A claim whose epoch was too low is put again with a higher one, so often.
MOST_TRIES = 4
# A batch may wait for so many time limits of its group at most (`carrier.validation`), and its record lives
# as long.
MOST_LIMITS = 2
# What nobody waits for is sent again for so long.
UNWAITED = 0.5
SWEEP = 0.1
# Events of a kind fall on multiples of so many seconds.
GRIDS = {"again": 0.005, "renew": 0.05, "lazy": 0.05}


class Judge:
    """Owner, place and heir in one front."""

    def __init__(
        self,
        terms: Terms,
        me: Address,
        life: int,
        fronts: tuple[Address, ...],
        groups: tuple[Group, ...],
        seed: int,
        now: float,
    ) -> None:
        self.terms, self.me, self.life, self.groups, self.seed = terms, me, life, groups, seed
        self.places = Places((*fronts, me), terms.places, me)
        horizon = MOST_LIMITS * max((g.time_limit for g in groups), default=0.0) + terms.keep
        self.holder = Holder(terms, horizon, now)
        self.heirs = Heirs(terms, me, self.holder, self.places, groups)
        self.catchup = CatchUp(Owner(address_bytes(me), life, b"\0" * 8), self.holder, self.places)
        self.wards: dict[bytes, Ward] = {}
        self.asked: dict[int, Ward] = {}
        self.events: list[tuple[float, int, str, Ward, int]] = []
        self.order, self.nonces, self.draws, self.swept_at = count(), 0, 0, now
        self.sends: list[Send] = []
        self.done: list[tuple[Ward, Told]] = []
        self.orders: list[AskOn | CallOff | Enough] = []
        self.notes: list[Note] = []

    # A batch of this front's, from its taking to its end.

    def enter(
        self,
        now: float,
        mark: bytes,
        txn: bytes,
        group: int,
        limit_at: float,
        heard: Value | None = None,
    ) -> Ward:
        """A batch that its client can come back for: `done` says whether it is this front's. `heard` is what
        an earlier question of the same submission brought."""
        ward = self.ward(mark, txn, group, limit_at, self.places.of(mark), True)
        ward.heard = heard
        if len(ward.places) < 2:
            ward.bare = "no other front"
            self.finish(ward, Told(Say.ALONE))
        else:
            ward.epoch = 1
            self.ask(now, ward, Verb.CLAIM, True)
        return ward

    def enter_lazy(self, now: float, txn: bytes, group: int, limit_at: float) -> Ward:
        """A batch that nobody can come back for: one other is told of it, if it is out for long."""
        # Most are over before anybody is told: where they would be told of is looked up only then.
        return self.ward(txn, txn, group, limit_at, (), False)

    def ward(
        self, key: bytes, txn: bytes, group: int, limit_at: float, places: tuple[Address, ...], marked: bool
    ) -> Ward:
        owner = Owner(address_bytes(self.me), self.life, txn)
        ward = self.wards[txn] = Ward(key, owner, group, limit_at, places, marked)
        return ward

    def goes_out(self, now: float, ward: Ward, engine: str, txn: bytes, number: int = 0) -> bool:
        """A dispatch is about to go there; whether its first byte has to wait for `done`. Of what may run
        twice nobody need know first."""
        ward.goes_out(now, engine, txn, number)
        if not ward.marked:
            if not ward.told:
                self.at(now + self.terms.lazy, "lazy", ward)
            return False
        if ward.bare:
            return False
        waits = not self.groups[ward.group].repeatable
        self.ask(now, ward, Verb.PUT, waits)
        return waits

    def came_back(self, now: float, ward: Ward, run: Run) -> None:
        """That dispatch has ended; another may follow, or the end. Places hear of it with that, or when the
        lease is renewed: till then they have it for out, which is the safer error."""
        ward.came_back(run)

    def confirm(self, now: float, ward: Ward) -> None:
        """Ask whether it is this front's still; `done` says."""
        self.ask(now, ward, Verb.PUT, True)

    def close(self, now: float, ward: Ward) -> None:
        """Its one final answer is given, and nothing of it is out. What is known of it stays with the places,
        and is free for whoever comes."""
        self.wards.pop(ward.owner.txn, None)
        owned, ward.phase = ward.phase is Phase.OWNED, Phase.CLOSED
        if not ward.marked:
            if ward.told:
                for place in ward.places:
                    self.sends.append(Send(place, asked(ward, Verb.DROP, 0, None, self.terms)))
            self.forget(ward)
        elif owned and not ward.bare:
            # Nobody waits for it, and what is lost is told again by whoever goes on from 'out'.
            self.end(ward)
            word = asked(ward, Verb.PUT, 0, ward.value(now), self.terms, False)
            for place in ward.places:
                self.put_to(now, place, word)
        else:
            if ward.question and ward.question.verb is Verb.CLAIM:
                # Risk: claimed for nobody, it keeps all others out for a lease.
                self.release(ward, ward.places)
            self.forget(ward)

    def hand_over(self, now: float) -> list[Ward]:
        """This front ends: what is out and can be come back for is left to whoever is asked next. Nothing
        more may be done for it here."""
        given = [
            w
            for w in self.wards.values()
            if w.marked and not w.bare and w.phase is Phase.OWNED and w.state is State.OUT
        ]
        for ward in given:
            self.ask(now, ward, Verb.PUT, False, lease=False)
            ward.phase = Phase.LOST
            self.note("handed over", ward.key, txn=ward.owner.txn.hex(), engine=ward.engine)
        return given

    # Questions to the places.

    def ask(
        self, now: float, ward: Ward, verb: Verb, waited: bool, lease: bool = True, regains: bool = False
    ) -> None:
        """Put a question in place of the one that is out: a later value says all that an earlier one did."""
        before = ward.question
        if before:
            self.asked.pop(before.nonce, None)
            waited = waited or before.waited
        self.nonces += 1
        nonce = crc32(b"%d work %d" % (self.seed, self.nonces)) or 1
        word = asked(ward, verb, nonce, ward.value(now) if verb is Verb.PUT else None, self.terms, lease)
        due = now + (self.terms.wait if waited else UNWAITED)
        q = ward.question = Question(word, now, due, self.terms.again, waited, regains)
        self.asked[nonce] = ward
        self.at(now + q.pause, "again", ward, nonce)
        for place in ward.places:
            self.put_to(now, place, word)

    def put_to(self, now: float, place: Address, word: Word) -> None:
        if place != self.me:
            self.sends.append(Send(place, word))
        elif answer := self.holder.answer(now, word):
            self.answered(now, self.me, answer)

    def heard(self, now: float, source: Address, words: tuple[Word, ...]) -> None:
        """What came in one datagram."""
        for word in words:
            if word.verb in (Verb.YES, Verb.NO):
                self.answered(now, source, word)
            elif word.verb is Verb.CATCH:
                self.sends += [Send(source, told) for told in self.catchup.answer(now, source, word)]
            elif word.verb in (Verb.KEPT, Verb.END):
                self.catchup.heard(now, source, word)
            elif answer := self.holder.answer(now, word):
                self.sends.append(Send(source, answer))

    def answered(self, now: float, source: Address, word: Word) -> None:
        ward = self.asked.get(word.nonce)
        q = ward.question if ward else None
        if q is None or q.nonce != word.nonce:
            late = word.verb is Verb.YES and word.lease_ms and word.owner.txn not in self.wards
            if late and source != self.me:
                # Risk: a claim that was given up and comes through late keeps all others out for a lease.
                self.sends.append(Send(source, Word(Verb.RELEASE, 0, word.key, word.epoch, word.owner)))
            return
        if source not in ward.places or source in q.yes or source in q.no:
            return
        (q.yes if word.verb is Verb.YES else q.no)[source] = word
        if len(q.yes) >= ward.need and not (q.verb is Verb.CLAIM and self.waits_for_more(ward, q)):
            self.granted(now, ward, q)
        elif len(ward.places) - len(q.no) < ward.need or q.verb is Verb.CLAIM and self.is_final(ward, word):
            self.refused(now, ward, q)

    def is_final(self, ward: Ward, word: Word) -> bool:
        """Whether one place's answer to a claim ends it: another has the batch, or the epoch is too low.
        Risk: with one place away, one that says yes and one that has promised a later epoch are no majority
        either way, however often the claim is made."""
        behind = word.verb is Verb.NO and word.epoch >= ward.epoch and ward.tries < MOST_TRIES
        return held(ward, word) or behind

    def waits_for_more(self, ward: Ward, q: Question) -> bool:
        """A majority is here that knows of nothing because it has forgotten: one more may tell."""
        best = latest(q.yes.values())
        return not may_have_run(best) and known(q) < ward.need and (len(q.yes) + len(q.no) < len(ward.places))

    def granted(self, now: float, ward: Ward, q: Question) -> None:
        self.end(ward)
        ward.phase = Phase.OWNED if ward.phase is Phase.ASKING else ward.phase
        ward.lease_till, ward.sure_at, ward.told = q.at + self.terms.lease, now, True
        if ward.phase is Phase.CLOSED:
            return
        self.at(now + self.terms.renew, "renew", ward)
        if q.verb is Verb.PUT:
            self.finish(ward, Told(Say.SURE), q)
            return
        best = latest(q.yes.values())
        if best is None and not q.regains:
            # Risk: the places have forgotten a run that this submission was led to and waited for.
            best = ward.heard
        if q.regains:
            # An heir never dispatches: what it had is as this front left it, or somebody else has been there.
            mine = best is None or best.state is State.HELD or best.txn == ward.txn
            ward.phase = Phase.OWNED if mine else Phase.LOST
            self.note("handed back" if mine else "lost", ward.key, txn=ward.owner.txn.hex())
            self.finish(ward, Told(Say.SURE, regained=True) if mine else Told(Say.LOST, best), q)
            return
        if best is not None and may_have_run(best):
            ward.found(now, best)
            self.finish(ward, Told(Say.FOUND, best), q)
            return
        self.finish(ward, Told(Say.FRESH if known(q) >= ward.need else Say.UNSURE, best), q)

    def refused(self, now: float, ward: Ward, q: Question) -> None:
        self.end(ward)
        said = [*q.yes.values(), *q.no.values()]
        others = [w for w in q.no.values() if w.owner != ward.owner]
        best, epoch = latest(said), max(w.epoch for w in said)
        if q.verb is Verb.CLAIM:
            holds = [w for w in others if held(ward, w)]
            if not holds and epoch >= ward.epoch and ward.tries < MOST_TRIES:
                # The promise that stands in the way is over: only the epoch was too low.
                ward.tries, ward.epoch = ward.tries + 1, epoch + 1
                self.ask(now, ward, Verb.CLAIM, q.waited, regains=q.regains)
                return
            self.release(ward, tuple(q.yes))
            owner = max(holds, key=lambda w: (w.epoch, w.lease_ms)).owner if holds else None
            if q.regains:
                self.lose(ward, best, owner, q)
            elif owner:
                self.finish(ward, Told(Say.TAKEN, best, owner), q)
            else:
                ward.bare = "the places refuse"
                self.finish(ward, Told(Say.ALONE, best), q)
        elif not others:
            # Places that can keep nothing any more are as good as away.
            self.finish(ward, Told(Say.ALONE), q)
        elif ward.phase is Phase.CLOSED or ward.heir:
            self.forget(ward)
        elif ward.phase is Phase.OWNED and all(w.heir or not w.lease_ms for w in others):
            ward.epoch, ward.tries = epoch + 1, 0
            self.ask(now, ward, Verb.CLAIM, q.waited, regains=True)
        else:
            self.lose(ward, best, max(others, key=lambda w: w.epoch).owner, q)

    def lose(self, ward: Ward, best: Value | None, owner: Owner | None, q: Question) -> None:
        if ward.phase is not Phase.LOST:
            self.note("lost", ward.key, txn=ward.owner.txn.hex())
        ward.phase = Phase.LOST
        self.finish(ward, Told(Say.LOST, best, owner), q)

    def release(self, ward: Ward, places: tuple[Address, ...]) -> None:
        """Whoever said yes to a claim that came to nothing must not keep others out for its lease."""
        word = Word(Verb.RELEASE, 0, ward.key, ward.epoch, ward.owner)
        for place in places:
            if place == self.me:
                self.holder.release(word)
            else:
                self.sends.append(Send(place, word))

    def end(self, ward: Ward) -> None:
        if ward.question:
            self.asked.pop(ward.question.nonce, None)
            ward.question = None

    def finish(self, ward: Ward, told: Told, q: Question | None = None) -> None:
        if ward.heir:
            self.heirs.claimed(ward, told)
        elif q is None or q.waited or told.say is Say.LOST:
            self.done.append((ward, told))

    def forget(self, ward: Ward) -> None:
        self.end(ward)
        self.wards.pop(ward.owner.txn, None)

    # What is due.

    def at(self, when: float, what: str, ward: Ward, nonce: int = 0) -> None:
        """Risk: a wake-up for each of hundreds of batches a second costs more than what they come to. What
        is due at like times is due at one."""
        grid = GRIDS[what]
        heappush(self.events, (ceil(when / grid) * grid, next(self.order), what, ward, nonce))

    def due(self) -> float:
        """When the next turn is."""
        first = self.events[0][0] if self.events else self.swept_at + SWEEP
        return min(first, self.swept_at + SWEEP, self.catchup.due())

    def turn(self, now: float) -> None:
        while self.events and self.events[0][0] <= now:
            _, _, what, ward, nonce = heappop(self.events)
            getattr(self, "due_" + what)(now, ward, nonce)
        self.sends += self.catchup.turn(now)
        if now - self.swept_at >= SWEEP:
            self.swept_at = now
            self.holder.sweep(now)
            for heir in self.heirs.look(now):
                # Exactly one survivor: whoever a majority promises itself to.
                places = self.places.of(heir.key)
                ward = self.ward(heir.key, heir.txn, heir.group, now + heir.left, places, True)
                ward.heir, ward.epoch = True, heir.epoch + 1
                self.ask(now, ward, Verb.CLAIM, False)
        self.orders += self.heirs.orders
        self.notes += self.heirs.notes
        self.heirs.orders, self.heirs.notes = [], []

    def due_again(self, now: float, ward: Ward, nonce: int) -> None:
        q = ward.question
        if q is None or q.nonce != nonce:
            return
        if now < q.due:
            for place in ward.places:
                if place not in q.yes and place not in q.no and place != self.me:
                    self.sends.append(Send(place, q.word))
            q.pause *= 1 if q.waited else 2
            self.at(min(now + q.pause, q.due), "again", ward, nonce)
            return
        if q.verb is Verb.CLAIM and len(q.yes) >= ward.need:
            self.granted(now, ward, q)
            return
        self.end(ward)
        if q.verb is Verb.CLAIM and not q.regains:
            self.release(ward, ward.places)
            if not ward.heir:
                ward.bare = "no majority in time"
        if ward.phase is Phase.CLOSED:
            self.forget(ward)
        else:
            best = latest((*q.yes.values(), *q.no.values())) or ward.heard
            self.finish(ward, Told(Say.ALONE, best), q)
            if ward.heir and ward.phase is Phase.ASKING:
                self.forget(ward)

    def due_renew(self, now: float, ward: Ward, nonce: int) -> None:
        if ward.phase is not Phase.OWNED or ward.owner.txn not in self.wards or ward.bare:
            return
        if now - ward.sure_at < self.terms.renew - 0.01:
            return
        if ward.heir and not self.heirs.has(ward.key):
            self.forget(ward)
            return
        if not ward.question:
            self.ask(now, ward, Verb.PUT if not ward.heir else Verb.CLAIM, False)
        # Where it fails, it is tried again until the batch is over.
        self.at(now + self.terms.renew, "renew", ward)

    def due_lazy(self, now: float, ward: Ward, nonce: int) -> None:
        if ward.state is State.OUT and ward.phase is not Phase.CLOSED and not ward.told:
            others = [place for place in self.places.of(ward.key) if place != self.me]
            ward.places, ward.told, ward.epoch = tuple(others[:1]), True, 1
            if others:
                self.ask(now, ward, Verb.PUT, False)

    def chance(self) -> float:
        """From 0 up to 1, by the seed and a counter."""
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) / 2**32

    def note(self, what: str, key: bytes, **facts) -> None:
        self.notes.append(Note(what, key, facts))


def held(ward: Ward, word: Word) -> bool:
    """Whether a place says that another has the batch, which does not give way."""
    stays = word.verb is Verb.NO and word.owner != ward.owner and word.lease_ms > 0
    return stays and (ward.heir or not word.heir)


def known(q: Question) -> int:
    """How many of those that say yes would know. Risk: a place that was started again has forgotten what it
    promised."""
    return sum(not (word.young and word.value is None) for word in q.yes.values())


def latest(words) -> Value | None:
    """Of what the places keep the value that outweighs the others."""
    return max((w.value for w in words if w.value is not None), key=lambda v: v.order, default=None)
