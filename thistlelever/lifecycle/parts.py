"""What the parts of a front that are switched on beyond the platform's own are given, and how they are spoken
to. `lifecycle.run` opens, renews, asks and closes them by this alone; a part is handed what it works with and
knows nothing of who put it together.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from thistlelever.carrier.batch_tasks import BatchTasks
from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.directory import Inquiry
from thistlelever.carrier.dispatch import Dispatcher
from thistlelever.carrier.validation import RequestValidator
from thistlelever.ground.log import Log
from thistlelever.ground.config import Config
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batches
from thistlelever.store.roll import Roll

if TYPE_CHECKING:
    from thistlelever.ground.operator import Operator


class Parts(NamedTuple):
    """What a front is made of, as far as further parts work with it."""

    config: Config
    log: Log
    metrics: Metrics
    batches: Batches
    roll: Roll
    decisions: DecisionLoop
    validator: RequestValidator
    batch_tasks: BatchTasks
    dispatcher: Dispatcher
    inquiry: Inquiry


class Side(Protocol):
    """A part that the operator file switches on."""

    async def open(self) -> dict:
        """Start; what the line `ready` of the log says of it."""

    def renew(self, operator: Operator, config: Config) -> None:
        """Take from what was read again what can change at once."""

    def questions(self) -> dict[str, Callable[..., dict]]:
        """What the administration may be asked of it."""

    def stopping(self) -> None:
        """SIGTERM has come: what is open is answered first."""

    async def close(self, grace: float) -> None:
        """All is answered; be gone within `grace` seconds or soon after."""
