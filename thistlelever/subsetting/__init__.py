"""Which engines a front holds, where there are too many for each front to hold all: the policy, without I/O
or clock. Chance comes from hashes of names, so that every process computes the same subsets.

    ring = EngineRing(SubsetParameters(fronts=3200))
    ring.put(record)                                            # for each engine
    ring.subset(FrontIdentity("front-7", "zone-1", 7), (), False)  # what that front holds

Uses nothing else of the package; records are those of `distribution.records`. `subsets` makes the choice, by
the positions of `ring`, the rings of `index` and the arcs of `widths`; `bounds` counts the fronts that can
hold an engine.
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
