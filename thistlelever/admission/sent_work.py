"""Load of engines that report none, estimated from the work that this front has sent them."""

from __future__ import annotations

from math import exp


class SentWork:
    """The work that this front has sent to each engine (thread-seconds), with exponential decay.

    Fronts choose engines by the same rules, so the distribution of one front's own work over the engines
    stands for that of all fronts. Engines are known by their dense index.
    """

    def __init__(self, time_constant: float) -> None:
        """`time_constant` is the time in seconds in which the work decays to 1/e."""
        self.time_constant = time_constant
        self.work: list[float] = []
        self.updated_at: list[float] = []
        self.total_work = 0.0
        self.total_updated_at = 0.0
        # How many engines are ready, and the cores of all of them.
        self.engines = 0
        self.cores = 0

    def set_ready(self, cores: list[int]) -> None:
        """Set the engines that loads are relative to, by the cores of each."""
        self.engines = len(cores)
        self.cores = sum(cores)

    def reset(self, engine: int, now: float) -> None:
        """Start an engine without any work; its index is new, or was another engine's."""
        while len(self.work) <= engine:
            self.work.append(0.0)
            self.updated_at.append(now)
        self.total_work = self.total(now) - self.recent(engine, now)
        self.total_updated_at = now
        self.work[engine] = 0.0
        self.updated_at[engine] = now

    def record(self, engine: int, work: float, now: float) -> None:
        """Add the work of one dispatch."""
        self.work[engine] = self.recent(engine, now) + work
        self.updated_at[engine] = now
        self.total_work = self.total(now) + work
        self.total_updated_at = now

    def recent(self, engine: int, now: float) -> float:
        """What is left of the work sent to the engine."""
        return self.work[engine] * exp((self.updated_at[engine] - now) / self.time_constant)

    def total(self, now: float) -> float:
        """What is left of the work sent to all engines."""
        return self.total_work * exp((self.total_updated_at - now) / self.time_constant)

    def relative_load(self, engine: int, capacity: float, batch_work: float, now: float) -> float:
        """The engine's recent work over its capacity (cores), relative to that of all ready engines.

        `batch_work` is the work of a usual batch: one is added for each engine, by capacity, so that the
        first few dispatches do not decide alone.
        """
        prior = batch_work * self.engines / self.cores
        mean = prior + self.total(now) / self.cores
        return (prior + self.recent(engine, now) / capacity) / mean
