"""The scale rig's own book: which engines there are, what was published as which version and when, and what
each front must hold at a version."""

from collections import defaultdict
from typing import NamedTuple

from thistlelever.distribution.records import EngineRecord, digest_of
from thistlelever.distribution.versions import Version

# Of all engines: the kinds and how common each is, the cells, and the share with an own weight.
KINDS = ((8, "std"), (1, "large"))
CELLS = 4
WEIGHTS = ((3, 4.0), (1, 8.0))
STARTED = 1_700_000_000.0


class Publication(NamedTuple):
    """One version: when the call that published it was sent, and what it changed. `measured`: whether its
    time in force counts."""

    version: Version
    sent_at: float
    upserts: tuple[EngineRecord, ...]
    removals: tuple[str, ...]
    step: str
    measured: bool = True


class Catalog:
    """The engines as the rig has them, and every version that was published."""

    def __init__(self, chance, engines, zones, addresses):
        self.chance, self.zones = chance, zones
        # Where engines listen: they share these, as nothing but a few real fronts connects to them.
        self.addresses = addresses
        self.records = {}
        self.publications = []
        # Versions that nobody acknowledged, as their publisher broke: the changes that each may consist of,
        # applied to the newest version before it that was acknowledged.
        self.unacknowledged = defaultdict(list)
        for number in range(engines):
            record = self.make_record(number)
            self.records[record.id] = record

    def make_record(self, number):
        zone = self.zones[number % len(self.zones)]
        return EngineRecord(
            id=f"engine-{number:05d}",
            zone=zone,
            cell=1 + self.chance.below(CELLS, "cell", number),
            kind=self.chance.among(KINDS, "kind", number),
            address=self.addresses[number % len(self.addresses)],
            draining=False,
            started=STARTED + number,
            weight=self.chance.among(WEIGHTS, "weight", number),
        )

    def record_publication(self, version, sent_at, upserts, removals, step, measured=True):
        """What was published is content from now on."""
        for record in upserts:
            self.records[record.id] = record
        for engine in removals:
            self.records.pop(engine, None)
        publication = Publication(version, sent_at, tuple(upserts), tuple(removals), step, measured)
        self.publications.append(publication)

    def add_unacknowledged(self, version, upserts, removals):
        """A change under way as its publisher broke may be that version, and may never be."""
        self.unacknowledged[version].append((tuple(upserts), tuple(removals)))

    @property
    def version(self):
        return self.publications[-1].version

    def digest(self):
        return digest_of(self.records.values())

    def digest_with(self, upserts, removals):
        """The digest that the content would have after a change."""
        records = self.records | {record.id: record for record in upserts}
        return digest_of(record for record in records.values() if record.id not in removals)

    def engines_of_zone(self, zone):
        return [record for record in self.records.values() if record.zone == zone]

    def choose_engine(self, *what):
        """Some engine that is there, by the seed."""
        names = sorted(self.records)
        return self.records[names[self.chance.below(len(names), *what)]]


def restart_changes(record, moment):
    """The three changes of an engine that restarts: drained, gone, and back with a later start."""
    return (
        ([record._replace(draining=True)], []),
        ([], [record.id]),
        ([record._replace(draining=False, started=record.started + 1 + moment)], []),
    )
