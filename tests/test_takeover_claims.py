"""Claims of takeover leases: replies count alike in every order."""

import pytest
from test_takeover import FRONTS, LOAD, PAY, QUERY_CLASSES, T1, T2, Tier

from thistlelever.takeover.facts import QuorumOutcome
from thistlelever.takeover.lease_manager import LeaseManager
from thistlelever.wire.work import Verb


def restart(tier, address):
    """Restart a replica, which forgets its records."""
    tier.managers[address] = LeaseManager(tier.config, address, 6, FRONTS, QUERY_CLASSES, 9, tier.now)
    tier.set_liveness(address)


def key_replicated_elsewhere(tier, *fronts):
    """A key that none of these fronts is a replica of."""
    placement = tier.managers[FRONTS[0]].placement
    keys = (b"%016d" % number for number in range(999))
    return next(key for key in keys if not set(fronts) & set(placement.replicas_for(key)))


@pytest.mark.parametrize("last", ["refusal", "acceptances"])
@pytest.mark.parametrize("group", [PAY, LOAD])
def test_a_refusal_that_names_a_run_counts_in_every_order(last, group):
    # Guards against two acceptances, one by a replica that forgot, over the refusal that tells of the run.
    tier = Tier()
    key = key_replicated_elsewhere(tier, FRONTS[0], FRONTS[1])
    restarted, behind, informed = tier.managers[FRONTS[0]].placement.replicas_for(key)
    # The record of the run reaches two of three replicas, one of which then restarts.
    tier.lost = lambda source, target, message: target == behind
    lease = tier.owns(0, group=group, key=key)
    assert lease.is_held(tier.now)
    restart(tier, restarted)
    late = {informed} if last == "refusal" else {restarted, behind}
    dropped = []

    def lose_first_claims(source, target, message):
        if target not in late or message.verb is not Verb.CLAIM or target in dropped:
            return False
        dropped.append(target)
        return True

    tier.lost = lose_first_claims
    _, result = tier.acquire(1, T2, group, key)
    assert result.outcome is QuorumOutcome.TAKEN
    assert result.value and result.value.txn == T1
