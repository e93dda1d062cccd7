"""Every interleaving of a small world: two fronts with the same mark, a third place, one engine, messages
that are late for any time or never come, stops between any two steps, a place that forgets. The judges are
those that fronts run.

`python -m rigs.takeover_model` says how many states there are and whether any has two runs of what may not
run twice; `--sabotage NAME` takes one guard out, and a fault has to show. `--deep` lets more befall it.

A message that never comes is one that is never chosen. There is no step for the check of the lease right
before a first byte: what is cleared to go may go at any later moment, which is the gap that no check can
close.
"""

from collections import Counter, defaultdict
from copy import copy

import click

from rigs.verdict import close
from thistlelever.takeover import lease_manager
from thistlelever.takeover.facts import (
    Liveness,
    QueryClassPolicy,
    QuorumOutcome,
    TakeoverConfig,
    may_have_run,
)
from thistlelever.takeover.lease_manager import LeaseManager
from thistlelever.takeover.replica import Replica
from thistlelever.wire.work import Verb

FRONTS = tuple(("127.0.0.1", 7000 + n) for n in range(3))
GROUPS = (QueryClassPolicy("pay", 1.0, False, False, 3.0, True),)
MARK, TXNS = b"m" * 16, (b"txn-of-a", b"txn-of-b")
TERMS = TakeoverConfig(keep=5.0)
# A jump of the clock is longer than every lease and question.
JUMP = 2.0


def all_alive(address, life):
    return Liveness.ALIVE


def first_gone(address, life):
    """Whatever is true of it."""
    return Liveness.GONE if address == FRONTS[0] else Liveness.ALIVE


def yes(*_):
    return True


def no():
    return False


