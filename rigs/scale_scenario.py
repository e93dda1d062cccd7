"""What the steps of the scale rig share: publishing changes, waiting until they are in force, promoting a
publisher, and recording broken rules and outages of fronts."""

import asyncio
import json
import sys
from time import monotonic
from typing import NamedTuple

from rigs.scale_catalog import restart_changes
from rigs.scale_tier import RefusedError
from thistlelever.distribution.versions import parse

# How many seconds a change may take to be in force everywhere.
IN_FORCE_LIMIT_S = 9.0
# Where a change is late, this many lines of each distributor's log and this many late fronts of each process
# are printed.
LINES_SHOWN = 6
# What a call to a distributor may raise where the rig killed or stopped that distributor.
CALL_FAILED = (RefusedError, OSError, TimeoutError, asyncio.IncompleteReadError)


class Outage(NamedTuple):
    """A span (monotonic seconds) in which these fronts could receive nothing: for them, the time in force of
    a change that was published meanwhile counts from its end."""

    fronts: frozenset[str]
    since: float
    till: float


class Scenario:
    """Publishes the changes of one run and records them in the catalog."""

    def __init__(self, deployment, catalog, chance):
        self.deployment, self.tier, self.catalog, self.chance = deployment, deployment.tier, catalog, chance
        self.broken, self.outages, self.figures = [], [], {}
        self.step_durations = []
        self.number = 0
        # Changes that were answered before a majority of the distributors held them.
        self.unconfirmed = 0
        self.repairs = []

    def record_violation(self, rule):
        """Records the text of a broken rule, once."""
        if rule not in self.broken:
            self.broken.append(rule)

    async def publish_whole(self, step):
        """Publishes all records as the first list."""
        sent_at = monotonic()
        records = list(self.catalog.records.values())
        version = await self.tier.publisher.publish_whole(None, records)
        self.catalog.record_publication(version, sent_at, records, (), step)

    async def publish(self, upserts, removals, step):
        """Publishes one change, which the publisher must accept."""
        sent_at = monotonic()
        expected = self.catalog.version
        try:
            version, confirmed = await self.tier.publisher.publish(expected, upserts, removals)
        except CALL_FAILED as error:
            self.record_violation(f"a sound change was not published during: {step} ({error!r})")
            await self.resolve_failed_publish(sent_at, upserts, removals, step)
            return
        self.catalog.record_publication(version, sent_at, upserts, removals, step)
        self.unconfirmed += not confirmed

    async def resolve_failed_publish(self, sent_at, upserts, removals, step):
        """After a failed publish call: records the change if the publisher made it nevertheless."""
        wanted = digest_text(self.catalog.digest_with(upserts, removals))
        try:
            status = await self.tier.publisher.status()
        except CALL_FAILED:
            return
        if status["digest"] == wanted:
            self.catalog.record_publication(parse(status["version"]), sent_at, upserts, removals, step)

    def next_change(self, step):
        """The next of the three changes of an engine's restart."""
        number, stage = divmod(self.number, 3)
        self.number += 1
        if stage == 0:
            self.restarting = self.catalog.choose_engine("restart", step, number)
        return restart_changes(self.restarting, number)[stage]

    async def finish_restart(self, step):
        """Publishes the rest of an engine restart that is half done."""
        while self.number % 3:
            await self.publish(*self.next_change(step), step)

    async def changes(self, count, every, step):
        """Publishes `count` changes of one engine each, with `every` seconds between them."""
        for _ in range(count):
            await self.publish(*self.next_change(step), step)
            await asyncio.sleep(every)

    async def settle(self, step, excluding=(), within=IN_FORCE_LIMIT_S):
        """Waits until the newest version is in force at every hollow front outside the processes in
        `excluding`; a broken rule where that takes over `within` seconds. Returns the seconds, or None."""
        took = await self.deployment.settle(self.catalog.version, within, excluding)
        if took is None:
            self.record_violation(f"fronts without the newest version {within:g} s after: {step}")
            await self.describe(step, excluding)
        return took

    async def describe(self, step, excluding):
        """Prints the state of the distributors and of late fronts to standard error."""
        print(f"not in force after {step}: {self.catalog.version}", file=sys.stderr)
        for distributor in self.tier.distributors:
            try:
                status = await distributor.status()
            except CALL_FAILED as error:
                print(f"d{distributor.index}: {error!r}", file=sys.stderr)
                continue
            status["fronts"] = len(status["fronts"])
            print(json.dumps(status | {"lagging": len(status["lagging"])}), file=sys.stderr)
            for line in distributor.child.log[-LINES_SHOWN:]:
                print(f"  {json.dumps(line)}", file=sys.stderr)
        for hollow in self.deployment.hollows:
            holdings = [] if hollow in excluding else await hollow.child.request("holdings")
            late = [one for one in holdings if one["version"] != str(self.catalog.version)]
            for front in late[:LINES_SHOWN]:
                del front["engines"]
                print(json.dumps(front), file=sys.stderr)

    def record_outage(self, names, since):
        """Records an outage of these fronts that ends now."""
        self.outages.append(Outage(frozenset(names), since, monotonic()))

    async def promote(self, distributor, in_flight, step):
        """Promotes a distributor to publisher. It must hold every acknowledged change; it may hold
        `in_flight`, a change of unknown outcome."""
        sent_at = monotonic()
        till = sent_at + IN_FORCE_LIMIT_S
        while True:
            try:
                await distributor.promote()
                status = await self.tier.until(distributor, lambda reply: reply["role"] == "publisher", 5.0)
                break
            except CALL_FAILED as error:
                if monotonic() > till:
                    self.record_violation(f"nobody could be promoted during: {step} ({error!r})")
                    return
                await asyncio.sleep(0.2)
        self.tier.publisher = distributor
        await self.record_takeover(status, sent_at, in_flight, step)

    async def record_takeover(self, status, sent_at, in_flight, step):
        """Records the content that the new publisher starts with."""
        version, digest = status["version"], status["digest"]
        if digest == digest_text(self.catalog.digest()):
            self.catalog.record_publication(parse(version), sent_at, (), (), step, measured=False)
        elif in_flight and digest == digest_text(self.catalog.digest_with(*in_flight)):
            self.catalog.record_publication(parse(version), sent_at, *in_flight, step, measured=False)
        else:
            self.record_violation(f"an acknowledged change was lost during: {step}")
            self.catalog.record_publication(parse(version), sent_at, (), (), step, measured=False)


def digest_text(digest):
    """A digest as distributors write it."""
    return f"{digest:032x}"
