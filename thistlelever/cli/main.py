"""The root of the command line, which imports a command's module only when the command is used."""

from importlib import import_module

import click

# Each command and where it is defined. `serve` runs in memory that has a price, so it loads no other command.
COMMANDS = {
    "serve": "thistlelever.cli.serve:serve",
    "check": "thistlelever.cli.configuration:check",
    "show": "thistlelever.cli.configuration:show",
    "schema": "thistlelever.cli.tools:schema",
    "demo": "thistlelever.cli.tools:demo",
    "version": "thistlelever.cli.tools:version",
    "budgets": "thistlelever.cli.budgets:budgets",
    "members": "thistlelever.cli.members:members",
    "inhand": "thistlelever.cli.takeover:inhand",
    "state": "thistlelever.cli.state:state",
    "engines": "thistlelever.cli.engines:engines",
    "distributor": "thistlelever.cli.distributor:distributor",
}


class LazyGroup(click.Group):
    """A group whose commands are imported when they are asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, in the order in which help lists them."""
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of that name; None where there is none, with all loaded for click to suggest one."""
        if cmd_name in COMMANDS:
            return self.load(cmd_name)
        for name in COMMANDS:
            self.load(name)
        return None

    def load(self, name: str) -> click.Command:
        """The command, imported at first use."""
        if name not in self.commands:
            module, _, attribute = COMMANDS[name].partition(":")
            self.commands[name] = getattr(import_module(module), attribute)
        return self.commands[name]


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """An admission controller for batches on a pool of query engines."""
