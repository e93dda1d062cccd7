"""Checks the fields of one batch as its client sent them, the same for every protocol."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class InvalidFieldError(Exception):
    """A field of a submission is missing or invalid; the text, which goes to the client, names it.

    `still_open` is set where the batch's id is that of a batch which is still open.
    """

    def __init__(self, field: str, why: str, still_open: bool = False) -> None:
        """Name the field and the reason."""
        super().__init__(f"{field}: {why}")
        self.field, self.still_open = field, still_open


class Submission(NamedTuple):
    """One batch as submitted; times in seconds, memory in MB, the statement as the client wrote it.

    `wait` is how long the client waits, `work` its estimate of the run time in thread-seconds (None:
    not given), `is_retry` whether this is a retry, and `reference` the idempotency key ("": none).
    """

    txn: str
    wait: float
    tenant: str
    is_retry: bool
    reference: str
    work: float | None
    memory: float
    statement: bytes


def parse_submission(fields: Mapping, statement: bytes) -> Submission:
    """Check and convert the fields id, wait, tenant, once, cost, need_mb and retry of a batch.

    `wait` and `cost` come in milliseconds, `need_mb` in MB; `id` has 16 hex digits, `once` has 32. Raises
    `InvalidFieldError` for a field that is missing or malformed.
    """
    reader = FieldReader(fields)
    txn = reader.string("id")
    if not is_hex(txn, 16):
        raise InvalidFieldError("id", "16 hex digits expected")
    wait = reader.number("wait")
    if wait is None or wait <= 0:
        raise InvalidFieldError("wait", "milliseconds above 0 expected")
    reference = reader.string("once", "")
    if reference and not is_hex(reference, 32):
        # The value is copied into a request header unescaped.
        raise InvalidFieldError("once", "32 hex digits expected")
    work = reader.number("cost")
    return Submission(
        txn,
        wait / 1e3,
        reader.string("tenant", ""),
        fields.get("retry") not in (None, 0, "0", "", False),
        reference,
        work / 1e3 if work else None,
        reader.number("need_mb") or 0.0,
        statement,
    )


def is_hex(text: str, count: int) -> bool:
    """Whether the text consists of exactly `count` lower-case hex digits."""
    return len(text) == count and all(c in "0123456789abcdef" for c in text)


class FieldReader:
    """Access to a submission's fields by name, with a check of their types."""

    def __init__(self, fields: Mapping) -> None:
        """Wrap the fields as decoded from a request."""
        self.fields = fields

    def string(self, name: str, absent: str | None = None) -> str:
        """Return a string field, or `absent` if it is missing; raises `InvalidFieldError` otherwise."""
        value = self.fields.get(name, absent)
        if type(value) is not str:
            raise InvalidFieldError(name, "a string expected")
        return value

    def number(self, name: str) -> float | None:
        """Return a number from 0 to 1e12, or None if it is missing; raises `InvalidFieldError` otherwise."""
        value = self.fields.get(name)
        if value is None:
            return None
        if type(value) not in (int, float) or not 0 <= value < 1e12:
            raise InvalidFieldError(name, "a number from 0 up expected")
        return float(value)
