"""Distributors and the subscriptions of fronts over loopback sockets: changes, failures, partitions, restarts
and concurrent publishers."""

import asyncio

import pytest
from distributor_stage import HEARTBEAT, Tier, engine, tier

from thistlelever.carrier.distributor_connection import DistributorError
from thistlelever.distribution.election import Election
from thistlelever.distribution.versions import NO_VERSION, Version, parse
from thistlelever.distributor.admission import SnapshotAdmission
from thistlelever.distributor.store import ContentStore, StoreError


def run_scenario(scenario):
    """Run a scenario, for at most a minute."""
    asyncio.run(asyncio.wait_for(scenario, 60))


def test_a_front_receives_its_subset_and_a_change_to_it_at_once():
    async def scenario():
        async with tier(2, engines=40) as stage:
            front = stage.subscribe()
            await stage.until(lambda: front.replica.records)
            assert 3 <= len(front.replica.records) <= 20
            inside = min(front.replica.records)
            number = int(inside.removeprefix("engine-"))
            version = await stage.publish(upserts=[engine(number, weight=4.0)])
            await asyncio.sleep(HEARTBEAT / 2)
            assert str(front.replica.version) == version
            assert front.replica.records[inside].weight == 4.0
            assert front.counts["snapshots"] == 0

    run_scenario(scenario())


def test_a_change_outside_the_subset_advances_the_version_at_the_next_heartbeat():
    async def scenario():
        async with tier(1, engines=40) as stage:
            front = stage.subscribe()
            await stage.until(lambda: front.replica.records)
            outside = next(n for n in range(40) if f"engine-{n:05}" not in front.replica.records)
            records = dict(front.replica.records)
            version = await stage.publish(upserts=[engine(outside, weight=4.0)])
            await stage.until_version(version, front)
            assert front.replica.records == records

    run_scenario(scenario())


def test_a_front_fails_over_to_another_distributor_and_gets_a_delta():
    async def scenario():
        async with tier(3, engines=40) as stage:
            front = stage.subscribe()
            await stage.until(lambda: front.replica.records and front.connected_to)
            first = stage.addresses.index(front.connected_to)
            if first == 0:
                await stage.call(1, "POST", "/v1/promote", {})
            await stage.stop(first)
            publisher = 1 if first == 0 else 0
            number = int(min(front.replica.records).removeprefix("engine-"))
            version = await stage.publish(publisher, upserts=[engine(number, draining=True)])
            await stage.until_version(version, front)
            assert front.replica.records[f"engine-{number:05}"].draining
            assert front.counts["snapshots"] == 0

    run_scenario(scenario())


def test_a_front_leaves_a_stale_distributor_and_its_version_never_decreases():
    async def scenario():
        async with tier(3, engines=12) as stage:
            front = stage.subscribe()
            version = await stage.publish(upserts=[engine(1, draining=True)])
            await stage.until_version(version, front)
            # A distributor restored to an older version and isolated from the others.
            behind = Tier(1)
            await behind.start(0)
            await behind.until(lambda: behind.running[0].role.publisher)
            await behind.publish(engines=[engine(number) for number in range(12)])
            try:
                replica = behind.running[0].catalog.replica
                assert replica.version < front.replica.version
                front.terms = front.terms._replace(distributors=(*behind.addresses, *stage.addresses))
                front.failover.order = [0, 1, 2, 3]
                front.failover.position = -1
                connected = front.connected_to
                await stage.stop(stage.addresses.index(connected))
                await stage.until(lambda: front.counts["refused_stale"] > 0)
                await stage.until(lambda: front.connected_to in stage.addresses)
                assert front.replica.version >= parse(version)
            finally:
                await behind.close()

    run_scenario(scenario())


def test_a_promoted_publisher_supersedes_the_former_one():
    async def scenario():
        async with tier(3, engines=6) as stage:
            front = stage.subscribe()
            status, answer = await stage.call(2, "POST", "/v1/promote", {})
            assert status == 200 and answer["term"] > 64
            await stage.until(lambda: stage.running[0].role.publisher is None)
            status, refused = await stage.call(0, "POST", "/v1/publish", {"removals": ["engine-00001"]})
            assert status == 409 and "role" in refused["error"]
            version = await stage.publish(2, removals=["engine-00001"])
            await stage.until_version(version, front)
            assert "engine-00001" not in front.replica.records
            versions = {str(d.catalog.version) for d in stage.running.values()}
            assert versions == {version}

    run_scenario(scenario())


