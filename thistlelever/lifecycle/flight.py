"""Puts together what the operator's section `flight` switches on. Imported only where it is there."""

from __future__ import annotations

from collections.abc import Callable

from thistlelever.carrier.flight_engines import FlightEngines
from thistlelever.flight.door import Door
from thistlelever.ground.operator import Flight, Operator, parse_address
from thistlelever.ground.config import Config, Entry
from thistlelever.lifecycle.components import FrontContext
from thistlelever.wire.inflow import Purse

# The least that may lie between an engine and its client, so that a message of usual size passes whole.
MIN_BUFFERED_BYTES = 65_536


class FlightComponent:
    """The door for clients and the way to engines, either or both."""

    start_stage = "FlightSide"

    def __init__(self, context: FrontContext, section: Flight) -> None:
        config, self.section = context.config, section
        buffered_bytes = max(section.held_bytes_all // section.streams, MIN_BUFFERED_BYTES)
        self.engines = FlightEngines(
            config.settings,
            context.roll,
            context.desk,
            context.metrics,
            section.held_bytes,
            buffered_bytes,
            Purse(section.held_bytes_all),
        )
        self.kinds = config.kinds
        self.door = Door(section, config.name, context.intake, context.courses, context.metrics, context.log)

    def speaks_flight(self, entry: Entry) -> bool:
        """Whether an engine speaks Flight SQL, by its kind or its own id."""
        by_kind = self.kinds[entry.engine.kind] in self.section.kinds
        return by_kind or entry.engine.id.decode("latin-1") in self.section.engines

    async def open(self) -> dict:
        """Listen, where the section says so; what the log says of it."""
        if not self.section.listen:
            return {}
        await self.door.listen(parse_address(self.section.listen))
        return {"flight": (parse_address(self.section.listen)[0], self.door.port)}

    def reload(self, operator: Operator, config: Config) -> None:
        if operator.flight:
            self.section = self.door.terms = operator.flight

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        return {}

    def begin_shutdown(self) -> None:
        self.door.stopping = True

    async def close(self, grace: float) -> None:
        await self.door.stop(grace)
        await self.engines.close()
