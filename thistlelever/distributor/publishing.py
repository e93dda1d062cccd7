"""The publisher's role at one distributor: claimed, used, and given up to whoever holds a higher term."""

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

# How long a publish waits for a majority to hold its version.
CONFIRM_TIMEOUT_S = 2.0
# Between two attempts to claim the role at a start.
CLAIM_RETRY_DELAY_S = 1.0
# The loss of the publisher is looked for this often, in heartbeats.
ELECTION_CHECK_HEARTBEATS = 0.1

# Raises `ValueError`, with the path of the fault, for a text that can't be the document.
DocumentCheck = Callable[[str], None]


class PublisherRole:
    """`publisher` is set while this distributor has the role."""

    def __init__(
        self,
        catalog: Catalog,
        follower: Follower,
        log: Log,
        promises: PromiseStore,
        document_checks: Mapping[str, DocumentCheck],
    ) -> None:
        """Without the role until `claim`. `document_checks` has one for each document that may be
        published."""
        self.document_checks = document_checks
        self.catalog, self.follower, self.log = catalog, follower, log
        self.promises = promises
        self.publisher: Publisher | None = None
        # The newest version that each follower has shown to hold, and who waits for them to move.
        self.held_versions: dict[int, Version] = {}
        self.held_changed = asyncio.Event()
        self.claim_lock = asyncio.Lock()

    async def claim(self, above: Version = NO_VERSION, election: Election | None = None) -> int:
        """Take the role over: the new term, higher than that of `above`. `ClaimFailedError` where that is not
        possible."""
        async with self.claim_lock:
            if self.publisher and self.publisher.term > above.term:
                return self.publisher.term
            term = await claim_term(self.follower, above, self.promises, election)
            catalog = self.catalog
            try:
                self.publisher = Publisher(catalog.replica, catalog.history, term)
            except ValueError as error:
                # Something newer came while the others were asked.
                raise ClaimFailedError(str(error)) from None
            self.follower.publishing = True
            self.held_versions.clear()
            delta = self.publisher.begin()
            catalog.process_applied(delta, {})
            self.log("publishes", term=term, version=str(catalog.version))
            return term

    async def claim_at_start(self, election: Election | None) -> None:
        """Claim until a majority answers; with `election` only while nobody hears another publisher."""
        while self.publisher is None:
            try:
                await self.claim(election=election)
            except ClaimFailedError as error:
                self.log("claim failed", why=str(error))
                await asyncio.sleep(CLAIM_RETRY_DELAY_S)
                if election and self.follower.age() <= election.timeout:
                    return

    async def elect(self, election: Election) -> None:
        """Claim whenever the publisher is lost, until cancelled."""
        while True:
            await asyncio.sleep(self.follower.heartbeat * ELECTION_CHECK_HEARTBEATS)
            follower = self.follower
            highest = max(follower.highest_seen, self.catalog.replica.highest())
            if self.publisher or not election.is_due(clock.now(), follower.age(), highest):
                continue
            try:
                self.log("publisher lost", age=round(follower.age(), 3), highest=str(highest))
                await self.claim(election=election)
            except ClaimFailedError as error:
                election.failed(clock.now())
                self.log("claim failed", why=str(error))

    def observe(self, version: Version) -> None:
        """Somebody has shown a version: the role is lost to a higher term."""
        self.follower.observe(version)
        if self.publisher is None:
            return
        self.publisher.observe(version)
        if self.publisher.superseded is not None:
            self.log("superseded", term=self.publisher.term, by=str(self.publisher.superseded))
            self.publisher, self.follower.publishing = None, False

    def record_held(self, index: int, version: Version) -> None:
        """A follower has shown what it holds."""
        if version > self.held_versions.get(index, NO_VERSION):
            self.held_versions[index] = version
            self.held_changed.set()

    def publish(
        self, upserts: Sequence[Record], removals: Sequence[str], expected: Version | None
    ) -> Version:
        """Put a change in force; `PublishRefusedError` leaves the old version."""
        publisher = self.require_publisher()
        for record in documents_of(upserts):
            self.check_document(record)
        before = self.catalog.records_by_id([*(record.id for record in upserts), *removals])
        return self.finish_publish(publisher.publish(upserts, removals, expected), before)

    def check_document(self, record: DocumentRecord) -> None:
        """Refuse a document that its check finds fault with, or that there is no check for."""
        check = self.document_checks.get(record.name)
        if check is None:
            known = ", ".join(sorted(self.document_checks)) or "none"
            raise PublishRefusedError(f"documents.{record.name}: one of those known here ({known}) expected")
        try:
            check(record.content)
        except ValueError as error:
            raise PublishRefusedError(f"documents.{record.name}: {error}") from None

    def replace_all(self, records: Sequence[Record], expected: Version | None) -> Version:
        """Put a whole list in force, as a change against the present one."""
        publisher = self.require_publisher()
        before = dict(self.catalog.replica.records)
        return self.finish_publish(publisher.replace_all(records, expected), before)

    def require_publisher(self) -> Publisher:
        """The publisher; `PublishRefusedError` where this distributor is none."""
        if self.publisher is None:
            publisher = self.follower.publisher_index()
            raise PublishRefusedError(f"role: this distributor does not publish; distributor {publisher} may")
        return self.publisher

    def finish_publish(self, delta: Delta | None, before: dict[str, Record]) -> Version:
        """Tell who listens of a change that is in force; the version."""
        if delta is not None:
            self.catalog.process_applied(delta, before)
        return self.catalog.version

    async def wait_confirmed(self, version: Version) -> bool:
        """Whether a majority of the distributors, this one included, holds a version before long."""
        needed = majority(len(self.follower.distributors)) - 1
        deadline = asyncio.get_running_loop().time() + CONFIRM_TIMEOUT_S
        while sum(held >= version for held in self.held_versions.values()) < needed:
            remaining = deadline - asyncio.get_running_loop().time()
            if remaining <= 0:
                return False
            self.held_changed.clear()
            try:
                await asyncio.wait_for(self.held_changed.wait(), remaining)
            except TimeoutError:
                return False
        return True

    async def announce(self) -> None:
        """While this distributor publishes, tell all others so, until cancelled: who follows another one
        learns of the newer term."""
        while True:
            if self.publisher:
                follower = self.follower
                request = codec.AnnounceRequest(follower.index, self.catalog.version)
                answers = await call_others(follower.distributors, follower.index, ANNOUNCE_PATH, request)
                for answer in answers.values():
                    self.observe(answer.highest)
            await asyncio.sleep(self.follower.heartbeat)
