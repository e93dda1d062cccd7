"""The scale rig's record of what it published: the engines that exist, and each version with its time and its
changes. The fronts' logs are checked against it."""

from collections import defaultdict
from typing import NamedTuple

from thistlelever.distribution.records import EngineRecord, digest_of
from thistlelever.distribution.versions import Version

# The relative frequency of each kind and of each weight, and the number of cells.
KINDS = ((8, "std"), (1, "large"))
CELLS = 4
WEIGHTS = ((3, 4.0), (1, 8.0))
# Start times of engines, in seconds since the epoch, count from here.
STARTED = 1_700_000_000.0


class Publication(NamedTuple):
    """One version: when the call that published it was sent (monotonic seconds), and what it changed. The
    time until it is in force counts only where `measured` is set."""

    version: Version
    sent_at: float
    upserts: tuple[EngineRecord, ...]
    removals: tuple[str, ...]
    step: str
    measured: bool = True


class Catalog:
    """The engines that are published at present, and every version that was published."""

    def __init__(self, chance, engines, zones, addresses):
        self.chance, self.zones = chance, zones
        # Engines share these addresses, as only a few real fronts connect to them.
        self.addresses = addresses
        self.records = {}
        self.publications = []
        # For each version that no publisher acknowledged, as it was killed or stopped meanwhile: the possible
        # changes, each relative to the newest acknowledged version before it.
        self.unacknowledged = defaultdict(list)
        for number in range(engines):
            record = self.make_record(number)
            self.records[record.id] = record

    def make_record(self, number):
        """The record of the engine with this number, drawn by the seed."""
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
        """Adds a published version and applies its changes to the records."""
        for record in upserts:
            self.records[record.id] = record
        for engine in removals:
            self.records.pop(engine, None)
        publication = Publication(version, sent_at, tuple(upserts), tuple(removals), step, measured)
        self.publications.append(publication)

    def add_unacknowledged(self, version, upserts, removals):
        """Notes a change whose publisher failed before its answer: the version may exist with it, or not at
        all."""
        self.unacknowledged[version].append((tuple(upserts), tuple(removals)))

    @property
    def version(self):
        """The newest published version."""
        return self.publications[-1].version

    def digest(self):
        """The digest of all records."""
        return digest_of(self.records.values())

    def digest_with(self, upserts, removals):
        """The digest that the content would have after a change."""
        records = self.records | {record.id: record for record in upserts}
        return digest_of(record for record in records.values() if record.id not in removals)

    def engines_of_zone(self, zone):
        """The records of all engines in a zone."""
        return [record for record in self.records.values() if record.zone == zone]

    def choose_engine(self, *what):
        """The record of one published engine, drawn by the seed and the label `what`."""
        names = sorted(self.records)
        return self.records[names[self.chance.below(len(names), *what)]]


def restart_changes(record, moment):
    """The three changes of an engine's restart, as (upserts, removals): draining, removed, and added with a
    start time that is `moment` + 1 seconds later."""
    return (
        ([record._replace(draining=True)], []),
        ([], [record.id]),
        ([record._replace(draining=False, started=record.started + 1 + moment)], []),
    )
