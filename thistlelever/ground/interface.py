"""The types that pass between a front's decisions and their carrier, the code that does the I/O.

A carrier makes `Front` of a `Settings`, hands it the events of one moment, and carries out the actions that
it gets back in their order. Times are in seconds and memory is in megabytes. Work is run time times width
(the threads that a batch uses), in thread-seconds. Moments are on the front's monotonic clock. Ids of
batches are the carrier's own, and come back unchanged; the dispatches of a batch are numbered from 0.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from math import inf
from typing import NamedTuple

EngineId = bytes


class Idempotency(Enum):
    """Whether the batches of a query class may run more than once."""

    # Running it again does no harm.
    IDEMPOTENT = "repeatable"
    # Engines drop a batch whose idempotency key they have seen, within a time window and a scope.
    DEDUPLICATED = "referenced"
    # It must not run twice.
    NON_IDEMPOTENT = "once-only"


class DeduplicationScope(Enum):
    """Which engines drop the duplicates of a batch that one of them has run."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ReportDelivery(Enum):
    """How load reports of engines reach a front."""

    WITH_ANSWERS = "with answers"
    WHEN_PROBED = "when probed"
    NEVER = "never"


class MemoryShortage(Enum):
    """What an engine does once the memory granted passes what it has.

    It queues further batches, shrinks the grants, or pages, which slows all that it runs.
    """

    QUEUE = "line"
    SHRINK = "shrink"
    PAGE = "page"


class DispatchOutcome(IntEnum):
    """How a dispatch ended."""

    # The engine answered with an error, or the call failed in an unexpected way.
    ERRORED = 0
    # The engine answered with a result.
    RETURNED = 1
    # The engine refused it, as it has no room: it never ran.
    FULL = 2
    # No answer came within the time-out.
    TIMED_OUT = 3
    # The connection was refused: it never ran.
    UNREACHABLE = 4
    # The connection broke, and the engine may be running it.
    RESET = 5
    CANCELLED = 6
    # Nothing was sent that makes the engine run it.
    UNSENT = 7
    # The connection broke during the call, and the engine, queried again, does not know the batch.
    ASTRAY = 8
    # No connection was made within the connect limit, for no known reason: it never ran.
    LATE = 9


class ProgressKind(IntEnum):
    """What the value of a progress note is."""

    # The share of the work that is done, 0 to 1.
    PROGRESS = 1
    # The memory spilled to disk, in MB.
    SPILL = 2
    # The batch waits at the engine.
    WAITING = 3


