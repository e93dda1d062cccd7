"""A front that subscribes to its engine list: in place of DNS, across cuts, as engines leave its subset."""

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
from thistlelever.ground import interface as it
from thistlelever.ground import config as front_config
from thistlelever.ground.metrics import Metrics
from thistlelever.lifecycle import run
from thistlelever.standins.configuration import configuration
from thistlelever.store.roll import Roll


def record(name, port, **fields):
    base = EngineRecord(name, "nord", 0, "std", f"127.0.0.1:{port}", False, 0.0, 1.0)
    return base._replace(**fields)


class Subscribed:
    """A `SubscribedList` whose subscription is fed by hand, with all that it tells."""

    def __init__(self):
        self.replica, self.told, self.forgotten = Replica(strict=False), [], []
        self.subscription = SimpleNamespace(replica=self.replica, heard_at=0.0)
        self.roll = Roll()
        desk = SimpleNamespace(log=lambda event, **facts: None, tell=self.told.append, metrics=Metrics())
        names = KnownNames(("nord", "sud"), ("std",))
        self.list = SubscribedList(self.subscription, self.roll, self.forgotten.append, desk, names)
        self.fronts = 4

    def holds(self, *records, gone=()):
        """The subscription now holds just these."""
        wanted = {one.id: one for one in records}
        removals = tuple(Removal(name, name in gone) for name in self.replica.records if name not in wanted)
        removals += tuple(Removal(name, True) for name in gone if name not in self.replica.records)
        version = Version(1, self.replica.version.number + 1)
        digest = digest_of(records)
        delta = Delta(self.replica.version, self.replica.digest, version, digest, tuple(records), removals)
        assert self.replica.receive(delta) is Outcome.APPLIED
        self.list.changed(Listing(tuple(gone), self.fronts))

    def states(self):
        """What the decisions were told last."""
        return {engine.id.decode(): engine.state for engine in self.told[-1].engines}


READY, DRAINING = it.EngineState.READY, it.EngineState.DRAINING


def test_the_decisions_are_told_the_subset_with_how_many_fronts_share_it():
    front = Subscribed()
    front.holds(record("a", 1), record("b", 2, draining=True))
    assert front.states() == {"a": READY, "b": DRAINING}
    assert front.told[-1].fronts == 4 and front.roll.sharing == 4
    assert front.told[-1].kind is it.ListKind.WHOLE


def test_an_engine_that_leaves_the_subset_is_kept_as_draining_while_queries_are_out_there():
    front = Subscribed()
    front.holds(record("a", 1), record("b", 2))
    front.roll.begin(b"a")
    front.holds(record("b", 2))
    assert front.states() == {"a": DRAINING, "b": READY}
    assert front.list.retained() == ("a",) and not front.roll.open_to(b"a")
    assert front.roll.reachable(front.roll.entries[b"a"]) and not front.forgotten
    # The distributor goes on telling of it, as an engine outside the subset.
    front.holds(record("a", 1, in_subset=False), record("b", 2))
    assert front.states() == {"a": DRAINING, "b": READY} and front.list.retained() == ("a",)
    front.roll.end(b"a")
    assert front.list.retained() == ()
    front.holds(record("b", 2))
    assert front.states() == {"b": READY} and front.forgotten == [b"a"]


def test_a_retained_engine_that_is_gone_is_not_reached_any_more():
    front = Subscribed()
    front.holds(record("a", 1), record("b", 2))
    front.roll.begin(b"a")
    front.holds(record("b", 2))
    entry = front.roll.entries[b"a"]
    front.holds(record("b", 2), gone=("a",))
    assert front.states() == {"b": READY} and not front.roll.reachable(entry)


def test_an_address_that_another_engine_has_now_is_not_the_former_ones():
    front = Subscribed()
    front.holds(record("a", 1))
    front.roll.begin(b"a")
    entry = front.roll.entries[b"a"]
    front.holds(record("new", 1))
    assert not front.roll.reachable(entry) and front.roll.reachable(front.roll.entries[b"new"])


def test_an_engine_of_an_unknown_zone_is_left_out_and_counted():
    front = Subscribed()
    front.holds(record("a", 1), record("b", 2, zone="elsewhere"), record("c", 3, kind="huge"))
    assert front.states() == {"a": READY}
    assert front.list.desk.metrics.counts["engines of the list that can't be used"] == 2


class SubscribedStage(Stage):
    """A whole front on a stage whose operator file names a tier of distributors."""

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
        """Start the front with no engine known."""
        self.config = configuration((), settings=self.settings)
        await self.open_directory()
        read = front_config.read(self.config, {})
        self.office = run.Office(read, self.log, lambda: read, self.operator(), self.operator)
        self.running = asyncio.create_task(self.office.run())
        await self.until(lambda: any(event == "ready" for event, _ in self.events))
        listen = next(facts["listen"] for event, facts in self.events if event == "ready")
        self.reader, self.writer = await asyncio.open_connection(*listen, limit=2**20)
        self.hearing = asyncio.create_task(self.hear())

    async def holds(self, version):
        """The front is at this version."""
        replica = self.office.inquiry.subscription.replica
        await self.distributors.until(lambda: str(replica.version) == version)


def play(scenario, engines):
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


def test_a_front_serves_by_its_subscription_and_never_asks_the_directory():
    async def scenario(stage, distributors):
        await stage.do_submit("1", "lookup")
        await stage.do_answer("1", "result", "rows")
        assert stage.directory.query_count == 0
        shown = stage.office.questions()["engines.show"]()
        assert shown["engines"] == 2 and shown["distributor"] and shown["age_s"] < 2
        assert shown["version"] == str(distributors.running[0].catalog.version)

    play(scenario, ("cala", "duna"))


def test_nothing_new_goes_to_an_engine_that_was_drained_while_the_front_was_cut_off():
    async def scenario(stage, distributors):
        discovery = stage.office.inquiry
        # Cut off: the front reaches no distributor.
        discovery.subscription.terms = discovery.subscription.terms._replace(
            distributors=(("127.0.0.1", 9), ("127.0.0.1", 9))
        )
        for distributor in distributors.running.values():
            await distributor.server.close_all_connections()
        await distributors.publish(upserts=[stage.published("cala", draining=True)])
        await distributors.publish(removals=["cala"])
        # Its address is another engine's by now.
        await stage.do_engine("elba")
        heir = stage.published("elba", address=f"127.0.0.1:{stage.port('cala')}")
        version = await distributors.publish(upserts=[heir])
        await asyncio.sleep(2 * HEARTBEAT)
        # The front goes on by what it has, and says how old that is.
        await stage.do_submit("1", "lookup")
        await stage.do_answer("1", "result", "rows")
        assert discovery.show()["distributor"] is None and discovery.show()["age_s"] >= HEARTBEAT
        discovery.subscription.terms = discovery.subscription.terms._replace(
            distributors=distributors.addresses
        )
        await stage.holds(version)
        assert not stage.office.roll.open_to(b"cala")
        assert discovery.subscription.counts["snapshots"] == 0

    play(scenario, ("cala", "duna"))


def test_switched_off_nothing_of_it_is_imported():
    program = (
        "import sys, thistlelever.cli.main, thistlelever.lifecycle.run;"
        "print([name for name in sys.modules if 'distribut' in name or 'subset' in name])"
    )
    said = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert json.loads(said.stdout.replace("'", '"')) == []