class World:
    """All of it between two steps. `told`: where each of the two batches stands."""

    def __init__(self, accused, most_tries):
        self.now, self.jumps, self.forgets, self.accused = 1000.0, 0, 0, accused
        self.most_tries = most_tries
        self.judges = [self.judge(n, 0.0) for n in range(3)]
        self.mail, self.at, self.runs, self.tries = [], ["away", "away"], [], [0, 0]
        self.wards = [None, None]

    def judge(self, place, born):
        made = LeaseManager(TERMS, FRONTS[place], 1, FRONTS, GROUPS, place, born)
        made.heirs.standing = first_gone if self.accused else all_alive
        made.heirs.alive, made.heirs.alone = yes, no
        return made

    def after(self, what, which):
        """The world after one step; what the step can't change is shared with this one."""
        other = alike(self)
        touched = {"deliver": lambda: (self.mail[which][1],), "send": tuple, "jump": lambda: (0, 1, 2)}.get(
            what, lambda: (which,)
        )()
        wards = {None: None}
        other.judges = [twin(j, wards) if n in touched else j for n, j in enumerate(self.judges)]
        other.wards = [wards.get(ward, ward) for ward in self.wards]
        other.mail, other.at, other.runs, other.tries = [*self.mail], [*self.at], [*self.runs], [*self.tries]
        getattr(other, "do_" + what)(which)
        return other

    def settle(self, place):
        """Take what a judge has to say, as its carrier does. An answer that nobody waits for any more does
        nothing whenever it comes, and is left out."""
        judge = self.judges[place]
        self.mail += [(place, FRONTS.index(send.address), send.word) for send in judge.sends]
        self.mail = [
            (s, t, w)
            for s, t, w in self.mail
            if w.verb not in (Verb.YES, Verb.NO)
            or w.nonce in self.judges[t].asked
            or w.verb is Verb.YES
            and w.lease_ms
            and w.owner.txn not in self.judges[t].wards
        ]
        judge.sends = []
        done, judge.done = judge.done, []
        judge.orders, judge.notes = [], []
        for ward, told in done:
            if place < 2 and ward is self.wards[place]:
                self.hear(place, ward, told)

    def hear(self, place, ward, told):
        judge = self.judges[place]
        if self.at[place] == "asks":
            # A group that demands protection is begun only where it is known that nothing ran.
            if may_have_run(told.value) or told.say not in (QuorumOutcome.FRESH, QuorumOutcome.TAKEN):
                self.at[place] = "led" if may_have_run(told.value) else "refused"
            elif told.say is QuorumOutcome.TAKEN:
                judge.close(self.now, ward)
                self.at[place] = "away"
            else:
                self.at[place] = "goes out"
                if not judge.goes_out(self.now, ward, "e", TXNS[place]):
                    self.at[place] = "cleared"
            self.settle(place)
        elif self.at[place] == "goes out":
            self.at[place] = "cleared" if told.say is QuorumOutcome.SURE else "refused"

    # Steps.

    def steps(self, most_jumps, most_forgets):
        found = [("deliver", n) for n in range(len(self.mail))]
        found += [
            ("enter", place)
            for place in (0, 1)
            if self.at[place] == "away" and self.tries[place] < self.most_tries
        ]
        found += [("send", place) for place in (0, 1) if self.at[place] == "cleared"]
        if self.jumps < most_jumps:
            # The clock goes on for all, and one that is stopped does not notice.
            found += [("jump", None), ("jump", 0)]
        if self.forgets < most_forgets:
            found.append(("forget", 2))
        return found

    def do_deliver(self, number):
        source, target, word = self.mail.pop(number)
        self.judges[target].heard(self.now, FRONTS[source], (word,))
        self.settle(target)

    def do_enter(self, place):
        self.tries[place] += 1
        self.at[place] = "asks"
        self.wards[place] = self.judges[place].enter(self.now, MARK, TXNS[place], 0, self.now + 3 + JUMP)
        self.settle(place)

    def do_send(self, place):
        self.at[place] = "sent"
        self.runs.append(place)

    def do_jump(self, stopped):
        self.jumps += 1
        self.now += JUMP
        for place, judge in enumerate(self.judges):
            if place != stopped:
                judge.turn(self.now)
                self.settle(place)

    def do_forget(self, place):
        self.forgets += 1
        self.judges[place] = self.judge(place, self.now)

    def key(self):
        """What tells this state from others: no counters, no nonces."""

        def value(v):
            return v and (v.epoch, v.step, v.state, v.txn)

        def owner(o):
            return o and (o.address, o.txn)

        def word(w):
            return w.verb, w.epoch, owner(w.owner), value(w.value), w.lease_ms > 0, w.heir, w.young

        found = []
        for judge in self.judges:
            kept = judge.holder.kept.get(MARK)
            found.append(
                kept
                and (
                    kept.epoch,
                    owner(kept.owner),
                    kept.heir,
                    kept.released,
                    kept.left(self.now) > 0,
                    value(kept.value),
                )
            )
            found.append(judge.holder.young(self.now))
            for txn, w in sorted(judge.wards.items()):
                q = w.question
                asked = q and (
                    q.verb,
                    q.regains,
                    tuple(sorted((a, word(x)) for a, x in (*q.yes.items(), *q.no.items()))),
                )
                found.append((txn, w.heir, w.phase, w.epoch, w.step, w.state, w.bare, w.tries, asked))
        live = {n for judge in self.judges for n in judge.asked}
        mail = Counter(
            (s, t, word(w), w.nonce in live or w.verb in (Verb.RELEASE, Verb.DROP)) for s, t, w in self.mail
        )
        return hash(
            (
                tuple(found),
                frozenset(mail.items()),
                tuple(self.at),
                tuple(self.tries),
                tuple(self.runs),
                self.jumps,
                self.forgets,
            )
        )


def alike(thing):
    """As `copy.copy` of a plain object, many times as fast."""
    other = object.__new__(type(thing))
    other.__dict__.update(thing.__dict__)
    return other


