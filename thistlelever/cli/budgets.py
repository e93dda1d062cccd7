"""`thistlelever budgets`: team budgets of a running front."""

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

COLUMNS = ("path", "held", "backlog_core_s", "out", "guarantee", "ceiling", "lends", "borrows", "oldest_s")


@click.group()
def budgets() -> None:
    """Team budgets of a living front, asked over its administration's socket."""


@budgets.command("show")
@operator_option
@json_option
def show(operator: str | None, as_json: bool) -> None:
    """Who holds what, who lends, who waits, and how true estimates were."""
    report = call_front(operator, "budgets.show")
    if as_json:
        print_json(report)
        return
    errors = report["estimate_errors"]
    backlog, wasted = report["backlog_core_s"], report["thrown_away_core_s"]
    click.echo(
        f"{report['out']:g} of {report['threads']:g} threads out, {report['held']} batches held "
        f"({backlog:g} core-seconds), thrown away {wasted:g}"
    )
    percentiles = " / ".join(f"{errors[name]:.0%}" for name in ("p50", "p90", "p99"))
    click.echo(
        f"estimates wrong by {percentiles} of the wait (50th, 90th, 99th), "
        f"a naive one by {errors['naive_p90']:.0%} (90th)"
    )
    print_table(COLUMNS, report["nodes"])


@budgets.command("explain")
@click.argument("batch")
@operator_option
def explain(batch: str, operator: str | None) -> None:
    """Why BATCH (the client's id, or the front's number) waits."""
    report = call_front(operator, "budgets.explain", batch=batch)
    for name, value in report.items():
        click.echo(f"{name.replace('_', ' ')}: {value}")
    if report["state"].startswith("not here"):
        sys.exit(EXIT_FAILURE)
