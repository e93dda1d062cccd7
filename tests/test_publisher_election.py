"""Elections of the publisher in forced orders of events: slow stores, lost calls and silent distributors."""

import asyncio
import threading
from contextlib import asynccontextmanager, suppress

import pytest
from distributor_stage import Tier, lose_promise_requests_to, tier

from thistlelever.carrier.distributor_connection import DistributorError
from thistlelever.distribution.claim import TERMS_PER_ROUND
from thistlelever.distribution.election import Election
from thistlelever.distribution.versions import parse
from thistlelever.distributor import claiming

DISTRIBUTORS = 5
ELECTION_AFTER_S = 1.0
# How long a slow store holds a promise unless the order of events is complete earlier; less than the timeout
# of a claim's calls.
SLOW_STORE_S = 0.5
# How long the seated publisher is watched: longer than the timeout of the election and all its steps.
WATCH_S = 3.0


class SlowStore:
    """The store of one distributor, whose disk holds the promise to one claimant, and all writes after it,
    until `release` or for `longest_s` seconds."""

    def __init__(self, distributor, claimant, longest_s=SLOW_STORE_S):
        self.claimant, self.longest_s = claimant, longest_s
        # Set once the promise waits for the disk.
        self.holds = asyncio.Event()
        self.released = threading.Event()
        self.loop = asyncio.get_running_loop()
        store = distributor.writer.store
        self.write, store.write_floor = store.write_floor, self.write_floor

    def write_floor(self, floor):
        if floor.term % TERMS_PER_ROUND == self.claimant:
            self.loop.call_soon_threadsafe(self.holds.set)
            self.released.wait(self.longest_s)
        self.write(floor)

    def release(self):
        self.released.set()


@asynccontextmanager
async def electing_tier(stores, publisher=0):
    """Distributors that hold one version, one of which publishes, and which elect from now on."""
    async with tier(DISTRIBUTORS, engines=6, stores=stores) as stage:
        if publisher:
            await stage.call(publisher, "POST", "/v1/promote", {})
        await until_all_hold_one_version(stage)
        stage.events.clear()
        for index, distributor in stage.running.items():
            election = Election(index, DISTRIBUTORS, ELECTION_AFTER_S)
            job = asyncio.get_running_loop().create_task(distributor.role.elect(election))
            distributor.tasks.append(job)
        yield stage


async def until_all_hold_one_version(stage):
    await stage.until(lambda: len({d.catalog.version for d in stage.running.values()}) == 1)


@asynccontextmanager
async def silent_at(address):
    """A process that accepts connections and never replies, as one that is stopped."""
    async with await asyncio.start_server(lambda reader, writer: None, *address):
        yield


def run_scenario(scenario):
    """Run a scenario, for at most half a minute."""
    asyncio.run(asyncio.wait_for(scenario, 30))


def distributors_of(stage, event):
    """The distributors that logged this event, in order."""
    return [index for index, name, _ in stage.events if name == event]


def publisher_of(stage):
    """The distributor that publishes, or None."""
    return next((index for index, d in stage.running.items() if d.role.publisher), None)


async def assert_seated_once(stage, expected=None):
    """One distributor takes over and is not deposed in WATCH_S."""
    await stage.until(lambda: publisher_of(stage) is not None)
    await asyncio.sleep(WATCH_S)
    seated = distributors_of(stage, "publishes")
    assert len(seated) == 1 and not distributors_of(stage, "superseded"), stage.events
    assert expected in (None, seated[0]), stage.events
    assert publisher_of(stage) == seated[0]


def test_a_distributor_that_promised_a_term_does_not_depose_its_publisher(tmp_path):
    # Guards against a claim for the lost publisher by a distributor that has promised its successor.
    async def scenario():
        async with electing_tier(tmp_path) as stage:
            slow_promise = SlowStore(stage.running[4], claimant=1)
            second_claim = SlowStore(stage.running[2], claimant=2, longest_s=WATCH_S)
            await stage.stop(0)
            await stage.until(slow_promise.holds.is_set)
            with suppress(TimeoutError):
                await asyncio.wait_for(second_claim.holds.wait(), SLOW_STORE_S)
            slow_promise.release()
            await stage.until(lambda: publisher_of(stage) is not None)
            second_claim.release()
            await assert_seated_once(stage)

    run_scenario(scenario())


def test_one_publisher_takes_over_beside_a_slow_store(tmp_path):
    # Guards against a chain of claims, each by a distributor that promised the one before.
    async def scenario():
        async with electing_tier(tmp_path) as stage:
            SlowStore(stage.running[4], claimant=1)
            await stage.stop(0)
            await assert_seated_once(stage)

    run_scenario(scenario())


