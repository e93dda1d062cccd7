"""A front's subscription to its part of the engine list: watches one distributor, and goes on at another
where that one fails."""

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
# So many updates in a row that can't be applied, and another distributor is asked.
MOST_FAULTS = 2
# How long a connection may take to come up.
CONNECT_WITHIN = 0.5
# A connection is given up after this long, a part of it drawn by chance, and the preferred distributor is
# tried again: otherwise one that was restarted stays without fronts.
CONNECTION_AGE = 600.0


class SubscriptionTerms(NamedTuple):
    """`heartbeat` is how long a distributor may hold a watch back for want of news, `patience` how much
    longer the answer may take; both in seconds."""

    distributors: tuple[Address, ...]
    heartbeat: float = 2.0
    patience: float = 1.0
    seed: int = 0


class Listing(NamedTuple):
    """What a listener is told: engines that have ended for good, by the last update, and how many fronts may
    send to any one of the engines held."""

    gone: tuple[str, ...]
    fronts: int


class Subscription:
    """Keeps `replica` at the newest version that any distributor tells. `listener` is called after each
    update that changes records; `retained` is asked before each watch for engines that this front still has
    queries at."""

    def __init__(
        self,
        terms: SubscriptionTerms,
        place: FrontIdentity,
        requirements: tuple[Requirement, ...],
        whole_cells: bool,
        listener: Callable[[Listing], None],
    ) -> None:
        """Nothing is asked before `run`."""
        self.terms, self.place, self.listener = terms, place, listener
        self.requirements = tuple(requirement_field(requirement) for requirement in requirements)
        self.whole_cells = whole_cells
        self.retained: Callable[[], tuple[str, ...]] = tuple
        self.replica = Replica(strict=False)
        self.failover = Failover(len(terms.distributors), place.name, terms.seed)
        self.counts: Counter[str] = Counter()
        # Told of each connection, and why it ended.
        self.log: Callable[..., None] = lambda event, **facts: None
        self.connected_to: Address | None = None
        self.connection: DistributorConnection | None = None
        self.last_error = ""
        # When a distributor last answered, and how old its content was then by its own word.
        self.heard_at, self.age_when_heard = -float("inf"), float("inf")
        self.fronts = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            delay = await self.watch_one()
            await asyncio.sleep(delay)

    def age(self) -> float:
        """Seconds since what is held was known to be the newest; infinite before the first answer."""
        return clock.now() - self.heard_at + self.age_when_heard

    async def watch_one(self) -> float:
        """Watch one distributor for as long as it serves; seconds to wait before the next is tried."""
        address = self.terms.distributors[self.failover.current]
        try:
            self.connection = await DistributorConnection.open(address, CONNECT_WITHIN)
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
        """Close the connection and keep its counts."""
        connection, self.connection, self.connected_to = self.connection, None, None
        if connection:
            self.counts["bytes_sent"] += connection.bytes_sent
            self.counts["bytes_received"] += connection.bytes_received
            connection.close()

    def connection_bytes(self) -> tuple[int, int]:
        """Bytes sent and received by the connection that is open, which are not in `counts` yet."""
        connection = self.connection
        return (connection.bytes_sent, connection.bytes_received) if connection else (0, 0)

    def failed(self, error: DistributorError, retry_after: float = 0.0) -> float:
        """Note a failure; seconds to wait before the next distributor is tried."""
        self.last_error = str(error)
        self.log("distributor left", why=self.last_error, version=str(self.replica.version))
        return self.failover.failed(retry_after)

    async def watch(self, connection: DistributorConnection) -> None:
        """Watch by one connection until it is old; `DistributorError` as soon as it is of no use."""
        till = clock.now() + CONNECTION_AGE * (0.5 + 0.5 * self.failover.next_uniform())
        everything, faults = True, 0
        while clock.now() < till:
            wait, within = self.watch_times()
            reply = await connection.call(WATCH_PATH, self.request(wait, everything), codec.Reply, within)
            self.failover.succeeded()
            outcome = self.receive(reply)
            if outcome in (Outcome.STALE, Outcome.CONFLICT):
                raise DistributorBehindError(f"its update was {outcome.name.lower()}")
            faults = faults + 1 if outcome in (Outcome.GAP, Outcome.DAMAGED) else 0
            if faults > MOST_FAULTS:
                raise DistributorError(f"its updates are {outcome.name.lower()}")
            # After a gap or a damaged update the distributor is told anew what is held.
            everything = faults > 0

    def watch_times(self) -> tuple[float, float]:
        """How long the next watch may be held back, and how long its answer may take, in seconds.

        After a failure the first one is answered at once, so that a silence is known for one after the
        patience alone: with heartbeats between, three answers that are lost in a row would keep a change from
        this front for longer than the 9 s in which it is to be in force. From one failure to the next the
        patience is doubled, as distributors may be slow rather than silent. Who holds nothing yet is told
        whole subsets, which are admitted at a rate, and is as patient as ever.
        """
        failures, longest = self.failover.failures, self.terms.heartbeat + self.terms.patience
        if not failures or self.replica.version == NO_VERSION:
            return self.terms.heartbeat, longest
        return 0.0, exponential_delay(self.terms.patience, failures, longest)

    def request(self, wait: float, everything: bool) -> codec.WatchRequest:
        """The next watch, held back for `wait` seconds at most; with `everything` it tells what is held."""
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
        """Apply a reply; the listener hears of it where records have changed."""
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
    """What a reply says to a listener."""
    removals = reply.update.removals if isinstance(reply.update, codec.DeltaBody) else ()
    return Listing(tuple(removal.id for removal in removals if removal.gone), reply.fronts)


def held_records(replica: Replica) -> tuple[codec.HeldRecord, ...]:
    """What a replica holds, as a distributor is told it."""
    return tuple(codec.HeldRecord(engine, short_digest(record)) for engine, record in replica.records.items())


def requirement_field(requirement: Requirement) -> codec.RequirementField:
    """A requirement as it travels."""
    zones, kinds = requirement
    return codec.RequirementField(
        None if zones is None else tuple(sorted(zones)), None if kinds is None else tuple(sorted(kinds))
    )