class EngineState(IntEnum):
    """An engine's state on the list: only a ready one gets dispatches."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """How a list of engines relates to the one before it."""

    # None could be had: it says nothing of the engines.
    FAILED = 0
    # All engines; those that are not on it have left.
    WHOLE = 1
    # Only the engines that have changed.
    CHANGES = 2
    # All engines, as they were last known.
    CACHED = 3


class QueryClass(NamedTuple):
    """The terms of one query class. The command `show` prints the fields by these names."""

    name: str
    # The value of an answer in time, and the share of it that a late answer has, 0 to 1.
    utility: float
    late_share: float
    # The latency objective is `goal` seconds and `goal_stretch` times the estimated run time.
    goal: float
    goal_stretch: float
    # The time limit of a batch in seconds; a client may set up to twice as much.
    time_limit: float
    # Whether a batch may run again; with deduplication, which engines drop duplicates, and for how many
    # seconds from the first dispatch.
    repeat: Idempotency
    scope: DeduplicationScope
    window: float
    # How many threads of an engine a batch uses.
    width: int
    # Whether its batches load a table group, and whether they wait for loads of their table group.
    holds_tables: bool
    yields_to_loads: bool
    # Whether batches with the same key run one at a time, in the order received.
    in_order: bool
    # The zones and kinds of engines where it may run, as indexes; None: all.
    zones: frozenset[int] | None
    kinds: frozenset[int] | None


class Tenant(NamedTuple):
    """A tenant, and the batches a second that are its share. The command `show` prints the fields."""

    name: str
    per_second: float


class RetryBudget(NamedTuple):
    """The budget of further dispatches, the attempts after a batch's first.

    In any `window` seconds they may be `floor` and `share` times the batches received. The command `show`
    prints the fields.
    """

    floor: float
    share: float
    window: float


class Settings(NamedTuple):
    """All that the decisions of a front get at its start. The command `show` prints the fields."""

    # How many fronts share the engines, and the zone of this one, an index.
    fronts: int
    zone: int
    # The query classes and tenants; batches name them by their index.
    tariffs: tuple[QueryClass, ...]
    consignors: tuple[Tenant, ...]
    # What a batch past its tenant's share is worth; 1: as much as any.
    over_share_worth: float
    # Cores and memory of each kind of engine.
    kind_cores: tuple[int, ...]
    kind_memory: tuple[float, ...]
    # The largest memory grant, as a share of an engine's memory.
    most_grant: float
    # Whether engines heed memory grants and priorities, and what they do when memory runs short.
    grants: bool
    priorities: bool
    shortage: MemoryShortage
    # The seconds between an engine's progress notes.
    note_every: float
    # Whether engines report the work and memory that a batch took.
    tells_cost: bool
    # How load reports arrive, and the names of their values in order. The decisions use `util` (share of busy
    # cores), `queue` and `inflight` (counts), `x1` (share of busy disk) and `x0` (share of memory granted).
    reports: ReportDelivery
    report_fields: tuple[str, ...]
    # Whether the list has the sizes of engines.
    sized: bool
    # Whether the list comes on request only, and within how many seconds it must be requested.
    asks_for_list: bool
    ask_within: float
    # The resolution of the carrier's timers, in seconds.
    tick: float
    # Whether engines may be probed.
    probes: bool
    # Prices of a probe, and of a dispatch to another zone.
    probe_price: float
    cross_price: float
    # Whether dispatches can be cancelled, and whether a batch may run at two engines at once.
    cancel: bool
    copies: bool
    # Whether push-back names a time after which to submit again, and the longest such time in seconds.
    names_return: bool
    longest_return: float
    # The most dispatches of one batch, the first included.
    most_dispatches: int
    # Within how many seconds a connection must be made.
    connect_limit: float
    # For how many seconds a draining engine goes on with its batches.
    drain_grace: float
    # A cold engine has `cold_share` of its capacity, and after `warm_after` seconds all of it.
    cold_share: float
    warm_after: float
    # A cold engine must not get more than `fall_multiple` times what its present capacity runs in
    # `fall_window` seconds.
    fall_multiple: float
    fall_window: float
    # The cool-down of a key in seconds, after a batch of it that may still be running.
    key_rest: float
    # None: further dispatches are not rationed.
    allowance: RetryBudget | None


# Events: what the carrier hands to a front.


class BatchReceived(NamedTuple):
    """A client has submitted a batch."""

    batch: int
    # Indexes into the settings.
    query_class: int
    tenant: int
    # Batches with the same key run in order, where their class wants it; 0: no key.
    key: int
    # Seconds that are left of the client's time limit.
    time_limit: float
    # The client's estimates: work in thread-seconds (None: not given) and memory in MB (0: not given).
    work: float | None
    memory: float
    # The group of tables that it reads or loads. Engines keep recently used ones warm.
    table_group: float
    # Whether the client says that it has submitted the batch before.
    repeat: bool
    # Where another front has dispatched it: the engine that may be running it, or have run it, and for how
    # many seconds by now. The first dispatch continues that one. The engine is empty where it has left the
    # list; `running_for` alone then tells of the run.
    running_on: EngineId = b""
    running_for: float = 0.0
    # For how many seconds it has waited in this front before the decisions hear of it.
    waited_for: float = 0.0


class DispatchEnded(NamedTuple):
    """A dispatch has an outcome."""

    batch: int
    number: int
    engine: EngineId
    outcome: DispatchOutcome
    # Seconds since it was sent.
    took: float
    # Whether the batch has its final answer by this.
    complete: bool
    # The work and memory that the engine reports for it; 0: not reported.
    true_work: float
    true_memory: float
    # A load report, empty if none came with it.
    report: tuple[float, ...]
    # Whether it is not yet known if the engine has stopped; `DispatchStopped` follows then.
    still_stopping: bool = False
    # Whether the engine, asked again, did not know the dispatch, which a process before it at its address may
    # have had.
    engine_forgot: bool = False


class DispatchStopped(NamedTuple):
    """The engine certainly no longer runs a dispatch that ended with `still_stopping`."""

    batch: int
    number: int


class ResponseStarted(NamedTuple):
    """The response to a dispatch has begun."""

    batch: int
    number: int
    engine: EngineId


class ProgressNote(NamedTuple):
    """An engine's interim message about a running dispatch."""

    batch: int
    number: int
    engine: EngineId
    kind: ProgressKind
    value: float


