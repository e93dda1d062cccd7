"""Configuration by distributors: checked before it is published, in force at a known version, rolled back."""

import asyncio
import json

import pytest
from distributor_stage import HEARTBEAT, engine, tier
from stage import brisk
from test_subscribed_front import SubscribedStage

from thistlelever.distribution.records import documents_of
from thistlelever.distribution.versions import parse
from thistlelever.lifecycle.distributed_configuration import OPERATOR_DOCUMENT, check_document

CHECKS = {OPERATOR_DOCUMENT: check_document}


def budgets(**shares):
    """A document with budgets that guarantee these shares to these brokers."""
    brokers = {name: {"guarantee": share} for name, share in shares.items()}
    return json.dumps({"budgets": {"brokers": brokers}})


def play(scenario, count=2, **sections):
    """Run a scenario with distributors that check and accept the operator document."""

    async def staged():
        async with tier(count, engines=6, **sections) as stage:
            for distributor in stage.running.values():
                distributor.role.document_checks = CHECKS
            await scenario(stage)

    asyncio.run(asyncio.wait_for(staged(), 60))


def contents(subscription):
    return {record.name: record.content for record in documents_of(subscription.replica.records.values())}


def test_a_document_reaches_every_front_at_once_and_engines_stay_as_they_are():
    async def scenario(stage):
        fronts = [stage.subscribe(f"front-{rank}", rank) for rank in range(3)]
        await stage.until(lambda: all(front.replica.records for front in fronts))
        engines = len(fronts[0].replica.records)
        version = await stage.publish(documents={"operator": budgets(acme=0.5)})
        await stage.until_version(version, *fronts)
        assert all(contents(front) == {"operator": budgets(acme=0.5)} for front in fronts)
        assert len(fronts[0].replica.records) == engines + 1
        # Publishing a whole engine list leaves documents as they are.
        version = await stage.publish(engines=[engine(number) for number in range(5)])
        await stage.until_version(version, *fronts)
        assert contents(fronts[0]) == {"operator": budgets(acme=0.5)}
        version = await stage.publish(documents={"operator": None})
        await stage.until_version(version, *fronts)
        assert contents(fronts[0]) == {}

    play(scenario)


@pytest.mark.parametrize(
    "document, word",
    [
        ("{", "no JSON"),
        ("[]", "object"),
        (json.dumps({"colour": 1}), "colour"),
        (json.dumps({"budgets": {"brokers": {"acme": {"guarantee": 2}}}}), "guarantee"),
        (budgets(acme=0.7, zeta=0.7), "budgets"),
        (json.dumps({"membership": {"tier": "t"}}), "membership"),
        (json.dumps({"budgets": {}}) + " " * 20_000, "at most 16384 bytes"),
    ],
)
def test_a_document_that_no_front_could_use_is_refused_by_name_and_the_old_one_stays(document, word):
    async def scenario(stage):
        front = stage.subscribe()
        version = await stage.publish(documents={"operator": budgets(acme=0.5)})
        await stage.until_version(version, front)
        status, answer = await stage.call(0, "POST", "/v1/publish", {"documents": {"operator": document}})
        assert status == 409 and "documents.operator" in answer["error"] and word in answer["error"], answer
        await asyncio.sleep(HEARTBEAT)
        assert str(front.replica.version) == version and contents(front)["operator"] == budgets(acme=0.5)

    play(scenario, 1)


def test_a_document_that_nobody_checks_is_refused():
    async def scenario(stage):
        status, answer = await stage.call(0, "POST", "/v1/publish", {"documents": {"other": "{}"}})
        assert status == 409 and "operator" in answer["error"]

    play(scenario, 1)


def test_an_engine_can_not_pass_for_a_document():
    async def scenario(stage):
        change = {"upserts": [engine(1, id="document:operator")]}
        status, answer = await stage.call(0, "POST", "/v1/publish", change)
        assert status == 409 and "document:" in answer["error"]

    play(scenario, 1)


