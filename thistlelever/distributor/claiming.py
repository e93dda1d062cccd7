"""Claims the publisher's role: performs the calls that `distribution.claim.Claim` needs."""

from __future__ import annotations

import asyncio

from thistlelever.carrier.distributor_connection import Address, DistributorConnection, DistributorError
from thistlelever.distribution import codec
from thistlelever.distribution.claim import Claim, catch_up, promise
from thistlelever.distribution.election import Election
from thistlelever.distribution.replica import Outcome
from thistlelever.distribution.versions import Version
from thistlelever.distributor.follower import Follower
from thistlelever.distributor.promises import NOT_RECOVERED, PromiseStore
from thistlelever.distributor.store import StoreError

HIGHEST_PATH, PROMISE_PATH, ANNOUNCE_PATH = "/v1/highest", "/v1/promise", "/v1/announce"
# Timeout for connecting to another distributor, and again for its reply to a claim.
CLAIM_TIMEOUT_S = 1.0


class ClaimFailedError(Exception):
    """There is no majority, or a higher term has been promised elsewhere; the text gives the reason."""


async def call_distributor(address: Address, path: str, request: codec.Request) -> codec.VersionReply | None:
    """Makes one call to another distributor. Returns None if it does not reply in time."""
    try:
        connection = await DistributorConnection.open(address, CLAIM_TIMEOUT_S)
    except DistributorError:
        return None
    try:
        return await connection.call(path, request, codec.VersionReply, CLAIM_TIMEOUT_S)
    except DistributorError:
        return None
    finally:
        connection.close()


async def call_others(
    distributors: tuple[Address, ...], index: int, path: str, request: codec.Request
) -> dict[int, codec.VersionReply]:
    """Makes the same call to all other distributors concurrently. Returns the replies by distributor index;
    distributors that did not reply are left out."""
    others = [other for other in range(len(distributors)) if other != index]
    answers = await asyncio.gather(
        *(call_distributor(distributors[other], path, request) for other in others)
    )
    return {other: answer for other, answer in zip(others, answers, strict=True) if answer is not None}


async def claim_term(
    follower: Follower, above: Version, promises: PromiseStore, election: Election | None
) -> int:
    """Claims the role and returns the term, which is higher than that of `above`, once a majority has
    promised it and this distributor holds the newest content of that majority. Raises `ClaimFailedError`
    otherwise. `promises` stores this distributor's own promise. If `election` is given, nothing is claimed
    while another distributor still has contact with the publisher."""
    index, distributors, replica = follower.index, follower.distributors, follower.catalog.replica
    claim = Claim(index, len(distributors), promises_intact=promises.is_intact())
    claim.observe(max(follower.highest_seen, above))
    claim.record_highest(index, replica.highest())
    answers = await call_others(distributors, index, HIGHEST_PATH, codec.HighestRequest(index))
    if election and election.is_publisher_alive([answer.age for answer in answers.values()]):
        raise ClaimFailedError("another distributor hears the publisher")
    for other, answer in answers.items():
        claim.record_highest(other, answer.highest)
    term = claim.term()
    if term is None:
        raise ClaimFailedError(f"too few answers: {1 + len(answers)} of {len(distributors)} distributors")
    if not promises.may_promise(term):
        raise ClaimFailedError(f"term {term}: {NOT_RECOVERED}")
    if not promise(replica, term):
        raise ClaimFailedError(f"term {term}: a higher one was promised here meanwhile")
    try:
        await promises.save(Version(term, 0))
    except StoreError as error:
        raise ClaimFailedError(f"term {term}: {error}") from None
    claim.record_promise(index, replica.version)
    await request_promises(follower, claim, term)
    source = claim.newest_holder()
    if source is None:
        raise ClaimFailedError(f"term {term}: no majority has promised it")
    if claim.superseded():
        raise ClaimFailedError(f"term {term}: {claim.highest()} was seen meanwhile")
    if source != index:
        await copy_content(follower, source)
    return term


async def request_promises(follower: Follower, claim: Claim, term: int) -> None:
    """Requests a promise of the term from all other distributors and records their replies."""
    request = codec.PromiseRequest(follower.index, term)
    answers = await call_others(follower.distributors, follower.index, PROMISE_PATH, request)
    for other, answer in answers.items():
        if answer.granted:
            claim.record_promise(other, answer.held)
        else:
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
