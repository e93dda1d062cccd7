"""How a distributor asks the others for the publisher's role: the calls of `distribution.claim.Claim`."""

from __future__ import annotations

import asyncio

from thistlelever.carrier.distributor_connection import Address, DistributorConnection, DistributorError
from thistlelever.distribution import codec
from thistlelever.distribution.claim import Claim, promise
from thistlelever.distributor.follower import Follower

HIGHEST_PATH, PROMISE_PATH, ANNOUNCE_PATH = "/v1/highest", "/v1/promise", "/v1/announce"
# How long another distributor may take to connect and to answer a claim, each.
CLAIM_WITHIN = 1.0


class ClaimFailedError(Exception):
    """No majority, or a higher term is promised elsewhere; the text says which."""


async def ask(address: Address, path: str, request: codec.Request) -> codec.VersionReply | None:
    """One call to another distributor; None where it does not answer in time."""
    try:
        connection = await DistributorConnection.open(address, CLAIM_WITHIN)
    except DistributorError:
        return None
    try:
        return await connection.call(path, request, codec.VersionReply, CLAIM_WITHIN)
    except DistributorError:
        return None
    finally:
        connection.close()


async def ask_others(
    distributors: tuple[Address, ...], index: int, path: str, request: codec.Request
) -> dict[int, codec.VersionReply]:
    """The same call to all others at once; the answers of those that gave one, by place."""
    others = [place for place in range(len(distributors)) if place != index]
    answers = await asyncio.gather(*(ask(distributors[place], path, request) for place in others))
    return {place: answer for place, answer in zip(others, answers, strict=True) if answer is not None}


async def claim_term(follower: Follower) -> int:
    """Claim the role: returns the term once a majority has promised it and this distributor holds the newest
    content that the majority holds; `ClaimFailedError` otherwise."""
    index, distributors, replica = follower.index, follower.distributors, follower.catalog.replica
    claim = Claim(index, len(distributors))
    claim.heard(index, max(replica.highest(), follower.highest_seen))
    answers = await ask_others(distributors, index, HIGHEST_PATH, codec.HighestRequest(index))
    for place, answer in answers.items():
        claim.heard(place, answer.highest)
    term = claim.term()
    if term is None:
        raise ClaimFailedError(f"{1 + len(answers)} of {len(distributors)} distributors answer")
    if not promise(replica, term):
        raise ClaimFailedError(f"term {term}: a higher one was promised here meanwhile")
    claim.promised(index, replica.version)
    answers = await ask_others(distributors, index, PROMISE_PATH, codec.PromiseRequest(index, term))
    for place, answer in answers.items():
        if answer.granted:
            claim.promised(place, answer.held)
    source = claim.source()
    if source is None:
        raise ClaimFailedError(f"term {term}: no majority has promised it")
    if source != index:
        await take_over_content(follower, source)
    return term


async def take_over_content(follower: Follower, source: int) -> None:
    """Bring the replica to what the newest holder among those that promised has, which is older than the
    floor that this distributor has promised itself."""
    replica = follower.catalog.replica
    floor, replica.floor = replica.floor, replica.version
    try:
        await follower.follow(source, once=True)
    except DistributorError as error:
        raise ClaimFailedError(f"distributor {source}: {error}") from None
    finally:
        replica.floor = max(floor, replica.floor)
