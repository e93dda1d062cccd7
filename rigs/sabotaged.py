"""The front with one guard taken out on purpose, for rigs that have to say no: `python -m rigs.sabotaged
serve`, where SABOTAGE names the guard."""

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
    """A front that believes itself well whatever befalls it."""
    FailureDetector.check_for_pause = lambda self, now: setattr(self, "last_tick_at", now)
    FailureDetector.isolation_reason = lambda self, now: "" if self.joined else "no word yet"
    LocalHealth.worsen = lambda self, by: None


def detour():
    """Nobody is asked to try for another, and nobody that hears of a suspicion sees for itself."""
    Prober.request_indirect_probes = lambda self, nonce, member: 0


def incarnation():
    """What is said of a life long past is believed of the present one."""
    merge = Merger.merge

    def believing(self, now, update, by):
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

    Merger.merge = believing


def promise():
    """A replica that accepts every claim and does not say what it knows."""
    Replica.claim = lambda self, now, message: Message(
        Verb.YES, message.nonce, message.key, message.epoch, message.owner, lease_ms=message.lease_ms
    )


def fate():
    """A run that another front has started is started again when its client submits again."""
    LeaseService.adopt_run = lambda self, batch, value, query_class: True


GUARDS = {"health": health, "detour": detour, "incarnation": incarnation}
WORK_GUARDS = {"promise": promise, "fate": fate}

if __name__ == "__main__":
    (GUARDS | WORK_GUARDS)[os.environ["SABOTAGE"]]()
    main()
