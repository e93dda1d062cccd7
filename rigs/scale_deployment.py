"""The processes of the scale rig: distributors, hollow fronts, real fronts and relays."""

import asyncio
import resource
import signal
from time import monotonic
from typing import NamedTuple

from rigs.scale_child import Child, cpu_seconds, memory_mb
from rigs.scale_relay import RELAY_HOST
from rigs.scale_tier import Tier

PATIENCE_S = 1.0
# Whole subsets that a distributor sends a second at the full size, and how many fronts it has there. With
# fewer fronts the rate is lower in proportion, down to a minimum.
SNAPSHOTS_PER_S, FRONTS_A_DISTRIBUTOR, LEAST_SNAPSHOTS_PER_S = 50, 133, 2
# The number of changes that distributors keep for deltas.
HISTORY = 12
# The subset of a front, and the largest share of all engines in it: with few engines, each change would
# otherwise concern each front.
SUBSET = {"engines": 96, "home_share": 0.5, "least": 4}
SUBSET_SHARE = 0.05
# The share of the hollow fronts that run in the process which is suspended at times.
SUSPENDED_SHARE = 0.05
SAMPLE_EVERY_S = 0.5
# How long an idle process is measured.
IDLE_S = 1.5


class Size(NamedTuple):
    """The size of a run: how many fronts, engines, processes and zones."""

    fronts: int
    engines: int
    distributors: int
    hollow_processes: int
    zones: int
    relays: int
    # How many hollow processes reach the distributors through relays; the suspended one never does.
    relayed_processes: int
    heartbeat_s: float = 2.0


SMALL = Size(
    fronts=300, engines=2_000, distributors=4, hollow_processes=2, zones=8, relays=1, relayed_processes=2
)
FULL = Size(
    fronts=3_200, engines=22_000, distributors=24, hollow_processes=8, zones=23, relays=2, relayed_processes=2
)
REAL_FRONTS = 2


class Programs(NamedTuple):
    """The modules that run as distributors and as hollow fronts, and the variables added to their
    environment."""

    distributor: str = "thistlelever"
    hollow: str = "rigs.scale_hollow"
    environment: dict[str, str] = {}


def snapshots_per_s(size):
    """The rate of whole subsets at which a mass start takes as long as at the full size."""
    rate = round(SNAPSHOTS_PER_S * size.fronts / size.distributors / FRONTS_A_DISTRIBUTOR)
    return max(rate, LEAST_SNAPSHOTS_PER_S)


class HollowProcess:
    """One process of hollow fronts. With a `relay` it reaches the distributors through its own group of
    relays."""

    def __init__(self, name, fronts, relay):
        self.name, self.fronts, self.relay = name, fronts, relay
        self.child = None

    @property
    def names(self):
        """The names of its fronts."""
        return [front["name"] for front in self.fronts]


