"""Limit on the memory that open requests hold, divided among their clients."""

from __future__ import annotations

from thistlelever.store.divided_memory import DividedMemory

# What a request holds beside its statement: its task, its inbox, its timer and its place in the decisions.
REQUEST_BYTES = 8_192


def request_size(statement: bytes) -> int:
    """Return the bytes that a request with this statement counts for."""
    return REQUEST_BYTES + len(statement)


class RequestMemory(DividedMemory):
    """The bytes that open requests hold, in all and by client."""
