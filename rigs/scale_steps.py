"""The steps of the scale rig: steady state, then each fault. Each step repairs what it broke, or starts the
repair that `whole` waits for."""

import asyncio
import signal
from time import monotonic

from rigs.scale_catalog import STARTED
from rigs.scale_scenario import CALL_FAILED, Scenario
from thistlelever.distribution.versions import parse

# Seconds between changes. The operators' 5,000 restarts a day are 0.17 changes a second; the rig is faster.
STEADY_EVERY_S = 1.0
BURST_CHANGES, BURST_EVERY_S = 20, 0.1
LOSS_SHARE = 0.05
LOSS_CHANGES, LOSS_EVERY_S = 6, 0.5
MISROUTED_SHARE, MISROUTED_CHANGES = 0.2, 12
# A stopped distributor continues this many seconds after one heartbeat, by when its fronts have gone to
# others.
STOPPED_S = 1.0
CUT_S = 1.5
# The comparison of hollow and real fronts changes each engine once: the number of changes, the seconds
# between them, and the most engines in one.
COMPARISON_CHANGES, COMPARISON_EVERY_S, MAX_CHANGED_ENGINES = 12, 0.35, 4_000
# Seconds from sending a change until a process is killed or stopped.
CHANGE_UNDER_WAY_S = 0.002
# Seconds within which a publisher that was killed or stopped may still answer a call.
ANSWER_WITHIN_S = 0.5


