"""The configuration of a distributor: one JSON file, read and checked here."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from thistlelever.ground.operator import Address, describe_error

Seconds = Annotated[float, Meta(gt=0, le=3_600)]


# A follower hears of its publisher once a heartbeat, and of its loss a patience later.
MIN_ELECTION_HEARTBEATS = 2.5


class ConfigError(Exception):
    """The configuration can't be used; the text names the key."""


class SubsetSection(Struct, frozen=True, forbid_unknown_fields=True):
    """How many engines a front holds, what share of them in its own zone, at least how many of each kind
    that some query class needs, how many fronts the tier has, and how many its largest zone has: 0 where
    fronts are not told their rank in their zone."""

    fronts: Annotated[int, Meta(ge=1, le=100_000)]
    engines: Annotated[int, Meta(ge=1, le=4_096)] = 96
    home_share: Annotated[float, Meta(ge=0, le=1)] = 0.5
    least: Annotated[int, Meta(ge=0, le=256)] = 4
    zone_fronts: Annotated[int, Meta(ge=0, le=100_000)] = 0


class DistributorConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """One distributor. `distributors` holds the addresses of all, this one at place `index`; `publisher` is
    whether it claims the publisher's role when it starts; `store` is the file that keeps its content."""

    name: Annotated[str, Meta(min_length=1, max_length=128)]
    index: Annotated[int, Meta(ge=0, le=63)]
    listen: Address
    distributors: Annotated[tuple[Address, ...], Meta(min_length=1, max_length=64)]
    subset: SubsetSection
    publisher: bool = False
    store: str | None = None
    heartbeat_s: Seconds = 2.0
    # A publisher that nobody has heard for so long is replaced by itself; None: by an operator.
    election_after_s: Seconds | None = None
    # Fronts that are told their whole subset, or that name all that they hold, a second.
    snapshots_per_s: Annotated[float, Meta(ge=1, le=10_000)] = 50.0
    # Changes that are kept so that others can catch up by a delta.
    history: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000


def load(path: str) -> DistributorConfig:
    """The configuration in a file; `ConfigError` with the path of the key at fault."""
    try:
        with open(path, "rb") as file:
            return read(file.read())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None


def read(data: bytes) -> DistributorConfig:
    """The configuration that the bytes hold."""
    try:
        config = msgspec.json.decode(data, type=DistributorConfig)
    except msgspec.ValidationError as error:
        raise ConfigError(describe_error(error)) from None
    except msgspec.DecodeError as error:
        raise ConfigError(f"no JSON: {error}") from None
    if config.index >= len(config.distributors):
        raise ConfigError(f"index: a place among {len(config.distributors)} distributors expected")
    shortest = MIN_ELECTION_HEARTBEATS * config.heartbeat_s
    if config.election_after_s is not None and config.election_after_s < shortest:
        raise ConfigError(
            f"election_after_s: {shortest:g} at least expected, {MIN_ELECTION_HEARTBEATS:g} heartbeats"
        )
    return config
