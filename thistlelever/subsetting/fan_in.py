"""How many fronts can hold an engine."""

from __future__ import annotations

from bisect import bisect_left

from thistlelever.subsetting.arc_widths import ArcWidths
from thistlelever.subsetting.index import EngineIndex
from thistlelever.subsetting.ring import RING_SIZE, FrontPositions
from thistlelever.subsetting.types import ANY_ENGINE, Requirement

# How many engines a bound looks back over for a second zone, before it counts every front.
MAX_LOOKBACK = 256


class FanInBounds:
    """Upper bounds of how many fronts hold each engine, at one revision of the index, where all fronts ask
    for the same requirements."""

    def __init__(
        self,
        index: EngineIndex,
        widths: ArcWidths,
        requirements: tuple[Requirement, ...],
        fronts: FrontPositions,
        home_fronts: FrontPositions,
    ) -> None:
        """Of these engines, arcs and requirements; `fronts` and `home_fronts` are where fronts lie."""
        self._index, self._widths = index, widths
        self._fronts, self._home_fronts = fronts, home_fronts
        self._ready = index.matching(ANY_ENGINE)
        self._requirements = [(requirement, index.matching(requirement)) for requirement in requirements]
        self._selecting_by_engine: dict[str, int] = {}

    def max_holders(self, engine_id: str, whole_cells: bool) -> int:
        """How many fronts hold an engine at most."""
        count = self._max_selecting(engine_id)
        if whole_cells:
            count += self._max_selecting(self._index.previous_in_cell(engine_id))
        return count

    def _max_selecting(self, engine_id: str) -> int:
        """How many fronts at most hold an engine otherwise than as another's partner: those on whose arcs it
        is, and those that could come to it while they look for further engines."""
        count = self._selecting_by_engine.get(engine_id)
        if count is None:
            position = self._index.positions[engine_id]
            zone = self._index.records[engine_id].zone
            count = self._fronts.count(position, self._max_distance(engine_id, position))
            count += self._home_fronts.count(position, self._widths.home_width(zone))
            self._selecting_by_engine[engine_id] = count
        return count

    def _max_distance(self, engine_id: str, position: int) -> int:
        """How far back a front can be that comes to an engine on the ring of all."""
        least, width = self._widths.parameters.least, self._widths.max_global_width()
        record = self._index.records[engine_id]
        if record.draining:
            return max(width, self._index.all.distance_back(position, least))
        for requirement, ring in self._requirements:
            if requirement.matches(record):
                width = max(width, ring.distance_back(position, least))
        if self._arcs_suffice(position, width):
            return width
        width = max(width, self._index.all.distance_back(position, least))
        width = max(width, self._ready.distance_back(position, self._widths.min_ready))
        return max(width, self._distance_outside_zone(position))

    def _arcs_suffice(self, position: int, width: int) -> bool:
        """Whether within `width` before `position` there are surely enough ready engines, and enough zones:
        the usual case, told at little cost. False where it takes a closer look."""
        ready, least = self._ready, self._widths.parameters.least
        end, enough = bisect_left(ready.positions, position), max(self._widths.min_ready, 2 * least)
        if end < enough or position - ready.positions[end - enough] > width:
            return False
        zones = {self._index.records[engine_id].zone for engine_id in ready.ids[end - 2 * least : end]}
        return len(zones) > least

    def _distance_outside_zone(self, position: int) -> int:
        """How far back there are `least` ready engines outside any one zone."""
        ready, records = self._ready, self._index.records
        zones: dict[str, int] = {}
        most, end = 0, bisect_left(ready.positions, position)
        for back in range(1, min(len(ready), MAX_LOOKBACK)):
            zone = records[ready.ids[end - back]].zone
            zones[zone] = zones.get(zone, 0) + 1
            most = max(most, zones[zone])
            if back - most >= self._widths.parameters.least:
                return (position - ready.positions[end - back]) % RING_SIZE
        return RING_SIZE
