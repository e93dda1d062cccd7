"""How the end of a call is said in gRPC's words, and why a call is refused."""

from __future__ import annotations

from google.protobuf.any_pb2 import Any
from google.protobuf.duration_pb2 import Duration
from google.rpc.error_details_pb2 import RetryInfo
from google.rpc.status_pb2 import Status
from grpc import StatusCode

from thistlelever.ground.interface import DispatchOutcome
from thistlelever.state.tickets import TicketStatus

Metadata = tuple[tuple[str, str | bytes], ...]
# What becomes of a ticket that makes no batch run.
TICKETS = {
    TicketStatus.REDEEMED: StatusCode.ALREADY_EXISTS,
    TicketStatus.CANCELLED: StatusCode.CANCELLED,
    TicketStatus.EXPIRED: StatusCode.NOT_FOUND,
    TicketStatus.OTHER_FRONT: StatusCode.FAILED_PRECONDITION,
    TicketStatus.EARLIER_START: StatusCode.FAILED_PRECONDITION,
    TicketStatus.TOO_MANY: StatusCode.RESOURCE_EXHAUSTED,
}
# What a client hears of a result that broke off on its way.
BROKEN_OFF = {
    DispatchOutcome.TIMED_OUT: (StatusCode.DEADLINE_EXCEEDED, "time limit: the result is not whole"),
    DispatchOutcome.CANCELLED: (StatusCode.CANCELLED, "cancelled: the result is not whole"),
}


class Refusal(Exception):
    """The call ends with this status."""

    def __init__(self, code: StatusCode, why: str, metadata: Metadata = ()) -> None:
        super().__init__(why)
        self.code, self.why, self.metadata = code, why, metadata


def bad(why: str) -> Refusal:
    return Refusal(StatusCode.INVALID_ARGUMENT, why)


def unserved(what: str) -> Refusal:
    return Refusal(StatusCode.UNIMPLEMENTED, f"{what} is not served")


def pushed_back(after: float, stopping: bool) -> Refusal:
    """Trying again is harmless, and elsewhere if this front stops. The time to come back is said both ways
    that gRPC clients know: the pushback of gRFC A6, and RetryInfo of google.rpc in the status details."""
    code = StatusCode.UNAVAILABLE if stopping else StatusCode.RESOURCE_EXHAUSTED
    if after <= 0:
        return Refusal(code, "pushed back")
    info = Any()
    info.Pack(RetryInfo(retry_delay=Duration(seconds=int(after), nanos=int(after % 1 * 1e9))))
    status = Status(code=code.value[0], message="pushed back", details=[info])
    return Refusal(
        code,
        "pushed back",
        (
            ("grpc-retry-pushback-ms", str(round(after * 1e3))),
            ("grpc-status-details-bin", status.SerializeToString()),
        ),
    )


def errored(past_limit: bool) -> Refusal:
    """The batch may have run; an error at the limit is the limit's."""
    if past_limit:
        return Refusal(StatusCode.DEADLINE_EXCEEDED, "time limit")
    return Refusal(StatusCode.INTERNAL, "errored")


def broken_off(outcome: DispatchOutcome) -> Refusal:
    code, why = BROKEN_OFF.get(outcome, (StatusCode.DATA_LOSS, "the result broke off and is not whole"))
    return Refusal(code, why)
