"""Elections of the publisher beside disks that fail, replies that are lost or late, and slow copies."""

import asyncio
import time

import pytest
from distributor_stage import Tier, engine, tier
from test_publisher_election import (
    distributors_of,
    partition,
    publisher_of,
    run_scenario,
    until_all_hold_one_version,
)

from thistlelever.distributor import claiming, handlers
from thistlelever.distributor.store import StoreError

CHANGE = {"removals": ["engine-00002"]}
# How long a seat may take where the election's timeout is 3 s: that, all steps, and two claims.
SEAT_WITHIN_S = 12.0


async def until_seated(stage):
    """Wait until a distributor publishes; its index, and the seconds it took."""
    started = time.monotonic()
    async with asyncio.timeout(SEAT_WITHIN_S):
        while publisher_of(stage) is None:
            await asyncio.sleep(0.02)
    return publisher_of(stage), time.monotonic() - started


def break_promises(distributor):
    """Let the disk of a distributor refuse every promise."""

    def write_floor(floor):
        raise StoreError("disk full")

    distributor.writer.store.write_floor = write_floor


async def start_with_broken_publisher(stage):
    """Start a tier whose configured publisher can't store a promise."""
    for index in (1, 2, 3, 4, 0):
        distributor = await stage.start(index)
        if index == 0:
            break_promises(distributor)


@pytest.mark.parametrize("has_content", [False, True])
def test_a_configured_publisher_with_a_failing_disk_does_not_hold_back_the_others(tmp_path, has_content):
    # Guards against an election timeout that each failed claim of one distributor restarts everywhere.
    async def scenario():
        stage = Tier(5, stores=tmp_path, election_after_s=3.0)
        try:
            if has_content:
                for index in range(5):
                    await stage.start(index)
                await until_seated(stage)
                await stage.publish(publisher_of(stage), upserts=[engine(1)])
                await until_all_hold_one_version(stage)
                for index in range(5):
                    await stage.stop(index)
            await start_with_broken_publisher(stage)
            seated, _ = await until_seated(stage)
            assert seated != 0
        finally:
            await stage.close()

    run_scenario(scenario())


def test_a_claimant_is_not_refused_for_the_promises_that_it_got_itself(tmp_path, monkeypatch):
    # Guards against voters that report contact to the very claimant that they voted for.
    call, lost = claiming.call_distributor, []

    async def lose_first_round(target, path, *arguments):
        reply = await call(target, path, *arguments)
        if path == claiming.PROMISE_PATH and len(lost) < 4:
            lost.append(target)
            return None
        return reply

    monkeypatch.setattr(claiming, "call_distributor", lose_first_round)

    async def scenario():
        stage = Tier(5, stores=tmp_path, election_after_s=10.0)
        try:
            for index in range(5):
                await stage.start(index)
            seated, took = await until_seated(stage)
            assert seated == 0 and took < 5.0, (seated, took)
        finally:
            await stage.close()

    run_scenario(scenario())


def test_a_promoted_distributor_is_not_deposed_while_it_copies_the_content(tmp_path):
    # Guards against a claim that is no longer reported to others before its content is copied.
    async def scenario():
        async with tier(5, engines=6, stores=tmp_path, election_after_s=0.75) as stage:
            await until_all_hold_one_version(stage)
            behind = stage.running[1].follower
            follow, poll = partition(behind)
            assert (await stage.call(0, "POST", "/v1/publish", CHANGE))[0] == 200
            others = [stage.running[index].catalog for index in (0, 2, 3, 4)]
            await stage.until(lambda: len({catalog.version for catalog in others}) == 1)

            async def poll_slowly(source):
                await asyncio.sleep(1.2)
                return await poll(source)

            stage.events.clear()
            behind.poll_once = poll_slowly
            status, answer = await stage.call(1, "POST", "/v1/promote", {})
            behind.follow, behind.poll_once = follow, poll
            assert status == 200, answer
            await asyncio.sleep(3.0)
            assert distributors_of(stage, "publishes") == [1], stage.events

    run_scenario(scenario())


def test_a_tier_without_stores_waits_for_all_replies_that_it_needs(monkeypatch):
    # Guards against a claim that ends with a majority, where one that kept no promises needs one reply more.
    reply = handlers.HighestHandler.post

    async def reply_late(self):
        if self.distributor.config.index == 2:
            await asyncio.sleep(0.4)
        reply(self)

    monkeypatch.setattr(handlers.HighestHandler, "post", reply_late)

    async def scenario():
        stage = Tier(3)
        try:
            for index in range(3):
                await stage.start(index)
            seated, _ = await until_seated(stage)
            assert seated == 0
        finally:
            await stage.close()

    run_scenario(scenario())


def test_a_confirmed_change_survives_a_publisher_that_lost_its_store(tmp_path):
    # Guards against a claim that counts what its claimant forgot, and does not wait for the slow holder.
    async def scenario():
        async with tier(3, engines=6, stores=tmp_path) as stage:
            await until_all_hold_one_version(stage)
            behind = stage.running[2].follower
            methods = partition(behind)
            assert (await stage.call(0, "POST", "/v1/publish", CHANGE))[0] == 200
            await stage.stop(0)
            for path in tmp_path.glob("distributor-0.db*"):
                path.unlink()
            store = stage.running[1].writer.store
            write = store.write_floor
            store.write_floor = lambda floor: (time.sleep(0.5), write(floor))
            await stage.start(0)
            await stage.until(lambda: stage.running[0].role.publisher)
            behind.follow, behind.poll_once = methods
            await until_all_hold_one_version(stage)
            for distributor in stage.running.values():
                assert "engine-00002" not in distributor.catalog.replica.records

    run_scenario(scenario())
