"""How wide the arcs are on which a front holds every engine."""

from __future__ import annotations

from thistlelever.subsetting.index import EngineIndex
from thistlelever.subsetting.ring import CIRCLE
from thistlelever.subsetting.terms import SubsetTerms

# A front whose arcs hold fewer ready engines than this share of what they should hold gets further ones.
READY_SHARE = 0.5


class ArcWidths:
    """The widths of all arcs, at one revision of the index. They follow from how many engines there are."""

    def __init__(self, index: EngineIndex, terms: SubsetTerms, whole_cells: bool) -> None:
        """The widths for the engines of `index` as it is now."""
        self.terms, self._engines = terms, len(index.records)
        # How many engines both arcs hold on average: with their partners they are `terms.engines`.
        self._wanted = terms.engines
        if whole_cells:
            self._wanted = max(terms.engines * self._engines // (self._engines + index.paired), 1)
        self.ready_least = max(int(self._wanted * READY_SHARE), 1)
        self._at_home = {zone: self._home_engines(len(ring)) for zone, ring in index.zones.items()}
        self._home = {zone: self._at_home[zone] * CIRCLE // len(ring) for zone, ring in index.zones.items()}

    def home(self, zone: str) -> int:
        """The width of an arc on a zone's own ring; 0 for a zone without engines."""
        return self._home.get(zone, 0)

    def everywhere(self, zone: str) -> int:
        """The width of the arc on the ring of all, for a front in that zone. Of the engines that it does not
        hold at home, each is on this arc with the same chance."""
        at_home = self._at_home.get(zone, 0)
        return (self._wanted - at_home) * CIRCLE // (self._engines - at_home)

    def widest(self) -> int:
        """The width of the widest arc on the ring of all: that of a front that holds none at home."""
        return self._wanted * CIRCLE // self._engines

    def _home_engines(self, in_zone: int) -> int:
        return min(int(self._wanted * self.terms.home_share), in_zone)
