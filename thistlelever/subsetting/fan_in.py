"""Upper bounds of the number of fronts that hold an engine."""

from __future__ import annotations

from bisect import bisect_left

from thistlelever.subsetting.arc_widths import ArcWidths
from thistlelever.subsetting.index import EngineIndex
from thistlelever.subsetting.ring import RING_SIZE, FrontPositions
from thistlelever.subsetting.types import ANY_ENGINE, Requirement

# Engines examined in the search for other zones; beyond them the bound counts every front.
MAX_LOOKBACK = 256


class FanInBounds:
    """Upper bounds of the number of fronts that hold each engine, at one revision of the index, if all fronts
    have the same requirements."""

    def __init__(
        self,
        index: EngineIndex,
        widths: ArcWidths,
        requirements: tuple[Requirement, ...],
        fronts: FrontPositions,
        home_fronts: FrontPositions,
    ) -> None:
        """`fronts` and `home_fronts` are the positions of fronts on the ring of all engines and on those of
        zones."""
        self._index, self._widths = index, widths
        self._fronts, self._home_fronts = fronts, home_fronts
        self._ready = index.matching(ANY_ENGINE)
        self._requirements = [(requirement, index.matching(requirement)) for requirement in requirements]
        self._selecting_by_engine: dict[str, int] = {}

    def max_holders(self, engine_id: str, whole_cells: bool) -> int:
        """The largest possible number of fronts that hold an engine."""
        count = self._max_selecting(engine_id)
        if whole_cells:
            count += self._max_selecting(self._index.previous_in_cell(engine_id))
        return count

    def _max_selecting(self, engine_id: str) -> int:
        """The largest possible number of fronts that select an engine directly, not as the next one of a
        cell: fronts whose arcs contain it, and fronts that may reach it when they add engines beyond their
        arcs."""
        count = self._selecting_by_engine.get(engine_id)
        if count is None:
            position = self._index.positions[engine_id]
            zone = self._index.records[engine_id].zone
            count = self._fronts.count(position, self._max_distance(engine_id, position))
            count += self._home_fronts.count(position, self._widths.home_width(zone))
            self._selecting_by_engine[engine_id] = count
        return count

    def _max_distance(self, engine_id: str, position: int) -> int:
        """The largest distance before an engine at which a front may reach it on the ring of all engines."""
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
        """Whether a cheap check shows that `width` before `position` contains enough ready engines of enough
        zones, which is the usual case. False means that the exact distances are needed."""
        ready, least = self._ready, self._widths.parameters.least
        end, enough = bisect_left(ready.positions, position), max(self._widths.min_ready, 2 * least)
        if end < enough or position - ready.positions[end - enough] > width:
            return False
        zones = {self._index.records[engine_id].zone for engine_id in ready.ids[end - 2 * least : end]}
        return len(zones) > least

    def _distance_outside_zone(self, position: int) -> int:
        """The distance back within which, for any zone, `least` ready engines are outside it."""
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