class Steps(Scenario):
    """One method for each step; names of faults are in `FAULTS` and `PUBLISHER_STEPS` of `rigs.scale`."""

    async def steady(self, seconds):
        """Publishes single changes for so many seconds. Returns the measurements before and after, and the
        cores that each distributor used."""
        before, spent, began = await self.deployment.measure(), self.deployment.distributor_cpu(), monotonic()
        await self.changes(int(seconds / STEADY_EVERY_S), STEADY_EVERY_S, "steady state")
        after, took = await self.deployment.measure(), monotonic() - began
        cores = {
            index: (cpu - spent[index]) / took for index, cpu in self.deployment.distributor_cpu().items()
        }
        await self.finish_restart("steady state")
        await self.settle("steady state")
        return before, after, cores

    async def zone_lost(self):
        """All engines of a zone are removed in one change, and added again in one."""
        zones = self.deployment.zones
        zone = zones[self.chance.below(len(zones), "zone lost")]
        lost = self.catalog.engines_of_zone(zone)
        await self.publish((), [record.id for record in lost], "zone lost")
        await self.settle("zone lost")
        back = [record._replace(started=record.started + 60.0) for record in lost]
        await self.publish(back, (), "zone back")
        await self.settle("zone back")

    async def burst(self):
        """Changes come faster than they spread, and more than distributors keep; some fronts are suspended
        during all of them."""
        suspended, since = self.deployment.suspended, monotonic()
        suspended.child.signal(signal.SIGSTOP)
        await self.changes(BURST_CHANGES, BURST_EVERY_S, "burst")
        await self.finish_restart("burst")
        await self.settle("burst", excluding=(suspended,))
        suspended.child.signal(signal.SIGCONT)
        self.record_outage(suspended.names, since)
        await self.settle("fronts woken")

    async def comparison(self):
        """Changes that concern every front. Returns the measurements of hollow processes before and after,
        and the cores that each real front used."""
        began, before = monotonic(), await self.deployment.measure()
        real_before = [front.cpu() for front in self.deployment.real]
        for round_number in range(COMPARISON_CHANGES):
            changed = [
                record._replace(weight=record.weight + 1.0)
                for number, record in enumerate(self.catalog.records.values())
                if number % COMPARISON_CHANGES == round_number
            ]
            await self.publish(changed[:MAX_CHANGED_ENGINES], (), "comparison")
            await asyncio.sleep(COMPARISON_EVERY_S)
        took, after = monotonic() - began, await self.deployment.measure()
        real = [
            (front.cpu() - cpu) / took for front, cpu in zip(self.deployment.real, real_before, strict=True)
        ]
        await self.settle("comparison")
        return before, after, real

    async def restore(self, *distributors):
        """Starts killed distributors again in the background; `whole` waits for it."""
        self.repairs += [asyncio.create_task(one.start()) for one in distributors]

    async def whole(self):
        """Waits until all distributors run and hold the newest version."""
        await asyncio.gather(*self.repairs)
        self.repairs.clear()
        await self.tier.follow(self.catalog.version)

    def other_distributor(self, what):
        """A distributor that is neither the publisher nor the last one, which `island` cuts off."""
        others = [one for one in self.tier.distributors[:-1] if one is not self.tier.publisher]
        return others[self.chance.below(len(others), what)]

    async def distributor_killed(self):
        """A distributor is killed during a change and starts again later with its stored state."""
        await self.whole()
        victim = self.other_distributor("killed")
        change = asyncio.create_task(self.changes(3, 0.05, "distributor killed"))
        await asyncio.sleep(CHANGE_UNDER_WAY_S)
        await victim.kill()
        await change
        await self.settle("distributor killed")
        await self.restore(victim)

    async def distributor_stopped(self):
        """A distributor is stopped during a change: its connections stay open and silent."""
        await self.whole()
        victim = self.other_distributor("stopped")
        change = asyncio.create_task(self.changes(3, 0.05, "distributor stopped"))
        await asyncio.sleep(CHANGE_UNDER_WAY_S)
        victim.signal(signal.SIGSTOP)
        await change
        await asyncio.sleep(self.deployment.size.heartbeat_s + STOPPED_S)
        await self.changes(1, 0.0, "distributor stopped")
        victim.signal(signal.SIGCONT)
        await self.finish_restart("distributor stopped")
        await self.settle("distributor stopped")

    async def start_change(self, publisher, step):
        """Sends a change and waits a short random time. Returns the change, when it was sent, and the task of
        the call."""
        change = self.next_change(step)
        sent_at, expected = monotonic(), self.catalog.version
        task = asyncio.create_task(publisher.publish(expected, *change))
        await asyncio.sleep(CHANGE_UNDER_WAY_S * self.chance.share("in flight", step) * 2)
        return change, sent_at, task

    async def break_publisher(self, step, break_it):
        """The publisher fails during a change, and another distributor is promoted; returns the former
        publisher."""
        await self.whole()
        former, successor = self.tier.publisher, self.other_distributor(f"{step} heir")
        change, sent_at, task = await self.start_change(former, step)
        await break_it(former)
        unknown = change
        try:
            version, confirmed = await asyncio.wait_for(task, ANSWER_WITHIN_S)
        except CALL_FAILED:
            confirmed = False
        if confirmed:
            self.catalog.record_publication(version, sent_at, *change, step)
            unknown = None
        else:
            self.catalog.add_unacknowledged(next_version(self.catalog.version), *change)
        await self.promote(successor, unknown, step)
        await self.finish_restart(step)
        await self.changes(3, 0.05, step)
        return former

    async def publisher_killed(self):
        """The publisher is killed during a change."""
        former = await self.break_publisher("publisher killed", lambda one: one.kill())
        await self.settle("publisher killed")
        await self.restore(former)

    async def publisher_stopped(self):
        """The publisher is stopped during a change and continues after another was promoted: it must
        acknowledge no change any more."""

        async def stop(distributor):
            distributor.signal(signal.SIGSTOP)

        step, version = "publisher stopped", self.catalog.version
        former = await self.break_publisher(step, stop)
        former.signal(signal.SIGCONT)
        upserts = [self.catalog.choose_engine(step)._replace(draining=True)]
        self.record_rival_changes(version, upserts)
        try:
            _, confirmed = await former.publish(None, upserts, ())
        except CALL_FAILED:
            confirmed = False
        if confirmed:
            self.record_violation("two publishers: one whose term was over acknowledged a change")
        await self.settle(step)

    def record_rival_changes(self, version, upserts):
        """Notes the versions that the former publisher may create from a change: after the one that was under
        way, or in its place."""
        following = next_version(version)
        under_way = list(self.catalog.unacknowledged[following])
        self.catalog.add_unacknowledged(following, upserts, ())
        for first_upserts, first_removals in under_way:
            removals = [one for one in first_removals if one != upserts[0].id]
            self.catalog.add_unacknowledged(next_version(following), (*first_upserts, *upserts), removals)
        self.catalog.add_unacknowledged(next_version(following), upserts, ())

    async def loss(self):
        """A share of the distributors' answers is lost: the connection is reset, or falls silent."""
        await self.deployment.each_relay("lose", share=LOSS_SHARE)
        await self.changes(LOSS_CHANGES, LOSS_EVERY_S, "loss")
        await self.finish_restart("loss")
        await self.settle("loss")
        await self.deployment.each_relay("lose", share=0.0)

    async def misrouted(self):
        """A share of the answers is replaced by a delta for another front."""
        await self.deployment.each_relay("misroute", share=MISROUTED_SHARE)
        await self.changes(MISROUTED_CHANGES, BURST_EVERY_S, "misrouted")
        await self.deployment.each_relay("misroute", share=0.0)
        await self.settle("misrouted")

    async def restarted(self, names, step):
        """Restarts these fronts at once; returns the seconds that each took to its first list."""
        since = monotonic()
        await self.deployment.each("restart", names=names)
        self.record_outage(names, since)
        await self.settle(step)
        took = [
            seconds for reply in await self.deployment.each("ready_after", names=names) for seconds in reply
        ]
        return [NEVER_READY_S if seconds is None else seconds for seconds in took]

    async def zone_restarted(self):
        """All hollow fronts of one zone restart at once."""
        zone = self.deployment.zones[self.chance.below(len(self.deployment.zones), "zone restarted")]
        names = [front["name"] for front in self.deployment.hollow_fronts if front["zone"] == zone]
        await self.publish(*self.next_change("zone restarted"), "zone restarted")
        await self.restarted(names, "zone restarted")
        await self.finish_restart("zone restarted")

    async def all_restarted(self):
        """Every hollow front restarts at once; adds the connections that they open to the figures."""
        names = [front["name"] for front in self.deployment.hollow_fronts]
        since = monotonic()
        took = sorted(await self.restarted(names, "all restarted"))
        counts = await self.deployment.each_relay("counts", since=since, till=monotonic())
        self.figures["restart_ready_p90_s"] = round(took[int(len(took) * 0.9)], 3)
        self.figures["restart_connections"] = sum(one["opened"] for one in counts)
        self.figures["restart_peak_per_s"] = sum(one["peak_per_s"] for one in counts)

    async def held_by(self, hollow):
        """The record of an engine that a front of this process holds, both drawn by the seed."""
        holdings = await hollow.child.request("holdings")
        holding = holdings[self.chance.below(len(holdings), "cut off front")]
        names = [engine for engine in holding["engines"] if engine in self.catalog.records]
        return self.catalog.records[names[self.chance.below(len(names), "cut off engine")]]

    async def cut_off(self):
        """The fronts of one process are cut off from every distributor while an engine is removed and another
        engine gets its address."""
        hollow = self.deployment.hollows[0]
        since = monotonic()
        await hollow.relay.request("cut", group=hollow.name)
        engine = await self.held_by(hollow)
        await self.publish([engine._replace(draining=True)], (), "cut off")
        await self.publish((), [engine.id], "cut off")
        replacement = engine._replace(id=f"{engine.id}-heir", cell=engine.cell + 1, started=STARTED * 1.01)
        await self.publish([replacement], (), "cut off")
        await asyncio.sleep(CUT_S)
        await hollow.relay.request("heal", group=hollow.name)
        self.record_outage(hollow.names, since)
        await self.settle("cut off")
        holdings = await hollow.child.request("holdings")
        if any(engine.id in holding["engines"] or not holding["listed_as_held"] for holding in holdings):
            self.record_violation("an engine whose address is another's is held after word of it")

    async def island(self):
        """A distributor is cut off from the others during changes; then another is killed, whose fronts come
        to the first with newer versions."""
        await self.whole()
        relay, victim = self.deployment.relays[0], self.other_distributor("island")
        island = self.tier.distributors[-1]
        if island is self.tier.publisher:
            return
        await relay.request("cut", group="island")
        await self.changes(3, 0.05, "distributor cut off")
        await asyncio.sleep(0.5)
        await victim.kill()
        await asyncio.sleep(CUT_S)
        await relay.request("heal", group="island")
        await self.finish_restart("distributor cut off")
        await self.settle("distributor cut off")
        await self.restore(victim)


# Seconds recorded for a front that never got its first list.
NEVER_READY_S = 99.0


def next_version(version):
    """The next version of the same publisher."""
    return version._replace(number=version.number + 1)


async def versions_of(tier):
    """The version and digest that each running distributor holds."""
    living = [one for one in tier.distributors if one.child.running]
    statuses = await asyncio.gather(*(one.status() for one in living))
    return [(parse(status["version"]), status["digest"]) for status in statuses]
