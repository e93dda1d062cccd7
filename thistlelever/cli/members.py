"""`thistlelever members`: the view that a running front has of the other fronts of its tier."""

from __future__ import annotations

import sys
from time import monotonic, sleep

import click
import orjson

from thistlelever.cli.common import (
    EXIT_FAILURE,
    call_front,
    json_option,
    operator_option,
    print_json,
    print_table,
)

MEMBER_COLUMNS = ("name", "address", "state", "for_s", "answered_ago_s", "incarnation", "refutals")
CHANGE_COLUMNS = ("ago_s", "was", "state", "by", "late_s", "path")
# Seconds between two polls of `watch`.
WATCH_INTERVAL = 0.2


@click.group()
def members() -> None:
    """Which fronts a living front holds for alive, asked over its administration's socket."""


@members.command("show")
@operator_option
@json_option
def show(operator: str | None, as_json: bool) -> None:
    """Who is alive, suspected, dead or has left; exit 1 where this front is alone."""
    report = call_front(operator, "members.show")
    if as_json:
        print_json(report)
    else:
        alone = f"ALONE ({report['alone']}): the settings' figures hold; " if report["alone"] else ""
        click.echo(
            f"{report['name']}: {alone}{report['alive']} alive, {report['suspected']} of them suspected, "
            f"{report['unfit']} unfit; {report['fronts']} counted; own health {report['health']} of 8"
        )
        print_table(MEMBER_COLUMNS, report["members"])
    sys.exit(EXIT_FAILURE if report["alone"] else 0)


@members.command("explain")
@click.argument("name")
@operator_option
@json_option
def explain(name: str, operator: str | None, as_json: bool) -> None:
    """Why NAME is held to be what it is: who said so, over which path, how late."""
    report = call_front(operator, "members.explain", name=name)
    if as_json:
        print_json(report)
    else:
        click.echo(f"{report['name']}: {report['state']}")
        print_table(CHANGE_COLUMNS, report["story"])
    sys.exit(0 if report["story"] else EXIT_FAILURE)


@members.command("watch")
@operator_option
@click.option("--json", "as_json", is_flag=True, help="One line of JSON a change.")
@click.option("--for", "seconds", type=click.FloatRange(min=0.1), help="End after so many seconds.")
def watch(operator: str | None, as_json: bool, seconds: float | None) -> None:
    """Print each change of the view until interrupted."""
    started = monotonic()
    previous: dict[str, str] = {}
    while seconds is None or monotonic() - started < seconds:
        report = call_front(operator, "members.show")
        current = {member["name"]: member["state"] for member in report["members"]}
        current[report["name"]] = report["alone"] or "together"
        print_changes(previous, current, as_json)
        previous = current
        sleep(WATCH_INTERVAL)


def print_changes(previous: dict[str, str], current: dict[str, str], as_json: bool) -> None:
    """Print a line for each member whose state has changed."""
    for name in sorted(current.keys() | previous.keys()):
        was, state = previous.get(name, ""), current.get(name, "forgotten")
        if was == state:
            continue
        if as_json:
            click.echo(orjson.dumps({"name": name, "was": was, "state": state}).decode())
        else:
            click.echo(f"{name}: {was or 'unknown'} -> {state}")
