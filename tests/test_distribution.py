"""Distribution of the engine list: versions, digests, lost or damaged updates, lagging senders and the
history."""

from random import Random

import pytest

from thistlelever.distribution import replica as replica_module
from thistlelever.distribution.history import History
from thistlelever.distribution.messages import Delta, Removal
from thistlelever.distribution.publisher import Publisher
from thistlelever.distribution.records import EMPTY_DIGEST, EngineRecord, digest_of, record_digest
from thistlelever.distribution.replica import Outcome, Replica
from thistlelever.distribution.versions import NO_VERSION, Version, parse, unpacked

TERM = 64
LATER_TERM = 129


def engine(number, **changes):
    record = EngineRecord(
        id=f"engine-{number}",
        zone=f"zone-{number % 3}",
        cell=number % 2,
        kind="small",
        address=f"10.{number // 62_500}.{number // 250 % 250}.{number % 250}:7000",
        draining=False,
        started=1000.0,
        weight=1.0,
    )
    return record._replace(**changes)


def publisher_of(count, term=TERM, max_changes=100):
    publisher = Publisher(Replica(), History(max_changes), term)
    publisher.replace_all([engine(number) for number in range(count)], None)
    return publisher


def follower_of(publisher):
    follower = Replica()
    assert follower.receive(publisher.replica.snapshot()) is Outcome.APPLIED
    return follower


def state(replica):
    return replica.version, replica.digest, dict(replica.records)


def drain(publisher, number):
    return publisher.publish([engine(number, draining=True)], [], None)


def same_content(one, other):
    return state(one) == state(other) and one.digest == digest_of(one.records.values())


# Versions, records, digests.


def test_versions_are_ordered_by_term_then_number_and_come_back_as_written():
    versions = [NO_VERSION, Version(64, 1), Version(64, 2), Version(65, 1)]
    assert versions == sorted(versions)
    assert [unpacked(version.packed()) for version in versions] == versions
    assert [parse(str(version)) for version in versions] == versions


@pytest.mark.parametrize("text", ["", "64", "64.", ".1", "64.x", "-1.2"])
def test_what_is_no_version_is_refused(text):
    with pytest.raises(ValueError, match="TERM.NUMBER"):
        parse(text)


def test_the_digest_depends_on_every_field_and_not_on_the_order():
    records = [engine(1), engine(2)]
    assert digest_of(records) == digest_of(reversed(records))
    changes = {"id": "x", "zone": "x", "cell": 9, "kind": "x", "address": "10.9.9.9:1", "draining": True}
    changes |= {"started": 2.0, "weight": 2.0, "in_subset": False}
    assert set(changes) == set(EngineRecord._fields)
    digests = {record_digest(engine(1, **{field: value})) for field, value in changes.items()}
    assert len(digests | {record_digest(engine(1))}) == len(changes) + 1


def test_texts_that_read_alike_when_joined_have_other_digests():
    pairs = [("ab", "c"), ("a", "bc"), ("", "abc"), ("abc", ""), ("1:a", ""), ("", "1:a")]
    assert len({record_digest(engine(1, id=first, zone=second)) for first, second in pairs}) == len(pairs)


# Deltas that are lost, duplicated, reordered or damaged.


def test_a_lost_delta_is_a_gap_and_the_history_closes_it():
    publisher = publisher_of(5)
    follower = follower_of(publisher)
    drain(publisher, 1)
    before = state(follower)
    assert follower.receive(drain(publisher, 2)) is Outcome.GAP
    assert state(follower) == before
    assert follower.receive(publisher.history.since(follower.version, follower.digest)) is Outcome.APPLIED
    assert same_content(follower, publisher.replica)


def test_a_doubled_delta_changes_nothing():
    publisher = publisher_of(5)
    follower = follower_of(publisher)
    delta = drain(publisher, 1)
    assert [follower.receive(delta), follower.receive(delta)] == [Outcome.APPLIED, Outcome.UNCHANGED]
    assert same_content(follower, publisher.replica)


def test_deltas_out_of_order_are_a_gap_and_then_stale():
    publisher = publisher_of(5)
    follower = follower_of(publisher)
    first, second, third = (drain(publisher, number) for number in (1, 2, 3))
    outcomes = [follower.receive(delta) for delta in (second, first, third, second, first)]
    assert outcomes == [Outcome.GAP, Outcome.APPLIED, Outcome.GAP, Outcome.APPLIED, Outcome.STALE]
    assert follower.receive(third) is Outcome.APPLIED
    assert same_content(follower, publisher.replica)


def test_a_damaged_delta_changes_nothing():
    publisher = publisher_of(5)
    follower = follower_of(publisher)
    delta = publisher.publish([engine(1, weight=2.0), engine(9)], ["engine-2"], None)
    before = state(follower)
    for damaged in (
        delta._replace(upserts=delta.upserts[:1]),
        delta._replace(upserts=(*delta.upserts, delta.upserts[0])),
        delta._replace(upserts=(*delta.upserts, engine(2))),
        delta._replace(removals=()),
        delta._replace(removals=(*delta.removals, Removal("engine-3", True))),
        delta._replace(upserts=(engine(1, weight=3.0), engine(9))),
        delta._replace(digest=delta.digest ^ 1),
    ):
        assert follower.receive(damaged) is Outcome.DAMAGED
        assert state(follower) == before
    assert follower.receive(delta) is Outcome.APPLIED


