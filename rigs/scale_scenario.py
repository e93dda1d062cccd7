"""What the scale rig does to its yard: publishes changes, breaks what the seed says, and notes for whom the
clock of a change starts later."""

import asyncio
import json
import sys
from time import monotonic
from typing import NamedTuple

from rigs.scale_catalog import restart_changes
from rigs.scale_tier import RefusedError
from thistlelever.distribution.versions import parse

# How long a change may take to be in force everywhere.
IN_FORCE_LIMIT_S = 9.0
# Of each distributor's log and of late fronts so many are shown where something is late.
LINES_SHOWN = 6
# What a call to a distributor may end in where that distributor was broken on purpose.
CALL_FAILED = (RefusedError, OSError, TimeoutError, asyncio.IncompleteReadError)


class Outage(NamedTuple):
    """These fronts could not hear of a change from then till then: the clock of what was published meanwhile
    starts for them at the end of it."""

    fronts: frozenset[str]
    since: float
    till: float


class Scenario:
    """Publishes changes for one run and keeps the book of them."""

    def __init__(self, deployment, catalog, chance):
        self.deployment, self.tier, self.catalog, self.chance = deployment, deployment.tier, catalog, chance
        self.broken, self.outages, self.figures = [], [], {}
        self.step_durations = []
        self.number = 0
        # Changes that no majority of the distributors held by the time they were answered.
        self.unconfirmed = 0
        self.repairs = []

    def record_violation(self, rule):
        if rule not in self.broken:
            self.broken.append(rule)

    async def publish_whole(self, step):
        """The first list."""
        sent_at = monotonic()
        records = list(self.catalog.records.values())
        version = await self.tier.publisher.publish_whole(None, records)
        self.catalog.record_publication(version, sent_at, records, (), step)

    async def publish(self, upserts, removals, step):
        """One change, which the publisher has to take."""
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
        """A publish call failed: whether its change was made all the same."""
        wanted = digest_text(self.catalog.digest_with(upserts, removals))
        try:
            status = await self.tier.publisher.status()
        except CALL_FAILED:
            return
        if status["digest"] == wanted:
            self.catalog.record_publication(parse(status["version"]), sent_at, upserts, removals, step)

    def next_change(self, step):
        """One of the three changes of an engine's restart, in their order."""
        number, stage = divmod(self.number, 3)
        self.number += 1
        if stage == 0:
            self.restarting = self.catalog.choose_engine("restart", step, number)
        return restart_changes(self.restarting, number)[stage]

    async def finish_restart(self, step):
        """An engine that is half-way through its restart comes back."""
        while self.number % 3:
            await self.publish(*self.next_change(step), step)

    async def changes(self, count, every, step):
        """So many changes of one engine each, at that pace."""
        for _ in range(count):
            await self.publish(*self.next_change(step), step)
            await asyncio.sleep(every)

    async def settle(self, step, excluding=(), within=IN_FORCE_LIMIT_S):
        """Until the newest version is in force at every front that can hear of it."""
        took = await self.deployment.settle(self.catalog.version, within, excluding)
        if took is None:
            self.record_violation(f"fronts without the newest version {within:g} s after: {step}")
            await self.describe(step, excluding)
        return took

    async def describe(self, step, excluding):
        """What distributors and late fronts say of themselves, on standard error."""
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
        self.outages.append(Outage(frozenset(names), since, monotonic()))

    async def promote(self, distributor, in_flight, step):
        """Another becomes the publisher. What was acknowledged has to be there; `in_flight`, a change whose
        fate is unknown, may be."""
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
        """Into the book: which content the new publisher begins with."""
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
