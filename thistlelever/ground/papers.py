"""The one place where a front's configuration is read, checked and given defaults."""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import NamedTuple

import orjson

from thistlelever.ground import interface as it
from thistlelever.ground import manifest
from thistlelever.ground.manifest import Conf, Unreadable

Address = tuple[str, int]
# What applies where the configuration is silent; all of it is about sockets, none about decisions.
DEFAULT_SOCKETS, DEFAULT_MEMORY_MB, DEFAULT_CORES = 1024, 192.0, 1.0
ENGINE_STATES = {
    "Ready": it.EngineState.READY,
    "Terminating": it.EngineState.DRAINING,
    "Gone": it.EngineState.GONE,
}


class Entry(NamedTuple):
    """An engine and where it listens."""

    engine: it.Engine
    address: Address


class Papers(NamedTuple):
    """All that one front is told at its start."""

    name: str
    listen: Address
    seed: int
    sockets: int
    memory_mb: float
    cores: float
    peer_listen: Address | None
    # One address for each front of the tier; `rank` is this front's place among them, or -1.
    peers: tuple[Address, ...]
    rank: int
    directory: Address
    serial: int
    known: tuple[Entry, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    idle: float
    answer_slack: float
    manifest: it.Settings


class Node:
    """A part of the configuration that knows its own path, so that a complaint can name it."""

    def __init__(self, value, path: str = "") -> None:
        self.value, self.path = value, path

    def bad(self, wanted: str) -> Unreadable:
        return Unreadable(f"{self.path or 'the configuration'}: {wanted} expected")

    def at(self, key: str) -> Node:
        path = f"{self.path}.{key}" if self.path else key
        if type(self.value) is not dict:
            raise self.bad("an object")
        if key not in self.value:
            raise Unreadable(f"{path}: missing")
        return Node(self.value[key], path)

    def get(self, key: str) -> Node | None:
        if type(self.value) is dict and key not in self.value:
            return None
        return self.at(key)

    def items(self) -> list[Node]:
        if type(self.value) is not list:
            raise self.bad("a list")
        return [Node(value, f"{self.path}[{n}]") for n, value in enumerate(self.value)]

    def string(self) -> str:
        if type(self.value) is not str or not self.value:
            raise self.bad("a string")
        return self.value

    def number(self, least: float = 0.0) -> float:
        if type(self.value) not in (int, float) or self.value < least:
            raise self.bad(f"a number from {least:g} up")
        return float(self.value)

    def whole(self, least: int = 0) -> int:
        if type(self.value) is not int or self.value < least:
            raise self.bad(f"a whole number from {least} up")
        return self.value

    def truth(self) -> bool:
        if type(self.value) is not bool:
            raise self.bad("true or false")
        return self.value

    def among(self, known: Mapping):
        if type(self.value) is not str or self.value not in known:
            raise self.bad(f"one of {', '.join(known)}")
        return known[self.value]

    def address(self) -> Address:
        host, _, port = self.string().rpartition(":")
        if not host or not port.isdigit() or not 0 <= int(port) < 65536:
            raise self.bad("HOST:PORT")
        return host, int(port)


def load(environ: Mapping[str, str] = os.environ) -> Papers:
    """The papers that the environment names."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise Unreadable("BALANCER_CONFIG: missing; the path of the configuration is expected")
    try:
        with open(path, "rb") as file:
            value = orjson.loads(file.read())
    except OSError as why:
        raise Unreadable(f"BALANCER_CONFIG: {path}: {why.strerror}") from None
    except orjson.JSONDecodeError as why:
        raise Unreadable(f"BALANCER_CONFIG: {path}: no JSON: {why}") from None
    return read(value, environ)


def read(value, environ: Mapping[str, str]) -> Papers:
    """The papers that a configuration holds; name and place may come from the environment alone."""
    root = Node(value)
    name = root.get("name") or Node(environ.get("BALANCER_NAME"), "name")
    listen = root.get("listen") or Node(environ.get("BALANCER_LISTEN"), "listen")
    seed = root.at("seed")
    try:
        chance = int(seed.string(), 16)
    except ValueError:
        raise seed.bad("hex digits") from None
    limits = root.get("limits") or Node({}, "limits")
    sockets, memory, cores = limits.get("sockets"), limits.get("memory_mb"), limits.get("cores")
    conf = Conf(pairs(root.at("settings")))
    zones, kinds = tuple(conf.words("FailureDomains")), tuple(conf.words("Kinds"))
    known = root.at("known")
    peer, peers = root.get("peer_listen"), root.get("peers")
    return Papers(
        name=name.string(),
        listen=listen.address(),
        seed=chance,
        sockets=sockets.whole(64) if sockets else DEFAULT_SOCKETS,
        memory_mb=memory.number(1.0) if memory else DEFAULT_MEMORY_MB,
        cores=cores.number() if cores else DEFAULT_CORES,
        peer_listen=peer.address() if peer else None,
        peers=tuple(node.address() for node in peers.items()) if peers else (),
        rank=conf.whole("Rank") if "Rank" in conf.pairs else -1,
        directory=root.at("dns").address(),
        serial=known.at("pos").whole(),
        known=tuple(listed(known.at("entries").items(), zones, kinds)),
        zones=zones,
        kinds=kinds,
        idle=conf.seconds("Limits.Keepalive"),
        answer_slack=conf.seconds("Invariants.AnswerSlack"),
        manifest=manifest.made(conf),
    )


def listed(events: list[Node], zones: tuple[str, ...], kinds: tuple[str, ...]) -> list[Entry]:
    """The list after all events: the first holds it whole, later ones what has changed."""
    entries: dict[str, Entry] = {}
    places = {zone: z for z, zone in enumerate(zones)}, {kind: k for k, kind in enumerate(kinds)}
    for event in events:
        hosts = event.at("hosts")
        reset = hosts.get("reset")
        if reset and reset.truth():
            entries.clear()
        for instance in hosts.at("instances").items():
            name = instance.at("instanceId").string()
            state = instance.at("lifecycle").among(ENGINE_STATES)
            if state is it.EngineState.GONE:
                entries.pop(name, None)
                continue
            cell, weight, started = (instance.get(key) for key in ("cell", "weight", "startedAtMs"))
            engine = it.Engine(
                name.encode(),
                instance.at("zone").among(places[0]),
                cell.whole() if cell else 0,
                instance.at("machineType").among(places[1]),
                state,
                started.number() / 1e3 if started else 0.0,
                weight.number() if weight else 1.0,
            )
            entries[name] = Entry(engine, instance.at("hostPort").address())
    return list(entries.values())


def pairs(settings: Node) -> dict[str, str]:
    """Nested settings as the pairs of path and value that the bench's wire has them in."""
    found: dict[str, str] = {}

    def word(value) -> str:
        if type(value) is bool:
            return "true" if value else "false"
        # As on the bench's wire: a comma is kept for lists.
        return str(value).replace(" ", "_").replace(",", "_")

    def walk(path: str, value) -> None:
        if type(value) is dict:
            for key, inner in value.items():
                walk(f"{path}.{key}" if path else key, inner)
        elif type(value) is list and any(type(item) is dict for item in value):
            found[f"{path}.count"] = str(len(value))
            for place, item in enumerate(value):
                walk(f"{path}.{place}", item)
        elif type(value) is list:
            found[path] = ",".join(map(word, value))
        elif value is not None:
            found[path] = word(value)

    if type(settings.value) is not dict:
        raise settings.bad("an object")
    walk("", settings.value)
    return found
