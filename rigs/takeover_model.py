"""Searches all interleavings of a small model of takeover, with the lease managers that fronts run.

The model has two fronts with the same idempotency key, a third replica and one engine. Messages are delayed
or lost, fronts pause between any two steps, and a replica may lose its state.

`python -m rigs.takeover_model` prints the number of states and whether any has two runs of a batch that
must not run twice; `--sabotage NAME` removes one safeguard, and a violation must be found. `--deep`
also searches larger models.

A lost message is one that is never delivered. There is no step for the check of the lease right before the
first byte: a dispatch that was cleared may be sent at any later time, a gap that no check can close.
"""

from collections import Counter, defaultdict
from copy import copy

import click

from rigs.results import report_and_exit
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
QUERY_CLASSES = (QueryClassPolicy("pay", 1.0, False, False, 3.0, True),)
KEY, TXNS = b"m" * 16, (b"txn-of-a", b"txn-of-b")
CONFIG = TakeoverConfig(retention_s=5.0)
# Longer than every lease and request.
CLOCK_JUMP_S = 2.0


def all_alive(address, life):
    """Membership that reports all fronts as alive."""
    return Liveness.ALIVE


def first_gone(address, life):
    """Membership that reports the first front as gone, whether it is or not."""
    return Liveness.GONE if address == FRONTS[0] else Liveness.ALIVE


def yes(*_):
    """Returns True for any arguments."""
    return True


def no():
    """Returns False."""
    return False


