"""The input and the result of subsetting."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Engine(Protocol):
    """The fields of an engine's record that subsets depend on; `distribution.records.EngineRecord` has
    them."""

    @property
    def id(self) -> str:
        """The unique name of the engine."""

    @property
    def zone(self) -> str:
        """The zone of the engine."""

    @property
    def cell(self) -> int:
        """The deduplication cell: engines of one cell in a zone drop repeats of each other's queries."""

    @property
    def kind(self) -> str:
        """The kind of machine that the engine runs on."""

    @property
    def draining(self) -> bool:
        """Whether the engine accepts no new queries."""


class FrontIdentity(NamedTuple):
    """A front: its name, its zone, its rank among all fronts, and its rank among those of its zone, from 0. A
    rank of -1 is unknown: the CRC-32 of the name replaces `rank`, and `rank` replaces `zone_rank`."""

    name: str
    zone: str
    rank: int = -1
    zone_rank: int = -1


class Requirement(NamedTuple):
    """The zones and kinds of engines that a query class may run on; None for any."""

    zones: frozenset[str] | None
    kinds: frozenset[str] | None

    def matches(self, engine: Engine) -> bool:
        """Whether the query class may run on `engine`."""
        if self.zones is not None and engine.zone not in self.zones:
            return False
        return self.kinds is None or engine.kind in self.kinds


ANY_ENGINE = Requirement(None, None)


class SubsetParameters(NamedTuple):
    """Parameters that are the same for all fronts.

    `engines` is the approximate number of engines that a front holds (see `EngineRing`), `home_share` the
    fraction of them in the front's own zone, `least` the minimum number that meets each requirement
    and the minimum outside a single zone, and `fronts` the number of all fronts. `zone_fronts` is the number
    of fronts in the largest zone if every front knows its rank in its zone; with 0 ranks in zones are
    ignored."""

    engines: int = 96
    home_share: float = 0.5
    least: int = 4
    fronts: int = 1
    zone_fronts: int = 0


class Subset(NamedTuple):
    """The ids of the engines that a front holds, sorted. `fronts` is an upper bound of the number of fronts,
    itself included, that hold any one of them."""

    ids: tuple[str, ...]
    fronts: int
