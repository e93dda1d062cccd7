"""`thistlelever inhand`: batches of a running front that can outlive it, and those that it took over."""

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

COLUMNS = ("batch", "engine", "owner", "for_s", "claimed", "engine_says")


@click.group()
def inhand() -> None:
    """Work in hand of a living front, asked over its administration's socket: whose it is, what was taken
    over."""


@inhand.command("show")
@operator_option
@json_option
def show(operator: str | None, as_json: bool) -> None:
    """What is its own, kept for others and taken over; exit 1 where it can keep nothing."""
    report = call_front(operator, "inhand.show")
    if as_json:
        print_json(report)
    else:
        click.echo(
            f"{report['own']} batches of its own that can be come back for, {report['protected']} of them "
            f"protected, {report['unprotected']} not; {report['kept']} records kept for others"
            + (" (too young to know all)" if report["young"] else "")
            + (f"; FAILING: {report['failing']}" if report["failing"] else "")
        )
        print_table(COLUMNS, report["taken"])
    sys.exit(EXIT_FAILURE if report["failing"] else 0)


@inhand.command("explain")
@operator_option
@click.argument("batch")
@json_option
def explain(operator: str | None, batch: str, as_json: bool) -> None:
    """Whose BATCH is and what is known of its fate, by its id or its mark; exit 1 where nothing is."""
    report = call_front(operator, "inhand.explain", batch=batch)
    if as_json:
        print_json(report)
    else:
        for kind in ("own", "kept", "taken"):
            for record in report.get(kind, ()):
                fields = ", ".join(f"{name} {value}" for name, value in record.items())
                click.echo(f"{kind}: {fields}")
        if not report["found"]:
            click.echo("not known here")
    sys.exit(0 if report["found"] else EXIT_FAILURE)