@pytest.mark.parametrize("lost", [1, 3])
def test_one_publisher_replaces_one_that_accepts_and_never_replies(tmp_path, lost):
    # Guards against overlapping claims, each of which waits for the reply of the lost publisher.
    async def scenario():
        async with electing_tier(tmp_path, lost) as stage:
            await stage.stop(lost)
            async with silent_at(stage.addresses[lost]):
                await assert_seated_once(stage)

    run_scenario(scenario())


def test_a_promoted_publisher_is_not_deposed_beside_a_silent_distributor(tmp_path):
    # Guards against an election while a promotion waits for the reply of a distributor that never replies.
    async def scenario():
        async with electing_tier(tmp_path) as stage:
            await stage.stop(4)
            async with silent_at(stage.addresses[4]):
                status, answer = await stage.call(2, "POST", "/v1/promote", {})
                assert status == 200, answer
                await asyncio.sleep(WATCH_S)
            assert distributors_of(stage, "publishes") == [2], stage.events
            assert distributors_of(stage, "superseded") == [0], stage.events
            assert publisher_of(stage) == 2

    run_scenario(scenario())


def test_a_new_tier_seats_its_configured_publisher_once(tmp_path):
    # Guards against claims by distributors that never had a publisher, once they promised the first term.
    async def scenario():
        stage = Tier(DISTRIBUTORS, stores=tmp_path, election_after_s=ELECTION_AFTER_S)
        try:
            others = [await stage.start(index) for index in range(DISTRIBUTORS)][1:]
            slow_promise = SlowStore(others[0], claimant=0)
            own_claims = [SlowStore(d, d.config.index, longest_s=WATCH_S) for d in others]
            await stage.until(slow_promise.holds.is_set)
            with suppress(TimeoutError):
                await asyncio.wait_for(own_claims[-1].holds.wait(), SLOW_STORE_S)
            slow_promise.release()
            await stage.until(lambda: distributors_of(stage, "publishes"))
            for own_claim in own_claims:
                own_claim.release()
            await assert_seated_once(stage, expected=0)
        finally:
            await stage.close()

    run_scenario(scenario())


def test_a_change_that_a_later_term_replaced_is_not_confirmed(tmp_path, monkeypatch):
    # Guards against a follower's version of a later term counted as a copy of the change.
    async def scenario():
        async with tier(DISTRIBUTORS, engines=6, stores=tmp_path) as stage:
            await until_all_hold_one_version(stage)
            former, successor = stage.running[0], stage.running[2]
            followers = [stage.running[index].follower for index in (1, 2, 3, 4)]
            # No follower receives the change, and the former publisher does not hear of the claim.
            monkeypatch.setattr(claiming, "call_distributor", lose_promise_requests_to(stage.addresses[0]))
            follow = [partition(follower) for follower in followers]
            before = former.catalog.version
            change = stage.call(0, "POST", "/v1/publish", {"removals": ["engine-00002"]})
            publish = asyncio.get_running_loop().create_task(change)
            await stage.until(lambda: former.catalog.version > before)
            status, answer = await stage.call(2, "POST", "/v1/promote", {})
            assert status == 200, answer
            for follower, (follow_method, poll_method) in zip(followers, follow, strict=True):
                follower.follow, follower.poll_once = follow_method, poll_method
                follower.poll_task.cancel()
            held = [stage.running[index].catalog for index in (1, 3)]
            await stage.until(lambda: all(c.version >= successor.catalog.version for c in held))
            for index in (1, 3):
                with suppress(DistributorError):
                    await stage.running[index].follower.poll_once(0)
            status, answer = await publish
            assert "engine-00002" in successor.catalog.replica.records
            assert parse(answer["version"]) < successor.catalog.version
            assert (status, answer["confirmed"]) == (202, False)

    run_scenario(scenario())


def test_a_confirmed_change_survives_one_store_that_is_lost(tmp_path):
    # Guards against a claim that counts the promise of a distributor which has forgotten what it held.
    async def scenario():
        async with tier(3, engines=6, stores=tmp_path) as stage:
            await until_all_hold_one_version(stage)
            partition(stage.running[2].follower)
            change = {"removals": ["engine-00002"]}
            assert (await stage.call(0, "POST", "/v1/publish", change))[0] == 200
            await stage.stop(0)
            await stage.stop(1)
            for path in tmp_path.glob("distributor-1.db*"):
                path.unlink()
            await stage.start(1)
            status, _ = await stage.call(2, "POST", "/v1/promote", {})
            replica = stage.running[2].catalog.replica
            assert status == 409 or "engine-00002" not in replica.records, str(replica.version)

    run_scenario(scenario())


def partition(follower):
    """Make all polls of a follower fail; the methods that restore it."""
    methods = follower.follow, follower.poll_once
    follower.follow = follower.poll_once = fail_to_connect
    follower.poll_task.cancel()
    return methods


async def fail_to_connect(*arguments):
    """Fail as a call to an unreachable distributor."""
    raise DistributorError("unreachable")
