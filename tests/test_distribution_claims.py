"""Claims to the publisher's role: terms, promises, concurrent publishers, and publishers restored from a
backup."""

import pytest

from test_distribution import drain, engine, publisher_of, same_content
from test_distribution_publishing import expect_refusal
from thistlelever.distribution.claim import Claim, catch_up, majority, promise
from thistlelever.distribution.history import History
from thistlelever.distribution.messages import Snapshot
from thistlelever.distribution.publisher import Publisher, SupersededError
from thistlelever.distribution.records import EMPTY_DIGEST
from thistlelever.distribution.replica import Outcome, Replica
from thistlelever.distribution.versions import NO_VERSION, Version


def complete_claim(index, replicas, asked):
    """Runs a whole claim that asks the distributors `asked`; returns the publisher, or None without a
    majority."""
    claim = Claim(index, len(replicas))
    for other in asked:
        claim.record_highest(other, replicas[other].highest())
    term = claim.term()
    for other in asked:
        if term is not None and promise(replicas[other], term):
            claim.record_promise(other, replicas[other].version)
    if claim.newest_holder() is None:
        return None
    catch_up(replicas[index], replicas[claim.newest_holder()].snapshot())
    return Publisher(replicas[index], History(100), term)


def test_a_claim_waits_for_a_majority():
    assert [majority(count) for count in (1, 2, 3, 4, 24)] == [1, 2, 2, 3, 13]
    claim = Claim(2, 5)
    claim.record_highest(2, Version(64, 3))
    claim.record_highest(2, Version(64, 3))
    claim.record_highest(4, Version(131, 1))
    assert claim.term() is None
    claim.record_highest(0, NO_VERSION)
    assert claim.term() == 3 * 64 + 2
    claim.record_highest(3, Version(192, 1))
    assert claim.term() == 4 * 64 + 2


def test_the_first_promise_fixes_the_term():
    claim = Claim(0, 3)
    with pytest.raises(ValueError, match="before there is a term"):
        claim.record_promise(0, NO_VERSION)
    claim.record_highest(0, NO_VERSION)
    claim.record_highest(1, NO_VERSION)
    claim.record_promise(0, NO_VERSION)
    assert (claim.term(), claim.superseded()) == (64, False)
    claim.observe(Version(130, 0))
    assert (claim.term(), claim.superseded()) == (64, True)
    successor = Claim(0, 3)
    successor.observe(claim.highest())
    successor.record_highest(0, Version(64, 0))
    assert successor.term() is None
    successor.record_highest(1, NO_VERSION)
    assert successor.term() == 192


def test_claimants_never_share_a_term():
    terms = set()
    for round_ in range(5):
        for index in range(24):
            claim = Claim(index, 24)
            for other in range(13):
                claim.record_highest(other, Version(round_ * 64 + other, 7))
            terms.add(claim.term())
    assert len(terms) == 5 * 24


def test_a_claim_of_one_that_may_have_forgotten_does_not_count_its_own_answer():
    claim = Claim(0, 3, promises_intact=False)
    claim.record_highest(0, NO_VERSION)
    claim.record_highest(1, NO_VERSION)
    assert claim.term() is None
    claim.record_highest(2, Version(64, 5))
    assert claim.term() == 128
    of_many = Claim(0, 24, promises_intact=False)
    for other in range(12):
        of_many.record_highest(other, NO_VERSION)
    assert of_many.term() is None
    of_many.record_highest(12, NO_VERSION)
    assert of_many.term() == 64
    alone = Claim(0, 1, promises_intact=False)
    alone.record_highest(0, Version(64, 2))
    assert alone.term() == 128


