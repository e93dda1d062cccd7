"""Claims the publisher's role: performs the calls that `distribution.claim.Claim` needs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from thistlelever.carrier.distributor_connection import Address, DistributorConnection, DistributorError
from thistlelever.distribution import codec
from thistlelever.distribution.claim import Claim, catch_up, majority, promise
from thistlelever.distribution.election import Election
from thistlelever.distribution.replica import Outcome
from thistlelever.distribution.versions import Version
from thistlelever.distributor.follower import Follower
from thistlelever.distributor.promises import NOT_RECOVERED, PromiseStore
from thistlelever.distributor.store import StoreError
from thistlelever.ground import clock

HIGHEST_PATH, PROMISE_PATH, ANNOUNCE_PATH = "/v1/highest", "/v1/promise", "/v1/announce"
# Timeout for connecting to another distributor, and again for its reply.
CLAIM_TIMEOUT_S = 1.0
# Timeout for a promise, which the other distributor writes to its disk before it replies.
PROMISE_TIMEOUT_S = 3.0
# How long later replies are waited for once there are enough: a distributor that never replies must not delay
# a claim until others claim as well.
LATE_REPLY_GRACE_S = 0.2

Replies = dict[int, codec.VersionReply]


class ClaimFailedError(Exception):
    """There is no majority, or a higher term has been promised elsewhere; the text gives the reason."""


async def call_distributor(
    address: Address, path: str, request: codec.Request, timeout: float = CLAIM_TIMEOUT_S
) -> codec.VersionReply | None:
    """Makes one call to another distributor. Returns None if it does not reply within `timeout` seconds."""
    try:
        connection = await DistributorConnection.open(address, CLAIM_TIMEOUT_S)
    except DistributorError:
        return None
    try:
        return await connection.call(path, request, codec.VersionReply, timeout)
    except DistributorError:
        return None
    finally:
        connection.close()


async def call_others(
    follower: Follower,
    path: str,
    request: codec.Request,
    timeout: float = CLAIM_TIMEOUT_S,
    enough: Callable[[Replies], bool] = lambda replies: False,
) -> Replies:
    """Makes the same call to all other distributors concurrently. Returns the replies by distributor index;
    distributors that did not reply are left out. Once the replies are `enough`, later ones are waited for
    only for LATE_REPLY_GRACE_S."""
    calls = {
        asyncio.ensure_future(call_distributor(address, path, request, timeout)): other
        for other, address in enumerate(follower.distributors)
        if other != follower.index
    }
    replies: Replies = {}
    pending = set(calls)
    try:
        while pending:
            wait = LATE_REPLY_GRACE_S if enough(replies) else None
            done, pending = await asyncio.wait(pending, timeout=wait, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                break
            replies |= {calls[call]: call.result() for call in done if call.result() is not None}
    finally:
        for call in pending:
            call.cancel()
    return replies


async def claim_term(
    follower: Follower,
    above: Version,
    promises: PromiseStore,
    election: Election | None,
    automatic: bool,
) -> int:
    """Claims the role and returns the term, which is higher than that of `above`, once a majority has
    promised it and this distributor holds the newest content of that majority. Raises `ClaimFailedError`
    otherwise. `promises` stores this distributor's own promise. If `automatic`, nothing is claimed while this
    or another distributor has contact with the publisher or with another claimant, by the timeout of
    `election`."""
    index, distributors, replica = follower.index, follower.distributors, follower.catalog.replica
    claim = Claim(index, len(distributors), promises_intact=promises.is_intact())
    claim.observe(max(follower.highest_seen, above))
    claim.record_highest(index, replica.highest())
    await request_highest(follower, claim, election if automatic else None)
    term = claim.term()
    if term is None:
        raise ClaimFailedError(f"too few answers: {claim.responders()} of {len(distributors)} distributors")
    if not promises.may_promise(term):
        raise ClaimFailedError(f"term {term}: {NOT_RECOVERED}")
    if not promise(replica, term):
        raise ClaimFailedError(f"term {term}: a higher one was promised here meanwhile")
    if election:
        # Until the end of the claim, which the caller marks.
        election.claiming = True
    try:
        await promises.save(Version(term, 0))
    except StoreError as error:
        raise ClaimFailedError(f"term {term}: {error}") from None
    claim.record_promise(index, replica.version)
    await request_promises(follower, claim, term)
    require_newest_term(follower, claim)
    source = claim.newest_holder()
    if source is None:
        raise ClaimFailedError(f"term {term}: no majority has promised it")
    if source != index:
        await copy_content(follower, source)
        require_newest_term(follower, claim)
    return term


def require_newest_term(follower: Follower, claim: Claim) -> None:
    """Raises `ClaimFailedError` if a term above the claimed one has been seen or promised here."""
    claim.observe(max(follower.highest_seen, follower.catalog.replica.floor))
    if claim.superseded():
        raise ClaimFailedError(f"term {claim.term()}: {claim.highest()} was seen meanwhile")


async def request_highest(follower: Follower, claim: Claim, election: Election | None) -> None:
    """Requests the highest versions of all other distributors and records their replies. With `election`,
    raises `ClaimFailedError` if one of them, or this distributor meanwhile, had contact with the publisher or
    with another claimant."""
    request = codec.HighestRequest(follower.index)
    answers = await call_others(
        follower, HIGHEST_PATH, request, enough=lambda replies: len(replies) >= claim.others_needed()
    )
    if election:
        own_age = election.contact_age(clock.now(), follower.age(), follower.index)
        if election.is_publisher_alive([own_age, *(answer.age for answer in answers.values())]):
            raise ClaimFailedError("another distributor hears the publisher or a claimant")
    for other, answer in answers.items():
        claim.record_highest(other, answer.highest)


async def request_promises(follower: Follower, claim: Claim, term: int) -> None:
    """Requests a promise of the term from all other distributors and records their replies."""
    quorum = majority(len(follower.distributors)) - 1

    def is_decided(replies: Replies) -> bool:
        granted = sum(reply.granted for reply in replies.values())
        return granted >= quorum or any(reply.highest.term > term for reply in replies.values())

    request = codec.PromiseRequest(follower.index, term)
    answers = await call_others(follower, PROMISE_PATH, request, timeout=PROMISE_TIMEOUT_S, enough=is_decided)
    for other, answer in answers.items():
        if answer.granted:
            claim.record_promise(other, answer.held)
        claim.observe(answer.highest)
        follower.observe(answer.highest)


async def copy_content(follower: Follower, source: int) -> None:
    """Copies the newest content among the distributors that promised, from the distributor `source`. That
    content is older than the term that this distributor has itself promised, so it is applied regardless of
    the floor. Raises `ClaimFailedError` if that fails."""
    try:
        reply = await follower.poll_once(source)
    except DistributorError as error:
        raise ClaimFailedError(f"distributor {source}: {error}") from None
    if reply.update is not None:
        outcome = follower.catalog.receive(codec.update_from_body(reply.update), catch_up)
        if outcome is not Outcome.APPLIED:
            raise ClaimFailedError(f"distributor {source}: its content was {outcome.value}")
