"""Records the runs at the engines of the takeover rig, by the idempotency key in each statement."""

import asyncio
from collections import Counter, defaultdict

from rigs.takeover_terms import ENGINE_DROP_S
from thistlelever.wire.flight import columns


class Run:
    """One start of a statement at an engine; times are of the event loop, in seconds."""

    __slots__ = ("key", "txn", "engine", "number", "began", "ended", "repeat")

    def __init__(self, key, txn, engine, number, began, repeat):
        self.key, self.txn, self.engine, self.number = key, txn, engine, number
        self.began, self.ended, self.repeat = began, None, repeat


class EngineRuns:
    """The runs at all engines by idempotency key and by transaction, and how many of a key run at once."""

    def __init__(self, fleet):
        self.fleet, self.runs, self.by_txn = fleet, defaultdict(list), {}
        self.out, self.most_out, self.to_draining = Counter(), Counter(), 0
        self.draining, self.ended = {}, defaultdict(asyncio.Event)
        for name, engine in fleet.engines.items():
            engine.drops_after = ENGINE_DROP_S
            engine.result = self.columns if name in fleet.flight else self.result
            engine.run_statement = lambda txn, statement, name=name: self.work(name, txn, statement)

    def parse(self, statement):
        """Returns query class, key and run time in seconds of a statement."""
        _, query_class, key, seconds, *_ = statement.decode().split()
        return query_class, key, float(seconds)

    async def work(self, name, txn, statement):
        """Runs a statement at an engine and records it; called by the fake engine."""
        query_class, key, seconds = self.parse(statement)
        now = asyncio.get_running_loop().time()
        if now > self.draining.get(name, float("inf")):
            self.to_draining += 1
        # For class `load` engines deduplicate by key: a repeat waits for the first run and gets its result.
        repeat = query_class == "load" and bool(self.runs[key])
        run = Run(key, txn, name, sum(not r.repeat for r in self.runs[key]), now, repeat)
        self.runs[key].append(run)
        self.by_txn[txn] = run
        self.out[key] += 1
        self.most_out[key] = max(self.most_out[key], self.out[key])
        try:
            if repeat and not self.ended[key].is_set():
                await self.ended[key].wait()
            elif not repeat:
                await asyncio.sleep(seconds)
            run.ended = asyncio.get_running_loop().time()
        finally:
            self.out[key] -= 1
            if not repeat:
                self.ended[key].set()

    def result(self, statement):
        """Returns rows that name the run; different results therefore come from different runs."""
        query_class, key, _ = self.parse(statement)
        number = 1 if query_class == "load" else sum(not r.repeat for r in self.runs[key])
        # Long enough for several pages, so that a front can be killed between two of them.
        return f"{key}\t{number}\t\n" + f"{'x' * 60}\t\t\n" * 400

    def columns(self, statement):
        """Returns the result encoded for Flight SQL."""
        return columns.encode_rows([self.result(statement).encode()])

    async def run_sweeps(self):
        """Calls `sweep` of each engine every 0.1 s until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            for engine in self.fleet.engines.values():
                engine.sweep()
