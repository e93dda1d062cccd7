"""`thistlelever state`: the records that a front keeps on disk."""

from __future__ import annotations

import socket
import sys
from collections import Counter
from typing import TYPE_CHECKING, BinaryIO

import click
import orjson

from thistlelever.cli.common import (
    EXIT_FAILURE,
    call_front,
    exit_with_error,
    json_option,
    load_operator_file,
    operator_option,
    print_json,
)

if TYPE_CHECKING:
    from thistlelever.ledger.file import LedgerFile

path_argument = click.argument("path", type=click.Path(dir_okay=False), required=False)


@click.group()
def state() -> None:
    """What a front keeps on disk: of a living one asked over its administration's socket, else from the
    file."""


@state.command("show")
@operator_option
@path_argument
@json_option
def show(operator: str | None, path: str | None, as_json: bool) -> None:
    """How many records of each kind there are; of a living front also how it started, and whether it keeps
    what it is told (exit 1 where it does not)."""
    operator_file = load_operator_file(operator) if not path else None
    has_socket = operator_file and operator_file.admin and operator_file.state
    if has_socket and is_listening(operator_file.admin.socket):
        report = call_front(operator, "state.show")
    else:
        report = report_of_file(open_store(operator, path, read_only=True))
    if as_json:
        print_json(report)
    else:
        for name, value in report.items():
            click.echo(f"{name}: {as_text(value)}")
    sys.exit(0 if report["keeps"] else EXIT_FAILURE)


@state.command("verify")
@operator_option
@path_argument
def verify(operator: str | None, path: str | None) -> None:
    """Look at the file and each record; exit 1 where something is wrong."""
    file = open_store(operator, path, read_only=True)
    faults = file.verify()
    file.close()
    for fault in faults:
        click.echo(fault)
    click.echo(f"{len(faults)} faults" if faults else "sound")
    sys.exit(EXIT_FAILURE if faults else 0)


@state.command("export")
@operator_option
@path_argument
def export(operator: str | None, path: str | None) -> None:
    """Print every record that can be read, one JSON line each."""
    import msgspec

    file = open_store(operator, path, read_only=True)
    for kind, key, record in file.read():
        fields = {name: getattr(record, name) for name in record.__struct_fields__}
        line = msgspec.json.encode({"kind": kind, "key": key.hex(), "record": fields})
        click.echo(line.decode())
    file.close()


@state.command("import")
@operator_option
@path_argument
@click.option("--from", "source", type=click.File("rb"), default="-", help="What `export` printed.")
def import_records(operator: str | None, path: str | None, source: BinaryIO) -> None:
    """Take records that `export` printed into a store that no front holds."""
    from thistlelever.ledger.file import LedgerError

    changes = read_export(source)
    file = open_store(operator, path, read_only=False)
    try:
        file.write(changes)
    except LedgerError as error:
        exit_with_error(f"{file.path}: {error}", EXIT_FAILURE)
    file.close()
    click.echo(f"{len(changes)} records")


@state.command("compact")
@operator_option
@path_argument
def compact(operator: str | None, path: str | None) -> None:
    """Give back what lies free in a store that no front holds."""
    from thistlelever.ledger.file import LedgerError, size_on_disk

    file = open_store(operator, path, read_only=False)
    before = size_on_disk(file.path)
    try:
        file.compact(always=True)
    except LedgerError as error:
        exit_with_error(f"{file.path}: {error}", EXIT_FAILURE)
    file.close()
    click.echo(f"{before} -> {size_on_disk(file.path)} bytes")


def open_store(operator_path: str | None, path: str | None, read_only: bool) -> LedgerFile:
    """The store at the path, or the operator file's one; exit 2 where it can't be opened."""
    from thistlelever.ledger.file import LedgerError, LedgerFile

    operator = load_operator_file(operator_path)
    path = path or (operator.state.path if operator and operator.state else None)
    if not path:
        exit_with_error("a path, or state.path in the operator file, is wanted")
    try:
        return LedgerFile(path, read_only=read_only)
    except LedgerError as error:
        exit_with_error(f"{path}: {error}")


def report_of_file(file: LedgerFile) -> dict:
    """The report of `state show` on a store without a running front. Closes the store."""
    damaged: list = []
    counts = Counter(kind for kind, _, _ in file.read(damaged))
    file.close()
    return {"path": file.path, "records": dict(counts), "damaged": len(damaged), "keeps": True}


def read_export(source: BinaryIO) -> list[tuple[str, bytes, bytes]]:
    """Kind, key and packed record of each line; exit 2 at the first line that is no record."""
    import msgspec

    from thistlelever.ledger import records

    changes = []
    for number, line in enumerate(source, 1):
        try:
            exported = orjson.loads(line)
            kind, fields = exported["kind"], list(exported["record"].values())
            record = msgspec.convert(fields, records.KINDS[kind], strict=False)
            changes.append((kind, bytes.fromhex(exported["key"]), records.pack(record)))
        except (ValueError, KeyError, AttributeError, TypeError, msgspec.MsgspecError) as error:
            exit_with_error(f"line {number}: no record: {error!r}")
    return changes


def as_text(value: object) -> str:
    """A field of the report on one line."""
    if isinstance(value, dict):
        return ", ".join(f"{name} {field}" for name, field in value.items())
    return str(value)


def is_listening(path: str) -> bool:
    """Whether a front listens at that socket."""
    with socket.socket(socket.AF_UNIX) as probe:
        return probe.connect_ex(path) == 0