def twin(judge, wards):
    """A judge that goes its own way from here."""
    other = alike(judge)
    other.holder, other.heirs = alike(judge.holder), alike(judge.heirs)
    other.holder.kept = {key: copy(kept) for key, kept in judge.holder.kept.items()}
    other.holder.by_front = defaultdict(set, {a: set(keys) for a, keys in judge.holder.by_front.items()})
    other.heirs.holder, other.heirs.taken = other.holder, {k: copy(t) for k, t in judge.heirs.taken.items()}
    other.heirs.let_go, other.heirs.orders, other.heirs.notes = {*judge.heirs.let_go}, [], []

    def of(ward):
        if ward not in wards:
            wards[ward] = mine = alike(ward)
            if q := ward.question:
                mine.question = copy(q)
                mine.question.yes, mine.question.no = {**q.yes}, {**q.no}
        return wards[ward]

    other.wards = {txn: of(ward) for txn, ward in judge.wards.items()}
    other.asked = {nonce: of(ward) for nonce, ward in judge.asked.items()}
    other.events = [(when, n, what, of(ward), nonce) for when, n, what, ward, nonce in judge.events]
    other.catchup = alike(judge.catchup)
    other.catchup.holder = other.holder
    # Chance is not asked here; the order of events of one moment is that of their making.
    other.order, other.sends, other.done, other.orders, other.notes = copy(judge.order), [], [], [], []
    return other


def search(accused, most_tries, most_jumps, most_forgets, most_states=10**7):
    """All states; how many, and the first way to two runs."""
    first = World(accused, most_tries)
    seen, waiting, ends = {first.key()}, [(first, ())], Counter()
    while waiting:
        before, way = waiting.pop()
        for step in before.steps(most_jumps, most_forgets):
            world = before.after(*step)
            if len(world.runs) > 1:
                return len(seen), (*way, step), ends
            key = world.key()
            if key not in seen:
                seen.add(key)
                ends[tuple(world.at)] += 1
                waiting.append((world, (*way, step)))
                if len(seen) >= most_states:
                    return len(seen), (), ends
    return len(seen), (), ends


def no_majority():
    """One place's word is enough."""
    made = lease_manager.Lease.__init__

    def init(self, *words):
        made(self, *words)
        self.need = 1

    lease_manager.Lease.__init__ = init


def no_word_first():
    """What may not run twice goes out while its places are told of it."""
    goes_out = LeaseManager.goes_out
    LeaseManager.goes_out = lambda self, *words: goes_out(self, *words) and False


def no_epoch():
    """A place takes what an earlier owner says after a later one was promised."""
    put = Replica.put

    def taking(self, now, word):
        kept = self.kept.get(word.key)
        if kept and word.epoch < kept.epoch:
            word = type(word)(
                word.verb, word.nonce, word.key, kept.epoch, kept.owner, word.value, word.lease_ms
            )
        return put(self, now, word)

    Replica.put = taking


def no_youth():
    """A place that was started again answers as if it had forgotten nothing."""
    Replica.young = lambda self, now: False


# Accused whatever is true, tries of each client, jumps of the clock, places that forget.
SMALL = {"once each": (False, 1, 0, 0), "a place forgets": (False, 1, 0, 1)}
DEEP = {
    "twice each": (False, 2, 0, 0),
    "twice, a place forgets": (False, 2, 0, 1),
    "a jump of the clock": (False, 1, 1, 0),
    "accused, a jump": (True, 1, 1, 0),
}
GUARDS = {"majority": no_majority, "word first": no_word_first, "epoch": no_epoch, "youth": no_youth}


@click.command()
@click.option("--seed", default=1, help="As the other rigs have it; there is no chance in this one.")
@click.option("--deep", is_flag=True)
@click.option("--sabotage", type=click.Choice(sorted(GUARDS)))
def main(seed, deep, sabotage):
    if sabotage:
        GUARDS[sabotage]()
    figures, broken = {}, []
    for name, facts in SMALL.items() | (DEEP.items() if deep else set()):
        states, way, ends = search(*facts)
        figures[name] = {"states": states, "ends": len(ends)}
        if way:
            broken.append(f"two runs, {name}: {way}")
    close("takeover_model", seed, broken, figures)


if __name__ == "__main__":
    main()
