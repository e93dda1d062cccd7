"""What several commands share: options, loading of files, calls to a running front, and output."""

from __future__ import annotations

import sys
from importlib.util import find_spec
from typing import TYPE_CHECKING, NoReturn

import click
import orjson

from thistlelever.ground import config as front_config
from thistlelever.ground.settings import ConfigError

if TYPE_CHECKING:
    from thistlelever.ground.operator import Operator

# Exit codes: the command failed or its check does not hold; the command could not be run as it was given.
EXIT_FAILURE = 1
EXIT_USAGE = 2

operator_option = click.option(
    "--operator",
    "operator",
    type=click.Path(),
    envvar="BALANCER_OPERATOR",
    help="Operator file: what is switched on beyond the platform's own front.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="For programs.")


def exit_with_error(message: object, code: int = EXIT_USAGE) -> NoReturn:
    """Print one line on standard error and end the process."""
    click.echo(f"thistlelever: {message}", err=True)
    sys.exit(code)


def load_config() -> front_config.Config:
    """The configuration that BALANCER_CONFIG names; exit 2 where it can't be read."""
    try:
        return front_config.load()
    except ConfigError as error:
        exit_with_error(error)


def load_operator_file(path: str | None, config: front_config.Config | None = None) -> Operator | None:
    """The operator file, or None where none is named: then its modules are not imported.

    Where a configuration is given, the sections are checked against it too. Exit 2 on an error.
    """
    if not path:
        return None
    try:
        operator = read_operator_file(path)
        if config:
            check_against_config(operator, config)
        return operator
    except ConfigError as error:
        exit_with_error(error)


def read_operator_file(path: str) -> Operator:
    """The operator file, checked as far as it can be without starting anything; raises `ConfigError`."""
    if find_spec("msgspec") is None:
        raise ConfigError(
            "operator file: requires the extra 'operator' (pip install 'thistlelever[operator]')"
        )
    from thistlelever.ground import operator as operator_file

    operator = operator_file.load(path)
    if operator.budgets:
        from thistlelever.lifecycle.budgets import build_plan

        build_plan(operator.budgets)
    return operator


def check_against_config(operator: Operator, config: front_config.Config) -> None:
    """Raise `ConfigError` where a present section needs something that the configuration lacks."""
    if operator.membership:
        from thistlelever.lifecycle import membership

        membership.validate(operator.membership, config)
    if operator.takeover:
        from thistlelever.lifecycle import takeover

        takeover.validate(operator.takeover, config)


def call_front(operator_path: str | None, method: str, /, **arguments: object) -> dict:
    """The answer of a running front over its admin socket; exit 2 where it can't be reached or refuses."""
    import asyncio

    from thistlelever.lifecycle import admin

    operator = load_operator_file(operator_path)
    if operator is None or operator.admin is None:
        exit_with_error("operator file: admin.socket: missing; it says where to ask")
    socket_path = operator.admin.socket
    try:
        reply = asyncio.run(admin.call(socket_path, method, **arguments))
    except (OSError, TimeoutError) as error:
        exit_with_error(f"admin.socket: {socket_path}: {error}")
    if "fault" in reply:
        exit_with_error(reply["fault"])
    return reply["answer"]


def print_json(value: dict) -> None:
    """Print for programs, indented so that people can read it too."""
    click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def print_table(columns: tuple[str, ...], records: list[dict]) -> None:
    """Print the named fields of each record in columns, each as wide as its widest field."""
    rows = [columns, *(tuple(str(record[name]) for name in columns) for record in records)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(columns))]
    for row in rows:
        padded = (text.ljust(width) for text, width in zip(row, widths, strict=True))
        click.echo("  ".join(padded).rstrip())