def test_a_publisher_without_a_majority_is_not_confirmed_and_steps_down_after_the_partition(tmp_path):
    async def scenario():
        async with tier(3, engines=6, stores=tmp_path) as stage:
            await stage.until(lambda: len({d.catalog.version for d in stage.running.values()}) == 1)
            old = stage.running[0]
            # Partitioned: no follower and no connection to the others, and it still acts as the publisher.
            old.server.stop()
            await old.server.close_all_connections()
            old.follower.distributors = tuple(("127.0.0.1", 9) for _ in range(3))
            version = old.role.publish([], ["engine-00002"], None)
            assert not await old.role.wait_confirmed(version)
            await stage.call(1, "POST", "/v1/promote", {})
            newer = await stage.publish(1, removals=["engine-00003"])
            # The partition ends.
            old.follower.distributors = stage.addresses
            await stage.until(lambda: old.role.publisher is None)
            await stage.until(lambda: old.catalog.version == parse(newer))
            assert "engine-00002" in old.catalog.replica.records
            assert old.catalog.replica.digest == stage.running[1].catalog.replica.digest

    run_scenario(scenario())


def test_a_tier_restored_to_an_older_version_resumes_above_the_version_of_fronts():
    async def scenario():
        async with tier(1, engines=6) as stage:
            front = stage.subscribe()
            await stage.until(lambda: front.replica.records)
            # All distributors were lost and restored to a version older than the front's.
            held = front.replica.version._replace(term=640)
            front.replica.version = held
            await stage.publish(removals=["engine-00001"])
            await stage.until(lambda: front.counts["refused_stale"] > 0)
            assert front.replica.version == held and stage.running[0].role.publisher
            status, answer = await stage.call(0, "POST", "/v1/promote", {"above": str(held)})
            assert status == 200 and answer["term"] > held.term
            await stage.until(lambda: front.replica.version > held)
            assert "engine-00001" not in front.replica.records

    run_scenario(scenario())


def test_a_distributor_that_may_have_lost_promises_needs_more_replies(tmp_path):
    async def scenario():
        async with tier(3, engines=6) as stage:
            await stage.stop(0)
            status, answer = await stage.call(1, "POST", "/v1/promote", {})
            assert status == 409 and "too few answers" in answer["error"]
        async with tier(3, engines=6, stores=tmp_path) as stage:
            await stage.stop(0)
            assert (await stage.call(1, "POST", "/v1/promote", {}))[0] == 200

    run_scenario(scenario())


def test_no_publisher_without_a_majority():
    async def scenario():
        stage = Tier(3)
        await stage.start(0)
        try:
            await stage.until(lambda: any(event == "claim failed" for _, event, _ in stage.events))
            assert stage.running[0].role.publisher is None
            status, answer = await stage.call(0, "POST", "/v1/promote", {})
            assert status == 409 and "1 of 3" in answer["error"], answer
        finally:
            await stage.close()

    run_scenario(scenario())


def test_a_front_offline_for_longer_than_the_history_gets_a_delta():
    async def scenario():
        async with tier(1, engines=12, history=2) as stage:
            front = stage.subscribe()
            await stage.until(lambda: front.replica.records)
            _, task = stage.subscriptions.pop()
            task.cancel()
            for number in range(6):
                version = await stage.publish(upserts=[engine(number, weight=2.0)])
            stage.subscriptions.append((front, asyncio.get_running_loop().create_task(front.run())))
            await stage.until_version(version, front)
            assert front.counts["snapshots"] == 0 and front.counts["deltas"] >= 2

    run_scenario(scenario())


def test_a_follower_behind_by_more_than_the_history_gets_a_snapshot():
    async def scenario():
        async with tier(2, engines=12, history=2) as stage:
            await stage.stop(1)
            for number in range(6):
                version = await stage.publish(upserts=[engine(number, weight=2.0)])
            follower = await stage.start(1)
            await stage.until(lambda: follower.catalog.version == parse(version))
            assert follower.catalog.replica.records == stage.running[0].catalog.replica.records

    run_scenario(scenario())


@pytest.mark.parametrize(
    "body, expected_text",
    [
        ({"upserts": [{"id": "x"}]}, "zone"),
        ({"upserts": [engine(1, address="nowhere")]}, "address"),
        ({"upserts": [engine(40, address=engine(1)["address"])]}, "address"),
        ({"upserts": [engine(1, weight=-1.0)]}, "weight"),
        ({"engines": []}, "engines"),
        ({"removals": ["engine-00001"], "expected": "1.1"}, "expected"),
        ({"unknown": 1}, "unknown"),
    ],
)
def test_an_invalid_change_is_refused_with_its_key_and_the_version_stays(body, expected_text):
    async def scenario():
        async with tier(1, engines=6) as stage:
            replica = stage.running[0].catalog.replica
            before = replica.version, replica.digest
            status, answer = await stage.call(0, "POST", "/v1/publish", body)
            assert status in (400, 409) and expected_text in answer["error"], answer
            assert (replica.version, replica.digest) == before

    run_scenario(scenario())


