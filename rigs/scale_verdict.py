"""Checks what the fronts of the scale rig held against what was published."""

from bisect import bisect_right
from math import inf, isinf
from typing import NamedTuple

from rigs.loop_lag import lag_between
from thistlelever.distribution.records import digest_of
from thistlelever.distribution.versions import NO_VERSION, Version, unpacked
from thistlelever.subsetting import EngineRing, FrontIdentity, SubsetParameters

# Up to this many fronts, every version of each is checked. Of more fronts this holds for every
# `SAMPLE_EVERY`-th; for the others, versions are checked that changed what they hold.
CHECK_ALL_UP_TO = 400
SAMPLE_EVERY = 16


class FrontHistory:
    """The versions that one front held, in order, as (life, version, moment, digest); a restart begins the
    next life. `lags` are the event loop lags of its process, which it shares with other fronts."""

    def __init__(self, place, process, lags):
        self.place, self.entries = place, []
        self.process, self.lags = process, lags
        self.outages = []


class InForce(NamedTuple):
    """How many seconds one change took to be in force at one front, and the moment when it was; both infinite
    where it never was."""

    seconds: float
    step: str
    front: str
    version: Version
    held_at: float


def logs_of(hollows, collected):
    """The history of each front by its name, from the logs that the hollow processes returned."""
    logs = {}
    for hollow, reply in zip(hollows, collected, strict=True):
        for front in hollow.fronts:
            logs[front["name"]] = FrontHistory(FrontIdentity(**front), hollow.name, reply["lags"])
        columns = (reply[key] for key in ("fronts", "lives", "versions", "moments", "digest_numbers"))
        for number, life, version, moment, digest in zip(*columns, strict=True):
            held = logs[hollow.fronts[number]["name"]]
            held.entries.append((life, unpacked(version), moment, int(reply["digests"][digest], 16)))
    return logs


def count_version_regressions(logs):
    """How often a front went to a lower version than it held before in the same life."""
    back = 0
    for held in logs.values():
        highest = {}
        for life, version, _, _ in held.entries:
            back += version < highest.get(life, NO_VERSION)
            highest[life] = max(version, highest.get(life, NO_VERSION))
    return back


class Content:
    """All engines at one version after the other, and the subset of them that a front must hold."""

    def __init__(self, subset):
        self.ring = EngineRing(SubsetParameters(**subset))
        self.records = {}

    def apply(self, upserts, removals):
        """Applies one change; returns the (upserts, removals) that undo it."""
        touched = [record.id for record in upserts] + list(removals)
        before = [self.records[engine] for engine in touched if engine in self.records]
        added = [engine for engine in touched if engine not in self.records]
        for engine in removals:
            self.records.pop(engine, None)
            self.ring.discard(engine)
        for record in upserts:
            self.records[record.id] = record
            self.ring.put(record)
        return before, added

    def subset(self, place):
        """The ids of the engines that a front must hold."""
        return self.ring.ids(place, (), False)

    def digest(self, place):
        """The digest of the records that a front must hold."""
        return digest_of(self.records[engine] for engine in self.subset(place))


def entries_by_version(logs):
    """The pairs of front and digest to check at each version. For fronts outside the sample, entries that
    repeat the digest of the entry before are left out."""
    found = {}
    for number, held in enumerate(logs.values()):
        every = len(logs) <= CHECK_ALL_UP_TO or number % SAMPLE_EVERY == 0
        before = None
        for life, version, _, digest in held.entries:
            if every or (life, digest) != before:
                found.setdefault(version, set()).add((held.place, digest))
            before = life, digest
    return found


def count_content_mismatches(logs, catalog, subset):
    """How many pairs of front and digest differ from what the front must hold at that version; versions that
    were never published count too. Returns that, the number of pairs checked, and the content at the end."""
    content, entries, mixed, checked = Content(subset), entries_by_version(logs), 0, 0
    published = {publication.version: publication for publication in catalog.publications}
    terms = {version.term for version in published}
    for version in sorted(set(entries) | set(published)):
        held = entries.get(version, ())
        checked += len(held)
        if version in published:
            content.apply(published[version].upserts, published[version].removals)
            mixed += sum(content.digest(place) != digest for place, digest in held)
        else:
            changes = list(catalog.unacknowledged.get(version, ()))
            if version.term not in terms:
                # A publisher claimed this term and published nothing in it: its first version has no changes.
                changes.append(((), ()))
            mixed += count_unexplained(content, changes, held)
    return mixed, checked, content


