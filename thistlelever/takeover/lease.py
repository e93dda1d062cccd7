"""One batch in hand as its owner knows it, and one question about it that is out to its places."""

from __future__ import annotations

from enum import Enum

from thistlelever.takeover.facts import Address, TakeoverConfig
from thistlelever.wire.work import Message, Owner, RunState, RunStatus, Verb


class Phase(Enum):
    """Whose the batch is."""

    ASKING = "asking"
    OWNED = "owned"
    # Another has taken it over, or it was handed over; nothing more may be done for it here.
    LOST = "lost"
    CLOSED = "closed"


class RunEnd(Enum):
    """How one dispatch ended, as far as it matters here."""

    NEVER_RAN = "never ran"
    RETURNED = "returned"
    UNKNOWN = "unknown"


class PendingRequest:
    """A claim or a put, from its first sending to a majority's answer or its end."""

    __slots__ = ("verb", "nonce", "word", "at", "due", "pause", "waited", "regains", "yes", "no")

    def __init__(
        self, word: Message, now: float, due: float, pause: float, waited: bool, regains: bool
    ) -> None:
        self.verb, self.nonce, self.word = word.verb, word.nonce, word
        self.at, self.due, self.pause = now, due, pause
        # Whether the batch's path waits for the answer; whether it wins back what an heir has.
        self.waited, self.regains = waited, regains
        self.yes: dict[Address, Message] = {}
        self.no: dict[Address, Message] = {}


class Lease:
    """One submission that is open at this front: what its places know of it, and until when it is surely this
    front's. `marked`: a client can come back for it."""

    def __init__(
        self, key: bytes, owner: Owner, group: int, limit_at: float, places: tuple[Address, ...], marked: bool
    ) -> None:
        self.key, self.owner, self.group, self.limit_at = key, owner, group, limit_at
        self.places, self.marked = places, marked
        self.need = len(places) // 2 + 1 if marked else 1
        self.phase, self.epoch, self.step = Phase.ASKING, 0, 0
        self.state, self.engine, self.txn, self.number, self.ran_at = RunState.HELD, "", b"", 0, 0.0
        # The first dispatch that may have run: engine, id and number there, when. What comes after it hangs
        # on it.
        self.first: tuple[str, bytes, int, float] | None = None
        self.lease_till, self.sure_at, self.told = 0.0, 0.0, False
        # Why it is not protected, or empty; whether it is an heir's.
        self.bare, self.heir = "", False
        self.question: PendingRequest | None = None
        self.tries = 0
        # What an earlier question of the same submission brought.
        self.heard: RunStatus | None = None

    def value(self, now: float) -> RunStatus:
        self.step += 1
        left = max(round((self.limit_at - now) * 1e3), 0)
        ran = max(round((now - self.ran_at) * 1e3), 0) if self.state is not RunState.HELD else 0
        return RunStatus(
            self.epoch, self.step, self.state, self.group, left, self.engine, self.txn, ran, self.number
        )

    def found(self, now: float, value: RunStatus) -> None:
        """What another front had begun is this one's from now on."""
        self.state, self.engine, self.txn, self.number = value.state, value.engine, value.txn, value.number
        self.ran_at = now - value.ran_ms / 1e3
        self.first = value.engine, value.txn, value.number, self.ran_at

    def goes_out(self, now: float, engine: str, txn: bytes, number: int) -> None:
        """A dispatch is about to go there."""
        if self.first is None:
            self.ran_at = now
        self.state, self.engine, self.txn, self.number = RunState.OUT, engine, txn, number

    def came_back(self, run: RunEnd) -> None:
        """That dispatch has ended."""
        if run is RunEnd.NEVER_RAN:
            if self.first:
                self.engine, self.txn, self.number, self.ran_at = self.first
                self.state = RunState.UNKNOWN
            else:
                self.state, self.engine, self.txn, self.number = RunState.HELD, "", b"", 0
            return
        self.first = self.first or (self.engine, self.txn, self.number, self.ran_at)
        self.state = RunState.RETURNED if run is RunEnd.RETURNED else RunState.UNKNOWN

    def holds(self, now: float) -> bool:
        """Whether it surely is this front's at this moment, without asking."""
        return bool(self.bare) or not self.marked or self.phase is Phase.OWNED and now < self.lease_till


def asked(
    ward: Lease, verb: Verb, nonce: int, value: RunStatus | None, terms: TakeoverConfig, lease: bool = True
) -> Message:
    """The question as it goes to each place."""
    ms = round(terms.lease * 1e3) if lease else 0
    return Message(verb, nonce, ward.key, ward.epoch, ward.owner, value, ms, ward.heir)
