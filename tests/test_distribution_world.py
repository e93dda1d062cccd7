"""A simulation of distributors and fronts in which a test decides which updates are sent, lost, duplicated,
reordered or damaged, and which parties restart or are restored. After each step it checks the content of each
receiver against the published versions.
"""

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


class Message(NamedTuple):
    """One update in transit."""

    sender: int
    receiver: Distributor | Front
    update: Update


class Backup(NamedTuple):
    """The stored state of a distributor at one moment."""

    content: Snapshot
    floor: Version


class Distributor:
    """A distributor with the whole content, which may also be the publisher or a claimant."""

    def __init__(self, index: int, replica_class: type[Replica]) -> None:
        self.index = index
        self.replica_class = replica_class
        self.backup = Backup(Snapshot(NO_VERSION, 0, ()), NO_VERSION)
        self.start(self.backup, promises_intact=True)

    def start(self, backup: Backup, *, promises_intact: bool) -> None:
        """Starts from stored state: the present one, or an older one that may lack promises."""
        self.replica = self.replica_class(strict=True)
        self.replica.receive(backup.content)
        self.replica.floor = backup.floor
        self.history = History(MAX_CHANGES)
        self.views: dict[str, SentViews] = {}
        self.publisher: Publisher | None = None
        self.claim: Claim | None = None
        self.promises_intact = promises_intact

    def highest_observed(self) -> Version:
        """The highest version observed by its last claim or publisher."""
        by_claim = self.claim.highest() if self.claim is not None else NO_VERSION
        by_publisher = self.publisher.superseded if self.publisher is not None else None
        return max(by_claim, by_publisher or NO_VERSION)

    def stored(self) -> Backup:
        return Backup(self.replica.snapshot(), self.replica.floor)

    def content_since(self, version: Version, digest: int) -> Update:
        return self.history.since(version, digest) or self.replica.snapshot()


class Front:
    """A front with its subset of the content, and the engines that it retains."""

    def __init__(self, name: str, replica_class: type[Replica]) -> None:
        self.name = name
        self.replica = replica_class(strict=False)
        self.retained: set[str] = set()

    def restart(self) -> None:
        """Restarts without content; only the version below which it accepts nothing is kept."""
        self.replica = type(self.replica)(strict=False, floor=self.replica.highest())
        self.retained = set()

    def holds_in_subset(self, record: EngineRecord) -> bool:
        """The subset depends on the weight, so that an engine leaves and enters it while it exists."""
        return crc32(f"{self.name}/{record.id}/{record.weight}".encode()) % 3 != 0


