"""Slopes that one process can measure by itself: the engine list by DNS, the decisions that receive it, and
membership. Each is a series over at least four sizes with a least-squares fit.

`python -m rigs.capacity` runs these beside the ones that need a front in a process of its own.
"""

from __future__ import annotations

import socket
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import log2, sqrt
from statistics import fmean
from time import process_time

from rigs.membership_model import measure as measure_membership
from thistlelever.admission.decide import Front
from thistlelever.carrier.directory import SERVICE_NAME, DirectoryClient
from thistlelever.ground import config as front_config
from thistlelever.ground import interface as it
from thistlelever.ground.metrics import Metrics
from thistlelever.membership.config import MembershipConfig
from thistlelever.membership.failure_detector import FailureDetector
from thistlelever.membership.member import Member
from thistlelever.membership.types import Identity, TierSettings
from thistlelever.standins.directory import dns_answer
from thistlelever.standins.configuration import SETTINGS, configuration
from thistlelever.store.engine_registry import EngineRegistry
from thistlelever.wire import dns

# A constant is chosen if its residual is at most the first value, or if no other form reduces it to the
# second as a share; a line if no curve reduces its residual to the third as a share.
GOOD_RESIDUAL, GROWTH_RESIDUAL_SHARE, CURVE_RESIDUAL_SHARE = 0.05, 0.5, 0.25
ZONES = tuple(f"region-{zone % 9}-{zone // 9}" for zone in range(23))
# The longest IPv4 packet without the headers of IP and UDP.
MAX_DATAGRAM_BYTES = 65_507
MAX_ENGINES_TRIED = 2_000
MEGABYTE = 1e6

FORMS: dict[str, Callable[[float], float]] = {
    "constant": lambda size: 0.0,
    "logarithmic": lambda size: log2(size),
    "linear": lambda size: size,
    "n log n": lambda size: size * log2(size),
}


@dataclass(frozen=True)
class Fit:
    """The fit `intercept + slope * FORMS[form](size)`.

    The residual is the root mean square of the differences to the values, as a share of their mean.
    """

    form: str
    intercept: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """The fitted value at a size."""
        return self.intercept + self.slope * FORMS[self.form](size)


