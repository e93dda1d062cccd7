"""Which of the directory's answers is the engine list in force.

Datagrams come late, twice or damaged, and the directory numbers its lists anew whenever a front starts. So a
serial alone does not make an answer the newest: one that was made for this front before its restart carries
a higher number and older states. A newer list is in force once two answers say the same. Until then, and
while answers contradict the list in force, nothing new goes to an engine that one of them does not name as
ready.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from thistlelever.ground import interface as it
from thistlelever.ground.config import Entry

# Answers that must say the same before a newer list is in force.
CONFIRMATIONS = 2
# Answers that say the list in force before newer ones are dropped that nobody has confirmed.
DENIALS = 3
# Newer lists that may await confirmation beside each other.
MOST_CANDIDATES = 4
# Answers in a row under old numbers before what they do not name as ready is closed: a single one came late.
CONTRADICTIONS = 2
# Seconds, and answers, after which a directory that goes on contradicting has begun its numbers anew. One
# that is only behind a configuration read again has caught up by then: all counts as told after 7 s.
CONTRADICTED_FOR, CONTRADICTED_OFTEN = 8.0, 4


class Answer(NamedTuple):
    """One list: its number, and its engines by their ids."""

    serial: int
    entries: dict[it.EngineId, Entry]

    def ready(self, engine: it.EngineId) -> bool:
        """Whether the list names the engine as ready."""
        return engine in self.entries and self.entries[engine].engine.state is it.EngineState.READY

    def ready_as(self, entry: Entry) -> bool:
        """Whether the list names that engine as ready, at its address and since its start. One that was
        started anew is cold, and the decisions are told so once the list is in force."""
        if not self.ready(entry.engine.id):
            return False
        own = self.entries[entry.engine.id]
        return (own.address, own.engine.started) == (entry.address, entry.engine.started)


class Step(NamedTuple):
    """What follows from an answer: whether its list is in force now; the engines that nothing new may be sent
    to although the list in force names them as ready; whether there is nothing to ask again at once."""

    adopt: bool
    closed: frozenset[it.EngineId]
    settled: bool


@dataclass(slots=True)
class Candidate:
    """A list with a higher number, and how many answers said so."""

    answer: Answer
    confirmed: int = 0


class ListAgreement:
    """Compares each answer with the list in force and with the answers before it."""

    def __init__(self) -> None:
        """Nothing has been heard."""
        # Newer lists that await confirmation, and the answers since the last of them that deny them.
        self.candidates: list[Candidate] = []
        self.denied = 0
        # The last answer under an old number, how many came in a row, and since when.
        self.contrary: Answer | None = None
        self.contradicted, self.contradicted_since = 0, 0.0

    def heard(self, answer: Answer, held: Answer, now: float) -> Step:
        """Take an answer; `held` is the list in force, `now` in seconds of a clock that does not go back."""
        # A list without a number was remembered, not told.
        if answer.serial > held.serial or not held.serial or not held.entries:
            adopt = self.heard_newer(answer) or not held.entries
        elif answer == held:
            adopt = False
            self.heard_held()
        else:
            adopt = self.heard_contrary(answer, now)
        if adopt:
            self.forget()
        return Step(adopt, self.closed(held), not self.candidates and self.contrary is None)

    def heard_newer(self, answer: Answer) -> bool:
        """Count an answer with a higher number; whether it is confirmed."""
        self.contrary, self.contradicted, self.denied = None, 0, 0
        candidate = next((known for known in self.candidates if known.answer == answer), None)
        if candidate is None:
            candidate = Candidate(answer)
            self.candidates = [*self.candidates, candidate][-MOST_CANDIDATES:]
        candidate.confirmed += 1
        return candidate.confirmed >= CONFIRMATIONS

    def heard_held(self) -> None:
        """Count an answer that says the list in force."""
        self.contrary, self.contradicted = None, 0
        self.denied += 1
        # A newer list is not dropped for one answer, which may be a late one from before it.
        if self.denied >= DENIALS:
            self.candidates = []

    def heard_contrary(self, answer: Answer, now: float) -> bool:
        """Count an answer that differs under an old number; whether the numbers have begun anew."""
        if not self.contradicted:
            self.contradicted_since = now
        self.contrary = answer
        self.contradicted += 1
        lasting = now - self.contradicted_since >= CONTRADICTED_FOR
        return lasting and self.contradicted >= CONTRADICTED_OFTEN

    def closed(self, held: Answer) -> frozenset[it.EngineId]:
        """The engines that the list in force names as ready and a list in doubt does not."""
        if not self.candidates and self.contrary is None:
            return frozenset()
        doubts = [candidate.answer for candidate in self.candidates]
        # An empty list under an old number is no word on any engine.
        if self.contrary and self.contradicted >= CONTRADICTIONS and self.contrary.entries:
            doubts.append(self.contrary)
        return frozenset(
            engine
            for engine, entry in held.entries.items()
            if held.ready(engine) and not all(doubt.ready_as(entry) for doubt in doubts)
        )

    def forget(self) -> None:
        """Another list is in force: what was heard beside the old one counts no more."""
        self.candidates, self.denied = [], 0
        self.contrary, self.contradicted = None, 0
