"""`python -m thistlelever`: the command line of the real front."""

import asyncio
import logging
import sys
from enum import Enum
from importlib import metadata
from importlib.util import find_spec

import click
import orjson

from thistlelever.ground import papers
from thistlelever.ground.log import Libraries, Log
from thistlelever.ground.manifest import Unreadable


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """An admission controller for batches on a pool of query engines."""


OPERATOR = click.option(
    "--operator",
    "operator",
    type=click.Path(),
    envvar="BALANCER_OPERATOR",
    help="Operator file: what is switched on beyond the platform's own front.",
)


@main.command()
@OPERATOR
def serve(operator: str | None) -> None:
    """Serve as one front; BALANCER_CONFIG names the configuration."""
    from thistlelever.lifecycle.run import serve as run

    told = load()
    extra = switched_on(operator, told)
    log = Log(told.name)
    logging.basicConfig(handlers=[Libraries(log)], level=logging.WARNING)
    try:
        again = (lambda: read_operator(operator)) if operator else None
        sys.exit(asyncio.run(run(told, log, extra, again)))
    except OSError as why:
        click.echo(f"thistlelever: {why}", err=True)
        sys.exit(1)


@main.command()
@OPERATOR
def check(operator: str | None) -> None:
    """Read the configuration, say what it holds, and start nothing."""
    told = load()
    extra = switched_on(operator, told)
    click.echo(
        f"{told.name}: listens at {told.listen[0]}:{told.listen[1]}, "
        f"{len(told.manifest.tariffs)} service groups, {len(told.known)} engines known"
    )
    for section in (name for name in extra.__struct_fields__ if getattr(extra, name)) if extra else ():
        click.echo(f"operator file: {section} is on")


@main.command()
def show() -> None:
    """Print the terms that the decisions are given, as JSON."""
    terms = orjson.dumps(plain(load().manifest), option=orjson.OPT_INDENT_2)
    click.echo(terms.decode())


@main.group()
def budgets() -> None:
    """Team budgets of a living front, asked over its administration's socket."""


@budgets.command("show")
@OPERATOR
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def budgets_show(operator: str | None, as_json: bool) -> None:
    """Who holds what, who lends, who waits, and how true estimates were."""
    said = asked(operator, "budgets.show")
    if as_json:
        print_json(said)
        return
    errors = said["estimate_errors"]
    backlog, wasted = said["backlog_core_s"], said["thrown_away_core_s"]
    click.echo(
        f"{said['out']:g} of {said['threads']:g} threads out, {said['held']} batches held "
        f"({backlog:g} core-seconds), thrown away {wasted:g}"
    )
    wrong = " / ".join(f"{errors[name]:.0%}" for name in ("p50", "p90", "p99"))
    click.echo(
        f"estimates wrong by {wrong} of the wait (50th, 90th, 99th), "
        f"a naive one by {errors['naive_p90']:.0%} (90th)"
    )
    columns = (
        "path",
        "held",
        "backlog_core_s",
        "out",
        "guarantee",
        "ceiling",
        "lends",
        "borrows",
        "oldest_s",
    )
    table(columns, [tuple(str(node[name]) for name in columns) for node in said["nodes"]])


@budgets.command("explain")
@click.argument("batch")
@OPERATOR
def budgets_explain(batch: str, operator: str | None) -> None:
    """Why BATCH (the client's id, or the front's number) waits."""
    said = asked(operator, "budgets.explain", batch=batch)
    for name, value in said.items():
        click.echo(f"{name.replace('_', ' ')}: {value}")
    if said["state"].startswith("not here"):
        sys.exit(1)


@main.group()
def members() -> None:
    """Which fronts a living front holds for alive, asked over its administration's socket."""


