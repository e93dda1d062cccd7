"""The distributor's HTTP interface: MessagePack for fronts and other distributors, JSON for operators."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Annotated

import msgspec
from msgspec import Meta, Struct
from tornado.web import Application, RequestHandler

from thistlelever.carrier.subscription import WATCH_PATH
from thistlelever.distribution import codec
from thistlelever.distribution.claim import promise
from thistlelever.distribution.publisher import PublishRefusedError
from thistlelever.distribution.records import EngineRecord, Record, document, engines_of
from thistlelever.distribution.versions import Version, parse
from thistlelever.distributor.claiming import ANNOUNCE_PATH, HIGHEST_PATH, PROMISE_PATH, ClaimFailedError
from thistlelever.distributor.follower import FOLLOW_PATH
from thistlelever.distributor.promises import NOT_RECOVERED
from thistlelever.distributor.service import Distributor
from thistlelever.distributor.sessions import BehindError, BusyError, Session
from thistlelever.distributor.store import StoreError

PUBLISH_PATH = "/v1/publish"

VersionText = Annotated[str, Meta(pattern=r"^[0-9]{1,12}\.[0-9]{1,12}$")]


class EngineBody(Struct, frozen=True, forbid_unknown_fields=True):
    """An engine in a request by an operator or a platform."""

    id: str
    zone: str
    kind: str
    address: str
    cell: int = 0
    draining: bool = False
    started: float = 0.0
    weight: float = 1.0

    def to_record(self) -> EngineRecord:
        """Returns the record to distribute."""
        return EngineRecord(
            self.id,
            self.zone,
            self.cell,
            self.kind,
            self.address,
            self.draining,
            float(self.started),
            float(self.weight),
        )


class PublishBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A change (`upserts`, `removals`, `documents`) or a whole list (`engines`). `expected` is the version
    that the change was made for."""

    upserts: tuple[EngineBody, ...] = ()
    removals: tuple[str, ...] = ()
    engines: tuple[EngineBody, ...] | None = None
    # Texts of documents by name; None removes the document.
    documents: dict[str, str | None] = {}
    expected: VersionText | None = None

    def upserted_records(self) -> list[Record]:
        """Returns the records that the change adds or replaces."""
        documents = [document(name, text) for name, text in self.documents.items() if text is not None]
        return [*(engine.to_record() for engine in self.upserts), *documents]

    def removed_ids(self) -> list[str]:
        """Returns the ids that the change removes."""
        documents = [document(name, "").id for name, text in self.documents.items() if text is None]
        return [*self.removals, *documents]


class PromoteBody(Struct, frozen=True, forbid_unknown_fields=True):
    """A promotion. The new term is higher than that of `above`: fronts may hold that version although all
    distributors were restored to older ones."""

    above: VersionText = "0.0"


class BaseHandler(RequestHandler):
    """Decoding, replies and logging shared by all handlers."""

    def initialize(self, distributor: Distributor) -> None:
        """Receives the route's keyword arguments from Tornado."""
        self.distributor = distributor

    def reply_msgpack(self, body: codec.Body) -> None:
        """Sends a reply in MessagePack."""
        self.set_header("Content-Type", "application/msgpack")
        data = codec.encode(body)
        self.distributor.counts["bytes sent"] += len(data)
        self.finish(data)

    def reply_error(self, status: int, message: str, **fields) -> None:
        """Sends an error in JSON, with further fields beside its text."""
        self.set_status(status)
        self.finish({"error": message, **fields})

    def decode_body(self, kind: type[codec.Kind]) -> codec.Kind | None:
        """Decodes the request's body. If it is invalid, replies with status 400 and returns None."""
        try:
            return codec.decode(self.request.body, kind)
        except codec.ProtocolError as error:
            self.distributor.counts["requests out of form"] += 1
            self.reply_error(HTTPStatus.BAD_REQUEST, str(error))
            return None

    def log_exception(self, kind, error, trace) -> None:
        """Logs an unhandled exception as one line of the distributor's own log."""
        self.distributor.log("request failed", path=self.request.path, why=repr(error))


