"""Discovery without distributors at the same size, for comparison: fronts poll a directory, which answers
with the whole list in one DNS datagram."""

from time import perf_counter

from rigs.scale_front import HollowPlace, make_empty_front
from thistlelever.carrier.directory import POLL_INTERVAL, SERVICE_NAME, DirectoryClient
from thistlelever.ground import interface as it
from thistlelever.standins.directory import dns_answer
from thistlelever.wire import dns

# The longest payload of a UDP datagram over IPv4.
LONGEST_DATAGRAM = 65_507
REPETITIONS = 3


def directory_figures(catalog, zones, fronts):
    """What the same list costs a front by DNS, in bytes, bytes per second, and seconds; `in_force_max_s` is
    None where the list does not fit a datagram."""
    entries = {
        record.id: (int(record.address.rpartition(":")[2]), record.draining, record.zone)
        for record in catalog.records.values()
    }
    answer = dns_answer(1, 1, entries)
    bytes_per_engine = len(answer) / max(len(entries), 1)
    fits = len(answer) <= LONGEST_DATAGRAM
    return {
        "list_bytes": len(answer),
        "control_bytes_s": round(len(answer) / POLL_INTERVAL),
        "fits_a_datagram": fits,
        "engines_in_a_datagram": int(LONGEST_DATAGRAM / bytes_per_engine),
        "change_of_one_core_s": round(single_change_cpu(answer, zones, fronts), 4),
        "in_force_max_s": POLL_INTERVAL if fits else None,
    }


def single_change_cpu(answer, zones, fronts):
    """CPU seconds of one front for one changed engine: it decodes the whole list and passes it to its
    decisions. The least of several repetitions, without the first, which fills the empty list."""
    place = HollowPlace(name="front-before", zone=zones[0], rank=0, zone_rank=0, seed=1)
    front = make_empty_front(place, zones, fronts)
    client = DirectoryClient(
        front.registry, lambda engine: None, front.decisions, front.metrics, zones, front.config.kinds, 1
    )
    cpu_seconds = []
    for serial in range(1, 1 + REPETITIONS):
        began = perf_counter()
        listing = dns.decode_list(answer, 1, SERVICE_NAME)
        listed = [client.entry(found) for found in listing.engines]
        front.registry.replace(serial, listed, float(serial))
        front.decisions.front.handle(
            float(serial), [it.EngineListReceived(it.ListKind.WHOLE, serial, front.registry.engine_list())]
        )
        cpu_seconds.append(perf_counter() - began)
    return min(cpu_seconds[1:])
