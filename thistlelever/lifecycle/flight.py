"""Puts together what the operator's section `flight` switches on. Imported only where it is there."""

from __future__ import annotations

from collections.abc import Callable

from thistlelever.carrier.flight_engines import FlightEngines
from thistlelever.flight.server import FlightServer
from thistlelever.ground.operator import Flight, Operator, parse_address
from thistlelever.ground.config import Config, Entry
from thistlelever.lifecycle.parts import Parts
from thistlelever.wire.read_buffer import BufferQuota

# The least that may lie between an engine and its client, so that a message of usual size passes whole.
LEAST_BETWEEN = 65_536


class FlightSide:
    """The door for clients and the way to engines, either or both."""

    def __init__(self, parts: Parts, terms: Flight) -> None:
        config, self.terms = parts.config, terms
        between = max(terms.held_bytes_all // terms.streams, LEAST_BETWEEN)
        self.engines = FlightEngines(
            config.settings,
            parts.roll,
            parts.desk,
            parts.metrics,
            terms.held_bytes,
            between,
            BufferQuota(terms.held_bytes_all),
        )
        self.kinds = config.kinds
        self.server = FlightServer(terms, config.name, parts.intake, parts.courses, parts.metrics, parts.log)

    def speaks(self, entry: Entry) -> bool:
        """Whether an engine speaks Flight SQL, by its kind or its own id."""
        by_kind = self.kinds[entry.engine.kind] in self.terms.kinds
        return by_kind or entry.engine.id.decode("latin-1") in self.terms.engines

    async def open(self) -> dict:
        """Listen, where the section says so; what the log says of it."""
        if not self.terms.listen:
            return {}
        await self.server.listen(parse_address(self.terms.listen))
        return {"flight": (parse_address(self.terms.listen)[0], self.server.port)}

    def renew(self, operator: Operator, config: Config) -> None:
        if operator.flight:
            self.terms = self.server.options = operator.flight

    def questions(self) -> dict[str, Callable[..., dict]]:
        return {}

    def stopping(self) -> None:
        self.server.stopping = True

    async def close(self, grace: float) -> None:
        await self.server.stop(grace)
        await self.engines.close()
