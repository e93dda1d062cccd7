"""How a distributor becomes the publisher: a claim in two phases.

In the first phase the claimant asks the distributors for the highest version that each has held or promised
(`Claim.record_highest`). A majority of replies, including its own, determines the term. In the second phase
it asks for a promise of that term (`promise`, `Claim.record_promise`): a distributor that promises accepts
nothing of an earlier term from then on, and replies with the version that it holds. The claimant promises
first. With a majority of promises it brings its replica to the content of `Claim.newest_holder` (`catch_up`)
and starts a `Publisher` of the term. A distributor stores its promise (the floor of its replica) before it
replies.

Concurrent claims have different terms, because each distributor index has its own terms. Both claimants may
be publishers for a while. A distributor that has promised the higher term refuses updates of the lower one
and returns the higher term with the refusal, upon which the lower publisher steps down (`Publisher.observe`).
A change of the lower term that a majority holds is found by `newest_holder` of the higher one. A change that
fewer distributors hold may be lost; the publisher of the higher term then replaces it everywhere. Two
contents never share a version.

If a claim has collected promises but does not complete, the distributors that promised keep their content
until the next claim and refuse the present publisher. The publisher learns of it from the first refusal,
steps down, and may claim again; `Claim.observe` passes the version from the refusal to the new claim. For
this reason each distributor sends `Replica.highest` with every request to the publisher.

A publisher that restarts, also from a backup, makes a new claim at every start and never resumes a stored
term: it cannot know what it published after the backup was made. A majority promised its former term before
it published anything in that term, so the new claim learns of the former term and chooses a higher one.

A distributor that starts with an empty store, or without one, may have lost promises and the content that it
held. Until it has replies from enough others since its start (until `Claim.term` of a claim with
`promises_intact=False` is not None) and the newest content among them, it promises no term that follows
another one, neither to others nor in its own claim; then it raises its floor to the term of `Claim.highest`
(`promise_recovery`). It replies to the first phase meanwhile: a low reply there only makes a term too low,
which those who remember a higher one refuse. This covers one such distributor at a time. If most have lost
their promises at once, nobody knows which terms existed, and the operator must start them with a term that
was never used. An old backup of a store is not recognised as such: remove the store instead of restoring it.
"""

from __future__ import annotations

from thistlelever.distribution.messages import Update
from thistlelever.distribution.replica import Outcome, Replica
from thistlelever.distribution.versions import NO_VERSION, Version

# A term combines a round and the claimant's index: round * TERMS_PER_ROUND + index.
TERMS_PER_ROUND = 64


def majority(distributors: int) -> int:
    """Returns the smallest number of distributors that is more than half of them."""
    return distributors // 2 + 1


def promise(replica: Replica, term: int) -> bool:
    """Promises to accept nothing older than `term`, by raising the floor of the replica.

    Returns False if the replica has held or promised something newer than the start of `term`. Idempotent: a
    repeated request for the same term is granted until something newer arrives."""
    first = Version(term, 0)
    if replica.highest() > first:
        return False
    replica.floor = first
    return True


def catch_up(replica: Replica, update: Update) -> Outcome:
    """Applies the newest content held by a majority to the replica of a claimant, ignoring its floor: this
    content is older than the term that the claimant itself has promised. The floor stays as it was."""
    floor = replica.floor
    replica.floor = NO_VERSION
    try:
        return replica.receive(update)
    finally:
        replica.floor = floor


class Claim:
    """One attempt of the distributor `index` among `distributors` to become the publisher. `promises_intact`
    is False if that distributor may have lost promises, for example after a restore from a backup; its own
    reply then does not count."""

    def __init__(self, index: int, distributors: int, *, promises_intact: bool = True) -> None:
        """Raises `ValueError` unless 1 <= `distributors` <= `TERMS_PER_ROUND` and 0 <= `index` <
        `distributors`."""
        if not 1 <= distributors <= TERMS_PER_ROUND:
            raise ValueError(f"1 to {TERMS_PER_ROUND} distributors expected, found {distributors}")
        _check_index(index, distributors)
        self._index = index
        self._distributors = distributors
        self._promises_intact = promises_intact
        self._responders: set[int] = set()
        self._promises: dict[int, Version] = {}
        self._highest = NO_VERSION
        self._fixed_term: int | None = None

    def record_highest(self, index: int, highest: Version) -> None:
        """Records the reply of the first phase of distributor `index`, which may be the claimant itself: it
        has held or promised no version above `highest` (`Replica.highest`)."""
        _check_index(index, self._distributors)
        self._responders.add(index)
        self.observe(highest)

    def observe(self, version: Version) -> None:
        """Records a version that exists elsewhere but is no reply of the first phase: it came with a refusal,
        or was seen by an earlier claim or publisher of the claimant."""
        self._highest = max(self._highest, version)

    def term(self) -> int | None:
        """The term that is claimed, or None until enough distributors have replied. The first promise fixes
        it, which is the claimant's own, given before it asks others."""
        if self._fixed_term is not None:
            return self._fixed_term
        return self._next_term() if self._has_quorum() else None

    def others_needed(self) -> int:
        """The number of other distributors whose replies of the first phase fix the term: with the claimant,
        a majority; without its own reply, so many that every majority has one of them."""
        others_in_majority = majority(self._distributors) - 1
        if self._promises_intact or self._distributors == 1:
            return others_in_majority
        return self._distributors - others_in_majority

    def responders(self) -> int:
        """The number of replies of the first phase, with the claimant's own."""
        return len(self._responders)

    def superseded(self) -> bool:
        """Whether a version above the fixed term was observed. The claim should then be abandoned for a new
        one, since distributors that have seen that version refuse updates of this term."""
        return self._fixed_term is not None and self._highest > Version(self._fixed_term, 0)

    def highest(self) -> Version:
        """The highest version observed so far."""
        return self._highest

    def record_promise(self, index: int, held: Version) -> None:
        """Records that distributor `index` promised the term and holds version `held`. Raises `ValueError`
        while there is no term."""
        _check_index(index, self._distributors)
        self._fixed_term = self.term()
        if self._fixed_term is None:
            raise ValueError("a promise before there is a term")
        self._promises[index] = held

    def newest_holder(self) -> int | None:
        """The index of the distributor whose content the new publisher starts from; None until a majority has
        promised the term.

        This is the newest content reported with a promise: the claimant's own if it is among the newest,
        otherwise that of the lowest index."""
        if len(self._promises) < majority(self._distributors):
            return None
        newest = max(self._promises.values())
        holders = [index for index, held in self._promises.items() if held == newest]
        return self._index if self._index in holders else min(holders)

    def _has_quorum(self) -> bool:
        """Whether the replies include a member of every majority that may have promised an earlier term."""
        if self._promises_intact or self._distributors == 1:
            return len(self._responders) >= majority(self._distributors)
        return len(self._responders - {self._index}) >= self.others_needed()

    def _next_term(self) -> int:
        return (self._highest.term // TERMS_PER_ROUND + 1) * TERMS_PER_ROUND + self._index


def _check_index(index: int, distributors: int) -> None:
    if not 0 <= index < distributors:
        raise ValueError(f"a distributor of 0 to {distributors - 1} expected, found {index}")
