"""Commands that need no running front: the operator file's schema, a demonstration, the version."""

from __future__ import annotations

import asyncio
import sys

import click

from thistlelever.cli.common import EXIT_FAILURE


@click.command()
def schema() -> None:
    """Print the JSON schema of the operator file."""
    from thistlelever.ground import operator

    click.echo(operator.schema(), nl=False)


@click.command()
@click.option("--for", "seconds", type=click.FloatRange(min=0.1), help="End after so many seconds.")
@click.option("--flight", is_flag=True, help="Arrow Flight SQL too: a second door, two more engines.")
def demo(seconds: float | None, flight: bool) -> None:
    """Start one front among stand-ins on loopback and return a batch; no configuration is wanted."""
    from thistlelever import demo as demonstration

    succeeded = asyncio.run(demonstration.run(seconds, flight, click.echo))
    sys.exit(0 if succeeded else EXIT_FAILURE)


@click.command()
def version() -> None:
    """Print the version."""
    from importlib import metadata

    import thistlelever

    try:
        click.echo(metadata.version("thistlelever"))
    except metadata.PackageNotFoundError:
        click.echo(thistlelever.__version__)