def fit_form(form: str, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The least-squares fit of one form."""
    terms = [FORMS[form](size) for size in sizes]
    mean_term, mean_value = fmean(terms), fmean(values)
    spread = sum((term - mean_term) ** 2 for term in terms)
    pairs = zip(terms, values, strict=True)
    slope = (
        sum((term - mean_term) * (value - mean_value) for term, value in pairs) / spread if spread else 0.0
    )
    intercept = mean_value - slope * mean_term
    errors = [value - intercept - slope * term for term, value in zip(terms, values, strict=True)]
    scale = abs(mean_value) or 1.0
    return Fit(form, intercept, slope, sqrt(fmean(error * error for error in errors)) / scale)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The simplest form that fits well: a constant, a line or a curve."""
    fits = {form: fit_form(form, sizes, values) for form in FORMS}
    constant, line = fits["constant"], fits["linear"]
    curve = min((fits["logarithmic"], fits["n log n"]), key=lambda found: found.residual)
    growing = curve if curve.residual < CURVE_RESIDUAL_SHARE * line.residual else line
    if constant.residual <= GOOD_RESIDUAL or growing.residual > GROWTH_RESIDUAL_SHARE * constant.residual:
        return constant
    return growing


@dataclass(frozen=True)
class Slope:
    """One figure over sizes. `target` is the size to compute it for, in the same unit as `sizes`."""

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    target: float

    @property
    def fit(self) -> Fit:
        """The fit of the values."""
        return fit(self.sizes, self.values)

    @property
    def extrapolated(self) -> bool:
        """Whether the target is above the largest size."""
        return self.target > max(self.sizes)


@dataclass(frozen=True)
class Sizes:
    """The sizes of a run; the defaults are small, for CI."""

    datagram_engines: tuple[int, ...] = (30, 100, 300, 400)
    engines: tuple[int, ...] = (30, 100, 200, 400)
    members: tuple[int, ...] = (10, 20, 40, 80)
    members_held: tuple[int, ...] = (30, 100, 300, 1_000)
    membership_seconds: float = 2.0
    connections: tuple[int, ...] = (200, 400, 600, 800)
    rates: tuple[int, ...] = (25, 50, 75, 100)
    front_seconds: float = 0.8


# The sizes of docs/CAPACITY.md.
FULL = Sizes(
    engines=(30, 300, 3_000, 22_000),
    members=(30, 100, 300, 1_000),
    members_held=(30, 300, 1_000, 3_200),
    membership_seconds=10.0,
    connections=(250, 500, 1_000, 2_000),
    rates=(50, 100, 200, 300),
    front_seconds=8.0,
)
TARGET_FRONTS, TARGET_ENGINES = 3_200, 22_000


def listed_engines(count: int) -> dict[str, tuple[int, bool, str]]:
    """Entries of a fake directory, spread round-robin over all zones."""
    return {f"engine-{index:05d}": (9_000, False, ZONES[index % len(ZONES)]) for index in range(count)}


def settings() -> dict:
    """Settings with all zones."""
    return SETTINGS | {"FailureDomains": list(ZONES)}


def decisions() -> Front:
    """The decisions of a front."""
    return Front(front_config.read(configuration(settings=settings()), {}).settings, 1)


def cpu_seconds(work: Callable[[], object]) -> float:
    """Seconds of this process's CPU time that a call takes."""
    started = process_time()
    work()
    return process_time() - started


def engine_records(count: int, version: int) -> it.EngineListReceived:
    """The event of a whole engine list."""
    zones = len(ZONES)
    engines = tuple(
        it.Engine(b"engine-%05d" % index, index % zones, 2, 0, it.EngineState.READY, 0.0, 4.0)
        for index in range(count)
    )
    return it.EngineListReceived(it.ListKind.WHOLE, version, engines)


class AnswerTimer:
    """Replaces the event loop's timer handle: no answer is late here."""

    def cancel(self) -> None:
        pass


class ImmediateDecisions:
    """Passes each event to the decisions immediately, as the decision loop does within one turn."""

    def __init__(self) -> None:
        self.front, self.now = decisions(), 1.0

    def log(self, event: str, **facts: object) -> None:
        pass

    def add_event(self, event: it.EngineListReceived) -> None:
        """Handles an event one second after the last."""
        self.now += 1.0
        self.front.handle(self.now, [event])


class DetachedDirectoryClient:
    """The front's own directory client with its engine list and decisions, without sockets."""

    def __init__(self) -> None:
        zones = {"zones": ZONES, "kinds": ("std",), "seed": 1}
        self.client = DirectoryClient(
            EngineRegistry(), lambda engine: None, ImmediateDecisions(), Metrics(), **zones
        )
        # The rig itself passes in the second answer that a newer list needs.
        self.client.poll = lambda requested: None

    def take(self, answer: bytes) -> None:
        """Receives an answer as if the client had asked for it."""
        number = int.from_bytes(answer[:2], "big")
        self.client.awaited[number] = number, AnswerTimer()
        self.client.receive(answer)


def trial_count(size: int) -> int:
    """The number of trials at a size: fewer for large ones."""
    return 5 if size <= 300 else 3


def answer_cpu(count: int) -> tuple[float, float, float, float]:
    """CPU seconds to parse one answer, and to take the first answer, an equal one, and the two after which a
    list with one changed engine is in force.

    Each is the minimum of several trials, which excludes what other load on the machine adds.
    """
    entries = listed_engines(count)
    first, equal = dns_answer(1, 3, entries), dns_answer(2, 3, entries)
    another = entries | {"engine-00000": (9_000, True, ZONES[0])}
    changed_answer, confirming = dns_answer(3, 4, another), dns_answer(4, 4, another)
    parsed, taken, compared, changed = [], [], [], []
    for _ in range(trial_count(count)):
        client = DetachedDirectoryClient()
        parsed.append(cpu_seconds(lambda: dns.decode_list(first, 1, SERVICE_NAME)))
        taken.append(cpu_seconds(lambda client=client: client.take(first)))
        compared.append(cpu_seconds(lambda client=client: client.take(equal)))
        changed.append(
            cpu_seconds(lambda client=client: (client.take(changed_answer), client.take(confirming)))
        )
    return min(parsed), min(taken), min(compared), min(changed)


def list_memory(count: int) -> float:
    """Megabytes that directory client, engine registry and decisions allocate for one list."""
    answer = dns_answer(1, 3, listed_engines(count))
    client = DetachedDirectoryClient()
    tracemalloc.start()
    client.take(answer)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / MEGABYTE


def decision_memory(count: int) -> float:
    """Megabytes that the decisions alone allocate for one list."""
    front, event = decisions(), engine_records(count, 1)
    tracemalloc.start()
    front.handle(1.0, [event])
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / MEGABYTE


def decision_cpu(count: int) -> tuple[float, float]:
    """CPU seconds in which the decisions handle a first list, and the same list again.

    Each is the minimum of several trials.
    """
    firsts, again = [], []
    for _ in range(trial_count(count)):
        front, event = decisions(), engine_records(count, 1)
        firsts.append(cpu_seconds(lambda front=front, event=event: front.handle(1.0, [event])))
        event = engine_records(count, 2)
        again.append(cpu_seconds(lambda front=front, event=event: front.handle(2.0, [event])))
    return min(firsts), min(again)


def engine_slope(name: str, unit: str, sizes: Sequence[int], values: Sequence[float]) -> Slope:
    """A slope by the number of engines."""
    return Slope(name, unit, tuple(sizes), tuple(values), TARGET_ENGINES)


def directory_slopes(sizes: Sizes) -> list[Slope]:
    """The engine list by DNS, from the answer's bytes to the decisions."""
    counts = sizes.engines
    answers = [float(len(dns_answer(1, 3, listed_engines(count)))) for count in sizes.datagram_engines]
    cpu = [answer_cpu(count) for count in counts]
    parsed, taken, compared, changed = ([1e3 * seconds for seconds in row] for row in zip(*cpu, strict=True))
    return [
        engine_slope("dns answer", "B", sizes.datagram_engines, answers),
        engine_slope("dns answer parsed", "ms", counts, parsed),
        engine_slope("first answer to the decisions", "ms", counts, taken),
        engine_slope("equal answer", "ms", counts, compared),
        engine_slope("answer with one engine changed", "ms", counts, changed),
        engine_slope("list in the front", "MB", counts, [list_memory(count) for count in counts]),
    ]


def decision_slopes(sizes: Sizes) -> list[Slope]:
    """The decisions alone, when they receive a list."""
    counts = sizes.engines
    firsts, again = zip(*map(decision_cpu, counts), strict=True)
    return [
        engine_slope("decisions told first", "ms", counts, [1e3 * seconds for seconds in firsts]),
        engine_slope("decisions told again", "ms", counts, [1e3 * seconds for seconds in again]),
        engine_slope("list in the decisions", "MB", counts, [decision_memory(count) for count in counts]),
    ]


def fits_in_a_datagram(raw: socket.socket, count: int) -> bool:
    """Whether the kernel accepts the answer with so many engines as one datagram."""
    try:
        raw.sendto(dns_answer(1, 3, listed_engines(count)), raw.getsockname())
    except OSError:
        return False
    return True


def max_engines_in_datagram() -> int:
    """The most engines whose answer fits into one datagram, found by bisection on a real socket."""
    fits, too_many = 1, MAX_ENGINES_TRIED
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as raw:
        raw.bind(("127.0.0.1", 0))
        while too_many - fits > 1:
            middle = (fits + too_many) // 2
            if fits_in_a_datagram(raw, middle):
                fits = middle
            else:
                too_many = middle
    return fits


def member_memory(count: int) -> float:
    """Megabytes that one member's table of all others takes."""
    identity = Identity("front-0", ("127.1.0.0", 7_946), 1)
    detector = FailureDetector(MembershipConfig(), identity, TierSettings((), count), 1, 1.0)
    tracemalloc.start()
    for index in range(1, count):
        address = (f"127.1.{index // 250}.{index % 250}", 7_946)
        detector.table.add(1.0, Member(f"front-{index}", address, 1, 1, 1.0), "front-0", "list")
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / MEGABYTE


def membership_slopes(sizes: Sizes, seed: int) -> list[Slope]:
    """Costs of a second of membership without failures, under the model's virtual clock."""
    found = []
    for loss in (0.0, 0.05):
        runs = [
            measure_membership(FailureDetector, count, loss, sizes.membership_seconds, 0, seed)
            for count in sizes.members
        ]
        label = f"membership, {loss:.0%} loss"
        for name, unit, key in (
            ("bytes sent", "B/s", "bytes_a_member_s"),
            ("sends", "1/s", "sends_a_member_s"),
            ("CPU", "ms/s", "cpu_ms_a_member_s"),
        ):
            values = tuple(float(run[key]) for run in runs)
            found.append(Slope(f"{label}: {name}", unit, sizes.members, values, TARGET_FRONTS))
    held = tuple(member_memory(count) for count in sizes.members_held)
    return [*found, Slope("membership: memory", "MB", sizes.members_held, held, TARGET_FRONTS)]
