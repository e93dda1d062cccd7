"""How old is old: by two clocks, neither of which is believed alone."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class ClockReading(NamedTuple):
    """The wall's clock, the machine's since its boot, and which boot that was."""

    wall: float
    since_boot: float
    boot: str


class Age(NamedTuple):
    """At least and at most, in seconds."""

    least: float
    most: float


class Grade(IntEnum):
    """What an entry may be used for, best first."""

    # At once; once it was asked and has answered; where nothing better is left.
    FRESH = 0
    ASKED = 1
    LAST = 2


class AgeLimits(NamedTuple):
    """Up to which age an entry is used at once, and from which on only where nothing better is left;
    seconds."""

    fresh: float = 30.0
    old: float = 3_600.0


def age(then_wall: float, then_since_boot: float, then_boot: str, now: ClockReading) -> Age:
    """Of something that was so at that moment. In one boot the machine's clock tells it exactly. Across
    boots the wall's clock may have been set in between: an age under the time since this boot is none, and a
    moment in the future says nothing but that."""
    if then_boot and then_boot == now.boot and now.since_boot >= then_since_boot:
        exact = now.since_boot - then_since_boot
        return Age(exact, exact)
    passed = now.wall - then_wall
    if passed < 0 or then_boot and passed < now.since_boot:
        return Age(now.since_boot if then_boot else 0.0, float("inf"))
    return Age(passed, passed)


def grade(entry_age: Age, limits: AgeLimits) -> Grade:
    """By the most that it may be: older is never trusted more."""
    if entry_age.most <= limits.fresh:
        return Grade.FRESH
    return Grade.ASKED if entry_age.most <= limits.old else Grade.LAST


def trust(entry_age: Age, limits: AgeLimits) -> float:
    """From 1 down to 0, never rising with age: half is lost by the time that it is old."""
    return 1.0 if entry_age.most <= limits.fresh else limits.old / (limits.old + entry_age.most)
