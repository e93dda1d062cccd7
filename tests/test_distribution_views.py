"""The updates that a distributor sends to one front."""

import pytest

from test_distribution import TERM, engine, state
from thistlelever.distribution.messages import Delta, Removal
from thistlelever.distribution.replica import Outcome, Replica
from thistlelever.distribution.versions import Version
from thistlelever.distribution.views import FrontView, SentViews, difference, smallest_update, snapshot


def front_at(version, records):
    update = snapshot(version, records)
    front = Replica(strict=False)
    assert front.receive(update) is Outcome.APPLIED
    return front, FrontView().after(update)


def test_an_engine_that_leaves_the_subset_is_told_apart_from_one_that_is_gone():
    front, view = front_at(Version(TERM, 1), [engine(1), engine(2), engine(3)])
    exists = {"engine-1", "engine-2", "engine-4"}.__contains__
    wanted = [engine(1), engine(2, in_subset=False), engine(4)]
    delta = difference(view, Version(TERM, 2), wanted[:1] + wanted[2:], exists)
    assert delta.removals == (Removal("engine-2", gone=False), Removal("engine-3", gone=True))
    assert front.receive(delta) is Outcome.APPLIED
    view = view.after(delta)
    retained = difference(view, Version(TERM, 2), wanted, exists, retained=["engine-2"])
    assert retained.upserts == (wanted[1],)
    assert front.receive(retained) is Outcome.APPLIED
    assert (front.records, front.digest) == (view.after(retained).records, view.after(retained).digest)


def test_a_retained_engine_without_a_record_is_told_as_gone():
    front, view = front_at(Version(TERM, 1), [engine(1)])
    delta = difference(
        view, Version(TERM, 1), [engine(1)], lambda _: False, retained=["engine-2", "engine-2"]
    )
    assert delta.removals == (Removal("engine-2", gone=True),)
    assert front.receive(delta) is Outcome.APPLIED
    assert front.records == {"engine-1": engine(1)}


def test_a_view_may_change_at_one_version_from_its_exact_base_only():
    version = Version(TERM, 1)
    front, view = front_at(version, [engine(1), engine(2)])
    first = difference(view, version, [engine(1)], lambda _: True)
    second = difference(view.after(first), version, [engine(1), engine(3)], lambda _: True)
    before = state(front)
    assert front.receive(second) is Outcome.GAP
    assert state(front) == before
    assert front.receive(first) is Outcome.APPLIED
    assert front.receive(first) is Outcome.UNCHANGED
    assert front.receive(second) is Outcome.APPLIED
    assert front.receive(first) is Outcome.GAP
    assert front.receive(second._replace(digest=1, base_digest=second.digest)) is Outcome.DAMAGED
    assert front.receive(snapshot(version, [engine(5)])) is Outcome.APPLIED


def test_a_lost_answer_costs_no_snapshot():
    views = SentViews()
    front = Replica(strict=False)
    assert views.acknowledge(front.version, front.digest) is None
    first = snapshot(Version(TERM, 1), [engine(1)])
    views.sent(first)
    front.receive(first)
    for number in (2, 3):
        view = views.acknowledge(front.version, front.digest)
        answer = difference(view, Version(TERM, number), [engine(number)], lambda _: True)
        views.sent(answer)
    assert front.receive(answer) is Outcome.APPLIED
    assert views.acknowledge(front.version, front.digest).records == front.records
    assert views.acknowledge(Version(TERM, 1), first.digest) is None


def test_a_delta_from_another_view_is_not_remembered():
    views = SentViews()
    views.sent(snapshot(Version(TERM, 1), [engine(1)]))
    delta = Delta(Version(TERM, 1), 5, Version(TERM, 2), 5, (), ())
    with pytest.raises(ValueError, match="a delta from"):
        views.sent(delta)


def test_a_front_that_holds_the_same_records_is_told_the_version_only():
    front, _ = front_at(Version(TERM, 1), [engine(1)])
    full = snapshot(Version(TERM, 4), [engine(1)])
    update = smallest_update(full, front.version, front.digest)
    assert isinstance(update, Delta) and not update.upserts
    assert front.receive(update) is Outcome.APPLIED
    assert front.version == Version(TERM, 4)
    other = snapshot(Version(TERM, 5), [engine(2)])
    assert smallest_update(other, front.version, front.digest) is other


def test_views_share_what_they_hold_and_never_change_it():
    _, view = front_at(Version(TERM, 1), [engine(1), engine(2)])
    moved = view.after(Delta(view.version, view.digest, Version(TERM, 2), view.digest, (), ()))
    assert moved.records is view.records
    changed = view.after(difference(view, Version(TERM, 2), [engine(1)], lambda _: True))
    assert set(view.records) == {"engine-1", "engine-2"} and set(changed.records) == {"engine-1"}