class WatchHandler(BaseHandler):
    """A front watches its subset."""

    session: Session | None = None

    def on_connection_close(self) -> None:
        """Ends the session if the front disconnects while its watch is held open."""
        if self.session is not None:
            self.distributor.sessions.disconnect(self.session)

    async def post(self) -> None:
        """Waits until there is a difference to the records that the front holds, and sends it."""
        request = self.decode_body(codec.WatchRequest)
        if request is None:
            return
        # A version that a front holds must not make the publisher step down: the front may belong to another
        # tier, or hold a version that all distributors have lost.
        distributor = self.distributor
        try:
            self.session = distributor.sessions.open(request)
            update, fronts = await distributor.sessions.watch(self.session, request)
        except BusyError as error:
            self.set_header("Retry-After", f"{error.retry_after:.3f}")
            self.reply_error(HTTPStatus.SERVICE_UNAVAILABLE, str(error))
            return
        except BehindError as error:
            self.reply_error(HTTPStatus.CONFLICT, str(error))
            return
        body = None if update is None else codec.update_to_body(update)
        self.reply_msgpack(codec.Reply(body, distributor.follower.age(), fronts))


class FollowHandler(BaseHandler):
    """Another distributor follows this one."""

    async def post(self) -> None:
        """Waits for a newer version and sends the difference, as a delta if the history allows it."""
        request = self.decode_body(codec.FollowRequest)
        if request is None:
            return
        distributor, replica = self.distributor, self.distributor.catalog.replica
        distributor.role.observe(max(request.version, request.floor))
        distributor.role.record_held(request.index, request.version)
        if request.version > replica.version:
            self.reply_error(HTTPStatus.CONFLICT, f"{replica.version} is held here")
            return
        if request.version == replica.version and request.wait > 0:
            waiter = asyncio.ensure_future(distributor.next_version.wait())
            await asyncio.wait((waiter,), timeout=min(request.wait, distributor.config.heartbeat_s))
            waiter.cancel()
        digest = codec.digest_from(request.digest)
        update = None
        if (request.version, digest) != (replica.version, replica.digest):
            update = distributor.catalog.history.since(request.version, digest) or replica.snapshot()
        body = None if update is None else codec.update_to_body(update)
        self.reply_msgpack(codec.Reply(body, distributor.follower.age()))


class VersionHandler(BaseHandler):
    """Base of the handlers that reply with the versions held and seen here."""

    def version_reply(self, sender: int, granted: bool = True) -> codec.VersionReply:
        """Returns the versions held and seen here, and whether the request of distributor `sender` was
        granted."""
        distributor = self.distributor
        replica = distributor.catalog.replica
        highest = max(replica.highest(), distributor.follower.highest_seen)
        return codec.VersionReply(replica.version, highest, distributor.role.contact_age(sender), granted)


class AnnounceHandler(VersionHandler):
    """The publisher announces itself."""

    def post(self) -> None:
        """Records the publisher's version and replies with the versions held and seen here."""
        request = self.decode_body(codec.AnnounceRequest)
        if request is not None:
            self.distributor.role.observe(request.version)
            self.reply_msgpack(self.version_reply(request.index))


class HighestHandler(VersionHandler):
    """A claimant asks for the highest version held or promised here."""

    def post(self) -> None:
        """Replies with the versions held and seen here."""
        request = self.decode_body(codec.HighestRequest)
        if request is not None:
            self.reply_msgpack(self.version_reply(request.index))


