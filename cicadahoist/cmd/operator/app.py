"""The ``cicadahoist`` program: command groups and global options."""

from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from cicadahoist.cmd.operator.command import add_command
from cicadahoist.cmd.operator.configuration import (
    configuration,
    print_defaults,
)
from cicadahoist.cmd.operator.keys import keys
from cicadahoist.cmd.operator.leases import leases
from cicadahoist.cmd.operator.parts import parts
from cicadahoist.cmd.operator.reference import print_reference
from cicadahoist.cmd.operator.routes import models, routes
from cicadahoist.cmd.operator.session import Session
from cicadahoist.cmd.operator.sheets import tables
from cicadahoist.cmd.operator.statuses import show_status
from cicadahoist.cmd.operator.targets import targets
from cicadahoist.cmd.operator.usages import show_usage
from cicadahoist.cmd.operator.workspaces import workspaces

app = typer.Typer(
    name='cicadahoist',
    help='Administers a deployment through its table.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.add_typer(tables, name='table')
app.add_typer(workspaces, name='workspace')
app.add_typer(keys, name='key')
app.add_typer(models, name='model')
app.add_typer(routes, name='route')
app.add_typer(targets, name='target')
app.add_typer(leases, name='lease')
app.add_typer(parts, name='part')
app.add_typer(configuration, name='config')
add_command(app, 'status')(show_status)
add_command(app, 'usage')(show_usage)
app.command('reference')(print_reference)


@app.callback()
def prepare(
    context: typer.Context,
    config: Annotated[
        Path | None,
        typer.Option(
            envvar='CICADAHOIST_CONFIG',
            help='INI file with settings; default: $CICADAHOIST_CONFIG.',
        ),
    ] = None,
    store_url: Annotated[
        str | None,
        typer.Option(
            envvar='CICADAHOIST_STORE_URL',
            help='URL of the store; default: $CICADAHOIST_STORE_URL.',
        ),
    ] = None,
    defaults: Annotated[
        bool,
        typer.Option(
            '--print-defaults',
            help='Print all settings with their defaults and exit.',
            callback=print_defaults,
            is_eager=True,
        ),
    ] = False,
) -> None:
    """Administer a deployment through its table."""
    if context.obj is None:
        context.obj = partial(Session.from_options, config, store_url)


def main() -> None:
    """Run the command line."""
    app()