def test_of_two_that_believe_they_may_publish_the_later_prevails():
    replicas = [Replica() for _ in range(3)]
    former = complete_claim(0, replicas, [0, 1])
    first = former.replace_all([engine(number) for number in range(5)], None)
    replicas[1].receive(first)
    successor = complete_claim(2, replicas, [1, 2])
    lost = drain(former, 1)
    assert replicas[1].receive(lost) is Outcome.STALE
    change = successor.publish([engine(2, weight=2.0)], [], None)
    assert replicas[1].receive(change) is Outcome.APPLIED
    former.observe(replicas[1].highest())
    expect_refusal(former, lambda: drain(former, 3), SupersededError)
    expect_refusal(former, former.begin, SupersededError)
    assert former.replica.receive(change) is Outcome.GAP
    assert former.replica.receive(replicas[1].snapshot()) is Outcome.APPLIED
    assert same_content(replicas[0], replicas[2]) and same_content(replicas[1], replicas[2])


def test_a_change_that_a_majority_holds_survives_the_claim_of_one_that_lacks_it():
    replicas = [Replica() for _ in range(3)]
    former = complete_claim(0, replicas, [0, 1, 2])
    first = former.replace_all([engine(number) for number in range(5)], None)
    replicas[1].receive(first)
    replicas[2].receive(first)
    replicas[1].receive(drain(former, 4))
    successor = complete_claim(2, replicas, [1, 2])
    assert successor.replica.records["engine-4"].draining
    assert successor.begin().version.term == successor.term


def test_catching_up_goes_below_the_floor_once_and_leaves_it_in_place():
    publisher = publisher_of(5)
    replica = Replica()
    replica.receive(publisher.replica.snapshot())
    delta = drain(publisher, 1)
    assert promise(replica, 130)
    assert replica.receive(delta) is Outcome.STALE
    assert catch_up(replica, delta) is Outcome.APPLIED
    assert replica.highest() == Version(130, 0)
    assert replica.receive(drain(publisher, 2)) is Outcome.STALE
    assert not promise(replica, 129)
    assert catch_up(replica, Snapshot(Version(1, 1), EMPTY_DIGEST, ())) is Outcome.STALE


def test_a_publisher_whose_distributor_promised_a_higher_term_publishes_no_more():
    replicas = [Replica() for _ in range(3)]
    former = complete_claim(0, replicas, [0, 1])
    former.replace_all([engine(1)], None)
    assert complete_claim(2, replicas, [0, 2]) is not None
    expect_refusal(former, lambda: drain(former, 1), SupersededError)


def test_a_promise_holds_against_lower_terms_and_may_be_asked_again():
    replica = Replica()
    assert promise(replica, 130) and promise(replica, 130)
    assert not promise(replica, 129)
    assert replica.receive(Snapshot(Version(129, 1), EMPTY_DIGEST, ())) is Outcome.STALE
    replica.receive(Snapshot(Version(130, 1), EMPTY_DIGEST, ()))
    assert not promise(replica, 130)


def test_a_publisher_restored_from_a_backup_claims_a_higher_term():
    replicas = [Replica() for _ in range(3)]
    publisher = complete_claim(0, replicas, [0, 1])
    backup = publisher.replica.snapshot()
    publisher.replace_all([engine(number) for number in range(5)], None)
    replicas[1].receive(publisher.replica.snapshot())
    replicas[0] = Replica()
    replicas[0].receive(backup)
    claim = Claim(0, 3, promises_intact=False)
    for other in (1, 2):
        claim.record_highest(other, replicas[other].highest())
    assert claim.term() > publisher.term
    with pytest.raises(ValueError, match="a term above"):
        Publisher(replicas[1], History(10), publisher.term)


def test_a_restored_publisher_that_counted_its_own_answer_would_take_its_former_term():
    replicas = [Replica() for _ in range(3)]
    publisher = complete_claim(0, replicas, [0, 1])
    replicas[0] = Replica()
    terms = {}
    for promises_intact in (True, False):
        claim = Claim(0, 3, promises_intact=promises_intact)
        for other in (0, 2):
            claim.record_highest(other, replicas[other].highest())
        terms[promises_intact] = claim.term()
    assert terms == {True: publisher.term, False: None}


def test_a_version_of_its_own_term_that_it_never_made_supersedes_a_restored_publisher():
    restored = publisher_of(5)
    former = publisher_of(5)
    drain(former, 1)
    restored.observe(former.replica.version)
    expect_refusal(restored, lambda: drain(restored, 2), SupersededError)