class PromiseHandler(VersionHandler):
    """A claimant asks for a promise to accept nothing of an earlier term. If there is a store, the promise is
    on disk before the reply is sent. While promises from before the start may be lost, only a first term is
    promised."""

    async def post(self) -> None:
        """Promises the term, or refuses because of a higher one or because the promise can't be stored."""
        request = self.decode_body(codec.PromiseRequest)
        if request is None:
            return
        distributor = self.distributor
        promises = distributor.promises
        if not promises.may_promise(request.term):
            distributor.log("promise refused", term=request.term, why=NOT_RECOVERED)
            self.reply_msgpack(self.version_reply(request.index, granted=False))
            return
        granted = promise(distributor.catalog.replica, request.term)
        if granted:
            distributor.role.promised(request.index, request.term)
            try:
                await promises.save(Version(request.term, 0))
                # The claimant has the promise only now.
                distributor.role.promised(request.index, request.term)
            except StoreError as error:
                distributor.log("promise not kept on disk", why=str(error))
                granted = False
        self.reply_msgpack(self.version_reply(request.index, granted))


class PublishHandler(BaseHandler):
    """An operator or a platform publishes a change."""

    async def post(self) -> None:
        """Publishes the change. The status is 202 if no majority holds the version yet, 400 for an invalid
        body and 409 if the change is refused."""
        role = self.distributor.role
        try:
            body = msgspec.json.decode(self.request.body, type=PublishBody)
            expected = parse(body.expected) if body.expected else None
            if body.engines is None:
                version = role.publish(body.upserted_records(), body.removed_ids(), expected)
            else:
                version = role.replace_all([engine.to_record() for engine in body.engines], expected)
        except msgspec.DecodeError as error:
            self.reply_error(HTTPStatus.BAD_REQUEST, f"no change: {error}")
            return
        except PublishRefusedError as error:
            present = self.distributor.catalog.version
            self.distributor.log("publish refused", why=str(error), version=str(present))
            self.reply_error(HTTPStatus.CONFLICT, str(error), version=str(present))
            return
        confirmed = await role.wait_confirmed(version)
        if not confirmed:
            self.set_status(HTTPStatus.ACCEPTED)
        self.finish({"version": str(version), "confirmed": confirmed})


class PromoteHandler(BaseHandler):
    """An operator makes this distributor the publisher."""

    async def post(self) -> None:
        """Claims the role. The status is 400 for an invalid body and 409 if the claim fails."""
        try:
            body = msgspec.json.decode(self.request.body, type=PromoteBody)
            term = await self.distributor.role.claim(parse(body.above))
        except msgspec.DecodeError as error:
            self.reply_error(HTTPStatus.BAD_REQUEST, f"no promotion: {error}")
            return
        except ClaimFailedError as error:
            self.reply_error(HTTPStatus.CONFLICT, str(error))
            return
        self.finish({"term": term, "version": str(self.distributor.catalog.version)})


class StatusHandler(BaseHandler):
    """An operator asks for version, role, fronts and counters."""

    def get(self) -> None:
        """Replies with the status."""
        self.finish(self.distributor.status())


class CatalogHandler(BaseHandler):
    """An operator asks for the whole list."""

    def get(self) -> None:
        """Replies with the version, all engines and all documents."""
        replica = self.distributor.catalog.replica
        engines = [record._asdict() for record in engines_of(replica.records.values())]
        for engine in engines:
            del engine["in_subset"]
        self.set_header("Content-Type", "application/json")
        documents = {record.name: record.content for record in self.distributor.catalog.documents.values()}
        body = {"version": str(replica.version), "engines": engines, "documents": documents}
        self.finish(msgspec.json.encode(body))


def build_application(distributor: Distributor) -> Application:
    """Returns the Tornado application with all routes."""
    handlers = {
        WATCH_PATH: WatchHandler,
        FOLLOW_PATH: FollowHandler,
        ANNOUNCE_PATH: AnnounceHandler,
        HIGHEST_PATH: HighestHandler,
        PROMISE_PATH: PromiseHandler,
        PUBLISH_PATH: PublishHandler,
        "/v1/promote": PromoteHandler,
        "/v1/status": StatusHandler,
        "/v1/catalog": CatalogHandler,
    }
    routes = [(path, handler, {"distributor": distributor}) for path, handler in handlers.items()]
    return Application(routes, log_function=lambda handler: None)
