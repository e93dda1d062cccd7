"""The `distributor` commands, run as an operator runs them: their output and exit codes."""

import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from distributor_stage import engine

from rigs.loopback import HOST, free_port

EXAMPLE = Path(__file__).parents[1] / "deploy" / "distributor.example.json"


def run(*arguments, source=None):
    return subprocess.run(
        [sys.executable, "-m", "thistlelever", "distributor", *arguments],
        capture_output=True,
        text=True,
        input=source,
        check=False,
        timeout=60,
    )


@pytest.fixture
def distributor(tmp_path):
    """The address of a distributor process that is the publisher."""
    address = f"{HOST}:{free_port(socket.SOCK_STREAM)}"
    config = tmp_path / "distributor.json"
    fields = {"name": "d", "index": 0, "listen": address, "distributors": [address], "publisher": True}
    config.write_text(json.dumps(fields | {"subset": {"fronts": 1}, "store": str(tmp_path / "content.db")}))
    process = subprocess.Popen(
        [sys.executable, "-m", "thistlelever", "distributor", "serve", "--config", str(config)],
        stdout=subprocess.PIPE,
        text=True,
    )
    while json.loads(process.stdout.readline())["event"] != "publishes":
        pass
    yield address
    process.terminate()
    assert process.wait(20) == 0


def test_publish_status_promote_and_dump(distributor):
    engines = json.dumps([engine(number) for number in range(5)])
    result = run("publish", "--at", distributor, "-", source=engines)
    assert result.returncode == 0, result.stderr
    version = result.stdout.strip()
    report = json.loads(run("status", "--at", distributor, "--json").stdout)
    assert report["version"] == version and report["engines"] == 5 and report["role"] == "publisher"
    result = run("status", "--at", distributor)
    assert result.returncode == 0 and version in result.stdout
    dump = json.loads(run("dump", "--at", distributor).stdout)
    assert [dumped_engine["id"] for dumped_engine in dump["engines"]] == [
        engine(number)["id"] for number in range(5)
    ]
    assert run("promote", "--at", distributor).stdout.startswith("term ")


def test_a_refused_change_exits_1_with_the_reason(distributor):
    change = json.dumps({"removals": ["nobody"]})
    result = run("publish", "--at", distributor, "--expected", "7.7", "-", source=change)
    assert result.returncode == 1 and "expected" in result.stderr


def test_an_unreachable_distributor_and_invalid_json_exit_2(tmp_path):
    address = f"{HOST}:{free_port(socket.SOCK_STREAM)}"
    assert run("status", "--at", address).returncode == 2
    assert run("publish", "--at", address, "-", source="{").returncode == 2


@pytest.mark.parametrize(
    "change, expected_text",
    [({"index": 9}, "index"), ({"heartbeat_s": 0}, "heartbeat_s"), ({"colour": 1}, "colour"), (None, "JSON")],
)
def test_an_invalid_configuration_exits_2_and_names_the_key(tmp_path, change, expected_text):
    path = tmp_path / "distributor.json"
    fields = json.loads(EXAMPLE.read_text())
    path.write_text("{" if change is None else json.dumps(fields | change))
    result = run("check", "--config", str(path))
    assert result.returncode == 2 and expected_text in result.stderr, result.stderr


def test_the_example_is_valid():
    result = run("check", "--config", str(EXAMPLE))
    assert result.returncode == 0 and "claims to publish" in result.stdout


def test_configure_puts_sections_in_force_and_names_the_invalid_key(distributor):
    run("publish", "--at", distributor, "-", source=json.dumps([engine(1)]))
    sections = json.dumps({"budgets": {"brokers": {"acme": {"guarantee": 0.5}}}})
    assert run("configure", "--at", distributor, "-", source=sections).returncode == 0
    report = json.loads(run("status", "--at", distributor, "--json").stdout)
    assert report["documents"] == ["operator"]
    too_much = json.dumps({"budgets": {"brokers": {n: {"guarantee": 0.75} for n in ("acme", "zeta")}}})
    result = run("configure", "--at", distributor, "-", source=too_much)
    assert result.returncode == 1 and "budgets" in result.stderr, result.stderr
    assert run("configure", "--at", distributor, "--remove").returncode == 0
    assert run("configure", "--at", distributor).returncode == 2
    report = json.loads(run("status", "--at", distributor, "--json").stdout)
    assert report["documents"] == []