@members.command("show")
@OPERATOR
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def members_show(operator: str | None, as_json: bool) -> None:
    """Who is alive, suspected, dead or has left; exit 1 where this front is alone."""
    said = asked(operator, "members.show")
    if as_json:
        print_json(said)
    else:
        alone = f"ALONE ({said['alone']}): the settings' figures hold; " if said["alone"] else ""
        click.echo(
            f"{said['name']}: {alone}{said['alive']} alive, {said['suspected']} of them suspected, "
            f"{said['unfit']} unfit; {said['fronts']} counted; own health {said['health']} of 8"
        )
        columns = ("name", "address", "state", "for_s", "answered_ago_s", "incarnation", "refutals")
        table(columns, [tuple(str(one[name]) for name in columns) for one in said["members"]])
    sys.exit(1 if said["alone"] else 0)


@members.command("explain")
@click.argument("name")
@OPERATOR
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def members_explain(name: str, operator: str | None, as_json: bool) -> None:
    """Why NAME is held to be what it is: who said so, over which path, how late."""
    said = asked(operator, "members.explain", name=name)
    if as_json:
        print_json(said)
    else:
        click.echo(f"{said['name']}: {said['state']}")
        columns = ("ago_s", "was", "state", "by", "late_s", "path")
        table(columns, [tuple(str(one[name]) for name in columns) for one in said["story"]])
    sys.exit(0 if said["story"] else 1)


@members.command("watch")
@OPERATOR
@click.option("--json", "as_json", is_flag=True, help="One line of JSON a change.")
@click.option("--for", "seconds", type=click.FloatRange(min=0.1), help="End after so many seconds.")
def members_watch(operator: str | None, as_json: bool, seconds: float | None) -> None:
    """Print each change of the view until interrupted."""
    from time import monotonic, sleep

    began, before = monotonic(), {}
    while seconds is None or monotonic() - began < seconds:
        said = asked(operator, "members.show")
        now = {one["name"]: one["state"] for one in said["members"]}
        now[said["name"]] = said["alone"] or "together"
        for name in sorted(now.keys() | before.keys()):
            if (was := before.get(name, "")) != (state := now.get(name, "forgotten")):
                change = {"name": name, "was": was, "state": state}
                line = f"{name}: {was or 'unknown'} -> {state}"
                click.echo(orjson.dumps(change).decode() if as_json else line)
        before = now
        sleep(0.2)


def print_json(said: dict) -> None:
    """For programs, and still to be read."""
    click.echo(orjson.dumps(said, option=orjson.OPT_INDENT_2).decode())


