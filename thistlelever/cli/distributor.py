"""`thistlelever distributor`: run a distributor of the engine list, query one, and publish through one."""

from __future__ import annotations

import asyncio
import http.client
import logging
import sys
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING

import click
import orjson

from thistlelever.cli.common import EXIT_FAILURE, exit_with_error, json_option, print_json, print_table

if TYPE_CHECKING:
    from thistlelever.distributor.config import DistributorConfig

FRONT_COLUMNS = ("name", "version", "seen_s", "engines")
CALL_TIMEOUT_S = 15.0

config_option = click.option(
    "--config", "config_path", type=click.Path(), required=True, help="The distributor's configuration."
)
at_option = click.option("--at", "at", required=True, help="HOST:PORT of a distributor.")


@click.group()
def distributor() -> None:
    """The control tier that tells fronts their part of the engine list."""


@distributor.command("serve")
@config_option
def serve(config_path: str) -> None:
    """Run one distributor until SIGTERM."""
    from thistlelever.distributor.service import serve as run
    from thistlelever.distributor.store import StoreError
    from thistlelever.ground.log import LibraryLogHandler, Log
    from thistlelever.lifecycle.distributed_configuration import OPERATOR_DOCUMENT, check_document

    config = load(config_path)
    log = Log(config.name)
    logging.basicConfig(handlers=[LibraryLogHandler(log)], level=logging.WARNING)
    try:
        sys.exit(asyncio.run(run(config, log, {OPERATOR_DOCUMENT: check_document})))
    except (OSError, StoreError) as error:
        exit_with_error(error, EXIT_FAILURE)


@distributor.command("check")
@config_option
def check(config_path: str) -> None:
    """Read a configuration, say what it holds, and start nothing."""
    config = load(config_path)
    role = "claims to publish" if config.publisher else "follows"
    click.echo(
        f"{config.name}: listens at {config.listen}, distributor {config.index} of "
        f"{len(config.distributors)}, {role}; {config.subset.engines} engines a front"
    )


@distributor.command("status")
@at_option
@json_option
def status(at: str, as_json: bool) -> None:
    """Version, role, age and fronts; exit 1 where a front lags or the store fails."""
    report = call(at, "GET", "/v1/status")
    if as_json:
        print_json(report)
    else:
        click.echo(
            f"{report['name']}: {report['role']}, version {report['version']}, {report['engines']} engines, "
            f"{report['age_s']} s old; publisher {report['publisher']}, following {report['following']}"
        )
        print_table(FRONT_COLUMNS, [{"name": name, **front} for name, front in report["fronts"].items()])
    store = report["store"]
    sys.exit(EXIT_FAILURE if report["lagging"] or store and store["failing"] else 0)


@distributor.command("publish")
@at_option
@click.argument("source", type=click.Path(exists=True, dir_okay=False, allow_dash=True))
@click.option("--expected", help="Refuse the change unless this version is present.")
def publish(at: str, source: str, expected: str | None) -> None:
    """Publish SOURCE, JSON: a list of engines that replaces the present one, or an object with `upserts` and
    `removals`. Exit 1 where it is refused or no majority of the distributors holds it yet."""
    text = sys.stdin.read() if source == "-" else Path(source).read_text()
    try:
        change = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        exit_with_error(f"{source}: no JSON: {error}")
    body = {"engines": change} if isinstance(change, list) else change
    if expected:
        body["expected"] = expected
    publish_and_exit(at, body)


@distributor.command("configure")
@at_option
@click.argument("source", type=click.Path(exists=True, dir_okay=False, allow_dash=True), required=False)
@click.option("--remove", is_flag=True, help="Fronts go back to their own operator files.")
@click.option("--expected", help="Refuse it unless this version is present.")
def configure(at: str, source: str | None, remove: bool, expected: str | None) -> None:
    """Put sections of the operator file (SOURCE, JSON) in force at all fronts, as a new version; an older
    SOURCE rolls back. Refused, with the key at fault, where no front could use it."""
    if remove == bool(source):
        raise click.UsageError("either SOURCE or --remove expected")
    text = None if source is None else sys.stdin.read() if source == "-" else Path(source).read_text()
    body: dict = {"documents": {"operator": text}}
    if expected:
        body["expected"] = expected
    publish_and_exit(at, body)


def publish_and_exit(at: str, body: dict) -> None:
    """Publish, print the version and exit: 1 where it is refused or no majority has it yet."""
    answer = call(at, "POST", "/v1/publish", body)
    confirmed = answer["confirmed"]
    click.echo(f"{answer['version']}{'' if confirmed else ': not held by a majority yet'}")
    sys.exit(0 if confirmed else EXIT_FAILURE)


@distributor.command("promote")
@at_option
@click.option(
    "--above", default="0.0", help="A version that fronts hold; the new term is higher than its term."
)
def promote(at: str, above: str) -> None:
    """Make that distributor the publisher; the former one steps down as soon as it hears of it."""
    answer = call(at, "POST", "/v1/promote", {"above": above})
    click.echo(f"term {answer['term']}, version {answer['version']}")


@distributor.command("dump")
@at_option
def dump(at: str) -> None:
    """Print the whole list that a distributor holds, as JSON."""
    print_json(call(at, "GET", "/v1/catalog"))


def load(path: str) -> DistributorConfig:
    """The distributor's configuration; exit 2 where it is invalid."""
    from thistlelever.distributor.config import ConfigError
    from thistlelever.distributor.config import load as read

    try:
        return read(path)
    except ConfigError as error:
        exit_with_error(error)


def call(at: str, method: str, path: str, body: dict | None = None) -> dict:
    """The body of a distributor's reply to one call; exit 1 where it refuses, 2 where it can't be reached."""
    connection = http.client.HTTPConnection(at, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, None if body is None else orjson.dumps(body))
        reply = connection.getresponse()
        answer = orjson.loads(reply.read())
    except (OSError, http.client.HTTPException, orjson.JSONDecodeError) as error:
        exit_with_error(f"{at}: {error}")
    finally:
        connection.close()
    if reply.status not in (HTTPStatus.OK, HTTPStatus.ACCEPTED):
        exit_with_error(answer.get("error", f"status {reply.status}"), EXIT_FAILURE)
    return answer
