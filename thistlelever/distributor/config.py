"""The configuration of a distributor: reads and validates one JSON file."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from thistlelever.ground.operator import Address, describe_error

Seconds = Annotated[float, Meta(gt=0, le=3_600)]

# The minimum of `election_after_s`, in heartbeats. A follower has contact with its publisher once per
# heartbeat, and notices the loss of it only after the reply timeout on top of that.
MIN_ELECTION_HEARTBEATS = 2.5


class ConfigError(Exception):
    """The configuration is invalid; the text names the key."""


class SubsetSection(Struct, frozen=True, forbid_unknown_fields=True):
    """How subsets are selected: `engines` is the number of engines per front, `home_share` the share of them
    in the front's own zone, and `least` the minimum number of each kind that some query class needs. `fronts`
    is the number of fronts in the tier and `zone_fronts` that of its largest zone, or 0 if fronts have no
    rank within their zone."""

    fronts: Annotated[int, Meta(ge=1, le=100_000)]
    engines: Annotated[int, Meta(ge=1, le=4_096)] = 96
    home_share: Annotated[float, Meta(ge=0, le=1)] = 0.5
    least: Annotated[int, Meta(ge=0, le=256)] = 4
    zone_fronts: Annotated[int, Meta(ge=0, le=100_000)] = 0


class DistributorConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration of one distributor. `distributors` holds the addresses of all distributors, this one
    at `index`. With `publisher` it claims the publisher's role when it starts. `store` is the path of the
    file that keeps its content; without it nothing is kept across restarts."""

    name: Annotated[str, Meta(min_length=1, max_length=128)]
    index: Annotated[int, Meta(ge=0, le=63)]
    listen: Address
    distributors: Annotated[tuple[Address, ...], Meta(min_length=1, max_length=64)]
    subset: SubsetSection
    publisher: bool = False
    store: str | None = None
    heartbeat_s: Seconds = 2.0
    # A publisher that no distributor has had contact with for this long is replaced automatically; None: only
    # an operator replaces it.
    election_after_s: Seconds | None = None
    # Maximum rate of answers with a whole subset and of requests that list all held records.
    snapshots_per_s: Annotated[float, Meta(ge=1, le=10_000)] = 50.0
    # Maximum number of connections, maximum size of a published change, and maximum memory for the bodies of
    # all present requests.
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
    publish_body_mb: Annotated[float, Meta(gt=0, le=1_024)] = 32.0
    request_memory_mb: Annotated[float, Meta(gt=0, le=16_384)] = 96.0
    # Number of changes kept, so that followers can catch up with a delta instead of a snapshot.
    history: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000


def load(path: str) -> DistributorConfig:
    """Reads the configuration from a file. Raises `ConfigError`, with the path of the invalid key."""
    try:
        with open(path, "rb") as file:
            return read(file.read())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None


def read(data: bytes) -> DistributorConfig:
    """Parses and validates a configuration in JSON. Raises `ConfigError`, with the path of the invalid
    key."""
    try:
        config = msgspec.json.decode(data, type=DistributorConfig)
    except msgspec.ValidationError as error:
        raise ConfigError(describe_error(error)) from None
    except msgspec.DecodeError as error:
        raise ConfigError(f"no JSON: {error}") from None
    # Besides the body itself its copy is held while the change is carried out.
    if config.request_memory_mb < 2 * config.publish_body_mb:
        raise ConfigError("request_memory_mb: at least twice publish_body_mb expected")
    if config.index >= len(config.distributors):
        raise ConfigError(f"index: a place among {len(config.distributors)} distributors expected")
    minimum = MIN_ELECTION_HEARTBEATS * config.heartbeat_s
    if config.election_after_s is not None and config.election_after_s < minimum:
        raise ConfigError(
            f"election_after_s: {minimum:g} at least expected, {MIN_ELECTION_HEARTBEATS:g} heartbeats"
        )
    return config
