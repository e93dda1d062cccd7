"""What subsets are asked for with, and what a subset is."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Engine(Protocol):
    """What subsets depend on of an engine's record (`distribution.records.EngineRecord` has it all)."""

    @property
    def id(self) -> str:
        """Its name."""

    @property
    def zone(self) -> str:
        """The zone that it is in."""

    @property
    def cell(self) -> int:
        """Which engines of its zone drop each other's repeats."""

    @property
    def kind(self) -> str:
        """The kind of machine."""

    @property
    def draining(self) -> bool:
        """Whether it takes nothing new."""


class FrontIdentity(NamedTuple):
    """A front: its name, its zone, its place among the tier's fronts, and among those of its zone. A rank of
    -1 is unknown: the name's CRC stands in for it, and the tier's rank for that in the zone."""

    name: str
    zone: str
    rank: int = -1
    zone_rank: int = -1


class Requirement(NamedTuple):
    """What some query class may run on; None: any."""

    zones: frozenset[str] | None
    kinds: frozenset[str] | None

    def matches(self, engine: Engine) -> bool:
        """Whether the query class may run on that engine."""
        if self.zones is not None and engine.zone not in self.zones:
            return False
        return self.kinds is None or engine.kind in self.kinds


ANY_ENGINE = Requirement(None, None)


class SubsetParameters(NamedTuple):
    """How many engines a front holds (about: see `EngineRing`), which share of them in its own zone, how many
    at least that meet each requirement, and how many fronts the tier has. `zone_fronts` is how many fronts
    the largest zone has, where every front knows its rank in its zone; 0 where they do not: then nobody's
    rank in a zone counts."""

    engines: int = 96
    home_share: float = 0.5
    least: int = 4
    fronts: int = 1
    zone_fronts: int = 0


class Subset(NamedTuple):
    """The engines that a front holds, sorted by id. `fronts` is the most fronts, itself included, that hold
    any one of them: an upper bound."""

    ids: tuple[str, ...]
    fronts: int
