"""`thistlelever engines`: which version of the engine list is in force at a running front."""

from __future__ import annotations

import sys

import click

from thistlelever.cli.common import (
    EXIT_FAILURE,
    call_front,
    json_option,
    operator_option,
    print_json,
    print_table,
)

ENGINE_COLUMNS = ("id", "zone", "cell", "kind", "address", "draining", "in_subset")


@click.group()
def engines() -> None:
    """The engine list of a front that subscribes to it, asked over its administration's socket."""


@engines.command("show")
@operator_option
@json_option
def show(operator: str | None, as_json: bool) -> None:
    """Version in force, its age and its source; exit 1 where no distributor is connected."""
    report = call_front(operator, "engines.show")
    if as_json:
        print_json(report)
    else:
        source = report["distributor"] or f"no distributor ({report['last_error'] or 'none asked yet'})"
        click.echo(
            f"version {report['version']}, {report['age_s']} s old, from {source}: "
            f"{report['engines']} engines, each reached by {report['fronts']} fronts at most; "
            f"{len(report['retained'])} retained"
        )
    sys.exit(0 if report["distributor"] else EXIT_FAILURE)


@engines.command("list")
@operator_option
@json_option
def list_engines(operator: str | None, as_json: bool) -> None:
    """Each engine that the front holds."""
    report = call_front(operator, "engines.list")
    if as_json:
        print_json(report)
    else:
        print_table(ENGINE_COLUMNS, report["engines"])
