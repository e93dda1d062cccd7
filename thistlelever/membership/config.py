"""Timing and limits of the failure detector."""

from __future__ import annotations

from typing import NamedTuple


class MembershipConfig(NamedTuple):
    """Settings of the failure detector; all times in seconds. `docs/membership.md` derives the defaults from
    each other.
    """

    # Interval between two rounds of probes.
    period: float = 0.1
    # Timeout of a direct probe, and then of the indirect probes through other members.
    probe_timeout: float = 0.05
    indirect_timeout: float = 0.1
    # Duration of a suspicion with a single accuser, in a tier of ten members or fewer.
    suspicion_timeout: float = 0.4
    # Interval between pings to dead members and to addresses at which no member is known.
    reconnect_interval: float = 1.0
    # A tick that comes later than this means the process was paused, and its view is stale.
    pause_threshold: float = 0.3
    # This front considers itself isolated after this long without any acknowledgement.
    isolation_timeout: float = 0.35
    # Number of members asked to probe a member that does not acknowledge a direct probe.
    indirect_probes: int = 3
    # Number of independent accusers that shortens a suspicion to its minimum.
    accusers: int = 3
    # Expected number of members that probe a newly suspected member themselves.
    verifiers: int = 6
    # A member that died more recently than this still counts as a front in `View.fronts`.
    death_grace: float = 2.0
    # A member that is dead or has left is dropped from the table after this.
    forget_after: float = 60.0
    # Maximum number of members in the table.
    max_members: int = 8_192
