"""State shared by all parts of the failure detector."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from thistlelever.membership.config import MembershipConfig
from thistlelever.membership.gossip import GossipQueue
from thistlelever.membership.local_health import LocalHealth
from thistlelever.membership.random_source import RandomSource


class Context(NamedTuple):
    """One per failure detector, passed to its parts."""

    config: MembershipConfig
    random: RandomSource
    health: LocalHealth
    gossip: GossipQueue
    # Event counters since the start, shown by `views.show`.
    counts: Counter[str]
