"""What people ask of the fair_queue at night: who holds what, who lends, who waits, and why."""

from __future__ import annotations

from thistlelever.budgets.node import Node
from thistlelever.budgets.fair_queue import FairQueue
from thistlelever.budgets.tree import upwards


def show(fair_queue: FairQueue, now: float) -> dict:
    """All nodes that hold or have out anything, with what they are promised; threads, core-seconds,
    seconds."""
    return {
        "threads": round(fair_queue.capacity, 2),
        "out": round(fair_queue.root.threads, 2),
        "held": fair_queue.root.held,
        "backlog_core_s": round(fair_queue.root.backlog, 3),
        "pace_core_s": round(fair_queue.pace(now), 3),
        "counts": fair_queue.counts,
        "thrown_away_core_s": round(fair_queue.thrown_away, 3),
        "estimate_errors": fair_queue.waits.percentiles(),
        "nodes": [
            line(node, fair_queue, now)
            for node in fair_queue.tree.nodes()
            if node.parent and (node.held or node.threads)
        ],
    }


def line(node: Node, fair_queue: FairQueue, now: float) -> dict:
    """One node, in threads, core-seconds and seconds."""
    promised = node.share.guarantee * fair_queue.capacity
    oldest = min((held.since for held in node.queue), default=None)
    return {
        "path": ".".join(node.path()),
        "held": node.held,
        "backlog_core_s": round(node.backlog, 3),
        "out": round(node.threads, 2),
        "guarantee": round(promised, 2),
        "ceiling": round(node.share.ceiling * fair_queue.capacity, 2),
        "lends": round(max(promised - node.threads, 0.0), 2) if not node.held else 0.0,
        "borrows": round(max(node.threads - promised, 0.0), 2),
        "oldest_s": round(now - oldest, 3) if oldest is not None else 0.0,
    }


def explain(fair_queue: FairQueue, number: int, now: float) -> dict:
    """Why a batch waits, or that it does not."""
    held = fair_queue.batches.get(number)
    if held is None:
        return {"batch": number, "state": "not here: answered, or never taken"}
    said = {
        "batch": number,
        "path": ".".join(held.leaf.path()),
        "charge_core_s": round(held.charge, 4),
        "told_wait_s": round(held.told, 3),
        "waits_since_s": round(now - held.since, 3),
    }
    if held.out:
        return said | {"state": "released", "waited_s": round(held.released - held.since, 3)}
    return said | {
        "state": "held",
        "must_go_within_s": round(held.must_go_by() - now, 3),
        "because": because(fair_queue, held),
    }


def because(fair_queue: FairQueue, held) -> str:
    """What a held batch waits for."""
    if not held.waiting:
        return "a batch of the same key goes first"
    for node in upwards(held.leaf):
        if node.share.ceiling < 1 and node.full(fair_queue.capacity, held.entry.width):
            return f"{'.'.join(node.path())} is at its ceiling"
    ahead = held.leaf.queue.index(held)
    if not fair_queue.room(held.entry.width):
        return f"all threads are taken; {ahead} before it in its own queue"
    return f"others' turn; {ahead} before it in its own queue"