def test_a_damaged_snapshot_changes_nothing():
    publisher = publisher_of(5)
    follower = follower_of(publisher)
    drain(publisher, 1)
    whole = publisher.replica.snapshot()
    before = state(follower)
    for damaged in (
        whole._replace(records=whole.records[1:]),
        whole._replace(records=(*whole.records, whole.records[0])),
        whole._replace(digest=whole.digest ^ 1),
    ):
        assert follower.receive(damaged) is Outcome.DAMAGED
        assert state(follower) == before
    assert follower.receive(whole) is Outcome.APPLIED


def test_a_delta_against_the_same_version_with_another_digest_is_a_gap():
    publisher = publisher_of(5)
    follower = follower_of(publisher)
    delta = drain(publisher, 1)
    assert follower.receive(delta._replace(base_digest=delta.base_digest ^ 1)) is Outcome.GAP


def test_a_delta_without_records_moves_the_version_only():
    publisher = publisher_of(5)
    follower = follower_of(publisher)
    records = follower.records
    successor = Publisher(follower_of(publisher), History(10), LATER_TERM)
    delta = successor.begin()
    assert (delta.upserts, delta.removals) == ((), ())
    assert follower.receive(delta) is Outcome.APPLIED
    assert follower.version == Version(LATER_TERM, 2)
    assert follower.records is records


def test_an_empty_delta_with_another_digest_is_damaged():
    follower = follower_of(publisher_of(5))
    version = follower.version._replace(number=9)
    delta = Delta(follower.version, follower.digest, version, follower.digest ^ 1, (), ())
    assert follower.receive(delta) is Outcome.DAMAGED


def test_a_delta_costs_by_its_size_and_not_by_the_content(monkeypatch):
    publisher = publisher_of(5_000)
    follower = follower_of(publisher)
    delta = drain(publisher, 1)
    hashed = []
    monkeypatch.setattr(replica_module, "record_digest", lambda r: hashed.append(r.id) or record_digest(r))
    monkeypatch.setattr(replica_module, "digest_of", None)
    follower.records = NeverIterated(follower.records)
    assert follower.receive(delta) is Outcome.APPLIED
    assert hashed == ["engine-1", "engine-1"]


class NeverIterated(dict):
    """A dict that fails the test on iteration over the whole content."""

    def _refuse(self, *_):
        raise AssertionError("iterated over the whole content")

    __iter__ = keys = values = items = copy = _refuse


# Senders and receivers that lag behind.


def test_an_older_distributor_is_stale_for_a_front_that_is_ahead():
    publisher = publisher_of(5)
    behind = publisher.replica.snapshot()
    drain(publisher, 1)
    front = Replica(strict=False)
    front.receive(publisher.replica.snapshot())
    before = state(front)
    assert front.receive(behind) is Outcome.STALE
    assert state(front) == before


def test_a_distributor_restored_to_an_older_version_is_stale_until_it_has_caught_up():
    publisher = publisher_of(5)
    backup = publisher.replica.snapshot()
    front = Replica(strict=False)
    front.receive(backup)
    front.receive(drain(publisher, 1))
    restored = Replica()
    restored.receive(backup)
    assert front.receive(restored.snapshot()) is Outcome.STALE
    restored.receive(publisher.history.since(restored.version, restored.digest))
    assert front.receive(restored.snapshot()) is Outcome.UNCHANGED


def test_a_restarted_front_does_not_go_back_behind_its_floor():
    publisher = publisher_of(5)
    behind = publisher.replica.snapshot()
    drain(publisher, 1)
    front = Replica(strict=False, floor=publisher.replica.version)
    assert front.receive(behind) is Outcome.STALE
    assert front.records == {}
    assert front.receive(publisher.replica.snapshot()) is Outcome.APPLIED


def test_a_receiver_behind_by_more_than_is_kept_needs_a_snapshot():
    publisher = publisher_of(5, max_changes=3)
    follower = follower_of(publisher)
    for number in range(4):
        drain(publisher, number)
    assert publisher.history.since(follower.version, follower.digest) is None
    assert follower.receive(publisher.replica.snapshot()) is Outcome.APPLIED
    assert same_content(follower, publisher.replica)


def test_a_receiver_of_the_same_version_with_another_digest_needs_a_snapshot():
    publisher = publisher_of(5)
    version, digest = publisher.replica.version, publisher.replica.digest
    drain(publisher, 1)
    assert publisher.history.since(version, digest) is not None
    assert publisher.history.since(version, digest ^ 1) is None


