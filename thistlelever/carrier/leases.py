"""Where takeover is on: hands words, turns and facts to its judge and carries out what it says. A batch's
task asks here whether the batch is its front's to dispatch, to answer and to call off."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from thistlelever.admission.decide import NEVER_RAN
from thistlelever.carrier.dispatch import End, Ended, Sending, Speech
from thistlelever.carrier.peers import Peers
from thistlelever.carrier.recollection import goes_on_from
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.log import Log
from thistlelever.ground.orders import TakenOver
from thistlelever.ground.papers import Entry
from thistlelever.ground.tally import Tally
from thistlelever.store.batches import Batch, Name
from thistlelever.store.roll import Roll
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

# A batch that another front has is looked at again after this, and half as long by chance.
RECHECK_DELAY_S = 0.06
# A question's answer is waited for no longer than this past the time limit: the answer still counts.
LIMIT_GRACE_S = 0.02
# The last word of a batch waits so long for others that go to the same place.
FINAL_MESSAGE_DELAY_S = 0.02
# How a dispatch is numbered that reads what another front's brings, and is none of this one's.
READ_DISPATCH_NUMBER = -1


class LeaseGuard:
    """One batch's hold on itself, asked before anything of it goes out."""

    def __init__(self, service: LeaseService, batch: Batch, lease: Lease) -> None:
        self.service, self.batch, self.lease = service, batch, lease
        self.policy = service.manager.query_classes[lease.class_index]

    def is_held(self) -> bool:
        """Without waiting, right before a first byte. What may run twice needs no more than that nobody is
        known to have it."""
        return (
            self.lease.is_held(clock.now()) or self.policy.idempotent and not self.service.is_lost(self.lease)
        )

    async def begin_dispatch(self, number: int, engine: it.EngineId) -> bool:
        """A dispatch is about to go there; whether it may. Risk: its front dies between its first byte and
        the word of it, and whoever comes after takes it for one that never ran."""
        name, service, lease = self.batch.name(number), self.service, self.lease
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
            # It can't be known, and what then is done is what a lone front does.
            service.tally.add("takeover: dispatched unprotected")
            lease.unprotected_reason = "no majority for its dispatch"
            return True
        return result.outcome is QuorumOutcome.SURE

    async def check_held(self) -> QuorumOutcome:
        """Whether it still is this front's; asked where that is not sure by itself."""
        service, lease = self.service, self.lease
        if service.is_lost(lease):
            return QuorumOutcome.LOST
        if lease.is_held(clock.now()):
            return QuorumOutcome.SURE
        service.manager.confirm(clock.now(), lease)
        result = await service.wait_for_result(lease, lease.limit_at)
        service.tally.add(f"takeover: asked whether still its own: {result.outcome.value}")
        return result.outcome

    async def confirm_answer(self, result):
        """The final answer as it may be given. Risk: one that was told harmless runs at another front."""
        outcome = await self.check_held()
        if (
            outcome is QuorumOutcome.SURE
            or outcome is QuorumOutcome.ALONE
            and (type(result) is not it.PushBack or self.policy.idempotent)
        ):
            return result
        self.service.tally.add("takeover: answers left to another")
        return it.Error(self.batch.number)

    async def may_cancel(self) -> bool:
        """Whether what is out may be given up. Where it can't be known it is left to end by itself."""
        return self.lease.phase is Phase.CLOSED or await self.check_held() is QuorumOutcome.SURE

    def end_dispatch(self, end: End) -> None:
        """That dispatch has ended."""
        run = (
            RunEnd.NEVER_RAN
            if end.outcome in NEVER_RAN
            else (RunEnd.RETURNED if end.outcome is it.DispatchOutcome.RETURNED else RunEnd.UNKNOWN)
        )
        self.service.manager.end_dispatch(clock.now(), self.lease, run)

    def close(self) -> None:
        self.service.manager.close(clock.now(), self.lease)
        self.service.guards.pop(self.lease.owner.txn, None)
        # Risk: a batch and its guard that hold each other are left to the collector, hundreds a second.
        self.batch = None
        if self.service.manager.sends:
            self.service.schedule_processing()


