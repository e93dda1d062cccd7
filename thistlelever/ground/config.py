"""Reads and checks a front's configuration: the JSON file that BALANCER_CONFIG names."""

from __future__ import annotations

import os
from collections.abc import Iterator, Mapping
from typing import NamedTuple

import orjson

from thistlelever.ground import interface as it
from thistlelever.ground.settings import ConfigError, SettingsReader, build_settings

Address = tuple[str, int]
# Defaults of the section `limits`: file descriptors, memory in MB and CPU cores of the front. They bound its
# connections; dispatch decisions do not use them.
DEFAULT_SOCKETS, DEFAULT_MEMORY_MB, DEFAULT_CORES = 1024, 192.0, 1.0
# The states of engines by their names in the registry's events.
ENGINE_STATES = {
    "Ready": it.EngineState.READY,
    "Terminating": it.EngineState.DRAINING,
    "Gone": it.EngineState.GONE,
}


class Entry(NamedTuple):
    """An engine of the list and the address where it listens."""

    engine: it.Engine
    address: Address


class Config(NamedTuple):
    """The configuration of one front.

    `seed` seeds its random choices; `directory` is the address of the DNS directory; `known` is the list of
    engines at the version `serial`; `zones` and `kinds` are names by index. `idle` (seconds until an idle
    connection is closed) and `answer_slack` (seconds) come from the settings.
    """

    name: str
    listen: Address
    seed: int
    sockets: int
    memory_mb: float
    cores: float
    peer_listen: Address | None
    # The peer addresses of all fronts of the tier; `rank` is this front's index among them, -1 if unknown.
    peers: tuple[Address, ...]
    rank: int
    directory: Address
    serial: int
    known: tuple[Entry, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    idle: float
    answer_slack: float
    settings: it.Settings


class ConfigNode:
    """A JSON value of the configuration with its path, which error messages name.

    All methods raise `ConfigError` where the value is not of the form they return.
    """

    def __init__(self, value, path: str = "") -> None:
        """Wrap a decoded value; the root has the empty path."""
        self.value, self.path = value, path

    def expected(self, wanted: str) -> ConfigError:
        """Return the error that says what was expected at this path."""
        return ConfigError(f"{self.path or 'the configuration'}: {wanted} expected")

    def require(self, key: str) -> ConfigNode:
        """Return the value of a required key of an object."""
        path = f"{self.path}.{key}" if self.path else key
        if type(self.value) is not dict:
            raise self.expected("an object")
        if key not in self.value:
            raise ConfigError(f"{path}: missing")
        return ConfigNode(self.value[key], path)

    def get(self, key: str) -> ConfigNode | None:
        """Return the value of an optional key of an object, or None."""
        if type(self.value) is dict and key not in self.value:
            return None
        return self.require(key)

    def items(self) -> list[ConfigNode]:
        """Return the items of a list."""
        if type(self.value) is not list:
            raise self.expected("a list")
        return [ConfigNode(value, f"{self.path}[{n}]") for n, value in enumerate(self.value)]

    def string(self) -> str:
        """Return a non-empty string."""
        if type(self.value) is not str or not self.value:
            raise self.expected("a string")
        return self.value

    def number(self, least: float = 0.0) -> float:
        """Return a number of at least `least`."""
        if type(self.value) not in (int, float) or self.value < least:
            raise self.expected(f"a number from {least:g} up")
        return float(self.value)

    def integer(self, least: int = 0) -> int:
        """Return an integer of at least `least`."""
        if type(self.value) is not int or self.value < least:
            raise self.expected(f"a whole number from {least} up")
        return self.value

    def boolean(self) -> bool:
        """Return a boolean."""
        if type(self.value) is not bool:
            raise self.expected("true or false")
        return self.value

    def choice(self, known: Mapping):
        """Return the value that `known` has for this string."""
        if type(self.value) is not str or self.value not in known:
            raise self.expected(f"one of {', '.join(known)}")
        return known[self.value]

    def address(self) -> Address:
        """Return host and port of a string `HOST:PORT`."""
        host, _, port = self.string().rpartition(":")
        if not host or not port.isdigit() or not 0 <= int(port) < 65536:
            raise self.expected("HOST:PORT")
        return host, int(port)


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration from the file that BALANCER_CONFIG names; raises `ConfigError`."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: missing; the path of the configuration is expected")
    try:
        with open(path, "rb") as file:
            value = orjson.loads(file.read())
    except OSError as why:
        raise ConfigError(f"BALANCER_CONFIG: {path}: {why.strerror}") from None
    except orjson.JSONDecodeError as why:
        raise ConfigError(f"BALANCER_CONFIG: {path}: no JSON: {why}") from None
    return read(value, environ)


