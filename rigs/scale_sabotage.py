"""Runs a distributor or hollow fronts with one safeguard disabled, to test that the scale rig reports the
broken rule: `python -m rigs.scale_sabotage` in place of `thistlelever` or `rigs.scale_hollow`; the
environment variable SCALE_SABOTAGE names the safeguard."""

import asyncio
import os
import sys

import msgspec

from rigs import scale_hollow
from thistlelever.__main__ import main as command_line
from thistlelever.distribution.failover import Failover
from thistlelever.distribution.replica import Replica
from thistlelever.distribution.versions import NO_VERSION
from thistlelever.distributor.admission import SnapshotAdmission
from thistlelever.distributor.sessions import Sessions
from thistlelever.subsetting import index
from thistlelever.subsetting.ring import RING_SIZE

ENVIRONMENT_KEY = "SCALE_SABOTAGE"


def gap():
    """Fronts apply a delta without comparing its base and digest with what they hold."""
    holds_base, digest_after = Replica._holds_base, Replica._digest_after
    Replica._holds_base = lambda self, delta: not self.strict or holds_base(self, delta)
    Replica._digest_after = lambda self, delta: digest_after(self, delta) if self.strict else delta.digest


def back():
    """Fronts accept a lower version than they held, and distributors that are behind send them one."""
    highest, open_session = Replica.highest, Sessions.open
    Replica.highest = lambda self: highest(self) if self.strict else NO_VERSION

    def open_with_lower_version(self, request):
        version = min(request.version, self.catalog.version)
        return open_session(self, msgspec.structs.replace(request, version=version))

    Sessions.open = open_with_lower_version


def hash_order():
    """Engines are placed on the ring by Python's `hash`, which differs between processes."""
    index.engine_positions = lambda engine: (hash(engine) % RING_SIZE, hash(engine[::-1]) % RING_SIZE)


def no_jitter():
    """Fronts reconnect at once after a failure, and refused ones are told to retry without jitter."""
    Failover.failed = lambda self, retry_after=0.0: 0.01
    SnapshotAdmission.jitter = lambda self: 0.0


GUARDS = {"gap": gap, "back": back, "hash_order": hash_order, "no_jitter": no_jitter}

if __name__ == "__main__":
    GUARDS[os.environ[ENVIRONMENT_KEY]]()
    if sys.argv[1:]:
        command_line()
    else:
        asyncio.run(scale_hollow.main())
