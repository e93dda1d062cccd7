"""A front that subscribes to its engine list: instead of DNS, when cut off, as engines leave its subset."""

import asyncio
import json
import subprocess
import sys
from types import SimpleNamespace

from distributor_stage import HEARTBEAT, PATIENCE, tier
from stage import Stage, brisk

from rigs.loopback import HOST
from thistlelever.carrier.subscribed_list import KnownNames, SubscribedList
from thistlelever.carrier.subscription import Listing
from thistlelever.distribution.messages import Delta, Removal
from thistlelever.distribution.records import EngineRecord, digest_of
from thistlelever.distribution.replica import Outcome, Replica
from thistlelever.distribution.versions import Version
from thistlelever.ground import config as front_config
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.lifecycle import run
from thistlelever.standins.configuration import configuration
from thistlelever.store.engine_registry import EngineRegistry


def record(name, port, **fields):
    base = EngineRecord(name, "nord", 0, "std", f"127.0.0.1:{port}", False, 0.0, 1.0)
    return base._replace(**fields)


class Subscribed:
    """A `SubscribedList` with a fake subscription, which records its notifications."""

    def __init__(self):
        self.replica, self.notifications, self.dropped = Replica(strict=False), [], []
        self.subscription = SimpleNamespace(replica=self.replica, heard_at=0.0)
        self.registry = EngineRegistry()
        decisions = SimpleNamespace(
            log=lambda event, **facts: None, add_event=self.notifications.append, metrics=Metrics()
        )
        names = KnownNames(("nord", "sud"), ("std",))
        self.list = SubscribedList(self.subscription, self.registry, self.dropped.append, decisions, names)
        self.fronts = 4

    def holds(self, *records, gone=()):
        """Make these the only records of the subscription."""
        wanted = {one.id: one for one in records}
        removals = tuple(Removal(name, name in gone) for name in self.replica.records if name not in wanted)
        removals += tuple(Removal(name, True) for name in gone if name not in self.replica.records)
        version = Version(1, self.replica.version.number + 1)
        digest = digest_of(records)
        delta = Delta(self.replica.version, self.replica.digest, version, digest, tuple(records), removals)
        assert self.replica.receive(delta) is Outcome.APPLIED
        self.list.changed(Listing(tuple(gone), self.fronts))

    def states(self):
        """Return the engine states of the last notification to the decisions."""
        return {engine.id.decode(): engine.state for engine in self.notifications[-1].engines}


READY, DRAINING = it.EngineState.READY, it.EngineState.DRAINING


def test_the_decisions_get_the_subset_and_the_number_of_fronts_that_share_it():
    front = Subscribed()
    front.holds(record("a", 1), record("b", 2, draining=True))
    assert front.states() == {"a": READY, "b": DRAINING}
    assert front.notifications[-1].fronts == 4 and front.registry.sharing_fronts == 4
    assert front.notifications[-1].kind is it.ListKind.WHOLE


def test_an_engine_that_leaves_the_subset_drains_while_it_runs_queries():
    front = Subscribed()
    front.holds(record("a", 1), record("b", 2))
    front.registry.dispatch_started(b"a")
    front.holds(record("b", 2))
    assert front.states() == {"a": DRAINING, "b": READY}
    assert front.list.retained() == ("a",) and not front.registry.accepts_dispatches(b"a")
    assert front.registry.is_reachable(front.registry.entries[b"a"]) and not front.dropped
    # The distributor keeps listing it, as an engine outside the subset.
    front.holds(record("a", 1, in_subset=False), record("b", 2))
    assert front.states() == {"a": DRAINING, "b": READY} and front.list.retained() == ("a",)
    front.registry.dispatch_ended(b"a")
    assert front.list.retained() == ()
    front.holds(record("b", 2))
    assert front.states() == {"b": READY} and front.dropped == [b"a"]


def test_a_retained_engine_that_is_gone_is_unreachable():
    front = Subscribed()
    front.holds(record("a", 1), record("b", 2))
    front.registry.dispatch_started(b"a")
    front.holds(record("b", 2))
    entry = front.registry.entries[b"a"]
    front.holds(record("b", 2), gone=("a",))
    assert front.states() == {"b": READY} and not front.registry.is_reachable(entry)


def test_an_engine_is_unreachable_once_another_engine_has_its_address():
    front = Subscribed()
    front.holds(record("a", 1))
    front.registry.dispatch_started(b"a")
    entry = front.registry.entries[b"a"]
    front.holds(record("new", 1))
    assert not front.registry.is_reachable(entry) and front.registry.is_reachable(
        front.registry.entries[b"new"]
    )


