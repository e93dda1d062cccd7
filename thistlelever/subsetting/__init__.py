"""Subsetting: which engines a front holds, where there are too many for each front to hold all.

This package holds the policy, without I/O or clock. Pseudo-random choices derive from hashes of names, so
that every process computes the same subsets.

    ring = EngineRing(SubsetParameters(fronts=3200))
    ring.put(record)                                               # for each engine
    ring.subset(FrontIdentity("front-7", "zone-1", 7), (), False)  # the engines of that front

It imports nothing else of thistlelever; records are those of `distribution.records`. `subsets` selects the
engines, using the positions of `ring`, the rings of `index` and the arcs of `arc_widths`; `fan_in` bounds the
number of fronts that hold an engine.
"""

from thistlelever.subsetting.subsets import EngineRing
from thistlelever.subsetting.types import (
    ANY_ENGINE,
    Engine,
    FrontIdentity,
    Requirement,
    Subset,
    SubsetParameters,
)

__all__ = ["ANY_ENGINE", "Engine", "EngineRing", "FrontIdentity", "Requirement", "Subset", "SubsetParameters"]