def test_documents_are_kept_on_disk_and_followed(tmp_path):
    async def scenario(stage):
        version = await stage.publish(documents={"operator": budgets(acme=0.5)})
        await stage.until(lambda: stage.running[1].catalog.version == parse(version))
        await stage.stop(1)
        restarted = await stage.start(1)
        assert restarted.catalog.version == parse(version)
        assert [d.content for d in restarted.catalog.documents.values()] == [budgets(acme=0.5)]
        report = (await stage.call(1, "GET", "/v1/status"))[1]
        assert report["documents"] == ["operator"] and report["engines"] == 6

    play(scenario, stores=tmp_path)


def test_two_halves_of_a_cut_hold_two_versions_and_never_a_mixture():
    async def scenario(stage):
        near = stage.subscribe("near", 0, distributors=(stage.addresses[0],))
        far = stage.subscribe("far", 1, distributors=(stage.addresses[1],))
        version = await stage.publish(documents={"operator": budgets(acme=0.25)})
        await stage.until_version(version, near, far)
        cut = stage.running[1].follower
        cut.distributors, addresses = (("127.0.0.1", 9),) * 2, cut.distributors
        cut.poll_task.cancel()
        newer = await stage.publish(
            documents={"operator": budgets(acme=0.5)}, upserts=[engine(1, weight=2.0)]
        )
        await stage.until_version(newer, near)
        await asyncio.sleep(2 * HEARTBEAT)
        weights = {front: front.replica.records["engine-00001"].weight for front in (near, far)}
        assert (contents(near)["operator"], weights[near]) == (budgets(acme=0.5), 2.0)
        assert (contents(far)["operator"], weights[far]) == (budgets(acme=0.25), 1.0)
        cut.distributors = addresses
        await stage.until_version(newer, near, far)
        assert contents(far) == contents(near) and far.counts["snapshots"] == 0

    play(scenario)


def test_a_front_puts_the_document_in_force_and_rolls_back_with_a_new_version():
    async def scenario(stage):
        front = SubscribedStage(stage)
        front.sections["budgets"] = {"brokers": {"zeta": {"guarantee": 0.125}}}
        try:
            with brisk():
                await front.serve()
                gate = front.server.batch_tasks.gate
                shown = front.server.discovery.show

                def guarantees():
                    brokers = gate.fair_queue.tree.plan.brokers
                    return {name: branch.share.guarantee for name, branch in brokers.items()}

                assert guarantees() == {"zeta": 0.125}
                first = await stage.publish(documents={"operator": budgets(acme=0.5)})
                await stage.until(lambda: guarantees() == {"acme": 0.5})
                assert shown()["configuration"] == {"in_force_since": first, "refused": ""}
                second = await stage.publish(documents={"operator": budgets(acme=0.75)})
                await stage.until(lambda: guarantees() == {"acme": 0.75})
                third = await stage.publish(documents={"operator": budgets(acme=0.5)})
                await stage.until(lambda: guarantees() == {"acme": 0.5})
                assert parse(first) < parse(second) < parse(third)
                assert shown()["configuration"]["in_force_since"] == third
                # A change of engines leaves the document alone; without one the front's own file holds.
                await stage.publish(upserts=[engine(1, zone="nord")])
                await stage.publish(documents={"operator": None})
                await stage.until(lambda: guarantees() == {"zeta": 0.125})
                assert shown()["configuration"]["in_force_since"] is None
        finally:
            with brisk():
                await front.end()

    play(scenario)


def test_a_front_that_can_not_use_the_document_keeps_what_is_in_force_and_says_so():
    async def scenario(stage):
        front = SubscribedStage(stage)
        front.sections["budgets"] = {"brokers": {"zeta": {"guarantee": 0.125}}}
        for distributor in stage.running.values():
            # As if the publisher were of another release, whose check accepts more.
            distributor.role.document_checks = {OPERATOR_DOCUMENT: lambda text: None}
        try:
            with brisk():
                await front.serve()
                first = await stage.publish(documents={"operator": budgets(acme=0.5)})
                configuration = front.server.discovery.configuration
                await stage.until(lambda: str(configuration.in_force_since) == first)
                await stage.publish(documents={"operator": budgets(acme=0.75, zeta=0.75)})
                await stage.until(lambda: configuration.refused)
                assert str(configuration.in_force_since) == first
                assert any(event == "reload refused" for event, _ in front.events)
                await stage.publish(documents={"operator": budgets(acme=0.25)})
                await stage.until(lambda: not configuration.refused)
        finally:
            with brisk():
                await front.end()

    play(scenario)
