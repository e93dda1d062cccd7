"""Views for operators: the state of the budget tree, and why a batch waits."""

from __future__ import annotations

from thistlelever.budgets.fair_queue import FairQueue
from thistlelever.budgets.node import Node
from thistlelever.budgets.queued_batch import QueuedBatch
from thistlelever.budgets.tree import path_to_root


def show(fair_queue: FairQueue, now: float) -> dict:
    """The totals and all nodes with something queued or released, in threads, core-seconds and seconds. Keys
    are printed by the command `budgets show` and read by scripts."""
    return {
        "threads": round(fair_queue.capacity, 2),
        "out": round(fair_queue.root.threads_in_use, 2),
        "held": fair_queue.root.queued,
        "backlog_core_s": round(fair_queue.root.backlog, 3),
        "pace_core_s": round(fair_queue.service_rate(now), 3),
        "counts": fair_queue.counts,
        "thrown_away_core_s": round(fair_queue.wasted_work, 3),
        "estimate_errors": fair_queue.wait_estimator.percentiles(),
        "nodes": [
            describe_node(node, fair_queue, now)
            for node in fair_queue.tree.nodes()
            if node.parent and (node.queued or node.threads_in_use)
        ],
    }


def describe_node(node: Node, fair_queue: FairQueue, now: float) -> dict:
    """The row of one node, in threads, core-seconds and seconds."""
    guarantee = node.share.guarantee * fair_queue.capacity
    oldest = min((batch.queued_at for batch in node.queue), default=None)
    return {
        "path": ".".join(node.path()),
        "held": node.queued,
        "backlog_core_s": round(node.backlog, 3),
        "out": round(node.threads_in_use, 2),
        "guarantee": round(guarantee, 2),
        "ceiling": round(node.share.ceiling * fair_queue.capacity, 2),
        "lends": round(max(guarantee - node.threads_in_use, 0.0), 2) if not node.queued else 0.0,
        "borrows": round(max(node.threads_in_use - guarantee, 0.0), 2),
        "oldest_s": round(now - oldest, 3) if oldest is not None else 0.0,
    }


def explain(fair_queue: FairQueue, number: int, now: float) -> dict:
    """The state of the batch with this number, and the reason why it waits, if it does."""
    batch = fair_queue.batches.get(number)
    if batch is None:
        return {"batch": number, "state": "not here: answered, or never taken"}
    described = {
        "batch": number,
        "path": ".".join(batch.leaf.path()),
        "charge_core_s": round(batch.charge, 4),
        "told_wait_s": round(batch.estimated_wait, 3),
        "waits_since_s": round(now - batch.queued_at, 3),
    }
    if batch.is_released:
        return described | {"state": "released", "waited_s": round(batch.released_at - batch.queued_at, 3)}
    return described | {
        "state": "held",
        "must_go_within_s": round(batch.release_deadline() - now, 3),
        "because": wait_reason(fair_queue, batch),
    }


def wait_reason(fair_queue: FairQueue, batch: QueuedBatch) -> str:
    """What a queued batch waits for, in words."""
    if not batch.schedulable:
        return "a batch of the same key goes first"
    for node in path_to_root(batch.leaf):
        if node.share.ceiling < 1 and node.is_at_ceiling(fair_queue.capacity, batch.spec.width):
            return f"{'.'.join(node.path())} is at its ceiling"
    ahead = batch.leaf.queue.index(batch)
    if not fair_queue.has_capacity(batch.spec.width):
        return f"all threads are taken; {ahead} before it in its own queue"
    return f"others' turn; {ahead} before it in its own queue"
