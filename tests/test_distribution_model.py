"""The policy of distribution in a world of faults: a machine that makes them in any order, and replicas with
a fault of their own that the same checks must find."""

from collections import Counter
from random import Random

import pytest
import test_distribution_world as world_module
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from test_distribution import engine
from test_distribution_world import DISTRIBUTORS, FRONTS, World
from thistlelever.distribution.claim import TERMS_PER_ROUND, Claim
from thistlelever.distribution.messages import Snapshot
from thistlelever.distribution.replica import Outcome, Replica
from thistlelever.distribution.versions import NO_VERSION

ENGINES = 6

distributors = st.integers(0, DISTRIBUTORS - 1)
fronts = st.integers(0, FRONTS - 1)
engines = st.integers(0, ENGINES - 1)
positions = st.integers(0, 20)


class Distribution(RuleBasedStateMachine):
    """Any order of publishes, claims, deliveries, losses, restarts and restores."""

    replica_class = Replica

    def __init__(self):
        super().__init__()
        self.world = World(self.replica_class)
        self.world.promote(0)

    @rule(index=distributors, number=engines, weight=st.integers(1, 3), draining=st.booleans())
    def publish_upsert(self, index, number, weight, draining):
        self.world.publish(index, [engine(number, weight=float(weight), draining=draining)], [])

    @rule(index=distributors, number=engines, removed=engines)
    def publish_removal(self, index, number, removed):
        upserts = [] if number == removed else [engine(number)]
        self.world.publish(index, upserts, [f"engine-{removed}"])

    @rule(index=distributors)
    def claim(self, index):
        self.world.start_claim(index)

    @rule(index=distributors, other=distributors)
    def hear(self, index, other):
        self.world.ask_for_highest(index, other)

    @rule(index=distributors, other=distributors)
    def promise(self, index, other):
        self.world.ask_for_promise(index, other)

    @rule(index=distributors)
    def whole_claim(self, index):
        self.world.promote(index)

    @rule(index=distributors, source=distributors)
    def pull(self, index, source):
        self.world.pull(index, source)

    @rule(number=fronts, index=distributors)
    def watch(self, number, index):
        self.world.watch(number, index)

    @rule(position=positions)
    def deliver(self, position):
        self.world.deliver(position)

    @rule(count=st.integers(1, 4))
    def deliver_in_order(self, count):
        for _ in range(count):
            self.world.deliver(0)

    @rule(position=positions)
    def lose(self, position):
        self.world.lose(position)

    @rule(position=positions)
    def double(self, position):
        self.world.double(position)

    @rule(position=positions)
    def deliver_damaged(self, position):
        self.world.damage(position)
        self.world.deliver(position)

    @rule(number=fronts, index=distributors, damaged=st.booleans())
    def watch_and_hear_at_once(self, number, index, damaged):
        self.world.watch(number, index)
        if damaged:
            self.world.damage(-1)
        self.world.deliver(-1)

    @rule(index=distributors)
    def back_up(self, index):
        self.world.back_up(index)

    @rule(index=distributors)
    def restart_distributor(self, index):
        self.world.restart(index)

    @rule(index=distributors)
    def restore(self, index):
        self.world.restore(index)

    @rule(number=fronts)
    def restart_front(self, number):
        self.world.fronts[number].restart()

    @rule(number=fronts, engine_number=engines)
    def last_query_ends(self, number, engine_number):
        self.world.fronts[number].retained.discard(f"engine-{engine_number}")

    @invariant()
    def everybody_holds_what_the_book_says(self):
        self.world.check()

    def teardown(self):
        self.world.heal()


