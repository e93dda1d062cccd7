"""Decides which of the directory's answers is the engine list in force.

Datagrams may arrive late, twice or damaged, and the directory restarts its serials whenever a front starts.
The highest serial alone therefore does not identify the newest answer: an answer made for this front before
its restart has a higher serial and older states. A newer list comes into force once two answers agree. Until
then, and while answers contradict the list in force, no new dispatch goes to an engine that one of them does
not list as ready.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from thistlelever.ground import interface as it
from thistlelever.ground.config import Entry

# Equal answers after which a newer list is in force.
CONFIRMATIONS = 2
# Answers equal to the list in force after which unconfirmed newer lists are dropped.
DENIALS = 3
# Maximum number of newer lists that await confirmation at the same time.
MAX_CANDIDATES = 4
# Consecutive contradicting answers with old serials after which engines that they do not list as ready are
# closed. A single one may just be late.
CONTRADICTIONS = 2
# Seconds and number of contradicting answers after which the directory counts as having restarted its
# serials. A directory that only lags behind a reloaded configuration has caught up by then: all it lists
# counts as known after 7 s.
CONTRADICTED_FOR, MIN_CONTRADICTIONS = 8.0, 4


class Answer(NamedTuple):
    """An engine list: its serial, and its entries by engine id."""

    serial: int
    entries: dict[it.EngineId, Entry]

    def ready(self, engine: it.EngineId) -> bool:
        """Return whether the list has the engine as ready."""
        return engine in self.entries and self.entries[engine].engine.state is it.EngineState.READY

    def ready_as(self, entry: Entry) -> bool:
        """Return whether the list has the engine as ready, with the same address and start time.

        A restarted engine is cold; the decisions learn of that only when the list is in force.
        """
        if not self.ready(entry.engine.id):
            return False
        own = self.entries[entry.engine.id]
        return (own.address, own.engine.started) == (entry.address, entry.engine.started)


def differing_fields(answer: Answer, current: Answer) -> dict[str, list[str]]:
    """Return by engine which fields differ between two lists, of the engines that both have."""
    differing = {}
    for engine in answer.entries.keys() & current.entries.keys():
        one, other = answer.entries[engine], current.entries[engine]
        fields = [
            name for name in one.engine._fields if getattr(one.engine, name) != getattr(other.engine, name)
        ]
        if one.address != other.address:
            fields.append("address")
        if fields:
            differing[engine.decode("latin-1")] = fields
    return differing


class Decision(NamedTuple):
    """The result of an answer.

    `adopt`: its list is in force now. `closed`: engines that get no new dispatches although the list in force
    has them as ready. `settled`: no further query is needed at once.
    """

    adopt: bool
    closed: frozenset[it.EngineId]
    settled: bool


@dataclass(slots=True)
class Candidate:
    """A list with a higher serial, and the number of answers with it."""

    answer: Answer
    confirmed: int = 0


class ListAgreement:
    """Compares each answer with the list in force and with previous answers."""

    def __init__(self) -> None:
        """Start without answers."""
        # Newer lists that await confirmation, and the answers since the last of them that equal the list in
        # force.
        self.candidates: list[Candidate] = []
        self.denials = 0
        # The last contradicting answer with an old serial, the number of consecutive ones, and since when.
        self.contradiction: Answer | None = None
        self.contradictions, self.contradicting_since = 0, 0.0

    def receive(self, answer: Answer, current: Answer, now: float) -> Decision:
        """Process an answer; `current` is the list in force, `now` is in seconds of a monotonic clock."""
        # A list without a serial was restored from stored state, not received.
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
        """Count an answer with a higher serial; return whether it is confirmed."""
        self.contradiction, self.contradictions, self.denials = None, 0, 0
        candidate = next((known for known in self.candidates if known.answer == answer), None)
        if candidate is None:
            candidate = Candidate(answer)
            self.candidates = [*self.candidates, candidate][-MAX_CANDIDATES:]
        candidate.confirmed += 1
        return candidate.confirmed >= CONFIRMATIONS

    def count_agreeing(self) -> None:
        """Count an answer that equals the list in force."""
        self.contradiction, self.contradictions = None, 0
        self.denials += 1
        # A single answer does not drop a newer list, as it may be a late one from before that list.
        if self.denials >= DENIALS:
            self.candidates = []

    def count_contradicting(self, answer: Answer, now: float) -> bool:
        """Count a different answer with an old serial; return whether the directory restarted its serials."""
        if not self.contradictions:
            self.contradicting_since = now
        self.contradiction = answer
        self.contradictions += 1
        lasting = now - self.contradicting_since >= CONTRADICTED_FOR
        return lasting and self.contradictions >= MIN_CONTRADICTIONS

    def closed_engines(self, current: Answer) -> frozenset[it.EngineId]:
        """Return the engines that are ready in the list in force but not in an unconfirmed list."""
        if not self.candidates and self.contradiction is None:
            return frozenset()
        unconfirmed = [candidate.answer for candidate in self.candidates]
        # An empty list with an old serial says nothing about any engine.
        if self.contradiction and self.contradictions >= CONTRADICTIONS and self.contradiction.entries:
            unconfirmed.append(self.contradiction)
        return frozenset(
            engine
            for engine, entry in current.entries.items()
            if current.ready(engine) and not all(other.ready_as(entry) for other in unconfirmed)
        )

    def reset(self) -> None:
        """Drop unconfirmed and contradicting answers, as another list is in force."""
        self.candidates, self.denials = [], 0
        self.contradiction, self.contradictions = None, 0
