"""What the takeover rig's engines run, by the marks that statements carry."""

import asyncio
from collections import Counter, defaultdict

from rigs.takeover_terms import DROPS_AFTER
from thistlelever.wire.flight import columns


class Run:
    """One start of a statement at an engine."""

    __slots__ = ("mark", "txn", "engine", "number", "began", "ended", "repeat")

    def __init__(self, mark, txn, engine, number, began, repeat):
        self.mark, self.txn, self.engine, self.number = mark, txn, engine, number
        self.began, self.ended, self.repeat = began, None, repeat


class Machines:
    """What all engines run, by the marks that statements carry: starts, effects, how many are out at once."""

    def __init__(self, fleet):
        self.fleet, self.runs, self.of_txn = fleet, defaultdict(list), {}
        self.out, self.most_out, self.to_draining = Counter(), Counter(), 0
        self.draining, self.ended = {}, defaultdict(asyncio.Event)
        for name, engine in fleet.engines.items():
            engine.drops_after = DROPS_AFTER
            engine.result = self.columns if name in fleet.flight else self.result
            engine.run_statement = lambda txn, statement, name=name: self.work(name, txn, statement)

    def words(self, statement):
        _, group, mark, seconds, *_ = statement.decode().split()
        return group, mark, float(seconds)

    async def work(self, name, txn, statement):
        group, mark, seconds = self.words(statement)
        now = asyncio.get_running_loop().time()
        if now > self.draining.get(name, float("inf")):
            self.to_draining += 1
        # Engines drop the repeats of a mark that they have seen, and answer as the first did.
        repeat = group == "load" and bool(self.runs[mark])
        run = Run(mark, txn, name, sum(not r.repeat for r in self.runs[mark]), now, repeat)
        self.runs[mark].append(run)
        self.of_txn[txn] = run
        self.out[mark] += 1
        self.most_out[mark] = max(self.most_out[mark], self.out[mark])
        try:
            if repeat and not self.ended[mark].is_set():
                await self.ended[mark].wait()
            elif not repeat:
                await asyncio.sleep(seconds)
            run.ended = asyncio.get_running_loop().time()
        finally:
            self.out[mark] -= 1
            if not repeat:
                self.ended[mark].set()

    def result(self, statement):
        """Which run it is of: two that differ were two runs."""
        group, mark, _ = self.words(statement)
        number = 1 if group == "load" else sum(not r.repeat for r in self.runs[mark])
        # Of several pages, so that a front can be lost between two.
        return f"{mark}\t{number}\t\n" + f"{'x' * 60}\t\t\n" * 400

    def columns(self, statement):
        return columns.encode_rows([self.result(statement).encode()])

    async def sweeping(self):
        while True:
            await asyncio.sleep(0.1)
            for engine in self.fleet.engines.values():
                engine.sweep()
