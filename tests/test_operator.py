"""The operator file: invalid keys are reported in one line; absent sections import nothing."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from stage import staged

from thistlelever import __main__ as command
from thistlelever.ground import operator
from thistlelever.ground.settings import ConfigError
from thistlelever.standins.configuration import configuration

DEPLOY = Path(__file__).parents[1] / "deploy"


@pytest.mark.parametrize(
    "text, fragment",
    [
        ("{", "no JSON"),
        ("[]", "top level"),
        ('{"flights": {}}', "flights"),
        ('{"flight": {}}', "flight: "),
        ('{"flight": {"listen": "localhost:1"}}', "flight.listen"),
        ('{"flight": {"listen": 8447}}', "flight.listen"),
        ('{"flight": {"kinds": ["std", 7]}}', "flight.kinds[1]"),
        ('{"flight": {"streams": 0}}', "flight.streams"),
        ('{"flight": {"listen": "127.0.0.1:1", "tables": [{"schema": "a"}]}}', "flight.tables[0]"),
    ],
)
def test_a_fault_names_its_key(text, fragment):
    with pytest.raises(ConfigError, match="operator file") as why:
        operator.read(text.encode())
    assert fragment in str(why.value) and "\n" not in str(why.value)


def test_a_section_whose_extra_is_missing(monkeypatch):
    monkeypatch.setattr(operator, "is_installed", lambda module: module != "pyarrow")
    with pytest.raises(ConfigError, match=r"flight: requires the extra 'flight' .*pyarrow"):
        operator.read(b'{"flight": {"listen": "127.0.0.1:1"}}')


def test_schema_and_example_agree_with_the_types():
    assert (DEPLOY / "operator.schema.json").read_bytes() == operator.schema()
    example = json.loads((DEPLOY / "operator.example.json").read_text())
    assert set(example["flight"]) == set(operator.Flight.__struct_fields__)
    assert operator.read(json.dumps(example).encode()).flight.listen == "127.0.0.1:8447"


def test_check_and_serve_say_it_before_a_port_opens(tmp_path):
    config, extra = tmp_path / "config.json", tmp_path / "operator.json"
    config.write_text(json.dumps(configuration()))
    extra.write_text('{"flight": {"listen": "127.0.0.1:0"}}')
    environ = {"BALANCER_CONFIG": str(config), "BALANCER_OPERATOR": str(extra)}
    result = CliRunner().invoke(command.main, ["check"], env=environ)
    assert result.exit_code == 0 and "flight is on" in result.output
    extra.write_text('{"flight": {"listen": 1}}')
    for verb in ("check", "serve"):
        result = CliRunner().invoke(command.main, [verb], env=environ)
        assert result.exit_code == 2 and "flight.listen" in result.output
    result = CliRunner().invoke(command.main, ["check", "--operator", str(tmp_path / "none")], env=environ)
    assert result.exit_code == 2 and "none" in result.output


def test_switched_off_nothing_of_it_is_imported():
    # A library of an extra that is loaded without need takes more memory than the platform gives a front.
    code = (
        "import sys, thistlelever.__main__, thistlelever.lifecycle.run, thistlelever.wirehost.host\n"
        "extra = ('grpc', 'pyarrow', 'google', 'msgspec', 'itsdangerous', 'thistlelever.flight', "
        "'thistlelever.state', 'thistlelever.standins', 'thistlelever.membership', "
        "'thistlelever.carrier.peers', 'thistlelever.wire.peers', 'thistlelever.lifecycle.components', "
        "'thistlelever.takeover', 'thistlelever.wire.work', 'thistlelever.carrier.leases', 'xxhash', "
        "'thistlelever.recovery', 'thistlelever.ledger', 'thistlelever.carrier.remembered_outcomes', "
        "'apsw')\n"
        "print([m for m in sys.modules if m.startswith(extra)])"
    )
    root = Path(__file__).parents[1]
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=root, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_budgets_that_can_not_be_kept_are_named(tmp_path):
    extra = tmp_path / "operator.json"
    brokers = {"x": {"guarantee": 0.5, "teams": {"a": {"guarantee": 0.6}}}}
    extra.write_text(json.dumps({"budgets": {"brokers": brokers}}))
    config = tmp_path / "config.json"
    config.write_text(json.dumps(configuration()))
    result = CliRunner().invoke(
        command.main, ["check", "--operator", str(extra)], env={"BALANCER_CONFIG": str(config)}
    )
    assert result.exit_code == 2 and "budgets: x: the guarantees below it are 0.6" in result.output


@pytest.mark.parametrize("verb", ["check", "serve"])
def test_membership_without_an_address_for_peers_is_named(tmp_path, verb):
    # A section that needs a missing key of the configuration must not end the start with a traceback.
    config, extra = tmp_path / "config.json", tmp_path / "operator.json"
    config.write_text(json.dumps(configuration()))
    extra.write_text('{"membership": {"tier": "x"}}')
    result = CliRunner().invoke(
        command.main, [verb, "--operator", str(extra)], env={"BALANCER_CONFIG": str(config)}
    )
    assert (
        result.exit_code == 2 and "membership: peer_listen" in result.output and "Trace" not in result.output
    )


def test_a_living_front_is_asked_and_a_dead_one_said_to_be(tmp_path):
    # Each command runs an event loop of its own, so in another thread; the front runs in this thread's loop.
    extra = tmp_path / "operator.json"
    extra.write_text(json.dumps({"budgets": {}, "admin": {"socket": str(tmp_path / "front.sock")}}))

    def ask(*words):
        return CliRunner().invoke(command.main, ["budgets", *words, "--operator", str(extra)])

    async def run():
        async with staged(
            [
                (line, line.split())
                for line in (
                    "settings FamilyInfo.KindCores [1]",
                    "section budgets {}",
                    f'section admin {{"socket":"{tmp_path}/front.sock"}}',
                    "engine a",
                    "on a POST hold 200 Chunks=1 body=x",
                    "on a POST hold 200 Chunks=1 body=x",
                    "front",
                    "submit 1 pay cost=100",
                    "submit 2 pay cost=100 table=sales_18.x",
                    "posted a 2",
                    "submit 3 lookup cost=100",
                    "held_back 1",
                )
            ]
        ) as stage:
            shown, explained, none, as_json = [
                await asyncio.to_thread(ask, *words)
                for words in (
                    ("show",),
                    ("explain", f"{3:016x}"),
                    ("explain", f"{9:016x}"),
                    ("show", "--json"),
                )
            ]
            stage.engines["a"].released.set()
            await stage.line("answer", "3", "result", "rows")
        return shown, explained, none, as_json

    assert ask("show").exit_code == 2
    shown, explained, none, as_json = asyncio.run(run())
    assert ask("show").exit_code == 2
    assert shown.exit_code == 0 and "2 of 2 threads out, 1 batches held" in shown.output
    assert "other.acme.lookup" in shown.output
    assert explained.exit_code == 0 and "state: held" in explained.output
    assert "all threads are taken" in explained.output
    assert none.exit_code == 1 and "not here" in none.output
    assert json.loads(as_json.output)["held"] == 1
