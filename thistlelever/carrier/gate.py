"""Where budgets are on: the one place where their judge is told what befalls batches, and its answers are
carried to the batches' tasks. It decides nothing."""

from __future__ import annotations

import asyncio

from thistlelever.budgets.judge import Entry, Judge, Terms
from thistlelever.budgets.plan import Plan
from thistlelever.ground import clock
from thistlelever.ground import interface as it
from thistlelever.ground.log import Log
from thistlelever.ground.orders import Preempt
from thistlelever.ground.tally import Tally
from thistlelever.store.batches import Batch, Batches
from thistlelever.store.roll import Roll

# Pre-emption and ageing are looked at this often while anything is held, whatever else happens.
LOOK = 0.02
# How fast a group's usual work follows what clients estimate, for those that estimate nothing.
USUAL_PACE = 0.1


class Gate:
    """Batches pass here before the decisions hear of them."""

    def __init__(
        self,
        manifest: it.Settings,
        plan: Plan,
        terms: Terms,
        threads_a_core: float,
        seed: int,
        batches: Batches,
        roll: Roll,
        tally: Tally,
        log: Log,
    ) -> None:
        self.query_classes = {t.name: t for t in manifest.tariffs}
        self.fronts, self.kind_cores = max(manifest.fronts, 1), manifest.kind_cores
        self.threads_a_core = threads_a_core
        # The revision of the engine list that `found` was worked out from.
        self.revision, self.found = -1, 0.0
        self.batches, self.roll, self.tally, self.log = batches, roll, tally, log
        self.usual = {t.name: t.goal * t.width / 4 for t in manifest.tariffs}
        self.judge = Judge(plan, terms, seed, self.threads())
        self.due: asyncio.TimerHandle | asyncio.Handle | None = None
        self.soon = False

    def enter(self, batch: Batch) -> None:
        """The batch's task waits for its release from now on."""
        query_class, taken, now = self.query_classes[batch.lane], batch.taken, clock.now()
        if taken.work:
            self.usual[batch.lane] += USUAL_PACE * (taken.work - self.usual[batch.lane])
        entry = Entry(
            batch.number,
            batch.asked.consignor,
            batch.lane,
            query_class.utility,
            taken.work or self.usual[batch.lane],
            float(query_class.width),
            batch.limit_at,
            min(now + query_class.goal, batch.limit_at),
            taken.key,
            batch.asked.repeat,
        )
        self.carry(self.judge.submit(now, entry))
        self.look_soon()

    def began(self, batch: Batch) -> None:
        self.judge.began(batch.number)

    def ended(self, batch: Batch, true_work: float) -> None:
        self.carry(self.judge.ended(clock.now(), batch.number, true_work))
        self.look_soon()

    def left(self, batch: Batch) -> None:
        self.carry(self.judge.left(clock.now(), batch.number))

    def too_late(self, batch: Batch) -> None:
        self.judge.too_late(batch.number)

    def renew(self, plan: Plan, terms: Terms, threads_a_core: float) -> None:
        """Another tree, at once: what is held moves into it."""
        self.threads_a_core, self.revision = threads_a_core, -1
        self.carry(self.judge.renew(clock.now(), plan, terms))
        self.look_soon()

    def counted(self, fronts: int) -> None:
        """So many fronts share the engines' threads from now on."""
        self.fronts, self.revision = max(fronts, 1), -1
        self.look_soon()

    def stop(self, at: float) -> None:
        self.carry(self.judge.stops(clock.now(), at))

    def look_soon(self) -> None:
        """What comes in one turn of the loop is weighed together."""
        if not self.soon:
            self.soon = True
            if self.due:
                self.due.cancel()
            self.due = asyncio.get_running_loop().call_soon(self.look)

    def look(self) -> None:
        self.soon, now = False, clock.now()
        self.carry(self.judge.capacity_is(now, self.threads()))
        self.carry(self.judge.tick(now))
        self.tally.must(self.judge.conserved(), "budgets lose or double nothing")
        if self.judge.root.held:
            at = min(max(self.judge.next_at(), now), now + LOOK)
            self.due = asyncio.get_running_loop().call_at(clock.on_loop(at), self.look)

    def threads(self) -> float:
        """What the engines that are ready carry for this front: all fronts have like shares of them."""
        if self.roll.revision != self.revision:
            self.revision = self.roll.revision
            cores = sum(
                self.kind_cores[entry.engine.kind]
                for entry in self.roll.entries.values()
                if entry.engine.state is it.EngineState.READY
            )
            sharing = min(self.fronts, self.roll.sharing or self.fronts)
            self.found = cores * self.threads_a_core / sharing
        return self.found

    def carry(self, actions) -> None:
        for action in actions:
            batch = self.batches.by_number.get(action.number)
            if batch is None:
                self.tally.add("budget actions for what is over")
            else:
                batch.inbox.put_nowait(action)
                self.tally.add(f"budgets: {type(action).__name__.lower()}")

    def preempted(self, batch: Batch, told: Preempt) -> it.PushBack | it.Error:
        """What the client of a batch that is given up hears. Risk: one that has had its single allowed
        attempt is told that trying again is harmless."""
        query_class = self.query_classes[batch.lane]
        drops = (
            query_class.repeat is it.Idempotency.DEDUPLICATED
            and query_class.scope is it.DeduplicationScope.ALL
        )
        if not batch.dispatches or query_class.repeat is it.Idempotency.IDEMPOTENT or drops:
            return it.PushBack(batch.number, told.after)
        return it.Error(batch.number)
