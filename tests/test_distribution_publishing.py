"""Publishing: which changes are refused, leaving the present version, and what an accepted change
contains."""

import math

import pytest

from test_distribution import NeverIterated, engine, follower_of, publisher_of, state
from thistlelever.distribution import publisher as publisher_module
from thistlelever.distribution import validation
from thistlelever.distribution.messages import Removal
from thistlelever.distribution.publisher import PublishRefusedError, UnexpectedVersionError, validate
from thistlelever.distribution.records import EngineRecord
from thistlelever.distribution.replica import Outcome
from thistlelever.distribution.validation import MAX_RECORDS, MAX_RECORDS_PER_CHANGE


def expect_refusal(publisher, call, error=PublishRefusedError):
    before, kept = state(publisher.replica), len(publisher.history)
    with pytest.raises(error) as refusal:
        call()
    assert state(publisher.replica) == before
    assert len(publisher.history) == kept
    return str(refusal.value)


@pytest.mark.parametrize(
    "field, value, expected",
    [
        ("id", "", "1 to 128 printable characters"),
        ("id", "x" * 129, "1 to 128 printable characters"),
        ("id", "\ud800", "1 to 128 printable characters"),
        ("id", 7, "1 to 128 printable characters"),
        ("zone", "a\nb", "1 to 128 printable characters"),
        ("kind", "", "1 to 128 printable characters"),
        ("cell", -1, "an integer of at least 0"),
        ("cell", True, "an integer of at least 0"),
        ("address", "x", "HOST:PORT"),
        ("address", "10.0.0.1", "HOST:PORT"),
        ("address", "10.0.0.1:", "HOST:PORT"),
        ("address", "10.0.0.1:0", "HOST:PORT"),
        ("address", "10.0.0.1:65536", "HOST:PORT"),
        ("address", "10.0.0.1:66000", "HOST:PORT"),
        ("address", "10.0.0.1:100000", "HOST:PORT"),
        ("address", "10.0.0.1:80\n", "HOST:PORT"),
        ("address", "10.0.0.1:٤٢", "HOST:PORT"),
        ("address", "10.0.0.١:80", "HOST:PORT"),
        ("address", "10.0.0:80", "HOST:PORT"),
        ("address", "10.0.0.1:" + "9" * 5000, "HOST:PORT"),
        ("address", "10.0.0.1:080", "HOST:PORT"),
        ("address", "10.0.0.1:+80", "HOST:PORT"),
        ("address", "10.0.0.01:80", "HOST:PORT"),
        ("address", "10.0.0.256:80", "HOST:PORT"),
        ("address", "engine.example:80", "HOST:PORT"),
        ("address", None, "HOST:PORT"),
        ("draining", 1, "true or false"),
        ("started", math.inf, "a finite float of at least 0.0"),
        ("started", -0.0, "a finite float of at least 0.0"),
        ("started", 5, "a finite float of at least 0.0"),
        ("weight", math.nan, "a finite float of at least 0.0"),
        ("weight", -1.0, "a finite float of at least 0.0"),
        ("in_subset", False, "true"),
    ],
)
def test_a_malformed_record_is_refused_by_its_path(field, value, expected):
    publisher = publisher_of(5)
    records = [engine(0), engine(1), engine(2), engine(3, **{field: value})]
    found = f".{field}: {expected} expected; found {value!r}"
    assert expect_refusal(publisher, lambda: publisher.replace_all(records, None)) == f"engines[3]{found}"
    assert expect_refusal(publisher, lambda: publisher.publish(records[3:], [], None)) == f"upserts[0]{found}"


def test_every_field_has_its_rule_in_the_order_of_the_record():
    assert tuple(rule.field for rule in validation._RULES) == EngineRecord._fields


@pytest.mark.parametrize("address", ["0.0.0.0:1", "255.249.199.9:65535", "10.0.0.1:9999", "10.0.0.1:59999"])
def test_every_address_in_its_one_spelling_passes(address):
    validate([engine(1, address=address)])


def test_a_publish_that_is_too_large_is_refused():
    publisher = publisher_of(5)
    many = [engine(number) for number in range(MAX_RECORDS_PER_CHANGE + 1)]
    assert "found 4097" in expect_refusal(publisher, lambda: publisher.publish(many, [], None))
    too_many = [engine(number) for number in range(MAX_RECORDS + 1)]
    assert "found 65537" in expect_refusal(publisher, lambda: publisher.replace_all(too_many, None))


