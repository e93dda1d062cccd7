"""Where takeover is on: hands words, turns and facts to its judge and carries out what it says. A batch's
task asks here whether the batch is its front's to dispatch, to answer and to call off."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from thistlelever.carrier.dispatch import End, NoResultError, DispatchProgress, EngineProtocol
from thistlelever.carrier.peers import PeerSocket
from thistlelever.admission.decide import NEVER_RAN
from thistlelever.carrier.remembered_outcomes import resume_from
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.log import Log
from thistlelever.ground.commands import TakenOver
from thistlelever.ground.config import Entry
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batch, Name
from thistlelever.store.roll import Roll
from thistlelever.takeover.facts import Address, AskOn, CallOff, Enough, Group, Say, Told, may_have_run
from thistlelever.takeover.judge import Judge
from thistlelever.takeover.ward import Phase, Run, Ward
from thistlelever.wire import work as wire
from thistlelever.wire.work import State, Value, Word

# A batch that another front has is looked at again after this, and half as long by chance.
LOOK_AGAIN = 0.06
# A question's answer is waited for no longer than this past the time limit: the answer still counts.
PAST_LIMIT = 0.02
# The last word of a batch waits so long for others that go to the same place.
LAST_WORD = 0.02
# How a dispatch is numbered that reads what another front's brings, and is none of this one's.
READING = -1


class Guard:
    """One batch's hold on itself, asked before anything of it goes out."""

    def __init__(self, wards: Wards, batch: Batch, ward: Ward) -> None:
        self.wards, self.batch, self.ward = wards, batch, ward
        self.group = wards.judge.groups[ward.group]

    def sure(self) -> bool:
        """Without waiting, right before a first byte. What may run twice needs no more than that nobody is
        known to have it."""
        return self.ward.holds(clock.now()) or self.group.repeatable and not self.wards.lost(self.ward)

    async def out(self, number: int, engine: it.EngineId) -> bool:
        """A dispatch is about to go there; whether it may. Risk: its front dies between its first byte and
        the word of it, and whoever comes after takes it for one that never ran."""
        name, wards, ward = self.batch.name(number), self.wards, self.ward
        if wards.lost(ward):
            return False
        if not wards.judge.goes_out(
            clock.now(), ward, engine.decode("latin-1"), bytes.fromhex(name.txn), name.number
        ):
            if wards.judge.sends:
                wards.soon()
            return True
        told = await wards.answer(ward)
        if told.say is Say.ALONE and not self.group.demands:
            # It can't be known, and what then is done is what a lone front does.
            wards.metrics.add("takeover: dispatched unprotected")
            ward.bare = "no majority for its dispatch"
            return True
        return told.say is Say.SURE

    async def holds(self) -> Say:
        """Whether it still is this front's; asked where that is not sure by itself."""
        wards, ward = self.wards, self.ward
        if wards.lost(ward):
            return Say.LOST
        if ward.holds(clock.now()):
            return Say.SURE
        wards.judge.confirm(clock.now(), ward)
        told = await wards.answer(ward, ward.limit_at)
        wards.metrics.add(f"takeover: asked whether still its own: {told.say.value}")
        return told.say

    async def settled(self, told):
        """The final answer as it may be given. Risk: one that was told harmless runs at another front."""
        say = await self.holds()
        if say is Say.SURE or say is Say.ALONE and (type(told) is not it.PushBack or self.group.repeatable):
            return told
        self.wards.metrics.add("takeover: answers left to another")
        return it.Error(self.batch.number)

    async def may_call_off(self) -> bool:
        """Whether what is out may be given up. Where it can't be known it is left to end by itself."""
        return self.ward.phase is Phase.CLOSED or await self.holds() is Say.SURE

    def came_back(self, end: End) -> None:
        """That dispatch has ended."""
        run = (
            Run.NEVER_RAN
            if end.outcome in NEVER_RAN
            else (Run.RETURNED if end.outcome is it.DispatchOutcome.RETURNED else Run.UNKNOWN)
        )
        self.wards.judge.came_back(clock.now(), self.ward, run)

    def close(self) -> None:
        self.wards.judge.close(clock.now(), self.ward)
        self.wards.guards.pop(self.ward.owner.txn, None)
        # Risk: a batch and its guard that hold each other are left to the collector, hundreds a second.
        self.batch = None
        if self.wards.judge.sends:
            self.wards.soon()


