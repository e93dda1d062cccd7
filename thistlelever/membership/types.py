"""What passes between the failure detector and whatever carries it."""

from __future__ import annotations

from typing import NamedTuple

from thistlelever.wire.peers import Message, State

Address = tuple[str, int]


class Identity(NamedTuple):
    """This front. `life` is when it started, in eighths of a second: a later life has a larger one."""

    name: str
    address: Address
    life: int


class TierSettings(NamedTuple):
    """What the settings say of the tier: addresses to meet it at, and how many fronts it has.

    The number holds as long as this front is alone; its own address may be among the others.
    """

    peers: tuple[Address, ...]
    fronts: int


class Send(NamedTuple):
    """A message that is to go to an address."""

    address: Address
    message: Message


class Change(NamedTuple):
    """A member's state that changed: who said so, over which path, how late."""

    at: float
    name: str
    state: State
    was: State | None
    by: str
    path: str
    late: float


class View(NamedTuple):
    """What others may act on. `alone` is why nothing of it may be acted on, or empty."""

    isolation_reason: str
    # Fronts taken to be alive, this one included; where `alone`, how many the settings name.
    fronts: int
    alive: int
    suspected: int
    unfit: int
