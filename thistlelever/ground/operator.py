"""The operator file: JSON that switches on the optional subsystems of a front, one section each.

All sections are absent by default. `deploy/operator.schema.json` is generated from the types of this module,
with their docstrings as its descriptions.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from importlib.util import find_spec
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from thistlelever.ground.settings import ConfigError

Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$", description="IPv4 address and port")]
Name = Annotated[str, Meta(min_length=1, max_length=128)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Bytes = Annotated[int, Meta(ge=1_024, le=1_073_741_824)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
# The third-party modules that a section needs; the package's extra of the same name installs them.
REQUIRED_MODULES = {
    "flight": ("grpc", "google.rpc", "pyarrow", "itsdangerous"),
    "takeover": ("xxhash",),
    "state": ("apsw",),
}

# Keys that take effect at a reload; all others need a restart.
RELOADABLE_KEYS = frozenset(
    [
        f"flight.{key}"
        for key in (
            "kinds",
            "engines",
            "group",
            "tenant",
            "wait_ms",
            "group_header",
            "tenant_header",
            "ticket_s",
            "catalog",
            "tables",
        )
    ]
    + [f"budgets.{key}" for key in ("brokers", "other", "threads_a_core", "depth", "waste")]
)


class Table(Struct, frozen=True, forbid_unknown_fields=True):
    """A table that catalog requests list; queries are not limited to the tables given."""

    schema: Name
    name: Name


class Flight(Struct, frozen=True, forbid_unknown_fields=True):
    """Arrow Flight SQL: an endpoint for clients if `listen` is given, and engines that are called by it."""

    listen: Address | None = None
    kinds: tuple[Name, ...] = ()
    engines: tuple[Name, ...] = ()
    group: Name | None = None
    tenant: Name | None = None
    wait_ms: Annotated[float, Meta(gt=0, le=1e9)] | None = None
    group_header: Annotated[str, Meta(pattern=r"^[a-z0-9_.-]{1,64}$")] = "x-group"
    tenant_header: Annotated[str, Meta(pattern=r"^[a-z0-9_.-]{1,64}$")] = "x-tenant"
    ticket_s: Seconds = 60.0
    streams: Count = 256
    held_bytes: Bytes = 262_144
    held_bytes_all: Bytes = 16_777_216
    tickets: Count = 20_000
    prepared: Count = 1_024
    sessions: Count = 256
    idle_s: Seconds = 900.0
    descriptors: Count = 64
    catalog: Name = "thistlelever"
    tables: tuple[Table, ...] = ()


class Share(Struct, frozen=True, forbid_unknown_fields=True):
    """A share of the threads that all engines run for this front: the guaranteed and the maximum fraction,
    the core-seconds that may be used at once after an idle time, and the weight among siblings."""

    guarantee: Fraction = 0.0
    ceiling: Fraction = 1.0
    burst: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0


class Team(Share, frozen=True, forbid_unknown_fields=True):
    """A team, under the name of a tenant in the settings; `groups` has shares for its query classes."""

    groups: dict[Name, Share] = {}


class Broker(Share, frozen=True, forbid_unknown_fields=True):
    """A broker with its teams."""

    teams: dict[Name, Team] = {}


class Budgets(Struct, frozen=True, forbid_unknown_fields=True):
    """Team budgets, applied before the dispatch decisions. Teams that no broker lists share `other`."""

    brokers: dict[Name, Broker] = {}
    other: Share = Share()
    threads_a_core: Annotated[float, Meta(gt=0, le=64)] = 2.0
    depth: Annotated[float, Meta(ge=0.1, le=16)] = 1.0
    waste: Fraction = 0.05


class Membership(Struct, frozen=True, forbid_unknown_fields=True):
    """Failure detection among the fronts of a tier, by datagrams to `peers` of the configuration."""

    tier: Name
    period_s: Annotated[float, Meta(ge=0.02, le=10)] = 0.1
    suspect_s: Annotated[float, Meta(ge=0.05, le=60)] = 0.4
    knock_s: Annotated[float, Meta(ge=0.1, le=60)] = 1.0


class Takeover(Struct, frozen=True, forbid_unknown_fields=True):
    """Open batches are taken over when their front is lost; requires `membership`. Query classes listed in
    `demand`, by default the non-idempotent ones, are refused while a batch can't be protected; others run
    unprotected."""

    places: Annotated[int, Meta(ge=2, le=7)] = 3
    lease_s: Annotated[float, Meta(ge=0.2, le=10)] = 1.0
    wait_s: Annotated[float, Meta(ge=0.005, le=2)] = 0.06
    keep_s: Annotated[float, Meta(ge=0.5, le=600)] = 5.0
    most_kept: Count = 20_000
    most_taken: Count = 256
    demand: tuple[Name, ...] | None = None


class State(Struct, frozen=True, forbid_unknown_fields=True):
    """State kept on disk across restarts, and how far a stored engine list is trusted at a start."""

    path: Annotated[str, Meta(min_length=1, max_length=4_096)]
    every_s: Annotated[float, Meta(ge=0.01, le=60)] = 0.2
    fresh_s: Annotated[float, Meta(ge=0, le=86_400)] = 30.0
    old_s: Annotated[float, Meta(ge=1, le=31_536_000)] = 3_600.0
    within_s: Annotated[float, Meta(ge=0.01, le=10)] = 0.25


class Distribution(Struct, frozen=True, forbid_unknown_fields=True):
    """The engine list from distributors, limited to what this front needs, in place of DNS discovery.
    `zone_rank` is this front's index among the fronts of its zone, -1 if unknown."""

    distributors: Annotated[tuple[Address, ...], Meta(min_length=1, max_length=64)]
    heartbeat_s: Annotated[float, Meta(ge=0.1, le=30)] = 2.0
    patience_s: Annotated[float, Meta(ge=0.05, le=30)] = 1.0
    start_within_s: Annotated[float, Meta(ge=0, le=60)] = 2.0
    zone_rank: Annotated[int, Meta(ge=-1, le=100_000)] = -1


