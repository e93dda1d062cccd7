"""What a stand-in saw, from the far side; a rig's verdict compares such books."""

import asyncio
from collections import Counter, defaultdict
from typing import NamedTuple


class Record(NamedTuple):
    """One thing that befell a batch: arrived, ran, dropped (a repeat), answered, refused, given up, lost."""

    at: float
    txn: str
    key: str
    lane: str
    event: str


class SharedCounts:
    """What several books count together: batches out at their engines, and the most at once of each."""

    def __init__(self):
        self.open, self.max_open = Counter(), Counter()


class Recorder:
    """One stand-in's lines in their order. Books with the same `marks` are those of engines that drop each
    other's repeats; `common` counts event is out at all of them."""

    def __init__(self, keys=None, shared_counts=None):
        self.records, self.counts = [], Counter()
        # What is out here: of each batch its key and lane, as often as it is.
        self.open_here = defaultdict(list)
        self.keys = set() if keys is None else keys
        self.shared_counts = shared_counts or SharedCounts()

    def add(self, txn, key, lane, event):
        self.records.append(Record(asyncio.get_running_loop().time(), txn, key, lane, event))
        self.counts[event] += 1

    def record_arrival(self, txn, key, lane):
        self.add(txn, key, lane, "arrived")
        self.open_here[txn].append((key, lane))
        self.shared_counts.open[txn] += 1
        self.shared_counts.max_open[txn] = max(self.shared_counts.max_open[txn], self.shared_counts.open[txn])

    def record_end(self, txn, key, lane, event):
        """Answered, refused, given up or lost: it is out here no more."""
        if self.open_here[txn]:
            key, lane = self.open_here[txn].pop()
            self.shared_counts.open[txn] -= 1
            self.add(txn, key, lane, event)

    def record_run(self, txn, key, lane):
        """Whether it takes effect now; a repeat of its key, here or at an engine beside, is dropped."""
        repeat = bool(key) and key in self.keys
        self.keys.add(key)
        self.add(txn, key, lane, "dropped" if repeat else "ran")
        return not repeat

    def record_crash(self):
        """The engine ends, and with it all that it had."""
        for txn in list(self.open_here):
            while self.open_here[txn]:
                self.record_end(txn, "", "", "lost")

    def count(self, event):
        return self.counts[event]