def test_a_publish_that_makes_the_content_too_large_is_refused(monkeypatch):
    monkeypatch.setattr(publisher_module, "MAX_RECORDS", 50)
    publisher = publisher_of(50)
    more = engine(50)
    assert "found 51" in expect_refusal(publisher, lambda: publisher.publish([more], [], None))
    assert publisher.publish([more], ["engine-0"], None) is not None


def test_an_empty_list_is_refused():
    publisher = publisher_of(5)
    assert "at least one" in expect_refusal(publisher, lambda: publisher.replace_all([], None))


def test_ids_and_addresses_that_come_twice_are_refused():
    publisher = publisher_of(5)
    twice = [engine(8), engine(8, address="10.9.9.9:1")]
    assert expect_refusal(publisher, lambda: publisher.publish(twice, [], None)).startswith("upserts[1].id")
    shared = [engine(8), engine(9, address=engine(8).address)]
    assert expect_refusal(publisher, lambda: publisher.replace_all(shared, None)).startswith(
        "engines[1].address"
    )
    assert expect_refusal(publisher, lambda: publisher.publish(shared, [], None)).startswith(
        "upserts[1].address"
    )
    with pytest.raises(PublishRefusedError, match=r"^engines\[1\]\.address"):
        validate(shared)


def test_removed_ids_that_come_twice_are_malformed_or_upserted_are_refused():
    publisher = publisher_of(5)
    cases = {
        "removed_ids[1]: an id that is not named before": ([], ["engine-1", "engine-1"]),
        "removed_ids[0]: an id that is not upserted": ([engine(1, weight=2.0)], ["engine-1"]),
        "removed_ids[0]: 1 to 128 printable characters": ([], [""]),
    }
    for text, (upserts, removed_ids) in cases.items():
        message = expect_refusal(publisher, lambda u=upserts, r=removed_ids: publisher.publish(u, r, None))
        assert message.startswith(text)


def test_an_address_of_another_engine_is_refused_until_that_engine_gives_it_up():
    publisher = publisher_of(5)
    conflicting = engine(9, address=engine(2).address)
    message = expect_refusal(publisher, lambda: publisher.publish([conflicting], [], None))
    assert message.startswith("upserts[0].address") and "engine-2" in message
    exchanged = [engine(0, address=engine(1).address), engine(1, address=engine(0).address)]
    assert publisher.publish(exchanged, [], None) is not None
    assert publisher.publish([conflicting], ["engine-2"], None) is not None
    message = expect_refusal(publisher, lambda: publisher.publish([engine(2)], [], None))
    assert "engine-9" in message
    moved = [conflicting._replace(address="10.9.9.9:1"), engine(2)]
    assert publisher.publish(moved, [], None) is not None
    addresses = [record.address for record in publisher.replica.records.values()]
    assert len(addresses) == len(set(addresses))


def test_a_change_is_checked_without_a_walk_through_the_content():
    publisher = publisher_of(5_000)
    publisher.replica.records = NeverIterated(publisher.replica.records)
    publisher._ids_by_address = NeverIterated(publisher._ids_by_address)
    assert publisher.publish([engine(1, weight=2.0)], ["engine-2"], None) is not None
    conflicting = engine(5, address=engine(4).address)
    assert "engine-4" in refusal_message(publisher, conflicting)


def refusal_message(publisher, record):
    with pytest.raises(PublishRefusedError) as refusal:
        publisher.publish([record], [], None)
    return str(refusal.value)


def test_another_version_than_the_expected_one_is_refused():
    publisher = publisher_of(5)
    former = publisher.replica.version
    assert publisher.publish([engine(1, weight=2.0)], [], former).base == former
    message = expect_refusal(
        publisher, lambda: publisher.publish([engine(1)], [], former), UnexpectedVersionError
    )
    assert message == "expected: 64.2 expected; found 64.1"
    expect_refusal(publisher, lambda: publisher.replace_all([engine(1)], former), UnexpectedVersionError)


def test_a_publish_of_what_is_in_force_makes_no_version():
    publisher = publisher_of(5)
    version = publisher.replica.version
    assert publisher.replace_all([engine(number) for number in range(5)], version) is None
    assert publisher.publish([engine(3)], ["engine-77"], version) is None
    assert publisher.replica.version == version


def test_replace_all_publishes_the_smallest_change():
    publisher = publisher_of(5)
    follower = follower_of(publisher)
    records = [engine(0), engine(1, weight=2.0), engine(3), engine(4), engine(6)]
    delta = publisher.replace_all(records, None)
    assert {record.id for record in delta.upserts} == {"engine-1", "engine-6"}
    assert delta.removals == (Removal("engine-2", gone=True),)
    assert follower.receive(delta) is Outcome.APPLIED
    assert follower.records == {record.id: record for record in records}
