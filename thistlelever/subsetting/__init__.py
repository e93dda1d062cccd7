"""Which engines a front holds, where there are too many for each front to hold all: the policy, without I/O
or clock. Chance comes from hashes of names, so that every process computes the same subsets.

    ring = EngineRing(SubsetTerms(fronts=3200))
    ring.put(record)                                            # for each engine
    ring.subset(FrontPlace("front-7", "zone-1", 7), (), False)  # what that front holds

Uses nothing else of the package; records are those of `distribution.records`. `subsets` makes the choice, by
the positions of `ring`, the rings of `index` and the arcs of `widths`; `reach` counts the fronts that can
hold an engine.
"""

from thistlelever.subsetting.subsets import EngineRing
from thistlelever.subsetting.terms import ANYTHING, Engine, FrontPlace, Requirement, Subset, SubsetTerms

__all__ = ["ANYTHING", "Engine", "EngineRing", "FrontPlace", "Requirement", "Subset", "SubsetTerms"]
