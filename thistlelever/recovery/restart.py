"""Start of a front from a stored engine list while discovery is unavailable.

    recovery = RestartRecovery(limits, ages)      # ages by engine
    recovery.usable, recovery.to_probe            # usable without a probe; to be probed
    recovery.record_probe(engine, answered); recovery.probes_timed_out()
    recovery.stage, recovery.usable               # the result

The set of usable engines only grows until discovery returns, which ends the recovery.
"""

from __future__ import annotations

from enum import Enum

from thistlelever.recovery.ages import Age, AgeLimits, Grade, grade, trust


class Stage(Enum):
    """Progress of the start; the values appear in logs and views."""

    PROBING = "asking"
    PROBING_OLDEST = "asking the oldest too"
    REMEMBERED = "by a remembered list"
    NO_ANSWER = "nobody answers"
    LISTED = "by discovery"


class RestartRecovery:
    """Decides which of the stored engines may be passed to the decisions, and when."""

    def __init__(self, limits: AgeLimits, ages: dict[bytes, Age]) -> None:
        """Grade the engines by the ages of their records."""
        self.limits, self.ages = limits, ages
        self.grades = {engine: grade(age, limits) for engine, age in ages.items()}
        self.answered: dict[bytes, bool] = {}
        self.usable = {engine for engine, found in self.grades.items() if found is Grade.FRESH}
        self.to_probe = {engine for engine, found in self.grades.items() if found is Grade.ASKED}
        self.stage = Stage.REMEMBERED
        self.update_stage()

    def update_stage(self) -> None:
        """Derive the stage from the probe results so far, and probe the oldest engines when none is left."""
        if self.stage is Stage.LISTED:
            return
        unanswered = self.to_probe - self.answered.keys()
        if unanswered:
            self.stage = Stage.PROBING_OLDEST if self.oldest_probed() else Stage.PROBING
        elif self.usable:
            self.stage = Stage.REMEMBERED
        elif not self.oldest_probed() and (last := self.graded(Grade.LAST)):
            # No better engine is left.
            self.to_probe |= last
            self.stage = Stage.PROBING_OLDEST
        else:
            self.stage = Stage.NO_ANSWER

    def graded(self, wanted: Grade) -> set[bytes]:
        """Return the engines of a grade."""
        return {engine for engine, found in self.grades.items() if found is wanted}

    def oldest_probed(self) -> bool:
        """Return whether the engines of grade LAST are among those to probe."""
        return bool(self.to_probe & self.graded(Grade.LAST))

    def record_probe(self, engine: bytes, answered: bool) -> None:
        """Record whether an engine answered its probe, or that a usable one stopped answering.

        Unknown engines are ignored.
        """
        if engine not in self.grades or self.stage is Stage.LISTED:
            return
        self.answered[engine] = answered
        if answered and engine in self.to_probe:
            self.usable.add(engine)
        self.update_stage()

    def probes_timed_out(self) -> None:
        """Record all engines that have not answered their probe as not answering."""
        for engine in self.to_probe - self.answered.keys():
            self.answered[engine] = False
        self.update_stage()

    def retry(self) -> set[bytes]:
        """Return the engines to probe again when none answered, else an empty set.

        Discovery may come back later than an engine, so all engines are probed again.
        """
        if self.stage is not Stage.NO_ANSWER:
            return set()
        self.answered = {engine: answered for engine, answered in self.answered.items() if answered}
        self.to_probe = set(self.grades)
        self.update_stage()
        return self.to_probe

    def discovery_returned(self) -> None:
        """End the recovery: from now on only the list from discovery is used."""
        self.stage = Stage.LISTED

    def show(self) -> dict:
        """Return the stage, the counts and ages of engines, and the trust value for views and logs."""
        return {
            "stage": self.stage.value,
            "used": len(self.usable),
            "asked": len(self.to_probe),
            "answered": sum(self.answered.values()),
            "by_grade": {g.name.lower(): len(self.graded(g)) for g in Grade},
            "oldest_s": max((round(a.most, 1) for a in self.ages.values() if a.most < 1e9), default=None),
            "sure": round(max((trust(self.ages[e], self.limits) for e in self.usable), default=0.0), 3),
        }