class Deployment:
    """All processes of one run: `async with Deployment(...) as deployment`."""

    def __init__(self, seed, size, folder, programs):
        self.seed, self.size, self.programs = seed, size, programs
        self.zones = [f"zone-{number:02d}" for number in range(size.zones)]
        self.fronts = [self.front(rank) for rank in range(size.fronts + REAL_FRONTS)]
        self.subset = SUBSET | {
            "engines": min(SUBSET["engines"], int(size.engines * SUBSET_SHARE)),
            "fronts": len(self.fronts),
            "zone_fronts": -(-len(self.fronts) // size.zones),
        }
        terms = {
            "heartbeat_s": size.heartbeat_s,
            "snapshots_per_s": snapshots_per_s(size),
            "history": HISTORY,
            "subset": self.subset,
        }
        self.tier = Tier(folder, size.distributors, terms, programs.distributor, programs.environment)
        self.relays, self.hollows, self.real = [], [], []
        self.peak_mb, self.most_processes, self.sampling = 0.0, 0, None

    def front(self, rank):
        """The name, zone and ranks of a front; ranks are assigned to the zones in turn."""
        return {
            "name": f"front-{rank:05d}",
            "zone": self.zones[rank % len(self.zones)],
            "rank": rank,
            "zone_rank": rank // len(self.zones),
        }

    @property
    def hollow_fronts(self):
        """All fronts but the real ones."""
        return self.fronts[: self.size.fronts]

    @property
    def real_places(self):
        """The names, zones and ranks of the real fronts."""
        return self.fronts[self.size.fronts :]

    async def __aenter__(self):
        try:
            return await self.open()
        except BaseException:
            await self.__aexit__()
            raise

    async def open(self):
        """Starts every process but the real fronts, and waits for the publisher."""
        # Relays hold both ends of the connections of hundreds of fronts; child processes inherit the limit.
        _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
        # On SIGTERM the rig must end its child processes too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        self.sampling = asyncio.create_task(self.sample())
        self.relays = [Child("rigs.scale_relay") for _ in range(self.size.relays)]
        self.assign_fronts()
        for hollow in self.hollows:
            hollow.child = Child(self.programs.hollow, environment=self.programs.environment)
        starts = [child.start() for child in self.children()]
        await asyncio.gather(*starts)
        await self.open_island()
        await self.tier.start()
        return self

    def assign_fronts(self):
        """Assigns the hollow fronts to processes; the last few to the one that is suspended at times."""
        suspended_count = max(2, int(self.size.fronts * SUSPENDED_SHARE))
        awake = self.hollow_fronts[:-suspended_count]
        count = self.size.hollow_processes
        shares = [awake[number::count] for number in range(count)] + [self.hollow_fronts[-suspended_count:]]
        self.hollows = [
            HollowProcess(f"hollow-{number}", fronts, self.relay_for(number))
            for number, fronts in enumerate(shares)
        ]

    def relay_for(self, number):
        """The relay process of the hollow process with this number, or None."""
        return self.relays[number % len(self.relays)] if number < self.size.relayed_processes else None

    @property
    def relayed(self):
        """The hollow processes that reach the distributors through relays."""
        return [hollow for hollow in self.hollows if hollow.relay]

    def children(self):
        """All relays and hollow processes."""
        return self.relays + [hollow.child for hollow in self.hollows]

    @property
    def suspended(self):
        """The hollow process that is suspended at times."""
        return self.hollows[-1]

    async def open_island(self):
        """Opens relays by which the last distributor reaches the others, so that it can be cut off from
        them."""
        island = self.tier.distributors[-1]
        targets = [other.address for other in self.tier.distributors[:-1]]
        ports = await self.relays[0].request("open", seed=self.seed, group="island", targets=targets)
        island.peer_addresses = [(RELAY_HOST, port) for port in ports] + [island.address]

    async def distributor_addresses(self, group, relay):
        """The address of each distributor, or of a new relay of that group to it."""
        targets = [one.address for one in self.tier.distributors]
        if relay is None:
            return targets
        ports = await relay.request("open", seed=self.seed, group=group, targets=targets)
        return [(RELAY_HOST, port) for port in ports]

    async def make(self):
        """Creates the empty hollow fronts; returns for each process its memory in MB and its idle use of CPU
        in cores."""
        before = []
        for hollow in self.hollows:
            terms = {
                "distributors": await self.distributor_addresses(hollow.name, hollow.relay),
                "heartbeat_s": self.size.heartbeat_s,
                "patience_s": PATIENCE_S,
            }
            before.append(
                await hollow.child.request(
                    "make",
                    fronts=hollow.fronts,
                    zones=self.zones,
                    fronts_in_all=len(self.fronts),
                    seed=self.seed,
                    terms=terms,
                )
            )
        await asyncio.sleep(IDLE_S)
        after = await self.measure()
        idle = [(b["cpu"] - a["cpu"]) / (b["at"] - a["at"]) for a, b in zip(before, after, strict=True)]
        return [measured["memory_mb"] for measured in after], idle

    async def each(self, command, **fields):
        """Sends a command to every hollow process; returns the replies."""
        return await asyncio.gather(*(hollow.child.request(command, **fields) for hollow in self.hollows))

    async def measure(self):
        """CPU, memory and counters of every hollow process."""
        return await self.each("measure")

    async def each_relay(self, command, **fields):
        """Sends a command to the relay group of every relayed process; returns the replies."""
        requests = (hollow.relay.request(command, group=hollow.name, **fields) for hollow in self.relayed)
        return await asyncio.gather(*requests)

    async def settle(self, version, within, excluding=()):
        """Waits until every hollow front outside the processes in `excluding` holds that version; returns the
        seconds it took, or None after `within` seconds."""
        began = monotonic()
        awake = [hollow for hollow in self.hollows if hollow not in excluding]
        while monotonic() < began + within:
            found = await asyncio.gather(*(hollow.child.request("lowest") for hollow in awake))
            if all(one["lowest"] >= version.packed() for one in found):
                return monotonic() - began
            await asyncio.sleep(0.1)
        return None

    def pids(self):
        """The ids of all child processes that run."""
        children = self.children() + [one.child for one in self.tier.distributors if one.child]
        children += [one for one in self.real if one.process]
        return [child.pid for child in children if child.process and child.running]

    def distributor_cpu(self):
        """CPU seconds of each running distributor, by index."""
        living = [one for one in self.tier.distributors if one.child and one.child.running]
        return {one.index: cpu_seconds(one.child.pid) for one in living}

    async def sample(self):
        """Samples the memory and the number of all processes, and keeps the maxima."""
        while True:
            pids = self.pids()
            own = memory_mb("self")
            self.peak_mb = max(self.peak_mb, own + sum(map(memory_mb, pids)))
            self.most_processes = max(self.most_processes, 1 + len(pids))
            await asyncio.sleep(SAMPLE_EVERY_S)

    async def __aexit__(self, *why):
        self.sampling.cancel()
        for child in self.children():
            if child and child.process:
                child.signal(signal.SIGCONT)
                await child.kill()
        await self.tier.close()
