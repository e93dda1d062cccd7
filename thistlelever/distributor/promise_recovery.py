"""Recovers the promises and the content that this distributor may have lost before it started: performs the
calls that `distribution.promise_recovery.PromiseRecovery` needs."""

from __future__ import annotations

import asyncio

from thistlelever.carrier.distributor_connection import DistributorError
from thistlelever.distribution import codec
from thistlelever.distribution.promise_recovery import PromiseRecovery
from thistlelever.distributor.claiming import HIGHEST_PATH, call_others
from thistlelever.distributor.follower import Follower
from thistlelever.distributor.promises import PromiseStore
from thistlelever.distributor.store import StoreError
from thistlelever.ground.log import Log


async def recover_promises(follower: Follower, promises: PromiseStore, log: Log) -> None:
    """Asks the other distributors, once a heartbeat, until this one may answer all claims."""
    while not promises.is_recovered():
        try:
            await try_to_recover(follower, promises, log)
        except DistributorError as error:
            log("promises not recovered", why=str(error))
        except StoreError as error:
            log("promise not kept on disk", why=str(error))
        if not promises.is_recovered():
            await asyncio.sleep(follower.heartbeat)


async def try_to_recover(follower: Follower, promises: PromiseStore, log: Log) -> None:
    """Asks the other distributors once. Recovers if enough of them reply and the newest content among them is
    held and stored here; otherwise copies that content. Raises `DistributorError` or `StoreError`."""
    index, replica = follower.index, follower.catalog.replica
    recovery = PromiseRecovery(index, len(follower.distributors))
    answers = await call_others(follower, HIGHEST_PATH, codec.HighestRequest(index))
    for other, answer in answers.items():
        recovery.record(other, answer.held, answer.highest)
    if promises.is_recovered() or not recovery.has_quorum():
        return
    source = recovery.content_source(replica.version)
    if source is not None:
        follower.handle_reply(await follower.poll_once(source))
    is_copied = recovery.content_source(replica.version) is None
    if is_copied and promises.is_content_stored():
        await promises.recover(recovery.floor())
        log("promises recovered", floor=str(recovery.floor()), version=str(replica.version))
