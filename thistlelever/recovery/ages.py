"""Ages of stored records, computed from two clocks, neither of which is sufficient alone."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class ClockReading(NamedTuple):
    """The wall clock and the boot-time clock in seconds, and the identifier of the boot."""

    wall: float
    since_boot: float
    boot: str


class Age(NamedTuple):
    """Lower and upper bound of an age in seconds."""

    least: float
    most: float


class Grade(IntEnum):
    """How an engine record may be used, best first.

    FRESH: without a probe. ASKED: after the engine answered a probe. LAST: like ASKED, but the engine is
    probed only when no better one is left.
    """

    FRESH = 0
    ASKED = 1
    LAST = 2


class AgeLimits(NamedTuple):
    """Limits of the grades in seconds.

    Records up to `fresh` are used without a probe; records older than `old` only when no better one is left.
    """

    fresh: float = 30.0
    old: float = 3_600.0


def age(then_wall: float, then_since_boot: float, then_boot: str, now: ClockReading) -> Age:
    """Return the age of a record that was written at the given time.

    Within one boot the boot-time clock gives it exactly. Across boots the wall clock may have been set in the
    meantime: a record that appears younger than the current boot, or lies in the future, has no upper bound.
    """
    if then_boot and then_boot == now.boot and now.since_boot >= then_since_boot:
        exact = now.since_boot - then_since_boot
        return Age(exact, exact)
    passed = now.wall - then_wall
    if passed < 0 or then_boot and passed < now.since_boot:
        return Age(now.since_boot if then_boot else 0.0, float("inf"))
    return Age(passed, passed)


def grade(entry_age: Age, limits: AgeLimits) -> Grade:
    """Grade an age by its upper bound, so that an older record never gets a better grade."""
    if entry_age.most <= limits.fresh:
        return Grade.FRESH
    return Grade.ASKED if entry_age.most <= limits.old else Grade.LAST


def trust(entry_age: Age, limits: AgeLimits) -> float:
    """Return a trust value from 1 (fresh) towards 0 that never rises with age; 0.5 at `limits.old`."""
    return 1.0 if entry_age.most <= limits.fresh else limits.old / (limits.old + entry_age.most)
