"""The scale rig's verdict: what the fronts held against the book of what was published."""

from bisect import bisect_right
from math import inf, isinf
from typing import NamedTuple

from rigs.loop_lag import lag_between
from thistlelever.distribution.records import digest_of
from thistlelever.distribution.versions import NO_VERSION, Version, unpacked
from thistlelever.subsetting import EngineRing, FrontIdentity, SubsetParameters

# Of many fronts every so many-th has each of its versions checked, the others those that changed what they
# hold.
CHECK_ALL_UP_TO = 400
SAMPLE_EVERY = 16


class FrontHistory:
    """What one front held since when: in order, as (life, version, moment, digest); and the lags of the
    process that it shares with others."""

    def __init__(self, place, process, lags):
        self.place, self.entries = place, []
        self.process, self.lags = process, lags
        self.outages = []


class InForce(NamedTuple):
    """How long one change took to be in force at one front, and when it was; infinite where it never was."""

    seconds: float
    step: str
    front: str
    version: Version
    held_at: float


def logs_of(hollows, collected):
    """Each front's log by its name."""
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
    """How often a front went to a lower version within one life."""
    back = 0
    for held in logs.values():
        highest = {}
        for life, version, _, _ in held.entries:
            back += version < highest.get(life, NO_VERSION)
            highest[life] = max(version, highest.get(life, NO_VERSION))
    return back


class Content:
    """The whole content at one version after the other, and what a front must hold of it."""

    def __init__(self, subset):
        self.ring = EngineRing(SubsetParameters(**subset))
        self.records = {}

    def apply(self, upserts, removals):
        """One change; what undoes it."""
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
        return self.ring.ids(place, (), False)

    def digest(self, place):
        return digest_of(self.records[engine] for engine in self.subset(place))


def entries_by_version(logs):
    """Who held what at each version, without what says nothing new of a front that is not in the sample."""
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
    """How often a front held at a version what is not that version's content for its place; versions that
    nobody published count too. Also the content at the end."""
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
                # The first version of a term that was claimed and never came to a publication.
                changes.append(((), ()))
            mixed += count_unexplained(content, changes, held)
    return mixed, checked, content


def count_unexplained(content, changes, held):
    """How many hold under a version without acknowledgement what none of the changes would give."""
    left = set(held)
    for upserts, removals in changes:
        before, added = content.apply(upserts, removals)
        left = {(place, digest) for place, digest in left if content.digest(place) != digest}
        content.apply(before, added)
    return len(left)


def times_in_force(logs, catalog, outages):
    """How long each measured change took at each front, from the call until it held that or a newer one."""
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
    """Of the change that took longest: the front that was last, when others held it, and how long the process
    of that front stood still meanwhile. None where no change was measured."""
    if not times:
        return None
    last = max(times, key=lambda one: one.seconds)
    seconds = sorted(one.seconds for one in times if one.version == last.version)
    held = logs[last.front]
    still = 0.0
    if not isinf(last.seconds):
        still = lag_between(held.lags, last.held_at - last.seconds, last.held_at)
    return {
        "step": last.step,
        "version": str(last.version),
        "front": last.front,
        "process": held.process,
        "process_lag_s": round(still, 3),
        "first_s": rounded_or_none(seconds[0]),
        "half_s": rounded_or_none(quantile(seconds, 0.5)),
        "ninth_tenth_s": rounded_or_none(quantile(seconds, 0.9)),
        "last_s": rounded_or_none(last.seconds),
        "over_half_as_late": sum(one > last.seconds / 2 for one in seconds),
    }


def rounded_or_none(seconds):
    return None if isinf(seconds) else round(seconds, 3)


def propagation_seconds(moment, publication, held):
    """How long it took, from the end of what the front could not hear through."""
    start = publication.sent_at
    for outage in held.outages:
        if outage.since <= moment and outage.till > start and moment >= outage.till:
            start = outage.till
    return max(moment - start, 0.0)


def check_final_state(holdings, catalog, content, logs):
    """What each front holds at the end: differing ones by kind, and how often each engine is held."""
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
    """The value that so large a part of the sorted values is below."""
    return values[min(int(len(values) * fraction), len(values) - 1)] if values else inf
