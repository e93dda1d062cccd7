"""How a distributor becomes the publisher.

A claimant asks the distributors twice. First for the highest version that each has held or promised
(`Claim.record_highest`): a majority of answers, its own included, gives the term. Then for a promise of that term
(`promise`, `Claim.record_promise`): who gives it accepts nothing of an earlier term any more, and says which
version it holds. The claimant promises first. With a majority of promises it brings its replica to what
`Claim.newest_holder` holds (`catch_up`) and starts a `Publisher` of the term. A distributor stores its promise (the
replica's floor) before it answers.

Two claims at once: their terms differ, because each index has its own terms. Both may become publishers for
a while. A distributor that has promised the higher term refuses what comes of the lower one, and shows the
higher term with the refusal, whereupon the lower publisher steps down (`Publisher.observe`). A change that a
majority holds under the lower term is found by `newest_holder` of the higher one; a change that fewer hold may be
lost, and is replaced everywhere by what the higher term publishes. Never do two contents share a version.

A claim that was promised but went no further leaves those that promised with what they hold until the next
claim: they refuse the present publisher, which learns of it from the first refusal, steps down, and may claim
anew (`Claim.observe` tells the new claim what the refusal showed). Every distributor therefore shows
`Replica.highest` whenever it asks the publisher for something.

A publisher that restarts, also one restored from a backup, claims anew at every start and never goes on with
a stored term: it can't know what it published after the backup was made. Since a majority promised its former
term before it published anything in it, the new claim hears of that term and gets a higher one.

Restored state has forgotten promises. Until a distributor has heard from enough others since it started
(`Claim.term` of a claim with `remembers=False` is not None), it answers no claim and its own answer does not
count in its own; then it raises its floor to `Claim.highest` (`promise`). That covers one that has forgotten
at a time, or several if enough others remember; if most are restored at once, nobody can know which terms
there were, and the operator must have them start with a term that was never used.
"""

from __future__ import annotations

from thistlelever.distribution.messages import Update
from thistlelever.distribution.replica import Outcome, Replica
from thistlelever.distribution.versions import NO_VERSION, Version

# A term is a round and the index of the claimant: round * TERMS_PER_ROUND + index.
TERMS_PER_ROUND = 64


def majority(distributors: int) -> int:
    """How many of the distributors are more than half of them."""
    return distributors // 2 + 1


def promise(replica: Replica, term: int) -> bool:
    """A distributor's answer to the claim of a term: True if it promises to accept nothing older. It may be
    asked again, and answers the same as long as nothing newer came."""
    first = Version(term, 0)
    if replica.highest() > first:
        return False
    replica.floor = first
    return True


def catch_up(replica: Replica, update: Update) -> Outcome:
    """Gives a claimant the newest content that a majority told of. That is older than the term which the
    claimant itself has promised, so that the floor doesn't count here."""
    floor = replica.floor
    replica.floor = NO_VERSION
    try:
        return replica.receive(update)
    finally:
        replica.floor = floor


class Claim:
    """One attempt of the distributor `index` among `distributors` to become the publisher. `remembers` is
    False for one that may have forgotten promises: its own answer doesn't count then."""

    def __init__(self, index: int, distributors: int, *, remembers: bool = True) -> None:
        """The claim of one place among so many; `ValueError` for a place or a number that can't be."""
        if not 1 <= distributors <= TERMS_PER_ROUND:
            raise ValueError(f"1 to {TERMS_PER_ROUND} distributors expected, found {distributors}")
        _check_index(index, distributors)
        self._index = index
        self._distributors = distributors
        self._remembers = remembers
        self._responders: set[int] = set()
        self._promises: dict[int, Version] = {}
        self._highest = NO_VERSION
        self._fixed_term: int | None = None

    def record_highest(self, index: int, highest: Version) -> None:
        """The distributor `index`, which may be the claimant, has seen no version above `highest`
        (`Replica.highest`)."""
        _check_index(index, self._distributors)
        self._responders.add(index)
        self.observe(highest)

    def observe(self, version: Version) -> None:
        """Somebody has seen this version, but answers no question by it: it was shown with a refusal, or to a
        former claim or publisher of the claimant."""
        self._highest = max(self._highest, version)

    def term(self) -> int | None:
        """The term that is claimed; None until a majority has answered. The first promise fixes it, which is
        that of the claimant itself, before it asks others."""
        if self._fixed_term is not None:
            return self._fixed_term
        return self._next_term() if self._has_quorum() else None

    def superseded(self) -> bool:
        """Whether something above the fixed term was seen: this claim is best given up for a new one, since
        whoever has seen that refuses what is published in this term."""
        return self._fixed_term is not None and self._highest > Version(self._fixed_term, 0)

    def highest(self) -> Version:
        """The highest version that was heard of."""
        return self._highest

    def record_promise(self, index: int, held: Version) -> None:
        """The distributor `index` has promised the term and holds this version."""
        _check_index(index, self._distributors)
        self._fixed_term = self.term()
        if self._fixed_term is None:
            raise ValueError("a promise before there is a term")
        self._promises[index] = held

    def newest_holder(self) -> int | None:
        """Whose content the new publisher starts from; None until a majority has promised the term.

        It is the newest content that a promise told of, the claimant's own where several have that."""
        if len(self._promises) < majority(self._distributors):
            return None
        newest = max(self._promises.values())
        holders = [index for index, held in self._promises.items() if held == newest]
        return self._index if self._index in holders else min(holders)

    def _has_quorum(self) -> bool:
        """Whether the answers include one of every majority that may have promised an earlier term."""
        if self._remembers or self._distributors == 1:
            return len(self._responders) >= majority(self._distributors)
        others_in_majority = majority(self._distributors) - 1
        other_responders = len(self._responders - {self._index})
        return other_responders + others_in_majority > self._distributors - 1

    def _next_term(self) -> int:
        return (self._highest.term // TERMS_PER_ROUND + 1) * TERMS_PER_ROUND + self._index


def _check_index(index: int, distributors: int) -> None:
    if not 0 <= index < distributors:
        raise ValueError(f"a distributor of 0 to {distributors - 1} expected, found {index}")
