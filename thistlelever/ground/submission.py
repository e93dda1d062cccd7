"""The fields of one batch as its client sent them, checked in one place, whatever door they came by."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class Unfit(Exception):
    """A field of a submission can't be used; `still_open` where it names what is open already."""

    def __init__(self, field: str, why: str, still_open: bool = False) -> None:
        super().__init__(f"{field}: {why}")
        self.field, self.still_open = field, still_open


class Submission(NamedTuple):
    """One batch; times in seconds, memory in MB, the statement as the client wrote it."""

    txn: str
    wait: float
    consignor: str
    repeat: bool
    reference: str
    work: float | None
    memory: float
    statement: bytes


def submission(fields: Mapping, statement: bytes) -> Submission:
    """The batch that fields describe: id, wait, tenant, once, cost, need_mb, retry; `Unfit` names the field
    that is missing or out of form."""
    given = Fields(fields)
    txn = given.string("id")
    if not digits(txn, 16):
        raise Unfit("id", "16 hex digits expected")
    wait = given.figure("wait")
    if wait is None or wait <= 0:
        raise Unfit("wait", "milliseconds above 0 expected")
    reference = given.string("once", "")
    if reference and not digits(reference, 32):
        # It goes into a header as it is.
        raise Unfit("once", "32 hex digits expected")
    work = given.figure("cost")
    return Submission(
        txn,
        wait / 1e3,
        given.string("tenant", ""),
        fields.get("retry") not in (None, 0, "0", "", False),
        reference,
        work / 1e3 if work else None,
        given.figure("need_mb") or 0.0,
        statement,
    )


def digits(word: str, count: int) -> bool:
    return len(word) == count and all(c in "0123456789abcdef" for c in word)


class Fields:
    """Fields by name, each checked as it is taken."""

    def __init__(self, fields: Mapping) -> None:
        self.fields = fields

    def string(self, name: str, absent: str | None = None) -> str:
        value = self.fields.get(name, absent)
        if type(value) is not str:
            raise Unfit(name, "a string expected")
        return value

    def figure(self, name: str) -> float | None:
        value = self.fields.get(name)
        if value is None:
            return None
        if type(value) not in (int, float) or not 0 <= value < 1e12:
            raise Unfit(name, "a number from 0 up expected")
        return float(value)
