"""The widths of the arcs on which a front holds every engine."""

from __future__ import annotations

from thistlelever.subsetting.index import EngineIndex
from thistlelever.subsetting.ring import RING_SIZE
from thistlelever.subsetting.types import SubsetParameters

# If fewer engines on a front's arcs are ready than this fraction of the target, the front gets additional
# ones.
MIN_READY_SHARE = 0.5


class ArcWidths:
    """The widths of all arcs at one revision of the index, computed from the numbers of engines."""

    def __init__(self, index: EngineIndex, parameters: SubsetParameters, whole_cells: bool) -> None:
        """Computes the widths for the engines that `index` holds now."""
        self.parameters, self._engines = parameters, len(index.records)
        # The average number of engines on both arcs. With `whole_cells` each brings the next one of its cell,
        # so the target is lower.
        self._target = parameters.engines
        if whole_cells:
            self._target = max(
                parameters.engines * self._engines // (self._engines + index.engines_sharing_cell), 1
            )
        self.min_ready = max(int(self._target * MIN_READY_SHARE), 1)
        self._home_counts = {zone: self._home_count(len(ring)) for zone, ring in index.zones.items()}
        self._home = {
            zone: self._home_counts[zone] * RING_SIZE // len(ring) for zone, ring in index.zones.items()
        }

    def home_width(self, zone: str) -> int:
        """The width of the arc on the ring of a zone; 0 for a zone without engines."""
        return self._home.get(zone, 0)

    def global_width(self, zone: str) -> int:
        """The width of the arc on the ring of all engines for a front in `zone`. Each engine that the front
        does not hold through its zone is on this arc with the same probability."""
        at_home = self._home_counts.get(zone, 0)
        return (self._target - at_home) * RING_SIZE // (self._engines - at_home)

    def max_global_width(self) -> int:
        """The width of the widest arc on the ring of all engines: that of a front in a zone without
        engines."""
        return self._target * RING_SIZE // self._engines

    def _home_count(self, in_zone: int) -> int:
        return min(int(self._target * self.parameters.home_share), in_zone)
