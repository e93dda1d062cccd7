"""Creates the versions of the whole content: one validated change after the other."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from thistlelever.distribution.history import History
from thistlelever.distribution.messages import Delta, Removal
from thistlelever.distribution.records import (
    DIGEST_MASK,
    EngineRecord,
    Record,
    documents_of,
    engines_of,
    record_digest,
)
from thistlelever.distribution.replica import Outcome, Replica
from thistlelever.distribution.validation import (
    MAX_DOCUMENTS,
    MAX_RECORDS,
    MAX_RECORDS_PER_CHANGE,
    PublishRefusedError,
    validate,
    validate_documents,
    validate_removed_ids,
)
from thistlelever.distribution.versions import Version

__all__ = ["PublishRefusedError", "Publisher", "SupersededError", "UnexpectedVersionError", "validate"]


class SupersededError(PublishRefusedError):
    """Another publisher has a newer version or a higher term."""


class UnexpectedVersionError(PublishRefusedError):
    """The change was prepared for another version than the present one."""


class Publisher:
    """The publisher of one term. It modifies `replica` and appends to `history`; nothing else may modify
    them.

    A refused change (`PublishRefusedError`) has no effect. Once a version is observed that is newer than
    those of this publisher and was not created by it (`observe`), `superseded` holds that version and every
    further publish is refused: the role requires a new claim (`claim.Claim`) and a new publisher.
    """

    def __init__(self, replica: Replica, history: History, term: int) -> None:
        """Raises `ValueError` if the replica has held or promised a version above the start of `term`."""
        if replica.highest() > Version(term, 0):
            raise ValueError(f"a term above that of {replica.highest()} expected, found {term}")
        self.replica = replica
        self.history = history
        self.term = term
        self.superseded: Version | None = None
        self._published = replica.version
        self._ids_by_address = {record.address: record.id for record in engines_of(replica.records.values())}

    def observe(self, version: Version) -> None:
        """Records a version that exists elsewhere. If it is newer than this publisher's newest version, it
        comes from another publisher, or from this one before it was restored from a backup."""
        if version > max(self._published, Version(self.term, 0)):
            self.superseded = max(version, self.superseded or version)

    def begin(self) -> Delta:
        """Publishes a version of this term without changes, so that receivers refuse earlier terms even
        before the first change. Raises `SupersededError`."""
        self._check_role(None)
        return self._commit([], [])

    def publish(
        self, upserts: Sequence[Record], removed_ids: Sequence[str], expected: Version | None
    ) -> Delta | None:
        """Publishes a change; the time depends on the size of the change, not of the content. `expected` is
        the version that the change was prepared for, None for any.

        Upserts equal to the records held and removals of unknown ids are dropped, so that a change may be
        sent again. Returns None, and keeps the version, if nothing remains. Raises `PublishRefusedError` or
        one of its subclasses.
        """
        self._check_role(expected)
        size = len(upserts) + len(removed_ids)
        if size > MAX_RECORDS_PER_CHANGE:
            raise PublishRefusedError(
                f"upserts, removed_ids: at most {MAX_RECORDS_PER_CHANGE} together expected; found {size}"
            )
        engines, documents = tuple(engines_of(upserts)), tuple(documents_of(upserts))
        validate(engines, "upserts")
        validate_documents(documents)
        upserted_ids = {record.id for record in upserts}
        validate_removed_ids(removed_ids, upserted_ids)
        self._check_addresses(engines, upserted_ids.union(removed_ids))
        changed = [record for record in upserts if self.replica.records.get(record.id) != record]
        removed = [removed_id for removed_id in removed_ids if removed_id in self.replica.records]
        return self._commit_if_any(changed, removed)

    def replace_all(self, records: Sequence[EngineRecord], expected: Version | None) -> Delta | None:
        """Publishes the smallest change that results in exactly these engines and leaves documents unchanged.
        Returns None if nothing differs. Raises `PublishRefusedError` or one of its subclasses.

        An empty list is refused, since it is far more often a fault of its source than intended. To remove
        all engines, remove them by id.
        """
        self._check_role(expected)
        if not records:
            raise PublishRefusedError("engines: at least one record expected; found none")
        held = self.replica.records
        validate(records)
        kept_ids = {record.id for record in records}
        changed = [record for record in records if held.get(record.id) != record]
        removed = [engine.id for engine in engines_of(held.values()) if engine.id not in kept_ids]
        return self._commit_if_any(changed, removed)

    def _check_role(self, expected: Version | None) -> None:
        self.observe(self.replica.highest())
        if self.superseded is not None:
            raise SupersededError(
                f"term: the newest expected; found {self.term}, older than {self.superseded}"
            )
        if expected is not None and expected != self.replica.version:
            raise UnexpectedVersionError(f"expected: {self.replica.version} expected; found {expected}")

    def _check_addresses(self, upserts: Sequence[EngineRecord], changed_ids: set[str]) -> None:
        """Refuses an upsert with the address of an engine outside this change; engines may swap addresses."""
        for position, record in enumerate(upserts):
            owner = self._ids_by_address.get(record.address)
            if owner is not None and owner not in changed_ids:
                raise PublishRefusedError(
                    f"upserts[{position}].address: an address of no other engine expected; "
                    f"found {record.address!r}, that of {owner!r}"
                )

    def _commit_if_any(self, upserts: list[Record], removed_ids: list[str]) -> Delta | None:
        if not upserts and not removed_ids:
            return None
        added = sum(record.id not in self.replica.records for record in upserts)
        size = len(self.replica.records) + added - len(removed_ids)
        if size > MAX_RECORDS:
            raise PublishRefusedError(f"engines: at most {MAX_RECORDS} records expected; found {size}")
        self._check_documents(upserts)
        return self._commit(upserts, removed_ids)

    def _check_documents(self, upserts: list[Record]) -> None:
        """Limits the number of documents, since every front holds all of them."""
        new = [record for record in documents_of(upserts) if record.id not in self.replica.records]
        if new and len(new) + sum(1 for _ in documents_of(self.replica.records.values())) > MAX_DOCUMENTS:
            raise PublishRefusedError(f"documents: at most {MAX_DOCUMENTS} expected")

    def _commit(self, upserts: list[Record], removed_ids: list[str]) -> Delta:
        delta = self._delta(upserts, removed_ids)
        replaced = self._held(delta)
        outcome = self.replica.receive(delta)
        if outcome is not Outcome.APPLIED:
            raise RuntimeError(f"a publisher's own delta {delta.version} was {outcome.value}")
        self.history.append(delta)
        self._published = delta.version
        for record in engines_of(replaced):
            del self._ids_by_address[record.address]
        for record in engines_of(upserts):
            self._ids_by_address[record.address] = record.id
        return delta

    def _delta(self, upserts: list[Record], removed_ids: list[str]) -> Delta:
        replica = self.replica
        removals = tuple(Removal(removed_id, gone=True) for removed_id in removed_ids)
        version = Version(self.term, replica.version.number + 1)
        unfinished = Delta(replica.version, replica.digest, version, 0, tuple(upserts), removals)
        before = _sum_of_digests(self._held(unfinished))
        after = _sum_of_digests(upserts)
        return unfinished._replace(digest=(replica.digest - before + after) & DIGEST_MASK)

    def _held(self, delta: Delta) -> list[Record]:
        """The records of the present version that `delta` replaces or removes."""
        ids = [record.id for record in delta.upserts] + [removal.id for removal in delta.removals]
        held = self.replica.records
        return [held[engine_id] for engine_id in ids if engine_id in held]


def _sum_of_digests(records: Iterable[Record]) -> int:
    return sum(map(record_digest, records))
