"""Versions of the distributed content."""

from __future__ import annotations

from typing import NamedTuple

# Bits of a packed version that hold its number.
NUMBER_BITS = 40


class Version(NamedTuple):
    """One version of the whole content. Versions are ordered by term, then by number.

    A term belongs to one publisher. A new publisher uses a higher term, so that its versions are newer than
    any that the former publisher may still create.
    """

    term: int
    number: int

    def __str__(self) -> str:
        """Formats the version as `TERM.NUMBER`, which `parse` reads."""
        return f"{self.term}.{self.number}"

    def packed(self) -> int:
        """Packs the version into one integer with the same order, for records with a single integer field."""
        return self.term << NUMBER_BITS | self.number


# Older than every published version.
NO_VERSION = Version(0, 0)


def unpacked(value: int) -> Version:
    """Restores a version from an integer; the inverse of `Version.packed`."""
    return Version(value >> NUMBER_BITS, value & (1 << NUMBER_BITS) - 1)


def parse(text: str) -> Version:
    """Parses `TERM.NUMBER`; raises `ValueError` for any other text."""
    term, dot, number = text.partition(".")
    if not (dot and term.isdecimal() and number.isdecimal()):
        raise ValueError(f"{text!r}: TERM.NUMBER expected")
    return Version(int(term), int(number))
