"""The interface between a front and its optional components, those that sections of the operator file enable.

`lifecycle.run` opens, reloads, queries and closes them through `Component` alone. A component receives a
`FrontContext` and does not know the `FrontServer`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from thistlelever.carrier.batch_tasks import BatchTasks
from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.directory import DirectoryClient
from thistlelever.carrier.dispatch import Dispatcher
from thistlelever.carrier.validation import RequestValidator
from thistlelever.ground.log import Log
from thistlelever.ground.config import Config
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batches
from thistlelever.store.engine_registry import EngineRegistry

if TYPE_CHECKING:
    from thistlelever.ground.operator import Operator


class FrontContext(NamedTuple):
    """The objects of a front that components work with."""

    config: Config
    log: Log
    metrics: Metrics
    batches: Batches
    registry: EngineRegistry
    decisions: DecisionLoop
    validator: RequestValidator
    batch_tasks: BatchTasks
    dispatcher: Dispatcher
    discovery: DirectoryClient


class Component(Protocol):
    """An optional part of a front, enabled by a section of the operator file."""

    # The name of its stage in the start times of the log event `ready`.
    start_stage: str

    async def open(self) -> dict:
        """Start, and return the fields that it adds to the log event `ready`."""

    def reload(self, operator: Operator, config: Config) -> None:
        """Apply those changes of reread files that need no restart."""

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        """Its handlers on the admin socket, by the names that requests use."""

    def begin_shutdown(self) -> None:
        """Called after SIGTERM, while open batches are still being answered."""

    async def close(self, grace: float) -> None:
        """Stop, after all batches were answered, in about `grace` seconds at most."""