TestDistribution = Distribution.TestCase
TestDistribution.settings = settings(
    max_examples=60,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def distributor(chance):
    return chance.randrange(DISTRIBUTORS)


def front(chance):
    return chance.randrange(FRONTS)


def position(chance):
    """Mostly the oldest under way, at times the newest or any."""
    return chance.choice([0, 0, 0, -1, chance.randrange(100)])


def publish_by_all(world, chance):
    """Everybody who believes that it is the publisher publishes the same change."""
    record = engine(chance.randrange(ENGINES), weight=float(chance.randrange(1, 5)))
    removed_ids = [f"engine-{chance.randrange(ENGINES)}"] if chance.random() < 0.3 else []
    upserts = [] if record.id in removed_ids else [record]
    for index in range(DISTRIBUTORS):
        world.publish(index, upserts, removed_ids)


def deliver_damaged(world, chance):
    where = position(chance)
    world.damage(where)
    world.deliver(where)


def last_query_ends(world, chance):
    world.fronts[front(chance)].retained.discard(f"engine-{chance.randrange(ENGINES)}")


# What a walk does, each with how often.
STEPS = {
    publish_by_all: 8,
    lambda world, chance: world.deliver(position(chance)): 20,
    lambda world, chance: world.watch(front(chance), distributor(chance)): 10,
    lambda world, chance: world.pull(distributor(chance), distributor(chance)): 4,
    lambda world, chance: world.lose(position(chance)): 3,
    lambda world, chance: world.double(position(chance)): 2,
    deliver_damaged: 3,
    lambda world, chance: world.promote(distributor(chance)): 1,
    lambda world, chance: world.start_claim(distributor(chance)): 2,
    lambda world, chance: world.ask_for_highest(distributor(chance), distributor(chance)): 3,
    lambda world, chance: world.ask_for_promise(distributor(chance), distributor(chance)): 3,
    lambda world, chance: world.back_up(distributor(chance)): 1,
    lambda world, chance: world.restart(distributor(chance)): 1,
    lambda world, chance: world.restore(distributor(chance)): 1,
    lambda world, chance: world.fronts[front(chance)].restart(): 1,
    last_query_ends: 1,
}


def walk(seed, replica_class=Replica, length=200):
    """A world after so many steps, checked after each, and healed at the end."""
    chance = Random(seed)
    world = World(replica_class)
    world.promote(0)
    for step in chance.choices(list(STEPS), STEPS.values(), k=length):
        step(world, chance)
        world.check()
    world.heal()
    return world


def test_walks_through_all_faults_keep_what_must_hold():
    outcomes, versions, terms, retained = Counter(), 0, 0, 0
    for seed in range(60):
        world = walk(seed)
        outcomes += world.outcomes
        versions += len(world.book)
        terms += len({version.term for version in world.book})
        retained += world.retained_records_seen
    # The walks have met what they are for.
    assert versions > 600 and terms > 100 and retained > 50
    expected = {(kind, outcome) for kind in ("Delta", "Snapshot") for outcome in Outcome}
    impossible = {(kind, Outcome.CONFLICT) for kind in ("Delta", "Snapshot")} | {("Snapshot", Outcome.GAP)}
    assert {met for met, count in outcomes.items() if count >= 10} == expected - impossible


class IgnoresTheBase(Replica):
    """Applies any delta that is newer, and takes the announced digest on trust."""

    def _holds_base(self, delta):
        return True

    def _digest_after(self, delta):
        return delta.digest


class AcceptsOlderVersions(Replica):
    """Has no floor, neither by what it holds nor by what it was given."""

    def highest(self):
        return NO_VERSION


class TrustsTheDigest(Replica):
    """Takes the announced digest of a delta on trust."""

    def _digest_after(self, delta):
        return delta.digest


class ForgetsItsFloor(Replica):
    """Promises nothing, and goes back behind what it had before a restart."""

    def highest(self):
        return self.version


class AppliesByHalves(Replica):
    """Applies the upserts before it finds a fault."""

    def _receive_delta(self, delta):
        if self._holds_base(delta) and self._digest_after(delta) != delta.digest:
            self.records.update({record.id: record for record in delta.upserts})
        return super()._receive_delta(delta)


class TakesAnySnapshot(Replica):
    """Does not look at a snapshot's digest."""

    def _receive_snapshot(self, snapshot):
        held = Snapshot(self.version, self.digest, ())
        if (snapshot.version, snapshot.digest) == (held.version, held.digest):
            return Outcome.UNCHANGED
        self.records = {record.id: record for record in snapshot.records}
        self.version, self.digest = snapshot.version, snapshot.digest
        return Outcome.APPLIED


@pytest.mark.parametrize(
    "faulty",
    [
        IgnoresTheBase,
        AcceptsOlderVersions,
        TrustsTheDigest,
        ForgetsItsFloor,
        AppliesByHalves,
        TakesAnySnapshot,
    ],
)
def test_a_replica_with_a_fault_is_found(faulty):
    with pytest.raises(AssertionError):
        for seed in range(100):
            walk(seed, faulty)


def without_own_term(claim):
    return (claim.highest().term // TERMS_PER_ROUND + 1) * TERMS_PER_ROUND


def with_one_promise(claim):
    return claim._index if claim._promises else None


@pytest.mark.parametrize(
    "target, name, faulty",
    [
        (Claim, "_next_term", without_own_term),
        (Claim, "_has_quorum", lambda claim: bool(claim._responders)),
        (Claim, "newest_holder", with_one_promise),
        (world_module, "promise", lambda replica, term: True),
    ],
    ids=["terms are shared", "no majority is heard", "no majority promises", "promises are not kept"],
)
def test_a_claim_with_a_fault_is_found(monkeypatch, target, name, faulty):
    monkeypatch.setattr(target, name, faulty)
    with pytest.raises(AssertionError, match="two contents of"):
        for seed in range(100):
            walk(seed)
