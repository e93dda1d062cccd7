"""Guards of the front that the Flight rig breaks on purpose, so that it must say no."""

from thistlelever.carrier.clients import ClientSession
from thistlelever.carrier.flight_engines import FlightEngines
from thistlelever.carrier.http_engines import HttpEngines
from thistlelever.carrier.result_stream import ResultStream
from thistlelever.ground import interface as it


def resend():
    """What may have run is told as never run."""

    async def outcome(self, why, entry, batch, sent):
        return it.DispatchOutcome.UNSENT

    FlightEngines.outcome = outcome
    HttpEngines.outcome = (
        lambda self, reply, sent: it.DispatchOutcome.RETURNED
        if reply.status == 200
        else it.DispatchOutcome.UNSENT
    )


def short():
    """A result that broke off ends well."""
    ResultStream.end = lambda self, outcome, end=ResultStream.end: end(self, it.DispatchOutcome.RETURNED)


def twice():
    """Each answer on the platform's own door is given twice."""
    write = ClientSession.write

    def double(self, data):
        write(self, data)
        write(self, data)

    ClientSession.write = double


def forget():
    """A dispatch that is given up is not called off at its engine."""

    async def nothing(self, batch, entry, sent):
        return None

    FlightEngines.cancel_dispatch = HttpEngines.cancel_dispatch = nothing


SABOTAGE = {"": lambda: None, "resend": resend, "short": short, "twice": twice, "forget": forget}
# The share of long results, where a sabotage shows by one that breaks off after it has begun to go on.
LONG_SHARES = {"short": 1.0}