def test_two_contents_of_one_version_are_a_conflict_until_the_next_version():
    one, other = publisher_of(5), publisher_of(6)
    follower = follower_of(one)
    before = state(follower)
    assert follower.receive(other.replica.snapshot()) is Outcome.CONFLICT
    first = Delta(NO_VERSION, EMPTY_DIGEST, other.replica.version, other.replica.digest, (), ())
    assert follower.receive(first) is Outcome.CONFLICT
    assert state(follower) == before
    assert follower.receive(drain(other, 1)) is Outcome.GAP
    assert follower.receive(other.replica.snapshot()) is Outcome.APPLIED


# History.


def test_the_merged_difference_has_the_last_word_on_each_id():
    publisher = publisher_of(5)
    start = follower_of(publisher)
    publisher.publish([engine(7), engine(1, weight=2.0)], [], None)
    publisher.publish([engine(1, weight=3.0)], ["engine-7", "engine-2"], None)
    publisher.publish([engine(2, weight=4.0)], ["engine-3"], None)
    merged = publisher.history.since(start.version, start.digest)
    assert {(record.id, record.weight) for record in merged.upserts} == {("engine-1", 3.0), ("engine-2", 4.0)}
    assert {removal.id for removal in merged.removals} == {"engine-7", "engine-3"}
    assert all(removal.gone for removal in merged.removals)
    assert start.receive(merged) is Outcome.APPLIED
    assert same_content(start, publisher.replica)


def test_a_history_gives_the_delta_from_every_version_that_it_keeps():
    publisher = publisher_of(8, max_changes=6)
    followers = [follower_of(publisher)]
    for step in range(12):
        publisher.publish([engine(step % 8, weight=1.5 + step)], [f"engine-{(step + 3) % 8}"], None)
        followers.append(follower_of(publisher))
    deltas = [publisher.history.since(follower.version, follower.digest) for follower in followers]
    assert [delta is not None for delta in deltas] == [False] * 6 + [True] * 7
    for follower, delta in zip(followers[6:-1], deltas[6:-1], strict=True):
        assert follower.receive(delta) is Outcome.APPLIED
        assert same_content(follower, publisher.replica)
    assert followers[-1].receive(deltas[-1]) is Outcome.UNCHANGED


def test_a_history_bounds_its_changes_and_their_records():
    replica, history = Replica(), History(max_changes=10, max_records=20)
    publisher = Publisher(replica, history, TERM)
    for step in range(30):
        publisher.publish([engine(number, weight=1.0 + step) for number in range(7)], [], None)
        assert len(history) <= 10 and history.record_count <= 20
    assert len(history) == 2
    publisher.publish([engine(number, weight=99.0) for number in range(21)], [], None)
    assert (len(history), history.record_count) == (0, 0)
    assert history.since(replica.version, replica.digest).upserts == ()
    drain(publisher, 1)
    assert len(history) == 1


def test_a_history_refuses_a_change_that_does_not_follow_and_starts_anew_when_cleared():
    publisher = publisher_of(5)
    history = History(10)
    history.append(drain(publisher, 1))
    version, digest = publisher.replica.version, publisher.replica.digest
    drain(publisher, 2)
    skipped = drain(publisher, 3)
    with pytest.raises(ValueError, match="expected"):
        history.append(skipped)
    history.clear()
    history.append(skipped)
    assert history.since(version, digest) is None
    assert history.since(skipped.base, skipped.base_digest) == skipped


# Overlapping changes, and a distributor that fails.


@pytest.mark.parametrize("seed", range(5))
def test_a_change_every_step_while_the_former_still_spread(seed):
    rng = Random(seed)
    publisher = publisher_of(40)
    followers = [follower_of(publisher) for _ in range(4)]
    late = [[] for _ in followers]
    snapshots = 0
    for step in range(200):
        delta = publisher.publish([engine(step % 40, weight=2.0 + step)], [], None)
        for follower, waiting in zip(followers, late, strict=True):
            waiting.append(delta)
            if len(waiting) < 5 + rng.randrange(20):
                continue
            rng.shuffle(waiting)
            outcomes = [follower.receive(waiting.pop()) for _ in range(len(waiting) // 2)]
            if Outcome.GAP in outcomes:
                missing = publisher.history.since(follower.version, follower.digest)
                snapshots += missing is None
                follower.receive(missing or publisher.replica.snapshot())
                assert same_content(follower, publisher.replica)
    assert snapshots == 0


def test_a_distributor_that_dies_half_way_through_a_change():
    publisher = publisher_of(5)
    dying, informed, behind = (follower_of(publisher) for _ in range(3))
    fronts = [Replica(strict=False) for _ in range(4)]
    for front in fronts:
        front.receive(dying.snapshot())
    delta = drain(publisher, 1)
    dying.receive(delta)
    informed.receive(delta)
    for front in fronts[:2]:
        assert front.receive(delta) is Outcome.APPLIED
    assert [front.receive(behind.snapshot()) for front in fronts] == [
        Outcome.STALE,
        Outcome.STALE,
        Outcome.UNCHANGED,
        Outcome.UNCHANGED,
    ]
    assert [front.receive(informed.snapshot()) for front in fronts] == [
        Outcome.UNCHANGED,
        Outcome.UNCHANGED,
        Outcome.APPLIED,
        Outcome.APPLIED,
    ]
    assert all(same_content(front, publisher.replica) for front in fronts)
