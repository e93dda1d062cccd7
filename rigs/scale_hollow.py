"""Many hollow fronts in one process: the control part of a front (subscription, list, decisions) on real
sockets, without clients. A child process of the scale rig (`python -m rigs.scale_hollow`), driven by JSON
lines; it keeps a log of every version that each front held."""

import asyncio
import gc
import os
import traceback
from array import array
from contextlib import suppress
from pathlib import Path
from time import monotonic, process_time

from rigs.loop_lag import LoopLag
from rigs.scale_child import serve_commands
from rigs.scale_front import HollowPlace, make_empty_front, make_subscription
from thistlelever.carrier.directory import DirectoryClient
from thistlelever.distribution.records import digest_of
from thistlelever.distribution.versions import NO_VERSION
from thistlelever.store.engine_registry import EngineRegistry

# The log keeps at most so many entries, so that it is no large part of what is measured.
MAX_LOG_ENTRIES = 400_000


class VersionLog:
    """What each front held since when, as columns: front, its life, packed version, moment, digest."""

    def __init__(self):
        self.fronts, self.lives = array("H"), array("H")
        self.versions, self.moments = array("Q"), array("d")
        self.digests, self.digest_numbers = [], {}
        self.digest_of_entry = array("I")
        self.left_out = 0

    def add(self, front, life, version, digest):
        if len(self.fronts) >= MAX_LOG_ENTRIES:
            self.left_out += 1
            return
        number = self.digest_numbers.setdefault(digest, len(self.digests))
        if number == len(self.digests):
            self.digests.append(digest)
        self.fronts.append(front)
        self.lives.append(life)
        self.versions.append(version.packed())
        self.moments.append(monotonic())
        self.digest_of_entry.append(number)

    def columns(self):
        return {
            "fronts": self.fronts.tolist(),
            "lives": self.lives.tolist(),
            "versions": self.versions.tolist(),
            "moments": [round(moment, 4) for moment in self.moments],
            "digest_numbers": self.digest_of_entry.tolist(),
            "digests": [f"{digest:032x}" for digest in self.digests],
            "left_out": self.left_out,
        }


class HollowFront:
    """One front without clients, over its lives."""

    def __init__(self, host, number, place):
        self.host, self.number, self.place = host, number, place
        self.life, self.started_at, self.ready_at = 0, 0.0, 0.0
        self.components = make_empty_front(place, host.zones, host.total_fronts)
        self.subscription, self.task = None, None

    def start(self):
        self.life += 1
        self.started_at, self.ready_at = monotonic(), 0.0
        self.subscription = make_subscription(self.components, self.place, self.host.terms)
        log_versions(self.subscription.replica, self)
        self.task = asyncio.create_task(self.subscription.run())
        self.task.add_done_callback(abort_on_failure)

    async def stop(self):
        if self.task:
            self.task.cancel()
            with suppress(asyncio.CancelledError):
                await self.task
            self.task = None

    async def restart(self):
        """As a process that was killed and started: nothing of its memory stays."""
        await self.stop()
        self.components = make_empty_front(self.place, self.host.zones, self.host.total_fronts)
        self.start()

    def version_changed(self, version, digest):
        if not self.ready_at:
            self.ready_at = monotonic()
        self.host.log.add(self.number, self.life, version, digest)

    def version(self):
        return self.subscription.replica.version if self.subscription else NO_VERSION

    def counts(self):
        """Every counter; bytes with those of the connection that is open."""
        subscription = self.subscription
        sent, received = subscription.connection_bytes()
        counts = dict(subscription.counts)
        counts["bytes_sent"] = counts.get("bytes_sent", 0) + sent
        counts["bytes_received"] = counts.get("bytes_received", 0) + received
        return counts

    def holding(self):
        """What it holds at the end; the digest is worked out anew from its records."""
        replica = self.subscription.replica
        registry = self.components.registry
        listed = {
            name.decode(): "{}:{}".format(*entry.address)
            for name, entry in registry.entries.items()
            if registry.is_listed(name)
        }
        addresses = {record.id: record.address for record in replica.records.values()}
        return {
            "name": self.place.name,
            "version": str(replica.version),
            "digest": f"{digest_of(replica.records.values()):032x}",
            "engines": sorted(replica.records),
            "listed_as_held": listed == addresses,
            "connected_to": self.subscription.connected_to,
            "last_error": self.subscription.last_error,
        }


