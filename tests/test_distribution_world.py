"""A world of distributors and fronts in which a test decides what is sent, lost, doubled, reordered, damaged,
restarted and restored; after each step it checks what each receiver holds against a book of the versions."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple
from zlib import crc32

from thistlelever.distribution.claim import Claim, catch_up, promise
from thistlelever.distribution.history import History
from thistlelever.distribution.messages import Delta, Snapshot, Update
from thistlelever.distribution.publisher import Publisher, SupersededError
from thistlelever.distribution.records import EngineRecord, digest_of
from thistlelever.distribution.replica import Outcome, Replica
from thistlelever.distribution.versions import NO_VERSION, Version
from thistlelever.distribution.views import SentViews, difference, smallest_update, snapshot

DISTRIBUTORS = 3
FRONTS = 2
MAX_CHANGES = 3


class Flight(NamedTuple):
    """One update under way."""

    sender: int
    receiver: Distributor | Front
    update: Update


class Backup(NamedTuple):
    """What a distributor's file held at one moment."""

    content: Snapshot
    floor: Version


class Distributor:
    """The whole content; at times the role of the publisher, and a claim to it."""

    def __init__(self, index: int, replica_class: type[Replica]) -> None:
        self.index = index
        self.replica_class = replica_class
        self.backup = Backup(Snapshot(NO_VERSION, 0, ()), NO_VERSION)
        self.start(self.backup, remembers=True)

    def start(self, backup: Backup, *, remembers: bool) -> None:
        """Starts from a file: the present one, or an old one that may have forgotten promises."""
        self.replica = self.replica_class(strict=True)
        self.replica.receive(backup.content)
        self.replica.floor = backup.floor
        self.history = History(MAX_CHANGES)
        self.views: dict[str, SentViews] = {}
        self.publisher: Publisher | None = None
        self.claim: Claim | None = None
        self.remembers = remembers

    def learned(self) -> Version:
        """What its last claim or publisher heard of."""
        by_claim = self.claim.highest() if self.claim is not None else NO_VERSION
        by_publisher = self.publisher.superseded if self.publisher is not None else None
        return max(by_claim, by_publisher or NO_VERSION)

    def file(self) -> Backup:
        return Backup(self.replica.snapshot(), self.replica.floor)

    def content_since(self, version: Version, digest: int) -> Update:
        return self.history.since(version, digest) or self.replica.snapshot()


class Front:
    """A view of the content, and the engines that it retains."""

    def __init__(self, name: str, replica_class: type[Replica]) -> None:
        self.name = name
        self.replica = replica_class(strict=False)
        self.retained: set[str] = set()

    def restart(self) -> None:
        """All that it keeps is the version below which it does not go."""
        self.replica = type(self.replica)(strict=False, floor=self.replica.highest())
        self.retained = set()

    def holds_in_subset(self, record: EngineRecord) -> bool:
        """An engine also leaves and enters the subset while it exists: here by its weight."""
        return crc32(f"{self.name}/{record.id}/{record.weight}".encode()) % 3 != 0


