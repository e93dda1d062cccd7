"""Ownership of batches: the leases of this front, and the records that it keeps for others.

    manager = LeaseManager(config, local_address, life, fronts, query_classes, seed, now)
    lease = manager.acquire(now, key, txn, class_index, limit_at)   # a batch with an idempotency key
    manager.begin_dispatch(now, lease, engine, txn)                 # before the first byte of a dispatch
    manager.receive(now, source, messages); manager.tick(now)
    manager.sends, manager.results, manager.commands, manager.events    # output, taken by the caller

Each idempotency key is a register that is replicated at three fronts. To own it a front needs the promise
of a majority; to dispatch a batch that must not run twice it needs the acknowledgement of a majority that
the dispatch is recorded. Whichever front comes next then knows of the dispatch, however many messages are
lost and whatever the fronts believe of each other. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from math import ceil
from zlib import crc32

from thistlelever.takeover.catchup import CatchUp
from thistlelever.takeover.facts import (
    Address,
    CancelRun,
    KeepAlive,
    LeaseEvent,
    QueryClassPolicy,
    QuorumOutcome,
    QuorumResult,
    Send,
    StopKeepAlive,
    TakeoverConfig,
    may_have_run,
)
from thistlelever.takeover.lease import Lease, PendingRequest, Phase, RunEnd, make_request
from thistlelever.takeover.placement import Placement
from thistlelever.takeover.replica import Replica
from thistlelever.takeover.successors import Successor
from thistlelever.wire.peers import address_bytes
from thistlelever.wire.work import Message, Owner, RunState, RunStatus, Verb

# How often a claim is repeated with a higher epoch when its epoch was too low.
MAX_CLAIM_ATTEMPTS = 4
# The longest that a batch may wait, in time limits of its query class (`carrier.validation`); its record
# lives as long.
MAX_TIME_LIMITS = 2
# How long a request that no batch waits for is sent again, in seconds.
UNAWAITED_TIMEOUT_S = 0.5
SWEEP_INTERVAL_S = 0.1
# Timers of a kind fire at multiples of this many seconds. A kind is handled by the method `due_` + its name.
TIMER_GRID_S = {"again": 0.005, "renew": 0.05, "lazy": 0.05}


class LeaseManager:
    """One front as owner, replica and successor. `life` tells the processes behind one address apart."""

    def __init__(
        self,
        config: TakeoverConfig,
        local_address: Address,
        life: int,
        fronts: tuple[Address, ...],
        query_classes: tuple[QueryClassPolicy, ...],
        seed: int,
        now: float,
    ) -> None:
        """`fronts` are the addresses of the tier; `seed` decides nonces and delays, `now` the start."""
        self.config, self.local_address, self.life = config, local_address, life
        self.query_classes, self.seed = query_classes, seed
        self.placement = Placement((*fronts, local_address), config.replicas, local_address)
        horizon = (
            MAX_TIME_LIMITS * max((g.time_limit for g in query_classes), default=0.0) + config.retention_s
        )
        self.replica = Replica(config, horizon, now)
        self.successor = Successor(config, local_address, self.replica, self.placement, query_classes)
        self.catchup = CatchUp(
            Owner(address_bytes(local_address), life, b"\0" * 8), self.replica, self.placement
        )
        self.leases: dict[bytes, Lease] = {}
        self.leases_by_nonce: dict[int, Lease] = {}
        self.timers: list[tuple[float, int, str, Lease, int]] = []
        self.timer_ids, self.nonce_count, self.draw_count, self.swept_at = count(), 0, 0, now
        self.sends: list[Send] = []
        self.results: list[tuple[Lease, QuorumResult]] = []
        self.commands: list[KeepAlive | CancelRun | StopKeepAlive] = []
        self.events: list[LeaseEvent] = []

    # A batch of this front, from its submission to its end.

    def acquire(
        self,
        now: float,
        key: bytes,
        txn: bytes,
        class_index: int,
        limit_at: float,
        prior_value: RunStatus | None = None,
    ) -> Lease:
        """Claim a batch with the idempotency key `key`; `results` receives whether this front owns it.
        `prior_value` is the status that an earlier claim of the same submission found."""
        lease = self.create_lease(key, txn, class_index, limit_at, self.placement.replicas_for(key), True)
        lease.prior_value = prior_value
        if len(lease.replicas) < 2:
            lease.unprotected_reason = "no other front"
            self.report_result(lease, QuorumResult(QuorumOutcome.ALONE))
        else:
            lease.epoch = 1
            self.send_request(now, lease, Verb.CLAIM, True)
        return lease

    def register_lazy(self, now: float, txn: bytes, class_index: int, limit_at: float) -> Lease:
        """Register a batch without an idempotency key; one replica learns of it if a dispatch runs long."""
        # Most end before they are reported, so the replica is looked up only then.
        return self.create_lease(txn, txn, class_index, limit_at, (), False)

    def create_lease(
        self,
        key: bytes,
        txn: bytes,
        class_index: int,
        limit_at: float,
        replicas: tuple[Address, ...],
        recoverable: bool,
    ) -> Lease:
        """A new lease of this front, under the id of its submission."""
        owner = Owner(address_bytes(self.local_address), self.life, txn)
        lease = self.leases[txn] = Lease(key, owner, class_index, limit_at, replicas, recoverable)
        return lease

    def begin_dispatch(self, now: float, lease: Lease, engine: str, txn: bytes, number: int = 0) -> bool:
        """Record that a dispatch is about to be sent; whether its first byte must wait for a result. A
        dispatch of an idempotent query class need not wait."""
        lease.begin_dispatch(now, engine, txn, number)
        if not lease.recoverable:
            if not lease.reported:
                self.schedule(now + self.config.lazy_report_delay_s, "lazy", lease)
            return False
        if lease.unprotected_reason:
            return False
        must_wait = not self.query_classes[lease.class_index].idempotent
        self.send_request(now, lease, Verb.PUT, must_wait)
        return must_wait

    def end_dispatch(self, now: float, lease: Lease, run: RunEnd) -> None:
        """Record the end of a dispatch. The replicas learn of it with the next dispatch, the end of the
        batch or the renewal of the lease; until then they hold it for running, which is the safe error."""
        lease.end_dispatch(run)

    def confirm(self, now: float, lease: Lease) -> None:
        """Ask the replicas whether this front still owns the batch; `results` receives the answer."""
        self.send_request(now, lease, Verb.PUT, True)

    def close(self, now: float, lease: Lease) -> None:
        """End a lease: the batch has its final answer and no dispatch runs. The replicas keep its status,
        and any front may claim it."""
        self.leases.pop(lease.owner.txn, None)
        owned, lease.phase = lease.phase is Phase.OWNED, Phase.CLOSED
        if not lease.recoverable:
            if lease.reported:
                for replica in lease.replicas:
                    self.sends.append(Send(replica, make_request(lease, Verb.DROP, 0, None, self.config)))
            self.discard(lease)
        elif owned and not lease.unprotected_reason:
            # Nobody waits for this put. If it is lost, the record still says OUT, and the front that
            # continues from there reports the outcome again.
            self.clear_request(lease)
            message = make_request(lease, Verb.PUT, 0, lease.next_value(now), self.config, False)
            for replica in lease.replicas:
                self.send_to(now, replica, message)
        else:
            if lease.request and lease.request.verb is Verb.CLAIM:
                # The claim of an abandoned batch would keep other fronts out for the length of a lease.
                self.release(lease, lease.replicas)
            self.discard(lease)

    def hand_over(self, now: float) -> list[Lease]:
        """Give up the running batches with an idempotency key because this front stops: the front that
        their client asks next may claim them at once. The leases that were given up; nothing more may be
        done for them here."""
        given = [
            w
            for w in self.leases.values()
            if w.recoverable
            and not w.unprotected_reason
            and w.phase is Phase.OWNED
            and w.state is RunState.OUT
        ]
        for lease in given:
            self.send_request(now, lease, Verb.PUT, False, extend=False)
            lease.phase = Phase.LOST
            self.record_event("handed over", lease.key, txn=lease.owner.txn.hex(), engine=lease.engine)
        return given

    # Requests to the replicas.

    def send_request(
        self, now: float, lease: Lease, verb: Verb, awaited: bool, extend: bool = True, reclaims: bool = False
    ) -> None:
        """Send a request, in place of the pending one: a later status includes what an earlier one said."""
        previous = lease.request
        if previous:
            self.leases_by_nonce.pop(previous.nonce, None)
            awaited = awaited or previous.awaited
        self.nonce_count += 1
        nonce = crc32(b"%d work %d" % (self.seed, self.nonce_count)) or 1
        message = make_request(
            lease, verb, nonce, lease.next_value(now) if verb is Verb.PUT else None, self.config, extend
        )
        deadline = now + (self.config.quorum_timeout_s if awaited else UNAWAITED_TIMEOUT_S)
        request = lease.request = PendingRequest(
            message, now, deadline, self.config.resend_interval_s, awaited, reclaims
        )
        self.leases_by_nonce[nonce] = lease
        self.schedule(now + request.resend_interval, "again", lease, nonce)
        for replica in lease.replicas:
            self.send_to(now, replica, message)

    def send_to(self, now: float, replica: Address, message: Message) -> None:
        """Send a request to one replica; the replica of this front answers at once."""
        if replica != self.local_address:
            self.sends.append(Send(replica, message))
        elif reply := self.replica.handle(now, message):
            self.on_reply(now, self.local_address, reply)

    def receive(self, now: float, source: Address, messages: tuple[Message, ...]) -> None:
        """Take the messages of one datagram."""
        for message in messages:
            if message.verb in (Verb.YES, Verb.NO):
                self.on_reply(now, source, message)
            elif message.verb is Verb.CATCH:
                self.sends += [
                    Send(source, reply) for reply in self.catchup.answer_request(now, source, message)
                ]
            elif message.verb in (Verb.KEPT, Verb.END):
                self.catchup.receive(now, source, message)
            elif reply := self.replica.handle(now, message):
                self.sends.append(Send(source, reply))

    def on_reply(self, now: float, source: Address, message: Message) -> None:
        """Count a reply to a pending request; ends the request once its result is certain."""
        lease = self.leases_by_nonce.get(message.nonce)
        request = lease.request if lease else None
        if request is None or request.nonce != message.nonce:
            late = message.verb is Verb.YES and message.lease_ms and message.owner.txn not in self.leases
            if late and source != self.local_address:
                # A claim that was given up and is accepted late would keep other fronts out for a lease.
                self.sends.append(
                    Send(source, Message(Verb.RELEASE, 0, message.key, message.epoch, message.owner))
                )
            return
        if source not in lease.replicas or source in request.accepted or source in request.refused:
            return
        (request.accepted if message.verb is Verb.YES else request.refused)[source] = message
        if request.verb is Verb.CLAIM and message.verb is Verb.NO and held_by_other(lease, message):
            # Also behind a majority that accepted and knows of no run: some of it may have forgotten one.
            self.on_refused(now, lease, request)
        elif len(request.accepted) >= lease.quorum and not (
            request.verb is Verb.CLAIM and self.needs_more_replies(lease, request)
        ):
            self.on_granted(now, lease, request)
        elif (
            len(lease.replicas) - len(request.refused) < lease.quorum
            or request.verb is Verb.CLAIM
            and self.is_decisive(lease, message)
        ):
            self.on_refused(now, lease, request)

    def is_decisive(self, lease: Lease, message: Message) -> bool:
        """Whether a single reply ends a claim: another front owns the batch, or the epoch is too low. With
        one replica away, one that accepts and one that has promised a later epoch form no majority either
        way, so without this rule the claim could be repeated for ever."""
        behind = (
            message.verb is Verb.NO
            and message.epoch >= lease.epoch
            and lease.claim_attempts < MAX_CLAIM_ATTEMPTS
        )
        return held_by_other(lease, message) or behind

    def needs_more_replies(self, lease: Lease, request: PendingRequest) -> bool:
        """Whether a majority accepted, but knows of no run because some of it restarted, and another
        replica may still know of one."""
        value = latest_value(request.accepted.values())
        return (
            not may_have_run(value)
            and count_informed(request) < lease.quorum
            and (len(request.accepted) + len(request.refused) < len(lease.replicas))
        )

    def on_granted(self, now: float, lease: Lease, request: PendingRequest) -> None:
        """End a request that a majority accepted."""
        self.clear_request(lease)
        lease.phase = Phase.OWNED if lease.phase is Phase.ASKING else lease.phase
        lease.expires_at = request.sent_at + self.config.lease_s
        lease.confirmed_at, lease.reported = now, True
        if lease.phase is Phase.CLOSED:
            return
        self.schedule(now + self.config.renew_interval_s, "renew", lease)
        if request.verb is Verb.PUT:
            self.report_result(lease, QuorumResult(QuorumOutcome.SURE), request)
            return
        value = latest_value(request.accepted.values())
        if value is None and not request.reclaims:
            # The replicas have forgotten a run that this submission found earlier and waited for.
            value = lease.prior_value
        if request.reclaims:
            # A successor never dispatches: the status is as this front left it, or a third front owned the
            # batch.
            still_own = value is None or value.state is RunState.HELD or value.txn == lease.txn
            lease.phase = Phase.OWNED if still_own else Phase.LOST
            self.record_event("handed back" if still_own else "lost", lease.key, txn=lease.owner.txn.hex())
            self.report_result(
                lease,
                QuorumResult(QuorumOutcome.SURE, regained=True)
                if still_own
                else QuorumResult(QuorumOutcome.LOST, value),
                request,
            )
            return
        if value is not None and may_have_run(value):
            lease.adopt(now, value)
            self.report_result(lease, QuorumResult(QuorumOutcome.FOUND, value), request)
            return
        self.report_result(
            lease,
            QuorumResult(
                QuorumOutcome.FRESH if count_informed(request) >= lease.quorum else QuorumOutcome.UNSURE,
                value,
            ),
            request,
        )

    def on_refused(self, now: float, lease: Lease, request: PendingRequest) -> None:
        """End a request that can find no majority: claim again, give up, or note the loss of the batch."""
        self.clear_request(lease)
        replies = [*request.accepted.values(), *request.refused.values()]
        others = [w for w in request.refused.values() if w.owner != lease.owner]
        value, epoch = latest_value(replies), max(w.epoch for w in replies)
        if request.verb is Verb.CLAIM:
            holders = [w for w in others if held_by_other(lease, w)]
            if not holders and epoch >= lease.epoch and lease.claim_attempts < MAX_CLAIM_ATTEMPTS:
                # The lease of the other owner is over: only the epoch was too low.
                lease.claim_attempts, lease.epoch = lease.claim_attempts + 1, epoch + 1
                self.send_request(now, lease, Verb.CLAIM, request.awaited, reclaims=request.reclaims)
                return
            self.release(lease, tuple(request.accepted))
            owner = max(holders, key=lambda w: (w.epoch, w.lease_ms)).owner if holders else None
            if request.reclaims:
                self.mark_lost(lease, value, owner, request)
            elif owner:
                self.report_result(lease, QuorumResult(QuorumOutcome.TAKEN, value, owner), request)
            else:
                lease.unprotected_reason = "the places refuse"
                self.report_result(lease, QuorumResult(QuorumOutcome.ALONE, value), request)
        elif not others:
            # Replicas that can store nothing count as unreachable.
            self.report_result(lease, QuorumResult(QuorumOutcome.ALONE), request)
        elif lease.phase is Phase.CLOSED or lease.as_successor:
            self.discard(lease)
        elif lease.phase is Phase.OWNED and all(w.heir or not w.lease_ms for w in others):
            lease.epoch, lease.claim_attempts = epoch + 1, 0
            self.send_request(now, lease, Verb.CLAIM, request.awaited, reclaims=True)
        else:
            self.mark_lost(lease, value, max(others, key=lambda w: w.epoch).owner, request)

    def mark_lost(
        self, lease: Lease, value: RunStatus | None, owner: Owner | None, request: PendingRequest
    ) -> None:
        """Note that another front owns the batch now."""
        if lease.phase is not Phase.LOST:
            self.record_event("lost", lease.key, txn=lease.owner.txn.hex())
        lease.phase = Phase.LOST
        self.report_result(lease, QuorumResult(QuorumOutcome.LOST, value, owner), request)

    def release(self, lease: Lease, replicas: tuple[Address, ...]) -> None:
        """End the leases of replicas that accepted a failed claim: they would keep other fronts out."""
        message = Message(Verb.RELEASE, 0, lease.key, lease.epoch, lease.owner)
        for replica in replicas:
            if replica == self.local_address:
                self.replica.release(message)
            else:
                self.sends.append(Send(replica, message))

    def clear_request(self, lease: Lease) -> None:
        """Forget the pending request of a lease."""
        if lease.request:
            self.leases_by_nonce.pop(lease.request.nonce, None)
            lease.request = None

    def report_result(
        self, lease: Lease, result: QuorumResult, request: PendingRequest | None = None
    ) -> None:
        """Pass a result on: a successor's claim to `successor`, any other to `results` if it is awaited."""
        if lease.as_successor:
            self.successor.on_claim_result(lease, result)
        elif request is None or request.awaited or result.outcome is QuorumOutcome.LOST:
            self.results.append((lease, result))

    def discard(self, lease: Lease) -> None:
        """Forget a lease."""
        self.clear_request(lease)
        self.leases.pop(lease.owner.txn, None)

    # Timers.

    def schedule(self, when: float, what: str, lease: Lease, nonce: int = 0) -> None:
        """Set a timer of the kind `what`, rounded up to its grid: with hundreds of batches a second a
        wake-up for each would cost more than the work that it does."""
        grid = TIMER_GRID_S[what]
        heappush(self.timers, (ceil(when / grid) * grid, next(self.timer_ids), what, lease, nonce))

    def next_due(self) -> float:
        """The time of the next tick."""
        first = self.timers[0][0] if self.timers else self.swept_at + SWEEP_INTERVAL_S
        return min(first, self.swept_at + SWEEP_INTERVAL_S, self.catchup.next_due())

    def tick(self, now: float) -> None:
        """Carry out all that is due: timers, catch-up, expiry of records, takeover from lost fronts."""
        while self.timers and self.timers[0][0] <= now:
            _, _, what, lease, nonce = heappop(self.timers)
            getattr(self, "due_" + what)(now, lease, nonce)
        self.sends += self.catchup.tick(now)
        if now - self.swept_at >= SWEEP_INTERVAL_S:
            self.swept_at = now
            self.replica.sweep(now)
            for claim in self.successor.review(now):
                # Exactly one survivor takes the batch over: the one that a majority promises it to.
                replicas = self.placement.replicas_for(claim.key)
                lease = self.create_lease(
                    claim.key, claim.txn, claim.class_index, now + claim.remaining_s, replicas, True
                )
                lease.as_successor, lease.epoch = True, claim.epoch + 1
                self.send_request(now, lease, Verb.CLAIM, False)
        self.commands += self.successor.commands
        self.events += self.successor.events
        self.successor.commands, self.successor.events = [], []

    def due_again(self, now: float, lease: Lease, nonce: int) -> None:
        """Send a pending request again to the replicas that have not replied, or end it at its deadline."""
        request = lease.request
        if request is None or request.nonce != nonce:
            return
        if now < request.deadline:
            for replica in lease.replicas:
                if (
                    replica not in request.accepted
                    and replica not in request.refused
                    and replica != self.local_address
                ):
                    self.sends.append(Send(replica, request.message))
            request.resend_interval *= 1 if request.awaited else 2
            self.schedule(min(now + request.resend_interval, request.deadline), "again", lease, nonce)
            return
        if request.verb is Verb.CLAIM and len(request.accepted) >= lease.quorum:
            self.on_granted(now, lease, request)
            return
        self.clear_request(lease)
        if request.verb is Verb.CLAIM and not request.reclaims:
            self.release(lease, lease.replicas)
            if not lease.as_successor:
                lease.unprotected_reason = "no majority in time"
        if lease.phase is Phase.CLOSED:
            self.discard(lease)
        else:
            value = latest_value((*request.accepted.values(), *request.refused.values())) or lease.prior_value
            self.report_result(lease, QuorumResult(QuorumOutcome.ALONE, value), request)
            if lease.as_successor and lease.phase is Phase.ASKING:
                self.discard(lease)

    def due_renew(self, now: float, lease: Lease, nonce: int) -> None:
        """Renew the lease of a batch that is still open."""
        if lease.phase is not Phase.OWNED or lease.owner.txn not in self.leases or lease.unprotected_reason:
            return
        if now - lease.confirmed_at < self.config.renew_interval_s - 0.01:
            return
        if lease.as_successor and not self.successor.has(lease.key):
            self.discard(lease)
            return
        if not lease.request:
            self.send_request(now, lease, Verb.PUT if not lease.as_successor else Verb.CLAIM, False)
        # A renewal that fails is tried again until the batch ends.
        self.schedule(now + self.config.renew_interval_s, "renew", lease)

    def due_lazy(self, now: float, lease: Lease, nonce: int) -> None:
        """Report a batch without an idempotency key to one replica if its dispatch still runs."""
        if lease.state is RunState.OUT and lease.phase is not Phase.CLOSED and not lease.reported:
            others = [
                replica for replica in self.placement.replicas_for(lease.key) if replica != self.local_address
            ]
            lease.replicas, lease.reported, lease.epoch = tuple(others[:1]), True, 1
            if others:
                self.send_request(now, lease, Verb.PUT, False)

    def random_fraction(self) -> float:
        """A pseudo-random number from 0 to 1, exclusive, from the seed and a counter."""
        self.draw_count += 1
        return crc32(b"%d %d" % (self.seed, self.draw_count)) / 2**32

    def record_event(self, name: str, key: bytes, **fields) -> None:
        """Add an event for the log and the counters."""
        self.events.append(LeaseEvent(name, key, fields))


def held_by_other(lease: Lease, message: Message) -> bool:
    """Whether a replica refuses because another front owns the batch and does not yield."""
    stays = message.verb is Verb.NO and message.owner != lease.owner and message.lease_ms > 0
    return stays and (lease.as_successor or not message.heir)


def count_informed(request: PendingRequest) -> int:
    """How many of the accepting replicas would know of a run. One that restarted may have forgotten it."""
    return sum(not (message.young and message.value is None) for message in request.accepted.values())


def latest_value(messages) -> RunStatus | None:
    """The latest status among those that replicas returned."""
    return max((w.value for w in messages if w.value is not None), key=lambda v: v.order, default=None)
