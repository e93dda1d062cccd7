"""Versions of the distributed content."""

from __future__ import annotations

from typing import NamedTuple

# A version packed into one integer keeps this many bits for its number.
NUMBER_BITS = 40


class Version(NamedTuple):
    """One version of the whole content. Versions are ordered by term, then by number.

    A term belongs to one publisher: whoever takes the role over takes a higher term, so that nothing that the
    former publisher still says is newer than what the present one has said.
    """

    term: int
    number: int

    def __str__(self) -> str:
        """`TERM.NUMBER`, as `parse` reads it."""
        return f"{self.term}.{self.number}"

    def packed(self) -> int:
        """One integer with the same order, for records that have room for no more."""
        return self.term << NUMBER_BITS | self.number


# Older than every version that is published.
NO_VERSION = Version(0, 0)


def unpacked(value: int) -> Version:
    """The version that `Version.packed` made `value` of."""
    return Version(value >> NUMBER_BITS, value & (1 << NUMBER_BITS) - 1)


def parse(text: str) -> Version:
    """The version that is written `TERM.NUMBER`; `ValueError` where it is not."""
    term, dot, number = text.partition(".")
    if not (dot and term.isdecimal() and number.isdecimal()):
        raise ValueError(f"{text!r}: TERM.NUMBER expected")
    return Version(int(term), int(number))