class World:
    """All of it. `book` has the content of each version that was ever published."""

    def __init__(self, replica_class: type[Replica] = Replica) -> None:
        self.book: dict[Version, dict[str, EngineRecord]] = {NO_VERSION: {}}
        self.distributors = [Distributor(index, replica_class) for index in range(DISTRIBUTORS)]
        self.fronts = [Front(f"front-{number}", replica_class) for number in range(FRONTS)]
        self.under_way: list[Flight] = []
        # How often the world met what it is for.
        self.outcomes: Counter[tuple[str, Outcome]] = Counter()
        self.retained_records_seen = 0

    # Publishing.

    def publish(self, index: int, upserts: list[EngineRecord], removed_ids: list[str]) -> None:
        distributor = self.distributors[index]
        if distributor.publisher is None:
            return
        try:
            delta = distributor.publisher.publish(upserts, removed_ids, None)
        except SupersededError:
            distributor.publisher = None
            return
        if delta is not None:
            self._spread(distributor, delta)

    def _spread(self, sender: Distributor, delta: Delta) -> None:
        assert delta.version not in self.book, f"two contents of {delta.version}"
        self.book[delta.version] = dict(sender.replica.records)
        for receiver in self.distributors:
            if receiver is not sender:
                self.under_way.append(Flight(sender.index, receiver, delta))

    # Claims.

    def promote(self, index: int) -> None:
        """A whole claim in which everybody answers."""
        self.start_claim(index)
        for other in range(DISTRIBUTORS):
            self.ask_for_highest(index, other)
        for other in range(DISTRIBUTORS):
            self.ask_for_promise(index, other)

    def start_claim(self, index: int) -> None:
        claimant = self.distributors[index]
        learned = claimant.learned()
        claimant.claim = Claim(index, DISTRIBUTORS, remembers=claimant.remembers)
        claimant.claim.observe(learned)
        claimant.claim.record_highest(index, claimant.replica.highest())

    def ask_for_highest(self, index: int, other: int) -> None:
        claimant, asked = self.distributors[index], self.distributors[other]
        if claimant.claim is None or not asked.remembers or other == index:
            return
        claimant.claim.record_highest(other, asked.replica.highest())
        if claimant.claim.term() is not None and not claimant.remembers:
            promise(claimant.replica, claimant.claim.highest().term)
            claimant.remembers = True

    def ask_for_promise(self, index: int, other: int) -> None:
        """The claimant promises first; with the last promise that it needs it becomes the publisher."""
        claimant, asked = self.distributors[index], self.distributors[other]
        claim = claimant.claim
        if claim is None or claim.term() is None or claim.superseded() or not asked.remembers:
            return
        for giver in (claimant, asked):
            if not promise(giver.replica, claim.term()):
                claim.observe(giver.replica.highest())
                return
            claim.record_promise(giver.index, giver.replica.version)
        if claim.newest_holder() is not None:
            self._begin(claimant, claim)

    def _begin(self, claimant: Distributor, claim: Claim) -> None:
        claimant.claim = None
        outcome = catch_up(claimant.replica, self.distributors[claim.newest_holder()].replica.snapshot())
        assert outcome in (Outcome.APPLIED, Outcome.UNCHANGED)
        if claimant.replica.highest() > Version(claim.term(), 0):
            return
        claimant.history = History(MAX_CHANGES)
        claimant.publisher = Publisher(claimant.replica, claimant.history, claim.term())
        self._spread(claimant, claimant.publisher.begin())

    # Distribution.

    def pull(self, index: int, source: int) -> None:
        receiver, sender = self.distributors[index], self.distributors[source]
        update = sender.content_since(receiver.replica.version, receiver.replica.digest)
        self.under_way.append(Flight(source, receiver, update))

    def watch(self, number: int, index: int) -> None:
        """A front asks a distributor, which answers by what it remembers of the front."""
        front, distributor = self.fronts[number], self.distributors[index]
        held, records = front.replica, distributor.replica.records
        views = distributor.views.setdefault(front.name, SentViews())
        view = views.acknowledged(held.version, held.digest)
        wanted = wanted_records(front, records)
        if view is None:
            full = snapshot(distributor.replica.version, wanted)
            views.sent(full)
            answer = smallest_update(full, held.version, held.digest)
        else:
            exists = records.__contains__
            retained = sorted(front.retained)
            answer = difference(view, distributor.replica.version, wanted, exists, retained)
            views.sent(answer)
        self.under_way.append(Flight(index, front, answer))

    def deliver(self, position: int) -> None:
        if not self.under_way:
            return
        flight = self.under_way.pop(position % len(self.under_way))
        if isinstance(flight.receiver, Distributor):
            self._deliver_to_distributor(flight)
        else:
            self._deliver_to_front(flight)

    def lose(self, position: int) -> None:
        if self.under_way:
            self.under_way.pop(position % len(self.under_way))

    def double(self, position: int) -> None:
        if self.under_way:
            self.under_way.append(self.under_way[position % len(self.under_way)])

    def damage(self, position: int) -> None:
        """Changes what is under way, but for the digest that its sender announced."""
        if not self.under_way:
            return
        position %= len(self.under_way)
        flight = self.under_way[position]
        if isinstance(flight.update, Snapshot):
            update = flight.update._replace(records=flight.update.records[1:])
        else:
            update = flight.update._replace(upserts=flight.update.upserts[1:])
        self.under_way[position] = flight._replace(update=update)

    def _deliver_to_distributor(self, flight: Flight) -> None:
        receiver, sender = flight.receiver, self.distributors[flight.sender]
        outcome = self._receive(receiver.replica, flight.update)
        self.check_distributor(receiver)
        if outcome is Outcome.APPLIED and isinstance(flight.update, Delta):
            receiver.history.append(flight.update)
        elif outcome is Outcome.APPLIED:
            receiver.history.clear()
        elif outcome is Outcome.STALE and sender.publisher is not None:
            sender.publisher.observe(receiver.replica.highest())

    def _deliver_to_front(self, flight: Flight) -> None:
        front, update = flight.receiver, flight.update
        outcome = self._receive(front.replica, update)
        self.check_front(front)
        if outcome is not Outcome.APPLIED:
            return
        if isinstance(update, Snapshot):
            front.retained -= self._gone(front.replica.version, front.retained)
            return
        for removal in update.removals:
            exists = removal.id in self.book[update.version]
            assert removal.gone != exists, f"{removal} at {update.version}"
            (front.retained.discard if removal.gone else front.retained.add)(removal.id)

    def _gone(self, version: Version, ids: set[str]) -> set[str]:
        return {engine_id for engine_id in ids if engine_id not in self.book[version]}

    def _receive(self, replica: Replica, update: Update) -> Outcome:
        before = (replica.version, replica.digest, dict(replica.records))
        floor = replica.highest()
        outcome = replica.receive(update)
        self.outcomes[type(update).__name__, outcome] += 1
        assert replica.version >= before[0], "a version went back"
        if outcome is Outcome.APPLIED:
            assert replica.version >= floor, "a version went back behind the floor"
        else:
            assert (replica.version, replica.digest, replica.records) == before, (
                f"{outcome} changed a replica"
            )
        return outcome

    # Restarts.

    def back_up(self, index: int) -> None:
        self.distributors[index].backup = self.distributors[index].file()

    def restart(self, index: int) -> None:
        distributor = self.distributors[index]
        distributor.start(distributor.file(), remembers=distributor.remembers)

    def restore(self, index: int) -> None:
        """Starts from an older file, if nobody else may have forgotten promises."""
        others = [other for other in self.distributors if other.index != index]
        if all(other.remembers for other in others):
            self.distributors[index].start(self.distributors[index].backup, remembers=False)

    # What must hold.

    def check(self) -> None:
        for distributor in self.distributors:
            self.check_distributor(distributor)
        for front in self.fronts:
            self.check_front(front)

    def check_distributor(self, distributor: Distributor) -> None:
        replica = distributor.replica
        assert replica.records == self.book[replica.version], f"not the content of {replica.version}"
        assert replica.digest == digest_of(replica.records.values())

    def check_front(self, front: Front) -> None:
        replica, content = front.replica, self.book[front.replica.version]
        in_subset = {key: record for key, record in replica.records.items() if record.in_subset}
        retained = {key: record for key, record in replica.records.items() if not record.in_subset}
        subset = {key: record for key, record in content.items() if front.holds_in_subset(record)}
        self.retained_records_seen += len(retained)
        assert in_subset == subset, f"not the subset of {replica.version}"
        assert all(content[key]._replace(in_subset=False) == record for key, record in retained.items())
        assert replica.digest == digest_of(replica.records.values())

    def heal(self) -> None:
        """Ends all faults, and lets everybody ask as often as it takes: then all must agree."""
        self.under_way.clear()
        self._claim_for_good()
        newest = self.distributors[0].replica
        for _ in range(2):
            for number in range(FRONTS):
                self.watch(number, number % DISTRIBUTORS)
            self._deliver_all()
        self.check()
        for receiver in [*self.distributors, *self.fronts]:
            assert receiver.replica.version == newest.version, "not all have the newest version"
        for front in self.fronts:
            assert not self._gone(newest.version, front.retained), "retained though gone"
            assert front.retained <= front.replica.records.keys()

    def _claim_for_good(self) -> None:
        """Whoever forgot hears from the others; then the first distributor claims, and once more if somebody
        had promised a higher term."""
        for index in (1, 2):
            self.start_claim(index)
            for other in range(DISTRIBUTORS):
                self.ask_for_highest(index, other)
        for _ in range(2):
            self.promote(0)
            for index in range(1, DISTRIBUTORS):
                self.pull(index, 0)
            self._deliver_all()
        publisher = self.distributors[0].publisher
        assert publisher is not None and publisher.superseded is None

    def _deliver_all(self) -> None:
        while self.under_way:
            self.deliver(0)


def wanted_records(front: Front, records: dict[str, EngineRecord]) -> list[EngineRecord]:
    """The front's subset, and what it retains besides."""
    wanted = [record for record in records.values() if front.holds_in_subset(record)]
    for engine_id in sorted(front.retained):
        record = records.get(engine_id)
        if record is not None and not front.holds_in_subset(record):
            wanted.append(record._replace(in_subset=False))
    return wanted
