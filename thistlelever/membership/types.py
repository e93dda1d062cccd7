"""Values passed between the failure detector and `carrier.members`, which drives it."""

from __future__ import annotations

from typing import NamedTuple

from thistlelever.wire.peers import Message, State

Address = tuple[str, int]


class Identity(NamedTuple):
    """This front. `life` is its start time in eighths of a second, so that a restarted process under the same
    name has a larger one.
    """

    name: str
    address: Address
    life: int


class TierSettings(NamedTuple):
    """What the configuration says about the tier: addresses of other fronts, and the number of fronts.

    `peers` may contain this front's own address. `fronts` is used as long as this front is isolated.
    """

    peers: tuple[Address, ...]
    fronts: int


class Send(NamedTuple):
    """A message to send to an address."""

    address: Address
    message: Message


class Change(NamedTuple):
    """A state change of one member: `by` whom and over which `path` it was learned, and for a death how many
    seconds `late` after the suspicion began.
    """

    at: float
    name: str
    state: State
    was: State | None
    by: str
    path: str
    late: float


class View(NamedTuple):
    """What callers may act on. While `isolation_reason` is not empty, the view must not be acted on and
    `fronts` is the configured number.
    """

    isolation_reason: str
    # Number of fronts including this one; recent deaths still count.
    fronts: int
    alive: int
    suspected: int
    unfit: int