def read(value, environ: Mapping[str, str]) -> Config:
    """Check a decoded configuration and fill in the defaults; raises `ConfigError` with the key's path.

    `name` and `listen` may be absent if the environment has BALANCER_NAME and BALANCER_LISTEN.
    """
    root = ConfigNode(value)
    name = root.get("name") or ConfigNode(environ.get("BALANCER_NAME"), "name")
    listen = root.get("listen") or ConfigNode(environ.get("BALANCER_LISTEN"), "listen")
    seed = root.require("seed")
    try:
        seed_value = int(seed.string(), 16)
    except ValueError:
        raise seed.expected("hex digits") from None
    limits = root.get("limits") or ConfigNode({}, "limits")
    sockets, memory, cores = limits.get("sockets"), limits.get("memory_mb"), limits.get("cores")
    reader = SettingsReader(flatten_settings(root.require("settings")))
    zones, kinds = tuple(reader.items("FailureDomains")), tuple(reader.items("Kinds"))
    known = root.require("known")
    peer, peers = root.get("peer_listen"), root.get("peers")
    return Config(
        name=name.string(),
        listen=listen.address(),
        seed=seed_value,
        sockets=sockets.integer(64) if sockets else DEFAULT_SOCKETS,
        memory_mb=memory.number(1.0) if memory else DEFAULT_MEMORY_MB,
        cores=cores.number() if cores else DEFAULT_CORES,
        peer_listen=peer.address() if peer else None,
        peers=tuple(node.address() for node in peers.items()) if peers else (),
        rank=reader.integer("Rank") if "Rank" in reader.pairs else -1,
        directory=root.require("dns").address(),
        serial=known.require("pos").integer(),
        known=tuple(apply_events(known.require("entries").items(), zones, kinds)),
        zones=zones,
        kinds=kinds,
        idle=reader.seconds("Limits.Keepalive"),
        answer_slack=reader.seconds("Invariants.AnswerSlack"),
        settings=build_settings(reader),
    )


def apply_events(events: list[ConfigNode], zones: tuple[str, ...], kinds: tuple[str, ...]) -> list[Entry]:
    """Return the list of engines after a sequence of registry events.

    An event with `reset` starts a new list; any other adds, changes or removes the engines that it names.
    Raises `ConfigError` for an event that is malformed or names an unknown zone or kind.
    """
    entries: dict[str, Entry] = {}
    zone_indexes = {zone: z for z, zone in enumerate(zones)}
    kind_indexes = {kind: k for k, kind in enumerate(kinds)}
    for event in events:
        hosts = event.require("hosts")
        reset = hosts.get("reset")
        if reset and reset.boolean():
            entries.clear()
        for instance in hosts.require("instances").items():
            name = instance.require("instanceId").string()
            state = instance.require("lifecycle").choice(ENGINE_STATES)
            if state is it.EngineState.GONE:
                entries.pop(name, None)
                continue
            cell, weight, started = (instance.get(key) for key in ("cell", "weight", "startedAtMs"))
            engine = it.Engine(
                name.encode(),
                instance.require("zone").choice(zone_indexes),
                cell.integer() if cell else 0,
                instance.require("machineType").choice(kind_indexes),
                state,
                started.number() / 1e3 if started else 0.0,
                weight.number() if weight else 1.0,
            )
            entries[name] = Entry(engine, instance.require("hostPort").address())
    return list(entries.values())


def flatten_settings(settings: ConfigNode) -> dict[str, str]:
    """Flatten nested settings into strings by dotted path, the form in which `ground/settings.py` reads them.

    A list of objects is written with indexes in the path and its length as `PATH.count`; other lists are
    joined by commas.
    """
    if type(settings.value) is not dict:
        raise settings.expected("an object")
    return dict(flatten("", settings.value))


def flatten(path: str, value) -> Iterator[tuple[str, str]]:
    """Yield the paths and texts of a JSON value and all values in it; nulls are left out."""
    if type(value) is dict:
        for key, inner in value.items():
            yield from flatten(f"{path}.{key}" if path else key, inner)
    elif type(value) is list and any(type(item) is dict for item in value):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from flatten(f"{path}.{index}", item)
    elif type(value) is list:
        yield path, ",".join(map(setting_text, value))
    elif value is not None:
        yield path, setting_text(value)


def setting_text(value) -> str:
    """Return a JSON scalar as a setting has it; spaces and commas become underscores."""
    if type(value) is bool:
        return "true" if value else "false"
    # Same escape as in the text form of the settings, where a comma separates the items of a list.
    return str(value).replace(" ", "_").replace(",", "_")
