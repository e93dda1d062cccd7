"""`thistlelever check` and `thistlelever show`: validate and print the configuration, without a front."""

from __future__ import annotations

from enum import Enum

import click
import orjson

from thistlelever.cli.common import load_config, load_operator_file, operator_option


@click.command()
@operator_option
def check(operator: str | None) -> None:
    """Read the configuration, say what it holds, and start nothing."""
    config = load_config()
    operator_file = load_operator_file(operator, config)
    click.echo(
        f"{config.name}: listens at {config.listen[0]}:{config.listen[1]}, "
        f"{len(config.settings.tariffs)} service groups, {len(config.known)} engines known"
    )
    if operator_file is None:
        return
    for section in operator_file.__struct_fields__:
        if getattr(operator_file, section):
            click.echo(f"operator file: {section} is on")


@click.command()
def show() -> None:
    """Print the terms that the decisions are given, as JSON."""
    settings = orjson.dumps(to_plain(load_config().settings), option=orjson.OPT_INDENT_2)
    click.echo(settings.decode())


def to_plain(value: object) -> object:
    """The value as JSON has it: named tuples as objects, sets as sorted lists, enums by their values."""
    if hasattr(value, "_asdict"):
        return {name: to_plain(field) for name, field in value._asdict().items()}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, frozenset):
        return sorted(value)
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    return value