def test_an_engine_of_an_unknown_zone_is_left_out_and_counted():
    front = Subscribed()
    front.holds(record("a", 1), record("b", 2, zone="elsewhere"), record("c", 3, kind="huge"))
    assert front.states() == {"a": READY}
    assert front.list.decisions.metrics.counts["engines of the list that can't be used"] == 2


class SubscribedStage(Stage):
    """A stage with a front whose operator file has a tier of distributors."""

    def __init__(self, distributors):
        super().__init__()
        self.distributors = distributors
        self.sections["distribution"] = {
            "distributors": [f"{HOST}:{port}" for port in distributors.ports],
            "heartbeat_s": HEARTBEAT,
            "patience_s": PATIENCE,
        }

    def published(self, name, **fields):
        facts = {"id": name, "zone": "nord", "kind": "std", "cell": 0}
        return facts | {"address": f"127.0.0.1:{self.port(name)}"} | fields

    async def serve(self):
        """Start the front without a known engine."""
        self.config = configuration((), settings=self.settings)
        await self.open_directory()
        read = front_config.read(self.config, {})
        self.server = run.FrontServer(read, self.log, lambda: read, self.operator(), self.operator)
        self.running = asyncio.create_task(self.server.run())
        await self.until(lambda: any(event == "ready" for event, _ in self.events))
        listen = next(facts["listen"] for event, facts in self.events if event == "ready")
        self.reader, self.writer = await asyncio.open_connection(*listen, limit=2**20)
        self.hearing = asyncio.create_task(self.hear())

    async def holds(self, version):
        """Wait until the front is at this version."""
        replica = self.server.discovery.subscription.replica
        await self.distributors.until(lambda: str(replica.version) == version)


def run_scenario(scenario, engines):
    """Run a scenario with a whole front and these engines, published by two distributors."""

    async def staged():
        async with tier(2, subset={"fronts": 1}) as distributors:
            stage = SubscribedStage(distributors)
            try:
                for name in engines:
                    await stage.do_engine(name)
                await distributors.publish(engines=[stage.published(name) for name in engines])
                with brisk():
                    await stage.serve()
                    await scenario(stage, distributors)
            finally:
                with brisk():
                    await stage.end()

    asyncio.run(asyncio.wait_for(staged(), 60))


def test_a_subscribed_front_never_queries_the_directory():
    async def scenario(stage, distributors):
        await stage.do_submit("1", "lookup")
        await stage.do_answer("1", "result", "rows")
        assert stage.directory.query_count == 0
        status = stage.server.admin_handlers()["engines.show"]()
        assert status["engines"] == 2 and status["distributor"] and status["age_s"] < 2
        assert status["version"] == str(distributors.running[0].catalog.version)

    run_scenario(scenario, ("cala", "duna"))


def test_no_dispatch_goes_to_an_engine_that_was_drained_while_the_front_was_cut_off():
    async def scenario(stage, distributors):
        discovery = stage.server.discovery
        # Cut off: the front reaches no distributor.
        discovery.subscription.terms = discovery.subscription.terms._replace(
            distributors=(("127.0.0.1", 9), ("127.0.0.1", 9))
        )
        for distributor in distributors.running.values():
            await distributor.server.close_all_connections()
        await distributors.publish(upserts=[stage.published("cala", draining=True)])
        await distributors.publish(removals=["cala"])
        # Another engine gets its address.
        await stage.do_engine("elba")
        successor = stage.published("elba", address=f"127.0.0.1:{stage.port('cala')}")
        version = await distributors.publish(upserts=[successor])
        await asyncio.sleep(2 * HEARTBEAT)
        # The front continues with the list that it has, and reports its age.
        await stage.do_submit("1", "lookup")
        await stage.do_answer("1", "result", "rows")
        assert discovery.show()["distributor"] is None and discovery.show()["age_s"] >= HEARTBEAT
        discovery.subscription.terms = discovery.subscription.terms._replace(
            distributors=distributors.addresses
        )
        await stage.holds(version)
        assert not stage.server.registry.accepts_dispatches(b"cala")
        assert discovery.subscription.counts["snapshots"] == 0

    run_scenario(scenario, ("cala", "duna"))


def test_no_module_of_the_distribution_is_imported_when_it_is_off():
    program = (
        "import sys, thistlelever.cli.main, thistlelever.lifecycle.run;"
        "print([name for name in sys.modules if 'distribut' in name or 'subset' in name])"
    )
    result = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert json.loads(result.stdout.replace("'", '"')) == []
