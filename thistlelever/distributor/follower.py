"""Keeps a distributor at the newest version: follows the publisher, or polls other distributors while the
publisher is unreachable."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import NamedTuple

from thistlelever.carrier.distributor_connection import (
    Address,
    DistributorBehindError,
    DistributorConnection,
    DistributorError,
)
from thistlelever.distribution import codec
from thistlelever.distribution.claim import TERMS_PER_ROUND
from thistlelever.distribution.failover import Failover
from thistlelever.distribution.replica import Outcome
from thistlelever.distribution.versions import NO_VERSION, Version
from thistlelever.distributor.catalog import Catalog
from thistlelever.ground import clock
from thistlelever.ground.log import Log

FOLLOW_PATH = "/v1/follow"
CONNECT_TIMEOUT_S = 0.5
# Time in seconds that a reply may take beyond the heartbeat. The whole content is about 1.6 MB for 22,000
# engines.
REPLY_MARGIN_S = 1.0


class Peers(NamedTuple):
    """The addresses of all distributors, this one at `index`, and the longest time in seconds that a long
    poll is held open."""

    index: int
    addresses: tuple[Address, ...]
    heartbeat: float


class Follower:
    """Runs one long poll after another until cancelled. While the publisher is unreachable, each poll goes to
    the next of the other distributors."""

    def __init__(self, catalog: Catalog, peers: Peers, counts: Counter[str], log: Log) -> None:
        """Makes no call before `run`."""
        self.catalog, self.counts, self.log = catalog, counts, log
        self.index, self.distributors, self.heartbeat = peers
        self.failover = Failover(len(self.distributors), f"distributor-{self.index}", self.index)
        # The highest version seen in any message; its term identifies the publisher.
        self.highest_seen = NO_VERSION
        self.last_contact_at, self.age_at_contact = -float("inf"), float("inf")
        # True while this distributor is the publisher and therefore follows none.
        self.publishing = False
        self.poll_task: asyncio.Task[None] | None = None
        self.following: int | None = None

    def age(self) -> float:
        """Returns the number of seconds since the content was last known to be the newest."""
        if self.publishing:
            return 0.0
        return clock.now() - self.last_contact_at + self.age_at_contact

    def observe(self, version: Version) -> None:
        """Records a version seen in a message. If its term is the highest so far, the publisher of that term
        is followed at once."""
        if version > self.highest_seen:
            newer_term = version.term > self.highest_seen.term
            self.highest_seen = version
            if newer_term and self.poll_task:
                self.poll_task.cancel()

    def publisher_index(self) -> int | None:
        """Returns the index of the publisher as far as it is known here, or None."""
        highest = max(self.highest_seen, self.catalog.replica.highest())
        return highest.term % TERMS_PER_ROUND if highest.term else None

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            if self.publishing:
                await asyncio.sleep(self.heartbeat)
                continue
            self.poll_task = asyncio.get_running_loop().create_task(self.follow_once())
            try:
                await self.poll_task
            except asyncio.CancelledError:
                if not self.poll_task.cancelled() or asyncio.current_task().cancelling():
                    self.poll_task.cancel()
                    raise

    async def follow_once(self) -> None:
        """Follows the publisher for as long as it replies, then polls one other distributor once."""
        publisher = self.publisher_index()
        if publisher is not None and publisher != self.index and publisher < len(self.distributors):
            try:
                await self.follow(publisher)
            except DistributorError as error:
                self.report_failure(publisher, error)
        other = self.failover.current
        delay = self.failover.failed()
        if other not in (self.index, publisher):
            try:
                self.handle_reply(await self.poll_once(other))
                delay = min(delay, self.heartbeat / 2)
            except DistributorError as error:
                self.report_failure(other, error)
        await asyncio.sleep(delay)

    def report_failure(self, other: int, error: DistributorError) -> None:
        """Counts and logs that another distributor could not be followed."""
        self.counts["follow failures"] += 1
        self.log("follow failed", distributor=other, why=str(error))

    async def follow(self, other: int) -> None:
        """Sends long polls to one distributor until one fails. Raises `DistributorError`."""
        connection = await DistributorConnection.open(self.distributors[other], CONNECT_TIMEOUT_S)
        self.following = other
        timeout = self.heartbeat + REPLY_MARGIN_S
        try:
            while not self.publishing:
                request = self.build_request(self.heartbeat)
                self.handle_reply(await connection.call(FOLLOW_PATH, request, codec.Reply, timeout))
        finally:
            self.following = None
            connection.close()

    async def poll_once(self, other: int) -> codec.Reply:
        """Requests from a distributor, without a wait, what differs from the content held here. Raises
        `DistributorError`."""
        connection = await DistributorConnection.open(self.distributors[other], CONNECT_TIMEOUT_S)
        try:
            timeout = self.heartbeat + REPLY_MARGIN_S
            return await connection.call(FOLLOW_PATH, self.build_request(0.0), codec.Reply, timeout)
        finally:
            connection.close()

    def build_request(self, wait: float) -> codec.FollowRequest:
        """Returns the next poll, which may be held open for `wait` seconds until there is a newer version."""
        replica = self.catalog.replica
        digest = codec.digest_bytes(replica.digest)
        return codec.FollowRequest(self.index, replica.version, digest, replica.floor, wait)

    def handle_reply(self, reply: codec.Reply) -> None:
        """Applies the update in a reply. Raises `DistributorBehindError` if it is older than the content held
        here, conflicts with it or is damaged."""
        if reply.update is not None:
            update = codec.update_from_body(reply.update)
            outcome = self.catalog.receive(update)
            self.counts[f"followed {outcome.value}"] += 1
            if outcome in (Outcome.STALE, Outcome.CONFLICT, Outcome.DAMAGED):
                self.log("update refused", version=str(update.version), outcome=outcome.value)
                raise DistributorBehindError(f"its update was {outcome.value}")
        self.failover.succeeded()
        # A distributor that is itself out of contact does not make this content older.
        if reply.age <= self.age():
            self.last_contact_at, self.age_at_contact = clock.now(), reply.age
