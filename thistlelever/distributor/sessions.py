"""What each connected front was told, and the answers to its watches."""

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

# An answer with more records than this counts as a whole subset.
LARGE_UPDATE_RECORDS = 16
# The longest that a watch is held back, whatever its front asks for.
MAX_WAIT_S = 30.0
# A watch without news is held back for this part of its time at least.
MIN_WAIT_SHARE = 0.7
# A front that does not wait for an answer and has not asked for so long is forgotten.
SESSION_EXPIRY_S = 10.0
# When the list has changed, fronts are looked at for so many seconds in one turn of the loop; changes that
# come closer together than this are told together.
MAX_SLICE_S, COALESCE_S = 0.005, 0.02
# The bound on how many fronts share an engine is worked out anew after changes of this share of all engines.
MAX_FRONTS_REFRESH_SHARE = 0.01
# How long one that holds nothing yet asks fronts to stay away.
EMPTY_RETRY_S = 0.5
# How long one that has forgotten a front asks it to stay away.
UNKNOWN_FRONT_RETRY_S = 0.05


class BusyError(Exception):
    """The front is to come again after so many seconds."""

    def __init__(self, retry_after: float) -> None:
        """Come again after `retry_after` seconds."""
        super().__init__(f"come again in {retry_after:.3f} s")
        self.retry_after = retry_after


class BehindError(Exception):
    """The asker holds a newer version than this distributor."""

    def __init__(self, version: Version) -> None:
        """This distributor holds `version`."""
        super().__init__(f"{version} is held here")


class Session:
    """One front: who it is, what it may hold, and what it was told."""

    def __init__(self, request: codec.WatchRequest) -> None:
        """A front by its first watch of a connection."""
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
        # Done when something that concerns a watch that is held back has changed.
        self.wakeup: asyncio.Future[None] | None = None

    def concerns(self, change: Change) -> bool:
        """Whether a change touches an engine that the front holds."""
        return not change.engines.isdisjoint(self.subset.ids) or not change.engines.isdisjoint(self.retained)

    def is_waiting(self) -> bool:
        """Whether a watch of the front is held back."""
        return self.wakeup is not None and not self.wakeup.done()

    def wake(self) -> None:
        """Let a watch that is held back look again."""
        if self.is_waiting():
            self.wakeup.set_result(None)


class Sessions:
    """All fronts that this distributor serves."""

    def __init__(self, catalog: Catalog, admission: SnapshotAdmission, counts: Counter[str]) -> None:
        """No front yet."""
        self.catalog, self.admission, self.counts = catalog, admission, counts
        self.by_front: dict[str, Session] = {}
        self.changes: list[Change] = []
        self.changed = asyncio.Event()
        catalog.on_change.append(self.on_catalog_change)

    def on_catalog_change(self, update: Update, change: Change) -> None:
        """The catalog has changed."""
        self.changes.append(change)
        self.changed.set()

    def open(self, request: codec.WatchRequest) -> Session:
        """The session of a front that watches. `BehindError` where it holds something newer, `BusyError`
        where it is to come again."""
        if request.version > self.catalog.version:
            raise BehindError(self.catalog.version)
        if not self.catalog.replica.records:
            raise BusyError(EMPTY_RETRY_S)
        if request.held is not None:
            self.admit_snapshot()
        elif request.front not in self.by_front:
            # Forgotten: by a new connection the front tells all anew.
            raise BusyError(UNKNOWN_FRONT_RETRY_S)
        return self.session(request)

    async def watch(self, session: Session, request: codec.WatchRequest) -> tuple[Update | None, int]:
        """The answer to a watch, as soon as something that concerns the front differs from what it holds, or
        when its time is up; and how many fronts may send to any one of its engines."""
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
        """Which part of its time a watch is held back, by chance. Risk: fronts that were told together ask
        together, and their watches run out in one moment, again and again."""
        session.watch_count += 1
        draw = crc32(b"%d %b" % (session.watch_count, session.identity.name.encode())) / 2**32
        return MIN_WAIT_SHARE + (1 - MIN_WAIT_SHARE) * draw

    def session(self, request: codec.WatchRequest) -> Session:
        """The front's session; a new one where it tells what it holds."""
        session = self.by_front.get(request.front)
        if session is None or request.held is not None:
            if session:
                session.wake()
            session = self.by_front[request.front] = Session(request)
        session.retained, session.version = request.retained, request.version
        session.last_request_at = clock.now()
        return session

    def build_update(self, session: Session, request: codec.WatchRequest, wanted: list[Record]) -> Update:
        """What brings the front to the records wanted."""
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
        """The records that the front is to hold: its subset, what it retains, and all documents."""
        self.refresh_subset(session)
        inside = frozenset(session.subset.ids)
        outside = tuple(engine for engine in session.retained if engine not in inside)
        records = self.catalog.engine_records(session.subset.ids)
        records += [record._replace(in_subset=False) for record in self.catalog.engine_records(outside)]
        return [*records, *self.catalog.documents.values()]

    def refresh_subset(self, session: Session) -> None:
        """Bring a front's subset up to date with the ring. How many fronts share its engines is worked out
        anew only with other engines, or once many have changed: it costs more than the subset, and moves
        slowly."""
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
        """Let a front that names all that it holds, or that is told its whole subset, pass at a bounded rate:
        either costs some hundred times a heartbeat."""
        if retry_after := self.admission.admit(clock.now()):
            self.counts["snapshots refused"] += 1
            raise BusyError(retry_after)

    def finish_watch(
        self, session: Session, request: codec.WatchRequest, update: Update, wanted: list[Record]
    ) -> Update | None:
        """Remember what goes out; `BusyError` for a whole subset that is not admitted."""
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
        """Wake the watches that a change concerns, a few fronts a turn."""
        while True:
            await self.changed.wait()
            await asyncio.sleep(COALESCE_S)
            changes, self.changes = self.changes, []
            self.changed.clear()
            await self.wake_watches(changes)

    async def wake_watches(self, changes: list[Change]) -> None:
        """Wake the watches that these changes concern."""
        engines = frozenset[str]().union(*(change.engines for change in changes))
        change = Change(engines, any(change.subsets_may_differ for change in changes))
        documents = any(name.startswith(DOCUMENT_PREFIX) for name in engines)
        began = perf_counter()
        # Who does not wait looks anew when it next asks. Risk: fronts that went elsewhere, worked out at each
        # change, cost so much that those that are here go elsewhere too.
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
        """The connection of a front has ended while its watch was held back."""
        if self.by_front.get(session.identity.name) is session:
            del self.by_front[session.identity.name]
        session.wake()

    def sweep(self) -> None:
        """Forget the fronts that no longer ask."""
        before = clock.now() - SESSION_EXPIRY_S
        for front, session in list(self.by_front.items()):
            if session.last_request_at < before and not session.is_waiting():
                del self.by_front[front]


def held_version(request: codec.WatchRequest) -> tuple[Version, int]:
    """Version and digest of what the front holds."""
    return request.version, codec.digest_from(request.digest)


def has_changes(update: Update) -> bool:
    """Whether an update changes any record."""
    return not isinstance(update, Delta) or bool(update.upserts or update.removals)
