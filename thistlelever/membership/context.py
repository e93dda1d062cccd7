"""What all parts of the failure detector share."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from thistlelever.membership.config import MembershipConfig
from thistlelever.membership.gossip import GossipQueue
from thistlelever.membership.local_health import LocalHealth
from thistlelever.membership.random_source import RandomSource


class Context(NamedTuple):
    """One for each failure detector, handed to its parts."""

    config: MembershipConfig
    random: RandomSource
    health: LocalHealth
    gossip: GossipQueue
    # How often each thing happened since the start.
    counts: Counter[str]
