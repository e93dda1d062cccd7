"""A front's subscription to its subset of the engine list: watches one distributor, fails over to others."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from thistlelever.carrier.distributor_connection import (
    Address,
    DistributorBehindError,
    DistributorBusyError,
    DistributorConnection,
    DistributorError,
)
from thistlelever.distribution import codec
from thistlelever.distribution.failover import Failover, exponential_delay
from thistlelever.distribution.messages import Delta
from thistlelever.distribution.reconnect import short_digest
from thistlelever.distribution.replica import Outcome, Replica
from thistlelever.distribution.versions import NO_VERSION
from thistlelever.ground import clock
from thistlelever.subsetting import FrontIdentity, Requirement

WATCH_PATH = "/v1/watch"
# Consecutive updates that cannot be applied before failing over to another distributor.
MAX_FAULTS = 2
# Connect timeout in seconds.
CONNECT_TIMEOUT = 0.5
# Maximum age of a connection in seconds, reduced by a random share of up to a half. Then the preferred
# distributor is tried again; one that was restarted would otherwise stay without fronts.
MAX_CONNECTION_AGE = 600.0


class SubscriptionTerms(NamedTuple):
    """Addresses and timing of the distributors.

    `heartbeat` is how long a distributor may hold back the answer to a watch while nothing changes,
    `patience` how much longer the answer may take; both in seconds.
    """

    distributors: tuple[Address, ...]
    heartbeat: float = 2.0
    patience: float = 1.0
    seed: int = 0


class Listing(NamedTuple):
    """A notification to the listener: engines that ended permanently by the last update, and the maximum
    number of fronts that may send to any one of the subscribed engines."""

    gone: tuple[str, ...]
    fronts: int


class Subscription:
    """Keeps `replica` at the newest version that a distributor sends.

    `listener` is called after each update that changes records, `retained` before each watch: it returns the
    engines that still run queries of this front.
    """

    def __init__(
        self,
        terms: SubscriptionTerms,
        place: FrontIdentity,
        requirements: tuple[Requirement, ...],
        whole_cells: bool,
        listener: Callable[[Listing], None],
    ) -> None:
        """Prepare the subscription; `run` connects."""
        self.terms, self.place, self.listener = terms, place, listener
        self.requirements = tuple(requirement_field(requirement) for requirement in requirements)
        self.whole_cells = whole_cells
        self.retained: Callable[[], tuple[str, ...]] = tuple
        self.replica = Replica(strict=False)
        self.failover = Failover(len(terms.distributors), place.name, terms.seed)
        self.counts: Counter[str] = Counter()
        # Logs each connection and why it ended.
        self.log: Callable[..., None] = lambda event, **facts: None
        self.connected_to: Address | None = None
        self.connection: DistributorConnection | None = None
        self.last_error = ""
        # When a distributor last answered, and the age of its content that it reported with that answer.
        self.heard_at, self.age_when_heard = -float("inf"), float("inf")
        self.fronts = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            delay = await self.watch_one()
            await asyncio.sleep(delay)

    def age(self) -> float:
        """Return the seconds since the replica was known to be current; infinite before the first answer."""
        return clock.now() - self.heard_at + self.age_when_heard

    async def watch_one(self) -> float:
        """Watch one distributor until it fails; return the delay in seconds before the next attempt."""
        address = self.terms.distributors[self.failover.current]
        try:
            self.connection = await DistributorConnection.open(address, CONNECT_TIMEOUT)
            self.connected_to = address
            self.counts["connections"] += 1
            self.log("distributor connected", at="{}:{}".format(*address), version=str(self.replica.version))
            await self.watch(self.connection)
            self.failover.reset_to_preferred()
            return 0.0
        except DistributorBusyError as error:
            self.counts["busy"] += 1
            return self.failed(error, error.retry_after)
        except DistributorBehindError as error:
            self.counts["refused_stale"] += 1
            return self.failed(error)
        except DistributorError as error:
            self.counts["failures"] += 1
            return self.failed(error)
        finally:
            self.disconnect()

    def disconnect(self) -> None:
        """Close the connection and add its byte counts to `counts`."""
        connection, self.connection, self.connected_to = self.connection, None, None
        if connection:
            self.counts["bytes_sent"] += connection.bytes_sent
            self.counts["bytes_received"] += connection.bytes_received
            connection.close()

    def connection_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received by the open connection, which are not in `counts` yet."""
        connection = self.connection
        return (connection.bytes_sent, connection.bytes_received) if connection else (0, 0)

    def failed(self, error: DistributorError, retry_after: float = 0.0) -> float:
        """Record a failure; return the delay in seconds before the next distributor is tried."""
        self.last_error = str(error)
        self.log("distributor left", why=self.last_error, version=str(self.replica.version))
        return self.failover.failed(retry_after)

    async def watch(self, connection: DistributorConnection) -> None:
        """Watch over a connection until its maximum age; `DistributorError` when it is unusable."""
        till = clock.now() + MAX_CONNECTION_AGE * (0.5 + 0.5 * self.failover.next_uniform())
        everything, faults = True, 0
        while clock.now() < till:
            wait, within = self.watch_times()
            reply = await connection.call(WATCH_PATH, self.request(wait, everything), codec.Reply, within)
            self.failover.succeeded()
            outcome = self.receive(reply)
            if outcome in (Outcome.STALE, Outcome.CONFLICT):
                raise DistributorBehindError(f"its update was {outcome.name.lower()}")
            faults = faults + 1 if outcome in (Outcome.GAP, Outcome.DAMAGED) else 0
            if faults > MAX_FAULTS:
                raise DistributorError(f"its updates are {outcome.name.lower()}")
            # After a gap or a damaged update the next request lists all held records again.
            everything = faults > 0

    def watch_times(self) -> tuple[float, float]:
        """Return how long the next watch may be held back, and the timeout of its answer, in seconds.

        After a failure the first watch is to be answered at once, so that a silent distributor is detected
        after `patience` alone: with the heartbeat added, three lost answers in a row would delay a change for
        longer than the 9 s within which it must be in force. The timeout doubles with each failure, as
        distributors may be slow rather than silent. A front without any records keeps the usual timeout: it
        is sent whole subsets, which distributors admit at a limited rate.
        """
        failures, longest = self.failover.failures, self.terms.heartbeat + self.terms.patience
        if not failures or self.replica.version == NO_VERSION:
            return self.terms.heartbeat, longest
        return 0.0, exponential_delay(self.terms.patience, failures, longest)

    def request(self, wait: float, everything: bool) -> codec.WatchRequest:
        """Build the next watch, held back for at most `wait` seconds.

        With `everything` it lists the held records and the requirements.
        """
        replica = self.replica
        return codec.WatchRequest(
            front=self.place.name,
            zone=self.place.zone,
            rank=self.place.rank,
            zone_rank=self.place.zone_rank,
            version=replica.version,
            digest=codec.digest_bytes(replica.digest),
            wait=wait,
            held=held_records(replica) if everything else None,
            retained=self.retained(),
            requirements=self.requirements if everything else (),
            whole_cells=self.whole_cells,
        )

    def receive(self, reply: codec.Reply) -> Outcome:
        """Apply a reply and notify the listener when records or the number of fronts have changed."""
        outcome = Outcome.UNCHANGED
        if reply.update is not None:
            update = codec.update_from_body(reply.update)
            outcome = self.replica.receive(update)
            self.counts[outcome.name.lower()] += 1
            self.counts["deltas" if isinstance(update, Delta) else "snapshots"] += 1
        else:
            self.counts["heartbeats"] += 1
        if outcome in (Outcome.APPLIED, Outcome.UNCHANGED):
            self.heard_at, self.age_when_heard = clock.now(), reply.age
            changed_fronts, self.fronts = reply.fronts != self.fronts, reply.fronts
            if changed_fronts or outcome is Outcome.APPLIED and reply.update is not None:
                self.listener(listing(reply))
        return outcome


def listing(reply: codec.Reply) -> Listing:
    """Convert a reply to a notification of the listener."""
    removals = reply.update.removals if isinstance(reply.update, codec.DeltaBody) else ()
    return Listing(tuple(removal.id for removal in removals if removal.gone), reply.fronts)


def held_records(replica: Replica) -> tuple[codec.HeldRecord, ...]:
    """Return the records of a replica as sent to a distributor."""
    return tuple(codec.HeldRecord(engine, short_digest(record)) for engine, record in replica.records.items())


def requirement_field(requirement: Requirement) -> codec.RequirementField:
    """Convert a requirement to its wire form."""
    zones, kinds = requirement
    return codec.RequirementField(
        None if zones is None else tuple(sorted(zones)), None if kinds is None else tuple(sorted(kinds))
    )
