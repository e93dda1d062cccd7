"""One distributor: assembles its components, and starts and stops them."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from time import process_time
from types import MappingProxyType

from thistlelever.distribution.election import Election
from thistlelever.distribution.versions import NO_VERSION
from thistlelever.distributor.admission import SnapshotAdmission
from thistlelever.distributor.bounded_server import BoundedServer, RequestLimits
from thistlelever.distributor.catalog import Catalog, Change
from thistlelever.distributor.config import DistributorConfig
from thistlelever.distributor.content_writer import ContentWriter
from thistlelever.distributor.follower import Follower, Peers
from thistlelever.distributor.promise_recovery import recover_promises
from thistlelever.distributor.promises import PromiseStore
from thistlelever.distributor.publishing import DocumentCheck, PublisherRole
from thistlelever.distributor.sessions import Sessions
from thistlelever.distributor.store import ContentStore
from thistlelever.ground import clock
from thistlelever.ground.log import Log
from thistlelever.ground.operator import parse_address
from thistlelever.subsetting import SubsetParameters

SWEEP_INTERVAL_S = 5.0
# Interval between log lines with the counters.
COUNTS_INTERVAL_S = 60.0
LISTEN_BACKLOG = 1_024
NO_DOCUMENT_CHECKS: Mapping[str, DocumentCheck] = MappingProxyType({})


class Distributor:
    """The components of one distributor and its background tasks."""

    def __init__(
        self,
        config: DistributorConfig,
        log: Log,
        document_checks: Mapping[str, DocumentCheck] = NO_DOCUMENT_CHECKS,
    ) -> None:
        """Creates the components and loads the stored content; nothing listens before `open`. Raises
        `StoreError`."""
        self.config, self.log = config, log
        subset = config.subset
        parameters = SubsetParameters(
            subset.engines, subset.home_share, subset.least, subset.fronts, subset.zone_fronts
        )
        self.counts: Counter[str] = Counter()
        self.catalog = Catalog(parameters, config.history)
        self.writer: ContentWriter | None = None
        restored = self.restore(config.store) if config.store else False
        self.promises = PromiseStore(self.catalog.replica, self.writer, restored)
        addresses = tuple(parse_address(text) for text in config.distributors)
        peers = Peers(config.index, addresses, config.heartbeat_s)
        self.follower = Follower(self.catalog, peers, self.counts, log)
        self.role = PublisherRole(self.catalog, self.follower, log, self.promises, document_checks)
        admission = SnapshotAdmission(config.snapshots_per_s, config.index, clock.now())
        self.sessions = Sessions(self.catalog, admission, self.counts)
        # Set at the next change; the long polls of followers wait for it.
        self.next_version = asyncio.Event()
        self.catalog.on_change.append(self.on_catalog_change)
        self.stop_requested = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.server: BoundedServer | None = None

    def restore(self, path: str) -> bool:
        """Loads the stored content and returns whether there was any. Raises `StoreError` if the file is
        damaged: serving damaged content would be worse than not starting."""
        store = ContentStore(path)
        content = store.read()
        if content is not None:
            self.catalog.receive(content)
        self.catalog.replica.floor = store.read_floor()
        self.writer = ContentWriter(store, self.catalog.replica, self.log)
        return self.catalog.replica.highest() > NO_VERSION

    def on_catalog_change(self, update: object, change: Change) -> None:
        """Queues the update for writing and wakes the followers' long polls."""
        if self.writer:
            self.writer.enqueue(update)
        # Wakes the present waiters; later ones wait for the next change.
        self.next_version.set()
        self.next_version = asyncio.Event()

    async def open(self) -> None:
        """Opens the listener and starts the background tasks."""
        from thistlelever.distributor.handlers import build_application

        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        host, port = parse_address(self.config.listen)
        self.server = BoundedServer(build_application(self), self.request_limits(), self.counts)
        self.server.listen(port, host, backlog=LISTEN_BACKLOG)
        jobs = [
            recover_promises(self.follower, self.promises, self.log),
            self.follower.run(),
            self.sessions.run(),
            self.role.announce(),
            self.run_sweeps(),
            self.run_count_log(),
        ]
        if self.writer:
            jobs.append(self.writer.run())
        jobs.append(self.role.run(self.election(), self.config.publisher))
        self.tasks = [loop.create_task(self.supervise(job)) for job in jobs]
        self.log("ready", listen=self.config.listen, version=str(self.catalog.version))

    def request_limits(self) -> RequestLimits:
        """Returns the limits on requests."""
        from thistlelever.distributor.handlers import PUBLISH_PATH

        config = self.config
        by_path = {PUBLISH_PATH: int(config.publish_body_mb * 1e6)}
        return RequestLimits(config.connections, int(config.request_memory_mb * 1e6), by_path)

    def election(self) -> Election | None:
        """Returns the rules by which this distributor claims the role by itself, or None if only an operator
        makes it claim."""
        config = self.config
        if config.election_after_s is None:
            return None
        return Election(config.index, len(config.distributors), config.election_after_s)

    async def supervise(self, job) -> None:
        """Runs a background task. If it fails, the whole process stops: otherwise a distributor that works
        only in part would look healthy."""
        try:
            await job
        except Exception as error:
            self.log("failed", why=repr(error))
            self.stop_requested.set()
            raise

    async def run_sweeps(self) -> None:
        """Removes expired sessions of fronts, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sessions.sweep()

    async def run_count_log(self) -> None:
        """Logs the counters, which are cumulative, until cancelled."""
        while True:
            await asyncio.sleep(COUNTS_INTERVAL_S)
            report = self.status()
            fronts, lagging = len(report.pop("fronts")), len(report.pop("lagging"))
            self.log("counts", fronts=fronts, lagging=lagging, cpu=round(process_time(), 3), **report)

    async def run(self) -> int:
        """Serves until SIGTERM and returns the exit code."""
        await self.open()
        await self.stop_requested.wait()
        return await self.close()

    async def close(self) -> int:
        """Stops all components. Returns the exit code: 1 if a background task has failed, else 0."""
        self.server.stop()
        failed = any(task.done() and not task.cancelled() and task.exception() for task in self.tasks)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        with suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await self.server.close_all_connections()
        if self.writer:
            await self.writer.close()
        self.log("stopped", version=str(self.catalog.version))
        return int(failed)

    def status(self) -> dict:
        """Returns the status for operators: versions, role, fronts, storage and counters."""
        follower, role = self.follower, self.role
        replica, now = self.catalog.replica, clock.now()
        fronts = {
            name: {
                "version": str(session.version),
                "seen_s": round(now - session.last_request_at, 3),
                "engines": len(session.subset.ids),
            }
            for name, session in self.sessions.by_front.items()
        }
        return {
            "name": self.config.name,
            "index": self.config.index,
            "role": "publisher" if role.publisher else "follower",
            "version": str(replica.version),
            "digest": f"{replica.digest:032x}",
            "floor": str(replica.floor),
            "engines": len(replica.records) - len(self.catalog.documents),
            "documents": sorted(record.name for record in self.catalog.documents.values()),
            "age_s": round(follower.age(), 3) if replica.version > NO_VERSION else None,
            "publisher": follower.publisher_index(),
            "following": follower.following,
            "fronts": fronts,
            "lagging": sorted(
                name for name, session in fronts.items() if session["seen_s"] > self.lag_threshold()
            ),
            "store": {"path": self.config.store, "failing": self.writer.failure} if self.writer else None,
            "counts": dict(sorted(self.counts.items())),
        }

    def lag_threshold(self) -> float:
        """Returns the number of seconds without a request after which a front counts as lagging: two
        heartbeats."""
        return 2 * self.config.heartbeat_s


async def serve(config: DistributorConfig, log: Log, document_checks: Mapping[str, DocumentCheck]) -> int:
    """Runs one distributor until SIGTERM and returns the exit code. `document_checks` holds one check for
    each document that may be published, by name."""
    return await Distributor(config, log, document_checks).run()
