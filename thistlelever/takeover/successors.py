"""Takes over the batches of lost fronts: decides for each record held here whether this front is the
successor, whether to keep the run alive at its engine or to cancel it, and which runs to abandon when there
are too many."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from thistlelever.takeover.facts import (
    Address,
    CancelRun,
    KeepAlive,
    LeaseEvent,
    Liveness,
    QueryClassPolicy,
    QuorumOutcome,
    QuorumResult,
    StopKeepAlive,
    TakeoverConfig,
)
from thistlelever.takeover.placement import Placement
from thistlelever.takeover.replica import Record, Replica
from thistlelever.wire.peers import address_of
from thistlelever.wire.work import RunState


class PendingClaim(NamedTuple):
    """A batch whose front is gone, to be claimed while no client waits for it; `remaining_s` in seconds."""

    key: bytes
    txn: bytes
    class_index: int
    epoch: int
    remaining_s: float


class InheritedRun:
    """A run of a lost front that this front keeps alive, from `since` until `until` (seconds)."""

    __slots__ = (
        "key",
        "engine",
        "txn",
        "class_index",
        "owner",
        "since",
        "until",
        "claim_status",
        "engine_status",
    )

    def __init__(self, record: Record, now: float, until: float) -> None:
        """The run of a record, kept alive until `until`."""
        value = record.value
        self.key, self.engine, self.txn, self.class_index = record.key, value.engine, value.txn, value.group
        self.owner, self.since, self.until = record.responsible_owner, now, until
        # The state of the claim ("", "asked", "yes" or "no"), and the latest answer of the engine; both are
        # printed by `inhand show`.
        self.claim_status, self.engine_status = "", ""


class Successor:
    """The part of a front that takes over for others. `liveness` is what membership says of a front and one
    of its processes; while `is_isolated`, membership is not trusted and nothing is taken over."""

    def __init__(
        self,
        config: TakeoverConfig,
        local_address: Address,
        replica: Replica,
        placement: Placement,
        query_classes: tuple[QueryClassPolicy, ...],
    ) -> None:
        """Shares `replica` and `placement` with the lease manager of the front."""
        self.config, self.local_address, self.query_classes = config, local_address, query_classes
        self.replica, self.placement = replica, placement
        self.liveness: Callable[[Address, int], Liveness] = lambda address, life: Liveness.ALIVE
        self.is_isolated: Callable[[], bool] = lambda: False
        # Whether the front at an address is alive, in whatever process.
        self.is_alive: Callable[[Address], bool] = lambda address: True
        self.inherited: dict[bytes, InheritedRun] = {}
        self.abandoned: set[bytes] = set()
        self.commands: list[KeepAlive | CancelRun | StopKeepAlive] = []
        self.events: list[LeaseEvent] = []

    def has(self, key: bytes) -> bool:
        """Whether this front keeps the run of this batch alive."""
        return key in self.inherited

    def review(self, now: float) -> list[PendingClaim]:
        """Collect what is due now in `commands`; the batches to be claimed."""
        for run in list(self.inherited.values()):
            self.review_run(now, run)
        self.abandoned &= self.replica.records.keys()
        if self.is_isolated():
            # A front that is cut off would take over from all fronts that are alive, and cancel their runs.
            return []
        claims = []
        for address in list(self.replica.by_front):
            keys = self.replica.by_front.get(address, ())
            # A restarted front has other batches than its former process behind the same address.
            liveness_by_life = {}
            for key in sorted(keys, key=self.priority):
                record = self.replica.records[key]
                life = record.responsible_owner.life
                if life not in liveness_by_life:
                    liveness_by_life[life] = self.liveness(address, life)
                if liveness_by_life[life] is not Liveness.ALIVE and not record.by_successor:
                    claims += self.inherit(now, record, liveness_by_life[life])
        return claims

    def priority(self, key: bytes) -> tuple[float, bytes]:
        """Sort key: batches of the highest value first."""
        value = self.replica.records[key].value
        return (
            -self.query_classes[value.group].value if value and value.group < len(self.query_classes) else 0.0
        ), key

    def inherit(self, now: float, record: Record, liveness: Liveness) -> list[PendingClaim]:
        """Take over one batch of a front that is suspected or gone: its run is kept alive at once, claimed
        once the front is gone and its lease has expired; an idempotent batch without a key is cancelled
        instead."""
        value = record.value
        if value is None or value.state is not RunState.OUT or value.group >= len(self.query_classes):
            return []
        if not self.is_successor(record):
            return []
        expired = liveness is Liveness.GONE and record.lease_left(now) == 0
        if record.is_lazy and self.query_classes[value.group].idempotent:
            if expired:
                self.commands.append(CancelRun(record.key, value.engine, value.txn, value.number))
                self.record_event("called off", record.key, value.txn, engine=value.engine)
                self.replica.drop(record)
            return []
        run = self.inherited.get(record.key)
        if run is None and not (run := self.start_keep_alive(now, record)):
            return []
        if expired and not run.claim_status and not record.is_lazy:
            run.claim_status = "asked"
            remaining_s = max(record.forget_at - now, 0.0)
            return [PendingClaim(record.key, value.txn, value.group, record.epoch, remaining_s)]
        return []

    def is_successor(self, record: Record) -> bool:
        """Whether this front is the first replica that is alive, other than the lost one. Two fronts that
        see it differently both poll the engine, which does no harm, and only one of them is promised the
        batch."""
        if record.is_lazy:
            return True
        lost_address = address_of(record.responsible_owner.address)
        for address in self.placement.replicas_for(record.key):
            if address != lost_address and (address == self.local_address or self.is_alive(address)):
                return address == self.local_address
        return False

    def start_keep_alive(self, now: float, record: Record) -> InheritedRun | None:
        """Keep a run alive, unless as many as allowed are kept alive whose value is no lower."""
        if len(self.inherited) >= self.config.max_keep_alives:
            least = min(
                self.inherited.values(), key=lambda t: (self.query_classes[t.class_index].value, -t.since)
            )
            if self.query_classes[least.class_index].value >= self.query_classes[record.value.group].value:
                self.abandon(record.key, record.value.txn)
                return None
            self.stop_keep_alive(least)
            self.abandon(least.key, least.txn)
        run = self.inherited[record.key] = InheritedRun(record, now, record.forget_at)
        self.commands.append(KeepAlive(run.key, run.engine, run.txn, record.value.number))
        owner = "{}:{}".format(*address_of(record.responsible_owner.address))
        self.record_event(
            "asked on for",
            run.key,
            run.txn,
            engine=run.engine,
            owner=owner,
            after=round(now - record.heard_at, 3),
        )
        return run

    def abandon(self, key: bytes, txn: bytes) -> None:
        """Note once that a run is not kept alive."""
        if key not in self.abandoned:
            self.abandoned.add(key)
            self.record_event("let go", key, txn)

    def review_run(self, now: float, run: InheritedRun) -> None:
        """Stop keeping a run alive that has ended, or that is no longer this front's to keep."""
        record = self.replica.records.get(run.key)
        if (
            record is None
            or now >= run.until
            or record.value is None
            or record.value.txn != run.txn
            or (record.value.state is not RunState.OUT)
        ):
            self.stop_keep_alive(run)
            return
        own_claim = record.by_successor and address_of(record.responsible_owner.address) == self.local_address
        if not own_claim and record.responsible_owner != run.owner:
            # A front with a client for the batch, the old owner included, polls the engine itself.
            self.stop_keep_alive(run)
        elif (
            not run.claim_status
            and self.liveness(address_of(run.owner.address), run.owner.life) is Liveness.ALIVE
        ):
            self.stop_keep_alive(run)

    def on_claim_result(self, lease, result: QuorumResult) -> None:
        """Take the result of a claim."""
        run = self.inherited.get(lease.key)
        if run is None:
            return
        granted = result.outcome in (QuorumOutcome.FRESH, QuorumOutcome.FOUND, QuorumOutcome.UNSURE)
        if granted and run.claim_status != "yes":
            self.record_event("taken over", lease.key, run.txn, engine=run.engine)
        # Without a majority the run is kept alive all the same, and claimed again.
        run.claim_status = "yes" if granted else "no" if result.outcome is QuorumOutcome.TAKEN else ""
        if result.outcome is QuorumOutcome.TAKEN:
            self.stop_keep_alive(run)

    def on_engine_status(self, key: bytes, status: str) -> None:
        """Take the engine's answer: running, over, unknown or silent. An engine that does not know a run
        now will not know it later."""
        run = self.inherited.get(key)
        if run is None:
            return
        run.engine_status = status
        if status == "unknown":
            self.record_event("gone at its engine", key, run.txn, engine=run.engine)
            self.stop_keep_alive(run)
            self.abandoned.add(key)

    def record_event(self, name: str, key: bytes, txn: bytes, **fields) -> None:
        """Add an event for the log and the counters."""
        self.events.append(LeaseEvent(name, key, {"txn": txn.hex(), **fields}))

    def stop_keep_alive(self, run: InheritedRun) -> None:
        """Forget a run and stop polling for it."""
        self.inherited.pop(run.key, None)
        self.commands.append(StopKeepAlive(run.key))
