"""Distributors that lost their stores: what they promise, and how they recover promises and content."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from distributor_stage import HEARTBEAT, Tier, lose_promise_requests_to, tier

from thistlelever.carrier.distributor_connection import DistributorError
from thistlelever.distribution import codec
from thistlelever.distribution.claim import TERMS_PER_ROUND
from thistlelever.distribution.promise_recovery import PromiseRecovery, may_promise_unrecovered
from thistlelever.distribution.versions import NO_VERSION, Version
from thistlelever.distributor import claiming, promise_recovery
from thistlelever.distributor.store import StoreError

CHANGE = {"removals": ["engine-00002"]}
REMOVED = "engine-00002"


def run_scenario(scenario):
    """Run a scenario, for at most half a minute."""
    asyncio.run(asyncio.wait_for(scenario, 30))


@pytest.mark.parametrize("distributors, others_needed", [(1, 0), (2, 1), (3, 2), (5, 3)])
def test_enough_others_must_reply_before_promises_are_recovered(distributors, others_needed):
    # Guards against a recovery from replies that miss a majority which promised a term.
    recovery = PromiseRecovery(0, distributors)
    for other in range(1, others_needed + 1):
        assert not recovery.has_quorum()
        recovery.record(other, NO_VERSION, NO_VERSION)
    assert recovery.has_quorum()


def test_the_recovered_floor_and_content_are_the_newest_among_the_replies():
    # Guards against a promise that counts for a majority although the content it stood for is gone.
    recovery = PromiseRecovery(1, 3)
    recovery.record(0, Version(64, 7), Version(64, 7))
    recovery.record(2, Version(64, 3), Version(130, 0))
    assert recovery.floor() == Version(130, 0)
    assert recovery.content_source(NO_VERSION) == 0
    assert recovery.content_source(Version(64, 6)) == 0
    assert recovery.content_source(Version(64, 7)) is None


def test_nothing_is_recovered_from_a_new_tier():
    # Guards against a new tier whose distributors wait for content that nobody holds.
    recovery = PromiseRecovery(1, 3)
    recovery.record(0, NO_VERSION, NO_VERSION)
    recovery.record(2, NO_VERSION, NO_VERSION)
    assert recovery.has_quorum() and recovery.floor() == NO_VERSION
    assert recovery.content_source(NO_VERSION) is None


def test_only_terms_of_the_first_round_are_promised_unrecovered():
    # Guards against a new tier that can't start, and against a promise of a term after a forgotten one.
    assert may_promise_unrecovered(TERMS_PER_ROUND + TERMS_PER_ROUND - 1)
    assert not may_promise_unrecovered(2 * TERMS_PER_ROUND)


@asynccontextmanager
async def tier_after_a_lost_store(stores):
    """Three distributors. 0 and 1 held a confirmed change that 2 has never seen. 0 is stopped, and 1 has
    restarted with an empty store. Yields the tier and the method of 2 that polls once, which fails."""
    async with tier(3, engines=6, stores=stores) as stage:
        await stage.until(lambda: len({d.catalog.version for d in stage.running.values()}) == 1)
        poll_once = isolate(stage.running[2].follower)
        assert (await stage.call(0, "POST", "/v1/publish", CHANGE))[0] == 200
        await stage.stop(0)
        await stage.stop(1)
        for path in stores.glob("distributor-1.db*"):
            path.unlink()
        await stage.start(1)
        yield stage, poll_once


def test_a_lost_store_is_recovered_from_the_others_and_then_counts_again(tmp_path):
    # Guards against a distributor that refuses claims for ever, or counts without the change that it held.
    async def scenario():
        async with tier_after_a_lost_store(tmp_path) as (stage, poll_once):
            forgetful = stage.running[1]
            # Time for several attempts, in which only 2 replies.
            await asyncio.sleep(3 * HEARTBEAT)
            status, answer = await stage.call(2, "POST", "/v1/promote", {})
            assert status == 409 and "no majority" in answer["error"], answer
            assert not forgetful.promises.is_recovered()
            former = await stage.start(0, publisher=False)
            await stage.until(forgetful.promises.is_recovered)
            assert REMOVED not in forgetful.catalog.replica.records
            assert forgetful.catalog.replica.floor.term >= stage.running[2].catalog.replica.floor.term
            assert former.catalog.replica.records.keys() == forgetful.catalog.replica.records.keys()
            await stage.stop(0)
            stage.running[2].follower.poll_once = poll_once
            status, answer = await stage.call(2, "POST", "/v1/promote", {})
            assert status == 200, answer
            assert REMOVED not in stage.running[2].catalog.replica.records

    run_scenario(scenario())


def test_a_recovered_promise_survives_the_next_restart(tmp_path):
    # Guards against a recovered floor that is not stored, so that it is recovered again at each start.
    async def scenario():
        async with tier_after_a_lost_store(tmp_path) as (stage, _):
            await stage.start(0, publisher=False)
            await stage.until(stage.running[1].promises.is_recovered)
            floor = stage.running[1].catalog.replica.floor
            assert floor > NO_VERSION
            await stage.stop(0)
            await stage.stop(1)
            restarted = await stage.start(1)
            assert restarted.promises.restored and restarted.catalog.replica.floor == floor
            assert REMOVED not in restarted.catalog.replica.records

    run_scenario(scenario())


def test_promises_are_recovered_only_once_the_content_is_stored(tmp_path):
    # Guards against a stored promise without its content, which the next start would take for a whole store.
    async def scenario():
        async with tier_after_a_lost_store(tmp_path) as (stage, _):
            forgetful = stage.running[1]
            store = forgetful.writer.store
            write, store.write = store.write, fail_to_write
            await stage.start(0, publisher=False)
            catalog, former = forgetful.catalog, stage.running[0].catalog
            await stage.until(lambda: catalog.version == former.version)
            await asyncio.sleep(3 * HEARTBEAT)
            assert not forgetful.promises.is_recovered() and store.read_floor() == NO_VERSION
            store.write = write
            await stage.until(forgetful.promises.is_recovered)

    run_scenario(scenario())


@pytest.mark.parametrize("has_reply", [False, True])
def test_the_claim_of_a_distributor_that_lost_its_store_keeps_a_confirmed_change(
    tmp_path, monkeypatch, has_reply
):
    # Guards against a claimant that counts its own promise, but not the content it held before.
    async def scenario():
        async with tier_after_a_lost_store(tmp_path) as (stage, _):
            withhold_content(stage.running[1].follower, 0, has_reply)
            await stage.start(0, publisher=False)
            await asyncio.sleep(3 * HEARTBEAT)
            monkeypatch.setattr(claiming, "call_distributor", lose_promise_requests_to(stage.addresses[0]))
            status, answer = await stage.call(1, "POST", "/v1/promote", {})
            replica = stage.running[1].catalog.replica
            assert status == 409 or REMOVED not in replica.records, (answer, str(replica.version))

    run_scenario(scenario())


@pytest.mark.parametrize("distributors, started", [(1, 1), (2, 2), (3, 3), (5, 4)])
@pytest.mark.parametrize("has_stores", [True, False])
def test_a_new_tier_starts_while_some_have_not_started(
    tmp_path, monkeypatch, distributors, started, has_stores
):
    # Guards against distributors with empty stores that refuse the first claim of a new tier.
    async def scenario():
        stage = Tier(distributors, stores=tmp_path if has_stores else None)
        # The claim must not wait for the recovery of those that are asked.
        recover, replies = promise_recovery.call_others, asyncio.Event()

        async def reply_later(*arguments):
            await replies.wait()
            return await recover(*arguments)

        monkeypatch.setattr(promise_recovery, "call_others", reply_later)
        try:
            for index in range(started):
                await stage.start(index)
            await stage.until(lambda: stage.running[0].role.publisher)
            replies.set()
            late = [await stage.start(index) for index in range(started, distributors)]
            await stage.until(
                lambda: all(d.promises.is_recovered() for d in [*stage.running.values(), *late])
            )
        finally:
            await stage.close()

    run_scenario(scenario())


def test_a_tier_that_lost_everything_takes_a_term_above_that_of_its_fronts():
    # Guards against a tier without any memory that refuses the operator's promotion above a front's version.
    async def scenario():
        stage = Tier(3)
        try:
            for index in range(3):
                await stage.start(index, publisher=False)
            await stage.until(lambda: all(d.promises.is_recovered() for d in stage.running.values()))
            status, answer = await stage.call(0, "POST", "/v1/promote", {"above": "640.3"})
            assert status == 200 and answer["term"] > 640, answer
        finally:
            await stage.close()

    run_scenario(scenario())


def withhold_content(follower, index, has_reply):
    """Make a follower's polls of one distributor fail or, if `has_reply`, bring no update."""
    poll_once = follower.poll_once
    withhold = reply_without_update if has_reply else fail_to_connect
    follower.follow = fail_to_connect
    follower.poll_once = lambda other: withhold() if other == index else poll_once(other)


def isolate(follower):
    """Make all polls of a follower fail; the method that polls once."""
    poll_once = follower.poll_once
    follower.follow = follower.poll_once = fail_to_connect
    if follower.poll_task:
        follower.poll_task.cancel()
    return poll_once


def fail_to_write(update):
    """Fail as on a full disk."""
    raise StoreError("no space left")


async def reply_without_update():
    """Reply as a distributor that has nothing newer."""
    return codec.Reply(None, 0.0)


async def fail_to_connect(*arguments):
    """Fail as a call to an unreachable distributor."""
    raise DistributorError("unreachable")