class ClientLeft(NamedTuple):
    """The client of a batch is gone, and wants no answer."""

    batch: int


class FrontStopping(NamedTuple):
    """The front ends at that moment: what is open must be over by then."""

    at: float


class FrontCountChanged(NamedTuple):
    """How many fronts are alive and share the engines, which is newer than what the settings say."""

    fronts: int


class LearnedState(NamedTuple):
    """What the decisions of an earlier process had learned."""

    # Of each engine its id, concurrency limit (threads), slowdown (measured over estimated run time) and
    # when it was started, if that was known (else 0).
    engines: tuple[tuple[EngineId, float, float, float], ...]
    # Keys in their cool-down, with the seconds left.
    cooldowns: tuple[tuple[int, float], ...]
    # For the retry budget: how many seconds ago batches were received, and further dispatches made.
    received_ago: tuple[float, ...]
    retried_ago: tuple[float, ...]


class TimerDue(NamedTuple):
    """A timer that the front requested is due."""

    token: int


class ProbeEnded(NamedTuple):
    """A probe has an outcome, and a load report if the engine sent one."""

    engine: EngineId
    outcome: DispatchOutcome
    took: float
    report: tuple[float, ...]


class Engine(NamedTuple):
    """An entry of the list of engines."""

    id: EngineId
    # Indexes; the kind is one into the settings.
    zone: int
    cell: int
    kind: int
    state: EngineState
    # When it was started; 0: not known, it counts as warm.
    started: float
    # Its weight, as the list gives it.
    size: float


class EngineListReceived(NamedTuple):
    """A list of engines has come, or could not be had.

    `fronts` is how many fronts may send to any one engine of the list (0: all fronts).
    """

    kind: ListKind
    version: int
    engines: tuple[Engine, ...]
    fronts: int = 0


class PeerNote(NamedTuple):
    """A message from another front."""

    peer: int
    text: bytes


Event = (
    BatchReceived
    | DispatchEnded
    | DispatchStopped
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


# Actions: what a front has its carrier do.


class Dispatch(NamedTuple):
    """Send the batch to the engine.

    `time_out` is how many seconds the engine may leave it unanswered; 0: up to the batch's time limit. From
    the moment `begin_by` on nothing of it may be sent any more, nor sent again by the carrier.
    """

    batch: int
    engine: EngineId
    time_out: float
    begin_by: float = inf


class Terms(NamedTuple):
    """The memory grant in MB and the priority (3 is the highest) of the batch's dispatches from now on.

    The priority holds for its open dispatches as well.
    """

    batch: int
    grant: float
    priority: int


class PushBack(NamedTuple):
    """Refuse the batch: its client may submit it again after `return_in` seconds."""

    batch: int
    return_in: float


class Error(NamedTuple):
    """Answer the batch with an error: it may have run, and submitting it again may run it twice."""

    batch: int


class Cancel(NamedTuple):
    """Cancel a dispatch at its engine."""

    batch: int
    number: int


class Probe(NamedTuple):
    """Ask the engine for a load report."""

    engine: EngineId


class Timer(NamedTuple):
    """Send `TimerDue` with this token after `delay` seconds."""

    delay: float
    token: int


class AskList(NamedTuple):
    """Request the whole list of engines once."""


class FollowList(NamedTuple):
    """Subscribe to changes of the list from now on."""


class Remark(NamedTuple):
    """A text for the log."""

    text: str


Action = Dispatch | Terms | PushBack | Error | Cancel | Probe | Timer | AskList | FollowList | Remark