def table(columns: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """Columns as wide as what stands in them."""
    rows = [columns, *rows]
    widths = [max(len(row[place]) for row in rows) for place in range(len(columns))]
    for row in rows:
        click.echo("  ".join(word.ljust(width) for word, width in zip(row, widths, strict=True)).rstrip())


def asked(path: str | None, question: str, **words) -> dict:
    """What a living front answers; exit 2 where it can't be asked."""
    from thistlelever.lifecycle import admin

    told = switched_on(path)
    if told is None or told.admin is None:
        click.echo("thistlelever: operator file: admin.socket: missing; it says where to ask", err=True)
        sys.exit(2)
    try:
        said = asyncio.run(admin.ask(told.admin.socket, question, **words))
    except (OSError, TimeoutError) as why:
        click.echo(f"thistlelever: admin.socket: {told.admin.socket}: {why}", err=True)
        sys.exit(2)
    if "fault" in said:
        click.echo(f"thistlelever: {said['fault']}", err=True)
        sys.exit(2)
    return said["answer"]


@main.group()
def inhand() -> None:
    """Work in hand of a living front, asked over its administration's socket: whose it is, what was taken
    over."""


@inhand.command("show")
@OPERATOR
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def inhand_show(operator: str | None, as_json: bool) -> None:
    """What is its own, kept for others and taken over; exit 1 where it can keep nothing."""
    said = asked(operator, "inhand.show")
    if as_json:
        print_json(said)
    else:
        click.echo(
            f"{said['own']} batches of its own that can be come back for, {said['protected']} of them "
            f"protected, {said['unprotected']} not; {said['kept']} records kept for others"
            + (" (too young to know all)" if said["young"] else "")
            + (f"; FAILING: {said['failing']}" if said["failing"] else "")
        )
        columns = "batch", "engine", "owner", "for_s", "claimed", "engine_says"
        table(columns, [tuple(str(one[name]) for name in columns) for one in said["taken"]])
    sys.exit(1 if said["failing"] else 0)


@inhand.command("explain")
@OPERATOR
@click.argument("batch")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def inhand_explain(operator: str | None, batch: str, as_json: bool) -> None:
    """Whose BATCH is and what is known of its fate, by its id or its mark; exit 1 where nothing is."""
    said = asked(operator, "inhand.explain", batch=batch)
    if as_json:
        print_json(said)
    else:
        for kind in ("own", "kept", "taken"):
            for one in said.get(kind, ()):
                click.echo(f"{kind}: " + ", ".join(f"{name} {value}" for name, value in one.items()))
        if not said["found"]:
            click.echo("not known here")
    sys.exit(0 if said["found"] else 1)


@main.group()
def state() -> None:
    """What a front keeps on disk: of a living one asked over its administration's socket, else from the
    file."""


PATH = click.argument("path", type=click.Path(dir_okay=False), required=False)


def ledger(operator: str | None, path: str | None, read_only: bool):
    """The file that is named, or the operator file's; exit 2 where it can't be opened."""
    from thistlelever.ledger.file import Failing, File

    told = switched_on(operator)
    path = path or (told.state.path if told and told.state else None)
    if not path:
        click.echo("thistlelever: a path, or state.path in the operator file, is wanted", err=True)
        sys.exit(2)
    try:
        return File(path, read_only=read_only)
    except Failing as why:
        click.echo(f"thistlelever: {path}: {why}", err=True)
        sys.exit(2)


@state.command("show")
@OPERATOR
@PATH
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def state_show(operator: str | None, path: str | None, as_json: bool) -> None:
    """How many records of each kind there are; of a living front also how it started, and whether it keeps
    what it is told (exit 1 where it does not)."""
    told = switched_on(operator) if not path else None
    if told and told.admin and told.state and not path and living(told.admin.socket):
        said = asked(operator, "state.show")
    else:
        from collections import Counter

        file, damaged = ledger(operator, path, True), []
        counts = Counter(kind for kind, _, _ in file.read(damaged))
        said = {"path": file.path, "records": dict(counts), "damaged": len(damaged), "keeps": True}
        file.close()
    if as_json:
        print_json(said)
    else:
        for name, value in said.items():
            click.echo(
                f"{name}: "
                + (", ".join(f"{k} {v}" for k, v in value.items()) if isinstance(value, dict) else str(value))
            )
    sys.exit(0 if said["keeps"] else 1)


@state.command("verify")
@OPERATOR
@PATH
def state_verify(operator: str | None, path: str | None) -> None:
    """Look at the file and each record; exit 1 where something is wrong."""
    file = ledger(operator, path, True)
    wrong = file.verify()
    file.close()
    for line in wrong:
        click.echo(line)
    click.echo(f"{len(wrong)} faults" if wrong else "sound")
    sys.exit(1 if wrong else 0)


@state.command("export")
@OPERATOR
@PATH
def state_export(operator: str | None, path: str | None) -> None:
    """Print every record that can be read, one JSON line each."""
    import msgspec

    file = ledger(operator, path, True)
    for kind, key, record in file.read():
        fields = {name: getattr(record, name) for name in record.__struct_fields__}
        click.echo(msgspec.json.encode({"kind": kind, "key": key.hex(), "record": fields}).decode())
    file.close()


@state.command("import")
@OPERATOR
@PATH
@click.option("--from", "source", type=click.File("rb"), default="-", help="What `export` printed.")
def state_import(operator: str | None, path: str | None, source) -> None:
    """Take records that `export` printed into a store that no front holds."""
    import msgspec

    from thistlelever.ledger import records
    from thistlelever.ledger.file import Failing

    changes = []
    for number, line in enumerate(source, 1):
        try:
            told = orjson.loads(line)
            record = msgspec.convert(list(told["record"].values()), records.KINDS[told["kind"]], strict=False)
            changes.append((told["kind"], bytes.fromhex(told["key"]), records.pack(record)))
        except (ValueError, KeyError, AttributeError, TypeError, msgspec.MsgspecError) as why:
            click.echo(f"thistlelever: line {number}: no record: {why!r}", err=True)
            sys.exit(2)
    file = ledger(operator, path, False)
    try:
        file.write(changes)
    except Failing as why:
        click.echo(f"thistlelever: {file.path}: {why}", err=True)
        sys.exit(1)
    file.close()
    click.echo(f"{len(changes)} records")


@state.command("compact")
@OPERATOR
@PATH
def state_compact(operator: str | None, path: str | None) -> None:
    """Give back what lies free in a store that no front holds."""
    from thistlelever.ledger.file import Failing, size

    file = ledger(operator, path, False)
    before = size(file.path)
    try:
        file.compact(always=True)
    except Failing as why:
        click.echo(f"thistlelever: {file.path}: {why}", err=True)
        sys.exit(1)
    file.close()
    click.echo(f"{before} -> {size(file.path)} bytes")


def living(path: str) -> bool:
    """Whether a front answers at that socket."""
    import socket

    with socket.socket(socket.AF_UNIX) as raw:
        return raw.connect_ex(path) == 0


@main.command()
def schema() -> None:
    """Print the JSON schema of the operator file."""
    from thistlelever.ground import operator

    click.echo(operator.schema(), nl=False)


@main.command()
@click.option("--for", "seconds", type=click.FloatRange(min=0.1), help="End after so many seconds.")
@click.option("--flight", is_flag=True, help="Arrow Flight SQL too: a second door, two more engines.")
def demo(seconds: float | None, flight: bool) -> None:
    """Start one front among stand-ins on loopback and return a batch; no configuration is wanted."""
    from thistlelever import demo as shown

    sys.exit(0 if asyncio.run(shown.play(seconds, flight, click.echo)) else 1)


@main.command()
def version() -> None:
    """Print the version."""
    import thistlelever

    try:
        click.echo(metadata.version("thistlelever"))
    except metadata.PackageNotFoundError:
        click.echo(thistlelever.__version__)


def plain(value):
    """Named tuples as objects, sets as sorted lists, and names for what is one of a few."""
    if hasattr(value, "_asdict"):
        return {name: plain(inner) for name, inner in value._asdict().items()}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, frozenset):
        return sorted(value)
    return [plain(inner) for inner in value] if isinstance(value, tuple) else value


def switched_on(path: str | None, told: papers.Papers | None = None):
    """What the operator file says, or None where none is named: then nothing of it is imported. Where papers
    are given, what a section wants of them is checked too."""
    if not path:
        return None
    try:
        found = read_operator(path)
        if told and found.membership:
            from thistlelever.lifecycle.membership import sound

            sound(found.membership, told)
        if told and found.takeover:
            from thistlelever.lifecycle.takeover import sound as takeover_sound

            takeover_sound(found.takeover, told)
        return found
    except Unreadable as why:
        click.echo(f"thistlelever: {why}", err=True)
        sys.exit(2)


def read_operator(path: str):
    """The operator file, checked as far as it can be without starting anything."""
    if find_spec("msgspec") is None:
        raise Unreadable("operator file: wants the extra 'operator' (pip install 'thistlelever[operator]')")
    from thistlelever.ground import operator

    found = operator.load(path)
    if found.budgets:
        from thistlelever.lifecycle.budgets import plan

        plan(found.budgets)
    return found


def load() -> papers.Papers:
    try:
        return papers.load()
    except Unreadable as why:
        click.echo(f"thistlelever: {why}", err=True)
        sys.exit(2)


if __name__ == "__main__":
    main()
