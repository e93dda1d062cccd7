"""The sessions of the fronts: which records each front holds, and the replies to its watches."""

from __future__ import annotations

import asyncio
from collections import Counter
from time import perf_counter
from zlib import crc32

from thistlelever.distribution import codec
from thistlelever.distribution.messages import Delta, Snapshot, Update
from thistlelever.distribution.reconnect import HeldDigests, difference_from_digests
from thistlelever.distribution.records import DOCUMENT_PREFIX, Record
from thistlelever.distribution.versions import NO_VERSION, Version
from thistlelever.distribution.views import SentViews, difference, snapshot
from thistlelever.distributor.admission import SnapshotAdmission
from thistlelever.distributor.catalog import Catalog, Change
from thistlelever.ground import clock
from thistlelever.subsetting import FrontIdentity, Requirement, Subset

# An answer with more records than this counts as a whole subset for the rate limit.
LARGE_UPDATE_RECORDS = 16
# Maximum time that a watch is held open, in seconds, whatever the front requests.
MAX_WAIT_S = 30.0
# A watch without changes is held open for at least this share of its time.
MIN_WAIT_SHARE = 0.7
# The session of a front without an open watch expires after this many seconds without a request.
SESSION_EXPIRY_S = 10.0
# After a change, sessions are checked for at most MAX_SLICE_S seconds before yielding to the event loop.
# Changes within COALESCE_S seconds are handled together.
MAX_SLICE_S, COALESCE_S = 0.005, 0.02
# The maximum number of fronts that share an engine is computed again after changes of this share of all
# engines.
MAX_FRONTS_REFRESH_SHARE = 0.01
# Retry delay sent to fronts while the catalog is empty.
EMPTY_RETRY_S = 0.5
# Retry delay sent to a front whose session is unknown.
UNKNOWN_FRONT_RETRY_S = 0.05


class BusyError(Exception):
    """The front has to retry later."""

    def __init__(self, retry_after: float) -> None:
        """The front has to retry after `retry_after` seconds."""
        super().__init__(f"come again in {retry_after:.3f} s")
        self.retry_after = retry_after


class BehindError(Exception):
    """The front holds a newer version than this distributor."""

    def __init__(self, version: Version) -> None:
        """`version` is the version that this distributor holds."""
        super().__init__(f"{version} is held here")


class Session:
    """One front: its identity, the selection of its subset, and the records it was sent."""

    def __init__(self, request: codec.WatchRequest) -> None:
        """Creates the session from the first watch of a connection."""
        self.identity = FrontIdentity(request.front, request.zone, request.rank, request.zone_rank)
        self.whole_cells = request.whole_cells
        self.requirements = tuple(
            Requirement(
                *(None if names is None else frozenset(names) for names in (field.zones, field.kinds))
            )
            for field in request.requirements
        )
        self.views = SentViews()
        self.retained: tuple[str, ...] = ()
        self.watch_count = 0
        self.version, self.last_request_at = NO_VERSION, clock.now()
        self.subset, self.subset_revision, self.max_fronts_revision = Subset((), 0), -1, -1
        # The future that an open watch waits for; completed when a change concerns it.
        self.wakeup: asyncio.Future[None] | None = None

    def concerns(self, change: Change) -> bool:
        """Returns whether a change touches an engine that the front holds."""
        return not change.engines.isdisjoint(self.subset.ids) or not change.engines.isdisjoint(self.retained)

    def is_waiting(self) -> bool:
        """Returns whether a watch of the front is held open."""
        return self.wakeup is not None and not self.wakeup.done()

    def wake(self) -> None:
        """Makes a watch that is held open check for differences again."""
        if self.is_waiting():
            self.wakeup.set_result(None)


