"""The publisher's role at one distributor: claims it, publishes changes, and gives it up once a higher term
is seen."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence

from thistlelever.distribution import codec
from thistlelever.distribution.claim import majority
from thistlelever.distribution.election import Election
from thistlelever.distribution.messages import Delta
from thistlelever.distribution.publisher import Publisher, PublishRefusedError
from thistlelever.distribution.records import DocumentRecord, Record, documents_of
from thistlelever.distribution.versions import NO_VERSION, Version
from thistlelever.distributor.catalog import Catalog
from thistlelever.distributor.claiming import ANNOUNCE_PATH, ClaimFailedError, call_others, claim_term
from thistlelever.distributor.follower import Follower
from thistlelever.distributor.promises import PromiseStore
from thistlelever.ground import clock
from thistlelever.ground.log import Log

# Timeout for a majority to hold a published version.
CONFIRM_TIMEOUT_S = 2.0
# Delay between two attempts to claim the role at the start.
CLAIM_RETRY_DELAY_S = 1.0
# Interval between checks for the loss of the publisher, in heartbeats.
ELECTION_CHECK_HEARTBEATS = 0.1

# Raises `ValueError`, with the path of the invalid key, for a text that is not valid as the document.
DocumentCheck = Callable[[str], None]


class PublisherRole:
    """The role of this distributor. `publisher` is not None while it has the role."""

    def __init__(
        self,
        catalog: Catalog,
        follower: Follower,
        log: Log,
        promises: PromiseStore,
        document_checks: Mapping[str, DocumentCheck],
    ) -> None:
        """Starts without the role. `document_checks` holds one check for each document that may be published,
        by name."""
        self.document_checks = document_checks
        self.catalog, self.follower, self.log = catalog, follower, log
        self.promises = promises
        self.publisher: Publisher | None = None
        # The newest version that each follower is known to hold; the event is set when one of them changes.
        self.held_versions: dict[int, Version] = {}
        self.held_changed = asyncio.Event()
        self.claim_lock = asyncio.Lock()
        # The rules by which this distributor claims the role by itself; None: an operator makes it claim.
        self.election: Election | None = None

    def join_election(self, election: Election) -> None:
        """Makes this distributor take part in elections from now on."""
        self.election = election
        election.restart(clock.now())

    def contact_age(self, claimant: int) -> float:
        """Returns the number of seconds since this distributor had contact with a publisher or, where
        publishers are elected, with another claimant than `claimant`."""
        age = self.follower.age()
        return self.election.contact_age(clock.now(), age, claimant) if self.election else age

    def promised(self, claimant: int, term: int) -> None:
        """Records a promise to another claimant: this distributor steps down, and waits for the claimant
        before it claims itself."""
        self.observe(Version(term, 0))
        if self.election:
            self.election.promised(claimant, clock.now())

    async def claim(self, above: Version = NO_VERSION, *, automatic: bool = False) -> int:
        """Takes over the role and returns the new term, which is higher than that of `above`. If this
        distributor already publishes in such a term, that term is returned. An `automatic` claim fails while
        the publisher or another claimant is heard of. Raises `ClaimFailedError`."""
        async with self.claim_lock:
            if self.publisher and self.publisher.term > above.term:
                return self.publisher.term
            try:
                term = await claim_term(self.follower, above, self.promises, self.election, automatic)
                self.begin_term(term)
            finally:
                if self.election:
                    self.election.claiming = False
            return term

    def begin_term(self, term: int) -> None:
        """Starts to publish in a term that was claimed. Raises `ClaimFailedError`."""
        catalog = self.catalog
        try:
            self.publisher = Publisher(catalog.replica, catalog.history, term)
        except ValueError as error:
            # A newer version arrived during the calls to the others.
            raise ClaimFailedError(str(error)) from None
        self.follower.publishing = True
        self.held_versions.clear()
        delta = self.publisher.begin()
        catalog.process_applied(delta, {})
        self.log("publishes", term=term, version=str(catalog.version))

    async def run(self, election: Election | None, claims_at_start: bool) -> None:
        """Claims the role at the start if `claims_at_start`, then takes part in elections with `election`,
        until cancelled."""
        if election:
            self.join_election(election)
        if claims_at_start:
            await self.claim_at_start()
        if election:
            await self.elect(election)

    async def claim_at_start(self) -> None:
        """Claims until it succeeds. With an election, stops after a failed claim if this distributor has had
        contact with another publisher within the election's timeout."""
        while self.publisher is None:
            try:
                await self.claim(automatic=self.election is not None)
            except ClaimFailedError as error:
                self.log("claim failed", why=str(error))
                await asyncio.sleep(CLAIM_RETRY_DELAY_S)
                if self.election and self.follower.age() <= self.election.timeout:
                    return

    async def elect(self, election: Election) -> None:
        """Claims whenever the publisher is lost, until cancelled."""
        if self.election is not election:
            self.join_election(election)
        follower, replica = self.follower, self.catalog.replica
        while True:
            await asyncio.sleep(follower.heartbeat * ELECTION_CHECK_HEARTBEATS)
            # The lost publisher is that of the content held: a promise is to its successor.
            lost = replica.version if replica.version.term else max(follower.highest_seen, replica.floor)
            busy = self.publisher or self.claim_lock.locked()
            if busy or not election.is_due(clock.now(), follower.age(), lost):
                continue
            try:
                self.log("publisher lost", age=round(follower.age(), 3), highest=str(lost))
                await self.claim(automatic=True)
            except ClaimFailedError as error:
                election.failed(clock.now())
                self.log("claim failed", why=str(error))

    def observe(self, version: Version) -> None:
        """Records a version seen in a message, and gives up the role if its term is higher. A version of a
        higher term restarts the election's timeout, so that its publisher is heard of in time. A term without
        a version does not: its claimant may fail again and again."""
        is_newer_term = version.number > 0 and version.term > self.follower.highest_seen.term
        self.follower.observe(version)
        if is_newer_term and self.election:
            self.election.restart(clock.now())
        if self.publisher is None:
            return
        self.publisher.observe(version)
        if self.publisher.superseded is not None:
            self.log("superseded", term=self.publisher.term, by=str(self.publisher.superseded))
            self.publisher, self.follower.publishing = None, False
            self.held_changed.set()
            if self.election:
                self.election.restart(clock.now())

    def record_held(self, index: int, version: Version) -> None:
        """Records the version that a follower holds."""
        if version > self.held_versions.get(index, NO_VERSION):
            self.held_versions[index] = version
            self.held_changed.set()

    def publish(
        self, upserts: Sequence[Record], removals: Sequence[str], expected: Version | None
    ) -> Version:
        """Puts a change in force and returns the version. Raises `PublishRefusedError`, which leaves the
        present version in force."""
        publisher = self.require_publisher()
        for record in documents_of(upserts):
            self.check_document(record)
        before = self.catalog.records_by_id([*(record.id for record in upserts), *removals])
        return self.finish_publish(publisher.publish(upserts, removals, expected), before)

    def check_document(self, record: DocumentRecord) -> None:
        """Raises `PublishRefusedError` for a document that fails its check or has none."""
        check = self.document_checks.get(record.name)
        if check is None:
            known = ", ".join(sorted(self.document_checks)) or "none"
            raise PublishRefusedError(f"documents.{record.name}: one of those known here ({known}) expected")
        try:
            check(record.content)
        except ValueError as error:
            raise PublishRefusedError(f"documents.{record.name}: {error}") from None

    def replace_all(self, records: Sequence[Record], expected: Version | None) -> Version:
        """Puts a whole list in force, as a delta to the present one, and returns the version. Raises
        `PublishRefusedError`."""
        publisher = self.require_publisher()
        before = dict(self.catalog.replica.records)
        return self.finish_publish(publisher.replace_all(records, expected), before)

    def require_publisher(self) -> Publisher:
        """Returns the publisher. Raises `PublishRefusedError` if this distributor does not have the role."""
        if self.publisher is None:
            publisher = self.follower.publisher_index()
            raise PublishRefusedError(f"role: this distributor does not publish; distributor {publisher} may")
        return self.publisher

    def finish_publish(self, delta: Delta | None, before: dict[str, Record]) -> Version:
        """Updates the catalog after a change, if there was any, and returns the version."""
        if delta is not None:
            self.catalog.process_applied(delta, before)
        return self.catalog.version

    async def wait_confirmed(self, version: Version) -> bool:
        """Waits until a majority of the distributors, including this one, holds a version in memory. Returns
        False if that takes longer than CONFIRM_TIMEOUT_S, or if this distributor loses the role."""
        needed = majority(len(self.follower.distributors)) - 1
        deadline = asyncio.get_running_loop().time() + CONFIRM_TIMEOUT_S
        while self.count_holders(version) < needed:
            remaining = deadline - asyncio.get_running_loop().time()
            if remaining <= 0 or self.publisher is None or self.publisher.term != version.term:
                return False
            self.held_changed.clear()
            try:
                await asyncio.wait_for(self.held_changed.wait(), remaining)
            except TimeoutError:
                return False
        return True

    def count_holders(self, version: Version) -> int:
        """Returns the number of followers that hold a version. One that holds a version of a later term may
        hold other content instead."""
        return sum(held.term == version.term and held >= version for held in self.held_versions.values())

    async def announce(self) -> None:
        """While this distributor publishes, announces its version to all others every heartbeat, until
        cancelled. A distributor that follows another publisher learns of the newer term this way."""
        while True:
            if self.publisher:
                follower = self.follower
                request = codec.AnnounceRequest(follower.index, self.catalog.version)
                answers = await call_others(follower, ANNOUNCE_PATH, request)
                for answer in answers.values():
                    self.observe(answer.highest)
            await asyncio.sleep(self.follower.heartbeat)
