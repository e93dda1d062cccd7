"""A start by a remembered list, step by step.

    recovery = RestartRecovery(limits, entries, now)      # ages by engine
    recovery.usable, recovery.to_probe                    # at once; to be asked
    recovery.record_probe(engine, answered); recovery.probes_timed_out()
    recovery.stage, recovery.usable                  # what it has come to

The engines to use only grow while the list is out of reach; once it is back all of this is over.
"""

from __future__ import annotations

from enum import Enum

from thistlelever.recovery.ages import Age, AgeLimits, Grade, grade, trust


class Stage(Enum):
    """Where a start stands."""

    PROBING = "asking"
    PROBING_OLDEST = "asking the oldest too"
    REMEMBERED = "by a remembered list"
    NO_ANSWER = "nobody answers"
    LISTED = "by discovery"


class RestartRecovery:
    """Which of the remembered engines may be told to the decisions, and when."""

    def __init__(self, limits: AgeLimits, ages: dict[bytes, Age]) -> None:
        self.limits, self.ages = limits, ages
        self.grades = {engine: grade(age, limits) for engine, age in ages.items()}
        self.answered: dict[bytes, bool] = {}
        self.usable = {engine for engine, found in self.grades.items() if found is Grade.FRESH}
        self.to_probe = {engine for engine, found in self.grades.items() if found is Grade.ASKED}
        self.stage = Stage.REMEMBERED
        self.update_stage()

    def update_stage(self) -> None:
        """What follows from what has been heard."""
        if self.stage is Stage.LISTED:
            return
        unanswered = self.to_probe - self.answered.keys()
        if unanswered:
            self.stage = Stage.PROBING_OLDEST if self.oldest_probed() else Stage.PROBING
        elif self.usable:
            self.stage = Stage.REMEMBERED
        elif not self.oldest_probed() and (last := self.graded(Grade.LAST)):
            # Nothing better is left.
            self.to_probe |= last
            self.stage = Stage.PROBING_OLDEST
        else:
            self.stage = Stage.NO_ANSWER

    def graded(self, wanted: Grade) -> set[bytes]:
        return {engine for engine, found in self.grades.items() if found is wanted}

    def oldest_probed(self) -> bool:
        return bool(self.to_probe & self.graded(Grade.LAST))

    def record_probe(self, engine: bytes, answered: bool) -> None:
        """Word of one that was asked; or of one in use that does not answer any more."""
        if engine not in self.grades or self.stage is Stage.LISTED:
            return
        self.answered[engine] = answered
        if answered and engine in self.to_probe:
            self.usable.add(engine)
        self.update_stage()

    def probes_timed_out(self) -> None:
        """The time to answer is over: who has not is not there."""
        for engine in self.to_probe - self.answered.keys():
            self.answered[engine] = False
        self.update_stage()

    def retry(self) -> set[bytes]:
        """Nobody answered: all are asked once more after a while, as a list that is out of reach may come
        back later than an engine."""
        if self.stage is not Stage.NO_ANSWER:
            return set()
        self.answered = {engine: answered for engine, answered in self.answered.items() if answered}
        self.to_probe = set(self.grades)
        self.update_stage()
        return self.to_probe

    def discovery_returned(self) -> None:
        """Discovery is back: it alone holds from now on."""
        self.stage = Stage.LISTED

    def show(self) -> dict:
        """Which source, how old, how sure."""
        return {
            "stage": self.stage.value,
            "used": len(self.usable),
            "asked": len(self.to_probe),
            "answered": sum(self.answered.values()),
            "by_grade": {g.name.lower(): len(self.graded(g)) for g in Grade},
            "oldest_s": max((round(a.most, 1) for a in self.ages.values() if a.most < 1e9), default=None),
            "sure": round(max((trust(self.ages[e], self.limits) for e in self.usable), default=0.0), 3),
        }
