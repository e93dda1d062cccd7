"""gRPC status codes and error details with which a Flight call fails."""

from __future__ import annotations

from google.protobuf.duration_pb2 import Duration
from google.protobuf.any_pb2 import Any
from google.rpc.error_details_pb2 import RetryInfo
from google.rpc.status_pb2 import Status
from grpc import StatusCode

from thistlelever.ground.interface import DispatchOutcome
from thistlelever.state.tickets import TicketStatus

Metadata = tuple[tuple[str, str | bytes], ...]
# The status of a call with a ticket that cannot be redeemed or cancelled.
TICKET_STATUS_CODES = {
    TicketStatus.REDEEMED: StatusCode.ALREADY_EXISTS,
    TicketStatus.CANCELLED: StatusCode.CANCELLED,
    TicketStatus.EXPIRED: StatusCode.NOT_FOUND,
    TicketStatus.OTHER_FRONT: StatusCode.FAILED_PRECONDITION,
    TicketStatus.EARLIER_START: StatusCode.FAILED_PRECONDITION,
    TicketStatus.TOO_MANY: StatusCode.RESOURCE_EXHAUSTED,
}
# The status of a call whose result was cut off after it had begun to be sent, by how the dispatch ended; any
# other end is DATA_LOSS.
INCOMPLETE_RESULT = {
    DispatchOutcome.TIMED_OUT: (StatusCode.DEADLINE_EXCEEDED, "time limit: the result is not whole"),
    DispatchOutcome.CANCELLED: (StatusCode.CANCELLED, "cancelled: the result is not whole"),
}


class StatusError(Exception):
    """The call ends with this status; the message and the trailing metadata go to the client."""

    def __init__(self, code: StatusCode, message: str, metadata: Metadata = ()) -> None:
        """Take the status code, its message and its trailing metadata."""
        super().__init__(message)
        self.code, self.message, self.metadata = code, message, metadata


def invalid_argument(message: str) -> StatusError:
    """Return the error for a request that is malformed or has an invalid value."""
    return StatusError(StatusCode.INVALID_ARGUMENT, message)


def unimplemented(what: str) -> StatusError:
    """Return the error for a method, command or action that this server does not support."""
    return StatusError(StatusCode.UNIMPLEMENTED, f"{what} is not served")


def push_back_error(after: float, stopping: bool) -> StatusError:
    """Return the error for a batch that was pushed back, which is safe to retry after `after` seconds.

    UNAVAILABLE where this front is stopping, so that clients retry at another, else RESOURCE_EXHAUSTED. The
    delay is given in both forms that gRPC clients read: the pushback of gRFC A6, and google.rpc.RetryInfo in
    the status details.
    """
    code = StatusCode.UNAVAILABLE if stopping else StatusCode.RESOURCE_EXHAUSTED
    if after <= 0:
        return StatusError(code, "pushed back")
    info = Any()
    info.Pack(RetryInfo(retry_delay=Duration(seconds=int(after), nanos=int(after % 1 * 1e9))))
    status = Status(code=code.value[0], message="pushed back", details=[info])
    return StatusError(
        code,
        "pushed back",
        (
            ("grpc-retry-pushback-ms", str(round(after * 1e3))),
            ("grpc-status-details-bin", status.SerializeToString()),
        ),
    )


def execution_error(past_limit: bool) -> StatusError:
    """Return the error for a batch that failed and may have run.

    A failure past the batch's time limit is reported as the time limit.
    """
    if past_limit:
        return StatusError(StatusCode.DEADLINE_EXCEEDED, "time limit")
    return StatusError(StatusCode.INTERNAL, "errored")


def incomplete_result(outcome: DispatchOutcome) -> StatusError:
    """Return the error that ends a call of which only part of the result was sent."""
    code, message = INCOMPLETE_RESULT.get(
        outcome, (StatusCode.DATA_LOSS, "the result broke off and is not whole")
    )
    return StatusError(code, message)
