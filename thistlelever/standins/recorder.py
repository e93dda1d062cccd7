"""What a fake engine received and did, recorded independently of the front, for the checks of rigs."""

import asyncio
from collections import Counter, defaultdict
from typing import NamedTuple


class Record(NamedTuple):
    """One event of a batch at an engine, `at` seconds on the loop's clock.

    Events: arrived, ran, dropped (a duplicate of its idempotency key), answered, refused, given up, lost.
    """

    at: float
    txn: str
    key: str
    lane: str
    event: str


class SharedCounts:
    """Counts over several engines: the open dispatches of each batch, and the most at once."""

    def __init__(self):
        """Nothing is open."""
        self.open, self.max_open = Counter(), Counter()


class Recorder:
    """The records of one fake engine in their order.

    Engines that deduplicate together share the set `keys` of idempotency keys; `shared_counts` covers all
    engines that are given the same object.
    """

    def __init__(self, keys=None, shared_counts=None):
        """Use the shared sets and counts, or new ones."""
        self.records, self.counts = [], Counter()
        # The key and lane of each open dispatch at this engine, by batch.
        self.open_here = defaultdict(list)
        self.keys = set() if keys is None else keys
        self.shared_counts = shared_counts or SharedCounts()

    def add(self, txn, key, lane, event):
        """Append a record with the current time."""
        self.records.append(Record(asyncio.get_running_loop().time(), txn, key, lane, event))
        self.counts[event] += 1

    def record_arrival(self, txn, key, lane):
        """Record the arrival of a dispatch, which is open from now on."""
        self.add(txn, key, lane, "arrived")
        self.open_here[txn].append((key, lane))
        self.shared_counts.open[txn] += 1
        self.shared_counts.max_open[txn] = max(self.shared_counts.max_open[txn], self.shared_counts.open[txn])

    def record_end(self, txn, key, lane, event):
        """Record the end of an open dispatch: answered, refused, given up or lost."""
        if self.open_here[txn]:
            key, lane = self.open_here[txn].pop()
            self.shared_counts.open[txn] -= 1
            self.add(txn, key, lane, event)

    def record_run(self, txn, key, lane):
        """Record a run; returns False where its key has run before at an engine with the same `keys`."""
        repeat = bool(key) and key in self.keys
        self.keys.add(key)
        self.add(txn, key, lane, "dropped" if repeat else "ran")
        return not repeat

    def record_crash(self):
        """Record the loss of all open dispatches, as the engine has crashed."""
        for txn in list(self.open_here):
            while self.open_here[txn]:
                self.record_end(txn, "", "", "lost")

    def count(self, event):
        """Return the number of records with that event."""
        return self.counts[event]
