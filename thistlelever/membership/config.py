"""Timing and limits of the failure detector."""

from __future__ import annotations

from typing import NamedTuple


class MembershipConfig(NamedTuple):
    """Times in seconds. The figures follow from each other as `docs/membership.md` says."""

    # Between two rounds of probes.
    period: float = 0.1
    # How long an answer to a probe may take, and then one by way of others.
    probe_timeout: float = 0.05
    indirect_timeout: float = 0.1
    # How long a suspicion lasts without a second accuser, in a tier of ten or fewer.
    suspicion_timeout: float = 0.4
    # Between two pings of members that are held dead and addresses that were never met.
    reconnect_interval: float = 1.0
    # A turn that comes this late is a pause: what was believed before it is old.
    pause_threshold: float = 0.3
    # No answer from anybody for so long: this front is alone, whatever it believes of others.
    isolation_timeout: float = 0.35
    # How many others are asked to probe a member that does not answer this front.
    indirect_probes: int = 3
    # How many accusers make a suspicion as short as it gets.
    accusers: int = 3
    # How many of those that hear of a suspicion probe the member themselves.
    verifiers: int = 6
    # A death younger than this still counts where shares are reckoned.
    death_grace: float = 2.0
    # A member that is dead or has left is forgotten after this.
    forget_after: float = 60.0
    # The most members that are known at once.
    max_members: int = 8_192
