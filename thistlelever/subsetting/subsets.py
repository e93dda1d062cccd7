"""Selects the engines of each front, where there are too many for each front to hold all."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from heapq import merge
from math import isqrt
from zlib import crc32

from thistlelever.subsetting.arc_widths import ArcWidths
from thistlelever.subsetting.fan_in import FanInBounds
from thistlelever.subsetting.index import EngineIndex
from thistlelever.subsetting.ring import RING_SIZE, FrontPositions
from thistlelever.subsetting.types import (
    ANY_ENGINE,
    Engine,
    FrontIdentity,
    Requirement,
    Subset,
    SubsetParameters,
)

# Steps of the front positions: the fractional parts of the golden ratio and of the square root of 2, times
# the ring.
GLOBAL_STEP = (isqrt(5 * RING_SIZE * RING_SIZE) - RING_SIZE) // 2
ZONE_STEP = isqrt(2 * RING_SIZE * RING_SIZE) - RING_SIZE


class EngineRing:
    """All engines, sorted by position on rings, and the subset of each front.

    A front holds the engines on two arcs: one on the ring of its own zone, one on the ring of all engines. An
    arc has a fixed width rather than a fixed number of engines, so that each engine is held by the same
    number of fronts, and a front holds about `parameters.engines`. The width depends on the number of
    engines, including draining ones. Engines beyond the arcs are added, nearest first, only if the arcs
    contain too few ready engines, too few for a requirement, or too few outside a single zone.

    A subset depends only on the records, the parameters, the front's identity and its requirements. The bound
    `Subset.fronts` assumes that each front has a unique rank below `parameters.fronts` and that all fronts
    have the same requirements.
    """

    def __init__(self, parameters: SubsetParameters) -> None:
        """Creates a ring without engines."""
        self.parameters = parameters
        self._index = EngineIndex()
        self._fronts = FrontPositions(GLOBAL_STEP, parameters.fronts)
        self._home_fronts = FrontPositions(ZONE_STEP, parameters.zone_fronts or parameters.fronts)
        # Values shared by all subsets of one revision, by `whole_cells` and by requirements.
        self._derived_revision = -1
        self._widths: dict[bool, ArcWidths] = {}
        self._bounds: dict[tuple[tuple[Requirement, ...], bool], FanInBounds] = {}

    def __len__(self) -> int:
        """The number of engines."""
        return len(self._index.records)

    @property
    def revision(self) -> int:
        """A number that increases with each change that can alter a subset. Changes of an address, a weight
        or a start time alter no subset."""
        return self._index.revision

    def put(self, record: Engine) -> None:
        """Adds an engine, or replaces its record."""
        self._index.put(record)

    def discard(self, engine_id: str) -> None:
        """Removes an engine; does nothing if it is not on the ring."""
        self._index.discard(engine_id)

    def subset(
        self, front: FrontIdentity, requirements: tuple[Requirement, ...], whole_cells: bool
    ) -> Subset:
        """The engines that a front holds, with an upper bound of the number of fronts that hold any one of
        them."""
        ids = self.ids(front, requirements, whole_cells)
        return Subset(ids, self.max_fronts(front, ids, requirements, whole_cells))

    def ids(
        self, front: FrontIdentity, requirements: tuple[Requirement, ...], whole_cells: bool
    ) -> tuple[str, ...]:
        """The ids of the engines that a front holds, sorted. With `whole_cells` each selected engine brings
        the next one of its cell."""
        records = self._index.records
        if len(records) <= self.parameters.engines:
            return tuple(sorted(records))
        widths = self._current_widths(whole_cells)
        rank = front.rank if front.rank >= 0 else crc32(front.name.encode())
        start = self._fronts.position(rank)
        held = self._engines_on_arcs(front, rank, start, widths)
        self._add_missing(held, self.parameters.least - len(held), self._index.all.iter_from(start))
        self._ensure_matching(held, ANY_ENGINE, widths.min_ready, start)
        for requirement in requirements:
            self._ensure_matching(held, requirement, self.parameters.least, start)
        self._ensure_outside_zone(held, start)
        if whole_cells:
            held.update(dict.fromkeys([self._index.next_in_cell(engine_id) for engine_id in held]))
        return tuple(sorted(held))

    def max_fronts(
        self,
        front: FrontIdentity,
        ids: tuple[str, ...],
        requirements: tuple[Requirement, ...],
        whole_cells: bool,
    ) -> int:
        """An upper bound of the number of fronts that hold any one of the engines `ids` of `front`."""
        fronts, zone_fronts = self.parameters.fronts, self.parameters.zone_fronts
        unknown_at_home = zone_fronts and not 0 <= front.zone_rank < zone_fronts
        holds_all = len(self._index.records) <= self.parameters.engines
        if holds_all or not 0 <= front.rank < fronts or unknown_at_home:
            return fronts
        bounds = self._current_bounds(requirements, whole_cells)
        return min(max(bounds.max_holders(engine_id, whole_cells) for engine_id in ids), fronts)

    def _discard_stale(self) -> None:
        """Drops values derived from an earlier revision."""
        if self._derived_revision != self._index.revision:
            self._derived_revision = self._index.revision
            self._widths.clear()
            self._bounds.clear()

    def _current_widths(self, whole_cells: bool) -> ArcWidths:
        self._discard_stale()
        widths = self._widths.get(whole_cells)
        if widths is None:
            widths = self._widths[whole_cells] = ArcWidths(self._index, self.parameters, whole_cells)
        return widths

    def _current_bounds(self, requirements: tuple[Requirement, ...], whole_cells: bool) -> FanInBounds:
        widths = self._current_widths(whole_cells)
        bounds = self._bounds.get((requirements, whole_cells))
        if bounds is None:
            bounds = FanInBounds(self._index, widths, requirements, self._fronts, self._home_fronts)
            self._bounds[requirements, whole_cells] = bounds
        return bounds

    def _engines_on_arcs(
        self, front: FrontIdentity, rank: int, start: int, widths: ArcWidths
    ) -> dict[str, None]:
        """The engines on both arcs, as the keys of a dict, which keeps their order."""
        held = dict.fromkeys(self._index.all.arc(start, widths.global_width(front.zone)))
        home = self._index.zones.get(front.zone)
        if home is not None:
            # All fronts of a zone must use the same kind of rank: with both kinds two fronts could share a
            # position.
            by_zone = self.parameters.zone_fronts and front.zone_rank >= 0
            home_rank = front.zone_rank if by_zone else rank
            home_start = self._home_fronts.position(home_rank)
            held.update(dict.fromkeys(home.arc(home_start, widths.home_width(front.zone))))
        return held

    def _add_missing(
        self, held: dict[str, None], missing: int, candidates: Iterable[tuple[int, str]]
    ) -> None:
        """Adds the first `missing` engines of `candidates` that are not held yet."""
        if missing <= 0:
            return
        for _, engine_id in candidates:
            if engine_id not in held:
                held[engine_id] = None
                missing -= 1
                if missing <= 0:
                    return

    def _ensure_matching(
        self, held: dict[str, None], requirement: Requirement, least: int, start: int
    ) -> None:
        """Adds ready engines until `least` of those held meet the requirement."""
        missing = least
        for engine_id in held:
            record = self._index.records[engine_id]
            if not record.draining and requirement.matches(record):
                missing -= 1
                if missing <= 0:
                    return
        self._add_missing(held, missing, self._index.matching(requirement).iter_from(start))

    def _ensure_outside_zone(self, held: dict[str, None], start: int) -> None:
        """Adds ready engines until `least` of those held are outside the zone with most of the ready ones."""
        records = self._index.records
        zones = Counter(records[engine_id].zone for engine_id in held if not records[engine_id].draining)
        if not zones:
            return
        largest_zone = max(zones, key=lambda zone: (zones[zone], zone))
        missing = self.parameters.least - (zones.total() - zones[largest_zone])
        self._add_missing(held, missing, self._ready_outside(largest_zone, start))

    def _ready_outside(self, zone: str, start: int) -> Iterator[tuple[int, str]]:
        """Yields the ready engines outside a zone with their distances, nearest after `start` first."""
        rings = [ring.iter_from(start) for name, ring in self._index.zones.items() if name != zone]
        for distance, engine_id in merge(*rings):
            if not self._index.records[engine_id].draining:
                yield distance, engine_id