class World:
    """The state of the whole model between two steps; `at` is the phase of each of the two batches."""

    def __init__(self, accused, most_tries):
        self.now, self.jumps, self.forgets, self.accused = 1000.0, 0, 0, accused
        self.most_tries = most_tries
        self.managers = [self.new_manager(n, 0.0) for n in range(3)]
        self.mail, self.at, self.runs, self.tries = [], ["away", "away"], [], [0, 0]
        self.leases = [None, None]

    def new_manager(self, place, born):
        """Returns the lease manager of a front that started at a time in seconds."""
        made = LeaseManager(CONFIG, FRONTS[place], 1, FRONTS, QUERY_CLASSES, place, born)
        made.successor.liveness = first_gone if self.accused else all_alive
        made.successor.is_alive, made.successor.is_isolated = yes, no
        return made

    def after(self, what, which):
        """Returns the model after one step; parts that the step cannot change are shared with this one."""
        other = shallow_copy(self)
        touched = {"deliver": lambda: (self.mail[which][1],), "send": tuple, "jump": lambda: (0, 1, 2)}.get(
            what, lambda: (which,)
        )()
        leases = {None: None}
        other.managers = [copy_manager(j, leases) if n in touched else j for n, j in enumerate(self.managers)]
        other.leases = [leases.get(lease, lease) for lease in self.leases]
        other.mail, other.at, other.runs, other.tries = [*self.mail], [*self.at], [*self.runs], [*self.tries]
        getattr(other, "do_" + what)(which)
        return other

    def settle(self, place):
        """Processes the output of a lease manager, as its front does.

        Replies that no lease waits for any more have no effect and are left out.
        """
        manager = self.managers[place]
        self.mail += [(place, FRONTS.index(send.address), send.message) for send in manager.sends]
        self.mail = [
            (s, t, w)
            for s, t, w in self.mail
            if w.verb not in (Verb.YES, Verb.NO)
            or w.nonce in self.managers[t].leases_by_nonce
            or w.verb is Verb.YES
            and w.lease_ms
            and w.owner.txn not in self.managers[t].leases
        ]
        manager.sends = []
        done, manager.results = manager.results, []
        manager.commands, manager.events = [], []
        for lease, result in done:
            if place < 2 and lease is self.leases[place]:
                self.handle_result(place, lease, result)

    def handle_result(self, place, lease, result):
        """Continues a batch with the result of a quorum operation."""
        manager = self.managers[place]
        if self.at[place] == "asks":
            # A query class that requires protection is dispatched only if the batch is known never to have
            # run.
            if may_have_run(result.value) or result.outcome not in (QuorumOutcome.FRESH, QuorumOutcome.TAKEN):
                self.at[place] = "led" if may_have_run(result.value) else "refused"
            elif result.outcome is QuorumOutcome.TAKEN:
                manager.close(self.now, lease)
                self.at[place] = "away"
            else:
                self.at[place] = "goes out"
                if not manager.begin_dispatch(self.now, lease, "e", TXNS[place]):
                    self.at[place] = "cleared"
            self.settle(place)
        elif self.at[place] == "goes out":
            self.at[place] = "cleared" if result.outcome is QuorumOutcome.SURE else "refused"

    # Steps.

    def steps(self, most_jumps, most_forgets):
        """Returns the possible steps, each as a name and its argument."""
        found = [("deliver", n) for n in range(len(self.mail))]
        found += [
            ("enter", place)
            for place in (0, 1)
            if self.at[place] == "away" and self.tries[place] < self.most_tries
        ]
        found += [("send", place) for place in (0, 1) if self.at[place] == "cleared"]
        if self.jumps < most_jumps:
            # The clock jumps for all; a paused front does not process its timers.
            found += [("jump", None), ("jump", 0)]
        if self.forgets < most_forgets:
            found.append(("forget", 2))
        return found

    def do_deliver(self, number):
        """Step: delivers a message."""
        source, target, message = self.mail.pop(number)
        self.managers[target].receive(self.now, FRONTS[source], (message,))
        self.settle(target)

    def do_enter(self, place):
        """Step: a client submits the batch to a front."""
        self.tries[place] += 1
        self.at[place] = "asks"
        self.leases[place] = self.managers[place].acquire(
            self.now, KEY, TXNS[place], 0, self.now + 3 + CLOCK_JUMP_S
        )
        self.settle(place)

    def do_send(self, place):
        """Step: a front sends its cleared dispatch to the engine."""
        self.at[place] = "sent"
        self.runs.append(place)

    def do_jump(self, stopped):
        """Step: the clock jumps; the timers of all fronts but `stopped` fire."""
        self.jumps += 1
        self.now += CLOCK_JUMP_S
        for place, manager in enumerate(self.managers):
            if place != stopped:
                manager.tick(self.now)
                self.settle(place)

    def do_forget(self, place):
        """Step: a replica restarts without its state."""
        self.forgets += 1
        self.managers[place] = self.new_manager(place, self.now)

    def key(self):
        """Returns a hash of what distinguishes this state from others, without counters and nonces."""

        def value(v):
            return v and (v.epoch, v.step, v.state, v.txn)

        def owner(o):
            return o and (o.address, o.txn)

        def message(w):
            return w.verb, w.epoch, owner(w.owner), value(w.value), w.lease_ms > 0, w.heir, w.young

        found = []
        for manager in self.managers:
            record = manager.replica.records.get(KEY)
            found.append(
                record
                and (
                    record.epoch,
                    owner(record.owner),
                    record.by_successor,
                    record.released,
                    record.lease_left(self.now) > 0,
                    value(record.value),
                )
            )
            found.append(manager.replica.is_incomplete(self.now))
            for txn, w in sorted(manager.leases.items()):
                request = w.request
                asked = request and (
                    request.verb,
                    request.reclaims,
                    tuple(
                        sorted(
                            (a, message(x)) for a, x in (*request.accepted.items(), *request.refused.items())
                        )
                    ),
                )
                found.append(
                    (
                        txn,
                        w.as_successor,
                        w.phase,
                        w.epoch,
                        w.step,
                        w.state,
                        w.unprotected_reason,
                        w.claim_attempts,
                        asked,
                    )
                )
        live = {n for manager in self.managers for n in manager.leases_by_nonce}
        mail = Counter(
            (s, t, message(w), w.nonce in live or w.verb in (Verb.RELEASE, Verb.DROP))
            for s, t, w in self.mail
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


def shallow_copy(original):
    """Like `copy.copy` of a plain object, but much faster."""
    other = object.__new__(type(original))
    other.__dict__.update(original.__dict__)
    return other


def copy_manager(manager, leases):
    """An independent copy of a lease manager."""
    other = shallow_copy(manager)
    other.replica, other.successor = shallow_copy(manager.replica), shallow_copy(manager.successor)
    other.replica.records = {key: copy(record) for key, record in manager.replica.records.items()}
    other.replica.by_front = defaultdict(set, {a: set(keys) for a, keys in manager.replica.by_front.items()})
    other.successor.replica, other.successor.inherited = (
        other.replica,
        {k: copy(t) for k, t in manager.successor.inherited.items()},
    )
    other.successor.abandoned, other.successor.commands, other.successor.events = (
        {*manager.successor.abandoned},
        [],
        [],
    )

    def of(lease):
        if lease not in leases:
            leases[lease] = mine = shallow_copy(lease)
            if request := lease.request:
                mine.request = copy(request)
                mine.request.accepted, mine.request.refused = {**request.accepted}, {**request.refused}
        return leases[lease]

    other.leases = {txn: of(lease) for txn, lease in manager.leases.items()}
    other.leases_by_nonce = {nonce: of(lease) for nonce, lease in manager.leases_by_nonce.items()}
    other.timers = [(when, n, what, of(lease), nonce) for when, n, what, lease, nonce in manager.timers]
    other.catchup = shallow_copy(manager.catchup)
    other.catchup.replica = other.replica
    # No random number is drawn here; timers of the same time fire in the order in which they were set.
    other.timer_ids, other.sends, other.results, other.commands, other.events = (
        copy(manager.timer_ids),
        [],
        [],
        [],
        [],
    )
    return other


def search(accused, most_tries, most_jumps, most_forgets, most_states=10**7):
    """Searches all states; returns their number, the first path to two runs, and counts of final phases."""
    first = World(accused, most_tries)
    seen, pending, ends = {first.key()}, [(first, ())], Counter()
    while pending:
        before, path = pending.pop()
        for step in before.steps(most_jumps, most_forgets):
            world = before.after(*step)
            if len(world.runs) > 1:
                return len(seen), (*path, step), ends
            key = world.key()
            if key not in seen:
                seen.add(key)
                ends[tuple(world.at)] += 1
                pending.append((world, (*path, step)))
                if len(seen) >= most_states:
                    return len(seen), (), ends
    return len(seen), (), ends


def no_majority():
    """Accepts a claim on the reply of a single replica."""
    original_init = lease_manager.Lease.__init__

    def init(self, *words):
        original_init(self, *words)
        self.quorum = 1

    lease_manager.Lease.__init__ = init


def no_word_first():
    """Sends a batch that must not run twice while its dispatch is still being recorded."""
    begin_dispatch = LeaseManager.begin_dispatch
    LeaseManager.begin_dispatch = lambda self, *words: begin_dispatch(self, *words) and False


def no_epoch():
    """Makes a replica accept the put of an earlier owner after it has promised a later epoch."""
    put = Replica.put

    def put_any_epoch(self, now, message):
        record = self.records.get(message.key)
        if record and message.epoch < record.epoch:
            message = type(message)(
                message.verb,
                message.nonce,
                message.key,
                record.epoch,
                record.owner,
                message.value,
                message.lease_ms,
            )
        return put(self, now, message)

    Replica.put = put_any_epoch


def no_youth():
    """Makes a restarted replica reply as if it had lost nothing."""
    Replica.is_incomplete = lambda self, now: False


# For each model: whether the first front is reported as gone, then the submissions of each client, the jumps
# of the clock and the replicas that lose their state.
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
    for name, bounds in SMALL.items() | (DEEP.items() if deep else set()):
        states, path, ends = search(*bounds)
        figures[name] = {"states": states, "ends": len(ends)}
        if path:
            broken.append(f"two runs, {name}: {path}")
    report_and_exit("takeover_model", seed, broken, figures)


if __name__ == "__main__":
    main()
