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
MAX_CANDIDATES = 4
# Answers in a row under old numbers before what they do not name as ready is closed: a single one came late.
CONTRADICTIONS = 2
# Seconds, and answers, after which a directory that goes on contradicting has begun its numbers anew. One
# that is only behind a configuration read again has caught up by then: all counts as told after 7 s.
CONTRADICTED_FOR, MIN_CONTRADICTIONS = 8.0, 4


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


class Decision(NamedTuple):
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
        self.denials = 0
        # The last answer under an old number, how many came in a row, and since when.
        self.contradiction: Answer | None = None
        self.contradictions, self.contradicting_since = 0, 0.0

    def receive(self, answer: Answer, current: Answer, now: float) -> Decision:
        """Take an answer; `current` is the list in force, `now` in seconds of a monotonic clock."""
        # A list without a number was remembered, not told.
        if answer.serial > current.serial or not current.serial or not current.entries:
            adopt = self.count_newer(answer) or not current.entries
        elif answer == current:
            adopt = False
            self.count_agreeing()
        else:
            adopt = self.count_contradicting(answer, now)
        if adopt:
            self.reset()
        return Decision(
            adopt, self.closed_engines(current), not self.candidates and self.contradiction is None
        )

    def count_newer(self, answer: Answer) -> bool:
        """Count an answer with a higher number; whether it is confirmed."""
        self.contradiction, self.contradictions, self.denials = None, 0, 0
        candidate = next((known for known in self.candidates if known.answer == answer), None)
        if candidate is None:
            candidate = Candidate(answer)
            self.candidates = [*self.candidates, candidate][-MAX_CANDIDATES:]
        candidate.confirmed += 1
        return candidate.confirmed >= CONFIRMATIONS

    def count_agreeing(self) -> None:
        """Count an answer that says the list in force."""
        self.contradiction, self.contradictions = None, 0
        self.denials += 1
        # A newer list is not dropped for one answer, which may be a late one from before it.
        if self.denials >= DENIALS:
            self.candidates = []

    def count_contradicting(self, answer: Answer, now: float) -> bool:
        """Count an answer that differs under an old number; whether the numbers have begun anew."""
        if not self.contradictions:
            self.contradicting_since = now
        self.contradiction = answer
        self.contradictions += 1
        lasting = now - self.contradicting_since >= CONTRADICTED_FOR
        return lasting and self.contradictions >= MIN_CONTRADICTIONS

    def closed_engines(self, current: Answer) -> frozenset[it.EngineId]:
        """The engines that the list in force names as ready and a list in doubt does not."""
        if not self.candidates and self.contradiction is None:
            return frozenset()
        unconfirmed = [candidate.answer for candidate in self.candidates]
        # An empty list under an old number is no word on any engine.
        if self.contradiction and self.contradictions >= CONTRADICTIONS and self.contradiction.entries:
            unconfirmed.append(self.contradiction)
        return frozenset(
            engine
            for engine, entry in current.entries.items()
            if current.ready(engine) and not all(other.ready_as(entry) for other in unconfirmed)
        )

    def reset(self) -> None:
        """Another list is in force: what was heard beside the old one counts no more."""
        self.candidates, self.denials = [], 0
        self.contradiction, self.contradictions = None, 0
