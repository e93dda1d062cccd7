"""How a distributor that may have lost its promises and its content, because its store was empty when it
started, learns enough from the others to answer claims again.

A term that was claimed was promised by a majority, and a confirmed change is held by one. Once enough others
have replied to include a member of each such majority, the highest version among their replies is at least as
high as any lost promise that counted, and the newest content among them contains every confirmed change. In a
new tier all of them reply with `NO_VERSION`: nothing was lost.

This covers one distributor at a time: if several have lost their promises, the replies may all come from
distributors that know nothing of the newest term.
"""

from __future__ import annotations

from thistlelever.distribution.claim import TERMS_PER_ROUND, Claim
from thistlelever.distribution.versions import NO_VERSION, Version

# The round of the terms that are claimed if no distributor that replied knows of an earlier one.
FIRST_ROUND = 1


def may_promise_unrecovered(term: int) -> bool:
    """Whether a distributor that may have lost promises may still promise `term`.

    Its claimant has lost promises too, or never had any, so that it has replies from enough others, and none
    of them knows of an earlier term. A new tier could not start without this."""
    return term // TERMS_PER_ROUND <= FIRST_ROUND


class PromiseRecovery:
    """The replies to the distributor `index` among `distributors` since it started."""

    def __init__(self, index: int, distributors: int) -> None:
        """Starts without replies. Raises `ValueError` for the same arguments as `Claim`."""
        self._claim = Claim(index, distributors, promises_intact=False)
        self._claim.record_highest(index, NO_VERSION)
        self._newest_held = NO_VERSION
        self._newest_holder: int | None = None

    def record(self, index: int, held: Version, highest: Version) -> None:
        """Records the reply of another distributor, which holds `held` and has seen no version above
        `highest`."""
        self._claim.record_highest(index, highest)
        if held > self._newest_held:
            self._newest_held, self._newest_holder = held, index

    def has_quorum(self) -> bool:
        """Whether the replies include a member of every majority that may have promised an earlier term."""
        return self._claim.term() is not None

    def floor(self) -> Version:
        """The highest promise that may have been lost, by the replies so far."""
        return Version(self._claim.highest().term, 0)

    def content_source(self, held: Version) -> int | None:
        """The index of the distributor that holds the newest content, or None if version `held`, which this
        distributor holds itself, is as new."""
        return self._newest_holder if self._newest_held > held else None
