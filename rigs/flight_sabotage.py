"""Ways to break the front on purpose: with each, the rig `flight` must report a broken rule."""

from thistlelever.carrier.client_session import ClientSession
from thistlelever.carrier.flight_engines import FlightEngines
from thistlelever.carrier.http_engines import HttpEngines
from thistlelever.carrier.result_stream import ResultStream
from thistlelever.ground import interface as it


def resend():
    """Reports dispatches that may have run as never sent."""

    async def outcome(self, why, entry, batch, progress):
        return it.DispatchOutcome.UNSENT

    FlightEngines.outcome = outcome
    HttpEngines.outcome = (
        lambda self, reply, progress: it.DispatchOutcome.RETURNED
        if reply.status == 200
        else it.DispatchOutcome.UNSENT
    )


def short():
    """Reports a result that was cut off as complete."""
    ResultStream.end = lambda self, outcome, end=ResultStream.end: end(self, it.DispatchOutcome.RETURNED)


def twice():
    """Sends each answer on the JSON-RPC interface twice."""
    write = ClientSession.write

    def double(self, data):
        write(self, data)
        write(self, data)

    ClientSession.write = double


def forget():
    """Does not cancel an abandoned dispatch at its engine."""

    async def nothing(self, batch, entry, progress):
        return None

    FlightEngines.cancel_dispatch = HttpEngines.cancel_dispatch = nothing


SABOTAGES = {"": lambda: None, "resend": resend, "short": short, "twice": twice, "forget": forget}
# The share of long results for a sabotage that only shows in a result cut off after streaming has begun.
LONG_RESULT_SHARES = {"short": 1.0}