class World:
    """The whole simulation. `published` holds the content of each version ever published."""

    def __init__(self, replica_class: type[Replica] = Replica) -> None:
        self.published: dict[Version, dict[str, EngineRecord]] = {NO_VERSION: {}}
        self.distributors = [Distributor(index, replica_class) for index in range(DISTRIBUTORS)]
        self.fronts = [Front(f"front-{number}", replica_class) for number in range(FRONTS)]
        self.in_transit: list[Message] = []
        # Coverage: how often each outcome occurred, and how many retained records were checked.
        self.outcomes: Counter[tuple[str, Outcome]] = Counter()
        self.retained_records_checked = 0

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
        assert delta.version not in self.published, f"two contents of {delta.version}"
        self.published[delta.version] = dict(sender.replica.records)
        for receiver in self.distributors:
            if receiver is not sender:
                self.in_transit.append(Message(sender.index, receiver, delta))

    # Claims.

    def promote(self, index: int) -> None:
        """Runs a whole claim in which every distributor replies."""
        self.start_claim(index)
        for other in range(DISTRIBUTORS):
            self.ask_for_highest(index, other)
        for other in range(DISTRIBUTORS):
            self.ask_for_promise(index, other)

    def start_claim(self, index: int) -> None:
        claimant = self.distributors[index]
        observed = claimant.highest_observed()
        claimant.claim = Claim(index, DISTRIBUTORS, promises_intact=claimant.promises_intact)
        claimant.claim.observe(observed)
        claimant.claim.record_highest(index, claimant.replica.highest())

    def ask_for_highest(self, index: int, other: int) -> None:
        claimant, asked = self.distributors[index], self.distributors[other]
        if claimant.claim is None or not asked.promises_intact or other == index:
            return
        claimant.claim.record_highest(other, asked.replica.highest())
        if claimant.claim.term() is not None and not claimant.promises_intact:
            promise(claimant.replica, claimant.claim.highest().term)
            claimant.promises_intact = True

    def ask_for_promise(self, index: int, other: int) -> None:
        """Requests a promise, after the claimant's own; the claimant becomes the publisher with a
        majority."""
        claimant, asked = self.distributors[index], self.distributors[other]
        claim = claimant.claim
        if claim is None or claim.term() is None or claim.superseded() or not asked.promises_intact:
            return
        for promiser in (claimant, asked):
            if not promise(promiser.replica, claim.term()):
                claim.observe(promiser.replica.highest())
                return
            claim.record_promise(promiser.index, promiser.replica.version)
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
        self.in_transit.append(Message(source, receiver, update))

    def watch(self, number: int, index: int) -> None:
        """A front polls a distributor, which replies by the views that it recorded for that front."""
        front, distributor = self.fronts[number], self.distributors[index]
        held, records = front.replica, distributor.replica.records
        views = distributor.views.setdefault(front.name, SentViews())
        view = views.acknowledge(held.version, held.digest)
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
        self.in_transit.append(Message(index, front, answer))

    def deliver(self, position: int) -> None:
        if not self.in_transit:
            return
        message = self.in_transit.pop(position % len(self.in_transit))
        if isinstance(message.receiver, Distributor):
            self._deliver_to_distributor(message)
        else:
            self._deliver_to_front(message)

    def lose(self, position: int) -> None:
        if self.in_transit:
            self.in_transit.pop(position % len(self.in_transit))

    def duplicate(self, position: int) -> None:
        if self.in_transit:
            self.in_transit.append(self.in_transit[position % len(self.in_transit)])

    def damage(self, position: int) -> None:
        """Changes the records of an update in transit, but not the digest announced by its sender."""
        if not self.in_transit:
            return
        position %= len(self.in_transit)
        message = self.in_transit[position]
        if isinstance(message.update, Snapshot):
            update = message.update._replace(records=message.update.records[1:])
        else:
            update = message.update._replace(upserts=message.update.upserts[1:])
        self.in_transit[position] = message._replace(update=update)

    def _deliver_to_distributor(self, message: Message) -> None:
        receiver, sender = message.receiver, self.distributors[message.sender]
        outcome = self._receive(receiver.replica, message.update)
        self.check_distributor(receiver)
        if outcome is Outcome.APPLIED and isinstance(message.update, Delta):
            receiver.history.append(message.update)
        elif outcome is Outcome.APPLIED:
            receiver.history.clear()
        elif outcome is Outcome.STALE and sender.publisher is not None:
            sender.publisher.observe(receiver.replica.highest())

    def _deliver_to_front(self, message: Message) -> None:
        front, update = message.receiver, message.update
        outcome = self._receive(front.replica, update)
        self.check_front(front)
        if outcome is not Outcome.APPLIED:
            return
        if isinstance(update, Snapshot):
            front.retained -= self._removed_ids(front.replica.version, front.retained)
            return
        for removal in update.removals:
            exists = removal.id in self.published[update.version]
            assert removal.gone != exists, f"{removal} at {update.version}"
            (front.retained.discard if removal.gone else front.retained.add)(removal.id)

    def _removed_ids(self, version: Version, ids: set[str]) -> set[str]:
        return {engine_id for engine_id in ids if engine_id not in self.published[version]}

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
        self.distributors[index].backup = self.distributors[index].stored()

    def restart(self, index: int) -> None:
        distributor = self.distributors[index]
        distributor.start(distributor.stored(), promises_intact=distributor.promises_intact)

    def restore(self, index: int) -> None:
        """Starts from the backup, unless another distributor may already lack promises."""
        others = [other for other in self.distributors if other.index != index]
        if all(other.promises_intact for other in others):
            self.distributors[index].start(self.distributors[index].backup, promises_intact=False)

    # Invariants.

    def check(self) -> None:
        for distributor in self.distributors:
            self.check_distributor(distributor)
        for front in self.fronts:
            self.check_front(front)

    def check_distributor(self, distributor: Distributor) -> None:
        replica = distributor.replica
        assert replica.records == self.published[replica.version], f"not the content of {replica.version}"
        assert replica.digest == digest_of(replica.records.values())

    def check_front(self, front: Front) -> None:
        replica, content = front.replica, self.published[front.replica.version]
        in_subset = {key: record for key, record in replica.records.items() if record.in_subset}
        retained = {key: record for key, record in replica.records.items() if not record.in_subset}
        subset = {key: record for key, record in content.items() if front.holds_in_subset(record)}
        self.retained_records_checked += len(retained)
        assert in_subset == subset, f"not the subset of {replica.version}"
        assert all(content[key]._replace(in_subset=False) == record for key, record in retained.items())
        assert replica.digest == digest_of(replica.records.values())

    def converge(self) -> None:
        """Drops the updates in transit and polls without faults until all parties must hold the newest
        version."""
        self.in_transit.clear()
        self._restore_publisher()
        newest = self.distributors[0].replica
        for _ in range(2):
            for number in range(FRONTS):
                self.watch(number, number % DISTRIBUTORS)
            self._deliver_all()
        self.check()
        for receiver in [*self.distributors, *self.fronts]:
            assert receiver.replica.version == newest.version, "not all have the newest version"
        for front in self.fronts:
            assert not self._removed_ids(newest.version, front.retained), "retained though gone"
            assert front.retained <= front.replica.records.keys()

    def _restore_publisher(self) -> None:
        """Distributors that may lack promises get replies of the others; then distributor 0 claims, twice in
        case another one had promised a higher term."""
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
        while self.in_transit:
            self.deliver(0)


def wanted_records(front: Front, records: dict[str, EngineRecord]) -> list[EngineRecord]:
    """The front's subset, and the engines that it retains besides."""
    wanted = [record for record in records.values() if front.holds_in_subset(record)]
    for engine_id in sorted(front.retained):
        record = records.get(engine_id)
        if record is not None and not front.holds_in_subset(record):
            wanted.append(record._replace(in_subset=False))
    return wanted