def count_unexplained(content, changes, held):
    """How many of the pairs at an unacknowledged version match none of the changes that it may consist of."""
    left = set(held)
    for upserts, removals in changes:
        before, added = content.apply(upserts, removals)
        left = {(place, digest) for place, digest in left if content.digest(place) != digest}
        content.apply(before, added)
    return len(left)


def times_in_force(logs, catalog, outages):
    """For each measured change and front, the time from the publish call until the front held that version or
    a newer one."""
    first = catalog.publications[0].version
    for outage in outages:
        for name in outage.fronts:
            logs[name].outages.append(outage)
    found = []
    measured = [p for p in catalog.publications if p.measured and p.version > first]
    for name, held in logs.items():
        highest, moments = [], []
        for _, version, moment, _ in held.entries:
            if not highest or version > highest[-1]:
                highest.append(version)
                moments.append(moment)
        for publication in measured:
            at = bisect_right(highest, publication.version)
            at -= at > 0 and highest[at - 1] == publication.version
            held_at = moments[at] if at < len(moments) else inf
            seconds = propagation_seconds(held_at, publication, held)
            found.append(InForce(seconds, publication.step, name, publication.version, held_at))
    return found


def last_in_force(times, logs):
    """Describes the change that took longest: the front that was last, when the others held it, and the event
    loop lag of that front's process meanwhile, in seconds. None where no change was measured."""
    if not times:
        return None
    last = max(times, key=lambda one: one.seconds)
    seconds = sorted(one.seconds for one in times if one.version == last.version)
    held = logs[last.front]
    lag = 0.0
    if not isinf(last.seconds):
        lag = lag_between(held.lags, last.held_at - last.seconds, last.held_at)
    return {
        "step": last.step,
        "version": str(last.version),
        "front": last.front,
        "process": held.process,
        "process_lag_s": round(lag, 3),
        "first_s": rounded_or_none(seconds[0]),
        "half_s": rounded_or_none(quantile(seconds, 0.5)),
        "ninth_tenth_s": rounded_or_none(quantile(seconds, 0.9)),
        "last_s": rounded_or_none(last.seconds),
        "over_half_as_late": sum(one > last.seconds / 2 for one in seconds),
    }


def rounded_or_none(seconds):
    """Seconds rounded to milliseconds, or None where infinite."""
    return None if isinf(seconds) else round(seconds, 3)


def propagation_seconds(moment, publication, held):
    """Seconds from the publish call, or from the end of a later outage of the front, until `moment`."""
    start = publication.sent_at
    for outage in held.outages:
        if outage.since <= moment and outage.till > start and moment >= outage.till:
            start = outage.till
    return max(moment - start, 0.0)


def check_final_state(holdings, catalog, content, logs):
    """Counts the fronts that differ at the end, by the kind of the difference, and the load of the engine
    that most fronts hold over the mean."""
    version, load = str(catalog.version), dict.fromkeys(catalog.records, 0)
    found = {"versions_differ": 0, "subsets_differ": 0, "lists_differ": 0, "gone_held": 0}
    for holding in holdings:
        place = logs[holding["name"]].place
        found["versions_differ"] += holding["version"] != version
        found["subsets_differ"] += int(holding["digest"], 16) != content.digest(place)
        found["lists_differ"] += not holding["listed_as_held"]
        found["gone_held"] += sum(engine not in catalog.records for engine in holding["engines"])
        for engine in holding["engines"]:
            if engine in load:
                load[engine] += 1
    mean = sum(load.values()) / max(len(load), 1)
    found["load_max_over_mean"] = round(max(load.values()) / mean, 3) if mean else None
    return found


def quantile(values, fraction):
    """The value below which this fraction of the sorted values lies; infinite where there are none."""
    return values[min(int(len(values) * fraction), len(values) - 1)] if values else inf
