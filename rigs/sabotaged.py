"""A front with one safeguard disabled, to verify that a rig detects the fault.

Start it with `python -m rigs.sabotaged serve`; the environment variable SABOTAGE names the safeguard. An
unknown name raises KeyError.
"""

import os

from thistlelever.__main__ import main
from thistlelever.carrier.leases import LeaseService
from thistlelever.membership.failure_detector import FailureDetector
from thistlelever.membership.local_health import LocalHealth
from thistlelever.membership.merge import Merger
from thistlelever.membership.prober import Prober
from thistlelever.takeover.replica import Replica
from thistlelever.wire.work import Message, Verb


def health():
    """Disables the checks by which a front notices its own pauses, isolation and poor local health."""
    FailureDetector.check_for_pause = lambda self, now: setattr(self, "last_tick_at", now)
    FailureDetector.isolation_reason = lambda self, now: "" if self.joined else "no word yet"
    LocalHealth.worsen = lambda self, by: None


def detour():
    """Disables indirect probes: no other member is asked to probe a member that does not acknowledge."""
    Prober.request_indirect_probes = lambda self, nonce, member: 0


def incarnation():
    """Applies gossip updates about an earlier incarnation of a member to its current incarnation."""
    merge = Merger.merge

    def merge_stale(self, now, update, by):
        member = self.table.get(update.name)
        if (
            member
            and update.incarnation < member.incarnation
            and update.name != self.table.local.identity.name
        ):
            update = type(update)(
                update.name, update.address, member.incarnation, update.life, update.state, update.accuser
            )
        merge(self, now, update, by)

    Merger.merge = merge_stale


def promise():
    """Makes a replica accept every claim without reporting the state it holds."""
    Replica.claim = lambda self, now, message: Message(
        Verb.YES, message.nonce, message.key, message.epoch, message.owner, lease_ms=message.lease_ms
    )


def fate():
    """Starts a batch again on resubmission although another front has already started it."""
    LeaseService.adopt_run = lambda self, batch, value, query_class: True


# Safeguards of membership, by the name of the sabotage.
GUARDS = {"health": health, "detour": detour, "incarnation": incarnation}
# Safeguards of takeover, by the name of the sabotage.
WORK_GUARDS = {"promise": promise, "fate": fate}

if __name__ == "__main__":
    (GUARDS | WORK_GUARDS)[os.environ["SABOTAGE"]]()
    main()
