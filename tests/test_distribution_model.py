"""Randomized tests of the distribution policy: a state machine and random walks that inject faults in any
order.

The same checks must also detect replicas and claims with a deliberate fault.
"""

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
    """Publishes, claims, deliveries, losses, restarts and restores in any order."""

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
    def ask_for_highest(self, index, other):
        self.world.ask_for_highest(index, other)

    @rule(index=distributors, other=distributors)
    def ask_for_promise(self, index, other):
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
    def duplicate(self, position):
        self.world.duplicate(position)

    @rule(position=positions)
    def deliver_damaged(self, position):
        self.world.damage(position)
        self.world.deliver(position)

    @rule(number=fronts, index=distributors, damaged=st.booleans())
    def watch_and_deliver_at_once(self, number, index, damaged):
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
    def contents_match_published_versions(self):
        self.world.check()

    def teardown(self):
        self.world.converge()


TestDistribution = Distribution.TestCase
TestDistribution.settings = settings(
    max_examples=60,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def distributor(rng):
    return rng.randrange(DISTRIBUTORS)


def front(rng):
    return rng.randrange(FRONTS)


def position(rng):
    """Mostly the oldest update in transit, sometimes the newest or any."""
    return rng.choice([0, 0, 0, -1, rng.randrange(100)])


def publish_by_all(world, rng):
    """Every distributor that considers itself the publisher publishes the same change."""
    record = engine(rng.randrange(ENGINES), weight=float(rng.randrange(1, 5)))
    removed_ids = [f"engine-{rng.randrange(ENGINES)}"] if rng.random() < 0.3 else []
    upserts = [] if record.id in removed_ids else [record]
    for index in range(DISTRIBUTORS):
        world.publish(index, upserts, removed_ids)


def deliver_damaged(world, rng):
    where = position(rng)
    world.damage(where)
    world.deliver(where)


def last_query_ends(world, rng):
    world.fronts[front(rng)].retained.discard(f"engine-{rng.randrange(ENGINES)}")


# The steps of a walk, with their weights.
STEPS = {
    publish_by_all: 8,
    lambda world, rng: world.deliver(position(rng)): 20,
    lambda world, rng: world.watch(front(rng), distributor(rng)): 10,
    lambda world, rng: world.pull(distributor(rng), distributor(rng)): 4,
    lambda world, rng: world.lose(position(rng)): 3,
    lambda world, rng: world.duplicate(position(rng)): 2,
    deliver_damaged: 3,
    lambda world, rng: world.promote(distributor(rng)): 1,
    lambda world, rng: world.start_claim(distributor(rng)): 2,
    lambda world, rng: world.ask_for_highest(distributor(rng), distributor(rng)): 3,
    lambda world, rng: world.ask_for_promise(distributor(rng), distributor(rng)): 3,
    lambda world, rng: world.back_up(distributor(rng)): 1,
    lambda world, rng: world.restart(distributor(rng)): 1,
    lambda world, rng: world.restore(distributor(rng)): 1,
    lambda world, rng: world.fronts[front(rng)].restart(): 1,
    last_query_ends: 1,
}


def walk(seed, replica_class=Replica, length=200):
    """Runs `length` random steps with a check after each, then lets the world converge without faults."""
    rng = Random(seed)
    world = World(replica_class)
    world.promote(0)
    for step in rng.choices(list(STEPS), STEPS.values(), k=length):
        step(world, rng)
        world.check()
    world.converge()
    return world


def test_walks_through_all_faults_keep_what_must_hold():
    outcomes, versions, terms, retained = Counter(), 0, 0, 0
    for seed in range(60):
        world = walk(seed)
        outcomes += world.outcomes
        versions += len(world.published)
        terms += len({version.term for version in world.published})
        retained += world.retained_records_checked
    # The walks have covered every outcome, many terms, and retained engines.
    assert versions > 600 and terms > 100 and retained > 50
    expected = {(kind, outcome) for kind in ("Delta", "Snapshot") for outcome in Outcome}
    impossible = {(kind, Outcome.CONFLICT) for kind in ("Delta", "Snapshot")} | {("Snapshot", Outcome.GAP)}
    assert {pair for pair, count in outcomes.items() if count >= 10} == expected - impossible


class IgnoresBase(Replica):
    """Applies any newer delta, whatever its base, without checking the digest."""

    def _holds_base(self, delta):
        return True

    def _digest_after(self, delta):
        return delta.digest


class AcceptsOlderVersions(Replica):
    """Accepts versions below the one held and below the floor."""

    def highest(self):
        return NO_VERSION


class IgnoresDeltaDigest(Replica):
    """Does not check the digest of a delta."""

    def _digest_after(self, delta):
        return delta.digest


class IgnoresFloor(Replica):
    """Ignores its floor: breaks promises, and accepts versions older than those held before a restart."""

    def highest(self):
        return self.version


class AppliesBeforeChecking(Replica):
    """Applies the upserts before it checks the digest."""

    def _receive_delta(self, delta):
        if self._holds_base(delta) and self._digest_after(delta) != delta.digest:
            self.records.update({record.id: record for record in delta.upserts})
        return super()._receive_delta(delta)


class IgnoresSnapshotDigest(Replica):
    """Does not check the digest of a snapshot."""

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
        IgnoresBase,
        AcceptsOlderVersions,
        IgnoresDeltaDigest,
        IgnoresFloor,
        AppliesBeforeChecking,
        IgnoresSnapshotDigest,
    ],
)
def test_a_replica_with_a_fault_is_found(faulty):
    with pytest.raises(AssertionError):
        for seed in range(100):
            walk(seed, faulty)


def shared_next_term(claim):
    return (claim.highest().term // TERMS_PER_ROUND + 1) * TERMS_PER_ROUND


def newest_holder_of_one_promise(claim):
    return claim._index if claim._promises else None


@pytest.mark.parametrize(
    "target, name, faulty",
    [
        (Claim, "_next_term", shared_next_term),
        (Claim, "_has_quorum", lambda claim: bool(claim._responders)),
        (Claim, "newest_holder", newest_holder_of_one_promise),
        (world_module, "promise", lambda replica, term: True),
    ],
    ids=["terms are shared", "no majority is heard", "no majority promises", "promises are not kept"],
)
def test_a_claim_with_a_fault_is_found(monkeypatch, target, name, faulty):
    monkeypatch.setattr(target, name, faulty)
    with pytest.raises(AssertionError, match="two contents of"):
        for seed in range(100):
            walk(seed)