class Sessions:
    """The sessions of all fronts that this distributor serves."""

    def __init__(self, catalog: Catalog, admission: SnapshotAdmission, counts: Counter[str]) -> None:
        """Starts without sessions. `counts` are the distributor's counters."""
        self.catalog, self.admission, self.counts = catalog, admission, counts
        self.by_front: dict[str, Session] = {}
        self.changes: list[Change] = []
        self.changed = asyncio.Event()
        catalog.on_change.append(self.on_catalog_change)

    def on_catalog_change(self, update: Update, change: Change) -> None:
        """Queues a change of the catalog for `run`."""
        self.changes.append(change)
        self.changed.set()

    def open(self, request: codec.WatchRequest) -> Session:
        """Returns the session for a watch. Raises `BehindError` if the front holds a newer version, and
        `BusyError` if it has to retry later."""
        if request.version > self.catalog.version:
            raise BehindError(self.catalog.version)
        if not self.catalog.replica.records:
            raise BusyError(EMPTY_RETRY_S)
        if request.held is not None:
            self.admit_snapshot()
        elif request.front not in self.by_front:
            # The session expired or its connection ended. The front reconnects and lists all its records.
            raise BusyError(UNKNOWN_FRONT_RETRY_S)
        return self.get_or_create(request)

    async def watch(self, session: Session, request: codec.WatchRequest) -> tuple[Update | None, int]:
        """Waits until the records that the front should hold differ from those it holds, or until the watch
        times out. Returns the update, None if there is none, and the maximum number of fronts that may send
        to any one of its engines."""
        deadline = clock.now() + min(request.wait, MAX_WAIT_S) * self.wait_share(session)
        while True:
            wanted = self.wanted_records(session)
            update = self.build_update(session, request, wanted)
            remaining = deadline - clock.now()
            if has_changes(update) or remaining <= 0:
                return self.finish_watch(session, request, update, wanted), session.subset.fronts
            session.wakeup = asyncio.get_running_loop().create_future()
            await asyncio.wait((session.wakeup,), timeout=remaining)

    def wait_share(self, session: Session) -> float:
        """Returns the share of its requested time that a watch is held open, which is pseudo-random. Without
        it, fronts that got an update at the same moment would send their next watches together, and these
        would time out together, again and again."""
        session.watch_count += 1
        draw = crc32(b"%d %b" % (session.watch_count, session.identity.name.encode())) / 2**32
        return MIN_WAIT_SHARE + (1 - MIN_WAIT_SHARE) * draw

    def get_or_create(self, request: codec.WatchRequest) -> Session:
        """Returns the front's session; a new one if there is none or if the request lists the held
        records."""
        session = self.by_front.get(request.front)
        if session is None or request.held is not None:
            if session:
                session.wake()
            session = self.by_front[request.front] = Session(request)
        session.retained, session.version = request.retained, request.version
        session.last_request_at = clock.now()
        return session

    def build_update(self, session: Session, request: codec.WatchRequest, wanted: list[Record]) -> Update:
        """Returns the update from the records that the front holds to those in `wanted`."""
        catalog, version = self.catalog, self.catalog.version
        exists = catalog.replica.records.__contains__
        held = session.views.acknowledge(*held_version(request))
        if held is not None:
            return difference(held, version, wanted, exists, session.retained)
        if request.held is None:
            return snapshot(version, wanted)
        digests = {record.id: record.digest for record in request.held}
        held_digests = HeldDigests(*held_version(request), digests)
        return difference_from_digests(held_digests, version, wanted, exists, session.retained)

    def wanted_records(self, session: Session) -> list[Record]:
        """Returns the records that the front should hold: its subset, the engines it retains, and all
        documents."""
        self.refresh_subset(session)
        inside = frozenset(session.subset.ids)
        outside = tuple(engine for engine in session.retained if engine not in inside)
        records = self.catalog.engine_records(session.subset.ids)
        records += [record._replace(in_subset=False) for record in self.catalog.engine_records(outside)]
        return [*records, *self.catalog.documents.values()]

    def refresh_subset(self, session: Session) -> None:
        """Updates the front's subset if the ring has changed. The number of fronts that share its engines is
        computed again only if its engines changed or after many changes of the ring: it costs more than the
        subset and changes slowly."""
        ring = self.catalog.ring
        if session.subset_revision == ring.revision:
            return
        selection = session.requirements, session.whole_cells
        session.subset_revision = ring.revision
        ids = ring.ids(session.identity, *selection)
        outdated = ring.revision - session.max_fronts_revision > len(ring) * MAX_FRONTS_REFRESH_SHARE
        if ids != session.subset.ids or outdated:
            session.subset = Subset(ids, ring.max_fronts(session.identity, ids, *selection))
            session.max_fronts_revision = ring.revision

    def admit_snapshot(self) -> None:
        """Applies the rate limit to a request that lists all held records and to an answer with a whole
        subset, either of which costs some hundred times as much as a heartbeat. Raises `BusyError`."""
        if retry_after := self.admission.admit(clock.now()):
            self.counts["snapshots refused"] += 1
            raise BusyError(retry_after)

    def finish_watch(
        self, session: Session, request: codec.WatchRequest, update: Update, wanted: list[Record]
    ) -> Update | None:
        """Records what is sent to the front and returns the update, or None if nothing has changed. Raises
        `BusyError` for a whole subset over the rate limit."""
        whole = not isinstance(update, Delta) or len(update.upserts) > LARGE_UPDATE_RECORDS
        if whole and request.held is None:
            self.admit_snapshot()
        if not has_changes(update) and update.version == request.version:
            self.counts["heartbeats"] += 1
            return None
        self.counts["snapshots" if whole else "deltas"] += 1
        session.views.sent(Snapshot(update.version, update.digest, tuple(wanted)))
        return update

    async def run(self) -> None:
        """Wakes the watches that changes concern, until cancelled."""
        while True:
            await self.changed.wait()
            await asyncio.sleep(COALESCE_S)
            changes, self.changes = self.changes, []
            self.changed.clear()
            await self.wake_watches(changes)

    async def wake_watches(self, changes: list[Change]) -> None:
        """Wakes the watches that these changes concern, yielding to the event loop after every MAX_SLICE_S
        seconds of work."""
        engines = frozenset[str]().union(*(change.engines for change in changes))
        change = Change(engines, any(change.subsets_may_differ for change in changes))
        documents = any(name.startswith(DOCUMENT_PREFIX) for name in engines)
        began = perf_counter()
        # Fronts without an open watch are checked at their next request. Computing the subsets of fronts that
        # moved to another distributor at each change would cost so much that the remaining ones move too.
        for session in [session for session in self.by_front.values() if session.is_waiting()]:
            if perf_counter() - began > MAX_SLICE_S:
                await asyncio.sleep(0)
                began = perf_counter()
            before = session.subset.ids
            if documents or session.concerns(change):
                session.wake()
            elif change.subsets_may_differ:
                self.refresh_subset(session)
                if session.subset.ids != before:
                    session.wake()

    def disconnect(self, session: Session) -> None:
        """Removes the session of a front that disconnected while its watch was held open."""
        if self.by_front.get(session.identity.name) is session:
            del self.by_front[session.identity.name]
        session.wake()

    def sweep(self) -> None:
        """Removes the sessions of fronts that no longer send watches."""
        before = clock.now() - SESSION_EXPIRY_S
        for front, session in list(self.by_front.items()):
            if session.last_request_at < before and not session.is_waiting():
                del self.by_front[front]


def held_version(request: codec.WatchRequest) -> tuple[Version, int]:
    """Returns the version and the digest of the records that the front holds."""
    return request.version, codec.digest_from(request.digest)


def has_changes(update: Update) -> bool:
    """Returns whether an update changes any record; a snapshot always counts as a change."""
    return not isinstance(update, Delta) or bool(update.upserts or update.removals)
