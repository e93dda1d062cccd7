"""What passes between a front's decisions and whatever carries them: types only.

A carrier reads a `Settings` when a front starts, hands `Front` the events of one moment, and
carries out the actions it gets back in their order. Times are seconds, memory is megabytes,
ids are whatever the carrier uses and come back unchanged.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from math import inf
from typing import NamedTuple

EngineId = bytes


class Idempotency(Enum):
    """What a service group says of running a batch again."""

    IDEMPOTENT = "repeatable"
    DEDUPLICATED = "referenced"
    NON_IDEMPOTENT = "once-only"


class DeduplicationScope(Enum):
    """Which engines drop the repeats of a referenced batch."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ReportDelivery(Enum):
    """How load reports reach a front."""

    WITH_ANSWERS = "with answers"
    WHEN_PROBED = "when probed"
    NEVER = "never"


class MemoryShortage(Enum):
    """What an engine does once the memory granted passes what it has."""

    QUEUE = "line"
    SHRINK = "shrink"
    PAGE = "page"


class DispatchOutcome(IntEnum):
    """How a dispatch ended."""

    ERRORED = 0
    RETURNED = 1
    FULL = 2
    TIMED_OUT = 3
    UNREACHABLE = 4
    RESET = 5
    CANCELLED = 6
    UNSENT = 7
    # The connection broke under the call, and the engine, asked again, does not know of the batch.
    ASTRAY = 8
    # No connection came up in the connect limit, and nothing said why: it never ran.
    LATE = 9


class ProgressKind(IntEnum):
    """What a progress note tells."""

    PROGRESS = 1
    SPILL = 2
    WAITING = 3


class EngineState(IntEnum):
    """What the list says of an engine."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """How a list relates to the one before it."""

    FAILED = 0
    WHOLE = 1
    CHANGES = 2
    CACHED = 3


class QueryClass(NamedTuple):
    """The terms of one service group."""

    name: str
    utility: float
    late_share: float
    goal: float
    goal_stretch: float
    time_limit: float
    repeat: Idempotency
    scope: DeduplicationScope
    window: float
    width: int
    holds_tables: bool
    yields_to_loads: bool
    in_order: bool
    zones: frozenset[int] | None
    kinds: frozenset[int] | None


class Tenant(NamedTuple):
    """A customer and its share."""

    name: str
    per_second: float


class RetryBudget(NamedTuple):
    """The budget of further dispatches: `floor` plus `share` of what was taken in `window`."""

    floor: float
    share: float
    window: float


class Settings(NamedTuple):
    """All that a front is told when it starts."""

    fronts: int
    zone: int
    tariffs: tuple[QueryClass, ...]
    consignors: tuple[Tenant, ...]
    over_share_worth: float
    kind_cores: tuple[int, ...]
    kind_memory: tuple[float, ...]
    most_grant: float
    grants: bool
    priorities: bool
    shortage: MemoryShortage
    note_every: float
    tells_cost: bool
    reports: ReportDelivery
    report_fields: tuple[str, ...]
    sized: bool
    asks_for_list: bool
    ask_within: float
    tick: float
    probes: bool
    probe_price: float
    cross_price: float
    cancel: bool
    copies: bool
    names_return: bool
    longest_return: float
    most_dispatches: int
    connect_limit: float
    drain_grace: float
    cold_share: float
    warm_after: float
    fall_multiple: float
    fall_window: float
    key_rest: float
    allowance: RetryBudget | None


# What a front is told.


class BatchReceived(NamedTuple):
    batch: int
    group: int
    consignor: int
    key: int
    time_limit: float
    work: float | None
    memory: float
    tables: float
    repeat: bool
    # Where another front has begun it: the engine that may be running it, or have run it, and for how long by
    # now. The first dispatch goes on with that one, and is none anew.
    out_at: EngineId = b""
    out_for: float = 0.0


class DispatchEnded(NamedTuple):
    batch: int
    number: int
    engine: EngineId
    outcome: DispatchOutcome
    took: float
    complete: bool
    true_work: float
    true_memory: float
    report: tuple[float, ...]


class ResponseStarted(NamedTuple):
    batch: int
    number: int
    engine: EngineId


class ProgressNote(NamedTuple):
    batch: int
    number: int
    engine: EngineId
    kind: ProgressKind
    value: float


class ClientLeft(NamedTuple):
    batch: int


class FrontStopping(NamedTuple):
    """The front ends for good: what is open must be over by then."""

    at: float


class FrontCountChanged(NamedTuple):
    """How many fronts share the engines, where that is known better than from the settings."""

    fronts: int


class LearnedState(NamedTuple):
    """What the decisions of a former life, or of another process, had learnt: of engines their bound, pace
    and since when they are cold (0: not); keys that rest, with how long; batches taken and further
    dispatches, by how long ago each was."""

    engines: tuple[tuple[EngineId, float, float, float], ...]
    keys: tuple[tuple[int, float], ...]
    took: tuple[float, ...]
    extra: tuple[float, ...]


class TimerDue(NamedTuple):
    token: int


class ProbeEnded(NamedTuple):
    engine: EngineId
    outcome: DispatchOutcome
    took: float
    report: tuple[float, ...]


class Engine(NamedTuple):
    """An entry of the list."""

    id: EngineId
    zone: int
    cell: int
    kind: int
    state: EngineState
    started: float
    size: float


class EngineListReceived(NamedTuple):
    """`fronts`: how many fronts may send to any one of these engines, where that is fewer than all; 0: all
    that the settings name."""

    kind: ListKind
    version: int
    engines: tuple[Engine, ...]
    fronts: int = 0


class PeerNote(NamedTuple):
    peer: int
    text: bytes


Event = (
    BatchReceived
    | DispatchEnded
    | ResponseStarted
    | ProgressNote
    | ClientLeft
    | FrontStopping
    | FrontCountChanged
    | LearnedState
    | TimerDue
    | ProbeEnded
    | EngineListReceived
    | PeerNote
)


# What a front asks for.


class Dispatch(NamedTuple):
    """`begin_by`: from that moment on nothing of it may be sent any more, not even again by its carrier."""

    batch: int
    engine: EngineId
    time_out: float
    begin_by: float = inf


class Terms(NamedTuple):
    """Memory and priority for the batch's further dispatches; the priority holds at once."""

    batch: int
    grant: float
    priority: int


class PushBack(NamedTuple):
    batch: int
    return_in: float


class Error(NamedTuple):
    batch: int


class Cancel(NamedTuple):
    batch: int
    number: int


class Probe(NamedTuple):
    engine: EngineId


class Timer(NamedTuple):
    delay: float
    token: int


class AskList(NamedTuple):
    """Ask for the whole list once."""


class FollowList(NamedTuple):
    """Ask for changes from now on."""


class Remark(NamedTuple):
    text: str


Action = Dispatch | Terms | PushBack | Error | Cancel | Probe | Timer | AskList | FollowList | Remark
