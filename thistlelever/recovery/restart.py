"""A start by a remembered list, step by step.

    judge = Judge(terms, entries, now)      # ages by engine
    judge.use, judge.ask                    # at once; to be asked
    judge.heard(engine, answered); judge.waited()
    judge.stage, judge.use                  # what it has come to

The engines to use only grow while the list is out of reach; once it is back all of this is over.
"""

from __future__ import annotations

from enum import Enum

from thistlelever.recovery.ages import Age, Grade, Terms, grade, trust


class Stage(Enum):
    """Where a start stands."""

    ASKING = "asking"
    ASKING_LAST = "asking the oldest too"
    REMEMBERED = "by a remembered list"
    NOBODY = "nobody answers"
    LISTED = "by discovery"


class Judge:
    """Which of the remembered engines may be told to the decisions, and when."""

    def __init__(self, terms: Terms, ages: dict[bytes, Age]) -> None:
        self.terms, self.ages = terms, ages
        self.grades = {engine: grade(age, terms) for engine, age in ages.items()}
        self.answered: dict[bytes, bool] = {}
        self.use = {engine for engine, found in self.grades.items() if found is Grade.FRESH}
        self.ask = {engine for engine, found in self.grades.items() if found is Grade.ASKED}
        self.stage = Stage.REMEMBERED
        self.step()

    def step(self) -> None:
        """What follows from what has been heard."""
        if self.stage is Stage.LISTED:
            return
        open_ones = self.ask - self.answered.keys()
        if open_ones:
            self.stage = Stage.ASKING_LAST if self.last_asked() else Stage.ASKING
        elif self.use:
            self.stage = Stage.REMEMBERED
        elif not self.last_asked() and (last := self.of(Grade.LAST)):
            # Nothing better is left.
            self.ask |= last
            self.stage = Stage.ASKING_LAST
        else:
            self.stage = Stage.NOBODY

    def of(self, wanted: Grade) -> set[bytes]:
        return {engine for engine, found in self.grades.items() if found is wanted}

    def last_asked(self) -> bool:
        return bool(self.ask & self.of(Grade.LAST))

    def heard(self, engine: bytes, answered: bool) -> None:
        """Word of one that was asked; or of one in use that does not answer any more."""
        if engine not in self.grades or self.stage is Stage.LISTED:
            return
        self.answered[engine] = answered
        if answered and engine in self.ask:
            self.use.add(engine)
        self.step()

    def waited(self) -> None:
        """The time to answer is over: who has not is not there."""
        for engine in self.ask - self.answered.keys():
            self.answered[engine] = False
        self.step()

    def again(self) -> set[bytes]:
        """Nobody answered: all are asked once more after a while, as a list that is out of reach may come
        back later than an engine."""
        if self.stage is not Stage.NOBODY:
            return set()
        self.answered = {engine: said for engine, said in self.answered.items() if said}
        self.ask = set(self.grades)
        self.step()
        return self.ask

    def listed(self) -> None:
        """Discovery is back: it alone holds from now on."""
        self.stage = Stage.LISTED

    def show(self) -> dict:
        """Which source, how old, how sure."""
        return {
            "stage": self.stage.value,
            "used": len(self.use),
            "asked": len(self.ask),
            "answered": sum(self.answered.values()),
            "by_grade": {g.name.lower(): len(self.of(g)) for g in Grade},
            "oldest_s": max((round(a.most, 1) for a in self.ages.values() if a.most < 1e9), default=None),
            "sure": round(max((trust(self.ages[e], self.terms) for e in self.use), default=0.0), 3),
        }