def abort_on_failure(task):
    """A subscription never ends by itself: one that fails takes the process with it."""
    if not task.cancelled() and (error := task.exception()):
        traceback.print_exception(error)
        os._exit(1)


def log_versions(replica, front):
    """Have every change of what the replica holds written into the log."""
    receive = replica.receive

    def receive_and_log(update):
        before = replica.version, replica.digest
        outcome = receive(update)
        if (replica.version, replica.digest) != before:
            front.version_changed(replica.version, replica.digest)
        return outcome

    replica.receive = receive_and_log


class Host:
    """All fronts of this process."""

    def __init__(self):
        self.fronts, self.log = [], VersionLog()
        self.lag = LoopLag()
        self.zones, self.total_fronts, self.terms = (), 0, None

    async def make(self, fronts, zones, fronts_in_all, seed, terms):
        """Empty fronts: decisions and an empty list, no subscription."""
        self.zones, self.total_fronts, self.terms = tuple(zones), fronts_in_all, terms
        places = [HollowPlace(seed=seed + front["rank"], **front) for front in fronts]
        self.fronts = [HollowFront(self, number, place) for number, place in enumerate(places)]
        await self.freeze()
        return await self.measure()

    async def freeze(self):
        """As `serve` does: what was made at the start is not looked at again. Otherwise each collection walks
        what all fronts of this process hold, which is no cost of any one of them."""
        gc.collect()
        gc.freeze()

    async def subscribe(self, within):
        """All fronts, one after the other in so many seconds."""
        for front in self.fronts:
            front.start()
            await asyncio.sleep(within / len(self.fronts))
        return monotonic()

    async def restart(self, names):
        """The named fronts at once."""
        chosen = [front for front in self.fronts if front.place.name in set(names)]
        await asyncio.gather(*(front.restart() for front in chosen))
        return monotonic()

    async def ready_after(self, names):
        """How long each named front's present life took to its first list; None where it has none yet."""
        chosen = [front for front in self.fronts if front.place.name in set(names)]
        return [round(f.ready_at - f.started_at, 4) if f.ready_at else None for f in chosen]

    async def lowest(self):
        """The lowest version that any front holds, packed, and how many hold none."""
        versions = [front.version() for front in self.fronts]
        return {"lowest": min(versions).packed(), "empty": versions.count(NO_VERSION)}

    async def measure(self):
        counts = [front.counts() for front in self.fronts if front.subscription]
        status = Path(f"/proc/{os.getpid()}/status").read_text()
        return {
            "at": monotonic(),
            "cpu": process_time(),
            "memory_mb": int(status.partition("VmRSS:")[2].split()[0]) / 1024,
            "counts": counts,
        }

    async def inquire(self, count, port, zones, seconds):
        """What asking the directory at today's pace costs one front, in cores: so many ask for so long."""
        place = HollowPlace(name="front-dns", zone=zones[0], rank=0, zone_rank=0, seed=1)
        front = make_empty_front(place, tuple(zones), 1)
        names = front.config.zones, front.config.kinds
        clients = [
            DirectoryClient(
                EngineRegistry(), lambda engine: None, front.decisions, front.metrics, *names, seed=number
            )
            for number in range(count)
        ]
        for client in clients:
            await client.open(("127.0.0.1", port))
        tasks = [asyncio.create_task(client.run()) for client in clients]
        began, spent = monotonic(), process_time()
        await asyncio.sleep(seconds)
        core = (process_time() - spent) / (monotonic() - began) / count
        for task in tasks:
            task.cancel()
        return core

    async def collect(self):
        return self.log.columns() | {"lags": self.lag.kept}

    async def holdings(self):
        return [front.holding() for front in self.fronts]


async def main():
    host = Host()
    watching = asyncio.create_task(host.lag.run())
    names = "make freeze subscribe restart ready_after lowest measure inquire collect holdings"
    await serve_commands({name: getattr(host, name) for name in names.split()})
    watching.cancel()


if __name__ == "__main__":
    asyncio.run(main())