class Wards:
    """One judge on the loop's clock."""

    def __init__(
        self,
        judge: Judge,
        peers: PeerSocket,
        settings: it.Settings,
        roll: Roll,
        protocol: Callable[[Entry], EngineProtocol],
        metrics: Metrics,
        log: Log,
    ) -> None:
        self.judge, self.peers, self.roll, self.protocol = judge, peers, roll, protocol
        self.metrics, self.log = metrics, log
        self.query_classes = {t.name: (g, t) for g, t in enumerate(settings.tariffs)}
        self.waiters: dict[bytes, asyncio.Future] = {}
        self.guards: dict[bytes, Guard] = {}
        self.asking: dict[bytes, asyncio.Task] = {}
        self.asides: set[asyncio.Task] = set()
        # Words that have not left yet, and when they do at the latest.
        self.words: dict[Address, list[Word]] = {}
        self.leaves_at: dict[Address, float] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.pending = False
        # How long batches' paths waited for their places, of the last ones.
        self.waited: deque[float] = deque(maxlen=1_000)
        peers.handlers[wire.WORK] = self.heard

    # A batch's path.

    def lost(self, ward: Ward) -> bool:
        return ward.phase in (Phase.LOST, Phase.CLOSED)

    def enter_lazy(self, batch: Batch) -> None:
        """One that no client can come back for; nothing is waited for."""
        group, _ = self.query_classes[batch.lane]
        ward = self.judge.enter_lazy(clock.now(), bytes.fromhex(batch.asked.txn), group, batch.limit_at)
        batch.ward = Guard(self, batch, ward)

    async def enter(self, batch: Batch) -> End | it.PushBack | it.Error | None:
        """Find out whose a batch is that its client can come back for: the answer where it is not this
        front's to go on with, None where it is. It waits for another's run for as long as its client
        waits."""
        group, query_class = self.query_classes[batch.lane]
        mark, txn = bytes.fromhex(batch.asked.reference), bytes.fromhex(batch.asked.txn)
        heard = None
        while True:
            ward = self.judge.enter(clock.now(), mark, txn, group, batch.limit_at, heard)
            try:
                told = await self.answer(ward)
            except asyncio.CancelledError:
                # Its client has left, or its time is up.
                self.judge.close(clock.now(), ward)
                self.soon()
                raise
            if told.say is not Say.TAKEN:
                answer = self.goes_on(batch, ward, told, query_class)
                if answer:
                    self.judge.close(clock.now(), ward)
                return answer
            self.judge.close(clock.now(), ward)
            heard = told.value or heard
            self.metrics.add("takeover: led to another front's run")
            end = await self.read(batch, told.value) if may_have_run(told.value) else None
            if end:
                return end
            await asyncio.sleep(LOOK_AGAIN * (1 + self.judge.chance() / 2))

    def goes_on(
        self, batch: Batch, ward: Ward, told: Told, query_class: it.QueryClass
    ) -> it.PushBack | it.Error | None:
        """What a claim's answer means for the batch, where no other front has it."""
        once_only = query_class.repeat is it.Idempotency.NON_IDEMPOTENT
        demands = self.judge.groups[ward.group].demands
        # Where what can't be protected goes out all the same, that nothing is known says nothing.
        unknown = told.say in (Say.UNSURE, Say.ALONE) or (
            told.say is Say.FRESH and told.value is None and not demands
        )
        self.metrics.add(f"takeover: {told.say.value}")
        if may_have_run(told.value):
            # Without a majority too: what is known to have begun is not begun anew.
            if not self.adopts(batch, told.value, query_class):
                return self.not_known(batch, told, "its engine is gone")
        elif unknown and once_only and batch.asked.is_retry:
            # It may have run at a front that nobody can be asked about.
            return self.not_known(batch, told, ward.bare or "nobody would know")
        elif unknown and demands:
            # Risk: a first try that lay unread while its front was stopped comes after its own retry, and
            # where a place has forgotten that one, nothing is known is no proof.
            self.metrics.add("takeover: refused unprotected")
            return it.PushBack(batch.number, 0.0)
        self.metrics.add("takeover: unprotected" if ward.bare else "takeover: protected")
        batch.ward = Guard(self, batch, ward)
        self.guards[ward.owner.txn] = batch.ward
        return None

    def not_known(self, batch: Batch, told: Told, why: str) -> it.Error:
        self.metrics.add("takeover: told that it is not known")
        self.log(
            "work not known", batch=batch.asked.txn, mark=batch.asked.reference, say=told.say.value, why=why
        )
        return it.Error(batch.number)

    def adopts(self, batch: Batch, value: Value, query_class: it.QueryClass) -> bool:
        """Another front's run becomes this one's first dispatch: whether the batch can go on from there."""
        if value.state is State.RETURNED and query_class.repeat is it.Idempotency.IDEMPOTENT:
            return True
        begun = Name(value.txn.hex(), value.number), value.engine.encode("latin-1"), value.ran_ms / 1e3
        good = resume_from(batch, query_class, self.roll, *begun)
        if 0 in batch.under:
            self.metrics.add("takeover: adopted")
            self.log(
                "work adopted",
                batch=batch.asked.txn,
                began_as=value.txn.hex(),
                engine=value.engine,
                state=value.state.name.lower(),
                ran_s=value.ran_ms / 1e3,
            )
        return good

    async def read(self, batch: Batch, value: Value) -> End | None:
        """The result of a run that another front has out, read at its engine; None where there is none."""
        entry = self.roll.entries.get(value.engine.encode("latin-1"))
        if entry is None:
            return None
        end, progress = End(READING, entry.engine.id), DispatchProgress(READING)
        batch.under[READING] = Name(value.txn.hex(), value.number)
        self.roll.begin(end.engine)
        try:
            await self.protocol(entry).resume(batch, entry, end, progress, batch.limit_at)
        except NoResultError:
            return None
        finally:
            self.roll.end(end.engine)
        if end.outcome is not it.DispatchOutcome.RETURNED:
            return None
        self.metrics.add("takeover: read another front's run")
        return end

    async def answer(self, ward: Ward, limit_at: float = float("inf")) -> Told:
        """What the places say to the question that is out."""
        waiter = self.waiters[ward.owner.txn] = asyncio.get_running_loop().create_future()
        began = clock.now()
        self.settle()
        try:
            async with asyncio.timeout_at(clock.on_loop(limit_at + PAST_LIMIT)):
                return await waiter
        except TimeoutError:
            return Told(Say.ALONE)
        finally:
            self.waiters.pop(ward.owner.txn, None)
            self.waited.append(clock.now() - began)

    # The judge's clock and its words.

    def waits_ms(self) -> dict[str, float]:
        """What batches' paths waited for their places lately."""
        taken = sorted(self.waited)
        return (
            {
                name: round(taken[int(len(taken) * share)] * 1e3, 3)
                for name, share in (("p50", 0.5), ("p99", 0.99))
            }
            if taken
            else {}
        )

    def open(self) -> None:
        self.turn()

    def close(self) -> None:
        if self.timer:
            self.timer.cancel()
        for task in (*self.asking.values(), *self.asides):
            task.cancel()

    def heard(self, source: Address, body: bytes) -> None:
        self.judge.heard(clock.now(), source, wire.decode(body))
        self.soon()

    def turn(self) -> None:
        self.timer = None
        self.judge.turn(clock.now())
        self.settle()

    def soon(self) -> None:
        """What comes in one turn of the loop goes out together."""
        if not self.pending:
            self.pending = True
            asyncio.get_running_loop().call_soon(self.settle)

    def plan(self, now: float) -> None:
        """The next turn when something is due, and none anew for what is due no sooner than the one
        planned."""
        at = max(min(self.judge.due(), min(self.leaves_at.values(), default=now + 1.0)), now + 0.001)
        when = clock.on_loop(at)
        if self.timer is None or when < self.timer.when():
            if self.timer:
                self.timer.cancel()
            self.timer = asyncio.get_running_loop().call_at(when, self.turn)

    def settle(self) -> None:
        """Carry out what the judge has to say."""
        self.pending, judge = False, self.judge
        for ward, told in judge.done:
            waiter = self.waiters.get(ward.owner.txn)
            if waiter and not waiter.done():
                waiter.set_result(told)
            elif told.say is Say.LOST:
                self.tell_lost(ward)
        for note in judge.notes:
            self.metrics.add(f"work {note.what}")
            self.log(f"work {note.what}", key=note.key.hex(), **note.facts)
        for order in judge.orders:
            self.carry(order)
        now, words = clock.now(), self.words
        for send in judge.sends:
            urgent = send.word.nonce or send.word.verb not in (wire.Verb.PUT, wire.Verb.DROP)
            words.setdefault(send.address, []).append(send.word)
            self.leaves_at[send.address] = min(
                self.leaves_at.get(send.address, now + LAST_WORD), now if urgent else now + LAST_WORD
            )
        judge.done, judge.notes, judge.orders, judge.sends = [], [], [], []
        for address in [a for a, at in self.leaves_at.items() if at <= now]:
            del self.leaves_at[address]
            for data in wire.encode(words.pop(address), self.peers.tier):
                self.peers.send(address, data)
        self.plan(now)

    def tell_lost(self, ward: Ward) -> None:
        if guard := self.guards.get(ward.owner.txn):
            guard.batch.inbox.put_nowait(TakenOver(guard.batch.number))

    def hand_over(self) -> None:
        """The front ends before this work does."""
        for ward in self.judge.hand_over(clock.now()):
            self.tell_lost(ward)
        self.settle()

    # What is done for the lost.

    def carry(self, order: AskOn | CallOff | Enough) -> None:
        task = self.asking.pop(order.key, None)
        if task:
            task.cancel()
        loop = asyncio.get_running_loop()
        if type(order) is AskOn:
            self.asking[order.key] = loop.create_task(self.query_status(order))
        elif type(order) is CallOff:
            task = loop.create_task(self.cancel_by_name(order))
            self.asides.add(task)
            task.add_done_callback(self.asides.discard)

    async def query_status(self, order: AskOn) -> None:
        """Until the judge says that it is enough."""
        while True:
            entry = self.roll.entries.get(order.engine.encode("latin-1"))
            name = Name(order.txn.hex(), order.number)
            said = await self.protocol(entry).query_status(entry, name) if entry else "unknown"
            self.metrics.add(f"takeover: asked on: {said}")
            self.judge.heirs.asked(order.key, said)
            self.soon()
            await asyncio.sleep(self.judge.terms.ask)

    async def cancel_by_name(self, order: CallOff) -> None:
        if entry := self.roll.entries.get(order.engine.encode("latin-1")):
            await self.protocol(entry).cancel_by_name(entry, Name(order.txn.hex(), order.number))


def groups(settings: it.Settings, demand: tuple[str, ...] | None) -> tuple[Group, ...]:
    """The service groups as the judgement knows them; where nothing is said once-only ones demand
    protection."""

    def one(t: it.QueryClass) -> Group:
        demands = t.repeat is it.Idempotency.NON_IDEMPOTENT if demand is None else t.name in demand
        return Group(
            t.name,
            t.utility,
            t.repeat is it.Idempotency.IDEMPOTENT,
            t.repeat is it.Idempotency.DEDUPLICATED,
            t.time_limit,
            demands,
        )

    return tuple(one(query_class) for query_class in settings.tariffs)
