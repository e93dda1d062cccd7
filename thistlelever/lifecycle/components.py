"""What the parts of a front that are switched on beyond the platform's own are given, and how they are spoken
to. `lifecycle.run` opens, renews, asks and closes them by this alone; a part is handed what it works with and
knows nothing of who put it together.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from thistlelever.carrier.course import Courses
from thistlelever.carrier.desk import Desk
from thistlelever.carrier.directory import Inquiry
from thistlelever.carrier.dispatch import Dispatcher
from thistlelever.carrier.intake import Intake
from thistlelever.ground.log import Log
from thistlelever.ground.config import Config
from thistlelever.ground.metrics import Metrics
from thistlelever.store.batches import Batches
from thistlelever.store.roll import Roll

if TYPE_CHECKING:
    from thistlelever.ground.operator import Operator


class FrontContext(NamedTuple):
    """What a front is made of, as far as further parts work with it."""

    config: Config
    log: Log
    metrics: Metrics
    batches: Batches
    roll: Roll
    desk: Desk
    intake: Intake
    courses: Courses
    dispatcher: Dispatcher
    inquiry: Inquiry


class Component(Protocol):
    """A part that the operator file switches on."""

    # The name of its stage among the start times of the ready line.
    start_stage: str

    async def open(self) -> dict:
        """Start; what the line `ready` of the log says of it."""

    def reload(self, operator: Operator, config: Config) -> None:
        """Take from what was read again what can change at once."""

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        """What the administration may be asked of it."""

    def begin_shutdown(self) -> None:
        """SIGTERM has come: what is open is answered first."""

    async def close(self, grace: float) -> None:
        """All is answered; be gone within `grace` seconds or soon after."""
