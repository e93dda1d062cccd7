"""Many hollow fronts in one process: subscription, engine list and decisions of a front on real sockets,
without clients. A child process of the scale rig (`python -m rigs.scale_hollow`), which takes its commands as
JSON lines and logs every version that each front held."""

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

# Limits the log, so that its memory is a small part of what is measured.
MAX_LOG_ENTRIES = 400_000


class VersionLog:
    """The versions that each front held, in columns: number of the front, its life (one more after each
    restart), packed version, moment in monotonic seconds, and digest."""

    def __init__(self):
        self.fronts, self.lives = array("H"), array("H")
        self.versions, self.moments = array("Q"), array("d")
        self.digests, self.digest_numbers = [], {}
        self.digest_of_entry = array("I")
        self.left_out = 0

    def add(self, front, life, version, digest):
        """Adds an entry; counts it as left out where the log is full."""
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
        """The columns as they are sent to the rig."""
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
    """One front without clients; a restart begins its next life."""

    def __init__(self, host, number, place):
        self.host, self.number, self.place = host, number, place
        self.life, self.started_at, self.ready_at = 0, 0.0, 0.0
        self.components = make_empty_front(place, host.zones, host.total_fronts)
        self.subscription, self.task = None, None

    def start(self):
        """Begins a life: subscribes to the distributors."""
        self.life += 1
        self.started_at, self.ready_at = monotonic(), 0.0
        self.subscription = make_subscription(self.components, self.place, self.host.terms)
        log_versions(self.subscription.replica, self)
        self.task = asyncio.create_task(self.subscription.run())
        self.task.add_done_callback(abort_on_failure)

    async def stop(self):
        """Ends the subscription."""
        if self.task:
            self.task.cancel()
            with suppress(asyncio.CancelledError):
                await self.task
            self.task = None

    async def restart(self):
        """Starts again with nothing in memory, as a killed process does."""
        await self.stop()
        self.components = make_empty_front(self.place, self.host.zones, self.host.total_fronts)
        self.start()

    def version_changed(self, version, digest):
        """Logs what the front holds now."""
        if not self.ready_at:
            self.ready_at = monotonic()
        self.host.log.add(self.number, self.life, version, digest)

    def version(self):
        """The version that the front holds."""
        return self.subscription.replica.version if self.subscription else NO_VERSION

    def counts(self):
        """All counters; bytes include those of the open connection."""
        subscription = self.subscription
        sent, received = subscription.connection_bytes()
        counts = dict(subscription.counts)
        counts["bytes_sent"] = counts.get("bytes_sent", 0) + sent
        counts["bytes_received"] = counts.get("bytes_received", 0) + received
        return counts

    def holding(self):
        """What the front holds; the digest is computed from its records."""
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
    """Ends the process where a subscription failed, as it never ends by itself."""
    if not task.cancelled() and (error := task.exception()):
        traceback.print_exception(error)
        os._exit(1)


def log_versions(replica, front):
    """Wraps the replica so that every change of what it holds is logged."""
    receive = replica.receive

    def receive_and_log(update):
        before = replica.version, replica.digest
        outcome = receive(update)
        if (replica.version, replica.digest) != before:
            front.version_changed(replica.version, replica.digest)
        return outcome

    replica.receive = receive_and_log


class Host:
    """All fronts of this process, and the commands of the rig on them."""

    def __init__(self):
        self.fronts, self.log = [], VersionLog()
        self.lag = LoopLag()
        self.zones, self.total_fronts, self.terms = (), 0, None

    async def make(self, fronts, zones, fronts_in_all, seed, terms):
        """Creates fronts with decisions and an empty list, without subscription; returns a measurement."""
        self.zones, self.total_fronts, self.terms = tuple(zones), fronts_in_all, terms
        places = [HollowPlace(seed=seed + front["rank"], **front) for front in fronts]
        self.fronts = [HollowFront(self, number, place) for number, place in enumerate(places)]
        await self.freeze()
        return await self.measure()

    async def freeze(self):
        """Excludes present objects from garbage collection, as `serve` does. Otherwise each collection would
        visit the objects of all fronts of this process, which no single front has to pay for."""
        gc.collect()
        gc.freeze()

    async def subscribe(self, within):
        """Starts all subscriptions, evenly over `within` seconds."""
        for front in self.fronts:
            front.start()
            await asyncio.sleep(within / len(self.fronts))
        return monotonic()

    async def restart(self, names):
        """Restarts the named fronts at once."""
        chosen = [front for front in self.fronts if front.place.name in set(names)]
        await asyncio.gather(*(front.restart() for front in chosen))
        return monotonic()

    async def ready_after(self, names):
        """The seconds from the last start of each named front to its first list; None where it has none
        yet."""
        chosen = [front for front in self.fronts if front.place.name in set(names)]
        return [round(f.ready_at - f.started_at, 4) if f.ready_at else None for f in chosen]

    async def lowest(self):
        """The lowest version that any front holds, packed, and how many fronts hold none."""
        versions = [front.version() for front in self.fronts]
        return {"lowest": min(versions).packed(), "empty": versions.count(NO_VERSION)}

    async def measure(self):
        """CPU seconds and memory of this process, and the counters of each front."""
        counts = [front.counts() for front in self.fronts if front.subscription]
        status = Path(f"/proc/{os.getpid()}/status").read_text()
        return {
            "at": monotonic(),
            "cpu": process_time(),
            "memory_mb": int(status.partition("VmRSS:")[2].split()[0]) / 1024,
            "counts": counts,
        }

    async def inquire(self, count, port, zones, seconds):
        """The cores that one front spends on polling the directory: the mean of `count` clients over
        `seconds`."""
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
        began, cpu_before = monotonic(), process_time()
        await asyncio.sleep(seconds)
        core = (process_time() - cpu_before) / (monotonic() - began) / count
        for task in tasks:
            task.cancel()
        return core

    async def collect(self):
        """The version log, and the event loop lags of this process."""
        return self.log.columns() | {"lags": self.lag.recorded}

    async def holdings(self):
        """What each front holds."""
        return [front.holding() for front in self.fronts]


async def main():
    """Serves commands until standard input ends."""
    host = Host()
    lag_task = asyncio.create_task(host.lag.run())
    names = "make freeze subscribe restart ready_after lowest measure inquire collect holdings"
    await serve_commands({name: getattr(host, name) for name in names.split()})
    lag_task.cancel()


if __name__ == "__main__":
    asyncio.run(main())
