"""The component of the operator file's section `flight`: Arrow Flight SQL. Imported only where the section is
present."""

from __future__ import annotations

from collections.abc import Callable

from thistlelever.carrier.flight_engines import FlightEngines
from thistlelever.flight.server import FlightServer
from thistlelever.ground.operator import Flight, Operator, parse_address
from thistlelever.ground.config import Config, Entry
from thistlelever.lifecycle.components import FrontContext
from thistlelever.wire.read_buffer import BufferQuota

# The least that a stream may buffer between engine and client, so that a message of usual size passes whole.
MIN_BUFFERED_BYTES = 65_536


class FlightComponent:
    """The server for clients and the protocol to engines; each works without the other."""

    start_stage = "FlightSide"

    def __init__(self, context: FrontContext, section: Flight) -> None:
        """Listens and connects to nothing before `open`."""
        config, self.section = context.config, section
        buffered_bytes = max(section.held_bytes_all // section.streams, MIN_BUFFERED_BYTES)
        self.engines = FlightEngines(
            config.settings,
            context.registry,
            context.decisions,
            context.metrics,
            section.held_bytes,
            buffered_bytes,
            BufferQuota(section.held_bytes_all),
        )
        self.kinds = config.kinds
        self.server = FlightServer(
            section, config.name, context.validator, context.batch_tasks, context.metrics, context.log
        )

    def speaks_flight(self, entry: Entry) -> bool:
        """Whether the section names the engine, by its kind or its id, as one with Flight SQL."""
        by_kind = self.kinds[entry.engine.kind] in self.section.kinds
        return by_kind or entry.engine.id.decode("latin-1") in self.section.engines

    async def open(self) -> dict:
        """Listen for clients, where the section has an address."""
        if not self.section.listen:
            return {}
        await self.server.listen(parse_address(self.section.listen))
        return {"flight": (parse_address(self.section.listen)[0], self.server.port)}

    def reload(self, operator: Operator, config: Config) -> None:
        """Use the new section from the next call on."""
        if operator.flight:
            self.section = self.server.options = operator.flight

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        """None."""
        return {}

    def begin_shutdown(self) -> None:
        """Tell the server that the front stops."""
        self.server.stopping = True

    async def close(self, grace: float) -> None:
        """Stop the server, then close the connections to engines."""
        await self.server.stop(grace)
        await self.engines.close()
