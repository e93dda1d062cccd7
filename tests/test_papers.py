"""Configuration, log and metrics: an invalid key is reported in one line before a port opens."""

import json
import logging
import socket
from io import BytesIO

import pytest
from click.testing import CliRunner
from thistlelever.standins.configuration import configuration

from thistlelever.__main__ import main
from thistlelever.ground import interface as it
from thistlelever.ground import config as front_config
from thistlelever.ground.log import MAX_LINES_A_MINUTE, LibraryLogHandler, Log
from thistlelever.store.engine_registry import EngineRegistry
from thistlelever.ground.metrics import Metrics

ENTRY = [("s-1", "127.0.0.1:8443")]
HOSTS = "known.entries.0.hosts.instances.0."


def changed(path, value):
    """The configuration with the key at a dotted path set, or removed where the value is None."""
    config = configuration(ENTRY)
    *steps, last = path.split(".")
    node = config
    for step in steps:
        node = node[int(step) if step.isdigit() else step]
    if value is None:
        del node[last]
    else:
        node[last] = value
    return config


@pytest.mark.parametrize(
    "path, value, message",
    [
        ("listen", "nowhere", "listen: HOST:PORT expected"),
        ("dns", None, "dns: missing"),
        ("seed", "xyz", "seed: hex digits expected"),
        ("known.pos", -1, "known.pos: a whole number"),
        ("limits.sockets", "many", "limits.sockets: a whole number"),
        (HOSTS + "lifecycle", "Sleeping", "known.entries[0].hosts.instances[0].lifecycle: one of Ready,"),
        (HOSTS + "machineType", "huge", "instances[0].machineType: one of std expected"),
        (HOSTS + "hostPort", "127.0.0.1", "instances[0].hostPort: HOST:PORT expected"),
        ("settings", [], "settings: an object expected"),
        ("settings.Limits.Keepalive", None, "setting Limits.Keepalive is missing"),
        ("settings.Classes.0.Slo", "soon", "setting Classes.0.Slo is not a number: soon"),
        (
            "settings.Classes.0.RunsIn",
            ["est"],
            "setting Classes.0.RunsIn: est is not in FailureDomains",
        ),
        ("settings.Telemetry.How", "loudly", "setting Telemetry.How has an unknown value: loudly"),
    ],
)
def test_a_fault_names_its_key(tmp_path, path, value, message):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(changed(path, value)))
    done = CliRunner().invoke(main, ["serve"], env={"BALANCER_CONFIG": str(file)})
    assert done.exit_code == 2 and message in done.stderr and done.stderr.count("\n") == 1


@pytest.mark.parametrize("text, message", [(None, "No such file"), ("{", "no JSON")])
def test_a_file_that_is_none(tmp_path, text, message):
    file = tmp_path / "config.json"
    if text:
        file.write_text(text)
    done = CliRunner().invoke(main, ["check"], env={"BALANCER_CONFIG": str(file)})
    assert done.exit_code == 2 and message in done.stderr and done.stderr.count("\n") == 1


def test_later_events_change_the_first_list_and_defaults_hold():
    config = configuration([*ENTRY, ("s-2", "127.0.0.1:8444"), ("s-3", "127.0.0.1:8445")])
    first = config["known"]["entries"][0]["hosts"]["instances"]
    config["known"]["entries"].append(
        {
            "pos": 2,
            "hosts": {
                "instances": [first[0] | {"lifecycle": "Terminating"}, first[1] | {"lifecycle": "Gone"}]
            },
        }
    )
    config["settings"]["Classes"][1]["RunsIn"] = ["sud", 0]
    del config["limits"], config["name"]
    read = front_config.read(config, {"BALANCER_NAME": "n9"})
    assert read.settings.tariffs[1].zones == {0, 1} and read.settings.tariffs[0].zones is None
    assert (read.name, read.sockets) == ("n9", front_config.DEFAULT_SOCKETS)
    assert [(e.engine.id, e.engine.state) for e in read.known] == [
        (b"s-1", it.EngineState.DRAINING),
        (b"s-3", it.EngineState.READY),
    ]


def test_a_new_engine_at_a_gone_ones_address_is_another():
    # A registry keyed by address would give a new engine the state (warm, draining) of the former one there.
    entries = front_config.read(configuration(ENTRY), {}).known
    registry = EngineRegistry()
    registry.replace(1, list(entries), 0.0)
    fresh = entries[0]._replace(engine=entries[0].engine._replace(id=b"s-9"))
    assert registry.replace(2, [fresh], 1.0) == [b"s-1"] and registry.replace(1, list(entries), 2.0) is None
    assert (registry.accepts_dispatches(b"s-1"), registry.accepts_dispatches(b"s-9")) == (False, True)
    assert [e.id for e in registry.engine_list()] == [b"s-9"]


def test_what_must_hold_is_raised_in_debug_builds():
    metrics = Metrics()
    assert metrics.check_invariant(True, "a") and not metrics.counts
    if __debug__:
        with pytest.raises(AssertionError):
            metrics.check_invariant(False, "b")
    assert not __debug__ or metrics.counts["broken: b"] == 1


def test_what_the_decisions_are_given_can_be_looked_at(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration(ENTRY)))
    done = CliRunner().invoke(main, ["show"], env={"BALANCER_CONFIG": str(file)})
    tariffs = json.loads(done.stdout)["tariffs"]
    assert [t["repeat"] for t in tariffs] == ["repeatable", "referenced", "once-only"]
    assert tariffs[0]["goal"] == 2.0


def test_a_port_that_is_taken_is_named(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        file = tmp_path / "config.json"
        file.write_text(json.dumps(changed("listen", address)))
        done = CliRunner().invoke(main, ["serve"], env={"BALANCER_CONFIG": str(file)})
    assert done.exit_code == 1 and f"listen: {address}: Address already in use" in done.stderr


def test_the_log_is_one_json_line_an_event_libraries_included():
    sink = BytesIO()
    log = Log("n0", sink)
    log("ready", engines=2)
    LibraryLogHandler(log).handle(logging.makeLogRecord({"name": "tornado", "msg": "x\ny", "levelno": 40}))
    lines = [json.loads(line) for line in sink.getvalue().splitlines()]
    assert [(line["event"], line["front"]) for line in lines] == [("ready", "n0"), ("library", "n0")]
    assert lines[1]["text"] == "x\ny"
    sink.close()
    log("nobody reads this")


# Without a limit, an event that occurs thousands of times a second fills the memory that holds the log.
def test_the_log_holds_so_many_lines_of_a_kind_in_a_minute_and_says_what_it_left_out(monkeypatch):
    sink, at = BytesIO(), 120.0
    monkeypatch.setattr("thistlelever.ground.log.clock.now", lambda: at)
    log = Log("n0", sink)
    for _ in range(MAX_LINES_A_MINUTE + 5):
        log("bad line")
    log("ready")
    at = 180.0
    log("bad line")
    lines = [json.loads(line) for line in sink.getvalue().splitlines()]
    assert len(lines) == MAX_LINES_A_MINUTE + 2 and lines[-1]["left_out"] == 5