def test_changes_published_while_earlier_ones_still_propagate():
    async def scenario():
        async with tier(3, engines=30) as stage:
            fronts = [stage.subscribe(f"front-{rank}", rank, f"zone-{rank % 3}") for rank in range(12)]
            await stage.until(lambda: all(front.replica.records for front in fronts))
            for number in range(30):
                version = await stage.publish(upserts=[engine(number, started=float(number + 1))])
            await stage.until_version(version, *fronts)
            catalog = stage.running[0].catalog.replica.records
            for front in fronts:
                assert front.counts["damaged"] == front.counts["gap"] == front.counts["stale"] == 0
                assert all(record == catalog[name] for name, record in front.replica.records.items())

    run_scenario(scenario())


def test_a_mass_start_is_admitted_at_a_bounded_rate_and_all_are_served():
    async def scenario():
        async with tier(1, engines=60, snapshots_per_s=10.0, subset={"fronts": 40, "engines": 48}) as stage:
            fronts = [stage.subscribe(f"front-{rank}", rank) for rank in range(30)]
            await stage.until(lambda: all(front.replica.records for front in fronts))
            counts = stage.running[0].counts
            assert counts["snapshots"] == 30 and counts["snapshots refused"] > 0
            assert sum(front.counts["busy"] for front in fronts) == counts["snapshots refused"]

    run_scenario(scenario())


def test_fronts_refused_together_get_different_retry_delays():
    admission = SnapshotAdmission(10.0, seed=1, now=0.0)
    assert [admission.admit(0.0) for _ in range(10)] == [0.0] * 10
    waits = [admission.admit(0.0) for _ in range(20)]
    assert all(wait > 0 for wait in waits) and len(set(waits)) == 20
    assert max(waits) <= 3.0 and min(waits) < 1.2
    assert admission.admit(1.0) == 0.0


def test_a_distributor_starts_from_its_stored_content(tmp_path):
    async def scenario():
        path = str(tmp_path / "content.db")
        async with tier(1, engines=12, store=path) as stage:
            version = await stage.publish(removals=["engine-00003"])
            await stage.stop(0)
            restarted = await stage.start(0, publisher=False)
            assert restarted.catalog.version == parse(version)
            assert len(restarted.catalog.replica.records) == 11
            # A restarted publisher never resumes its former term.
            await stage.call(0, "POST", "/v1/promote", {})
            assert restarted.catalog.version.term > parse(version).term

    run_scenario(scenario())


def test_a_damaged_store_is_refused(tmp_path):
    async def scenario():
        path = str(tmp_path / "content.db")
        async with tier(1, engines=12, store=path) as stage:
            await stage.stop(0)
            store = ContentStore(path)
            store.connection.execute("delete from engines where id = 'engine-00004'")
            store.close()
            with pytest.raises(StoreError, match="damaged"):
                await stage.start(0)

    run_scenario(scenario())


def test_status_names_version_role_and_fronts():
    async def scenario():
        async with tier(2, engines=12) as stage:
            front = stage.subscribe()
            version = await stage.publish(upserts=[engine(1, weight=3.0)])
            await stage.until_version(version, front)
            await asyncio.sleep(2 * HEARTBEAT)
            index = stage.addresses.index(front.connected_to)
            _, report = await stage.call(index, "GET", "/v1/status")
            assert report["version"] == version and report["fronts"]["front-0"]["version"] == version
            assert report["lagging"] == [] and report["engines"] == 12
            _, other = await stage.call(1 - index, "GET", "/v1/status")
            assert other["digest"] == report["digest"]
            _, catalog = await stage.call(index, "GET", "/v1/catalog")
            assert catalog["version"] == version and len(catalog["engines"]) == 12

    run_scenario(scenario())


def test_a_failing_disk_is_reported_and_followed_by_a_full_write(tmp_path):
    async def scenario():
        path = str(tmp_path / "content.db")
        async with tier(1, engines=12, store=path) as stage:
            writer = stage.running[0].writer
            await stage.until(lambda: not writer.pending)
            write, writer.store.write = writer.store.write, fail_to_write
            await stage.publish(upserts=[engine(1, weight=2.0)])
            await stage.until(lambda: writer.failure)
            assert stage.running[0].status()["store"]["failing"]
            writer.store.write = write
            version = await stage.publish(upserts=[engine(2, weight=2.0)])
            await stage.until(lambda: not writer.failure)
            await stage.stop(0)
            kept = ContentStore(path).read()
            assert str(kept.version) == version and len(kept.records) == 12

    run_scenario(scenario())