class LeaseService:
    """One judge on the loop's clock."""

    def __init__(
        self,
        manager: LeaseManager,
        peers: Peers,
        manifest: it.Settings,
        roll: Roll,
        speech: Callable[[Entry], Speech],
        tally: Tally,
        log: Log,
    ) -> None:
        self.manager, self.peers, self.roll, self.speech = manager, peers, roll, speech
        self.tally, self.log = tally, log
        self.query_classes = {t.name: (g, t) for g, t in enumerate(manifest.tariffs)}
        self.waiters: dict[bytes, asyncio.Future] = {}
        self.guards: dict[bytes, LeaseGuard] = {}
        self.keep_alive_tasks: dict[bytes, asyncio.Task] = {}
        self.cancel_tasks: set[asyncio.Task] = set()
        # Words that have not left yet, and when they do at the latest.
        self.queued: dict[Address, list[Message]] = {}
        self.flush_at: dict[Address, float] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.processing_scheduled = False
        # How long batches' paths waited for their places, of the last ones.
        self.wait_times: deque[float] = deque(maxlen=1_000)
        peers.matters[wire.WORK] = self.receive

    # A batch's path.

    def is_lost(self, lease: Lease) -> bool:
        return lease.phase in (Phase.LOST, Phase.CLOSED)

    def register_lazy(self, batch: Batch) -> None:
        """One that no client can come back for; nothing is waited for."""
        class_index, _ = self.query_classes[batch.lane]
        lease = self.manager.register_lazy(
            clock.now(), bytes.fromhex(batch.asked.txn), class_index, batch.limit_at
        )
        batch.lease_guard = LeaseGuard(self, batch, lease)

    async def acquire(self, batch: Batch) -> End | it.PushBack | it.Error | None:
        """Find out whose a batch is that its client can come back for: the answer where it is not this
        front's to go on with, None where it is. It waits for another's run for as long as its client
        waits."""
        class_index, query_class = self.query_classes[batch.lane]
        key, txn = bytes.fromhex(batch.asked.reference), bytes.fromhex(batch.asked.txn)
        prior_value = None
        while True:
            lease = self.manager.acquire(clock.now(), key, txn, class_index, batch.limit_at, prior_value)
            try:
                result = await self.wait_for_result(lease)
            except asyncio.CancelledError:
                # Its client has left, or its time is up.
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
            self.tally.add("takeover: led to another front's run")
            end = await self.read_result(batch, result.value) if may_have_run(result.value) else None
            if end:
                return end
            await asyncio.sleep(RECHECK_DELAY_S * (1 + self.manager.random_fraction() / 2))

    def resolve_claim(
        self, batch: Batch, lease: Lease, result: QuorumResult, query_class: it.QueryClass
    ) -> it.PushBack | it.Error | None:
        """What a claim's answer means for the batch, where no other front has it."""
        once_only = query_class.repeat is it.Idempotency.NON_IDEMPOTENT
        requires_protection = self.manager.query_classes[lease.class_index].requires_protection
        # Where what can't be protected goes out all the same, that nothing is known says nothing.
        unknown = result.outcome in (QuorumOutcome.UNSURE, QuorumOutcome.ALONE) or (
            result.outcome is QuorumOutcome.FRESH and result.value is None and not requires_protection
        )
        self.tally.add(f"takeover: {result.outcome.value}")
        if may_have_run(result.value):
            # Without a majority too: what is known to have begun is not begun anew.
            if not self.adopt_run(batch, result.value, query_class):
                return self.unknown_outcome(batch, result, "its engine is gone")
        elif unknown and once_only and batch.asked.repeat:
            # It may have run at a front that nobody can be asked about.
            return self.unknown_outcome(batch, result, lease.unprotected_reason or "nobody would know")
        elif unknown and requires_protection:
            # Risk: a first try that lay unread while its front was stopped comes after its own retry, and
            # where a place has forgotten that one, nothing is known is no proof.
            self.tally.add("takeover: refused unprotected")
            return it.PushBack(batch.number, 0.0)
        self.tally.add("takeover: unprotected" if lease.unprotected_reason else "takeover: protected")
        batch.lease_guard = LeaseGuard(self, batch, lease)
        self.guards[lease.owner.txn] = batch.lease_guard
        return None

    def unknown_outcome(self, batch: Batch, result: QuorumResult, why: str) -> it.Error:
        self.tally.add("takeover: told that it is not known")
        self.log(
            "work not known",
            batch=batch.asked.txn,
            mark=batch.asked.reference,
            say=result.outcome.value,
            why=why,
        )
        return it.Error(batch.number)

    def adopt_run(self, batch: Batch, value: RunStatus, query_class: it.QueryClass) -> bool:
        """Another front's run becomes this one's first dispatch: whether the batch can go on from there."""
        if value.state is RunState.RETURNED and query_class.repeat is it.Idempotency.IDEMPOTENT:
            return True
        begun = Name(value.txn.hex(), value.number), value.engine.encode("latin-1"), value.ran_ms / 1e3
        can_continue = goes_on_from(batch, query_class, self.roll, *begun)
        if 0 in batch.under:
            self.tally.add("takeover: adopted")
            self.log(
                "work adopted",
                batch=batch.asked.txn,
                began_as=value.txn.hex(),
                engine=value.engine,
                state=value.state.name.lower(),
                ran_s=value.ran_ms / 1e3,
            )
        return can_continue

    async def read_result(self, batch: Batch, value: RunStatus) -> End | None:
        """The result of a run that another front has out, read at its engine; None where there is none."""
        entry = self.roll.entries.get(value.engine.encode("latin-1"))
        if entry is None:
            return None
        end, sent = End(READ_DISPATCH_NUMBER, entry.engine.id), Sending(READ_DISPATCH_NUMBER)
        batch.under[READ_DISPATCH_NUMBER] = Name(value.txn.hex(), value.number)
        self.roll.begin(end.engine)
        try:
            await self.speech(entry).resume(batch, entry, end, sent, batch.limit_at)
        except Ended:
            return None
        finally:
            self.roll.end(end.engine)
        if end.outcome is not it.DispatchOutcome.RETURNED:
            return None
        self.tally.add("takeover: read another front's run")
        return end

    async def wait_for_result(self, lease: Lease, limit_at: float = float("inf")) -> QuorumResult:
        """What the places say to the question that is out."""
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

    # The judge's clock and its words.

    def waits_ms(self) -> dict[str, float]:
        """What batches' paths waited for their places lately."""
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
        self.tick()

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        for task in (*self.keep_alive_tasks.values(), *self.cancel_tasks):
            task.cancel()

    def receive(self, source: Address, body: bytes) -> None:
        self.manager.receive(clock.now(), source, wire.decode(body))
        self.schedule_processing()

    def tick(self) -> None:
        self.timer = None
        self.manager.tick(clock.now())
        self.process_output()

    def schedule_processing(self) -> None:
        """What comes in one turn of the loop goes out together."""
        if not self.processing_scheduled:
            self.processing_scheduled = True
            asyncio.get_running_loop().call_soon(self.process_output)

    def schedule_tick(self, now: float) -> None:
        """The next turn when something is due, and none anew for what is due no sooner than the one
        planned."""
        at = max(min(self.manager.next_due(), min(self.flush_at.values(), default=now + 1.0)), now + 0.001)
        when = clock.on_loop(at)
        if self.timer is None or when < self.timer.when():
            if self.timer:
                self.timer.cancel()
            self.timer = asyncio.get_running_loop().call_at(when, self.tick)

    def process_output(self) -> None:
        """Carry out what the judge has to say."""
        self.processing_scheduled, manager = False, self.manager
        for lease, result in manager.results:
            waiter = self.waiters.get(lease.owner.txn)
            if waiter and not waiter.done():
                waiter.set_result(result)
            elif result.outcome is QuorumOutcome.LOST:
                self.notify_lost(lease)
        for event in manager.events:
            self.tally.add(f"work {event.name}")
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
        if guard := self.guards.get(lease.owner.txn):
            guard.batch.inbox.put_nowait(TakenOver(guard.batch.number))

    def hand_over(self) -> None:
        """The front ends before this work does."""
        for lease in self.manager.hand_over(clock.now()):
            self.notify_lost(lease)
        self.process_output()

    # What is done for the lost.

    def execute(self, command: KeepAlive | CancelRun | StopKeepAlive) -> None:
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
        """Until the judge says that it is enough."""
        while True:
            entry = self.roll.entries.get(command.engine.encode("latin-1"))
            name = Name(command.txn.hex(), command.number)
            status = await self.speech(entry).ask_on(entry, name) if entry else "unknown"
            self.tally.add(f"takeover: asked on: {status}")
            self.manager.successor.on_engine_status(command.key, status)
            self.schedule_processing()
            await asyncio.sleep(self.manager.config.keep_alive_interval_s)

    async def cancel_run(self, command: CancelRun) -> None:
        if entry := self.roll.entries.get(command.engine.encode("latin-1")):
            await self.speech(entry).call_off(entry, Name(command.txn.hex(), command.number))


def query_class_policies(
    manifest: it.Settings, demand: tuple[str, ...] | None
) -> tuple[QueryClassPolicy, ...]:
    """The service groups as the judgement knows them; where nothing is said once-only ones demand
    protection."""

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

    return tuple(one(query_class) for query_class in manifest.tariffs)