class Admin(Struct, frozen=True, forbid_unknown_fields=True):
    """A Unix socket for requests about the running front, accessible to its own user only."""

    socket: Annotated[str, Meta(min_length=1, max_length=100)]


class Operator(Struct, frozen=True, forbid_unknown_fields=True):
    """The operator file."""

    flight: Flight | None = None
    budgets: Budgets | None = None
    membership: Membership | None = None
    takeover: Takeover | None = None
    state: State | None = None
    distribution: Distribution | None = None
    admin: Admin | None = None


def load(path: str | None = None, environ: Mapping[str, str] = os.environ) -> Operator:
    """Read the operator file at `path`, by default the one that BALANCER_OPERATOR names.

    Without either, all sections are absent. Raises `ConfigError` as `read` does, and for a file that can't be
    opened.
    """
    path = path or environ.get("BALANCER_OPERATOR")
    if not path:
        return Operator()
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as why:
        raise ConfigError(f"operator file: {path}: {why.strerror}") from None
    return read(data)


def read(data: bytes) -> Operator:
    """Parse and check the operator file; raises `ConfigError` with the path of the key at fault."""
    try:
        operator = msgspec.json.decode(data, type=Operator)
    except msgspec.ValidationError as why:
        raise ConfigError(f"operator file: {describe_error(why)}") from None
    except msgspec.DecodeError as why:
        raise ConfigError(f"operator file: no JSON: {why}") from None
    for section, modules in REQUIRED_MODULES.items():
        missing = [name for name in modules if getattr(operator, section) and not is_installed(name)]
        if missing:
            raise ConfigError(
                f"operator file: {section}: requires the extra {section!r} (pip install "
                f"'thistlelever[{section}]'); {missing[0]} is not installed"
            )
    if operator.flight and not (operator.flight.listen or operator.flight.kinds or operator.flight.engines):
        raise ConfigError("operator file: flight: a listen address, kinds or engines expected; found none")
    if operator.takeover and not operator.membership:
        raise ConfigError("operator file: takeover: a section membership expected; found none")
    return operator


def describe_error(error: msgspec.ValidationError) -> str:
    """Return the text of a validation error as `KEY.PATH: reason`."""
    what, _, path = str(error).partition(" - at ")
    key = path.strip("`").replace("$.", "").replace("$", "") or "top level"
    return f"{key}: {what}"


def is_installed(module: str) -> bool:
    """Whether a module can be found; it is not imported, but its parent packages are."""
    try:
        return find_spec(module) is not None
    except ModuleNotFoundError:
        return False


def schema() -> bytes:
    """Generate the JSON schema of the operator file, the content of `deploy/operator.schema.json`."""
    return msgspec.json.format(msgspec.json.encode(msgspec.json.schema(Operator)), indent=2) + b"\n"


def parse_address(text: str) -> tuple[str, int]:
    """Split `HOST:PORT` into host and port; the text has been checked against `Address`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def changed_keys(old: Operator, new: Operator, ignored: frozenset[str]) -> list[str]:
    """Return the paths of the keys that differ, without those in `ignored`.

    A section that was added or removed is named as a whole.
    """
    found = []
    for section in Operator.__struct_fields__:
        was, now = getattr(old, section), getattr(new, section)
        if (was is None) != (now is None):
            found.append(section)
        elif was is not None:
            changed = [key for key in was.__struct_fields__ if getattr(was, key) != getattr(now, key)]
            found += [f"{section}.{key}" for key in changed if f"{section}.{key}" not in ignored]
    return found