def fail_to_write(update):
    """Fail as on a full disk."""
    raise StoreError("no space left")


def test_fronts_without_an_open_watch_cost_nothing_at_a_change():
    async def scenario():
        async with tier(1, engines=40) as stage:
            front = stage.subscribe()
            sessions = stage.running[0].sessions
            await stage.until(lambda: sessions.by_front and sessions.by_front["front-0"].is_waiting())
            _, task = stage.subscriptions.pop()
            task.cancel()
            await stage.until(lambda: not sessions.by_front)
            # A front between two watches is not checked either: its next watch checks for differences.
            front = stage.subscribe("front-1", 1)
            await stage.until(
                lambda: "front-1" in sessions.by_front and sessions.by_front["front-1"].is_waiting()
            )
            session = sessions.by_front["front-1"]
            revision, session.wakeup = session.subset_revision, None
            stage.running[0].role.publish([], [min(front.replica.records)], None)
            await asyncio.sleep(HEARTBEAT / 4)
            assert session.subset_revision == revision

    run_scenario(scenario())


def test_watches_that_began_together_do_not_end_together():
    async def scenario():
        async with tier(1, engines=12) as stage:
            sessions = stage.running[0].sessions
            front = stage.subscribe()
            await stage.until(lambda: sessions.by_front.get("front-0") and front.replica.records)
            parts = [sessions.wait_share(sessions.by_front["front-0"]) for _ in range(200)]
            assert 0.7 <= min(parts) < 0.73 and 0.97 < max(parts) < 1.0 and len(set(parts)) == 200

    run_scenario(scenario())


def test_a_lost_publisher_is_replaced_without_an_operator(tmp_path):
    async def scenario():
        async with tier(5, engines=6, stores=tmp_path, election_after_s=1.0) as stage:
            front = stage.subscribe()
            await stage.until(lambda: front.replica.records)
            term = stage.running[0].catalog.version.term
            await stage.until(lambda: len({d.catalog.version for d in stage.running.values()}) == 1)
            began = asyncio.get_running_loop().time()
            await stage.stop(0)
            await stage.until(lambda: any(d.role.publisher for d in stage.running.values()))
            assert asyncio.get_running_loop().time() - began >= 0.6
            (index,) = [place for place, d in stage.running.items() if d.role.publisher]
            assert stage.running[index].catalog.version.term > term
            version = await stage.publish(index, removals=["engine-00001"])
            await stage.until_version(version, front)
            # The former publisher restarts, and follows.
            await stage.start(0)
            await stage.until(lambda: stage.running[0].catalog.version == parse(version))
            await asyncio.sleep(2.0)
            assert [place for place, d in stage.running.items() if d.role.publisher] == [index]

    run_scenario(scenario())


def test_a_distributor_that_alone_lost_the_publisher_does_not_replace_it(tmp_path):
    async def scenario():
        async with tier(3, engines=6, stores=tmp_path, election_after_s=1.0) as stage:
            isolated = stage.running[2]
            isolated.follower.last_contact_at -= 100.0
            # Its claims reach the others, but its polls fail.
            isolated.follower.poll_once = isolated.follower.follow = unreachable
            isolated.follower.poll_task.cancel()
            await stage.until(lambda: any(event == "publisher lost" for _, event, _ in stage.events))
            await asyncio.sleep(2.5)
            assert stage.running[0].role.publisher and not isolated.role.publisher
            assert any("hears the publisher" in fields.get("why", "") for _, _, fields in stage.events)

    run_scenario(scenario())


async def unreachable(*arguments):
    """Fail as a call to an unreachable distributor."""
    raise DistributorError("unreachable")


def test_distributors_claim_in_turn_and_never_in_a_tier_without_a_publisher():
    highest = Version(64 + 1, 7)
    elections = [Election(index, 4, 5.0) for index in range(4)]
    due = [[e.is_due(0.0, 5.0 + late, highest) for e in elections] for late in (0.1, 0.5, 0.9, 1.3)]
    assert due[0] == [False, False, True, False]
    assert due[1] == [False, False, True, True]
    assert due[3] == [True, True, True, True]
    assert not any(e.is_due(0.0, 1e9, NO_VERSION) for e in elections)
    elections[2].failed(10.0)
    assert not elections[2].is_due(10.9, 9.0, highest) and elections[2].is_due(12.1, 9.0, highest)
    assert elections[0].is_publisher_alive([9.0, 4.9]) and not elections[0].is_publisher_alive([9.0, 5.1])
