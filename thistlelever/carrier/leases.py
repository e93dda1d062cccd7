"""Runs the lease manager on the event loop when takeover is on: passes messages and time to it and carries
out its output. The task of a batch asks here whether this front may dispatch, answer or cancel the
batch."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from thistlelever.admission.outcomes import NEVER_RAN
from thistlelever.carrier.dispatch import End, NoResultError, DispatchProgress, EngineProtocol
from thistlelever.carrier.peers import PeerSocket
from thistlelever.carrier.remembered_outcomes import resume_from
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.commands import TakenOver
from thistlelever.ground.config import Entry
from thistlelever.ground.log import Log
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, DispatchName
from thistlelever.store.engine_registry import EngineRegistry
from thistlelever.takeover.facts import (
    Address,
    CancelRun,
    KeepAlive,
    QueryClassPolicy,
    QuorumOutcome,
    QuorumResult,
    StopKeepAlive,
    may_have_run,
)
from thistlelever.takeover.lease import Lease, Phase, RunEnd
from thistlelever.takeover.lease_manager import LeaseManager
from thistlelever.wire import work as wire
from thistlelever.wire.work import Message, RunState, RunStatus

# Delay before a batch that another front owns is claimed again, in seconds; up to half of it is added at
# random.
RECHECK_DELAY_S = 0.06
# How long past its time limit a batch waits for the result of a request, in seconds: its answer still
# counts then.
LIMIT_GRACE_S = 0.02
# How long the last message of a batch is held back, in seconds, to share a datagram with others to the same
# front.
FINAL_MESSAGE_DELAY_S = 0.02
# The number under which the result of another front's dispatch is read; no dispatch of this front has it.
READ_DISPATCH_NUMBER = -1


class LeaseGuard:
    """The lease of one batch, checked before the batch is dispatched, answered or cancelled."""

    def __init__(self, service: LeaseService, batch: Batch, lease: Lease) -> None:
        """`lease` is that of `batch` at the lease manager of `service`."""
        self.service, self.batch, self.lease = service, batch, lease
        self.policy = service.manager.query_classes[lease.class_index]

    def is_held(self) -> bool:
        """Whether a dispatch may send its first byte now, without waiting. An idempotent query class needs
        only that no other front is known to own the batch."""
        return (
            self.lease.is_held(clock.now()) or self.policy.idempotent and not self.service.is_lost(self.lease)
        )

    async def begin_dispatch(self, number: int, engine: it.EngineId) -> bool:
        """Record a dispatch to an engine before it is sent; whether it may be sent. If a front died between
        the first byte and the record of it, the next owner would take the batch for one that never ran."""
        name, service, lease = self.batch.dispatch_name(number), self.service, self.lease
        if service.is_lost(lease):
            return False
        if not service.manager.begin_dispatch(
            clock.now(), lease, engine.decode("latin-1"), bytes.fromhex(name.txn), name.number
        ):
            if service.manager.sends:
                service.schedule_processing()
            return True
        result = await service.wait_for_result(lease)
        if result.outcome is QuorumOutcome.ALONE and not self.policy.requires_protection:
            # No majority answers: do as a front without peers does.
            service.metrics.add("takeover: dispatched unprotected")
            lease.unprotected_reason = "no majority for its dispatch"
            return True
        return result.outcome is QuorumOutcome.SURE

    async def check_held(self) -> QuorumOutcome:
        """Whether this front still owns the batch; asks the replicas when the lease has expired."""
        service, lease = self.service, self.lease
        if service.is_lost(lease):
            return QuorumOutcome.LOST
        if lease.is_held(clock.now()):
            return QuorumOutcome.SURE
        service.manager.confirm(clock.now(), lease)
        result = await service.wait_for_result(lease, lease.limit_at)
        service.metrics.add(f"takeover: asked whether still its own: {result.outcome.value}")
        return result.outcome

    async def confirm_answer(self, result):
        """The final answer of the batch, or an error if this front may not give it: a batch must not be
        reported as not run while it runs at another front."""
        outcome = await self.check_held()
        if (
            outcome is QuorumOutcome.SURE
            or outcome is QuorumOutcome.ALONE
            and (type(result) is not it.PushBack or self.policy.idempotent)
        ):
            return result
        self.service.metrics.add("takeover: answers left to another")
        return it.Error(self.batch.number)

    async def may_cancel(self) -> bool:
        """Whether a running dispatch may be cancelled. Without certainty it is left to end by itself."""
        return self.lease.phase is Phase.CLOSED or await self.check_held() is QuorumOutcome.SURE

    def end_dispatch(self, end: End) -> None:
        """Record how a dispatch ended."""
        run = (
            RunEnd.NEVER_RAN
            if end.outcome in NEVER_RAN
            else (RunEnd.RETURNED if end.outcome is it.DispatchOutcome.RETURNED else RunEnd.UNKNOWN)
        )
        self.service.manager.end_dispatch(clock.now(), self.lease, run)

    def close(self) -> None:
        """End the lease of the batch."""
        self.service.manager.close(clock.now(), self.lease)
        self.service.guards.pop(self.lease.owner.txn, None)
        # Breaks the reference cycle of batch and guard: hundreds of them a second would be left to the
        # garbage collector.
        self.batch = None
        if self.service.manager.sends:
            self.service.schedule_processing()


class LeaseService:
    """The lease manager on the event loop's clock, with the tasks that keep runs of lost fronts alive."""

    def __init__(
        self,
        manager: LeaseManager,
        peers: PeerSocket,
        settings: it.Settings,
        registry: EngineRegistry,
        protocol: Callable[[Entry], EngineProtocol],
        metrics: Metrics,
        log: Log,
    ) -> None:
        """Receives datagrams through `peers`; `protocol` gives the protocol of an engine."""
        self.manager, self.peers, self.registry, self.protocol = manager, peers, registry, protocol
        self.metrics, self.log = metrics, log
        self.query_classes = {t.name: (g, t) for g, t in enumerate(settings.tariffs)}
        self.waiters: dict[bytes, asyncio.Future] = {}
        self.guards: dict[bytes, LeaseGuard] = {}
        self.keep_alive_tasks: dict[bytes, asyncio.Task] = {}
        self.cancel_tasks: set[asyncio.Task] = set()
        # Messages that are not sent yet, and when they are sent at the latest, by the address of the front.
        self.queued: dict[Address, list[Message]] = {}
        self.flush_at: dict[Address, float] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.processing_scheduled = False
        # How long the last batches waited for their replicas, in seconds.
        self.wait_times: deque[float] = deque(maxlen=1_000)
        peers.handlers[wire.WORK] = self.receive

    # The course of a batch.

    def is_lost(self, lease: Lease) -> bool:
        """Whether this front may do nothing more for the batch."""
        return lease.phase in (Phase.LOST, Phase.CLOSED)

    def register_lazy(self, batch: Batch) -> None:
        """Register a batch without an idempotency key; nothing is waited for."""
        class_index, _ = self.query_classes[batch.class_name]
        lease = self.manager.register_lazy(
            clock.now(), bytes.fromhex(batch.submission.txn), class_index, batch.deadline
        )
        batch.lease_guard = LeaseGuard(self, batch, lease)

    async def acquire(self, batch: Batch) -> End | it.PushBack | it.Error | None:
        """Claim a batch with an idempotency key. None when this front owns it and continues with it, else
        the answer to its client. While another front runs it, waits for that run until the time limit of
        the batch."""
        class_index, query_class = self.query_classes[batch.class_name]
        key, txn = bytes.fromhex(batch.submission.reference), bytes.fromhex(batch.submission.txn)
        prior_value = None
        while True:
            lease = self.manager.acquire(clock.now(), key, txn, class_index, batch.deadline, prior_value)
            try:
                result = await self.wait_for_result(lease)
            except asyncio.CancelledError:
                # The client has disconnected, or the time limit has passed.
                self.manager.close(clock.now(), lease)
                self.schedule_processing()
                raise
            if result.outcome is not QuorumOutcome.TAKEN:
                answer = self.resolve_claim(batch, lease, result, query_class)
                if answer:
                    self.manager.close(clock.now(), lease)
                return answer
            self.manager.close(clock.now(), lease)
            prior_value = result.value or prior_value
            self.metrics.add("takeover: led to another front's run")
            end = await self.read_result(batch, result.value) if may_have_run(result.value) else None
            if end:
                return end
            await asyncio.sleep(RECHECK_DELAY_S * (1 + self.manager.random_fraction() / 2))

    def resolve_claim(
        self, batch: Batch, lease: Lease, result: QuorumResult, query_class: it.QueryClass
    ) -> it.PushBack | it.Error | None:
        """Decide what the result of a claim means for the batch when no other front owns it: an answer, or
        None when it continues here."""
        non_idempotent = query_class.repeat is it.Idempotency.NON_IDEMPOTENT
        requires_protection = self.manager.query_classes[lease.class_index].requires_protection
        # Where unprotected batches are dispatched all the same, the absence of a record proves nothing.
        unknown = result.outcome in (QuorumOutcome.UNSURE, QuorumOutcome.ALONE) or (
            result.outcome is QuorumOutcome.FRESH and result.value is None and not requires_protection
        )
        self.metrics.add(f"takeover: {result.outcome.value}")
        if may_have_run(result.value):
            # Also without a majority: a batch that is known to have started is not started again.
            if not self.adopt_run(batch, result.value, query_class):
                return self.unknown_outcome(batch, result, "its engine is gone")
        elif unknown and non_idempotent and batch.submission.is_retry:
            # It may have run at a front whose records cannot be reached.
            return self.unknown_outcome(batch, result, lease.unprotected_reason or "nobody would know")
        elif unknown and requires_protection:
            # A first submission that lay unread while its front was stopped can be read after its own
            # retry. If a replica has forgotten that retry, the absence of a record does not prove that the
            # batch never ran.
            self.metrics.add("takeover: refused unprotected")
            return it.PushBack(batch.number, 0.0)
        self.metrics.add("takeover: unprotected" if lease.unprotected_reason else "takeover: protected")
        batch.lease_guard = LeaseGuard(self, batch, lease)
        self.guards[lease.owner.txn] = batch.lease_guard
        return None

    def unknown_outcome(self, batch: Batch, result: QuorumResult, why: str) -> it.Error:
        """The answer that it is not known whether the batch ran."""
        self.metrics.add("takeover: told that it is not known")
        self.log(
            "work not known",
            batch=batch.submission.txn,
            mark=batch.submission.reference,
            say=result.outcome.value,
            why=why,
        )
        return it.Error(batch.number)

    def adopt_run(self, batch: Batch, value: RunStatus, query_class: it.QueryClass) -> bool:
        """Take over another front's run as the first dispatch; whether the batch can continue from there."""
        if value.state is RunState.RETURNED and query_class.repeat is it.Idempotency.IDEMPOTENT:
            return True
        begun = (
            DispatchName(value.txn.hex(), value.number),
            value.engine.encode("latin-1"),
            value.ran_ms / 1e3,
        )
        can_continue = resume_from(batch, query_class, self.registry, *begun)
        if 0 in batch.adopted_names:
            self.metrics.add("takeover: adopted")
            self.log(
                "work adopted",
                batch=batch.submission.txn,
                began_as=value.txn.hex(),
                engine=value.engine,
                state=value.state.name.lower(),
                ran_s=value.ran_ms / 1e3,
            )
        return can_continue

    async def read_result(self, batch: Batch, value: RunStatus) -> End | None:
        """Read the result of another front's run at its engine; None when there is no result."""
        entry = self.registry.entries.get(value.engine.encode("latin-1"))
        if entry is None:
            return None
        end, sent = End(READ_DISPATCH_NUMBER, entry.engine.id), DispatchProgress(READ_DISPATCH_NUMBER)
        batch.adopted_names[READ_DISPATCH_NUMBER] = DispatchName(value.txn.hex(), value.number)
        self.registry.dispatch_started(end.engine)
        try:
            await self.protocol(entry).resume(batch, entry, end, sent, batch.deadline)
        except NoResultError:
            return None
        finally:
            self.registry.dispatch_ended(end.engine)
        if end.outcome is not it.DispatchOutcome.RETURNED:
            return None
        self.metrics.add("takeover: read another front's run")
        return end

    async def wait_for_result(self, lease: Lease, limit_at: float = float("inf")) -> QuorumResult:
        """Wait for the result of the pending request; ALONE when none comes within the time limit."""
        waiter = self.waiters[lease.owner.txn] = asyncio.get_running_loop().create_future()
        began = clock.now()
        self.process_output()
        try:
            async with asyncio.timeout_at(clock.on_loop(limit_at + LIMIT_GRACE_S)):
                return await waiter
        except TimeoutError:
            return QuorumResult(QuorumOutcome.ALONE)
        finally:
            self.waiters.pop(lease.owner.txn, None)
            self.wait_times.append(clock.now() - began)

    # Time and messages of the lease manager.

    def waits_ms(self) -> dict[str, float]:
        """How long the last batches waited for their replicas: median and 99th percentile in milliseconds."""
        taken = sorted(self.wait_times)
        return (
            {
                name: round(taken[int(len(taken) * share)] * 1e3, 3)
                for name, share in (("p50", 0.5), ("p99", 0.99))
            }
            if taken
            else {}
        )

    def open(self) -> None:
        """Start the timers."""
        self.tick()

    def close(self) -> None:
        """Stop the timers and tasks."""
        if self.timer:
            self.timer.cancel()
        for task in (*self.keep_alive_tasks.values(), *self.cancel_tasks):
            task.cancel()

    def receive(self, source: Address, body: bytes) -> None:
        """Take a datagram of a peer; raises `InvalidDatagram` when it is malformed."""
        self.manager.receive(clock.now(), source, wire.decode(body))
        self.schedule_processing()

    def tick(self) -> None:
        """Carry out what is due now."""
        self.timer = None
        self.manager.tick(clock.now())
        self.process_output()

    def schedule_processing(self) -> None:
        """Process the output once in this iteration of the event loop: its messages are sent together."""
        if not self.processing_scheduled:
            self.processing_scheduled = True
            asyncio.get_running_loop().call_soon(self.process_output)

    def schedule_tick(self, now: float) -> None:
        """Set the timer for the next tick, unless one is set that fires no later."""
        at = max(min(self.manager.next_due(), min(self.flush_at.values(), default=now + 1.0)), now + 0.001)
        when = clock.on_loop(at)
        if self.timer is None or when < self.timer.when():
            if self.timer:
                self.timer.cancel()
            self.timer = asyncio.get_running_loop().call_at(when, self.tick)

    def process_output(self) -> None:
        """Carry out the output of the lease manager: results, events, commands and messages."""
        self.processing_scheduled, manager = False, self.manager
        for lease, result in manager.results:
            waiter = self.waiters.get(lease.owner.txn)
            if waiter and not waiter.done():
                waiter.set_result(result)
            elif result.outcome is QuorumOutcome.LOST:
                self.notify_lost(lease)
        for event in manager.events:
            self.metrics.add(f"work {event.name}")
            self.log(f"work {event.name}", key=event.key.hex(), **event.fields)
        for command in manager.commands:
            self.execute(command)
        now, queued = clock.now(), self.queued
        for send in manager.sends:
            urgent = send.message.nonce or send.message.verb not in (wire.Verb.PUT, wire.Verb.DROP)
            queued.setdefault(send.address, []).append(send.message)
            self.flush_at[send.address] = min(
                self.flush_at.get(send.address, now + FINAL_MESSAGE_DELAY_S),
                now if urgent else now + FINAL_MESSAGE_DELAY_S,
            )
        manager.results, manager.events, manager.commands, manager.sends = [], [], [], []
        for address in [a for a, at in self.flush_at.items() if at <= now]:
            del self.flush_at[address]
            for data in wire.encode(queued.pop(address), self.peers.tier):
                self.peers.send(address, data)
        self.schedule_tick(now)

    def notify_lost(self, lease: Lease) -> None:
        """Tell the task of a batch that another front has taken the batch over."""
        if guard := self.guards.get(lease.owner.txn):
            guard.batch.inbox.put_nowait(TakenOver(guard.batch.number))

    def hand_over(self) -> None:
        """Give up the running batches because this front stops before they end."""
        for lease in self.manager.hand_over(clock.now()):
            self.notify_lost(lease)
        self.process_output()

    # Commands for batches of lost fronts.

    def execute(self, command: KeepAlive | CancelRun | StopKeepAlive) -> None:
        """Carry out a command; it replaces the one before for the same batch."""
        task = self.keep_alive_tasks.pop(command.key, None)
        if task:
            task.cancel()
        loop = asyncio.get_running_loop()
        if type(command) is KeepAlive:
            self.keep_alive_tasks[command.key] = loop.create_task(self.run_keep_alive(command))
        elif type(command) is CancelRun:
            task = loop.create_task(self.cancel_run(command))
            self.cancel_tasks.add(task)
            task.add_done_callback(self.cancel_tasks.discard)

    async def run_keep_alive(self, command: KeepAlive) -> None:
        """Poll the engine for a run until the lease manager stops it."""
        while True:
            entry = self.registry.entries.get(command.engine.encode("latin-1"))
            name = DispatchName(command.txn.hex(), command.number)
            status = await self.protocol(entry).query_status(entry, name) if entry else "unknown"
            self.metrics.add(f"takeover: asked on: {status}")
            self.manager.successor.on_engine_status(command.key, status)
            self.schedule_processing()
            await asyncio.sleep(self.manager.config.keep_alive_interval_s)

    async def cancel_run(self, command: CancelRun) -> None:
        """Cancel a run at its engine, if the engine is still known."""
        if entry := self.registry.entries.get(command.engine.encode("latin-1")):
            await self.protocol(entry).cancel_by_name(entry, DispatchName(command.txn.hex(), command.number))


def query_class_policies(
    settings: it.Settings, demand: tuple[str, ...] | None
) -> tuple[QueryClassPolicy, ...]:
    """The query classes as the lease manager needs them. `demand` names those whose batches are refused
    when no majority can protect them; None stands for all that are `NON_IDEMPOTENT`."""

    def one(t: it.QueryClass) -> QueryClassPolicy:
        requires_protection = (
            t.repeat is it.Idempotency.NON_IDEMPOTENT if demand is None else t.name in demand
        )
        return QueryClassPolicy(
            t.name,
            t.utility,
            t.repeat is it.Idempotency.IDEMPOTENT,
            t.repeat is it.Idempotency.DEDUPLICATED,
            t.time_limit,
            requires_protection,
        )

    return tuple(one(query_class) for query_class in settings.tariffs)
